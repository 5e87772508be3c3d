//! The mix of recent requests by class, and how many were admitted.

use std::time::Duration;

use super::Rate;
use crate::forward::rate::left;
use crate::time::Instant;

/// Time constant of the mix. A box with few requests of the most urgent rank must not forget between two of them that they come.
const SMOOTHING: Duration = Duration::from_millis(4000);

/// Recent requests for one service, counted with exponential decay.
#[derive(Debug, Clone, Default)]
pub struct Mix {
    /// By class, the most urgent first.
    offered: Vec<f64>,
    admitted: Rate,
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
        self.admitted.count(now);
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
        self.admitted.at(now)
    }

    fn decay(&mut self, now: Instant) {
        let left = left(self.at, now, SMOOTHING);
        self.at = self.at.max(now);
        self.offered.iter_mut().for_each(|count| *count *= left);
    }
}
