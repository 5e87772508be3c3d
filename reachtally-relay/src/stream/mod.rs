//! Requests whose answer is a series of events, for chains of engines.
//!
//! Events are passed on as they come, only whole and only in order. When the engines break off or are
//! found dead, a stream that may be resumed goes on over another chain within the same answer, after
//! the last event that the caller got. Where the first engine lives it is asked to repair the path instead.
//!
//! Engines are read ahead of the caller, up to a bound. Beyond it they are held up.

mod ahead;
mod chain;
mod repair;
mod send;

use std::rc::Rc;
use std::time::Duration;

use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use reachtally_core::Instant;
use reachtally_core::forward::routes::Shape;

use crate::admission::Decision;
use crate::answer::{Body, CutShort};
use crate::attempts::Attempts;
use crate::events::Splitter;
use crate::quarantine::Progress;
use crate::relay::Relay;
use crate::serve::Call;
use crate::target::Driver;
pub(crate) use ahead::Pool;
use ahead::{Ahead, Item, Room};
use chain::{Running, Stopped};
use send::Answered;

/// Pause between two looks for a path where none was found.
const LOOK_AGAIN: Duration = Duration::from_millis(40);
/// How long a stream that broke off waits for another path; callers leave after two seconds.
const LOOK_FOR: Duration = Duration::from_millis(1500);

/// Relay a request; yields the answer's head, its body follows.
pub(crate) async fn relay(relay: &Rc<Relay>, call: Call) -> Response<Body> {
    let mut attempts = Attempts::new();
    let last = call.head.last_event;
    let mut is_admitted = false;
    loop {
        let pick = send::choose(relay, &call, &attempts.avoid);
        if !is_admitted && let Some(offered) = pick.as_ref().map(|pick| pick.offer) {
            is_admitted = true;
            let look = || Some(send::choose(relay, &call, &[])?.offer);
            match relay.admit(&call, offered, look).await {
                Decision::Admitted => {}
                Decision::AdmittedLater => continue,
                Decision::Refused(after) => {
                    attempts.shed(after);
                    break;
                }
            }
        }
        let Some(pick) = pick else {
            let would_serve = send::would_serve(relay, &call, &attempts.avoid);
            if relay.await_permits(&call, would_serve).await {
                continue;
            }
            send::log_shortage(relay, &call, &attempts.avoid);
            break;
        };
        if !attempts.may_send(relay, &call) {
            break;
        }
        match send::send(relay, &call, pick, last, &mut attempts).await {
            Ok(Answered::Stream(answer)) => {
                attempts.answered();
                let (head, running) = *answer;
                return streamed(relay.clone(), call, head, running, attempts);
            }
            Ok(Answered::Failure(response)) => {
                relay.answered_whole(&call);
                return response;
            }
            Err(why) => {
                if !attempts.failed(relay, &call, why) {
                    break;
                }
            }
        }
    }
    let back_off = send::back_off_left(relay, &call);
    attempts.give_up(relay, &call, back_off)
}

/// An answer whose body gets the events that a task of its own reads. Dropping the body ends the task.
fn streamed(
    relay: Rc<Relay>,
    call: Call,
    head: Response<()>,
    running: Running,
    attempts: Attempts,
) -> Response<Body> {
    let (parts, ()) = head.into_parts();
    let (ahead, mut queue) = ahead::queue(&relay);
    let reading = read(relay.clone(), call, running, attempts, ahead);
    let reader = Driver(tokio::task::spawn_local(reading));
    let events = async_stream::stream! {
        let _reader = reader;
        loop {
            match queue.recv().await {
                Some(Item::Events(events)) => yield Ok(Frame::data(events)),
                Some(Item::Whole) => {
                    relay.count(|tally| tally.requests_answered += 1);
                    return;
                }
                None => {
                    yield Err(CutShort);
                    return;
                }
            }
        }
    };
    Response::from_parts(parts, Box::pin(StreamBody::new(events)))
}

/// Follow chains until the stream is whole or can't go on.
async fn read(
    relay: Rc<Relay>,
    call: Call,
    mut running: Running,
    mut attempts: Attempts,
    ahead: Ahead,
) {
    let mut splitter = Splitter::after(call.head.last_event);
    loop {
        let room = ahead.room(&relay, call.due).await;
        if let Room::Since(paused) = room {
            running.paused(paused, relay.now());
        }
        let next = match room {
            Room::Late => Err(Stopped::Late),
            Room::Now | Room::Since(_) => {
                running.next(&relay, &call, &attempts, &mut splitter).await
            }
        };
        let stopped = match next {
            Ok(events) => {
                ahead.push(events);
                continue;
            }
            Err(stopped) => stopped,
        };
        let stream = Stream {
            relay: &relay,
            call: &call,
            splitter: &splitter,
            running: &running,
            ahead: &ahead,
        };
        match go_on(&stream, &mut attempts, stopped).await {
            Next::Done => return ahead.end(),
            Next::Other(other) => {
                running = *other;
                splitter.restart();
            }
            Next::Same => running.wait_from(relay.now()),
            Next::Cut(why) => {
                relay.count(|tally| tally.streams_cut += 1);
                attempts.log(&relay, &call);
                log::info!(event = "cut", id = &*call.head.id, why = why, last:? = splitter.last(), sends = attempts.sends(); "the stream ends before it is whole");
                return;
            }
            Next::Unread(why) => {
                relay.count(|tally| tally.readers_cut += 1);
                log::info!(event = "slow-reader", id = &*call.head.id, why = "its engine gave up", broke = &*why, last:? = splitter.last(), held = relay.read_ahead(); "a caller read too slowly and is cut off");
                return;
            }
        }
    }
}

