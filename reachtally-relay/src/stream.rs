//! Requests whose answer is a series of events, for chains of engines.
//!
//! Events are passed on as they come, only whole and only in order. When the engines break off or
//! stop making progress, a stream that may be resumed goes on over another chain within the same
//! answer, after the last event that the caller got.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use reachtally_core::Instant;
use reachtally_core::forward::fleet::EngineKey;
use reachtally_core::forward::path::Path;
use reachtally_core::forward::routes::Shape;
use reachtally_core::forward::select::{self, Need};
use reachtally_core::forward::stall;
use reachtally_core::life::{Life, NeverStarted, Refusal, State, Unknown};

use crate::answer::{self, Body, CutShort};
use crate::events::Splitter;
use crate::relay::{Occupied, Relay};
use crate::serve::Call;
use crate::target::{self, Driver, SendError};
use crate::whole::{mistrust, note_load, request};
use crate::wire::Addition;

/// Most sends of one request, refused ones included.
const MOST_SENDS: u32 = 5;
/// Silence before the first event that counts as overdue, beside the expected time: the engines may
/// have other prompts to read first.
const FIRST_SLACK: Duration = Duration::from_millis(350);
/// Pause between two looks for a path where none was found.
const LOOK_AGAIN: Duration = Duration::from_millis(40);
/// How long a stream that broke off waits for another path.
const LOOK_FOR: Duration = Duration::from_millis(1500);
/// Of this many successes, one is logged: by id, so that all boxes log the same ones.
const SUCCESSES_LOGGED: u64 = 16;
/// Weight of a new gap in the running mean of a stream's gaps.
const GAP_WEIGHT: f64 = 0.2;

/// A chain at work on a stream.
struct Running {
    body: Incoming,
    driver: Driver,
    occupied: Occupied,
    /// Expected time between two events.
    gap: Duration,
    /// What was expected of the chain, and what it did, for the log.
    record: Record,
}

/// What was expected of a chain, and what it did.
#[derive(Debug, Clone, Copy)]
struct Record {
    expected_first: Duration,
    expected_gap: Duration,
    began: Instant,
    first: Option<Duration>,
    longest_gap: Duration,
    events: u32,
    running: u32,
}

impl Record {
    fn note(&mut self, now: Instant, since: Instant) {
        match self.first {
            None => self.first = Some(now.since(self.began)),
            Some(_) => self.longest_gap = self.longest_gap.max(now.since(since)),
        }
        self.events += 1;
    }

    fn log(&self, relay: &Relay, call: &Call, engines: &[EngineKey]) {
        let ms = |time: Duration| time.as_millis() as u64;
        let first = self.first.unwrap_or_default();
        let took = relay.now().since(self.began);
        let gaps = self.events.saturating_sub(1).max(1);
        if call.draw % SUCCESSES_LOGGED != 0 {
            return;
        }
        log::info!(
            event = "ended", id = &*call.head.id, parts = engines.len(), first:? = engines.first(),
            first_ms = ms(first), expected_first_ms = ms(self.expected_first),
            gap_us = (took.saturating_sub(first) / gaps).as_micros() as u64,
            expected_gap_us = self.expected_gap.as_micros() as u64,
            longest_ms = ms(self.longest_gap), events = self.events, running = self.running,
            prompt = call.head.prompt_tokens as u64;
            "a stream ended"
        );
    }
}

/// Engines picked for a send.
struct Pick {
    path: Option<Path>,
    engines: Vec<EngineKey>,
    token: Duration,
    first: Duration,
}

/// What one send came to.
enum Sent {
    Answer(Box<(Response<()>, Running)>),
    /// A failure that the engine itself answered.
    Failure(Response<Body>),
    NotRun(NeverStarted, String),
    Unknown(String),
    Late,
}

/// Attempts of one request.
struct Attempts {
    state: State,
    sends: u32,
    ran: u32,
    avoid: Vec<EngineKey>,
}

