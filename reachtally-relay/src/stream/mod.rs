//! Relaying of streamed answers: events that a chain of engines produces.
//!
//! Events are forwarded as they arrive, only complete ones and only in order. If the chain breaks off or
//! some of its engines are found dead, a resumable stream continues over another chain within the same
//! answer, after the last event that the caller received. If the first engine is alive, it is asked to
//! repair the path instead.
//!
//! Events are read ahead of the caller up to a bound, beyond which the engines are subject to backpressure.

mod ahead;
mod chain;
mod repair;
mod send;
mod source;

use std::rc::Rc;
use std::time::Duration;

use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use reachtally_core::Instant;
use reachtally_core::forward::fleet::EngineKey;
use reachtally_core::forward::routes::ResponseShape;

use crate::admission::Decision;
use crate::answer::{Body, BodyTruncated, EndedBy};
use crate::attempts::Attempts;
use crate::events::Splitter;
use crate::handoff::{self, Handoff};
use crate::relay::Relay;
use crate::retries::RetryCause;
use crate::serve::Call;
use crate::startup::Milestone;
use crate::target::Driver;
pub(crate) use ahead::ReadAheadPool;
use ahead::{EventQueue, Item, Readiness};
use chain::{RunningChain, StopReason};
use send::EngineAnswer;
use source::Source;

/// Interval between attempts to find another path for an interrupted stream.
const RESUME_RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Time for which an interrupted stream waits for another path. Callers give up after two seconds.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1500);

/// Relays a request; returns the head of the answer, with a body that streams the events.
pub(crate) async fn relay(relay: &Rc<Relay>, call: Call) -> Response<Body> {
    let mut attempts = Attempts::new(&call);
    let last = call.head.last_event;
    let mut is_admitted = false;
    loop {
        if attempts.is_stopped(relay, &call) {
            break;
        }
        let selection = send::select_engines(relay, &call, &attempts.avoid);
        if !is_admitted && let Some(offered) = selection.as_ref().map(|selection| selection.offer) {
            is_admitted = true;
            let reselect = || Some(send::select_engines(relay, &call, &[])?.offer);
            match relay.admit(&call, offered, reselect).await {
                Decision::Admitted => {}
                Decision::AdmittedLater => continue,
                Decision::Refused(after) => {
                    attempts.shed(after);
                    break;
                }
            }
        }
        let Some(selection) = selection else {
            let would_serve = send::would_serve(relay, &call, &attempts.avoid);
            attempts.put_back_allowance();
            if relay.await_permits(&call, would_serve).await {
                continue;
            }
            send::log_shortfall(relay, &call, &attempts.avoid);
            break;
        };
        if !attempts.may_send(relay, &call) {
            break;
        }
        match send::send(relay, &call, selection, last, &mut attempts).await {
            Ok(EngineAnswer::Stream(answer)) => {
                attempts.answered(RetryCause::Interrupted);
                let (head, running) = *answer;
                let source = Source::Chain(Box::new(running));
                return stream_response(relay.clone(), call, head, source, attempts);
            }
            Ok(EngineAnswer::Failure(response)) => return response,
            Err(why) => {
                if !attempts.failed(relay, &call, why) {
                    break;
                }
            }
        }
    }
    if let Some(handoff) = handoff::hand_over(relay, &call, &mut attempts, last).await {
        attempts.handoff_answered();
        if handoff.response.status() != StatusCode::OK {
            return handoff.response;
        }
        let (head, source) = Source::of_handoff(handoff);
        return stream_response(relay.clone(), call, head, source, attempts);
    }
    let back_off = send::remaining_back_off(relay, &call);
    attempts.give_up(relay, &call, back_off)
}

/// Returns an answer whose body yields the events that a separate task reads. Dropping the body aborts the task.
fn stream_response(
    relay: Rc<Relay>,
    call: Call,
    head: Response<()>,
    source: Source,
    attempts: Attempts,
) -> Response<Body> {
    let (parts, ()) = head.into_parts();
    let (queue, mut receiver) = ahead::queue(&relay);
    let reading = read_events(relay.clone(), call, source, attempts, queue);
    let reader = Driver(tokio::task::spawn_local(reading));
    let events = async_stream::stream! {
        let _reader = reader;
        loop {
            match receiver.recv().await {
                Some(Item::Events(events)) => yield Ok(Frame::data(events)),
                Some(Item::Complete) => {
                    relay.count(|tally| tally.requests_answered += 1);
                    relay.reach(Milestone::Request);
                    return;
                }
                Some(Item::Cut(why)) => {
                    yield Err(why);
                    return;
                }
                None => {
                    yield Err(BodyTruncated::new(EndedBy::Shutdown, "the task that reads the stream has ended"));
                    return;
                }
            }
        }
    };
    Response::from_parts(parts, Box::pin(StreamBody::new(events)))
}

