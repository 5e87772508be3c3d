//! Distribution of recent requests over classes, and the rate of admissions.

use std::time::Duration;

use super::Rate;
use crate::forward::rate::decay_factor;
use crate::time::Instant;

/// Time constant of the distribution. Long enough that a box that receives few requests of the most
/// urgent rank remembers them between two arrivals.
const TIME_CONSTANT: Duration = Duration::from_millis(4000);

/// Recent requests of one service, counted with exponential decay.
#[derive(Debug, Clone, Default)]
pub struct Mix {
    /// Counts by class, most urgent first.
    offered: Vec<f64>,
    admitted: Rate,
    at: Instant,
}

impl Mix {
    /// Records a request of the class with index `position` of `classes`.
    pub fn count(&mut self, position: usize, classes: usize, now: Instant) {
        self.decay(now);
        self.offered.resize(classes, 0.0);
        if let Some(count) = self.offered.get_mut(position) {
            *count += 1.0;
        }
    }

    /// Records an admitted request.
    pub fn count_admitted(&mut self, now: Instant) {
        self.admitted.count(now);
    }

    /// Returns the fraction of recent requests per class; all 0 before the first request.
    pub fn fractions(&self) -> Vec<f64> {
        let all: f64 = self.offered.iter().sum();
        let each = self.offered.iter();
        each.map(|count| if all > 0.0 { count / all } else { 0.0 })
            .collect()
    }

    /// Returns the mean rate of admitted requests per second.
    pub fn admitted_rate(&self, now: Instant) -> f64 {
        self.admitted.at(now)
    }

    fn decay(&mut self, now: Instant) {
        let decay_factor = decay_factor(self.at, now, TIME_CONSTANT);
        self.at = self.at.max(now);
        self.offered
            .iter_mut()
            .for_each(|count| *count *= decay_factor);
    }
}