/// Relay a request; yields the answer's head, its body follows.
pub(crate) async fn relay(relay: &Rc<Relay>, call: Call) -> Response<Body> {
    let mut attempts = Attempts {
        state: State::Admitted(Life::default().admit()),
        sends: 0,
        ran: 0,
        avoid: Vec::new(),
    };
    let mut late = false;
    let last = call.head.last_event;
    while attempts.sends < MOST_SENDS {
        let Some(pick) = choose(relay, &call, &attempts.avoid) else {
            break;
        };
        if attempts.sends > 0 && !relay.take_second(&call.service_name) {
            log::info!(event = "budget", id = &*call.head.id, service = &*call.service_name; "no second send left");
            break;
        }
        attempts.sends += 1;
        attempts.state = attempts.state.dispatch();
        match send(relay, &call, pick, last, &mut attempts).await {
            Sent::Answer(answer) => {
                let (head, running) = *answer;
                return streamed(relay.clone(), call, head, running, attempts);
            }
            Sent::Failure(response) => return response,
            Sent::NotRun(proof, why) => {
                log::info!(event = "not-run", id = &*call.head.id, why = &*why, sends = attempts.sends; "engines ran nothing of the request");
                if attempts.ran == 0 {
                    attempts.state = attempts.state.never_started(proof);
                }
            }
            Sent::Unknown(why) => {
                log::info!(event = "lost", id = &*call.head.id, why = &*why, sends = attempts.sends; "an answer was lost");
                attempts.ran += 1;
                if !call.route.is_repeatable() || attempts.ran >= call.route.max_attempts {
                    break;
                }
            }
            Sent::Late => {
                late = true;
                break;
            }
        }
    }
    let unknown = if late {
        Unknown::Deadline
    } else {
        Unknown::AnswerLost
    };
    let refusal = if attempts.sends == 0 {
        Refusal::NoTarget
    } else {
        Refusal::NeverStarted
    };
    let end = attempts.state.give_up(refusal, unknown);
    log::info!(event = "given-up", id = &*call.head.id, end:? = end, sends = attempts.sends; "the request was given up");
    answer::given_up(&end, call.left(relay), call.draw)
}

fn need(call: &Call) -> Need {
    let hint = call
        .head
        .answer_hint
        .unwrap_or(call.head.most_answer_tokens);
    Need {
        prompt: call.head.prompt_tokens,
        answer: hint.max(1.0),
    }
}

fn choose(relay: &Relay, call: &Call, avoid: &[EngineKey]) -> Option<Pick> {
    let settings = relay.settings.borrow();
    let fleet = relay.fleet.borrow();
    let cx = relay.circumstance(&settings, avoid);
    match &call.service.model {
        Some(model) => {
            let found = select::path(&fleet, &call.service_name, model, need(call), &cx)?;
            Some(Pick {
                engines: found.path.engines(),
                path: Some(found.path),
                token: found.token.mul_f64(model.stride.max(1.0)),
                first: found.first,
            })
        }
        None => {
            let most = call.service.max_connections;
            let key = select::instance(&fleet, &call.service_name, most, &cx, call.draw)?;
            Some(Pick {
                path: None,
                engines: vec![key],
                token: FIRST_SLACK,
                first: FIRST_SLACK,
            })
        }
    }
}

async fn send(
    relay: &Rc<Relay>,
    call: &Call,
    pick: Pick,
    last: Option<u64>,
    attempts: &mut Attempts,
) -> Sent {
    let key = pick.engines[0];
    let Some((address, run)) = relay
        .fleet
        .borrow()
        .get(key)
        .map(|engine| (engine.entry.address, engine.entry.id.clone()))
    else {
        return Sent::NotRun(NeverStarted::ConnectFailed, "the engine is gone".to_owned());
    };
    let need = need(call);
    let occupied = Occupied::new(relay, pick.engines, need.prompt + need.answer);
    let add = Addition {
        deadline: call.deadline.since(relay.now()),
        target_run: &run,
        account: call.account.as_deref(),
        priority: call.priority,
        path: pick.path.as_ref(),
        last_event: last,
    };
    let began = relay.now();
    let running = relay
        .fleet
        .borrow()
        .get(key)
        .map_or(0, |engine| engine.running);
    let req = request(relay, call, &add);
    let mut sending = std::pin::pin!(target::send(address, req));
    let mut patience = pick.first.mul_f64(stall::SILENCE_GAPS) + FIRST_SLACK;
    let result = loop {
        let until = call.due.min(relay.now() + patience);
        match tokio::time::timeout_at(relay.clock(until), &mut sending).await {
            Ok(result) => break result,
            Err(_) if relay.now() >= call.due => return Sent::Late,
            Err(_) => {}
        }
        let silent = relay
            .progress
            .borrow()
            .silent_since(occupied.engines(), began);
        let may_resend = call.route.is_repeatable() && attempts.ran + 1 < call.route.max_attempts;
        if may_resend && silent.len() == occupied.engines().len() {
            let mut avoid = attempts.avoid.clone();
            avoid.extend_from_slice(&silent);
            if choose(relay, call, &avoid).is_some() {
                attempts.avoid = avoid;
                return Sent::Unknown("no first event in time".to_owned());
            }
        }
        patience = FIRST_SLACK;
    };
    let answer = match result {
        Ok(answer) => answer,
        Err(SendError::NotConnected(why)) => {
            relay.target_dead(key);
            attempts.avoid.push(key);
            return Sent::NotRun(NeverStarted::ConnectFailed, why);
        }
        Err(SendError::Broken(why)) => {
            relay.target_failed(key, &why);
            attempts.avoid.push(key);
            return Sent::Unknown(why);
        }
    };
    let status = answer.response.status();
    let head = relay
        .wire
        .answer(status.as_u16(), answer.response.headers());
    note_load(relay, key, &head);
    if head.not_run {
        let at_fault = head
            .at_fault
            .and_then(|address| relay.fleet.borrow().at(address));
        let at_fault = at_fault.unwrap_or(key);
        attempts.avoid.push(at_fault);
        let why = format!("status {status} by engine {at_fault:?}");
        relay.target_refused(at_fault);
        relay.dead_of(&[at_fault]).await;
        return Sent::NotRun(NeverStarted::TargetSaidSo, why);
    }
    if let Some(why) = mistrust(call, &head, status) {
        relay.target_failed(key, why);
        attempts.avoid.push(key);
        return Sent::Unknown(why.to_owned());
    }
    let (mut parts, body) = answer.response.into_parts();
    parts.headers = relay.wire.backward(&parts.headers);
    if parts.headers.contains_key(hyper::header::CONTENT_ENCODING) {
        attempts.avoid.push(key);
        return Sent::Unknown("the answer is encoded".to_owned());
    }
    if status != StatusCode::OK {
        return failure(parts, body).await;
    }
    parts.headers.remove(CONTENT_LENGTH);
    let running = Running {
        body,
        driver: answer.driver,
        occupied,
        gap: pick.token,
        record: Record {
            expected_first: pick.first,
            expected_gap: pick.token,
            began,
            first: None,
            longest_gap: Duration::ZERO,
            events: 0,
            running,
        },
    };
    Sent::Answer(Box::new((Response::from_parts(parts, ()), running)))
}

