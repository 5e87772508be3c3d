//! Decoded heads of requests and responses, independent of the names of their headers.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::HeaderMap;
use reachtally_core::forward::limit::RateLimit;
use reachtally_core::forward::path::Path;
use reachtally_core::forward::prompt::{self, PartId};
use reachtally_core::forward::routes::Table;
use reachtally_framing::Malformed;

use crate::store::Repair;

/// Decoded head of a request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallHead {
    /// Id that the caller gave this attempt.
    pub id: String,
    /// API key, if one was sent.
    pub key: Option<String>,
    /// Time that the caller will wait.
    pub deadline: Option<Duration>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: f64,
    /// Maximum number of tokens of the answer.
    pub max_answer_tokens: f64,
    /// Caller's estimate of the number of tokens of the answer, accurate in the median.
    pub answer_hint: Option<f64>,
    /// Id of the last event that the caller has, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Parts of the prompt, in order; the last one belongs to the request or its session.
    pub prompt_parts: Vec<PartId>,
}

/// Maximum number of parts of a prompt that a log line names.
const MAX_LOGGED_PARTS: usize = 8;

impl CallHead {
    /// Returns the parts of the prompt that other requests may share.
    pub fn shared_parts(&self) -> &[PartId] {
        prompt::shared(&self.prompt_parts)
    }

    /// Returns the parts of the prompt that other requests may share, for the log.
    pub(crate) fn shared_part_names(&self) -> String {
        part_names(self.shared_parts())
    }
}

/// Returns the ids of parts of a prompt, for the log.
pub(crate) fn part_names(parts: &[PartId]) -> String {
    let names = parts.iter().take(MAX_LOGGED_PARTS);
    names.map(PartId::as_str).collect::<Vec<&str>>().join(",")
}

/// Header values that the relay adds to a request for a target.
#[derive(Debug, Clone, Copy)]
pub struct AddedFields<'a> {
    /// Time until the deadline.
    pub deadline: Duration,
    /// Run of the target that must handle the request; any other run refuses it.
    pub target_run: &'a str,
    /// Client account of the caller.
    pub account: Option<&'a str>,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
    /// Path of engines that pass the request on among themselves.
    pub path: Option<&'a Path>,
    /// Id of the last event that the caller has.
    pub last_event: Option<u64>,
}

/// Load that a target reports with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued at the target.
    pub waiting: u32,
    /// Number of requests that the target can run at once.
    pub slots: u32,
}

/// Rate limit of a target as stated in a response.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum LimitHeader {
    /// No limit is stated. If the response comes from the target itself, it has none.
    #[default]
    Absent,
    /// The stated limit could not be parsed; the known one stays valid.
    Malformed,
    /// The stated limit.
    Named(RateLimit),
}

/// Statement of a target about itself, in a response to any kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Statement {
    /// Back-off that the target asks of this box.
    pub back_off: Option<Duration>,
    /// Whether the target announces that it is leaving.
    pub is_leaving: bool,
    /// Rate limit of the target.
    pub limit: LimitHeader,
}

impl Statement {
    /// Returns whether the target accepts orders, and queries that can wait.
    pub fn accepts_requests(&self) -> bool {
        !self.is_leaving && self.back_off.is_none()
    }
}

/// Decoded head of a response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerHead {
    /// Id of the request that the response belongs to.
    pub id: Option<String>,
    /// Whether the target vouches for the response.
    pub sealed: bool,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Whether the target run named by the request no longer exists, or lacks layers that the request needs.
    pub misdirected: bool,
    /// Engine of the path that caused the failure, if not the first.
    pub at_fault: Option<SocketAddr>,
    /// Load of the target, if reported.
    pub load: Option<Load>,
    /// Statement of the target about itself.
    pub statement: Statement,
}

/// Reason why a request head is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadHead(pub String);

/// Decodes and encodes the heads of requests and responses, and decodes configurations.
pub trait Wire {
    /// Decodes a configuration as published.
    ///
    /// # Errors
    /// Returns the problem and its location if the configuration is invalid.
    fn config(&self, raw: &[u8]) -> Result<Table, String>;

    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    /// Returns the problem if the head is invalid.
    fn call(&self, headers: &HeaderMap) -> Result<CallHead, BadHead>;

    /// Returns the headers for a target: the caller's headers that are passed on, and those of `add`.
    fn forward(&self, headers: &HeaderMap, add: &AddedFields<'_>) -> HeaderMap;

    /// Decodes the head of a target's response.
    ///
    /// # Errors
    /// [`Malformed`] if headers on which the relay relies contradict each other.
    fn answer(&self, status: u16, headers: &HeaderMap) -> Result<AnswerHead, Malformed>;

    /// Returns the headers of a response that are passed on to the caller.
    fn backward(&self, headers: &HeaderMap) -> HeaderMap;

    /// Returns the interface for path repairs, if engines support them.
    fn repairs(&self) -> Option<&dyn Repair> {
        None
    }
}
