//! One send of a request for a stream: which engines, and what comes of it.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use reachtally_core::forward::admission::{self, Offer};
use reachtally_core::forward::fleet::EngineKey;
use reachtally_core::forward::path::Path;
use reachtally_core::forward::select::{self, Aim, Circumstance, Limits, Need, Shortage};
use reachtally_core::forward::stall;
use reachtally_core::life::NeverStarted;

use crate::answer::{self, Body};
use crate::attempts::{Attempts, SendRecord};
use crate::exchange::{self, Recipient, Unanswered};
use crate::occupied::Occupied;
use crate::relay::Relay;
use crate::serve::Call;
use crate::stream::chain::{FIRST_SLACK, Pace, Running, dead_of_silent};
use crate::stream::repair::{self, Done, Outcome, Repair};
use crate::target::{self, Answer, SendError};
use crate::wire::{Addition, AnswerHead};

/// Time without the head of an answer after which a chain that is silent for all streams is left,
/// though its engines take connections. Loaded chains begin within a second.
const MUTE_AFTER: Duration = Duration::from_millis(1200);

/// Engines picked for a send.
pub(super) struct Pick {
    path: Option<Path>,
    engines: Vec<EngineKey>,
    /// Expected time between two events.
    gap: Duration,
    /// Expected time until the first.
    first: Duration,
    /// What it offers to the request.
    pub offer: Offer,
    /// Repairs of the path that were ordered.
    repairs: u32,
}

impl Pick {
    /// The request goes on over a repaired path.
    fn follow(&mut self, done: Done, occupied: &mut Occupied) {
        let path = done.choice.path;
        self.engines = path.engines();
        occupied.move_to(path.engines(), done.read);
        self.path = Some(path);
    }
}

/// What engines answered.
pub(super) enum Answered {
    /// The head of a stream, which follows.
    Stream(Box<(Response<()>, Running)>),
    /// A failure of the engine's own.
    Failure(Response<Body>),
}

pub(super) fn need(call: &Call) -> Need {
    let most = call.head.most_answer_tokens;
    let answer = call.head.answer_hint.unwrap_or(most);
    let ms = |time: Duration| time.as_secs_f64() * 1000.0;
    let aim = Aim {
        first_ms: Some(ms(call.route.objective)),
        gap_ms: call.route.gap_objective().map(ms),
    };
    Need {
        prompt: call.head.prompt_tokens,
        answer: answer.max(1.0),
        aim,
    }
}

/// Choose engines other than `avoid`.
pub(super) fn choose(relay: &Relay, call: &Call, avoid: &[EngineKey]) -> Option<Pick> {
    choose_with(relay, call, avoid, Limits::Enforced)
}

/// Whether only rate limits keep engines other than `avoid` from running a request.
pub(super) fn would_serve(relay: &Relay, call: &Call, avoid: &[EngineKey]) -> bool {
    let has_limits = relay.fleet.borrow().stated_limits().next().is_some();
    has_limits && choose_with(relay, call, avoid, Limits::Ignored).is_some()
}

