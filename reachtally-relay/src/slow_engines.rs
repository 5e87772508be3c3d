//! Queue of engines that may be slow.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

use reachtally_core::forward::fleet::EngineKey;
use tokio::sync::Notify;

/// Set of engines that may be slow and have not been queried yet.
#[derive(Debug, Clone, Default)]
pub struct SlowEngines {
    keys: Rc<RefCell<HashSet<EngineKey>>>,
    added: Rc<Notify>,
}

impl SlowEngines {
    /// Adds the engines of a slow stream.
    pub fn add(&self, engines: &[EngineKey]) {
        self.keys.borrow_mut().extend(engines);
        self.added.notify_one();
    }

    /// Waits until engines are added, then takes all of them.
    pub async fn recv(&mut self) -> Vec<EngineKey> {
        self.added.notified().await;
        self.keys.borrow_mut().drain().collect()
    }
}
