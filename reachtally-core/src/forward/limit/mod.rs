//! Rate limits that targets state for all boxes together.
//!
//! A send to a target with a limit needs a permit. The collector of each failure domain issues them, out of a token bucket for
//! each such target that is filled at the domain's part of the limit; the parts follow the demand that the collectors report to each other. A permit
//! expires soon, so that what is issued bounds what arrives, however many boxes there are.

use std::sync::Arc;
use std::time::Duration;

use crate::forward::fleet::TargetRun;
use crate::ids::Incarnation;
use crate::time::Instant;

mod allocator;
mod demand;
mod permits;
mod spread;

pub use allocator::{Allocator, Extent, LimitedTarget};
pub use demand::{Demand, DemandRate};
pub use permits::Permits;
pub use spread::{apply, changes, limited_targets, note_held, page};

/// Time from its issue until a permit expires. Shorter, and boxes with few requests leave more of them unused; longer, and more requests may
/// arrive in a window.
pub const PERMIT_LIFE: Duration = Duration::from_millis(1000);

/// Lowest rate that is believed, in requests a second: answers are what shows that a limit has ended.
const LEAST_PER_SECOND: f64 = 0.25;

/// The rate at which a target accepts requests from all boxes together, in requests a second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

impl RateLimit {
    /// A limit of `per_second`; `None` if that is no number. Lower rates than one request in four seconds are raised to that.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_number = !per_second.is_nan();
        is_number.then_some(RateLimit(per_second.clamp(LEAST_PER_SECOND, f64::MAX)))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// What a target stated of its limit in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatedLimit {
    /// The limit; `None` if the answer named none.
    pub limit: Option<RateLimit>,
    /// When the answer was received.
    pub at: Instant,
}

impl StatedLimit {
    /// The newer of two statements of one run.
    pub fn newer(self, other: Option<StatedLimit>) -> Self {
        match other {
            Some(other) if other.at > self.at => other,
            _ => self,
        }
    }
}

/// A statement on a target's limit, as boxes report it to each other.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitReport {
    /// The run of the target.
    pub target: TargetRun,
    /// Its limit; `None` if that has ended.
    pub limit: Option<RateLimit>,
    /// Time since the target's answer was received.
    pub age: Duration,
}

/// Requests a second that a box, or a failure domain, has for a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDemand {
    /// The service.
    pub service: Arc<str>,
    /// Requests a second.
    pub rate: DemandRate,
    /// Permits for targets of the service that are held unused.
    pub held: u32,
}

/// From a box to its collector: asks for permits.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitRequest {
    /// The box's run.
    pub run: Incarnation,
    /// Numbers its requests.
    pub number: u64,
    /// What its callers ask for.
    pub demands: Vec<ServiceDemand>,
}

/// From a collector to another: the demand of the boxes that report to it.
#[derive(Debug, Clone, PartialEq)]
pub struct DemandPart {
    /// The collector's run.
    pub run: Incarnation,
    /// Its failure domain.
    pub domain: String,
    /// The demand by service.
    pub demands: Vec<ServiceDemand>,
}

/// Permits for one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The run of the target.
    pub target: TargetRun,
    /// Sends that are permitted.
    pub count: u32,
}

/// From a collector to a box: the permits that answer a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grants {
    /// Number of the request.
    pub number: u64,
    /// The permits.
    pub grants: Vec<Grant>,
}
