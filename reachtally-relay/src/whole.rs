//! Forwards requests for plain services, whose response is a single body.

use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use reachtally_core::Instant;
use reachtally_core::forward::admission::Offer;
use reachtally_core::forward::fleet::{Engine, EngineKey};
use reachtally_core::forward::select::{self, ConnectionLimit, Instance, Limits, SelectionContext};
use reachtally_core::life::NeverStarted;
use reachtally_framing::Malformed;

use crate::admission::Decision;
use crate::answer::Body;
use crate::attempts::{Attempts, SendRecord};
use crate::exchange::{self, Recipient, SendFailure};
use crate::handoff;
use crate::interruptions::{AnswerProgress, AssignedRuns, SendWatch, UnconfirmedAnswer};
use crate::occupied::RequestGuard;
use crate::quarantine::Completion;
use crate::receive::{ReceiveError, receive};
use crate::relay::Relay;
use crate::retries::{RetryCause, SendProgress};
use crate::serve::Call;
use crate::startup::Milestone;
use crate::target::{self, DialError, SendError};
use crate::wire::{AddedFields, Statement};

/// Relays a request and returns the final response.
pub(crate) async fn relay(relay: &Rc<Relay>, call: &Call) -> Response<Body> {
    let mut attempts = Attempts::new(call);
    let mut failure: Option<Response<Body>> = None;
    let mut is_admitted = false;
    loop {
        if attempts.is_stopped(relay, call) {
            break;
        }
        let found = choose(relay, call, &attempts.avoid, Limits::Enforced);
        if !is_admitted && let Some(offered) = offer(relay, call, found) {
            is_admitted = true;
            let look = || offer(relay, call, choose(relay, call, &[], Limits::Enforced));
            match relay.admit(call, offered, look).await {
                Decision::Admitted => {}
                Decision::AdmittedLater => continue,
                Decision::Refused(after) => {
                    attempts.shed(after);
                    break;
                }
            }
        }
        let Some(found) = found else {
            let would_serve = choose(relay, call, &attempts.avoid, Limits::Ignored).is_some();
            attempts.put_back_allowance();
            if relay.await_permits(call, would_serve).await {
                continue;
            }
            break;
        };
        if !attempts.may_send(relay, call) {
            break;
        }
        let key = found.engine;
        let progress = attempts.begin(relay, call, key, send_record(relay, call, key));
        attempts.avoid.push(key);
        let sent_at = relay.now();
        match send(relay, call, key, &progress).await {
            Ok(response) => {
                attempts.answered(RetryCause::Failure);
                let took = relay.now().since(sent_at);
                let admission = &relay.admission;
                admission.record_run_time(&call.service_name, took, found.used);
                if !should_retry(call, &response, &attempts) {
                    return answered(relay, call, response);
                }
                failure = Some(response);
            }
            Err(why) => {
                if !attempts.failed(relay, call, why) {
                    break;
                }
            }
        }
    }
    if let Some(response) = failure {
        return answered(relay, call, response);
    }
    if let Some(response) = hand_over(relay, call, &mut attempts).await {
        return answered(relay, call, response);
    }
    attempts.give_up(relay, call, remaining_back_off(relay, call))
}

/// Hands the request over to other boxes, if its targets are out of reach, and returns the response.
async fn hand_over(
    relay: &Rc<Relay>,
    call: &Call,
    attempts: &mut Attempts,
) -> Option<Response<Body>> {
    loop {
        let handoff = handoff::hand_over(relay, call, attempts, None).await?;
        let (parts, body) = handoff.response.into_parts();
        let why = match receive(relay, call.due, body, ()).await {
            Err(ReceiveError::Late) => SendFailure::Late,
            Err(ReceiveError::Broken(why)) => SendFailure::Lost(why),
            Ok((body, _)) => {
                attempts.handoff_answered();
                return Some(Response::from_parts(parts, body));
            }
        };
        // The last of these sends is counted as lost below.
        attempts.handoff_lost(handoff.possible_runs.get().saturating_sub(1));
        if !attempts.failed(relay, call, why) {
            return None;
        }
    }
}

