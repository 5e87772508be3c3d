//! Statements that a target made between its restart and the reading of its new entry.
//!
//! A target names its run in its entry, but not in its answers. An answer of a new run is therefore taken for one of the earlier run until
//! the entry is read.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Entry, RunMark, StartTime};
use crate::time::Instant;

/// Allowance for the difference between the clocks of a target and of this box.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);
/// Longest time from the start of a run until its entry is read. A longer one is taken for an error of a clock.
const MAX_ENTRY_DELAY: Duration = Duration::from_secs(60);

/// A reading of the clock of the machine.
#[derive(Debug, Clone, Copy)]
pub(super) struct WallClock {
    /// Unix time.
    pub unix: Duration,
    /// When it was read.
    pub at: Instant,
}

impl WallClock {
    /// Returns the estimated start of a run whose entry is read at `now`, unless the clocks disagree.
    fn start_of(self, born: StartTime, now: Instant) -> Option<Instant> {
        let unix = self.unix + now.since(self.at);
        let born = Duration::from_millis(born.0);
        match unix.checked_sub(born) {
            Some(age) => (age <= MAX_ENTRY_DELAY).then(|| now.before(age)),
            None => (born - unix <= MAX_CLOCK_SKEW).then_some(now),
        }
    }
}

/// What is known of a run when the entry of another run with its id is read.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct EarlierRun {
    pub mark: RunMark,
    pub address: SocketAddr,
    /// When the last entry that it had just written was read.
    pub written_at: Option<Instant>,
}

/// The replacement of a run by another one at the same address.
#[derive(Debug, Clone, Copy)]
pub(super) struct Succession {
    earlier: EarlierRun,
    /// Estimated start of the later run.
    started_at: Option<Instant>,
}

impl Succession {
    /// Describes the run of `entry`, which is read at `now`, as the successor of `earlier`. `None` if it has another address, since no
    /// answer from the address of the earlier run is its own.
    pub fn new(
        earlier: EarlierRun,
        entry: &Entry,
        wall_clock: Option<WallClock>,
        now: Instant,
    ) -> Option<Self> {
        let start = |born| wall_clock.and_then(|clock| clock.start_of(born, now));
        (earlier.address == entry.address).then(|| Succession {
            earlier,
            started_at: entry.born.and_then(start),
        })
    }

    /// Whether the run before had this mark.
    pub fn follows(&self, mark: RunMark) -> bool {
        self.earlier.mark == mark
    }

    /// Whether the answer to a request that was sent at `asked_at` may be the later run's.
    pub fn may_include(&self, asked_at: Instant) -> bool {
        match (self.started_at, self.earlier.written_at) {
            (Some(start), _) => asked_at + MAX_CLOCK_SKEW >= start,
            (None, Some(written_at)) => asked_at > written_at,
            (None, None) => true,
        }
    }

    /// Whether the answer to a request that was sent at `asked_at` is the later run's, as far as the clocks agree.
    pub fn includes(&self, asked_at: Instant) -> bool {
        self.started_at.is_some_and(|start| {
            let written_at = self.earlier.written_at;
            let is_plausible = written_at.is_none_or(|at| start + MAX_CLOCK_SKEW >= at);
            is_plausible && asked_at >= start
        })
    }
}
