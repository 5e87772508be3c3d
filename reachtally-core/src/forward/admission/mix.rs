//! The mix of recent requests by class, and how many were admitted.

use std::time::Duration;

use crate::time::Instant;

/// Time constant with which earlier requests count less: the mix has followed a step in demand after two of them, in which the system is
/// to be steady again.
const SMOOTHING: Duration = Duration::from_millis(1000);

/// Recent requests for one service, counted with exponential decay.
#[derive(Debug, Clone, Default)]
pub struct Mix {
    /// By class, the most urgent first.
    offered: Vec<f64>,
    admitted: f64,
    at: Instant,
}

impl Mix {
    /// Counts a request of the class at `position` of `classes`.
    pub fn count(&mut self, position: usize, classes: usize, now: Instant) {
        self.decay(now);
        self.offered.resize(classes, 0.0);
        if let Some(count) = self.offered.get_mut(position) {
            *count += 1.0;
        }
    }

    /// Counts a request that was admitted.
    pub fn count_admitted(&mut self, now: Instant) {
        self.decay(now);
        self.admitted += 1.0;
    }

    /// Fractions of the recent requests by class; all 0 before the first.
    pub fn fractions(&self) -> Vec<f64> {
        let all: f64 = self.offered.iter().sum();
        let each = self.offered.iter();
        each.map(|count| if all > 0.0 { count / all } else { 0.0 })
            .collect()
    }

    /// Mean rate of admitted requests, a second.
    pub fn admitted_rate(&self, now: Instant) -> f64 {
        self.admitted * self.left(now) / SMOOTHING.as_secs_f64()
    }

    /// What is left of the counts at `now`.
    fn left(&self, now: Instant) -> f64 {
        (-now.since(self.at).as_secs_f64() / SMOOTHING.as_secs_f64()).exp()
    }

    fn decay(&mut self, now: Instant) {
        let left = self.left(now);
        self.at = self.at.max(now);
        self.admitted *= left;
        self.offered.iter_mut().for_each(|count| *count *= left);
    }
}