fn answered(relay: &Relay, call: &Call, response: Response<Body>) -> Response<Body> {
    relay.count(|tally| tally.requests_answered += 1);
    relay.reach(Milestone::Request);
    let took = relay.now().since(call.arrived);
    relay.times.answer.observe(took.as_secs_f64());
    response
}

/// Returns whether a request with a server error is sent to another target.
fn should_retry(call: &Call, response: &Response<Body>, attempts: &Attempts) -> bool {
    response.status().is_server_error() && call.route.is_repeatable() && attempts.may_run(call)
}

fn send_record(relay: &Relay, call: &Call, key: EngineKey) -> SendRecord {
    let fleet = relay.fleet.borrow();
    let engine = fleet.get(key);
    SendRecord {
        after: relay.now().since(call.arrived),
        targets: engine.map_or_else(String::new, |engine| engine.entry.id.to_string()),
        running: engine.map_or(0, |engine| engine.running),
        remote_running: engine.map_or(0.0, |engine| engine.reported_remote_running),
        expected_first: call.route.objective,
        suspicion: relay.suspicion_of(call),
    }
}

/// Returns the offer of a choice to a request. If only this box's share of connections keeps it from an
/// instance, there is an offer too, since a connection will be free soon.
fn offer(relay: &Relay, call: &Call, found: Option<Instance>) -> Option<Offer> {
    let is_offered = found.is_some()
        || choose_with(relay, call, &[], Limits::Enforced, ConnectionLimit::NONE).is_some();
    is_offered.then(|| relay.instance_offer(call, found))
}

fn choose(relay: &Relay, call: &Call, tried: &[EngineKey], limits: Limits) -> Option<Instance> {
    let max_connections = relay.connection_limit(&call.service);
    choose_with(relay, call, tried, limits, max_connections)
}

fn choose_with(
    relay: &Relay,
    call: &Call,
    tried: &[EngineKey],
    limits: Limits,
    max_connections: ConnectionLimit,
) -> Option<Instance> {
    let settings = relay.settings.borrow();
    let fleet = relay.fleet.borrow();
    let cx = SelectionContext {
        limits,
        ..relay.circumstance(&settings, tried, call.draw)
    };
    select::instance(&fleet, &call.service_name, max_connections, &cx)
}

/// Returns the time until instances that this box backs off from can serve the request.
fn remaining_back_off(relay: &Relay, call: &Call) -> Option<Duration> {
    relay.remaining_back_off(&call.service_name, call.draw, |fleet, cx| {
        let max_connections = relay.connection_limit(&call.service);
        select::instance(fleet, &call.service_name, max_connections, cx).is_some()
    })
}

/// Sends the request to a target and returns the response.
async fn send(
    relay: &Rc<Relay>,
    call: &Call,
    key: EngineKey,
    progress: &Rc<SendProgress>,
) -> Result<Response<Body>, SendFailure> {
    let to = exchange::recipient(relay, key)?;
    let occupied = RequestGuard::new(relay, vec![key], 0.0, 0.0);
    if progress.is_retry() || call.is_handoff {
        confirm_reads(relay, call, &to).await?;
    }
    let add = AddedFields {
        deadline: call.left(relay),
        target_run: &to.run.id,
        account: call.account.as_deref(),
        priority: call.priority,
        path: None,
        last_event: None,
    };
    let on_write = || progress.written(relay, call);
    let sent_at = relay.now();
    let watch = SendWatch::new(relay, call, &[key]);
    let malformed = |why: &Malformed| {
        watch.settle();
        failed(relay, key, exchange::malformed(relay, call, &to, why))
    };
    let sending = target::send(to.address, exchange::request(relay, call, &add), on_write);
    let answer = match relay.run_until(call.due, watch.during(sending)).await {
        None => return Err(SendFailure::Late),
        Some(Err(SendError::NotConnected(why))) => {
            watch.settle();
            return Err(exchange::connect_failed(relay, key, &why));
        }
        Some(Err(SendError::Broken(why) | SendError::Stale(why))) => {
            watch.interrupted().await;
            return Err(failed(relay, key, why));
        }
        Some(Err(SendError::Malformed(why))) => return Err(malformed(&why)),
        Some(Ok(answer)) => answer,
    };
    let head = exchange::decode_head(relay, call, &to, &answer.response, progress, sent_at);
    let head = head.map_err(|why| malformed(&why))?;
    if exchange::proves_not_run(call, &head) {
        watch.settle();
        let why = format!("status {}", answer.response.status());
        return Err(SendFailure::NotRun(NeverStarted::TargetSaidSo, why));
    }
    if let Some(why) = exchange::rejection_reason(call, &head, &answer.response) {
        watch.settle();
        return Err(failed(relay, key, why.to_owned()));
    }
    let began = relay.now();
    let (parts, body, connection, is_unframed) = exchange::split(relay, &to, answer);
    let keep = (connection, occupied);
    let (body, is_complete) = match watch.during(receive(relay, call.due, body, keep)).await {
        Ok(received) => received,
        Err(ReceiveError::Late) => return Err(SendFailure::Late),
        Err(ReceiveError::Broken(why)) => {
            watch.interrupted().await;
            return Err(failed(relay, key, why));
        }
    };
    let mut runs = watch.settle();
    if is_complete && parts.status.is_success() {
        complete(relay, call, &mut runs, began, is_unframed);
    }
    Ok(Response::from_parts(parts, body))
}

