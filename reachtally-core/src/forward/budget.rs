//! The budget of second sends that all boxes share.
//!
//! The boxes do not ask each other before a second send. Each takes its own requests' share of the
//! ratio and an even share of the fixed part, so that the sum stays within the bound.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Instant;

/// Number of slices that a window is counted in.
const SLICES: u32 = 20;
/// Part of the share that a box uses; the rest covers boxes that came or left since the count.
const USED_SHARE: f64 = 0.8;

/// Bounds of second sends to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetBounds {
    /// Second sends allowed for each request.
    pub ratio: f64,
    /// Second sends allowed beside, for all boxes together.
    pub slack: f64,
    /// The sliding window over which both are counted.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    firsts: u32,
    seconds: u32,
}

/// First and second sends of one box to one service, over a sliding window.
#[derive(Debug, Clone, Default)]
pub struct SharedBudget {
    slices: VecDeque<Slice>,
}

impl SharedBudget {
    /// Count a request.
    pub fn first(&mut self, now: Instant, bounds: &BudgetBounds) {
        self.slice(now, bounds).firsts += 1;
    }

    /// Take a second send, if the share of one of `boxes` boxes allows it.
    pub fn take(&mut self, now: Instant, bounds: &BudgetBounds, boxes: u32) -> bool {
        if self.left(now, bounds, boxes) < 1.0 {
            return false;
        }
        self.slice(now, bounds).seconds += 1;
        true
    }

    /// Second sends left in the current window.
    pub fn left(&mut self, now: Instant, bounds: &BudgetBounds, boxes: u32) -> f64 {
        self.slice(now, bounds);
        let firsts: u32 = self.slices.iter().map(|slice| slice.firsts).sum();
        let seconds: u32 = self.slices.iter().map(|slice| slice.seconds).sum();
        let share = bounds.slack / f64::from(boxes.max(1));
        USED_SHARE * (bounds.ratio * f64::from(firsts) + share) - f64::from(seconds)
    }

    /// The slice of `now`; slices that left the window are dropped.
    fn slice(&mut self, now: Instant, bounds: &BudgetBounds) -> &mut Slice {
        let width = (bounds.window / SLICES).as_micros().max(1);
        let number = (now.elapsed().as_micros() / width) as u64;
        let oldest = number.saturating_sub(u64::from(SLICES));
        while self
            .slices
            .front()
            .is_some_and(|slice| slice.number < oldest)
        {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.number < number) {
            self.slices.push_back(Slice {
                number,
                ..Slice::default()
            });
        }
        self.slices.back_mut().expect("one was just added")
    }
}
