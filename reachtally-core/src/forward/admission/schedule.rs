//! Schedules the retries of refused requests.

use std::time::Duration;

use crate::time::Instant;

/// Maximum time until a retry.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Maximum fraction of a caller's remaining time until its retry. The request must still be
/// answered after that, and may be refused once more.
const MAX_FRACTION_OF_TIME_LEFT: f64 = 1.0 / 3.0;
/// Minimum rate of scheduled retries per second, since a box that has admitted nothing recently
/// must still be probed.
const MIN_RATE: f64 = 2.0;

/// Schedules the retries of one service one after another, at the rate at which the box admits
/// requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetrySchedule {
    /// The last retry time assigned.
    last: Instant,
}

impl RetrySchedule {
    /// Returns the time until a caller may retry: after the excess load has drained, which takes
    /// `drain`, and in the next free slot of the schedule, which has `rate` slots per second. If
    /// that is later than the caller can wait, retries are spread randomly by `draw` over the
    /// second half of the available time, to avoid a wave of simultaneous retries.
    pub fn next(
        &mut self,
        drain: Duration,
        rate: f64,
        left: Duration,
        draw: u64,
        now: Instant,
    ) -> Duration {
        let latest = left.mul_f64(MAX_FRACTION_OF_TIME_LEFT).min(MAX_RETRY_AFTER);
        let rate = if rate.is_finite() { rate } else { MIN_RATE };
        let interval = Duration::from_secs_f64(1.0 / rate.max(MIN_RATE));
        let next_slot = self.last.max(now + drain) + interval;
        let after = next_slot.since(now);
        if after <= latest {
            self.last = next_slot;
            return after;
        }
        let fraction = (draw % 1000) as f64 / 1000.0;
        latest.mul_f64(0.5 + fraction / 2.0)
    }
}
