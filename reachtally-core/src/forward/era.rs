//! The store's eras, and places in its log that can be compared across them.
//!
//! A store that was away may come back from a copy some seconds old. Offsets and generations of the group then go back and are
//! given out again, so they say nothing without the era that they are of.

use std::time::Duration;

use crate::time::Instant;

/// How long after the store's return targets whose entries its copy lacks may still write them again: longer than the three heartbeats, of some 1.2 s each, after which a silent target's entry goes.
pub const REWRITTEN_WITHIN: Duration = Duration::from_secs(4);
/// How long the operator may take to write the configuration again that the copy lacks: as long as entries that lapsed take
/// to come back.
pub const CONFIGURED_WITHIN: Duration = Duration::from_millis(2500);

/// Counts the returns of the store from a copy. 0 is that of a store that doesn't tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Era(pub u64);

/// A place in the store's log. Any place of a later era comes after all of an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Position {
    /// The era.
    pub era: Era,
    /// Number of the record, within the era.
    pub offset: u64,
}

/// A state of the group of boxes. Any of a later era comes after all of an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Generation {
    /// The era.
    pub era: Era,
    /// Rises with each change of the group, within the era.
    pub number: u64,
}

/// An answer is of an earlier era than is known since before it came: nothing follows from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outdated;

/// What this box knows of the store's era.
#[derive(Debug, Clone, Copy, Default)]
pub struct Eras {
    /// The era, once an answer or another box told it.
    held: Option<Era>,
    /// When this box learned that it is another than before; `None` for the first that it heard of.
    changed_at: Option<Instant>,
    /// An era below the one held that the store's answers name all the same. They are taken for a later one.
    fallen: Option<Era>,
}

impl Eras {
    /// The era, if an answer or another box told it.
    pub fn known(&self) -> Option<Era> {
        self.held
    }

    /// The era; that of a store that doesn't tell if none is known.
    pub fn held(&self) -> Era {
        self.held.unwrap_or_default()
    }

    /// When this box learned that the store had come back from a copy; `None` if it knows of no return.
    pub fn changed_at(&self) -> Option<Instant> {
        self.changed_at
    }

    /// The era of an answer to a call that began at `began`, which names the era `told`, if any. One that names none is of
    /// the era that is held.
    ///
    /// A lower one is late if a higher one became known while the call was under way. Else the store's own count has fallen, which it
    /// must not: its log may be any by then, so that it counts as one more era.
    ///
    /// # Errors
    /// [`Outdated`] for a late answer.
    pub fn of_answer(
        &mut self,
        told: Option<Era>,
        began: Instant,
        now: Instant,
    ) -> Result<Era, Outdated> {
        let held = self.held();
        let told = told.unwrap_or(held);
        if told >= held {
            if self.hear(told, Some(now)) {
                self.fallen = None;
            }
            return Ok(told);
        }
        if self.changed_at.is_some_and(|at| began <= at) {
            return Err(Outdated);
        }
        if self.fallen != Some(told) {
            self.hear(Era(held.0.saturating_add(1)), Some(now));
            self.fallen = Some(told);
        }
        Ok(self.held())
    }

    /// The store is in the era `told`, since `since` if it came back from a copy then. Yields whether that is news.
    pub fn hear(&mut self, told: Era, since: Option<Instant>) -> bool {
        let is_news = self.held.is_none_or(|held| told > held);
        if is_news {
            self.changed_at = self.held.and(since);
            self.held = Some(told);
        }
        is_news
    }

    /// Another box tells that the store came back at `since` into the era `told`.
    pub fn hear_of_return(&mut self, told: Era, since: Instant) -> bool {
        let is_news = self.hear(told, Some(since));
        if told == self.held() && self.changed_at.is_none() {
            self.changed_at = Some(since);
        }
        is_news
    }

    /// Whether the store came back from a copy less than `within` ago.
    pub fn is_back_since(&self, within: Duration, now: Instant) -> bool {
        self.changed_at.is_some_and(|at| now.since(at) < within)
    }
}