/// Makes sure that a target reads what it is sent, unless it has just shown that. A retry that it read late would give it more time than
/// remains, since the time left is stated when the request is written.
async fn confirm_reads(relay: &Relay, call: &Call, to: &Recipient) -> Result<(), SendFailure> {
    let now = relay.now();
    let has_just_responded = |engine: &Engine| engine.has_just_responded(now);
    if relay
        .fleet
        .borrow()
        .get(to.key)
        .is_some_and(has_just_responded)
    {
        return Ok(());
    }
    relay.count(|tally| tally.reads_checked += 1);
    let asked_at = relay.now();
    let checking = target::check_reads(to.address, &call.service.health_path);
    match relay.run_until(call.due, checking).await {
        None => Err(SendFailure::Late),
        Some(Ok(response)) => {
            relay.note_response(to.key);
            let head = response.and_then(|response| {
                let status = response.status().as_u16();
                relay.wire.answer(status, response.headers())
            });
            let statement = match head {
                Ok(head) => head.statement,
                Err(why) => {
                    exchange::malformed(relay, call, to, &why);
                    Statement::default()
                }
            };
            relay.apply_statement(&to.run, statement, asked_at);
            if statement.accepts_requests() {
                return Ok(());
            }
            let why = "the target accepts no requests, by its response to a health check";
            let never_started = NeverStarted::ConnectFailed;
            Err(SendFailure::NotRun(never_started, why.to_owned()))
        }
        Some(Err(why)) => {
            relay.count(|tally| tally.reads_unconfirmed += 1);
            if let DialError::Silent = why {
                log::info!(event = "reads-unconfirmed", id = &*call.head.id, target = &*to.run.id; "target does not respond to a health check; the request goes elsewhere");
                relay.target_unread(to.key);
                let why = "no response to a health check".to_owned();
                return Err(SendFailure::NotRun(NeverStarted::ConnectFailed, why));
            }
            Err(exchange::connect_failed(relay, to.key, &why))
        }
    }
}

/// Records a complete answer that began at `began`.
fn complete(
    relay: &Relay,
    call: &Call,
    runs: &mut AssignedRuns,
    began: Instant,
    is_unframed: bool,
) {
    if is_unframed {
        let answer = UnconfirmedAnswer {
            began,
            proves_parts: true,
        };
        return relay.completed_unframed(call, runs, AnswerProgress::NONE, answer);
    }
    relay.record_completion(call, Completion::Whole);
    relay.record_proof(call, began, Completion::Whole);
}

/// Records the failure of a target that may have run the request.
fn failed(relay: &Relay, key: EngineKey, why: String) -> SendFailure {
    relay.target_failed(key, &why);
    SendFailure::Lost(why)
}
