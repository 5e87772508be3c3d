//! What a run of a target asks of this box in its answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::{RunMark, TargetRun};
use crate::forward::limit::{RateLimit, StatedLimit};
use crate::time::Instant;

/// Upper bound on the runs without a row whose notices are retained; limits the memory when a fleet
/// is replaced repeatedly. Far more than the runs that leave or ask for back-off within
/// [`RETENTION`].
const MAX_RETAINED: usize = 4096;

/// Minimum time for which the notice of a run without a row is retained: longer than leaving
/// targets keep serving, and longer than the age of the copies from which a store may be restored.
const RETENTION: Duration = Duration::from_secs(600);

/// What a run asked of this box or of all boxes. It is valid for the lifetime of the run, even if
/// the run's entry is removed.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Notice {
    /// End of the requested back-off.
    back_off_until: Option<Instant>,
    /// Whether the run announced that it is leaving; never reset.
    is_leaving: bool,
    /// The last statement on its rate limit, and when the limit changed.
    stated_limit: Option<(StatedLimit, Instant)>,
}

impl Notice {
    /// Extends the back-off to `until`; an earlier end is ignored.
    pub fn back_off(&mut self, until: Instant) {
        self.back_off_until = self.back_off_until.max(Some(until));
    }

    /// Marks the run as leaving permanently.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Records a statement on the run's rate limit unless a newer one is known. Returns whether the
    /// limit changed.
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

    /// The rate limit that applies to all boxes together, if the run states one.
    pub fn limit(&self) -> Option<RateLimit> {
        let (stated, _) = self.stated_limit?;
        stated.limit
    }

    /// Whether the run announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the end of the back-off if it is still in effect.
    pub fn backs_off_until(&self, now: Instant) -> Option<Instant> {
        self.back_off_until.filter(|until| now < *until)
    }

    /// Whether this box is backing off from the run.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backs_off_until(now).is_some()
    }
}

/// The notice of a run that has no row.
#[derive(Debug)]
struct RetainedNotice {
    mark: RunMark,
    notice: Notice,
    /// When it expires.
    until: Instant,
    /// Whether the run had a row before.
    had_row: bool,
}

impl RetainedNotice {
    /// Eviction order: notices without content first, then those that expire first.
    fn eviction_order(&self) -> (bool, Option<Instant>, Instant) {
        (
            self.notice.is_leaving,
            self.notice.back_off_until,
            self.until,
        )
    }
}

/// Notices of runs that have no row, by target id.
///
/// An entry may disappear and reappear during a run; its notice must survive that.
#[derive(Debug, Default)]
pub(super) struct Notices(HashMap<Arc<str>, RetainedNotice>);

impl Notices {
    /// Retains the notice of a run whose row is removed.
    pub fn keep(&mut self, run: TargetRun, notice: Notice, now: Instant) {
        self.insert(run, notice, true, now);
    }

    fn insert(&mut self, run: TargetRun, notice: Notice, had_row: bool, now: Instant) {
        if self.0.len() >= MAX_RETAINED {
            self.evict(now);
        }
        let earliest = now + RETENTION;
        let retained = RetainedNotice {
            mark: run.mark,
            notice,
            had_row,
            until: notice
                .back_off_until
                .map_or(earliest, |end| end.max(earliest)),
        };
        self.0.insert(run.id, retained);
    }

    /// Whether a run had a row that was removed.
    pub fn has(&self, run: &TargetRun) -> bool {
        let retained = self.0.get(&run.id);
        retained.is_some_and(|retained| retained.had_row && run.mark.matches(retained.mark))
    }

    /// Returns the notice of a run that has no row.
    pub fn get(&self, run: &TargetRun) -> Option<Notice> {
        let retained = self.0.get(&run.id)?;
        run.mark.matches(retained.mark).then_some(retained.notice)
    }

    /// Updates the notice of a run that has no row.
    pub fn change(&mut self, run: &TargetRun, now: Instant, change: impl FnOnce(&mut Notice)) {
        let had_row = self.has(run);
        let mut notice = self.take(run);
        change(&mut notice);
        self.insert(run.clone(), notice, had_row, now);
    }

    /// Removes and returns the notice of a run that gets a row; the default if the retained one is
    /// of another run.
    pub fn take(&mut self, run: &TargetRun) -> Notice {
        let retained = self.0.remove(&run.id);
        let own = retained.filter(|retained| run.mark.matches(retained.mark));
        own.map_or_else(Notice::default, |retained| retained.notice)
    }

    /// Removes expired notices; if none has expired, the first by
    /// [`RetainedNotice::eviction_order`].
    fn evict(&mut self, now: Instant) {
        self.0.retain(|_, retained| now < retained.until);
        if self.0.len() < MAX_RETAINED {
            return;
        }
        let soonest = self
            .0
            .iter()
            .min_by_key(|(_, retained)| retained.eviction_order());
        if let Some(id) = soonest.map(|(id, _)| id.clone()) {
            self.0.remove(&id);
        }
    }
}
