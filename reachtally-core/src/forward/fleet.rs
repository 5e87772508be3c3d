//! The table of targets that requests are forwarded to.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::forward::limit::{RateLimit, StatedLimit};
use crate::time::Instant;

mod absence;
mod engine;
mod entry;
mod health;
mod notice;
mod queue;
mod succession;

pub use absence::{Absence, AbsenceReason};
pub use engine::Engine;
pub use entry::{Entry, EntrySource, RunMark, RunOrder, StartTime, TargetRun};
pub use health::{Evidence, Health, Unresponsive};
pub use notice::Notice;
use notice::Notices;
pub use queue::{QUEUE_TTL, Queues, StatedQueue};
use succession::{EarlierRun, WallClock};

new_key_type! {
    /// Key of a target's row in a [`Fleet`].
    pub struct EngineKey;
}

/// All known targets.
#[derive(Debug, Default)]
pub struct Fleet {
    engines: SlotMap<EngineKey, Engine>,
    by_id: HashMap<Arc<str>, EngineKey>,
    by_address: HashMap<SocketAddr, EngineKey>,
    /// Notices of runs that have no row.
    notices: Notices,
    /// Failure domains in which this box reaches no target.
    unreachable: BTreeSet<Arc<str>>,
    /// The last reading of the machine's clock.
    wall_clock: Option<WallClock>,
}

impl Fleet {
    /// Sets the Unix time at `now`, to which the start times in entries are compared.
    pub fn set_unix_time(&mut self, unix: Duration, now: Instant) {
        self.wall_clock = Some(WallClock { unix, at: now });
    }

    /// Inserts or updates an entry. Returns the target's row and whether anything changed.
    ///
    /// An entry of the known run updates its row. A restarted target gets a new row, so that
    /// neither the state of its earlier run nor keys of its row apply to it, except for what it asked
    /// for before its entry was read. A delayed entry of an earlier run is ignored.
    pub fn upsert(&mut self, entry: Entry, source: EntrySource, now: Instant) -> (EngineKey, bool) {
        let Some(&key) = self.by_id.get(&entry.id) else {
            return (self.insert(entry, source, now), true);
        };
        let known = &self.engines[key];
        match entry.run_order(&known.entry) {
            RunOrder::Same => (key, self.update(key, entry, source, now)),
            RunOrder::Earlier if known.was_read_recently(now) => (key, false),
            RunOrder::Earlier | RunOrder::Later => {
                // Other boxes may have read this entry, and reported what the run asked for, before.
                let reported = self.notices.get(&entry.run());
                self.remove(&entry.id, now);
                let key = self.insert(entry, source, now);
                if let Some(reported) = reported {
                    self.engines[key].notice.merge(&reported);
                }
                (key, true)
            }
        }
    }

    /// Adds a row for a new run.
    fn insert(&mut self, entry: Entry, source: EntrySource, now: Instant) -> EngineKey {
        let id = entry.id.clone();
        let address = entry.address;
        let (notice, succession) = self.notices.take(&entry, self.wall_clock, now);
        let mut engine = Engine::new(entry, notice, now);
        engine.succession = succession;
        engine.entry_written_at = (source == EntrySource::Written).then_some(now);
        let key = self.engines.insert(engine);
        self.sync_reachability(key, now);
        self.by_id.insert(id, key);
        self.claim_address(address, key, source, now);
        key
    }

    /// Updates the row of a known run. Returns whether anything changed.
    fn update(&mut self, key: EngineKey, entry: Entry, source: EntrySource, now: Instant) -> bool {
        let engine = &mut self.engines[key];
        engine.entry_read_at = now;
        engine.notice.expire(now);
        let is_written = source == EntrySource::Written;
        if is_written {
            engine.entry_written_at = Some(now);
        }
        let is_back = is_written && engine.health.entry_written(now);
        let entry = Entry {
            draining: engine.entry.draining || entry.draining,
            born: entry.born.or(engine.entry.born),
            ..entry
        };
        let was_missing = engine.missing_since.take().is_some();
        let is_changed = engine.entry != entry;
        if is_changed || was_missing {
            engine.health.entry_changed();
        }
        let before = std::mem::replace(&mut engine.entry, entry).address;
        let address = engine.entry.address;
        self.sync_reachability(key, now);
        if before != address || is_back {
            self.release_address(before, key);
            self.claim_address(address, key, source, now);
        }
        let is_back = is_back && !self.engines[key].health.is_superseded();
        is_changed || was_missing || is_back
    }

    /// Applies the reachability of its failure domain to a target.
    fn sync_reachability(&mut self, key: EngineKey, now: Instant) {
        let engine = &mut self.engines[key];
        let is_reachable = !self.unreachable.contains(&engine.entry.domain);
        engine.health.set_reachable(is_reachable, now);
    }

