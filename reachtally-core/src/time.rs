//! The monotonic time used by all decisions.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point on the daemon's monotonic clock, in microseconds since the daemon started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Instant {
    micros: u64,
}

impl Instant {
    /// The time at which the daemon started.
    pub const ZERO: Instant = Instant { micros: 0 };

    /// Return the instant `elapsed` after the start of the daemon.
    pub fn from_elapsed(elapsed: Duration) -> Self {
        Instant {
            micros: elapsed.as_micros() as u64,
        }
    }

    /// Return the time since the start of the daemon.
    pub fn elapsed(self) -> Duration {
        Duration::from_micros(self.micros)
    }

    /// Return the time since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.micros.saturating_sub(earlier.micros))
    }

    /// Return the instant `span` before this one, or the start of the daemon if that is later.
    pub fn before(self, span: Duration) -> Instant {
        Instant {
            micros: self.micros.saturating_sub(span.as_micros() as u64),
        }
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, rhs: Duration) -> Instant {
        Instant {
            micros: self.micros.saturating_add(rhs.as_micros() as u64),
        }
    }
}

impl Sub<Instant> for Instant {
    type Output = Duration;

    fn sub(self, rhs: Instant) -> Duration {
        self.since(rhs)
    }
}
