//! What a run of a target asks of this box in its answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::{RunMark, TargetRun};
use crate::forward::limit::{RateLimit, StatedLimit};
use crate::time::Instant;

/// Runs without a row whose notices are kept at most. It bounds the memory where a fleet is replaced again and again: some
/// 100 bytes each, and far more than leave or ask for rest within the time for which that is kept.
const MOST_KEPT: usize = 4096;

/// How long a run without a row is remembered, at least: far longer than targets that leave go on serving, and than the copies are old
/// from which a store may come back with an entry that says otherwise.
const KEPT_FOR: Duration = Duration::from_secs(600);

/// What a run asked of this box. It holds for as long as the run lives, whatever becomes of the run's entry.
///
/// Guards targets that turn requests away: where the time that they ask for is not heeded, each gets up to five more sends of
/// a box within a second, and the refused ones use up the second sends of all boxes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Notice {
    /// Until when it wants nothing from this box.
    rest_until: Option<Instant>,
    /// Whether it said that it leaves, for good.
    is_leaving: bool,
    /// What it last stated of its rate limit, and when that changed.
    stated_limit: Option<(StatedLimit, Instant)>,
}

impl Notice {
    /// The run wants nothing from this box until then. A shorter time that it asks for later takes nothing back.
    pub fn rest(&mut self, until: Instant) {
        self.rest_until = self.rest_until.max(Some(until));
    }

    /// The run leaves: it wants nothing more from this box, ever.
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

    /// Until when the run wants nothing from this box, if that is not over.
    pub fn rests_until(&self, now: Instant) -> Option<Instant> {
        self.rest_until.filter(|until| now < *until)
    }

    /// Whether the run wants nothing from this box at present.
    pub fn is_resting(&self, now: Instant) -> bool {
        self.rests_until(now).is_some()
    }
}

/// The notice of a run without a row.
#[derive(Debug)]
struct Kept {
    mark: RunMark,
    notice: Notice,
    /// When it is over.
    until: Instant,
}

impl Kept {
    /// Which goes first where there are too many: those that say nothing, then those that are over first.
    fn order(&self) -> (bool, Option<Instant>, Instant) {
        (self.notice.is_leaving, self.notice.rest_until, self.until)
    }
}

/// Notices of runs that had a row and lost it, by the ids of their targets.
///
/// Guards a run whose entry goes and comes back: the list is read anew without it, its entry is spoiled, it
/// lapses, or the store comes back from an older copy. Its new row would start with a clean notice, and the box would send to
/// a target that wants rest, or that leaves.
#[derive(Debug, Default)]
pub(super) struct Notices(HashMap<Arc<str>, Kept>);

impl Notices {
    /// Keep the notice of a run whose row goes.
    pub fn keep(&mut self, run: TargetRun, notice: Notice, now: Instant) {
        if self.0.len() >= MOST_KEPT {
            self.make_place(now);
        }
        let usual = now + KEPT_FOR;
        let kept = Kept {
            mark: run.mark,
            notice,
            until: notice.rest_until.map_or(usual, |rest| rest.max(usual)),
        };
        self.0.insert(run.id, kept);
    }

    /// Whether a run had a row and lost it.
    pub fn has(&self, run: &TargetRun) -> bool {
        let kept = self.0.get(&run.id);
        kept.is_some_and(|kept| run.mark.is_same(kept.mark))
    }

    /// The notice of a run that has no row.
    pub fn get(&self, run: &TargetRun) -> Option<Notice> {
        let kept = self.0.get(&run.id)?;
        run.mark.is_same(kept.mark).then_some(kept.notice)
    }

    /// Change the notice of a run that has no row.
    pub fn change(&mut self, run: &TargetRun, now: Instant, change: impl FnOnce(&mut Notice)) {
        let mut notice = self.take(run);
        change(&mut notice);
        self.keep(run.clone(), notice, now);
    }

    /// The notice of a run that gets a row, which keeps it from now on. The next run of a target owes nothing to it.
    pub fn take(&mut self, run: &TargetRun) -> Notice {
        let kept = self.0.remove(&run.id);
        let own = kept.filter(|kept| run.mark.is_same(kept.mark));
        own.map_or_else(Notice::default, |kept| kept.notice)
    }

    /// Drop what is over; where nothing is, the first by [`Kept::order`].
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
