//! Tracks the era of the store, as named by its responses and reported by other boxes.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::era::{CONFIG_REWRITE_TIME, Era, Outdated, Position};

use crate::relay::Relay;
use crate::store::{Feed, StoreError};

impl Relay {
    /// Returns the era of a store response to a call that began at `began`.
    ///
    /// # Errors
    /// [`StoreError::Outdated`] for a late response of an earlier era.
    pub(crate) fn era_of(&self, named: Option<Era>, began: Instant) -> Result<Era, StoreError> {
        let before = self.eras.get();
        let mut eras = before;
        let era = eras.era_of_answer(named, began, self.now());
        self.eras.set(eras);
        if before.held() != eras.held() {
            log::warn!(event = "store-era", era = eras.held().0, before = before.held().0, named:? = named.map(|era| era.0); "the era of the store changed; reading again all data that is tracked by offset");
        }
        era.map_err(|Outdated| {
            log::info!(event = "store-outdated", named:? = named.map(|era| era.0), held = eras.held().0; "ignored a late store response of an earlier era");
            StoreError::Outdated
        })
    }

    /// Returns the position after a read that began at `began`.
    ///
    /// # Errors
    /// [`StoreError::Outdated`] for a late response of an earlier era.
    pub(crate) fn position_after<T>(
        &self,
        feed: &Feed<T>,
        began: Instant,
    ) -> Result<Position, StoreError> {
        Ok(Position {
            era: self.era_of(feed.era, began)?,
            offset: feed.next.0,
        })
    }

    /// Merges the store's era as reported by another box. `age` is the time since the store was restored into
    /// this era, if it was restored.
    pub(crate) fn merge_era(&self, reported: Era, age: Option<Duration>) {
        let mut eras = self.eras.get();
        let is_changed = match age {
            Some(age) => eras.receive_rollback(reported, self.now().before(age)),
            None => eras.update(reported, Some(self.now())),
        };
        self.eras.set(eras);
        if is_changed {
            log::info!(event = "store-era", era = reported.0; "another box reported a new era of the store");
        }
    }

    /// Records that the operator wrote a configuration in `era`.
    pub(crate) fn note_configured(&self, era: Era) {
        self.configured_in.set(Some(era));
    }

    /// Returns whether the store was restored from a backup that may lack an acknowledged configuration. Until
    /// the operator has written again, or has had time to, reads then confirm nothing: a key revoked in the lost
    /// seconds would otherwise keep working for longer than allowed.
    pub(crate) fn may_lack_configuration(&self) -> bool {
        let eras = self.eras.get();
        let is_written = self.configured_in.get() == Some(eras.held());
        !is_written && eras.was_rolled_back_within(CONFIG_REWRITE_TIME, self.now())
    }
}