/// A stream whose chain stopped.
struct Stream<'a> {
    relay: &'a Rc<Relay>,
    call: &'a Call,
    splitter: &'a Splitter,
    running: &'a Running,
    ahead: &'a Ahead,
}

/// How a stream goes on after its chain stopped.
enum Next {
    /// It is whole.
    Done,
    /// Over another chain.
    Other(Box<Running>),
    /// Over the same one, which is not over yet.
    Same,
    /// Not at all.
    Cut(&'static str),
    /// Not at all, since its caller read too slowly for the engine.
    Unread(String),
}

async fn go_on(stream: &Stream<'_>, attempts: &mut Attempts, stopped: Stopped) -> Next {
    let Stream {
        relay,
        call,
        splitter,
        running,
        ahead,
    } = *stream;
    match stopped {
        Stopped::Whole => Next::Done,
        Stopped::Late => Next::Cut("it took as long as it may"),
        Stopped::Quarantined => Next::Cut("engines ended under it elsewhere"),
        Stopped::Unread(why) if relay.find_dead(running.engines()).await.is_empty() => {
            Next::Unread(why)
        }
        Stopped::Broke(why) | Stopped::Unread(why) => {
            log::info!(event = "broke", id = &*call.head.id, why = &*why, last:? = splitter.last(), events = running.events(), targets = &*running.names(relay), fingerprint:% = call.fingerprint(); "a stream broke off");
            note_end(relay, call, running).await;
            let dead = relay.find_dead(running.engines()).await;
            match dead.is_empty() {
                true => attempts.avoid.extend(running.engines().first()),
                false => attempts.avoid.extend(dead),
            }
            // Another chain would be held up in its turn.
            ahead.until_taken().await;
            let until = relay.now() + LOOK_FOR;
            match resume(relay, call, attempts, splitter, until).await {
                Some(other) => Next::Other(Box::new(other)),
                None => {
                    send::log_shortage(relay, call, &attempts.avoid);
                    Next::Cut("no other chain took it")
                }
            }
        }
        Stopped::Dead(engines) => {
            log::info!(event = "stage-dead", id = &*call.head.id, engines = engines.len(), last:? = splitter.last(); "engines of a stream are dead");
            if engines.first() == running.engines().first() {
                note_end(relay, call, running).await;
            }
            attempts.avoid.extend(engines);
            ahead.until_taken().await;
            let now = relay.now();
            match resume(relay, call, attempts, splitter, now).await {
                Some(other) => Next::Other(Box::new(other)),
                None => Next::Same,
            }
        }
    }
}

/// The first engine of a chain broke off or is dead. Where the chain had begun the request and yielded nothing, the request may
/// be the cause; what had come further is left out, since a hundred streams break with each engine.
async fn note_end(relay: &Relay, call: &Call, running: &Running) {
    if running.events() == 0 {
        relay
            .target_broke_off(call, running.first(), Progress::Begun)
            .await;
    }
}

/// Go on over another chain after the last event that the caller got; look for one until `until`.
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
    loop {
        let Some(pick) = send::choose(relay, call, &attempts.avoid) else {
            if relay.now() >= until || !attempts.may_run(call) {
                return None;
            }
            tokio::time::sleep(LOOK_AGAIN).await;
            continue;
        };
        if !attempts.may_send(relay, call) {
            return None;
        }
        match send::send(relay, call, pick, splitter.last(), attempts).await {
            Ok(Answered::Stream(answer)) => {
                attempts.answered();
                relay.count(|tally| tally.streams_resumed += 1);
                log::info!(event = "resumed", id = &*call.head.id, last:? = splitter.last(), send = attempts.sends(); "the stream goes on over another chain");
                return Some(answer.1);
            }
            Ok(Answered::Failure(response)) => {
                // The request ran there, so that it counts: the chain that is waited for again may stop once more.
                attempts.answered();
                relay.answered_whole(call);
                log::info!(event = "not-resumed", id = &*call.head.id, status = response.status().as_u16(); "another chain answered with a failure");
                return None;
            }
            Err(why) => {
                if !attempts.failed(relay, call, why) {
                    return None;
                }
            }
        }
    }
}
