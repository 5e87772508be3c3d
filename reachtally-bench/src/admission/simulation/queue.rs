//! Requests queued in their boxes.

use std::time::Duration;

use reachtally_core::forward::admission::{Class, QueuedRequest, patience};

use super::{Event, PATIENCE_US, Simulation};
use crate::admission::scenario::{OBJECTIVES_US, RANKS};
use crate::choice::engines::SERVICE;

/// Requests that are still evaluated after one that stays in its box's queue; as in the relay.
const MAX_STAYING: u32 = 4;
/// Shortest interval between two evaluations of the head of the queue, as in the relay; the second request has twice that
/// interval, and so on.
const MIN_REEVALUATION_INTERVAL: Duration = Duration::from_millis(20);

impl Simulation {
    /// Keeps a request queued in its box and schedules its next evaluation after at most `drain`. Returns whether the request left the
    /// box instead.
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
        if request.queue_position.is_none() {
            self.is_contended = true;
            let entrant = QueuedRequest {
                service: SERVICE.into(),
                is_resumed: false,
                position: class.position(RANKS),
                account: Some(request.account.to_string().into()),
                deadline: now + Duration::from_micros(PATIENCE_US).saturating_sub(waited),
                bytes: 0,
            };
            let Ok((order, replaced)) = self.admission_states[request.box_index]
                .queue
                .join(entrant, number)
            else {
                self.refuse(number, Some(drain));
                return true;
            };
            self.requests[number].queue_position = Some(order);
            for replaced in replaced {
                self.requests[replaced].queue_position = None;
                self.refuse(replaced, Some(drain));
            }
        }
        let queue = &self.admission_states[self.requests[number].box_index].queue;
        let queue_position = self.requests[number].queue_position.as_ref();
        let least =
            MIN_REEVALUATION_INTERVAL * (queue.ahead(SERVICE, 0, queue_position) as u32 + 1);
        let after = drain.max(least).min(left).as_micros() as u64;
        let event = Event::Reevaluate {
            request: number,
            tries,
        };
        self.timeline.schedule(after, event);
        false
    }

    /// Longest time that a request may be queued in its box.
    fn patience(&self, number: usize) -> Duration {
        let rank = usize::from(self.requests[number].job.rank);
        patience(Duration::from_micros(OBJECTIVES_US[rank]))
    }

    pub(super) fn leave_queue(&mut self, number: usize) {
        let request = &mut self.requests[number];
        if let Some(order) = request.queue_position.take() {
            self.admission_states[request.box_index].queue.leave(&order);
        }
    }

    /// Evaluates the queued requests of a box in order, until several in a row have stayed.
    pub(super) fn evaluate_queue(&mut self, box_index: usize) {
        let mut after = None;
        let mut passes = MAX_STAYING;
        while let Some(&number) = self.admission_states[box_index]
            .queue
            .first(SERVICE, after.as_ref())
        {
            after = self.requests[number].queue_position;
            if self.evaluate(number) {
                passes = MAX_STAYING;
            } else if passes == 0 {
                return;
            } else {
                passes -= 1;
            }
        }
    }

    pub(super) fn handle_reevaluation(&mut self, number: usize, tries: u32) {
        let request = &self.requests[number];
        if request.tries == tries && request.queue_position.is_some() {
            self.evaluate(number);
        }
    }
}
