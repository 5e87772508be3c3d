//! Exponentially decaying mean rates.

use std::time::Duration;

use crate::time::Instant;

/// Returns the remaining weight at `now` of an event at `before`, for the decay time constant
/// `time`.
pub(crate) fn decay_factor(before: Instant, now: Instant, time: Duration) -> f64 {
    (-now.since(before).as_secs_f64() / time.as_secs_f64()).exp()
}

/// A mean rate of events with a time constant of `MS` milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MeanRate<const MS: u64> {
    per_second: f64,
    at: Instant,
}

impl<const MS: u64> MeanRate<MS> {
    const TIME: Duration = Duration::from_millis(MS);

    /// Counts an event.
    pub fn count(&mut self, now: Instant) {
        self.per_second = self.at(now) + 1.0 / Self::TIME.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// Returns the events per second.
    pub fn at(&self, now: Instant) -> f64 {
        self.per_second * decay_factor(self.at, now, Self::TIME)
    }
}
