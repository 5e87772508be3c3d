//! The changes of targets that a box can tell others of.

use std::collections::VecDeque;
use std::sync::Arc;

/// Changes kept; a box that is further behind gets the whole list. Each takes a pointer. A first plan changes all
/// entries within seconds: with 512 kept, boxes before 500 engines and more were told all of them again and again.
const KEPT: usize = 16_384;

/// How far a box has followed another's changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Cursor {
    /// The run whose changes are counted.
    pub run: u64,
    /// Number of the next change.
    pub next: u64,
}

/// What a box must be told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Since {
    /// Everything.
    Whole,
    /// Targets whose entries changed or went.
    Changed(Vec<Arc<str>>),
}

/// The latest changes, by the ids of the targets.
#[derive(Debug, Default)]
pub struct Changes {
    first: u64,
    ids: VecDeque<Arc<str>>,
}

impl Changes {
    /// Note that a target's entry changed or went.
    pub fn note(&mut self, id: Arc<str>) {
        self.ids.push_back(id);
        if self.ids.len() > KEPT {
            self.ids.pop_front();
            self.first += 1;
        }
    }

    /// Number of the next change.
    pub fn next(&self) -> u64 {
        self.first + self.ids.len() as u64
    }

    /// The change from which a box at `cursor` is to be told, for changes of the run `run`; `None` if it must be
    /// told everything.
    pub fn start(&self, cursor: Cursor, run: u64) -> Option<u64> {
        let is_kept = (self.first..=self.next()).contains(&cursor.next);
        (cursor.run == run && is_kept).then_some(cursor.next)
    }

    /// What changed since `cursor`, for changes of the run `run`.
    pub fn since(&self, cursor: Cursor, run: u64) -> Since {
        let Some(start) = self.start(cursor, run) else {
            return Since::Whole;
        };
        let skipped = (start - self.first) as usize;
        let mut ids: Vec<Arc<str>> = self.ids.iter().skip(skipped).cloned().collect();
        ids.sort_unstable();
        ids.dedup();
        Since::Changed(ids)
    }
}
