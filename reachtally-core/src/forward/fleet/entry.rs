//! The entry that a target writes about itself.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::forward::cost::Layers;

/// Start time of a run of a target: milliseconds of Unix time on the target's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StartTime(pub u64);

/// A compact digest of [`StartTime`] that distinguishes the runs of one id in messages, where every byte
/// counts. Two runs collide with a probability of 1 in 16,383. 0 stands for an unknown start time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RunMark(pub u16);

/// Number of marks other than 0: as many as fit a varint of two bytes.
const MARK_COUNT: u64 = (1 << 14) - 1;

impl RunMark {
    /// Whether two marks of one id denote the same run; an unknown mark matches any.
    pub fn matches(self, other: RunMark) -> bool {
        let unknown = RunMark::default();
        self == other || self == unknown || other == unknown
    }
}

impl From<Option<StartTime>> for RunMark {
    fn from(born: Option<StartTime>) -> Self {
        RunMark(born.map_or(0, |born| (born.0 % MARK_COUNT) as u16 + 1))
    }
}

/// A run of a target: its id, which a later run may reuse, and the mark of its start time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetRun {
    /// The target's id.
    pub id: Arc<str>,
    /// Distinguishes the runs of this id.
    pub mark: RunMark,
}

/// A target as described by its own entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The target's id; a later run may reuse it.
    pub id: Arc<str>,
    /// Start time of this run, if the target reports it.
    pub born: Option<StartTime>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it accepts no new requests because it is leaving.
    pub draining: bool,
    /// Maximum number of requests it runs concurrently.
    pub slots: u32,
    /// Its accelerator type, if it runs a layered model.
    pub card: Option<Arc<str>>,
    /// The layers it holds.
    pub layers: Layers,
}

impl Entry {
    /// Returns the run that wrote the entry.
    pub fn run(&self) -> TargetRun {
        TargetRun {
            id: self.id.clone(),
            mark: self.born.into(),
        }
    }

    /// Compares the run of this entry with the run of a known entry that has the same id or
    /// address. Runs without a known start time count as the same.
    pub fn run_order(&self, known: &Entry) -> RunOrder {
        RunOrder::of(self.born, known.born)
    }
}

/// Order of two runs that have the same id or address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOrder {
    /// The target restarted.
    Later,
    /// Both are the same run, as far as is known.
    Same,
    /// An earlier run, whose entry was delayed.
    Earlier,
}

impl RunOrder {
    /// Compares a run that started at `start` with one that started at `known`. Without start times
    /// they count as the same run.
    pub fn of(start: Option<StartTime>, known: Option<StartTime>) -> Self {
        match (start, known) {
            (Some(start), Some(known)) if start > known => RunOrder::Later,
            (Some(start), Some(known)) if start < known => RunOrder::Earlier,
            _ => RunOrder::Same,
        }
    }
}

/// How an entry became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntrySource {
    /// Read from a listing; it may have been written long ago.
    Listed,
    /// The target has just written it.
    Written,
}
