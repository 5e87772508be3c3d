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

/// Second sends that a box may make at once after its start, whatever its share: all boxes together use less
/// for them than [`USED_SHARE`] leaves, on fleets of 6 to 295 boxes (worked out).
const FIRST_SENDS: f64 = 1.0;

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
    /// When a box started that does not know what its earlier run took.
    started: Option<Instant>,
}

impl SharedBudget {
    /// The budget of a box that started at `started`. Its part of what all share grows over the first window,
    /// in which what earlier runs took still counts. Guards the bound when all boxes start at once: with
    /// 295 boxes, 3,283 second sends were made in a window that allowed 2,343.
    pub fn of_box(started: Instant) -> Self {
        SharedBudget {
            started: Some(started),
            ..SharedBudget::default()
        }
    }

    /// The part of its share that a box may use at `now`.
    fn grown(&self, now: Instant, bounds: &BudgetBounds) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let window = bounds.window.as_secs_f64().max(f64::MIN_POSITIVE);
        (now.since(started).as_secs_f64() / window).min(1.0)
    }

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
        let grown = self.grown(now, bounds) * USED_SHARE * share;
        let allowed = USED_SHARE * bounds.ratio * f64::from(firsts);
        allowed + grown.max(FIRST_SENDS.min(USED_SHARE * share)) - f64::from(seconds)
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
