//! Rate limits that targets state for all boxes together.

use crate::time::Instant;

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
