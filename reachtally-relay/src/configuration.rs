//! The current configuration, its published form, and its freshness.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use reachtally_core::Instant;
use reachtally_core::forward::freshness::Freshness;
use reachtally_core::forward::routes::Table;

/// The current configuration. Its version only increases.
#[derive(Debug, Default)]
pub struct Configuration {
    table: RefCell<Option<Arc<Table>>>,
    /// Published form, packed, for other boxes.
    published: RefCell<Bytes>,
    freshness: Cell<Freshness>,
}

impl Configuration {
    /// Returns the current configuration.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table.borrow().clone()
    }

    /// Returns the current version, 0 if there is no configuration.
    pub fn version(&self) -> u64 {
        let table = self.table.borrow();
        table.as_ref().map_or(0, |table| table.version)
    }

    /// Returns the published form of the current configuration, packed.
    pub fn published(&self) -> Bytes {
        self.published.borrow().clone()
    }

    /// Replaces the configuration if `table` is newer; returns whether it was replaced.
    ///
    /// # Errors
    /// Returns a description of the problem and keeps the current configuration if packing fails.
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

    /// Records that a read that began at `began` found no newer configuration.
    pub fn confirm(&self, began: Instant) {
        let mut freshness = self.freshness.get();
        freshness.confirm(began);
        self.freshness.set(freshness);
    }

    /// Returns the time since the start of the read that last confirmed the configuration.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.freshness.get().age(now)
    }

    /// Returns whether the configuration was confirmed recently enough to authorize requests by key.
    pub fn is_fresh(&self, now: Instant, within: Option<Duration>) -> bool {
        within.is_none_or(|within| self.freshness.get().is_fresh(now, within))
    }
}