    /// Assigns `address` to a target. If two targets claim it, the run that started later gets it;
    /// if their order is unknown, the one that wrote its entry last does. A delayed entry of an
    /// earlier run must not displace its successor. The other target is superseded; its entry stays
    /// until it expires.
    fn claim_address(
        &mut self,
        address: SocketAddr,
        key: EngineKey,
        source: EntrySource,
        now: Instant,
    ) {
        let holder = self.by_address.get(&address).copied();
        let other = holder.and_then(|holder| self.engines.get(holder));
        let order = other.map(|other| self.engines[key].entry.run_order(&other.entry));
        let superseded = match order {
            Some(RunOrder::Earlier) => Some(key),
            Some(RunOrder::Later) => holder,
            Some(RunOrder::Same) => holder.filter(|_| source == EntrySource::Written),
            None => None,
        };
        if superseded != Some(key) {
            self.by_address.insert(address, key);
        }
        if let Some(engine) = superseded.and_then(|key| self.engines.get_mut(key)) {
            engine.health.mark_superseded(now);
        }
    }

    fn release_address(&mut self, address: SocketAddr, key: EngineKey) {
        if self.by_address.get(&address) == Some(&key) {
            self.by_address.remove(&address);
        }
    }

    /// Removes and returns the target `id`. Its notice is retained because the entry may reappear.
    pub fn remove(&mut self, id: &str, now: Instant) -> Option<Engine> {
        let key = self.by_id.remove(id)?;
        let engine = self.engines.remove(key)?;
        let mut notice = engine.notice;
        if engine.entry.draining {
            notice.drain();
        }
        let ended = EarlierRun {
            mark: engine.entry.born.into(),
            address: engine.entry.address,
            written_at: engine.entry_written_at,
        };
        self.notices
            .keep(engine.entry.id.clone(), ended, notice, now);
        self.release_address(engine.entry.address, key);
        Some(engine)
    }

    /// Marks the entry of `id` as missing. Since the store may have lost it, the target stays as a
    /// last resort. Returns whether it was not marked before.
    pub fn mark_missing(&mut self, id: &str, now: Instant) -> bool {
        let Some(&key) = self.by_id.get(id) else {
            return false;
        };
        let engine = &mut self.engines[key];
        let was_present = engine.missing_since.is_none();
        engine.missing_since.get_or_insert(now);
        was_present
    }

    /// Returns the ids of targets whose entries have been missing for at least `patience`.
    pub fn missing(&self, now: Instant, patience: Duration) -> Vec<Arc<str>> {
        let expired = |engine: &&Engine| {
            engine
                .missing_since
                .is_some_and(|at| now.since(at) >= patience)
        };
        self.engines
            .values()
            .filter(expired)
            .map(|engine| engine.entry.id.clone())
            .collect()
    }

    /// Returns the ids of all targets.
    pub fn ids(&self) -> Vec<Arc<str>> {
        self.by_id.keys().cloned().collect()
    }

    /// Returns targets that accept no connections, except those whose address was claimed by
    /// another target or whose failure domain is unreachable.
    pub fn dead(&self) -> Vec<EngineKey> {
        let dead = self.engines.iter();
        dead.filter(|(_, engine)| engine.health.is_individually_unresponsive())
            .map(|(key, _)| key)
            .collect()
    }

    /// Returns at most `max` dead targets that are due for a probe, longest overdue first.
    pub fn due_for_probe(&self, now: Instant, max: usize) -> Vec<EngineKey> {
        let probe_at = |key: &EngineKey| self.engines[*key].health.probe_at();
        let mut due = self.dead();
        due.retain(|key| probe_at(key) <= now);
        due.sort_by_key(|key| (probe_at(key), *key));
        due.truncate(max);
        due
    }

    /// Sets whether this box reaches the targets of a failure domain. Returns whether that changed.
    pub fn set_reachable(&mut self, domain: &Arc<str>, is_reachable: bool, now: Instant) -> bool {
        let is_change = match is_reachable {
            true => self.unreachable.remove(domain),
            false => self.unreachable.insert(domain.clone()),
        };
        if is_change {
            let there = self.engines.values_mut();
            there
                .filter(|engine| engine.entry.domain == *domain)
                .for_each(|engine| engine.health.set_reachable(is_reachable, now));
        }
        is_change
    }

    /// Failure domains in which this box reaches no target.
    pub fn unreachable(&self) -> &BTreeSet<Arc<str>> {
        &self.unreachable
    }

    /// Returns a target by key.
    pub fn get(&self, key: EngineKey) -> Option<&Engine> {
        self.engines.get(key)
    }

    /// Returns a mutable target by key.
    pub fn get_mut(&mut self, key: EngineKey) -> Option<&mut Engine> {
        self.engines.get_mut(key)
    }

    /// Returns the target that currently holds an address.
    pub fn at(&self, address: SocketAddr) -> Option<EngineKey> {
        self.by_address.get(&address).copied()
    }

    /// Returns the key of a target by its id.
    pub fn find(&self, id: &str) -> Option<EngineKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the row of a run; `None` if its id is unknown or belongs to another run by now.
    pub fn find_run(&self, run: &TargetRun) -> Option<EngineKey> {
        let key = self.find(&run.id)?;
        let held = RunMark::from(self.engines.get(key)?.entry.born);
        run.mark.matches(held).then_some(key)
    }

