//! Entries of targets, as they are read or reported.

use std::collections::HashSet;
use std::sync::Arc;

use reachtally_core::forward::fleet::{EngineKey, Entry, Evidence, RunOrder};
use tokio::sync::watch;

use crate::relay::Relay;
use crate::store::SpoiledEntry;

/// Most changed entries of one read that are logged one by one: a first list or a new plan changes nearly all of them.
const MOST_ENTRY_LINES: usize = 4;

/// An entry that was read, and what that shows.
type Shown = (Entry, Evidence);

impl Relay {
    /// Updates a target from an entry that it wrote.
    pub fn target_wrote(&self, entry: Entry) {
        self.targets_shown(vec![(entry, Evidence::Written)]);
    }

    /// Updates targets from entries that were read together.
    pub fn targets_shown(&self, shown: Vec<Shown>) {
        let mut changed = Vec::new();
        let mut ended = Vec::new();
        for (entry, evidence) in shown {
            let id = entry.id.clone();
            let mut fleet = self.fleet.borrow_mut();
            let before = fleet.find(&id);
            let (key, is_news) = fleet.upsert(entry, evidence, self.now());
            ended.extend(before.filter(|before| *before != key));
            if is_news {
                self.changes.borrow_mut().note(id);
                changed.push(key);
            }
        }
        if changed.is_empty() {
            return;
        }
        self.log_changed(&changed);
        self.touched();
        if !ended.is_empty() {
            log::info!(event = "targets-started-again", targets = ended.len(); "targets started again under their ids, and hold nothing of before");
            self.runs_ended.send_replace(ended);
        }
    }

    /// Watches the rows of targets whose runs ended, since they started again.
    pub(crate) fn runs_ended(&self) -> watch::Receiver<Vec<EngineKey>> {
        self.runs_ended.subscribe()
    }

    /// Counts and logs malformed entries of one read.
    pub(crate) fn note_spoiled(&self, spoiled: &[SpoiledEntry]) {
        self.count(|tally| tally.entries_spoiled += spoiled.len() as u64);
        for entry in spoiled.iter().take(MOST_ENTRY_LINES) {
            log::warn!(event = "entry-spoiled", target = &*entry.id, why = &*entry.why; "an entry names no target: another writer spoiled it");
        }
        if spoiled.len() > MOST_ENTRY_LINES {
            log::warn!(event = "entries-spoiled", entries = spoiled.len(); "more entries of one read are spoiled than are logged each");
        }
    }

    fn log_changed(&self, changed: &[EngineKey]) {
        let fleet = self.fleet.borrow();
        let entries = changed
            .iter()
            .filter_map(|key| Some(&fleet.get(*key)?.entry));
        if changed.len() > MOST_ENTRY_LINES {
            let draining = entries.filter(|entry| entry.draining).count();
            log::info!(event = "targets", changed = changed.len(), draining = draining, known = fleet.iter().count(); "targets' entries changed");
            return;
        }
        for entry in entries {
            log::info!(event = "target", target = &*entry.id, address:% = entry.address, born = entry.born.map_or(0, |born| born.0), draining = entry.draining, layers:? = entry.layers; "a target's entry changed");
        }
    }

    /// Removes a target whose entry is gone, unless the store was away and may have lost the entry.
    pub fn target_gone(&self, id: &str, may_lapse: bool) {
        log::info!(event = "target-gone", target = id, may_lapse = may_lapse; "a target's entry is gone");
        match may_lapse {
            true => self.target_lapsed(id),
            false => self.forget(id),
        }
    }

    /// Marks a target whose entry is missing, perhaps through the store's fault.
    pub fn target_lapsed(&self, id: &str) {
        if self.fleet.borrow_mut().miss(id, self.now()) {
            self.changes.borrow_mut().note(Arc::from(id));
            self.touched();
        }
    }

    /// Removes a target.
    pub(crate) fn forget(&self, id: &str) {
        if self.fleet.borrow_mut().remove(id, self.now()).is_some() {
            self.changes.borrow_mut().note(Arc::from(id));
            self.touched();
        }
    }

    /// Replaces the targets by a whole list.
    pub fn replace_targets(&self, entries: Vec<Entry>, may_lapse: bool) {
        let known = self.fleet.borrow().ids();
        let listed: HashSet<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        let shown = entries.into_iter().map(|entry| (entry, Evidence::Listed));
        self.targets_shown(shown.collect());
        for id in known.iter().filter(|id| !listed.contains(*id)) {
            self.target_gone(id, may_lapse);
        }
    }

    /// Compares the targets with a list that may be older. Known runs stay as they are until they write again, except that
    /// leaving is final.
    pub(crate) fn compare_targets(&self, listed: Vec<Entry>) {
        let shown = listed
            .into_iter()
            .filter_map(|entry| self.newer_than_held(entry));
        let shown: Vec<Shown> = shown.map(|entry| (entry, Evidence::Listed)).collect();
        self.targets_shown(shown);
    }

    /// Returns the part of an entry of unknown age that is newer than the known one.
    fn newer_than_held(&self, entry: Entry) -> Option<Entry> {
        let fleet = self.fleet.borrow();
        let held = fleet.find(&entry.id).and_then(|key| fleet.get(key));
        let Some(held) = held else {
            return Some(entry);
        };
        match entry.run_since(&held.entry) {
            RunOrder::Later => Some(entry),
            RunOrder::Same if entry.draining => Some(Entry {
                draining: true,
                ..held.entry.clone()
            }),
            RunOrder::Same | RunOrder::Earlier => None,
        }
    }

    /// Removes targets whose entries did not come back in time.
    pub fn drop_missing(&self) {
        let patience = self.rhythm().missing_patience;
        let missing = self.fleet.borrow().missing(self.now(), patience);
        for id in missing {
            self.forget(&id);
        }
    }
}
