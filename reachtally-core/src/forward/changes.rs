//! Log of target changes for other boxes.

use std::collections::VecDeque;
use std::sync::Arc;

/// Number of changes kept; a box that is further behind gets the whole list. Each takes a pointer.
/// The first placement changes all entries within seconds: with 512, boxes in front of 500 engines
/// or more received the whole list again and again.
const MAX_CHANGES: usize = 16_384;

/// The position up to which a box has received the changes of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Cursor {
    /// The run whose changes are counted.
    pub run: u64,
    /// Number of the next change.
    pub next: u64,
}

/// The update that a box needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Delta {
    /// The whole list.
    Whole,
    /// Targets whose entries changed or were removed.
    Changed(Vec<Arc<str>>),
}

/// The latest changes, as ids of targets.
#[derive(Debug, Default)]
pub struct ChangeLog {
    first: u64,
    ids: VecDeque<Arc<str>>,
}

impl ChangeLog {
    /// Records that the entry of a target changed or was removed.
    pub fn record(&mut self, id: Arc<str>) {
        self.ids.push_back(id);
        if self.ids.len() > MAX_CHANGES {
            self.ids.pop_front();
            self.first += 1;
        }
    }

    /// Number of the next change.
    pub fn next(&self) -> u64 {
        self.first + self.ids.len() as u64
    }

    /// Returns the first change that a box at `cursor` needs from the run `run`; `None` if it needs
    /// the whole list.
    pub fn start(&self, cursor: Cursor, run: u64) -> Option<u64> {
        let is_kept = (self.first..=self.next()).contains(&cursor.next);
        (cursor.run == run && is_kept).then_some(cursor.next)
    }

    /// Returns what changed after `cursor` in the run `run`.
    pub fn since(&self, cursor: Cursor, run: u64) -> Delta {
        let Some(start) = self.start(cursor, run) else {
            return Delta::Whole;
        };
        let skipped = (start - self.first) as usize;
        let mut ids: Vec<Arc<str>> = self.ids.iter().skip(skipped).cloned().collect();
        ids.sort_unstable();
        ids.dedup();
        Delta::Changed(ids)
    }
}
