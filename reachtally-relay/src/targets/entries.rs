//! Updates of targets by their entries, as read from the store or reported by other boxes.

use std::collections::HashSet;
use std::sync::Arc;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::{EngineKey, Entry, EntrySource, RunOrder};
use tokio::sync::watch;

use crate::relay::Relay;
use crate::store::MalformedEntry;

/// Maximum number of changed entries of one read that are logged individually. The first list and a new plan change nearly all
/// entries.
const MAX_ENTRY_LINES: usize = 4;

/// An entry and how it was obtained.
type Observation = (Entry, EntrySource);

impl Relay {
    /// Updates a target from an entry that it wrote.
    pub fn update_target(&self, entry: Entry) {
        self.update_targets(vec![(entry, EntrySource::Written)]);
    }

    /// Updates targets from the entries of one read.
    pub fn update_targets(&self, observations: Vec<Observation>) {
        let now = self.now();
        let unix = reachtally_clock::unix_time();
        self.fleet.borrow_mut().set_unix_time(unix, now);
        let mut changed = Vec::new();
        let mut ended = Vec::new();
        for (entry, evidence) in observations {
            let id = entry.id.clone();
            let mut fleet = self.fleet.borrow_mut();
            let previous = fleet.find(&id);
            let (key, is_changed) = fleet.upsert(entry, evidence, now);
            drop(fleet);
            if is_changed && previous != Some(key) {
                self.report_inherited(key, now);
            }
            ended.extend(previous.filter(|previous| *previous != key));
            if is_changed {
                self.changes.borrow_mut().record(id);
                changed.push(key);
            }
        }
        if changed.is_empty() {
            return;
        }
        self.log_changed(&changed);
        self.notify_changed();
        if !ended.is_empty() {
            log::info!(event = "targets-started-again", targets = ended.len(); "targets restarted under their ids and lost their state");
            self.runs_ended.send_replace(ended);
        }
    }

    /// Reports what a run asked for before its entry was read: in the log, and its limit to other boxes.
    fn report_inherited(&self, key: EngineKey, now: Instant) {
        let fleet = self.fleet.borrow();
        let Some(engine) = fleet.get(key).filter(|engine| !engine.notice.is_empty(now)) else {
            return;
        };
        let notice = &engine.notice;
        let back_off = notice.backs_off_until(now).map(|until| until.since(now));
        log::info!(event = "statement-kept", target = &*engine.entry.id, rest_ms = back_off.map_or(0, |left| left.as_millis() as u64), leaving = notice.is_leaving(), limited = notice.limit().is_some(); "target stated this before its entry was read; it remains in effect");
        if notice.limit().is_some() {
            self.limits.changed.notify_one();
        }
    }

    /// Watches the targets whose runs ended: they restarted, or were found dead or unreachable.
    pub(crate) fn runs_ended(&self) -> watch::Receiver<Vec<EngineKey>> {
        self.runs_ended.subscribe()
    }

    /// Counts and logs the malformed entries of one read.
    pub(crate) fn log_malformed_entries(&self, malformed: &[MalformedEntry]) {
        self.count(|tally| tally.entries_spoiled += malformed.len() as u64);
        for entry in malformed.iter().take(MAX_ENTRY_LINES) {
            log::warn!(event = "entry-spoiled", target = &*entry.id, why = &*entry.why; "malformed entry, overwritten by another writer; the target is removed");
        }
        if malformed.len() > MAX_ENTRY_LINES {
            log::warn!(event = "entries-spoiled", entries = malformed.len(); "more malformed entries than are logged individually");
        }
    }

    fn log_changed(&self, changed: &[EngineKey]) {
        let fleet = self.fleet.borrow();
        let entries = changed
            .iter()
            .filter_map(|key| Some(&fleet.get(*key)?.entry));
        if changed.len() > MAX_ENTRY_LINES {
            let draining = entries.filter(|entry| entry.draining).count();
            log::info!(event = "targets", changed = changed.len(), draining = draining, known = fleet.iter().count(); "target entries changed");
            return;
        }
        for entry in entries {
            log::info!(event = "target", target = &*entry.id, address:% = entry.address, born = entry.born.map_or(0, |born| born.0), draining = entry.draining, layers:? = entry.layers; "target entry changed");
        }
    }

    /// Removes a target whose entry was deleted, or only marks it as missing if the store may have lost the entry in an outage.
    pub fn target_gone(&self, id: &str, may_be_lost: bool) {
        log::info!(event = "target-gone", target = id, may_lapse = may_be_lost; "target entry was deleted");
        match may_be_lost {
            true => self.mark_missing(id),
            false => self.remove_target(id),
        }
    }

    /// Marks a target whose entry is missing, possibly through a fault of the store.
    pub fn mark_missing(&self, id: &str) {
        if self.fleet.borrow_mut().mark_missing(id, self.now()) {
            self.changes.borrow_mut().record(Arc::from(id));
            self.notify_changed();
        }
    }

    /// Removes a target.
    pub(crate) fn remove_target(&self, id: &str) {
        if self.fleet.borrow_mut().remove(id, self.now()).is_some() {
            self.changes.borrow_mut().record(Arc::from(id));
            self.notify_changed();
        }
    }

    /// Replaces the targets with a complete list.
    pub fn replace_targets(&self, entries: Vec<Entry>, may_be_lost: bool) {
        let known = self.fleet.borrow().ids();
        let listed: HashSet<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        let observations = entries
            .into_iter()
            .map(|entry| (entry, EntrySource::Listed));
        self.update_targets(observations.collect());
        for id in known.iter().filter(|id| !listed.contains(*id)) {
            self.target_gone(id, may_be_lost);
        }
    }

    /// Merges a list that may be older than the known entries. Known runs keep their entries until they write again, except that
    /// draining is final.
    pub(crate) fn merge_targets(&self, listed: Vec<Entry>) {
        let observations = listed
            .into_iter()
            .filter_map(|entry| self.newer_part(entry));
        let observations: Vec<Observation> = observations
            .map(|entry| (entry, EntrySource::Listed))
            .collect();
        self.update_targets(observations);
    }

    /// Returns the part of an entry of unknown age that is newer than the known entry.
    fn newer_part(&self, entry: Entry) -> Option<Entry> {
        let fleet = self.fleet.borrow();
        let known = fleet.find(&entry.id).and_then(|key| fleet.get(key));
        let Some(known) = known else {
            return Some(entry);
        };
        match entry.run_order(&known.entry) {
            RunOrder::Later => Some(entry),
            RunOrder::Same if entry.draining => Some(Entry {
                draining: true,
                ..known.entry.clone()
            }),
            RunOrder::Same | RunOrder::Earlier => None,
        }
    }

    /// Removes targets whose entries have been missing for too long.
    pub fn remove_missing(&self) {
        let patience = self.rhythm().missing_grace_period;
        let missing = self.fleet.borrow().missing(self.now(), patience);
        for id in missing {
            self.remove_target(&id);
        }
    }
}
