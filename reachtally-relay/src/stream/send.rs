//! Sending a request for a stream: selection of engines, and handling of the head of their answer.

use std::rc::Rc;
use std::time::Duration;

use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use reachtally_core::Instant;
use reachtally_core::forward::admission::{self, Offer};
use reachtally_core::forward::fleet::EngineKey;
use reachtally_core::forward::path::Path;
use reachtally_core::forward::select::{
    self, LatencyObjectives, Limits, NoPathReasons, Requirements, SelectionContext,
};
use reachtally_core::forward::stall;
use reachtally_core::life::NeverStarted;

use crate::answer::Body;
use crate::attempts::{Attempts, SendRecord};
use crate::exchange::{self, Recipient, SendFailure, TargetBody};
use crate::interruptions::{AssignedRuns, SendWatch};
use crate::occupied::RequestGuard;
use crate::receive::{ReceiveError, receive};
use crate::relay::Relay;
use crate::retries::SendProgress;
use crate::serve::Call;
use crate::stream::chain::{FIRST_EVENT_MARGIN, RunningChain, Timing, find_dead_among_silent};
use crate::stream::repair::{self, AcceptedRepair, Outcome, Repair};
use crate::target::{self, Answer, SendError};
use crate::wire::{AddedFields, AnswerHead};

/// Time without the head of an answer after which a chain that is silent on all streams is abandoned
/// although its engines accept connections. Loaded chains start within a second.
const SILENT_CHAIN_TIMEOUT: Duration = Duration::from_millis(1200);

/// Engines selected for a send.
pub(super) struct Selection {
    path: Option<Path>,
    engines: Vec<EngineKey>,
    /// Expected gap between events.
    gap: Duration,
    /// Expected time until the first event.
    first: Duration,
    /// What these engines offer to the request, for admission.
    pub offer: Offer,
    /// Number of ordered repairs of the path.
    repairs: u32,
}

impl Selection {
    /// Switches to a repaired path.
    fn apply_repair(&mut self, accepted: AcceptedRepair, occupied: &mut RequestGuard) {
        let path = accepted.choice.path;
        self.engines = path.engines();
        occupied.move_to(path.engines(), accepted.read);
        self.path = Some(path);
    }
}

/// The engine that a send goes to, and the progress of the send.
struct Destination<'a> {
    to: &'a Recipient,
    progress: &'a Rc<SendProgress>,
}

/// An answer of which the head has arrived, and the send that it answers.
struct Head {
    answer: Answer,
    progress: Rc<SendProgress>,
    /// When the run that answered was reached.
    sent_at: Instant,
}

/// The answer of the engines.
pub(super) enum EngineAnswer {
    /// The head of a stream, and the chain that produces its events.
    Stream(Box<(Response<()>, RunningChain)>),
    /// A complete error response of an engine.
    Failure(Response<Body>),
}

pub(super) fn need(call: &Call) -> Requirements {
    let max = call.head.max_answer_tokens;
    let answer = call.head.answer_hint.unwrap_or(max);
    let ms = |time: Duration| time.as_secs_f64() * 1000.0;
    let objectives = LatencyObjectives {
        first_ms: Some(ms(call.route.objective)),
        gap_ms: call.route.gap_objective().map(ms),
    };
    Requirements {
        prompt: call.head.prompt_tokens,
        answer: answer.max(1.0),
        objectives,
    }
}

/// Selects engines other than `avoid`.
pub(super) fn select_engines(relay: &Relay, call: &Call, avoid: &[EngineKey]) -> Option<Selection> {
    select_with(relay, call, avoid, Limits::Enforced)
}

/// Whether only rate limits prevent engines other than `avoid` from running a request.
pub(super) fn would_serve(relay: &Relay, call: &Call, avoid: &[EngineKey]) -> bool {
    let has_limits = relay.fleet.borrow().stated_limits().next().is_some();
    has_limits && select_with(relay, call, avoid, Limits::Ignored).is_some()
}

fn select_with(
    relay: &Relay,
    call: &Call,
    avoid: &[EngineKey],
    limits: Limits,
) -> Option<Selection> {
    let settings = relay.settings.borrow();
    let fleet = relay.fleet.borrow();
    let cx = SelectionContext {
        limits,
        ..relay.circumstance(&settings, avoid, call.draw)
    };
    let Some(model) = &call.service.model else {
        let max = relay.connection_limit(&call.service);
        let found = select::instance(&fleet, &call.service_name, max, &cx)?;
        return Some(Selection {
            path: None,
            offer: admission::instance_offer(&found, relay.held(), call.route.objective),
            engines: vec![found.engine],
            gap: FIRST_EVENT_MARGIN,
            first: FIRST_EVENT_MARGIN,
            repairs: 0,
        });
    };
    let found = select::path(&fleet, &call.service_name, model, need(call), &cx)?;
    Some(Selection {
        offer: admission::path_offer(
            &found,
            relay.admission.booked(&call.service_name, relay.now()),
        ),
        engines: found.path.engines(),
        path: Some(found.path),
        gap: found.token.mul_f64(model.stride.max(1.0)),
        first: found.first,
        repairs: 0,
    })
}

