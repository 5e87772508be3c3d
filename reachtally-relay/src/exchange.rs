//! What requests with one body and requests for streams share of an exchange with a target.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::{Request, Response};
use reachtally_core::forward::fleet::{EngineKey, TargetRun};
use reachtally_core::life::NeverStarted;

use crate::relay::Relay;
use crate::serve::Call;
use crate::target::DialError;
use crate::wire::{Addition, AnswerHead, LimitHeader};

/// Why a send yielded no answer that can be passed on.
pub(crate) enum Unanswered {
    /// Proven that nothing ran.
    NotRun(NeverStarted, String),
    /// It may have run.
    Lost(String),
    /// It took until the final answer was due.
    Late,
}

/// Statuses that promise callers that nothing ran. Without a target's proof they are not passed on.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The target of a send. Its row may go while the send is under way.
pub(crate) struct Recipient {
    pub key: EngineKey,
    /// Where it listens.
    pub address: SocketAddr,
    pub run: TargetRun,
}

/// The target in row `key`.
pub(crate) fn recipient(relay: &Relay, key: EngineKey) -> Result<Recipient, Unanswered> {
    let fleet = relay.fleet.borrow();
    let Some(engine) = fleet.get(key) else {
        let why = "the target is gone".to_owned();
        return Err(Unanswered::NotRun(NeverStarted::ConnectFailed, why));
    };
    Ok(Recipient {
        key,
        address: engine.entry.address,
        run: engine.entry.run(),
    })
}

/// No connection to a target came about.
pub(crate) fn not_connected(relay: &Relay, key: EngineKey, why: &DialError) -> Unanswered {
    match why {
        DialError::Refused(_) => relay.target_dead(key),
        DialError::Silent => relay.target_silent(key),
    }
    Unanswered::NotRun(NeverStarted::ConnectFailed, why.to_string())
}

/// The request as a target gets it.
pub(crate) fn request(relay: &Relay, call: &Call, add: &Addition<'_>) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.parts.method.clone();
    *req.uri_mut() = origin_form(call);
    *req.headers_mut() = relay.wire.forward(&call.parts.headers, add);
    req
}

/// The target of the request line as a server expects it: path and query alone.
fn origin_form(call: &Call) -> hyper::Uri {
    match call.parts.uri.path_and_query() {
        Some(path) => hyper::Uri::from(path.clone()),
        None => hyper::Uri::from_static("/"),
    }
}

/// Decode an answer's head. The load that it tells, less what this box itself has there, and what the target asks of this
/// box are kept.
pub(crate) fn head_of(
    relay: &Relay,
    call: &Call,
    from: &Recipient,
    response: &Response<Incoming>,
) -> AnswerHead {
    let head = relay
        .wire
        .answer(response.status().as_u16(), response.headers());
    let now = relay.now();
    let mut fleet = relay.fleet.borrow_mut();
    if let (Some(load), Some(engine)) = (head.load, fleet.get_mut(from.key)) {
        let others = (load.running + load.waiting).saturating_sub(engine.running);
        engine.others_told = f64::from(others);
        engine.queues.state(load.waiting, now);
        engine.others_told_at = now;
    }
    drop(fleet);
    relay.target_said(&from.run, head.said);
    if head.said.limit == LimitHeader::Absent && is_own(call, &head) {
        relay.target_names_no_limit(&from.run);
    }
    head
}

/// Whether the target itself made the answer, for this request.
fn is_own(call: &Call, head: &AnswerHead) -> bool {
    let is_vouched = head.sealed || (head.not_run && !head.misdirected);
    is_vouched && is_answer_to(call, head)
}

/// Whether an answer proves that the target ran nothing of this request. A refusal may come from what stands before the target
/// and reads no ids, so it may lack one.
pub(crate) fn proves_not_run(call: &Call, head: &AnswerHead) -> bool {
    head.not_run && (head.id.is_none() || is_answer_to(call, head))
}

/// Whether an answer carries the id of this request.
fn is_answer_to(call: &Call, head: &AnswerHead) -> bool {
    head.id.as_deref() == Some(call.head.id.as_str())
}

/// Why an answer can't be the target's answer to this request, if so.
pub(crate) fn mistrust(
    call: &Call,
    head: &AnswerHead,
    response: &Response<Incoming>,
) -> Option<&'static str> {
    if !is_answer_to(call, head) {
        return Some("the answer is another request's");
    }
    if !head.sealed {
        return Some("the answer has no seal");
    }
    if PROMISES.contains(&response.status().as_u16()) {
        return Some("the status would promise that nothing ran");
    }
    if response.headers().contains_key(CONTENT_ENCODING) {
        return Some("the answer is encoded");
    }
    None
}