/// Reads events, from one source after another if necessary, until the stream is complete or can't continue.
async fn read_events(
    relay: Rc<Relay>,
    call: Call,
    mut source: Source,
    mut attempts: Attempts,
    queue: EventQueue,
) {
    let mut splitter = Splitter::after(call.head.last_event);
    loop {
        let readiness = queue.wait_for_capacity(&relay, call.due).await;
        if let Readiness::AfterPause(paused) = readiness {
            source.paused(paused, relay.now());
        }
        let next = match readiness {
            Readiness::DeadlineExceeded => Err(StopReason::DeadlineExceeded),
            Readiness::Ready | Readiness::AfterPause(_) => {
                source.next(&relay, &call, &attempts, &mut splitter).await
            }
        };
        let reason = match next {
            Ok(events) => {
                queue.push(events);
                continue;
            }
            Err(reason) => reason,
        };
        let stream = StoppedStream {
            relay: &relay,
            call: &call,
            splitter: &splitter,
            source: &source,
            queue: &queue,
        };
        match handle_stop(&stream, &mut attempts, reason).await {
            Continuation::Complete => return queue.complete(),
            Continuation::Resumed(other) => {
                source = *other;
                splitter.discard_partial();
            }
            Continuation::SameChain => source.wait_from(relay.now()),
            Continuation::Cut(why) => {
                relay.count(|tally| tally.streams_cut += 1);
                attempts.log(&relay, &call);
                log::info!(event = "cut", id = &*call.head.id, why = &*why.why, last:? = splitter.last(), sends = attempts.sends(); "stream cut off before it was complete");
                return queue.cut(why);
            }
            Continuation::CutSlowReader(why) => {
                relay.count(|tally| tally.readers_cut += 1);
                log::info!(event = "slow-reader", id = &*call.head.id, why = "its engine gave up", broke = &*why, last:? = splitter.last(), held = relay.read_ahead(); "caller read too slowly; stream cut off");
                return queue.cut(BodyTruncated::new(EndedBy::SlowCaller, why));
            }
        }
    }
}

/// A stream whose current chain stopped.
struct StoppedStream<'a> {
    relay: &'a Rc<Relay>,
    call: &'a Call,
    splitter: &'a Splitter,
    source: &'a Source,
    queue: &'a EventQueue,
}

/// How a stream continues after its chain stopped.
enum Continuation {
    /// The stream is complete.
    Complete,
    /// It continues from another source.
    Resumed(Box<Source>),
    /// It continues over the same chain, which is still running.
    SameChain,
    /// It is cut off.
    Cut(BodyTruncated),
    /// It is cut off, since its caller read too slowly for the engine.
    CutSlowReader(String),
}

async fn handle_stop(
    stream: &StoppedStream<'_>,
    attempts: &mut Attempts,
    reason: StopReason,
) -> Continuation {
    let relay = stream.relay;
    match (reason, stream.source) {
        (StopReason::Complete, _) => Continuation::Complete,
        (StopReason::DeadlineExceeded, _) => cut(EndedBy::Deadline, "deadline exceeded"),
        (StopReason::Quarantined, _) => cut(EndedBy::Quarantine, "request quarantined"),
        (StopReason::InterruptedUnread(why), Source::Chain(chain))
            if relay.find_dead(chain.engines()).await.is_empty() =>
        {
            chain.register_interruption(relay, stream.call);
            Continuation::CutSlowReader(why)
        }
        (
            StopReason::Interrupted(why) | StopReason::InterruptedUnread(why),
            Source::Chain(chain),
        ) => handle_interruption(stream, chain, attempts, &why).await,
        (StopReason::Dead(engines), Source::Chain(chain)) => {
            leave_dead(stream, chain, attempts, engines).await
        }
        (StopReason::BoxLost(possible_runs), _) => {
            attempts.handoff_lost(possible_runs);
            resume_or_cut(stream, attempts).await
        }
        (_, Source::Box(_)) => resume_or_cut(stream, attempts).await,
    }
}

/// Handles a chain that broke off the stream.
async fn handle_interruption(
    stream: &StoppedStream<'_>,
    chain: &RunningChain,
    attempts: &mut Attempts,
    why: &str,
) -> Continuation {
    let (relay, call) = (stream.relay, stream.call);
    log::info!(event = "broke", id = &*call.head.id, why = why, last:? = stream.splitter.last(), events = chain.events(), begun_ms = chain.begun_for(relay).as_millis() as u64, targets = &*chain.engine_names(relay), engines = &*chain.describe_engines(relay), fingerprint:% = call.fingerprint(), parts = &*call.head.shared_part_names(); "stream interrupted");
    chain.check_interruption(relay, call).await;
    let dead = relay.find_dead(chain.engines()).await;
    match dead.is_empty() {
        true => attempts.avoid.extend(chain.engines().first()),
        false => attempts.avoid.extend(dead),
    }
    resume_or_cut(stream, attempts).await
}

