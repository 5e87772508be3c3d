//! Load, unload and stop orders to an engine, with optional fencing.

use std::collections::BTreeSet;

use reachtally_target::order::{Action, OrderBody};

/// Error for an order whose fence is lower than one seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutdatedFence {
    /// Highest fence seen so far.
    pub highest_fence: u64,
}

/// State that results from the orders to an engine.
#[derive(Debug, Default)]
pub(super) struct Orders {
    highest_fence: u64,
    pub loaded: BTreeSet<String>,
    pub accepted: u64,
    pub stopped: bool,
}

impl Orders {
    /// Applies an order. An engine that checks fences rejects an outdated fence.
    pub fn apply(&mut self, order: OrderBody, checks_fence: bool) -> Result<(), OutdatedFence> {
        if checks_fence && order.fence < self.highest_fence {
            return Err(OutdatedFence {
                highest_fence: self.highest_fence,
            });
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        self.accepted += 1;
        match order.action {
            Action::Load(name) => {
                self.loaded.insert(name);
            }
            Action::Unload(name) => {
                self.loaded.remove(&name);
            }
            Action::Stop => self.stopped = true,
        }
        Ok(())
    }
}
