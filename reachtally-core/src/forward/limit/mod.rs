//! Rate limits that targets impose on all boxes together.
//!
//! A send to a rate-limited target requires a permit. The collector of each failure domain issues
//! permits from one token bucket per target, which is filled at the domain's share of the limit;
//! the shares follow the demand that collectors report to each other. Permits expire soon, so that
//! the number issued bounds the number of requests that arrive, however many boxes there are.

use std::sync::Arc;
use std::time::Duration;

use crate::forward::fleet::TargetRun;
use crate::ids::Incarnation;
use crate::time::Instant;

mod allocator;
mod demand;
mod permits;
mod spread;

pub use allocator::{Allocator, LimitedTarget, SharingScope};
pub use demand::{Demand, DemandRate};
pub use permits::Permits;
pub use spread::{apply, changes, limited_targets, page, set_held_permits};

/// Time from issue until a permit expires. A shorter time leaves more permits unused in boxes with
/// few requests; a longer time allows more requests to arrive within a window.
pub const PERMIT_TTL: Duration = Duration::from_millis(1000);

/// Minimum accepted rate, in requests per second: only answers show that a limit has ended, so some
/// requests must be sent.
const MIN_PER_SECOND: f64 = 0.25;

/// The rate at which a target accepts requests from all boxes together, in requests per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

impl RateLimit {
    /// Creates a limit of `per_second`; `None` for `NaN`. Rates below one request in four seconds
    /// are raised to that rate.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_number = !per_second.is_nan();
        is_number.then_some(RateLimit(per_second.clamp(MIN_PER_SECOND, f64::MAX)))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// What a target stated about its limit in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatedLimit {
    /// The limit; `None` if the answer stated none.
    pub limit: Option<RateLimit>,
    /// When the answer was received.
    pub at: Instant,
}

impl StatedLimit {
    /// Returns the newer of two statements of the same run.
    pub fn newer(self, other: Option<StatedLimit>) -> Self {
        match other {
            Some(other) if other.at > self.at => other,
            _ => self,
        }
    }
}

/// A statement about a target's limit, as boxes report it to each other.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitReport {
    /// The run of the target.
    pub target: TargetRun,
    /// Its limit; `None` if that has ended.
    pub limit: Option<RateLimit>,
    /// Time since the target's answer was received.
    pub age: Duration,
}

/// Demand of a box or a failure domain for a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDemand {
    /// The service.
    pub service: Arc<str>,
    /// Request rate.
    pub rate: DemandRate,
    /// Unused permits for targets of the service.
    pub held: u32,
}

/// From a box to its collector: requests permits.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitRequest {
    /// The run of the box.
    pub run: Incarnation,
    /// Sequence number of the request.
    pub number: u64,
    /// The demand of its callers, by service.
    pub demands: Vec<ServiceDemand>,
}

/// From one collector to another: the demand of the boxes that report to it.
#[derive(Debug, Clone, PartialEq)]
pub struct DemandPart {
    /// The run of the collector.
    pub run: Incarnation,
    /// The failure domain of the collector.
    pub domain: String,
    /// The demand, by service.
    pub demands: Vec<ServiceDemand>,
}

/// Permits for one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The run of the target.
    pub target: TargetRun,
    /// Number of permitted sends.
    pub count: u32,
}

/// From a collector to a box: the permits that answer a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grants {
    /// Sequence number of the request.
    pub number: u64,
    /// The permits.
    pub grants: Vec<Grant>,
}
