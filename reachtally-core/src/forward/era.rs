//! Eras of the store, and positions in its log that are comparable across them.
//!
//! After an outage the store may be restored from a copy that is some seconds old. Offsets and
//! group generations are then rolled back and assigned again, so they are meaningful only together
//! with their era.

use std::time::Duration;

use crate::time::Instant;

/// How long after a rollback of the store targets may still rewrite entries that the restored copy
/// lacks: longer than the three heartbeats of about 1.2 s each after which the entry of an
/// unresponsive target is dropped.
pub const ENTRY_REWRITE_TIME: Duration = Duration::from_secs(4);
/// How long after a rollback the operator may take to rewrite a configuration that the restored
/// copy lacks: as long as expired entries take to be written again.
pub const CONFIG_REWRITE_TIME: Duration = Duration::from_millis(2500);

/// Number of rollbacks of the store; 0 for a store that does not report it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Era(pub u64);

/// A position in the store's log. Every position of a later era follows all positions of earlier
/// ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Position {
    /// The era.
    pub era: Era,
    /// Offset of the record within the era.
    pub offset: u64,
}

/// A generation of the group of boxes. Every generation of a later era follows all generations of
/// earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Generation {
    /// The era.
    pub era: Era,
    /// Increases with each change of the group within the era.
    pub number: u64,
}

/// An answer belongs to an earlier era than the one known before it arrived, and must be ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outdated;

/// The store's era as known to this box.
#[derive(Debug, Clone, Copy, Default)]
pub struct EraTracker {
    /// The era, once an answer or another box reported it.
    held: Option<Era>,
    /// When this box learned of a change of the era; `None` for the first era it learned of.
    changed_at: Option<Instant>,
    /// An era below the current one that the store keeps reporting. Its answers are assigned to a
    /// later era.
    regressed: Option<Era>,
}

impl EraTracker {
    /// Returns the era if an answer or another box reported it.
    pub fn known(&self) -> Option<Era> {
        self.held
    }

    /// Returns the era; if none is known, that of a store that does not report it.
    pub fn held(&self) -> Era {
        self.held.unwrap_or_default()
    }

    /// Returns when this box learned that the store was rolled back; `None` if it knows of no
    /// rollback.
    pub fn changed_at(&self) -> Option<Instant> {
        self.changed_at
    }

    /// Returns the era of an answer to a call that began at `began` and reports the era `reported`,
    /// if any. An answer without one belongs to the current era.
    ///
    /// A lower era is outdated if a higher one became known while the call was in progress.
    /// Otherwise the store's own counter has decreased, which must not happen: its log may have any
    /// content by then, so this counts as one more era.
    ///
    /// # Errors
    /// [`Outdated`] for an outdated answer.
    pub fn era_of_answer(
        &mut self,
        reported: Option<Era>,
        began: Instant,
        now: Instant,
    ) -> Result<Era, Outdated> {
        let held = self.held();
        let reported = reported.unwrap_or(held);
        if reported >= held {
            if self.update(reported, Some(now)) {
                self.regressed = None;
            }
            return Ok(reported);
        }
        if self.changed_at.is_some_and(|at| began <= at) {
            return Err(Outdated);
        }
        if self.regressed != Some(reported) {
            self.update(Era(held.0.saturating_add(1)), Some(now));
            self.regressed = Some(reported);
        }
        Ok(self.held())
    }

    /// Updates the era to `reported`, which began with a rollback at `since`, if any. Returns
    /// whether it is newer.
    pub fn update(&mut self, reported: Era, since: Option<Instant>) -> bool {
        let is_newer = self.held.is_none_or(|held| reported > held);
        if is_newer {
            self.changed_at = self.held.and(since);
            self.held = Some(reported);
        }
        is_newer
    }

    /// Updates the era from another box, which reports a rollback at `since` into the era
    /// `reported`. Returns whether it is newer.
    pub fn receive_rollback(&mut self, reported: Era, since: Instant) -> bool {
        let is_newer = self.update(reported, Some(since));
        if reported == self.held() && self.changed_at.is_none() {
            self.changed_at = Some(since);
        }
        is_newer
    }

    /// Whether the store was rolled back less than `within` ago.
    pub fn was_rolled_back_within(&self, within: Duration, now: Instant) -> bool {
        self.changed_at.is_some_and(|at| now.since(at) < within)
    }
}
