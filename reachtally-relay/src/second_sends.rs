//! Second sends of this box, by service, within the budget that all boxes share.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use reachtally_core::Instant;
use reachtally_core::forward::budget::{BudgetBounds, SharedBudget};

/// The budgets of the services that this box sends to. Each counts from the start of the process, since an earlier run may
/// have taken something before.
#[derive(Debug, Default)]
pub(crate) struct SecondSends(RefCell<HashMap<Arc<str>, SharedBudget>>);

impl SecondSends {
    /// Count a request for `service`.
    pub fn first(&self, service: &Arc<str>, now: Instant, bounds: &BudgetBounds) {
        self.of(service, |budget| budget.first(now, bounds));
    }

    /// Take a second send to `service`, if the share of one of `boxes` boxes allows it.
    pub fn take(
        &self,
        service: &Arc<str>,
        now: Instant,
        bounds: &BudgetBounds,
        boxes: u32,
    ) -> bool {
        self.of(service, |budget| budget.take(now, bounds, boxes))
    }

    fn of<T>(&self, service: &Arc<str>, spend: impl FnOnce(&mut SharedBudget) -> T) -> T {
        let mut budgets = self.0.borrow_mut();
        let budget = budgets.entry(service.clone());
        spend(budget.or_insert_with(|| SharedBudget::of_box(Instant::ZERO)))
    }
}
