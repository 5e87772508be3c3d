//! Requests with one body as their answer, for instances of plain services.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::{Request, Response, StatusCode};
use reachtally_core::forward::fleet::EngineKey;
use reachtally_core::forward::select;
use reachtally_core::life::NeverStarted;

use crate::answer::{self, Body, CutShort};
use crate::attempts::{Attempts, SendRecord};
use crate::relay::{Occupied, Relay};
use crate::serve::Call;
use crate::target::{self, Driver, SendError};
use crate::wire::{Addition, AnswerHead};

/// Answers up to this size are held whole before they are passed on, so that one which breaks off
/// can be fetched again.
const HELD_BYTES: u64 = 256 * 1024;

/// What one send came to.
enum Sent {
    /// A whole answer.
    Answer(Response<Body>),
    /// Proven that nothing ran.
    NotRun(NeverStarted, String),
    /// It may have run.
    Unknown(String),
    /// It took until the final answer was due.
    Late,
}

/// Relay a request; yields the final answer.
pub(crate) async fn relay(relay: &Rc<Relay>, call: &Call) -> Response<Body> {
    let mut attempts = Attempts::new();
    let mut failure: Option<Response<Body>> = None;
    while let Some(key) = choose(relay, call, &attempts.avoid) {
        if !attempts.may_send(relay, call) {
            break;
        }
        attempts.begin(relay, record(relay, call, key));
        attempts.avoid.push(key);
        match send(relay, call, key).await {
            Sent::Answer(response) => {
                attempts.answered();
                if !is_retried(call, &response, &attempts) {
                    return answered(relay, call, response);
                }
                failure = Some(response);
            }
            Sent::NotRun(proof, why) => attempts.not_run(relay, call, proof, &why),
            Sent::Unknown(why) => attempts.lost(relay, call, &why),
            Sent::Late => {
                attempts.late();
                break;
            }
        }
    }
    match failure {
        Some(response) => answered(relay, call, response),
        None => attempts.give_up(relay, call),
    }
}

fn answered(relay: &Relay, call: &Call, response: Response<Body>) -> Response<Body> {
    relay.count(|tally| tally.requests_answered += 1);
    let took = relay.now().since(call.arrived);
    relay.times.answer.observe(took.as_secs_f64());
    response
}

/// Whether a failure that a target answered is tried elsewhere.
fn is_retried(call: &Call, response: &Response<Body>, attempts: &Attempts) -> bool {
    response.status().is_server_error() && call.route.is_repeatable() && attempts.may_run(call)
}

fn record(relay: &Relay, call: &Call, key: EngineKey) -> SendRecord {
    let fleet = relay.fleet.borrow();
    let engine = fleet.get(key);
    SendRecord {
        after: relay.now().since(call.arrived),
        targets: engine.map_or_else(String::new, |engine| engine.entry.id.to_string()),
        running: engine.map_or(0, |engine| engine.running),
        running_elsewhere: engine.map_or(0.0, |engine| engine.others_told),
        expected_first: call.route.objective,
    }
}

fn choose(relay: &Relay, call: &Call, tried: &[EngineKey]) -> Option<EngineKey> {
    let settings = relay.settings.borrow();
    let fleet = relay.fleet.borrow();
    let cx = relay.circumstance(&settings, tried, call.draw);
    let most = (call.service.max_connections / relay.boxes()).max(1);
    select::instance(&fleet, &call.service_name, most, &cx, call.draw)
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

async fn send(relay: &Rc<Relay>, call: &Call, key: EngineKey) -> Sent {
    let Some((address, run)) = relay
        .fleet
        .borrow()
        .get(key)
        .map(|engine| (engine.entry.address, engine.entry.id.clone()))
    else {
        return Sent::NotRun(NeverStarted::ConnectFailed, "the target is gone".to_owned());
    };
    let occupied = Occupied::new(relay, vec![key], 0.0);
    let add = Addition {
        deadline: call.deadline.since(relay.now()),
        target_run: &run,
        account: call.account.as_deref(),
        priority: call.priority,
        path: None,
        last_event: None,
    };
    let sending = target::send(address, request(relay, call, &add));
    let due = relay.clock(call.due);
    let answer = match tokio::time::timeout_at(due, sending).await {
        Err(_) => return Sent::Late,
        Ok(Err(SendError::NotConnected(why))) => {
            relay.target_dead(key);
            return Sent::NotRun(NeverStarted::ConnectFailed, why);
        }
        Ok(Err(SendError::Broken(why))) => {
            relay.target_failed(key, &why);
            return Sent::Unknown(why);
        }
        Ok(Ok(answer)) => answer,
    };
    let head = relay
        .wire
        .answer(answer.response.status().as_u16(), answer.response.headers());
    note_load(relay, key, &head);
    if let Some(sent) = unusable(relay, call, key, &head, answer.response.status()) {
        return sent;
    }
    match tokio::time::timeout_at(
        due,
        receive(relay, answer.response, answer.driver, occupied),
    )
    .await
    {
        Err(_) => Sent::Late,
        Ok(Ok(response)) => Sent::Answer(response),
        Ok(Err(why)) => {
            relay.target_failed(key, &why);
            Sent::Unknown(why)
        }
    }
}

/// Keep the load that a target told, less what this box itself has there.
pub(crate) fn note_load(relay: &Relay, key: EngineKey, head: &AnswerHead) {
    let Some(load) = head.load else {
        return;
    };
    if let Some(engine) = relay.fleet.borrow_mut().get_mut(key) {
        let others = (load.running + load.waiting).saturating_sub(engine.running);
        engine.others_told = f64::from(others);
    }
}

/// Heads of answers that are not passed on: of another request, not run, or without a seal.
fn unusable(
    relay: &Relay,
    call: &Call,
    key: EngineKey,
    head: &AnswerHead,
    status: StatusCode,
) -> Option<Sent> {
    if head.not_run {
        return Some(Sent::NotRun(
            NeverStarted::TargetSaidSo,
            format!("status {status}"),
        ));
    }
    if let Some(why) = mistrust(call, head, status) {
        relay.target_failed(key, why);
        return Some(Sent::Unknown(why.to_owned()));
    }
    None
}

/// Why an answer's head can't be the target's answer to this request, if so.
pub(crate) fn mistrust(call: &Call, head: &AnswerHead, status: StatusCode) -> Option<&'static str> {
    if head.id.as_deref() != Some(call.head.id.as_str()) {
        return Some("the answer is another request's");
    }
    if !head.sealed {
        return Some("the answer has no seal");
    }
    let promises = [408, 421, 429, 503];
    if promises.contains(&status.as_u16()) {
        return Some("the status would promise that nothing ran");
    }
    None
}

/// Read an answer. Small ones are held until they are whole.
async fn receive(
    relay: &Relay,
    response: Response<Incoming>,
    driver: Driver,
    occupied: Occupied,
) -> Result<Response<Body>, String> {
    let (mut parts, body) = response.into_parts();
    parts.headers = relay.wire.backward(&parts.headers);
    if parts.headers.contains_key(hyper::header::CONTENT_ENCODING) {
        return Err("the answer is encoded".to_owned());
    }
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > HELD_BYTES) {
        let passing = body.map_err(move |_| {
            let _ = (&driver, &occupied);
            CutShort
        });
        return Ok(Response::from_parts(parts, Box::pin(passing)));
    }
    let held = body.collect().await.map_err(|err| err.to_string())?;
    Ok(Response::from_parts(parts, answer::whole(held.to_bytes())))
}
