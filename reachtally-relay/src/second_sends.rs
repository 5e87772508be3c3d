//! Per-service budgets of second sends, shared by all boxes.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::budget::{BudgetBounds, SharedRetryBudget};

use crate::relay::Relay;
use crate::retries::SendProgress;

/// Budgets of the services that this box sends to, and the second sends that count as pending there. Each budget counts from the start
/// of the process, since an earlier run of this box may have used part of it.
#[derive(Debug, Default)]
pub(crate) struct SecondSends {
    budgets: Rc<Budgets>,
    /// Second sends that were written and whose allowance is pending.
    written: RefCell<Vec<Rc<SendProgress>>>,
}

/// Budgets by service.
#[derive(Debug, Default)]
struct Budgets(RefCell<HashMap<Arc<str>, SharedRetryBudget>>);

impl Budgets {
    fn with<T>(&self, service: &Arc<str>, f: impl FnOnce(&mut SharedRetryBudget) -> T) -> T {
        let mut budgets = self.0.borrow_mut();
        let budget = budgets.entry(service.clone());
        f(budget.or_insert_with(|| SharedRetryBudget::starting_at(Instant::ZERO)))
    }
}

/// A second send that was taken from the budget of its service, and is pending there. It is put back when dropped.
#[derive(Debug)]
pub(crate) struct Allowance {
    budgets: Rc<Budgets>,
    service: Arc<str>,
    /// When it was taken.
    pub taken_at: Instant,
    /// Time until the caller's deadline then.
    pub left: Duration,
    is_settled: bool,
}

impl Allowance {
    /// Records that the second send has not arrived later than at `at`.
    fn settle(mut self, at: Instant, now: Instant, bounds: &BudgetBounds) {
        self.is_settled = true;
        self.budgets
            .with(&self.service, |budget| budget.settle(at, now, bounds));
    }
}

impl Drop for Allowance {
    fn drop(&mut self) {
        if !self.is_settled {
            self.budgets
                .with(&self.service, SharedRetryBudget::put_back);
        }
    }
}

impl SecondSends {
    /// Counts a request for `service`.
    pub fn count_request(&self, service: &Arc<str>, now: Instant, bounds: &BudgetBounds) {
        self.budgets
            .with(service, |budget| budget.first(now, bounds));
    }

    /// Takes a second send for `service`, of a request that has `left` until its deadline, if this box's share allows it.
    pub fn take(&self, relay: &Relay, service: &Arc<str>, left: Duration) -> Option<Allowance> {
        self.settle_read(relay);
        let (now, boxes, bounds) = (relay.now(), relay.boxes(), relay.budget_bounds());
        let is_taken = self
            .budgets
            .with(service, |budget| budget.take(now, &bounds, boxes));
        is_taken.then(|| Allowance {
            budgets: self.budgets.clone(),
            service: service.clone(),
            taken_at: now,
            left,
            is_settled: false,
        })
    }

    /// Keeps the allowance of a second send pending until its target has read it.
    pub fn await_read(&self, progress: &Rc<SendProgress>) {
        self.written.borrow_mut().push(progress.clone());
    }

    /// Returns the retries to `service` that count in the current window, pending ones included.
    pub fn counted(&self, service: &Arc<str>, now: Instant, bounds: &BudgetBounds) -> u32 {
        self.budgets
            .with(service, |budget| budget.counted(now, bounds))
    }

    /// Returns the second sends to all services that are pending.
    pub fn pending(&self) -> u32 {
        let budgets = self.budgets.0.borrow();
        budgets.values().map(SharedRetryBudget::pending).sum()
    }

    /// Settles the allowances of second sends that can't arrive any more.
    fn settle_read(&self, relay: &Relay) {
        let now = relay.now();
        let bounds = relay.budget_bounds();
        self.written.borrow_mut().retain(|progress| {
            let Some(at) = progress.arrived_by(relay) else {
                return true;
            };
            if let Some(allowance) = progress.take_allowance() {
                allowance.settle(at, now, &bounds);
            }
            false
        });
    }
}
