//! The entry that a target writes of itself.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::forward::cost::Layers;

/// When a run of a target started: milliseconds of Unix time, by the target's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Born(pub u64);

/// A short digest of [`Born`] that distinguishes the runs under one id in messages, where each byte counts; two runs collide in one of
/// 16,383 cases. 0 stands for a run without a known start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RunMark(pub u16);

/// Marks other than 0: as many as two bytes on the wire hold.
const MARKS: u64 = (1 << 14) - 1;

impl RunMark {
    /// Whether two marks under one id stand for the same run; an unknown mark matches any.
    pub fn is_same(self, other: RunMark) -> bool {
        let untold = RunMark::default();
        self == other || self == untold || other == untold
    }
}

impl From<Option<Born>> for RunMark {
    fn from(born: Option<Born>) -> Self {
        RunMark(born.map_or(0, |born| (born.0 % MARKS) as u16 + 1))
    }
}

/// A run of a target: its id, which a later run may have again, and the mark of its start.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetRun {
    /// The target's id.
    pub id: Arc<str>,
    /// Distinguishes its runs.
    pub mark: RunMark,
}

/// A target as its own entry describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Identity of the target; a later run may have it again.
    pub id: Arc<str>,
    /// When this run started, if the target tells.
    pub born: Option<Born>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it takes no new work because it is leaving.
    pub draining: bool,
    /// Requests it runs at once.
    pub slots: u32,
    /// Its kind of card, if it runs a layered model.
    pub card: Option<Arc<str>>,
    /// Layers it holds.
    pub layers: Layers,
}

impl Entry {
    /// The run that wrote the entry.
    pub fn run(&self) -> TargetRun {
        TargetRun {
            id: self.id.clone(),
            mark: self.born.into(),
        }
    }

    /// Compares the run of this entry with that of a known one with the same id or address; without a known start they count as the
    /// same run.
    pub fn run_since(&self, known: &Entry) -> RunOrder {
        RunOrder::of(self.born, known.born)
    }
}

/// How two runs with one id or address relate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOrder {
    /// The target started again.
    Later,
    /// They are one run, as far as is known.
    Same,
    /// It is an earlier run, whose entry was received late.
    Earlier,
}

impl RunOrder {
    /// Compares a run that started at `told` with one that started at `known`; without a start they count as the same run.
    pub fn of(told: Option<Born>, known: Option<Born>) -> Self {
        match (told, known) {
            (Some(told), Some(known)) if told > known => RunOrder::Later,
            (Some(told), Some(known)) if told < known => RunOrder::Earlier,
            _ => RunOrder::Same,
        }
    }
}

/// How an entry became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// It stands in a list, and may have been written long ago.
    Listed,
    /// The target wrote it a moment ago.
    Written,
}
