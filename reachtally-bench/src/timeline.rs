//! A virtual clock with events in order.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use reachtally_core::Instant;

/// Events to come; those of one moment happen in the order in which they were scheduled.
#[derive(Debug)]
pub struct Timeline<E: Ord> {
    now_us: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64, E)>>,
}

impl<E: Ord> Timeline<E> {
    /// A timeline at 0 without events.
    pub fn new() -> Self {
        Timeline {
            now_us: 0,
            order: 0,
            events: BinaryHeap::new(),
        }
    }

    /// The time, in µs.
    pub fn now_us(&self) -> u64 {
        self.now_us
    }

    /// The time.
    pub fn clock(&self) -> Instant {
        Instant::from_elapsed(Duration::from_micros(self.now_us))
    }

    /// Schedules an event after this many µs.
    pub fn schedule(&mut self, after_us: u64, event: E) {
        self.order += 1;
        let at = self.now_us + after_us;
        self.events.push(Reverse((at, self.order, event)));
    }

    /// Moves the clock to the next event before `end_us`, and returns the event.
    pub fn next_before(&mut self, end_us: u64) -> Option<E> {
        let Reverse((at, _, event)) = self.events.pop()?;
        if at >= end_us {
            return None;
        }
        self.now_us = at;
        Some(event)
    }
}
