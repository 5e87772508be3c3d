//! What produces the events of a stream: a chain of engines, or another box.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use reachtally_core::Instant;

use crate::answer::Body;
use crate::attempts::Attempts;
use crate::events::Splitter;
use crate::handoff::Handoff;
use crate::relay::Relay;
use crate::serve::Call;
use crate::stream::chain::{RunningChain, StopReason};

/// Produces the events of a stream.
pub(super) enum Source {
    /// A chain of engines.
    Chain(Box<RunningChain>),
    /// A box that took over the request.
    Box(HandoffStream),
}

/// The events of a box that took over the request, which handles failures of its engines itself.
pub(super) struct HandoffStream {
    body: Body,
    possible_runs: Rc<Cell<u32>>,
}

impl Source {
    /// Returns the head of the answer of another box, and the source of its events.
    pub fn of_handoff(handoff: Handoff) -> (Response<()>, Source) {
        let (mut parts, body) = handoff.response.into_parts();
        parts.headers.remove(CONTENT_LENGTH);
        let stream = HandoffStream {
            body,
            possible_runs: handoff.possible_runs,
        };
        (Response::from_parts(parts, ()), Source::Box(stream))
    }

    /// Starts to wait for an event.
    pub fn wait_from(&mut self, now: Instant) {
        if let Source::Chain(chain) = self {
            chain.wait_from(now);
        }
    }

    /// Records that reading was paused from `from` until `now`, since the caller took nothing.
    pub fn paused(&mut self, from: Instant, now: Instant) {
        if let Source::Chain(chain) = self {
            chain.paused(from, now);
        }
    }

    /// Returns the next complete events that the caller has not received, or why there are none.
    pub async fn next(
        &mut self,
        relay: &Relay,
        call: &Call,
        attempts: &Attempts,
        splitter: &mut Splitter,
    ) -> Result<Bytes, StopReason> {
        match self {
            Source::Chain(chain) => chain.next(relay, call, attempts, splitter).await,
            Source::Box(stream) => stream.next(relay, call, splitter).await,
        }
    }
}

impl HandoffStream {
    async fn next(
        &mut self,
        relay: &Relay,
        call: &Call,
        splitter: &mut Splitter,
    ) -> Result<Bytes, StopReason> {
        loop {
            let frame = match relay.run_until(call.due, self.body.frame()).await {
                None => return Err(StopReason::DeadlineExceeded),
                Some(None) if splitter.has_partial_event() => return Err(self.lost()),
                Some(None) => return Err(StopReason::Complete),
                Some(Some(frame)) => frame.map_err(|_| self.lost())?,
            };
            // Trailers carry no events.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let events = splitter.push(&data).map_err(|_| self.lost())?;
            if !events.is_empty() {
                return Ok(events);
            }
        }
    }

    fn lost(&self) -> StopReason {
        StopReason::BoxLost(self.possible_runs.get())
    }
}
