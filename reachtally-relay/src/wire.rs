//! What the relay needs to know of a request and of an answer, whatever their headers are called.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::HeaderMap;
use reachtally_core::forward::limit::RateLimit;
use reachtally_core::forward::path::Path;
use reachtally_core::forward::routes::Table;

use crate::store::Repair;

/// A request's head, decoded.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallHead {
    /// The caller's id for this attempt.
    pub id: String,
    /// The key, if one was sent.
    pub key: Option<String>,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt_tokens: f64,
    /// Most tokens of the answer.
    pub most_answer_tokens: f64,
    /// The caller's guess of the answer's tokens; right in the median.
    pub answer_hint: Option<f64>,
    /// The last event that the caller has, if it goes on with a stream.
    pub last_event: Option<u64>,
}

/// What the relay adds to a request for one target.
#[derive(Debug, Clone, Copy)]
pub struct Addition<'a> {
    /// What is left of the deadline.
    pub deadline: Duration,
    /// The run of the target that is meant; any other refuses it.
    pub target_run: &'a str,
    /// The caller's account.
    pub account: Option<&'a str>,
    /// Priority of the request, 0 is the most urgent.
    pub priority: u8,
    /// The engines that hand it on among themselves.
    pub path: Option<&'a Path>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// Load that a target reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests it can run at once.
    pub slots: u32,
}

/// What an answer says of its target's rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum LimitHeader {
    /// It names none: the target has no limit, if the answer is its own.
    #[default]
    Absent,
    /// It names one that can't be read: what is known stays.
    Malformed,
    /// It names this limit.
    Named(RateLimit),
}

/// What a target says of itself in an answer, whatever that is an answer to.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Statement {
    /// How long this box should back off, if it says so.
    pub back_off: Option<Duration>,
    /// Whether it says that it leaves.
    pub is_leaving: bool,
    /// Its rate limit.
    pub limit: LimitHeader,
}

impl Statement {
    /// Whether it accepts orders, and questions that can wait.
    pub fn accepts_requests(&self) -> bool {
        !self.is_leaving && self.back_off.is_none()
    }
}

/// An answer's head, decoded.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerHead {
    /// The id of the request that it answers.
    pub id: Option<String>,
    /// Whether the target vouches for it.
    pub sealed: bool,
    /// Whether the target says that it ran nothing of the request.
    pub not_run: bool,
    /// Whether the target named by the request is not there any more, or does not hold the layers that the
    /// request needs of it.
    pub misdirected: bool,
    /// The engine of the path that is to blame, if another than the first.
    pub at_fault: Option<SocketAddr>,
    /// Load of the target.
    pub load: Option<Load>,
    /// What the target says of itself.
    pub said: Statement,
}

/// Why a request's head can't be taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadHead(pub String);

/// Decodes and encodes the heads of requests and answers, and decodes configurations.
pub trait Wire {
    /// Decode a configuration as published.
    ///
    /// # Errors
    /// What is wrong with it, and where.
    fn config(&self, raw: &[u8]) -> Result<Table, String>;

    /// Decode a caller's head.
    ///
    /// # Errors
    /// What is wrong with it.
    fn call(&self, headers: &HeaderMap) -> Result<CallHead, BadHead>;

    /// The headers for a target: those of the caller that concern it, and `add`.
    fn forward(&self, headers: &HeaderMap, add: &Addition<'_>) -> HeaderMap;

    /// Decode a target's head.
    fn answer(&self, status: u16, headers: &HeaderMap) -> AnswerHead;

    /// The headers of an answer that concern the caller.
    fn backward(&self, headers: &HeaderMap) -> HeaderMap;

    /// Orders to repair paths, if engines take them.
    fn repairs(&self) -> Option<&dyn Repair> {
        None
    }
}