/// A failure that an engine answered, whole.
async fn failure(parts: hyper::http::response::Parts, body: Incoming) -> Sent {
    match body.collect().await {
        Ok(held) => Sent::Failure(Response::from_parts(parts, answer::whole(held.to_bytes()))),
        Err(err) => Sent::Unknown(err.to_string()),
    }
}

/// How a chain stopped.
enum Stopped {
    /// The stream is whole.
    Whole,
    /// The engines broke off.
    Broke(String),
    /// These of its engines are dead.
    Dead(Vec<EngineKey>),
    /// The final answer is due.
    Late,
}

fn streamed(
    relay: Rc<Relay>,
    call: Call,
    head: Response<()>,
    running: Running,
    attempts: Attempts,
) -> Response<Body> {
    let (parts, ()) = head.into_parts();
    let events = async_stream::stream! {
        let mut running = running;
        let mut attempts = attempts;
        let mut splitter = Splitter::after(call.head.last_event);
        attempts.ran += 1;
        loop {
            let stopped = {
                let mut chain = std::pin::pin!(follow(&relay, &call, &attempts, &mut running, &mut splitter));
                loop {
                    match chain.next().await {
                        Some(Step::Events(bytes)) => yield Ok(Frame::data(bytes)),
                        Some(Step::Stopped(stopped)) => break stopped,
                        None => break Stopped::Broke("the stream ended".to_owned()),
                    }
                }
            };
            match stopped {
                Stopped::Whole => return,
                Stopped::Late => {
                    log::info!(event = "cut", id = &*call.head.id, last:? = splitter.last(); "the stream took too long");
                    yield Err(CutShort);
                    return;
                }
                Stopped::Broke(why) => {
                    log::info!(event = "broke", id = &*call.head.id, why = &*why, last:? = splitter.last(); "a stream broke off");
                    let dead = relay.dead_of(running.occupied.engines()).await;
                    match dead.is_empty() {
                        true => attempts.avoid.extend(running.occupied.engines().first()),
                        false => attempts.avoid.extend(dead),
                    }
                    let until = relay.now() + LOOK_FOR;
                    match resume(&relay, &call, &mut attempts, &splitter, until).await {
                        Some(other) => running = other,
                        None => {
                            log::info!(event = "cut", id = &*call.head.id, last:? = splitter.last(), sends = attempts.sends; "the stream can't go on");
                            yield Err(CutShort);
                            return;
                        }
                    }
                }
                Stopped::Dead(engines) => {
                    log::info!(event = "stage-dead", id = &*call.head.id, engines = engines.len(), last:? = splitter.last(); "engines of a stream are dead");
                    attempts.avoid.extend_from_slice(&engines);
                    let now = relay.now();
                    match resume(&relay, &call, &mut attempts, &splitter, now).await {
                        Some(other) => running = other,
                        None => continue,
                    }
                }
            }
            splitter.restart();
        }
    };
    Response::from_parts(parts, Box::pin(StreamBody::new(events)))
}

/// What comes of a chain next.
enum Step {
    Events(Bytes),
    Stopped(Stopped),
}

