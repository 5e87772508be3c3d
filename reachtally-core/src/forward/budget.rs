//! A budget of retries that all boxes share.
//!
//! Boxes do not coordinate before a retry. Each uses the part of the ratio that its own
//! requests earn and an equal share of the fixed slack, so that the sum stays within the bound.
//!
//! A box does not know what its previous run used, although the window still counts it, nor what of
//! that targets have not read yet. A run therefore counts as new for one window and
//! [`MAX_READ_DELAY`], and the bound is split into one part for settled runs
//! and one for new runs. Within any window, the settled run uses at most the first part and all new
//! runs after it together use at most the second, however often the box restarts.
//!
//! The bound holds for the times at which retries arrive, which the box does not choose: a target reads
//! what waits in its queues when it gets to it. So a retry is pending from when it is taken until the
//! box knows that it has arrived or never will, and counts for a whole window from then on. No window
//! of arrivals then holds more retries than the box counted at the last one that it took.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Instant;

/// Number of slices per window.
const SLICES: u32 = 20;
/// Fraction of its share that a settled run uses.
const SETTLED_FRACTION: f64 = 0.7;
/// Fraction of its share that new runs use: of the ratio from the first request on, of the slack in
/// proportion to the elapsed time. The remainder covers boxes that were added or removed since the
/// last count.
const NEW_RUN_FRACTION: f64 = 0.2;
/// Longest time for which a sound target is assumed to leave a request unread, and so the time for which retries of
/// a run may arrive after it ended.
const MAX_READ_DELAY: Duration = Duration::from_secs(2);

/// Bounds on the retries to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetBounds {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed for all boxes together.
    pub slack: f64,
    /// The sliding window over which both are counted.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one box to one service, over a sliding window.
#[derive(Debug, Clone, Default)]
pub struct SharedRetryBudget {
    slices: VecDeque<Slice>,
    /// Retries that were taken and may still arrive.
    pending: u32,
    /// When the run started, if an earlier one may have used part of the budget.
    started: Option<Instant>,
}

impl SharedRetryBudget {
    /// Creates the budget of a box that started at `started`. It keeps the bound even if all boxes
    /// restart at once: with a full share of the ratio for each new run and a slack that grew over
    /// a window, 295 boxes made 2,950 retries in a window that allowed 2,174.
    pub fn starting_at(started: Instant) -> Self {
        SharedRetryBudget {
            started: Some(started),
            ..SharedRetryBudget::default()
        }
    }

    /// Returns the part of the time as a new run that has elapsed since the run started, at most 1.
    fn elapsed_fraction(&self, now: Instant, bounds: &BudgetBounds) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let as_new_run = bounds.window + MAX_READ_DELAY;
        (now.since(started).as_secs_f64() / as_new_run.as_secs_f64()).min(1.0)
    }

    /// Counts a request.
    pub fn first(&mut self, now: Instant, bounds: &BudgetBounds) {
        self.slice(now, bounds).requests += 1;
    }

    /// Takes a retry if the share of one of `boxes` boxes allows it. It is pending until [`SharedRetryBudget::settle`] or
    /// [`SharedRetryBudget::put_back`].
    pub fn take(&mut self, now: Instant, bounds: &BudgetBounds, boxes: u32) -> bool {
        if self.left(now, bounds, boxes) < 1.0 {
            return false;
        }
        self.pending += 1;
        true
    }

    /// Returns a pending retry that was not sent.
    pub fn put_back(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// Records that a pending retry has not arrived later than at `at`. It counts for a window from then on.
    pub fn settle(&mut self, at: Instant, now: Instant, bounds: &BudgetBounds) {
        self.pending = self.pending.saturating_sub(1);
        self.slice(now, bounds);
        let number = slice_number(at.min(now), bounds);
        match self
            .slices
            .binary_search_by_key(&number, |slice| slice.number)
        {
            Ok(found) => self.slices[found].retries += 1,
            Err(place) => {
                let retries = 1;
                let slice = Slice {
                    number,
                    retries,
                    ..Slice::default()
                };
                self.slices.insert(place, slice);
            }
        }
    }

    /// Returns the retries that were taken and may still arrive.
    pub fn pending(&self) -> u32 {
        self.pending
    }

    /// Returns the retries left in the current window.
    pub fn left(&mut self, now: Instant, bounds: &BudgetBounds, boxes: u32) -> f64 {
        self.slice(now, bounds);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries = self.counted(now, bounds);
        let share = bounds.slack / f64::from(boxes.max(1));
        let elapsed_fraction = self.elapsed_fraction(now, bounds);
        let fraction = match elapsed_fraction < 1.0 {
            true => NEW_RUN_FRACTION,
            false => SETTLED_FRACTION,
        };
        fraction * (bounds.ratio * f64::from(requests) + elapsed_fraction * share)
            - f64::from(retries)
    }

    /// Returns the retries that count now: the pending ones, and those that settled within a window.
    pub fn counted(&mut self, now: Instant, bounds: &BudgetBounds) -> u32 {
        self.slice(now, bounds);
        let settled: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        settled + self.pending
    }

    /// Returns the slice of `now` and drops slices that left the window.
    fn slice(&mut self, now: Instant, bounds: &BudgetBounds) -> &mut Slice {
        let number = slice_number(now, bounds);
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

/// Returns the number of the slice that contains `at`.
fn slice_number(at: Instant, bounds: &BudgetBounds) -> u64 {
    let width = (bounds.window / SLICES).as_micros().max(1);
    (at.elapsed().as_micros() / width) as u64
}
