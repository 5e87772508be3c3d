//! The event queue of the simulation, ordered by time and then by scheduling order.

use std::collections::BTreeMap;

use reachtally_core::ids::{CallKey, RequestKey, TargetKey};
use reachtally_core::request::ServiceCall;
use reachtally_core::step::Batch;
use reachtally_core::{Event, Instant};

/// An event that is scheduled for a point in time.
#[derive(Debug)]
pub(super) enum ScheduledEvent {
    /// An event is delivered to a daemon.
    Deliver { daemon: usize, event: Event },
    /// A batch of steps arrives at an engine.
    BatchArrives {
        daemon: usize,
        call: CallKey,
        url: String,
        batch: Batch,
    },
    /// An iteration of an engine ends.
    IterationEnds { url: String },
    /// A call arrives at a service instance.
    CallArrives {
        daemon: usize,
        request: RequestKey,
        target: TargetKey,
        url: String,
        key: Option<String>,
        call: ServiceCall,
    },
    /// The daemons read the log.
    LogRead,
}

/// Scheduled events in the order in which they are handled.
#[derive(Debug, Default)]
pub(super) struct Queue {
    by_time: BTreeMap<(Instant, u64), ScheduledEvent>,
    seq: u64,
}

impl Queue {
    pub fn push(&mut self, at: Instant, scheduled: ScheduledEvent) {
        self.seq += 1;
        self.by_time.insert((at, self.seq), scheduled);
    }

    pub fn next_at(&self) -> Option<Instant> {
        self.by_time.keys().next().map(|(at, _)| *at)
    }

    /// Removes and returns the next event that is due.
    pub fn pop(&mut self, now: Instant) -> Option<ScheduledEvent> {
        let entry = self.by_time.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }

    /// Removes the events addressed to a daemon whose incarnation has ended.
    pub fn forget(&mut self, daemon: usize) {
        self.by_time.retain(
            |_, next| !matches!(next, ScheduledEvent::Deliver { daemon: to, .. } if *to == daemon),
        );
    }
}
