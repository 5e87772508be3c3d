//! Requests that are queued at a target.

use std::time::Duration;

use crate::time::Instant;

/// How long a stated queue length is valid: about the time a full queue takes to drain.
pub const QUEUE_TTL: Duration = Duration::from_millis(1000);

/// The queue length that a target stated in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedQueue {
    /// Number of queued requests.
    pub waiting: u32,
    /// When the answer was received.
    pub at: Instant,
}

/// The queue lengths that one target stated to this box and to others.
#[derive(Debug, Clone, Copy, Default)]
pub struct Queues {
    own: Option<StatedQueue>,
    remote: Option<StatedQueue>,
}

impl Queues {
    /// Records a queue length from an answer to this box.
    pub fn record(&mut self, waiting: u32, now: Instant) {
        self.own = Some(StatedQueue { waiting, at: now });
    }

    /// Records a queue length stated to another box; an older one is ignored.
    pub(crate) fn report(&mut self, stated: StatedQueue) {
        if self.remote.is_none_or(|known| known.at <= stated.at) {
            self.remote = Some(stated);
        }
    }

    /// Returns the queue length stated to this box, unless it has expired.
    pub(crate) fn own(&self, now: Instant) -> Option<StatedQueue> {
        self.own.filter(|stated| now.since(stated.at) < QUEUE_TTL)
    }

    /// Returns the most recently stated queue length, unless it has expired.
    pub fn waiting(&self, now: Instant) -> Option<u32> {
        let newest = self
            .own
            .into_iter()
            .chain(self.remote)
            .max_by_key(|stated| stated.at)?;
        (now.since(newest.at) < QUEUE_TTL).then_some(newest.waiting)
    }
}
