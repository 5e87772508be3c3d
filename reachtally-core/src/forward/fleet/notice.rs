//! What a run of a target asks of this box in its answers.

use std::collections::HashMap;
use std::sync::Arc;

use super::{RunMark, TargetRun};
use crate::time::Instant;

/// Runs without a row whose notices are kept at most. It bounds the memory where a fleet is replaced again and again: some
/// 100 bytes each, and far more than can ask for rest and lose their rows within the time that they asked for.
const MOST_KEPT: usize = 4096;

/// What a run asked of this box. Guards targets that turn requests away: where the time that they ask for is not
/// heeded, each gets up to five more sends of a box within a second of it, and the refused ones use up the second sends of
/// all boxes (counted from the logs of four days with such targets: 303 times with more than two sends, none with it). It holds for as long as the run lives, whatever becomes of the run's entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Notice {
    /// Until when it wants nothing from this box.
    rest_until: Option<Instant>,
}

impl Notice {
    /// The run wants nothing from this box until then. A shorter time that it asks for later takes nothing back.
    pub fn rest(&mut self, until: Instant) {
        self.rest_until = self.rest_until.max(Some(until));
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
}

/// Notices of runs that have no row at present, by the ids of their targets.
///
/// Guards a run whose entry goes and comes back: the list is read anew without it, its entry is spoiled, or it
/// lapses. Its new row would start with a clean notice, and the box would send to a target that wants rest.
#[derive(Debug, Default)]
pub(super) struct Notices(HashMap<Arc<str>, Kept>);

impl Notices {
    /// Keep the notice of a run whose row goes.
    pub fn keep(&mut self, run: TargetRun, notice: Notice, now: Instant) {
        if !notice.is_resting(now) {
            return;
        }
        if self.0.len() >= MOST_KEPT {
            self.make_place(now);
        }
        let mark = run.mark;
        self.0.insert(run.id, Kept { mark, notice });
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

    /// Drop what is over; where nothing is, the one that is over first.
    fn make_place(&mut self, now: Instant) {
        self.0.retain(|_, kept| kept.notice.is_resting(now));
        if self.0.len() < MOST_KEPT {
            return;
        }
        let soonest = self.0.iter().min_by_key(|(_, kept)| kept.notice.rest_until);
        if let Some(id) = soonest.map(|(id, _)| id.clone()) {
            self.0.remove(&id);
        }
    }
}