/// Returns the time until the back-off of engines that can serve the request ends.
pub(super) fn remaining_back_off(relay: &Relay, call: &Call) -> Option<Duration> {
    let service = &call.service_name;
    relay.remaining_back_off(service, call.draw, |fleet, cx| match &call.service.model {
        Some(model) => select::path(fleet, service, model, need(call), cx).is_some(),
        None => {
            let max = relay.connection_limit(&call.service);
            select::instance(fleet, service, max, cx).is_some()
        }
    })
}

/// Returns what prevents the engines from running a request, for the log.
fn capacity_shortfall(relay: &Relay, call: &Call, avoid: &[EngineKey]) -> Option<NoPathReasons> {
    let model = call.service.model.as_ref()?;
    let settings = relay.settings.borrow();
    let fleet = relay.fleet.borrow();
    let cx = relay.circumstance(&settings, avoid, call.draw);
    let found = select::no_path_reasons(&fleet, &call.service_name, model, need(call), &cx);
    Some(found)
}

/// Logs why there is no path for a request that is given up or a stream that is cut off.
pub(super) fn log_shortfall(relay: &Relay, call: &Call, avoid: &[EngineKey]) {
    if let Some(lacks) = capacity_shortfall(relay, call, avoid) {
        log::info!(event = "no-path", id = &*call.head.id, lacks:% = lacks; "no failure domain can run the request");
    }
}

/// Whether the request may be sent once more, and there is a path without `dead` or another box that may take the request over.
pub(super) fn can_reroute(
    relay: &Relay,
    call: &Call,
    attempts: &Attempts,
    dead: &[EngineKey],
) -> bool {
    if !call.route.is_repeatable() || !attempts.may_run(call) {
        return false;
    }
    let mut avoid = attempts.avoid.clone();
    avoid.extend_from_slice(dead);
    select_engines(relay, call, &avoid).is_some() || relay.may_hand_over(call)
}

/// Sends the request to the selected engines and waits for the head of the answer.
pub(super) async fn send(
    relay: &Rc<Relay>,
    call: &Call,
    mut selection: Selection,
    last: Option<u64>,
    attempts: &mut Attempts,
) -> Result<EngineAnswer, SendFailure> {
    let key = selection.engines[0];
    let progress = attempts.begin(relay, call, key, send_record(relay, call, &selection));
    let to = exchange::recipient(relay, key)?;
    let need = need(call);
    let mut occupied =
        RequestGuard::new(relay, selection.engines.clone(), need.held(), need.prompt);
    let timing = Timing::new(relay.now(), selection.first, selection.gap);
    let (answer, runs, sent_at) = wait_for_head(
        relay,
        call,
        &mut selection,
        &mut occupied,
        Destination {
            to: &to,
            progress: &progress,
        },
        last,
        attempts,
    )
    .await?;
    let head = Head {
        answer,
        progress,
        sent_at,
    };
    let mut answered = evaluate_head(relay, call, head, to, occupied, timing, attempts).await?;
    if let EngineAnswer::Stream(answer) = &mut answered {
        answer
            .1
            .set_path(selection.path, runs, last, selection.repairs);
    }
    Ok(answered)
}

