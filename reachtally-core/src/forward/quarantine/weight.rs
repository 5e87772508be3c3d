//! How strongly a crash speaks against the request that the crashed target was running.

use std::time::Duration;

/// Number of events up to which a stream has only begun. A target that a request crashes ends before
/// it has sent more.
pub const START_EVENTS: u64 = 3;
/// Time from the head of an answer during which a stream has only begun.
pub const START_TIME: Duration = Duration::from_millis(500);
/// Time from the head of an answer after which a crash is no evidence against a stream with events.
/// A box that is short of processor time may read the head early and the end late.
pub const LATE_START_TIME: Duration = Duration::from_secs(3);
/// Sum of the weights of its crashes at which a request or part is quarantined.
pub(super) const QUARANTINE_WEIGHT: u32 = 30;

/// How strongly a crash speaks against a request or part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Weight {
    /// The target had the request, among many others that were as far. Five quarantine.
    Weak,
    /// The target may have begun the request shortly before, or it is unknown whether it had. Three
    /// quarantine.
    Moderate,
    /// The target had begun the request and written nothing. One to three requests are as far at a
    /// crash, so two quarantine.
    Strong,
}

impl Weight {
    /// Returns the weight as a summand of [`QUARANTINE_WEIGHT`].
    pub(super) fn points(self) -> u32 {
        match self {
            Weight::Weak => 6,
            Weight::Moderate => 10,
            Weight::Strong => 15,
        }
    }
}

/// How far a target was with a request when it was interrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunProgress {
    /// Whether it received the request from a box, as opposed to another target of the path.
    pub is_first: bool,
    /// Time since it has had the request, or since the head of the answer if that is shorter; `None` before the head.
    pub begun_for: Option<Duration>,
    /// Number of whole events of the answer.
    pub events: u64,
}

impl RunProgress {
    /// Returns the weight of a crash against the request; `None` if it is no evidence.
    pub fn request_weight(&self) -> Option<Weight> {
        match self.begun_for {
            None => Some(Weight::Moderate),
            Some(_) if self.events == 0 && self.is_first => Some(Weight::Strong),
            Some(begun_for) if self.events == 0 || begun_for < START_TIME => Some(Weight::Moderate),
            Some(begun_for) if begun_for < LATE_START_TIME => Some(Weight::Weak),
            Some(_) => None,
        }
    }

    /// Returns the weight of a crash against the shared parts of the prompt; `None` if it is no
    /// evidence. Most parts are in many requests, so less counts than against the request.
    pub fn part_weight(&self) -> Option<Weight> {
        match self.begun_for {
            None => Some(Weight::Weak),
            Some(_) if self.events == 0 && self.is_first => Some(Weight::Strong),
            Some(begun_for) if self.events > 0 && begun_for >= START_TIME => None,
            Some(_) if self.is_first && self.events <= START_EVENTS => Some(Weight::Moderate),
            Some(_) => Some(Weight::Weak),
        }
    }
}
