//! What a run of a target asks of this box in its answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::succession::{EarlierRun, Succession, WallClock};
use super::{Entry, RunMark, TargetRun};
use crate::forward::limit::{RateLimit, StatedLimit};
use crate::time::Instant;

/// Upper bound on the runs without a row whose notices are retained; limits the memory when a fleet
/// is replaced repeatedly. Far more than the runs that leave or ask for back-off within
/// [`RETENTION`].
const MAX_RETAINED: usize = 4096;

/// Minimum time for which the notice of a run without a row is retained: longer than leaving
/// targets keep serving, and longer than the age of the copies from which a store may be restored.
const RETENTION: Duration = Duration::from_secs(600);

/// Time for which an announced leave is believed of a run that may be another one than announced it. A leaving run ends earlier.
const INHERITED_LEAVE_TTL: Duration = Duration::from_secs(60);

/// A requested back-off.
#[derive(Debug, Clone, Copy, PartialEq)]
struct BackOff {
    until: Instant,
    /// When the request was sent whose answer asked for it.
    asked_at: Instant,
}

/// Whether a run announced that it is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
enum Leave {
    #[default]
    NotAnnounced,
    /// Announced in the answer to a request that was sent at this time.
    Announced(Instant),
    /// Announced in its entry.
    Draining,
    /// Announced between its restart and the reading of its entry; believed until this time.
    Inherited(Instant),
}

/// What a run asked of this box or of all boxes. It is valid for the lifetime of the run, even if
/// the run's entry is removed.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Notice {
    /// The back-off that ends last.
    longest: Option<BackOff>,
    /// The back-off that was asked for last.
    latest: Option<BackOff>,
    leave: Leave,
    /// The last statement on its rate limit, and when the limit changed.
    stated_limit: Option<(StatedLimit, Instant)>,
}

impl Notice {
    /// Extends the back-off to `until`, as the answer to a request that was sent at `asked_at` demands; an earlier end is ignored.
    pub fn back_off(&mut self, until: Instant, asked_at: Instant) {
        let back_off = BackOff { until, asked_at };
        if self.longest.is_none_or(|longest| longest.until < until) {
            self.longest = Some(back_off);
        }
        if self.latest.is_none_or(|latest| latest.asked_at <= asked_at) {
            self.latest = Some(back_off);
        }
    }

    /// Marks the run as leaving permanently, by the answer to a request that was sent at `asked_at`.
    pub fn leave(&mut self, asked_at: Instant) {
        if self.leave != Leave::Draining {
            self.leave = Leave::Announced(asked_at);
        }
    }

    /// Marks the run as leaving permanently, by its entry.
    pub(super) fn drain(&mut self) {
        self.leave = Leave::Draining;
    }

    /// Returns what the later run of `succession`, whose entry is read at `now`, asked for before that.
    ///
    /// A back-off or a limit that may be the earlier run's is included: both end soon if they are not repeated. A leave is included only if
    /// it is the later run's.
    pub(super) fn inherited(&self, succession: &Succession, now: Instant) -> Notice {
        let own = |back_off: &BackOff| succession.may_include(back_off.asked_at);
        let latest = self.latest.filter(own);
        let stated = self.stated_limit.map(|(stated, _)| stated);
        let stated = stated.filter(|stated| succession.may_include(stated.at));
        Notice {
            longest: self.longest.filter(own).or(latest),
            latest,
            leave: match self.leave {
                Leave::Announced(asked_at) if succession.includes(asked_at) => {
                    Leave::Inherited(now + INHERITED_LEAVE_TTL)
                }
                _ => Leave::NotAnnounced,
            },
            stated_limit: stated.map(|stated| (stated, now)),
        }
    }

    /// Applies `change` by an answer to a request that was sent at `asked_at` to the earlier run of `succession`, and which the later run may
    /// have answered.
    pub(super) fn change_inherited(
        &mut self,
        succession: &Succession,
        asked_at: Instant,
        change: impl FnOnce(&mut Notice),
    ) {
        let leave = self.leave;
        change(self);
        if !succession.includes(asked_at) {
            self.leave = leave;
        }
    }