/// Waits for the head of the answer; returns it with the time at which the run that answered was reached. While it is overdue, checks engines that are silent on all streams.
async fn wait_for_head(
    relay: &Rc<Relay>,
    call: &Call,
    selection: &mut Selection,
    occupied: &mut RequestGuard,
    destination: Destination<'_>,
    last: Option<u64>,
    attempts: &mut Attempts,
) -> Result<(Answer, AssignedRuns, Instant), SendFailure> {
    let Destination { to, progress } = destination;
    let (key, address, started_at) = (to.key, to.address, relay.now());
    let add = AddedFields {
        deadline: call.left(relay),
        target_run: &to.run.id,
        account: call.account.as_deref(),
        priority: call.priority,
        path: selection.path.as_ref(),
        last_event: last,
    };
    let req = exchange::request(relay, call, &add);
    let pooled = match call.route.is_repeatable() {
        true => relay.connections.take(address, relay.now()),
        false => None,
    };
    let is_reused = pooled.is_some();
    // The run that accepted a connection answers on it.
    let (pooled, sent_at) = match pooled {
        Some((pooled, since)) => (Some(pooled), since),
        None => (None, started_at),
    };
    let on_write = || progress.written(relay, call);
    let watch = SendWatch::new(relay, call, &selection.engines);
    let mut sending = std::pin::pin!(async {
        match pooled {
            Some(pooled) => target::send_on_idle(pooled, req, on_write).await,
            None => target::send(address, req, on_write).await,
        }
    });
    let mut stopped = relay.stopped();
    let mut quarantined = std::pin::pin!(relay.until_quarantined(call, &mut stopped));
    let first_wait = |first: Duration| first.mul_f64(stall::MAX_GAPS) + FIRST_EVENT_MARGIN;
    let mut wait = first_wait(selection.first);
    let mut repair: Option<Repair> = None;
    loop {
        let until = call.due.min(relay.now() + wait);
        let sent = tokio::select! {
            biased;
            sent = tokio::time::timeout_at(relay.timer(until), &mut sending) => sent,
            () = &mut quarantined => {
                watch.settle();
                let why = "request quarantined after engine crashes".to_owned();
                return Err(SendFailure::Lost(why));
            }
            answer = repair::wait_for_answer(&mut repair) => {
                let silent_for = relay.now().since(started_at);
                let outcome = repair.take().map(|repair| repair.finish(relay, call, to, answer, silent_for));
                match outcome {
                    Some(Outcome::Repaired(accepted)) => {
                        wait = first_wait(accepted.choice.first);
                        selection.apply_repair(accepted, occupied);
                        watch.move_to(&selection.engines);
                    }
                    Some(Outcome::Retry(again)) => repair = Some(again),
                    Some(Outcome::Failed(dead)) if can_reroute(relay, call, attempts, &dead) => {
                        return Err(abandon_silent(attempts, dead));
                    }
                    Some(Outcome::Failed(_)) | None => {}
                }
                continue;
            }
        };
        match sent {
            Ok(Ok(answer)) => return Ok((answer, watch.settle(), sent_at)),
            Ok(Err(SendError::NotConnected(why))) => {
                watch.settle();
                attempts.avoid.push(key);
                return Err(exchange::connect_failed(relay, key, &why));
            }
            Ok(Err(SendError::Broken(why))) => {
                watch.interrupted().await;
                return Err(mark_failed(relay, key, attempts, why));
            }
            Ok(Err(SendError::Stale(why))) => {
                watch.interrupted().await;
                return Err(SendFailure::Lost(why));
            }
            Ok(Err(SendError::Malformed(why))) => {
                watch.settle();
                let why = exchange::malformed(relay, call, to, &why);
                return Err(rejected(relay, key, attempts, is_reused, why));
            }
            Err(_) if relay.now() >= call.due => return Err(SendFailure::Late),
            Err(_) if repair.is_some() => continue,
            Err(_) => {}
        }
        let is_unresponsive = relay.now().since(started_at) > SILENT_CHAIN_TIMEOUT;
        if is_reused && is_unresponsive && can_reroute(relay, call, attempts, &[]) {
            let why = "no answer over a reused connection".to_owned();
            watch.interrupted().await;
            return Err(SendFailure::Lost(why));
        }
        let mut failed = find_dead_among_silent(relay, &selection.engines, wait).await;
        if !failed.is_empty() {
            watch.suspected().await;
        }
        if !failed.is_empty() && repair::may_repair(relay, call, selection.repairs, 0) {
            let path = selection.path.as_ref();
            let events = last.unwrap_or(0);
            repair = path
                .and_then(|path| Repair::start(relay, call, attempts, to, path, events, &failed));
            if repair.is_some() {
                selection.repairs += 1;
                continue;
            }
        }
        if failed.is_empty() && is_unresponsive {
            let silent = relay
                .progress
                .borrow()
                .silent_since(&selection.engines, started_at);
            failed = if silent.len() == selection.engines.len() {
                silent
            } else {
                Vec::new()
            };
        }
        if !failed.is_empty() && can_reroute(relay, call, attempts, &failed) {
            return Err(abandon_silent(attempts, failed));
        }
        wait = FIRST_EVENT_MARGIN;
    }
}

/// Abandons a send because these engines are silent.
fn abandon_silent(attempts: &mut Attempts, silent: Vec<EngineKey>) -> SendFailure {
    attempts.avoid.extend(silent);
    SendFailure::Lost("no first event, and engines are silent".to_owned())
}

