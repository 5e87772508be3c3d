//! The configuration in force, as it was published, and how old it may be.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use reachtally_core::Instant;
use reachtally_core::forward::freshness::Freshness;
use reachtally_core::forward::routes::Table;

/// The configuration in force. Its version only rises.
#[derive(Debug, Default)]
pub struct Configuration {
    table: RefCell<Option<Arc<Table>>>,
    /// As it was published, packed, for other boxes.
    published: RefCell<Bytes>,
    freshness: Cell<Freshness>,
}

impl Configuration {
    /// The one in force.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table.borrow().clone()
    }

    /// Its version; 0 for none.
    pub fn version(&self) -> u64 {
        let table = self.table.borrow();
        table.as_ref().map_or(0, |table| table.version)
    }

    /// The one in force as it was published, packed.
    pub fn published(&self) -> Bytes {
        self.published.borrow().clone()
    }

    /// Put a configuration in force; yields whether it is newer than the one held, which stays otherwise.
    ///
    /// # Errors
    /// It can't be packed; the one held stays.
    pub(crate) fn replace(
        &self,
        table: Table,
        packed: impl FnOnce() -> std::io::Result<Bytes>,
    ) -> Result<bool, String> {
        let held = self.table().map(|held| held.version);
        if held.is_some_and(|version| version >= table.version) {
            return Ok(false);
        }
        let packed = packed().map_err(|err| err.to_string())?;
        log::info!(event = "config", version = table.version, held:? = held, routes = table.route_count(); "configuration applied");
        self.table.replace(Some(Arc::new(table)));
        self.published.replace(packed);
        Ok(true)
    }

    /// Note that a read which began at `began` showed no newer configuration.
    pub fn confirm(&self, began: Instant) {
        let mut freshness = self.freshness.get();
        freshness.confirm(began);
        self.freshness.set(freshness);
    }

    /// Time since the read that last confirmed it.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.freshness.get().age(now)
    }

    /// Whether it was confirmed so lately that keyed requests may be judged by it.
    pub fn is_fresh(&self, now: Instant, within: Option<Duration>) -> bool {
        within.is_none_or(|within| self.freshness.get().holds(now, within))
    }
}