fn choose_with(relay: &Relay, call: &Call, avoid: &[EngineKey], limits: Limits) -> Option<Pick> {
    let settings = relay.settings.borrow();
    let fleet = relay.fleet.borrow();
    let cx = Circumstance {
        limits,
        ..relay.circumstance(&settings, avoid, call.draw)
    };
    let Some(model) = &call.service.model else {
        let most = relay.most_connections(&call.service);
        let found = select::instance(&fleet, &call.service_name, most, &cx)?;
        return Some(Pick {
            path: None,
            offer: admission::instance_offer(&found, relay.held(), call.route.objective),
            engines: vec![found.engine],
            gap: FIRST_SLACK,
            first: FIRST_SLACK,
            repairs: 0,
        });
    };
    let found = select::path(&fleet, &call.service_name, model, need(call), &cx)?;
    Some(Pick {
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

/// Returns the time until engines that this box backs off from can serve the request.
pub(super) fn back_off_left(relay: &Relay, call: &Call) -> Option<Duration> {
    let service = &call.service_name;
    relay.back_off_left(service, call.draw, |fleet, cx| match &call.service.model {
        Some(model) => select::path(fleet, service, model, need(call), cx).is_some(),
        None => {
            let most = relay.most_connections(&call.service);
            select::instance(fleet, service, most, cx).is_some()
        }
    })
}

/// What keeps the engines from running a request, for the log.
fn shortage(relay: &Relay, call: &Call, avoid: &[EngineKey]) -> Option<Shortage> {
    let model = call.service.model.as_ref()?;
    let settings = relay.settings.borrow();
    let fleet = relay.fleet.borrow();
    let cx = relay.circumstance(&settings, avoid, call.draw);
    let found = select::shortage(&fleet, &call.service_name, model, need(call), &cx);
    Some(found)
}

/// Tell in the log why a request is given up or a stream cut for want of a path.
pub(super) fn log_shortage(relay: &Relay, call: &Call, avoid: &[EngineKey]) {
    if let Some(lacks) = shortage(relay, call, avoid) {
        log::info!(event = "no-path", id = &*call.head.id, lacks:% = lacks; "no failure domain can run the request");
    }
}

/// Whether the request may run once more, and there is a path without `dead`.
pub(super) fn may_go_elsewhere(
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
    choose(relay, call, &avoid).is_some()
}

/// Send the request to the engines picked, and wait for the head of the answer.
pub(super) async fn send(
    relay: &Rc<Relay>,
    call: &Call,
    mut pick: Pick,
    last: Option<u64>,
    attempts: &mut Attempts,
) -> Result<Answered, Unanswered> {
    let key = pick.engines[0];
    attempts.begin(relay, key, record(relay, call, &pick));
    let to = exchange::recipient(relay, key)?;
    let need = need(call);
    let mut occupied = Occupied::new(relay, pick.engines.clone(), need.held(), need.prompt);
    let pace = Pace::new(relay.now(), pick.first, pick.gap);
    let answer = head(relay, call, &mut pick, &mut occupied, &to, last, attempts).await?;
    let mut answered = judge(relay, call, answer, to, occupied, pace, attempts).await?;
    if let Answered::Stream(answer) = &mut answered {
        answer.1.follow(pick.path, last, pick.repairs);
    }
    Ok(answered)
}

/// Wait for the head. While it is overdue, engines that are silent for all streams are looked at.
async fn head(
    relay: &Rc<Relay>,
    call: &Call,
    pick: &mut Pick,
    occupied: &mut Occupied,
    to: &Recipient,
    last: Option<u64>,
    attempts: &mut Attempts,
) -> Result<Answer, Unanswered> {
    let (key, address, began) = (to.key, to.address, relay.now());
    let add = Addition {
        deadline: call.left(relay),
        target_run: &to.run.id,
        account: call.account.as_deref(),
        priority: call.priority,
        path: pick.path.as_ref(),
        last_event: last,
    };
    let req = exchange::request(relay, call, &add);
    let kept = match call.route.is_repeatable() {
        true => relay.connections.take(address, relay.now()),
        false => None,
    };
    let is_reused = kept.is_some();
    let mut sending = std::pin::pin!(async {
        match kept {
            Some(kept) => target::send_again(kept, req).await,
            None => target::send(address, req).await,
        }
    });
    let mut stopped = relay.stopped();
    let mut quarantined = std::pin::pin!(relay.until_quarantined(call, &mut stopped));
    let patience_for = |first: Duration| first.mul_f64(stall::MOST_GAPS) + FIRST_SLACK;
    let mut patience = patience_for(pick.first);
    let mut repair: Option<Repair> = None;
    loop {
        let until = call.due.min(relay.now() + patience);
        let sent = tokio::select! {
            biased;
            sent = tokio::time::timeout_at(relay.timer(until), &mut sending) => sent,
            () = &mut quarantined => {
                let why = "engines ended under it elsewhere".to_owned();
                return Err(Unanswered::Lost(why));
            }
            told = repair::answered(&mut repair) => {
                let silent_for = relay.now().since(began);
                let outcome = repair.take().map(|repair| repair.judge(relay, call, to, told, silent_for));
                match outcome {
                    Some(Outcome::Repaired(done)) => {
                        patience = patience_for(done.choice.first);
                        pick.follow(done, occupied);
                    }
                    Some(Outcome::Again(again)) => repair = Some(again),
                    Some(Outcome::Failed(dead)) if may_go_elsewhere(relay, call, attempts, &dead) => {
                        return Err(left_silent(attempts, dead));
                    }
                    Some(Outcome::Failed(_)) | None => {}
                }
                continue;
            }
        };
        match sent {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(SendError::NotConnected(why))) => {
                attempts.avoid.push(key);
                return Err(exchange::not_connected(relay, key, &why));
            }
            Ok(Err(SendError::Broken(why))) => return Err(failed(relay, key, attempts, why)),
            Ok(Err(SendError::Stale(why))) => return Err(Unanswered::Lost(why)),
            Err(_) if relay.now() >= call.due => return Err(Unanswered::Late),
            Err(_) if repair.is_some() => continue,
            Err(_) => {}
        }
        let is_mute = relay.now().since(began) > MUTE_AFTER;
        if is_reused && is_mute && may_go_elsewhere(relay, call, attempts, &[]) {
            let why = "a kept connection says nothing".to_owned();
            return Err(Unanswered::Lost(why));
        }
        let mut stuck = dead_of_silent(relay, &pick.engines, patience).await;
        if !stuck.is_empty() && repair::may_repair(relay, call, pick.repairs, 0) {
            let path = pick.path.as_ref();
            let events = last.unwrap_or(0);
            repair = path
                .and_then(|path| Repair::begin(relay, call, attempts, to, path, events, &stuck));
            if repair.is_some() {
                pick.repairs += 1;
                continue;
            }
        }
        if stuck.is_empty() && is_mute {
            let silent = relay.progress.borrow().silent_since(&pick.engines, began);
            stuck = if silent.len() == pick.engines.len() {
                silent
            } else {
                Vec::new()
            };
        }
        if !stuck.is_empty() && may_go_elsewhere(relay, call, attempts, &stuck) {
            return Err(left_silent(attempts, stuck));
        }
        patience = FIRST_SLACK;
    }
}

/// The request is left where it is, since these engines are silent.
fn left_silent(attempts: &mut Attempts, silent: Vec<EngineKey>) -> Unanswered {
    attempts.avoid.extend(silent);
    Unanswered::Lost("no first event, and its engines are silent".to_owned())
}

/// What the head of an answer says.
async fn judge(
    relay: &Rc<Relay>,
    call: &Call,
    answer: Answer,
    from: Recipient,
    occupied: Occupied,
    pace: Pace,
    attempts: &mut Attempts,
) -> Result<Answered, Unanswered> {
    let status = answer.response.status();
    let head = exchange::head_of(relay, call, &from, &answer.response);
    if exchange::proves_not_run(call, &head) {
        return Err(not_run(relay, &occupied, &head, status, attempts).await);
    }
    if let Some(why) = exchange::mistrust(call, &head, &answer.response) {
        return Err(match answer.is_reused {
            true => Unanswered::Lost(why.to_owned()),
            false => failed(relay, from.key, attempts, why.to_owned()),
        });
    }
    let (mut parts, body) = answer.response.into_parts();
    parts.headers = relay.wire.backward(&parts.headers);
    if status != StatusCode::OK {
        return failure(parts, body).await;
    }
    parts.headers.remove(CONTENT_LENGTH);
    let running = Running::new(body, answer.connection, occupied, from, pace, relay);
    Ok(Answered::Stream(Box::new((
        Response::from_parts(parts, ()),
        running,
    ))))
}

/// The first engine has failed, and the request may have run.
fn failed(relay: &Relay, key: EngineKey, attempts: &mut Attempts, why: String) -> Unanswered {
    relay.target_failed(key, &why);
    attempts.avoid.push(key);
    Unanswered::Lost(why)
}

/// The engine that is to blame is left alone: until its entry changes if it does not hold what that says,
/// else for a moment, and it is asked whether it is there at all.
async fn not_run(
    relay: &Relay,
    occupied: &Occupied,
    head: &AnswerHead,
    status: StatusCode,
    attempts: &mut Attempts,
) -> Unanswered {
    let blamed = blamed(relay, occupied.engines(), head);
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
    Unanswered::NotRun(NeverStarted::TargetSaidSo, why)
}

/// The engine of a path that is to blame for a refusal. Another run may have its address by now, so the
/// address alone does not tell.
fn blamed(relay: &Relay, engines: &[EngineKey], head: &AnswerHead) -> EngineKey {
    let is_at_fault = |key: &&EngineKey| relay.target_address(**key) == head.at_fault;
    let found = engines.iter().find(is_at_fault);
    found.copied().unwrap_or(engines[0])
}

/// A failure that an engine answered, whole.
async fn failure(parts: Parts, body: Incoming) -> Result<Answered, Unanswered> {
    let held = body.collect().await;
    let held = held.map_err(|err| Unanswered::Lost(err.to_string()))?;
    let whole = answer::whole(held.to_bytes());
    Ok(Answered::Failure(Response::from_parts(parts, whole)))
}

fn record(relay: &Relay, call: &Call, pick: &Pick) -> SendRecord {
    let fleet = relay.fleet.borrow();
    let first = fleet.get(pick.engines[0]);
    let names = pick.engines.iter().enumerate().map(|(at, key)| {
        let id = fleet.get(*key).map_or("gone", |engine| &engine.entry.id);
        match pick.path.as_ref().map(|path| &path.parts()[at].layers) {
            Some(layers) => format!("{id}={}-{}", layers.start, layers.end),
            None => id.to_owned(),
        }
    });
    SendRecord {
        after: relay.now().since(call.arrived),
        targets: names.collect::<Vec<String>>().join(","),
        running: first.map_or(0, |engine| engine.running),
        remote_running: first.map_or(0.0, |engine| engine.remote_running),
        expected_first: pick.first,
    }
}
