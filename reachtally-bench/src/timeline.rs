//! A virtual clock with a queue of events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use reachtally_core::Instant;

/// Pending events by time; events of the same time are in the order in which they were scheduled.
#[derive(Debug)]
pub struct Timeline<E: Ord> {
    now_us: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64, E)>>,
}

impl<E: Ord> Timeline<E> {
    /// Creates a timeline at time 0 without events.
    pub fn new() -> Self {
        Timeline {
            now_us: 0,
            order: 0,
            events: BinaryHeap::new(),
        }
    }

    /// The current time, in µs.
    pub fn now_us(&self) -> u64 {
        self.now_us
    }

    /// The current time.
    pub fn clock(&self) -> Instant {
        Instant::from_elapsed(Duration::from_micros(self.now_us))
    }

    /// Schedules an event `after_us` µs from now.
    pub fn schedule(&mut self, after_us: u64, event: E) {
        self.order += 1;
        let at = self.now_us + after_us;
        self.events.push(Reverse((at, self.order, event)));
    }

    /// Advances the clock to the next event before `end_us` and returns that event.
    pub fn next_before(&mut self, end_us: u64) -> Option<E> {
        let Reverse((at, _, event)) = self.events.pop()?;
        if at >= end_us {
            return None;
        }
        self.now_us = at;
        Some(event)
    }
}
