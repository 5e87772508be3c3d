//! Rates of events, by exponential decay.

use std::time::Duration;

use crate::time::Instant;

/// Time constant with which earlier events count less: rates have followed a step in demand after two of them, in which the system is
/// to be steady again.
pub(super) const SMOOTHING: Duration = Duration::from_millis(1000);

/// What is left at `now` of a count made at `before`, which decays with the time constant `smoothing`.
pub(super) fn left(before: Instant, now: Instant, smoothing: Duration) -> f64 {
    (-now.since(before).as_secs_f64() / smoothing.as_secs_f64()).exp()
}

/// Mean rate of recent events.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Rate {
    count: f64,
    at: Instant,
}

impl Rate {
    pub fn add(&mut self, now: Instant) {
        self.count = self.count * left(self.at, now, SMOOTHING) + 1.0;
        self.at = self.at.max(now);
    }

    /// Events a second.
    pub fn per_second(&self, now: Instant) -> f64 {
        self.count * left(self.at, now, SMOOTHING) / SMOOTHING.as_secs_f64()
    }
}
