//! Engines that may be slow.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

use reachtally_core::forward::fleet::EngineKey;
use tokio::sync::Notify;

/// Engines that may be slow, until somebody takes them.
#[derive(Debug, Clone, Default)]
pub struct SlowEngines {
    keys: Rc<RefCell<HashSet<EngineKey>>>,
    arrived: Rc<Notify>,
}

impl SlowEngines {
    /// A stream over these engines is slow.
    pub fn add(&self, engines: &[EngineKey]) {
        self.keys.borrow_mut().extend(engines);
        self.arrived.notify_one();
    }

    /// Wait for engines, and take all of them.
    pub async fn recv(&mut self) -> Vec<EngineKey> {
        self.arrived.notified().await;
        self.keys.borrow_mut().drain().collect()
    }
}