/// Evaluates the head of an answer.
async fn evaluate_head(
    relay: &Rc<Relay>,
    call: &Call,
    head: Head,
    from: Recipient,
    occupied: RequestGuard,
    timing: Timing,
    attempts: &mut Attempts,
) -> Result<EngineAnswer, SendFailure> {
    let Head {
        answer,
        progress,
        sent_at,
    } = head;
    let status = answer.response.status();
    let is_reused = answer.is_reused;
    let head = exchange::decode_head(relay, call, &from, &answer.response, &progress, sent_at);
    let head = head.map_err(|why| {
        let why = exchange::malformed(relay, call, &from, &why);
        rejected(relay, from.key, attempts, is_reused, why)
    })?;
    if exchange::proves_not_run(call, &head) {
        return Err(handle_refusal(relay, &occupied, &head, status, attempts).await);
    }
    if let Some(why) = exchange::rejection_reason(call, &head, &answer.response) {
        let why = why.to_owned();
        return Err(rejected(relay, from.key, attempts, is_reused, why));
    }
    let (parts, body, connection, is_unframed) = exchange::split(relay, &from, answer);
    if status != StatusCode::OK {
        let keep = (connection, occupied);
        return receive_failure(relay, call, parts, body, keep).await;
    }
    let running = RunningChain::new(body, connection, occupied, from, timing, is_unframed, relay);
    Ok(EngineAnswer::Stream(Box::new((
        Response::from_parts(parts, ()),
        running,
    ))))
}

/// Records a response that cannot be the engine's own. On a reused connection it may be left of an earlier request, and says nothing of
/// the engine.
fn rejected(
    relay: &Relay,
    key: EngineKey,
    attempts: &mut Attempts,
    is_reused: bool,
    why: String,
) -> SendFailure {
    match is_reused {
        true => SendFailure::Lost(why),
        false => mark_failed(relay, key, attempts, why),
    }
}

/// Records a failure of the first engine after which the request may have run.
fn mark_failed(relay: &Relay, key: EngineKey, attempts: &mut Attempts, why: String) -> SendFailure {
    relay.target_failed(key, &why);
    attempts.avoid.push(key);
    SendFailure::Lost(why)
}

/// Handles a refusal. The blamed engine is excluded until its entry changes if it contradicted the entry; otherwise it gets a
/// cooldown and is probed.
async fn handle_refusal(
    relay: &Relay,
    occupied: &RequestGuard,
    head: &AnswerHead,
    status: StatusCode,
    attempts: &mut Attempts,
) -> SendFailure {
    let blamed = blamed_engine(relay, occupied.engines(), head);
    attempts.avoid.push(blamed);
    if head.misdirected {
        relay.target_contradicted(blamed);
    } else {
        relay.target_refused(blamed);
        occupied.refused();
        relay.find_dead(&[blamed]).await;
    }
    let address = relay.target_address(blamed);
    let why = format!("status {} by {address:?}", status.as_u16());
    SendFailure::NotRun(NeverStarted::TargetSaidSo, why)
}

/// Returns the engine of a path that is to blame for a refusal. Only the engines of the path are searched for the address, since
/// another run may be using it by now.
fn blamed_engine(relay: &Relay, engines: &[EngineKey], head: &AnswerHead) -> EngineKey {
    let is_blamed = |key: &&EngineKey| relay.target_address(**key) == head.at_fault;
    let found = engines.iter().find(is_blamed);
    found.copied().unwrap_or(engines[0])
}

/// Receives the error response of an engine. `keep` is dropped with its body.
async fn receive_failure(
    relay: &Relay,
    call: &Call,
    parts: Parts,
    body: TargetBody,
    keep: impl Sized + 'static,
) -> Result<EngineAnswer, SendFailure> {
    match receive(relay, call.due, body, keep).await {
        Ok((body, _)) => Ok(EngineAnswer::Failure(Response::from_parts(parts, body))),
        Err(ReceiveError::Late) => Err(SendFailure::Late),
        Err(ReceiveError::Broken(why)) => Err(SendFailure::Lost(why)),
    }
}

fn send_record(relay: &Relay, call: &Call, selection: &Selection) -> SendRecord {
    let fleet = relay.fleet.borrow();
    let first = fleet.get(selection.engines[0]);
    let names = selection.engines.iter().enumerate().map(|(at, key)| {
        let id = fleet.get(*key).map_or("gone", |engine| &engine.entry.id);
        match selection.path.as_ref().map(|path| &path.parts()[at].layers) {
            Some(layers) => format!("{id}={}-{}", layers.start, layers.end),
            None => id.to_owned(),
        }
    });
    SendRecord {
        after: relay.now().since(call.arrived),
        targets: names.collect::<Vec<String>>().join(","),
        running: first.map_or(0, |engine| engine.running),
        remote_running: first.map_or(0.0, |engine| engine.remote_running),
        expected_first: selection.first,
        suspicion: relay.suspicion_of(call),
    }
}
