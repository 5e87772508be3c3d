//! What a run of a target asks of this box in its answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::{RunMark, TargetRun};
use crate::forward::limit::{RateLimit, StatedLimit};
use crate::time::Instant;

/// Most runs without a row whose notices are kept, which bounds the memory where a fleet is replaced again and again. Far more than
/// leave or ask for back-off within [`KEPT_FOR`].
const MOST_KEPT: usize = 4096;

/// Least time for which the notice of a run without a row is kept: longer than leaving targets go on serving, and than the copies
/// from which a store may be restored are old.
const KEPT_FOR: Duration = Duration::from_secs(600);

/// What a run asked of this box, or of all boxes. It holds for as long as the run lives, whatever becomes of the run's entry.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Notice {
    /// End of the back-off that it asked for.
    back_off_until: Option<Instant>,
    /// Whether it said that it leaves, for good.
    is_leaving: bool,
    /// What it last stated of its rate limit, and when that changed.
    stated_limit: Option<(StatedLimit, Instant)>,
}

impl Notice {
    /// Extends the back-off to `until`; an earlier end is ignored.
    pub fn back_off(&mut self, until: Instant) {
        self.back_off_until = self.back_off_until.max(Some(until));
    }

    /// Marks the run as leaving, for good.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Takes in a statement on the run's rate limit, unless a newer one is known; yields whether the limit changed.
    pub fn state_limit(&mut self, stated: StatedLimit, now: Instant) -> bool {
        let (known, changed_at) = self.stated_limit.unzip();
        let newest = stated.newer(known);
        let is_changed = newest.limit != self.limit();
        let changed_at = changed_at.filter(|_| !is_changed).unwrap_or(now);
        self.stated_limit = Some((newest, changed_at));
        is_changed
    }

    /// The last statement on the run's rate limit, and when the limit changed.
    pub fn stated_limit(&self) -> Option<(StatedLimit, Instant)> {
        self.stated_limit
    }

    /// The rate limit that all boxes together must keep, if the run states one.
    pub fn limit(&self) -> Option<RateLimit> {
        let (stated, _) = self.stated_limit?;
        stated.limit
    }

    /// Whether the run said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the end of the back-off, if that is not over.
    pub fn backs_off_until(&self, now: Instant) -> Option<Instant> {
        self.back_off_until.filter(|until| now < *until)
    }

    /// Whether this box backs off from the run at present.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backs_off_until(now).is_some()
    }
}

/// The notice of a run without a row.
#[derive(Debug)]
struct Kept {
    mark: RunMark,
    notice: Notice,
    /// When it expires.
    until: Instant,
    /// Whether the run had a row.
    had_row: bool,
}

impl Kept {
    /// Order of removal: notices that say nothing, then those that end first.
    fn order(&self) -> (bool, Option<Instant>, Instant) {
        (
            self.notice.is_leaving,
            self.notice.back_off_until,
            self.until,
        )
    }
}

/// Notices of runs without a row, by the ids of their targets.
///
/// An entry may go and come back within the life of a run; the notice must not go with it.
#[derive(Debug, Default)]
pub(super) struct Notices(HashMap<Arc<str>, Kept>);

impl Notices {
    /// Keeps the notice of a run whose row is removed.
    pub fn keep(&mut self, run: TargetRun, notice: Notice, now: Instant) {
        self.insert(run, notice, true, now);
    }

    fn insert(&mut self, run: TargetRun, notice: Notice, had_row: bool, now: Instant) {
        if self.0.len() >= MOST_KEPT {
            self.make_place(now);
        }
        let usual = now + KEPT_FOR;
        let kept = Kept {
            mark: run.mark,
            notice,
            had_row,
            until: notice.back_off_until.map_or(usual, |end| end.max(usual)),
        };
        self.0.insert(run.id, kept);
    }

    /// Whether a run had a row and lost it.
    pub fn has(&self, run: &TargetRun) -> bool {
        let kept = self.0.get(&run.id);
        kept.is_some_and(|kept| kept.had_row && run.mark.is_same(kept.mark))
    }

    /// The notice of a run that has no row.
    pub fn get(&self, run: &TargetRun) -> Option<Notice> {
        let kept = self.0.get(&run.id)?;
        run.mark.is_same(kept.mark).then_some(kept.notice)
    }

    /// Changes the notice of a run without a row.
    pub fn change(&mut self, run: &TargetRun, now: Instant, change: impl FnOnce(&mut Notice)) {
        let had_row = self.has(run);
        let mut notice = self.take(run);
        change(&mut notice);
        self.insert(run.clone(), notice, had_row, now);
    }

    /// Removes and returns the notice of a run that gets a row; the default if the id was another run's.
    pub fn take(&mut self, run: &TargetRun) -> Notice {
        let kept = self.0.remove(&run.id);
        let own = kept.filter(|kept| run.mark.is_same(kept.mark));
        own.map_or_else(Notice::default, |kept| kept.notice)
    }

    /// Removes expired notices, or else the first by [`Kept::order`].
    fn make_place(&mut self, now: Instant) {
        self.0.retain(|_, kept| now < kept.until);
        if self.0.len() < MOST_KEPT {
            return;
        }
        let soonest = self.0.iter().min_by_key(|(_, kept)| kept.order());
        if let Some(id) = soonest.map(|(id, _)| id.clone()) {
            self.0.remove(&id);
        }
    }
}
