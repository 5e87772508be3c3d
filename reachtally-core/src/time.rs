//! The monotonic time used by all decisions.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point on the daemon's monotonic clock, in microseconds since the daemon started. It may lie before the start, since other
/// boxes report the age of what they know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Instant {
    micros: i64,
}

impl Instant {
    /// The time at which the daemon started.
    pub const ZERO: Instant = Instant { micros: 0 };

    /// Return the instant `elapsed` after the start of the daemon.
    pub fn from_elapsed(elapsed: Duration) -> Self {
        Instant {
            micros: micros(elapsed),
        }
    }

    /// Return the time since the start of the daemon, or zero before the start.
    pub fn elapsed(self) -> Duration {
        self.since(Instant::ZERO)
    }

    /// Return the time since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Instant) -> Duration {
        let micros = self.micros.saturating_sub(earlier.micros);
        Duration::from_micros(u64::try_from(micros).unwrap_or_default())
    }

    /// Return the instant `span` before this one.
    pub fn before(self, span: Duration) -> Instant {
        Instant {
            micros: self.micros.saturating_sub(micros(span)),
        }
    }
}

/// Return a time span in microseconds, or the longest that an instant can hold.
fn micros(span: Duration) -> i64 {
    i64::try_from(span.as_micros()).unwrap_or(i64::MAX)
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, rhs: Duration) -> Instant {
        Instant {
            micros: self.micros.saturating_add(micros(rhs)),
        }
    }
}

impl Sub<Instant> for Instant {
    type Output = Duration;

    fn sub(self, rhs: Instant) -> Duration {
        self.since(rhs)
    }
}