    /// Adds what `other` holds of the same run.
    pub(super) fn merge(&mut self, other: &Notice) {
        for back_off in [other.longest, other.latest].into_iter().flatten() {
            self.back_off(back_off.until, back_off.asked_at);
        }
        if other.is_leaving() {
            self.leave = other.leave;
        }
        if let Some((stated, changed_at)) = other.stated_limit {
            self.state_limit(stated, changed_at);
        }
    }

    /// Forgets an inherited leave that has expired.
    pub(super) fn expire(&mut self, now: Instant) {
        if matches!(self.leave, Leave::Inherited(until) if until <= now) {
            self.leave = Leave::NotAnnounced;
        }
    }

    /// Whether it holds nothing that has an effect at `now`.
    pub fn is_empty(&self, now: Instant) -> bool {
        !self.is_leaving() && !self.is_backing_off(now) && self.limit().is_none()
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
        self.leave != Leave::NotAnnounced
    }

    /// Returns the end of the back-off if it is still in effect.
    pub fn backs_off_until(&self, now: Instant) -> Option<Instant> {
        let until = self.longest?.until;
        (now < until).then_some(until)
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
    /// Address and last entry of the run, if it had a row before.
    ended: Option<EarlierRun>,
    notice: Notice,
    /// When it expires.
    until: Instant,
}

impl RetainedNotice {
    /// Eviction order: notices without content first, then those that expire first.
    fn eviction_order(&self) -> (bool, Option<Instant>, Instant) {
        (
            self.notice.is_leaving(),
            self.notice.longest.map(|back_off| back_off.until),
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
    pub fn keep(&mut self, id: Arc<str>, ended: EarlierRun, notice: Notice, now: Instant) {
        let run = TargetRun {
            id,
            mark: ended.mark,
        };
        self.insert(run, notice, Some(ended), now);
    }

    fn insert(&mut self, run: TargetRun, notice: Notice, ended: Option<EarlierRun>, now: Instant) {
        if self.0.len() >= MAX_RETAINED {
            self.evict(now);
        }
        let earliest = now + RETENTION;
        let retained = RetainedNotice {
            mark: run.mark,
            ended,
            notice,
            until: notice
                .longest
                .map_or(earliest, |back_off| back_off.until.max(earliest)),
        };
        self.0.insert(run.id, retained);
    }

    /// Whether a run had a row that was removed.
    pub fn has(&self, run: &TargetRun) -> bool {
        self.ended(run).is_some()
    }

    /// Returns what is known of a run that had a row.
    fn ended(&self, run: &TargetRun) -> Option<EarlierRun> {
        let retained = self.0.get(&run.id)?;
        retained.ended.filter(|_| run.mark.matches(retained.mark))
    }

    /// Returns the notice of a run that has no row.
    pub fn get(&self, run: &TargetRun) -> Option<Notice> {
        let retained = self.0.get(&run.id)?;
        run.mark.matches(retained.mark).then_some(retained.notice)
    }

    /// Updates the notice of a run that has no row.
    pub fn change(&mut self, run: &TargetRun, now: Instant, change: impl FnOnce(&mut Notice)) {
        let ended = self.ended(run);
        let retained = self.0.remove(&run.id);
        let own = retained.filter(|retained| run.mark.matches(retained.mark));
        let mut notice = own.map_or_else(Notice::default, |retained| retained.notice);
        change(&mut notice);
        self.insert(run.clone(), notice, ended, now);
    }

    /// Removes and returns the notice of the run of `entry`, which gets a row at `now`. If the retained one is of an earlier run, returns
    /// what of it may be the new run's, and the succession.
    pub fn take(
        &mut self,
        entry: &Entry,
        wall_clock: Option<WallClock>,
        now: Instant,
    ) -> (Notice, Option<Succession>) {
        let Some(retained) = self.0.remove(&entry.id) else {
            return (Notice::default(), None);
        };
        if entry.run().mark.matches(retained.mark) {
            return (retained.notice, None);
        }
        let ended = retained.ended;
        let succession = ended.and_then(|run| Succession::new(run, entry, wall_clock, now));
        let inherited = |succession: &Succession| retained.notice.inherited(succession, now);
        let notice = succession.as_ref().map(inherited);
        (notice.unwrap_or_default(), succession)
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
