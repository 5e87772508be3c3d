//! How many requests callers have for each service.

use std::collections::HashMap;
use std::sync::Arc;

use super::ServiceDemand;
use crate::forward::rate::MeanRate;
use crate::time::Instant;

/// Time constant of the mean rate, in ms. The parts of a limit move between failure domains as slowly, so that what collectors know late of each
/// other does not count twice.
const SMOOTHING_MS: u64 = 1000;
/// Rate below which a service counts as without demand, in requests a second.
const LEAST_RATE: f64 = 0.01;
/// Upper bound on the rate that one sender can report, in requests a second; rejects corrupt reports.
const HIGHEST_RATE: f64 = 1_000_000.0;

/// A rate of requests a second, finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default)]
pub struct DemandRate(f64);

impl DemandRate {
    /// Creates a rate, cut to the upper bound; `NaN` is 0.
    pub fn new(per_second: f64) -> Self {
        let number = if per_second.is_nan() { 0.0 } else { per_second };
        DemandRate(number.clamp(0.0, HIGHEST_RATE))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl std::ops::Add for DemandRate {
    type Output = DemandRate;

    fn add(self, other: DemandRate) -> DemandRate {
        DemandRate::new(self.0 + other.0)
    }
}

/// The requests that callers of a box have, by service.
#[derive(Debug, Default)]
pub struct Demand(HashMap<Arc<str>, MeanRate<SMOOTHING_MS>>);

impl Demand {
    /// Counts a request for `service`.
    pub fn count(&mut self, service: &Arc<str>, now: Instant) {
        let mean = self.0.entry(service.clone()).or_default();
        mean.count(now);
    }

    /// Returns the services with demand, without the permits held; services without demand are removed.
    pub fn services(&mut self, now: Instant) -> Vec<ServiceDemand> {
        self.0.retain(|_, mean| mean.at(now) >= LEAST_RATE);
        let each = self.0.iter();
        each.map(|(service, mean)| ServiceDemand {
            service: service.clone(),
            rate: DemandRate::new(mean.at(now)),
            held: 0,
        })
        .collect()
    }
}
