//! Orders to an engine: what to load or unload, with or without a fence.

use std::collections::BTreeSet;

use reachtally_target::order::{Action, OrderBody};

/// Why an order was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutdatedFence {
    /// The highest fence seen.
    pub highest: u64,
}

/// What an engine was ordered to do.
#[derive(Debug, Default)]
pub(super) struct Orders {
    highest: u64,
    pub loaded: BTreeSet<String>,
    pub taken: u64,
    pub stopped: bool,
}

impl Orders {
    /// Take an order; an engine that checks fences refuses one with an outdated fence.
    pub fn take(&mut self, order: OrderBody, checks_fence: bool) -> Result<(), OutdatedFence> {
        if checks_fence && order.fence < self.highest {
            return Err(OutdatedFence {
                highest: self.highest,
            });
        }
        self.highest = self.highest.max(order.fence);
        self.taken += 1;
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