    /// Iterates over all targets.
    pub fn iter(&self) -> impl Iterator<Item = (EngineKey, &Engine)> {
        self.engines.iter()
    }

    /// Iterates over the targets of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (EngineKey, &'a Engine)> {
        self.engines
            .iter()
            .filter(move |(_, engine)| &*engine.entry.service == service)
    }

    /// Whether a run was known and its entry was removed. A listing that contains the run does not
    /// prove that it is alive, because the list may be an older copy; only a live target keeps
    /// writing its entry.
    pub fn was_removed(&self, run: &TargetRun) -> bool {
        self.notices.has(run)
    }

    /// Whether a run announced that it is leaving, with or without a row.
    pub fn has_announced_leave(&self, run: &TargetRun) -> bool {
        let is_announced = |notice: Notice| notice.is_leaving();
        self.row_of(run).is_some_and(Engine::is_leaving)
            || self.notice_of(run).is_some_and(is_announced)
    }

    fn row_of(&self, run: &TargetRun) -> Option<&Engine> {
        self.engines.get(self.find_run(run)?)
    }

    /// Returns the notice of a run, with or without a row.
    fn notice_of(&self, run: &TargetRun) -> Option<Notice> {
        match self.row_of(run) {
            Some(engine) => Some(engine.notice),
            None => self.notices.get(run),
        }
    }

    /// Updates the notice of a run, with or without a row: its entry may have been removed while it
    /// was running a request. `asked_at` is when the request was sent that it answered. If it was addressed to a run that has been
    /// replaced since, the notice of the run that may have answered is updated.
    pub fn update_notice(
        &mut self,
        run: &TargetRun,
        asked_at: Instant,
        change: impl FnOnce(&mut Notice),
    ) {
        let row = self.find_run(run).and_then(|key| self.engines.get_mut(key));
        if let Some(engine) = row {
            return change(&mut engine.notice);
        }
        let replaced_by = self.find(&run.id);
        let successor = replaced_by.and_then(|key| self.engines.get_mut(key));
        match successor.and_then(|engine| engine.inheriting(run.mark, asked_at)) {
            Some((notice, succession)) => {
                notice.change_inherited(&succession, asked_at, change);
            }
            None => self.notices.change(run, asked_at, change),
        }
    }

    /// Returns the rate limit that a run states, with or without a row.
    pub fn rate_limit_of(&self, run: &TargetRun) -> Option<RateLimit> {
        self.notice_of(run)?.limit()
    }

    /// Iterates over the targets that stated a rate limit or its end, with the time of the last
    /// change.
    pub fn stated_limits(&self) -> impl Iterator<Item = (&Engine, StatedLimit, Instant)> {
        self.engines.values().filter_map(|engine| {
            let (stated, changed_at) = engine.notice.stated_limit()?;
            Some((engine, stated, changed_at))
        })
    }

    /// Adds permits for sends to a run.
    pub fn grant(&mut self, run: &TargetRun, count: u32, now: Instant) {
        let row = self.find_run(run).and_then(|key| self.engines.get_mut(key));
        if let Some(engine) = row {
            engine.permits.add(count, now);
        }
    }

    /// Records a failure of a target.
    pub fn record_failure(&mut self, key: EngineKey, now: Instant) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.health.record_failure(now);
        }
    }

    /// Clears the loads reported by other boxes.
    pub fn clear_remote(&mut self) {
        for engine in self.engines.values_mut() {
            engine.clear_remote();
        }
    }

    /// Adds a request that holds `tokens` of KV on average to the load of the targets `keys`.
    pub fn begin(&mut self, keys: &[EngineKey], tokens: f64) {
        self.change(keys, |engine| {
            engine.running += 1;
            engine.tokens += tokens;
        });
    }

    /// Adds a prompt of `tokens` that the engines `keys` of a path prefill one after the other. It
    /// waits at one of them at a time, so each is charged an equal part.
    pub fn begin_prefill(&mut self, keys: &[EngineKey], tokens: f64) {
        let each = tokens / keys.len().max(1) as f64;
        self.change(keys, |engine| engine.reading += each);
    }

    /// Removes a prompt from the load once it was prefilled or its request ended.
    pub fn end_prefill(&mut self, keys: &[EngineKey], tokens: f64) {
        let each = tokens / keys.len().max(1) as f64;
        self.change(keys, |engine| {
            engine.reading = (engine.reading - each).max(0.0)
        });
    }

    /// Removes a request from the load.
    pub fn end(&mut self, keys: &[EngineKey], tokens: f64) {
        self.change(keys, |engine| {
            engine.running = engine.running.saturating_sub(1);
            engine.tokens = (engine.tokens - tokens).max(0.0);
        });
    }

    /// Applies `change` to those of `keys` that are still known.
    fn change(&mut self, keys: &[EngineKey], change: impl Fn(&mut Engine)) {
        for key in keys {
            if let Some(engine) = self.engines.get_mut(*key) {
                change(engine);
            }
        }
    }
}
