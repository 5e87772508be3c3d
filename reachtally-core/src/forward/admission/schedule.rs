//! When refused callers may return.

use std::time::Duration;

use crate::time::Instant;

/// Latest time to return.
pub const LATEST_RETURN: Duration = Duration::from_secs(3);
/// Part of a caller's remaining time after which it returns at the latest: it has to be answered then, and perhaps refused once more.
const MOST_OF_LEFT: f64 = 1.0 / 3.0;
/// Rate at which return times are handed out at least, a second: a box that has admitted nothing lately still has to be tried again.
const LEAST_RATE: f64 = 2.0;

/// Return times that a box hands out for one service, one after the other at the rate at which it admits requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Schedule {
    /// The last time handed out.
    last: Instant,
}

impl Schedule {
    /// Time until a caller may return: not before the excess has drained, in `drain`, and in the next free slot of the schedule, which has
    /// `rate` of them a second. Where the schedule reaches beyond what the caller can wait for, `draw` spreads the returns over the later
    /// half of that time instead, so that they do not come as one wave.
    pub fn next(
        &mut self,
        drain: Duration,
        rate: f64,
        left: Duration,
        draw: u64,
        now: Instant,
    ) -> Duration {
        let latest = left.mul_f64(MOST_OF_LEFT).min(LATEST_RETURN);
        let rate = if rate.is_finite() { rate } else { LEAST_RATE };
        let step = Duration::from_secs_f64(1.0 / rate.max(LEAST_RATE));
        let free = self.last.max(now + drain) + step;
        let after = free.since(now);
        if after <= latest {
            self.last = free;
            return after;
        }
        let spread = (draw % 1000) as f64 / 1000.0;
        latest.mul_f64(0.5 + spread / 2.0)
    }
}
