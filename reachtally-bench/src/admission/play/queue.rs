//! Requests that wait in their boxes.

use std::time::Duration;

use reachtally_core::forward::admission::{Class, QueuedRequest, patience};

use super::{Event, PATIENCE_US, Play};
use crate::admission::scenario::{OBJECTIVES_US, RANKS};
use crate::choice::engines::SERVICE;

/// Requests that are looked at after one that does not leave its box's queue, as the relay has it.
const MOST_PASSES: u32 = 4;
/// Least time between two looks at the first request that waits, as the relay has it; at the second one twice as much, and so on.
const LEAST_LOOK: Duration = Duration::from_millis(20);

impl Play {
    /// A request waits in its box for up to `drain`, until it is looked at again; yields whether it has left it.
    pub(super) fn wait(&mut self, number: usize, class: Class, drain: Duration) -> bool {
        let now = self.timeline.clock();
        let request = &self.requests[number];
        let waited = Duration::from_micros(self.timeline.now_us() - request.tried);
        let left = self.patience(number).saturating_sub(waited);
        if left.is_zero() {
            self.leave_queue(number);
            self.refuse(number, Some(drain));
            return true;
        }
        let tries = request.tries;
        if request.place.is_none() {
            self.is_contended = true;
            let entrant = QueuedRequest {
                service: SERVICE.into(),
                is_resumed: false,
                position: class.position(RANKS),
                account: Some(request.account.to_string().into()),
                deadline: now + Duration::from_micros(PATIENCE_US).saturating_sub(waited),
                bytes: 0,
            };
            let Ok((order, replaced)) = self.entrances[request.at].queue.join(entrant, number)
            else {
                self.refuse(number, Some(drain));
                return true;
            };
            self.requests[number].place = Some(order);
            for replaced in replaced {
                self.requests[replaced].place = None;
                self.refuse(replaced, Some(drain));
            }
        }
        let queue = &self.entrances[self.requests[number].at].queue;
        let place = self.requests[number].place.as_ref();
        let least = LEAST_LOOK * (queue.ahead(SERVICE, 0, place) as u32 + 1);
        let after = drain.max(least).min(left).as_micros() as u64;
        let event = Event::Look {
            request: number,
            tries,
        };
        self.timeline.schedule(after, event);
        false
    }

    /// Time for which a request waits in its box at most.
    fn patience(&self, number: usize) -> Duration {
        let rank = usize::from(self.requests[number].job.rank);
        patience(Duration::from_micros(OBJECTIVES_US[rank]))
    }

    pub(super) fn leave_queue(&mut self, number: usize) {
        let request = &mut self.requests[number];
        if let Some(order) = request.place.take() {
            self.entrances[request.at].queue.leave(&order);
        }
    }

    /// Looks at requests that wait in a box, until some have not left it.
    pub(super) fn wake(&mut self, at: usize) {
        let mut after = None;
        let mut passes = MOST_PASSES;
        while let Some(&number) = self.entrances[at].queue.first(SERVICE, after.as_ref()) {
            after = self.requests[number].place;
            if self.consider(number) {
                passes = MOST_PASSES;
            } else if passes == 0 {
                return;
            } else {
                passes -= 1;
            }
        }
    }

    pub(super) fn look(&mut self, number: usize, tries: u32) {
        let request = &self.requests[number];
        if request.tries == tries && request.place.is_some() {
            self.consider(number);
        }
    }
}
