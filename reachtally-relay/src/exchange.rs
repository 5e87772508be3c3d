//! Request and response handling shared by plain requests and streams.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as HttpBody, Incoming};
use hyper::header::CONTENT_ENCODING;
use hyper::http::response::Parts;
use hyper::{Request, Response, Version};
use reachtally_core::Instant;
use reachtally_core::forward::fleet::{EngineKey, Evidence, TargetRun};
use reachtally_core::life::NeverStarted;
use reachtally_framing::{Framing, Malformed};

use crate::relay::Relay;
use crate::retries::SendProgress;
use crate::serve::Call;
use crate::target::{self, Answer, Connection, DialError};
use crate::wire::{AddedFields, AnswerHead, LimitHeader};

/// Reason why a send yielded no response that can be passed on.
pub(crate) enum SendFailure {
    /// The request provably did not run.
    NotRun(NeverStarted, String),
    /// The request may have run.
    Lost(String),
    /// The final response was due before the send completed.
    Late,
}

/// Statuses that tell callers that the request did not run. They are passed on only with a target's proof.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Target of a send. Its row may be removed while the send is in progress.
#[derive(Debug, Clone)]
pub(crate) struct Recipient {
    pub key: EngineKey,
    /// Address that it listens on.
    pub address: SocketAddr,
    pub run: TargetRun,
}

/// Returns the target in row `key`.
pub(crate) fn recipient(relay: &Relay, key: EngineKey) -> Result<Recipient, SendFailure> {
    let fleet = relay.fleet.borrow();
    let Some(engine) = fleet.get(key) else {
        let why = "the target has been removed".to_owned();
        return Err(SendFailure::NotRun(NeverStarted::ConnectFailed, why));
    };
    Ok(Recipient {
        key,
        address: engine.entry.address,
        run: engine.entry.run(),
    })
}

/// Records a failure to connect to a target.
pub(crate) fn connect_failed(relay: &Relay, key: EngineKey, why: &DialError) -> SendFailure {
    match why {
        DialError::Refused(err) => relay.target_dead(key, dial_evidence(err)),
        DialError::Silent => relay.target_silent(key),
    }
    SendFailure::NotRun(NeverStarted::ConnectFailed, why.to_string())
}

fn dial_evidence(err: &std::io::Error) -> Evidence {
    match err.kind() {
        ErrorKind::ConnectionRefused => Evidence::Refused,
        _ => Evidence::Silent,
    }
}

/// Returns the request to send to a target.
pub(crate) fn request(relay: &Relay, call: &Call, add: &AddedFields<'_>) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.parts.method.clone();
    *req.uri_mut() = origin_form(call);
    *req.headers_mut() = relay.wire.forward(&call.parts.headers, add);
    req
}

/// Returns the request target in origin form: path and query only.
fn origin_form(call: &Call) -> hyper::Uri {
    match call.parts.uri.path_and_query() {
        Some(path) => hyper::Uri::from(path.clone()),
        None => hyper::Uri::from_static("/"),
    }
}

/// Decodes the head of the response to a request that was sent at `sent_at`. Records the reported load, less this box's own requests
/// there, and the target's statement about itself.
pub(crate) fn decode_head(
    relay: &Relay,
    call: &Call,
    from: &Recipient,
    response: &Response<Incoming>,
    progress: &SendProgress,
    sent_at: Instant,
) -> Result<AnswerHead, Malformed> {
    let head = relay
        .wire
        .answer(response.status().as_u16(), response.headers())?;
    if head.id.is_none() || matches_request(call, &head) {
        progress.read(relay, call);
        relay.note_response(from.key);
    }
    let now = relay.now();
    let mut fleet = relay.fleet.borrow_mut();
    if let (Some(load), Some(engine)) = (head.load, fleet.get_mut(from.key)) {
        let others = (load.running + load.waiting).saturating_sub(engine.running);
        engine.reported_remote_running = f64::from(others);
        engine.queues.record(load.waiting, now);
        engine.reported_remote_at = now;
    }
    drop(fleet);
    relay.apply_statement(&from.run, head.statement, sent_at);
    if head.statement.limit == LimitHeader::Absent && is_from_target(call, &head) {
        relay.target_names_no_limit(&from.run);
    }
    Ok(head)
}

/// Records a malformed response, after which the request may have run. Returns why it was lost.
pub(crate) fn malformed(relay: &Relay, call: &Call, from: &Recipient, why: &Malformed) -> String {
    log::warn!(event = "response-malformed", id = &*call.head.id, target = &*from.run.id, address:% = from.address, why:% = why; "dropped a malformed response");
    relay.count(|tally| tally.responses_malformed += 1);
    format!("malformed response: {why}")
}

/// Returns whether the response was made by the target itself, and for this request.
fn is_from_target(call: &Call, head: &AnswerHead) -> bool {
    let is_vouched = head.sealed || (head.not_run && !head.misdirected);
    is_vouched && matches_request(call, head)
}

/// Returns whether a response proves that the target did not run this request. A refusal may lack the request
/// id, since a component in front of the target that does not read ids may have sent it.
pub(crate) fn proves_not_run(call: &Call, head: &AnswerHead) -> bool {
    head.not_run && (head.id.is_none() || matches_request(call, head))
}

/// Returns whether a response carries the id of this request.
fn matches_request(call: &Call, head: &AnswerHead) -> bool {
    head.id.as_deref() == Some(call.head.id.as_str())
}

/// Body of a target's response. It fails if the response broke off.
pub(crate) type TargetBody = Pin<Box<dyn HttpBody<Data = Bytes, Error = String>>>;

/// Returns the head of a response for the caller, its body and connection, and whether only the end of the connection ends the body.
///
/// The system ends the connections of a process that crashed as if it had closed them. So the end of such a body counts only if its
/// target still accepts connections.
pub(crate) fn split(
    relay: &Relay,
    from: &Recipient,
    answer: Answer,
) -> (Parts, TargetBody, Connection, bool) {
    let (mut parts, body) = answer.response.into_parts();
    let is_unframed = answer.framing == Framing::ConnectionEnd;
    relay.count(|tally| tally.responses_unframed += u64::from(is_unframed));
    parts.headers = relay.wire.backward(&parts.headers);
    // The framing on the caller's connection does not depend on the target's protocol version.
    parts.version = Version::HTTP_11;
    let mut body = body.map_err(|err| err.to_string());
    if !is_unframed {
        return (parts, Box::pin(body), answer.connection, false);
    }
    let address = from.address;
    let frames = async_stream::stream! {
        while let Some(frame) = body.frame().await {
            yield frame;
        }
        if target::refuses_connections(address).await {
            yield Err("connection ended with its target".to_owned());
        }
    };
    let body = Box::pin(StreamBody::new(frames));
    (parts, body, answer.connection, true)
}

/// Returns why a response cannot be accepted as the target's response to this request, if so.
pub(crate) fn rejection_reason(
    call: &Call,
    head: &AnswerHead,
    response: &Response<Incoming>,
) -> Option<&'static str> {
    if !matches_request(call, head) {
        return Some("the response belongs to another request");
    }
    if !head.sealed {
        return Some("the response has no seal");
    }
    if NOT_RUN_STATUSES.contains(&response.status().as_u16()) {
        return Some("the status says that the request did not run, without proof");
    }
    if response.headers().contains_key(CONTENT_ENCODING) {
        return Some("the response has a content encoding");
    }
    None
}
