//! The store's era as this box learns of it, from answers and from other boxes.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::era::{CONFIGURED_WITHIN, Era, Outdated, Position};

use crate::relay::Relay;
use crate::store::{Feed, StoreError};

impl Relay {
    /// The era of an answer of the store to a call that began at `began`.
    ///
    /// # Errors
    /// [`StoreError::Outdated`] for a late answer of an earlier era.
    pub(crate) fn era_of(&self, told: Option<Era>, began: Instant) -> Result<Era, StoreError> {
        let before = self.eras.get();
        let mut eras = before;
        let era = eras.of_answer(told, began, self.now());
        self.eras.set(eras);
        if before.held() != eras.held() {
            log::warn!(event = "store-era", era = eras.held().0, before = before.held().0, named:? = told.map(|era| era.0); "the store is in another era: what was held by offset is read anew");
        }
        era.map_err(|Outdated| {
            log::info!(event = "store-outdated", named:? = told.map(|era| era.0), held = eras.held().0; "a late answer of an earlier era changes nothing");
            StoreError::Outdated
        })
    }

    /// Where to read on after a read that began at `began`.
    ///
    /// # Errors
    /// [`StoreError::Outdated`] for a late answer of an earlier era.
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

    /// Another box tells of the store's era, and how long ago the store came back into it, if it did.
    pub(crate) fn hear_era(&self, told: Era, age: Option<Duration>) {
        let mut eras = self.eras.get();
        let is_news = match age {
            Some(age) => eras.hear_of_return(told, self.now().before(age)),
            None => eras.hear(told, Some(self.now())),
        };
        self.eras.set(eras);
        if is_news {
            log::info!(event = "store-era", era = told.0; "another box told of the store's era");
        }
    }

    /// Note that the operator wrote a configuration in this era.
    pub(crate) fn note_configured(&self, era: Era) {
        self.configured_in.set(Some(era));
    }

    /// Whether the store's copy may lack a configuration that was acknowledged. Until the operator wrote again, or had time to,
    /// a read confirms nothing then: a key that was taken away in the lost seconds would go on working for longer than
    /// allowed.
    pub(crate) fn may_lack_configuration(&self) -> bool {
        let eras = self.eras.get();
        let is_written = self.configured_in.get() == Some(eras.held());
        !is_written && eras.is_back_since(CONFIGURED_WITHIN, self.now())
    }
}
