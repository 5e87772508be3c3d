//! The current configuration, its published form, and its freshness.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use reachtally_core::Instant;
use reachtally_core::forward::freshness::{Confirmation, ConfirmedBy, Freshness};
use reachtally_core::forward::routes::Table;

/// Gap between two confirmations above which the later one is logged. A box that reads the store confirms its configuration every
/// half second to second, and boxes that follow it as often.
const LOGGED_GAP: Duration = Duration::from_secs(2);

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

    /// Records that a read of the store by this box that began at `began` found no newer configuration.
    pub fn confirm(&self, began: Instant) {
        self.record(Confirmation {
            began,
            by: ConfirmedBy::Store,
        });
    }

    /// Records that the box at `source` reported a read of the store that began at `began` and found no newer configuration.
    pub(crate) fn confirm_by(&self, source: IpAddr, began: Instant) {
        self.record(Confirmation {
            began,
            by: ConfirmedBy::Box(source),
        });
    }

    /// Records a confirmation, and logs it if it comes from another source than the last one or after a long gap.
    fn record(&self, confirmation: Confirmation) {
        let mut freshness = self.freshness.get();
        let last = freshness.last();
        if !freshness.confirm(confirmation) {
            return;
        }
        self.freshness.set(freshness);
        let gap = last.map(|last| confirmation.began.since(last.began));
        let is_usual = last.is_some_and(|last| last.by == confirmation.by)
            && gap.is_some_and(|gap| gap <= LOGGED_GAP);
        if !is_usual {
            let gap = gap.map(|gap| gap.as_millis() as u64);
            log::info!(event = "config-confirmed", version = self.version(), by:% = confirmation.by, before = &*confirmed_by(last), gap_ms:? = gap; "configuration confirmed by another source, or after a gap");
        }
    }

    /// Returns the last confirmation, if any.
    pub fn last_confirmation(&self) -> Option<Confirmation> {
        self.freshness.get().last()
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

/// Returns the source of a confirmation, for the log; `-` if there is none.
pub(crate) fn confirmed_by(confirmation: Option<Confirmation>) -> String {
    confirmation.map_or_else(|| "-".to_owned(), |last| last.by.to_string())
}
