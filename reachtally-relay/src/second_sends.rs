//! Per-service budgets of second sends, shared by all boxes.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use reachtally_core::Instant;
use reachtally_core::forward::budget::{BudgetBounds, SharedRetryBudget};

/// Budgets of the services that this box sends to. Each counts from the start of the process, since an earlier
/// run of this box may have used part of it.
#[derive(Debug, Default)]
pub(crate) struct SecondSends(RefCell<HashMap<Arc<str>, SharedRetryBudget>>);

impl SecondSends {
    /// Counts a request for `service`.
    pub fn count_request(&self, service: &Arc<str>, now: Instant, bounds: &BudgetBounds) {
        self.with_budget(service, |budget| budget.first(now, bounds));
    }

    /// Takes a second send for `service` if this box's share allows it, given the number of boxes; returns whether
    /// it did.
    pub fn take(
        &self,
        service: &Arc<str>,
        now: Instant,
        bounds: &BudgetBounds,
        boxes: u32,
    ) -> bool {
        self.with_budget(service, |budget| budget.take(now, bounds, boxes))
    }

    /// Returns the retries to `service` that count in the current window.
    pub fn counted(&self, service: &Arc<str>, now: Instant, bounds: &BudgetBounds) -> u32 {
        self.with_budget(service, |budget| budget.counted(now, bounds))
    }

    fn with_budget<T>(
        &self,
        service: &Arc<str>,
        spend: impl FnOnce(&mut SharedRetryBudget) -> T,
    ) -> T {
        let mut budgets = self.0.borrow_mut();
        let budget = budgets.entry(service.clone());
        spend(budget.or_insert_with(|| SharedRetryBudget::starting_at(Instant::ZERO)))
    }
}
