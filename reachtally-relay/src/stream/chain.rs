//! Following the events of one chain.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use reachtally_core::Instant;
use reachtally_core::forward::fleet::EngineKey;
use reachtally_core::forward::stall;

use crate::attempts::Attempts;
use crate::events::Splitter;
use crate::relay::{Occupied, Relay};
use crate::serve::Call;
use crate::stream::send;
use crate::target::Driver;

/// Added to the first look at a chain, which may still have other prompts to read.
pub(super) const FIRST_SLACK: Duration = Duration::from_millis(350);
/// Weight of a new gap in the running mean of a stream's gaps.
const GAP_WEIGHT: f64 = 0.2;
/// Of this many successes, one is logged: by id, so that all boxes log the same ones.
const SUCCESSES_LOGGED: u64 = 16;

/// A chain at work on a stream.
pub(super) struct Running {
    pub body: Incoming,
    /// Keeps the connection; dropping it cancels the work.
    pub _driver: Driver,
    pub occupied: Occupied,
    /// Expected time between two events, corrected by those that came.
    pub gap: Duration,
    pub pace: Pace,
}

impl Running {
    /// The chain's engines.
    pub fn engines(&self) -> &[EngineKey] {
        self.occupied.engines()
    }
}

/// What was expected of a chain, and what it did.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    pub began: Instant,
    pub expected_first: Duration,
    pub expected_gap: Duration,
    first: Option<Duration>,
    longest: Duration,
    events: u32,
}

impl Pace {
    pub fn new(began: Instant, expected_first: Duration, expected_gap: Duration) -> Self {
        Pace {
            began,
            expected_first,
            expected_gap,
            first: None,
            longest: Duration::ZERO,
            events: 0,
        }
    }

    fn note(&mut self, now: Instant, since: Instant) {
        match self.first {
            None => self.first = Some(now.since(self.began)),
            Some(_) => self.longest = self.longest.max(now.since(since)),
        }
        self.events += 1;
    }

    /// Keep what a whole stream shows.
    fn keep(&self, relay: &Relay, call: &Call, engines: &[EngineKey]) {
        let first = self.first.unwrap_or_default();
        let took = relay.now().since(self.began);
        relay.note_held(took);
        relay.times.first_event.observe(first.as_secs_f64());
        relay.times.longest_gap.observe(self.longest.as_secs_f64());
        relay.times.answer.observe(took.as_secs_f64());
        if !call.draw.is_multiple_of(SUCCESSES_LOGGED) {
            return;
        }
        let gaps = self.events.saturating_sub(1).max(1);
        let ms = |time: Duration| time.as_millis() as u64;
        log::info!(
            event = "answered", id = &*call.head.id, parts = engines.len(),
            first_ms = ms(first), expected_first_ms = ms(self.expected_first),
            gap_ms = ms(took.saturating_sub(first) / gaps), expected_gap_ms = ms(self.expected_gap),
            longest_ms = ms(self.longest), events = self.events, took_ms = ms(took);
            "a stream is whole"
        );
    }
}

/// How a chain stopped.
pub(super) enum Stopped {
    /// The stream is whole.
    Whole,
    /// The engines broke off.
    Broke(String),
    /// These of its engines are dead.
    Dead(Vec<EngineKey>),
    /// The final answer is due.
    Late,
}

/// What comes of a chain next.
pub(super) enum Step {
    /// Whole events that the caller lacks.
    Events(Bytes),
    /// Nothing more.
    Stopped(Stopped),
}

/// Follow a chain until it stops.
pub(super) fn follow<'a>(
    relay: &'a Rc<Relay>,
    call: &'a Call,
    attempts: &'a Attempts,
    running: &'a mut Running,
    splitter: &'a mut Splitter,
) -> impl Stream<Item = Step> + 'a {
    async_stream::stream! {
        let mut since = relay.now();
        let mut look_at = since + stall::overdue_after(running.gap) + FIRST_SLACK;
        loop {
            let until = relay.clock(call.due.min(look_at));
            let Ok(frame) = tokio::time::timeout_at(until, running.body.frame()).await else {
                if relay.now() >= call.due {
                    yield Step::Stopped(Stopped::Late);
                    return;
                }
                let dead = dead_of_silent(relay, running.engines(), since).await;
                if !dead.is_empty() && send::may_go_elsewhere(relay, call, attempts, &dead) {
                    yield Step::Stopped(Stopped::Dead(dead));
                    return;
                }
                look_at = relay.now() + stall::overdue_after(running.gap);
                continue;
            };
            let data = match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    // Trailers say nothing of the events.
                    Err(_) => continue,
                },
                Some(Err(err)) => {
                    yield Step::Stopped(Stopped::Broke(err.to_string()));
                    return;
                }
                None => {
                    let stopped = ended(relay, call, running, splitter);
                    yield Step::Stopped(stopped);
                    return;
                }
            };
            let now = relay.now();
            relay.progress.borrow_mut().note(running.engines(), now);
            match splitter.push(&data) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => yield Step::Events(events),
                Err(_) => {
                    yield Step::Stopped(Stopped::Broke("an event does not end".to_owned()));
                    return;
                }
            }
            running.pace.note(now, since);
            let gap = now.since(since).as_secs_f64();
            let mean = running.gap.as_secs_f64();
            running.gap = Duration::from_secs_f64(mean + GAP_WEIGHT * (gap - mean));
            since = now;
            look_at = now + stall::overdue_after(running.gap);
        }
    }
}

/// The body has ended in order. A part of an event shows that the engine did not mean to.
fn ended(relay: &Relay, call: &Call, running: &Running, splitter: &Splitter) -> Stopped {
    if splitter.has_part() {
        return Stopped::Broke("it ended within an event".to_owned());
    }
    running.pace.keep(relay, call, running.engines());
    Stopped::Whole
}

/// Engines of a chain without an event since `since`, over any stream, that take no connections.
pub(super) async fn dead_of_silent(
    relay: &Relay,
    engines: &[EngineKey],
    since: Instant,
) -> Vec<EngineKey> {
    let silent = relay.progress.borrow().silent_since(engines, since);
    relay.dead_of(&silent).await
}
