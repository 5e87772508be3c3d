//! Request rates of the callers, by service.

use std::collections::HashMap;
use std::sync::Arc;

use super::ServiceDemand;
use crate::forward::rate::MeanRate;
use crate::time::Instant;

/// Time constant of the mean rate, in ms. The shares of a limit move between failure domains just
/// as slowly, so that demand which other collectors learn late is not counted twice.
const SMOOTHING_MS: u64 = 1000;
/// Rate below which a service counts as without demand, in requests per second.
const MIN_RATE: f64 = 0.01;
/// Upper bound on the rate that one sender can report, in requests per second; rejects corrupt
/// reports.
const MAX_RATE: f64 = 1_000_000.0;

/// A finite, non-negative rate of requests per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default)]
pub struct DemandRate(f64);

impl DemandRate {
    /// Creates a rate, clamped to the upper bound; `NaN` becomes 0.
    pub fn new(per_second: f64) -> Self {
        let number = if per_second.is_nan() { 0.0 } else { per_second };
        DemandRate(number.clamp(0.0, MAX_RATE))
    }

    /// Requests per second.
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

/// Request rates of the callers of a box, by service.
#[derive(Debug, Default)]
pub struct Demand(HashMap<Arc<str>, MeanRate<SMOOTHING_MS>>);

impl Demand {
    /// Counts a request for `service`.
    pub fn count(&mut self, service: &Arc<str>, now: Instant) {
        let mean = self.0.entry(service.clone()).or_default();
        mean.count(now);
    }

    /// Returns the services with demand, with [`ServiceDemand::held`] set to 0; services without
    /// demand are removed.
    pub fn services(&mut self, now: Instant) -> Vec<ServiceDemand> {
        self.0.retain(|_, mean| mean.at(now) >= MIN_RATE);
        let each = self.0.iter();
        each.map(|(service, mean)| ServiceDemand {
            service: service.clone(),
            rate: DemandRate::new(mean.at(now)),
            held: 0,
        })
        .collect()
    }
}
