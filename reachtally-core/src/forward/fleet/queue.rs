//! Requests that wait at a target until it has room for them.

use std::time::Duration;

use crate::time::Instant;

/// Time for which a stated queue holds: about as long as a full queue takes to drain.
pub const QUEUE_LIFE: Duration = Duration::from_millis(1000);

/// The queue that a target stated in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedQueue {
    /// Requests that waited.
    pub waiting: u32,
    /// When the answer was received.
    pub at: Instant,
}

/// The queues of one target that were stated to this box and to others.
#[derive(Debug, Clone, Copy, Default)]
pub struct Queues {
    own: Option<StatedQueue>,
    remote: Option<StatedQueue>,
}

impl Queues {
    /// Updates the queue from an answer to this box.
    pub fn state(&mut self, waiting: u32, now: Instant) {
        self.own = Some(StatedQueue { waiting, at: now });
    }

    /// Updates the queue that was stated to another box; an older one is ignored.
    pub(crate) fn report(&mut self, stated: StatedQueue) {
        if self.remote.is_none_or(|known| known.at <= stated.at) {
            self.remote = Some(stated);
        }
    }

    /// Returns what was stated to this box, unless it has expired.
    pub(crate) fn own(&self, now: Instant) -> Option<StatedQueue> {
        self.own.filter(|stated| now.since(stated.at) < QUEUE_LIFE)
    }

    /// Returns the number of requests that wait by the newest statement, unless it has expired.
    pub fn waiting(&self, now: Instant) -> Option<u32> {
        let newest = self
            .own
            .into_iter()
            .chain(self.remote)
            .max_by_key(|stated| stated.at)?;
        (now.since(newest.at) < QUEUE_LIFE).then_some(newest.waiting)
    }
}
