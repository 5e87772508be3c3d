//! What is going to happen, by time and then by order of scheduling.

use std::collections::BTreeMap;

use reachtally_core::ids::{CallKey, RequestKey, TargetKey};
use reachtally_core::request::ServiceCall;
use reachtally_core::step::Batch;
use reachtally_core::{Event, Instant};

/// One thing that is going to happen.
#[derive(Debug)]
pub(super) enum Happening {
    /// A daemon is told of an event.
    Told { daemon: usize, event: Event },
    /// A call reaches an engine.
    BatchArrives {
        daemon: usize,
        call: CallKey,
        url: String,
        batch: Batch,
    },
    /// An engine's iteration ends.
    IterationEnds { url: String },
    /// A call reaches a service instance.
    CallArrives {
        daemon: usize,
        request: RequestKey,
        target: TargetKey,
        url: String,
        key: Option<String>,
        call: ServiceCall,
    },
    /// The daemons read the log.
    Spread,
}

/// Happenings in order.
#[derive(Debug, Default)]
pub(super) struct Queue {
    by_time: BTreeMap<(Instant, u64), Happening>,
    seq: u64,
}

impl Queue {
    pub fn push(&mut self, at: Instant, happening: Happening) {
        self.seq += 1;
        self.by_time.insert((at, self.seq), happening);
    }

    pub fn next_at(&self) -> Option<Instant> {
        self.by_time.keys().next().map(|(at, _)| *at)
    }

    /// The next happening that is due.
    pub fn pop(&mut self, now: Instant) -> Option<Happening> {
        let entry = self.by_time.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }

    /// A daemon's run ended; it is told nothing any more.
    pub fn forget(&mut self, daemon: usize) {
        self.by_time.retain(
            |_, what| !matches!(what, Happening::Told { daemon: told, .. } if *told == daemon),
        );
    }
}