/// Leaves a chain of which `engines` are dead, if the stream can go on elsewhere.
async fn leave_dead(
    stream: &StoppedStream<'_>,
    chain: &RunningChain,
    attempts: &mut Attempts,
    engines: Vec<EngineKey>,
) -> Continuation {
    let (relay, call) = (stream.relay, stream.call);
    log::info!(event = "stage-dead", id = &*call.head.id, engines = engines.len(), last:? = stream.splitter.last(); "engines of a stream are dead");
    chain.check_interruption(relay, call).await;
    attempts.avoid.extend(engines);
    stream.queue.wait_until_consumed().await;
    match resume(relay, call, attempts, stream.splitter, relay.now()).await {
        Some(other) => Continuation::Resumed(Box::new(other)),
        None => {
            attempts.put_back_allowance();
            Continuation::SameChain
        }
    }
}

/// Resumes a stream whose source broke off, or cuts it off.
async fn resume_or_cut(stream: &StoppedStream<'_>, attempts: &mut Attempts) -> Continuation {
    let (relay, call) = (stream.relay, stream.call);
    // While the caller takes nothing, another chain would only be blocked too.
    stream.queue.wait_until_consumed().await;
    let until = relay.now() + RESUME_TIMEOUT;
    match resume(relay, call, attempts, stream.splitter, until).await {
        Some(other) => Continuation::Resumed(Box::new(other)),
        None => {
            send::log_shortfall(relay, call, &attempts.avoid);
            let by = match stream.source {
                Source::Chain(_) => EndedBy::Target,
                Source::Box(_) => EndedBy::OtherBox,
            };
            cut(by, "no other chain accepted the request")
        }
    }
}

fn cut(by: EndedBy, why: &'static str) -> Continuation {
    Continuation::Cut(BodyTruncated::new(by, why))
}

/// Resumes the stream over another chain after the last event that the caller received; retries until `until` while there is none.
async fn resume(
    relay: &Rc<Relay>,
    call: &Call,
    attempts: &mut Attempts,
    splitter: &Splitter,
    until: Instant,
) -> Option<Source> {
    let ResponseShape::Events {
        resumable: true, ..
    } = call.route.shape
    else {
        return None;
    };
    loop {
        let Some(selection) = send::select_engines(relay, call, &attempts.avoid) else {
            if let Some(handoff) = handoff::hand_over(relay, call, attempts, splitter.last()).await
            {
                return resume_from_box(relay, call, attempts, splitter, handoff);
            }
            if relay.now() >= until || !attempts.may_run(call) {
                return None;
            }
            attempts.put_back_allowance();
            tokio::time::sleep(RESUME_RETRY_INTERVAL).await;
            continue;
        };
        if !attempts.may_send(relay, call) {
            return None;
        }
        match send::send(relay, call, selection, splitter.last(), attempts).await {
            Ok(EngineAnswer::Stream(answer)) => {
                attempts.answered(RetryCause::Interrupted);
                relay.count(|tally| tally.streams_resumed += 1);
                log::info!(event = "resumed", id = &*call.head.id, last:? = splitter.last(), send = attempts.sends(); "the stream goes on over another chain");
                return Some(Source::Chain(Box::new(answer.1)));
            }
            Ok(EngineAnswer::Failure(response)) => {
                // The request ran on that chain, so the attempt counts: the original chain, which is awaited again, may stop once more.
                attempts.answered(RetryCause::Interrupted);
                log::info!(event = "not-resumed", id = &*call.head.id, status = response.status().as_u16(); "stream not resumed: another chain answered with an error");
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

/// Resumes a stream from a box that took over its request, unless that box answered with an error.
fn resume_from_box(
    relay: &Relay,
    call: &Call,
    attempts: &mut Attempts,
    splitter: &Splitter,
    handoff: Handoff,
) -> Option<Source> {
    attempts.handoff_answered();
    let status = handoff.response.status();
    if status != StatusCode::OK {
        attempts.handoff_lost(handoff.possible_runs.get());
        log::info!(event = "not-resumed", id = &*call.head.id, status = status.as_u16(); "stream not resumed: another box answered with an error");
        return None;
    }
    relay.count(|tally| tally.streams_resumed += 1);
    log::info!(event = "resumed", id = &*call.head.id, last:? = splitter.last(), send = attempts.sends(); "the stream goes on at another box");
    Some(Source::of_handoff(handoff).1)
}