/// Follow one chain until it stops.
fn follow<'a>(
    relay: &'a Rc<Relay>,
    call: &'a Call,
    attempts: &'a Attempts,
    running: &'a mut Running,
    splitter: &'a mut Splitter,
) -> impl futures::Stream<Item = Step> + 'a {
    async_stream::stream! {
        let _driver = &running.driver;
        let mut since = relay.now();
        let mut look_at = since + stall::overdue_after(running.gap) + FIRST_SLACK;
        loop {
            let until = relay.clock(call.due.min(look_at));
            let frame = match tokio::time::timeout_at(until, running.body.frame()).await {
                Ok(frame) => frame,
                Err(_) if relay.now() >= call.due => {
                    yield Step::Stopped(Stopped::Late);
                    return;
                }
                Err(_) => {
                    let dead = dead(relay, running.occupied.engines(), since).await;
                    if !dead.is_empty() && may_go_elsewhere(relay, call, attempts, &dead) {
                        yield Step::Stopped(Stopped::Dead(dead));
                        return;
                    }
                    look_at = relay.now() + stall::overdue_after(running.gap);
                    continue;
                }
            };
            let data = match frame {
                None if splitter.has_part() => {
                    yield Step::Stopped(Stopped::Broke("it ended within an event".to_owned()));
                    return;
                }
                None => {
                    running.record.log(relay, call, running.occupied.engines());
                    relay.note_held(relay.now().since(running.record.began));
                    yield Step::Stopped(Stopped::Whole);
                    return;
                }
                Some(Err(err)) => {
                    yield Step::Stopped(Stopped::Broke(err.to_string()));
                    return;
                }
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            let now = relay.now();
            relay.progress.borrow_mut().note(running.occupied.engines(), now);
            match splitter.push(&data) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => yield Step::Events(events),
                Err(_) => {
                    yield Step::Stopped(Stopped::Broke("an event does not end".to_owned()));
                    return;
                }
            }
            running.record.note(now, since);
            let gap = now.since(since).as_secs_f64();
            let mean = running.gap.as_secs_f64();
            running.gap = Duration::from_secs_f64(mean + GAP_WEIGHT * (gap - mean));
            since = now;
            look_at = now + stall::overdue_after(running.gap);
        }
    }
}

/// Engines of a path without progress since `since` that take no connections.
async fn dead(relay: &Relay, engines: &[EngineKey], since: Instant) -> Vec<EngineKey> {
    let silent = relay.progress.borrow().silent_since(engines, since);
    relay.dead_of(&silent).await
}

/// Whether the request may be sent once more, and there is a path without `dead`.
fn may_go_elsewhere(relay: &Relay, call: &Call, attempts: &Attempts, dead: &[EngineKey]) -> bool {
    if !call.route.is_repeatable() || attempts.ran >= call.route.max_attempts {
        return false;
    }
    let mut avoid = attempts.avoid.clone();
    avoid.extend_from_slice(dead);
    choose(relay, call, &avoid).is_some()
}

/// Go on over another chain after the last event that the caller got.
async fn resume(
    relay: &Rc<Relay>,
    call: &Call,
    attempts: &mut Attempts,
    splitter: &Splitter,
    until: Instant,
) -> Option<Running> {
    let Shape::Events {
        resumable: true, ..
    } = call.route.shape
    else {
        return None;
    };
    while attempts.ran < call.route.max_attempts && attempts.sends < MOST_SENDS {
        let Some(pick) = choose(relay, call, &attempts.avoid) else {
            if relay.now() >= until {
                return None;
            }
            tokio::time::sleep(LOOK_AGAIN).await;
            continue;
        };
        if !relay.take_second(&call.service_name) {
            log::info!(event = "budget", id = &*call.head.id, service = &*call.service_name; "no second send left");
            return None;
        }
        attempts.sends += 1;
        match send(relay, call, pick, splitter.last(), attempts).await {
            Sent::Answer(answer) => {
                attempts.ran += 1;
                log::info!(event = "resumed", id = &*call.head.id, last:? = splitter.last(), sends = attempts.sends; "the stream goes on over another chain");
                return Some(answer.1);
            }
            Sent::NotRun(_, why) => {
                log::info!(event = "not-resumed", id = &*call.head.id, why = &*why; "another chain did not take the stream");
            }
            Sent::Unknown(why) => {
                log::info!(event = "not-resumed", id = &*call.head.id, why = &*why; "another chain lost the stream");
                attempts.ran += 1;
            }
            Sent::Failure(response) => {
                log::info!(event = "not-resumed", id = &*call.head.id, status = response.status().as_u16(); "another chain did not take the stream");
                return None;
            }
            Sent::Late => return None,
        }
    }
    None
}
