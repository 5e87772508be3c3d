//! The table of targets that requests are forwarded to.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::forward::limit::{RateLimit, StatedLimit};
use crate::time::Instant;

mod engine;
mod entry;
mod health;
mod notice;
mod queue;

pub use engine::Engine;
pub use entry::{Born, Entry, Evidence, RunMark, RunOrder, TargetRun};
pub use health::Health;
pub use notice::Notice;
use notice::Notices;
pub use queue::{QUEUE_LIFE, Queues, StatedQueue};

new_key_type! {
    /// Row of a target in a [`Fleet`].
    pub struct EngineKey;
}

/// All targets known.
#[derive(Debug, Default)]
pub struct Fleet {
    engines: SlotMap<EngineKey, Engine>,
    by_id: HashMap<Arc<str>, EngineKey>,
    by_address: HashMap<SocketAddr, EngineKey>,
    /// Notices of runs without a row.
    notices: Notices,
    /// Failure domains of which this box reaches no target.
    unreachable: BTreeSet<Arc<str>>,
}

impl Fleet {
    /// Inserts or updates an entry. Returns the target's row and whether something changed.
    ///
    /// A known run is updated. A target that started again gets a new row, so that neither the state of its earlier run nor references
    /// to its row apply to it. A late entry of an earlier run changes nothing.
    pub fn upsert(&mut self, entry: Entry, evidence: Evidence, now: Instant) -> (EngineKey, bool) {
        let Some(&key) = self.by_id.get(&entry.id) else {
            return (self.insert(entry, evidence, now), true);
        };
        let known = &self.engines[key];
        match entry.run_since(&known.entry) {
            RunOrder::Same => (key, self.update(key, entry, evidence, now)),
            RunOrder::Earlier if known.is_heard(now) => (key, false),
            RunOrder::Earlier | RunOrder::Later => {
                self.remove(&entry.id, now);
                (self.insert(entry, evidence, now), true)
            }
        }
    }

    /// Adds a row for a new run.
    fn insert(&mut self, entry: Entry, evidence: Evidence, now: Instant) -> EngineKey {
        let id = entry.id.clone();
        let address = entry.address;
        let notice = self.notices.take(&entry.run());
        let key = self.engines.insert(Engine::new(entry, notice, now));
        self.follow_domain(key, now);
        self.by_id.insert(id, key);
        self.take_address(address, key, evidence, now);
        key
    }

    /// Updates the row of a known run; returns whether something changed.
    fn update(&mut self, key: EngineKey, entry: Entry, evidence: Evidence, now: Instant) -> bool {
        let engine = &mut self.engines[key];
        engine.heard_at = now;
        let is_back = evidence == Evidence::Written && engine.health.wrote(now);
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
        self.follow_domain(key, now);
        if before != address || is_back {
            self.release_address(before, key);
            self.take_address(address, key, evidence, now);
        }
        let is_back = is_back && !self.engines[key].health.is_superseded();
        is_changed || was_missing || is_back
    }

    /// Lets a target be reachable as its failure domain is.
    fn follow_domain(&mut self, key: EngineKey, now: Instant) {
        let engine = &mut self.engines[key];
        let is_reachable = !self.unreachable.contains(&engine.entry.domain);
        engine.health.set_reachable(is_reachable, now);
    }

    /// Assigns `address` to a target. Of two that claim it, the run that started later has it, or else the one that wrote last: a late
    /// entry of an earlier run must not displace its successor. The other is superseded; its entry stays until it expires.
    fn take_address(
        &mut self,
        address: SocketAddr,
        key: EngineKey,
        evidence: Evidence,
        now: Instant,
    ) {
        let holder = self.by_address.get(&address).copied();
        let other = holder.and_then(|holder| self.engines.get(holder));
        let order = other.map(|other| self.engines[key].entry.run_since(&other.entry));
        let superseded = match order {
            Some(RunOrder::Earlier) => Some(key),
            Some(RunOrder::Later) => holder,
            Some(RunOrder::Same) => holder.filter(|_| evidence == Evidence::Written),
            None => None,
        };
        if superseded != Some(key) {
            self.by_address.insert(address, key);
        }
        if let Some(engine) = superseded.and_then(|key| self.engines.get_mut(key)) {
            engine.health.superseded(now);
        }
    }

    fn release_address(&mut self, address: SocketAddr, key: EngineKey) {
        if self.by_address.get(&address) == Some(&key) {
            self.by_address.remove(&address);
        }
    }

    /// Removes and returns the target `id`. Its notice is kept, since its entry may come back.
    pub fn remove(&mut self, id: &str, now: Instant) -> Option<Engine> {
        let key = self.by_id.remove(id)?;
        let engine = self.engines.remove(key)?;
        let mut notice = engine.notice;
        if engine.is_leaving() {
            notice.leave();
        }
        self.notices.keep(engine.entry.run(), notice, now);
        self.release_address(engine.entry.address, key);
        Some(engine)
    }

    /// Marks the entry of `id` as missing, perhaps through the store's fault: the target becomes the last choice. Returns whether
    /// it was not marked before.
    pub fn miss(&mut self, id: &str, now: Instant) -> bool {
        let Some(&key) = self.by_id.get(id) else {
            return false;
        };
        let engine = &mut self.engines[key];
        let was_there = engine.missing_since.is_none();
        engine.missing_since.get_or_insert(now);
        was_there
    }

    /// Ids of targets whose entries have been missing for `patience`.
    pub fn missing(&self, now: Instant, patience: Duration) -> Vec<Arc<str>> {
        let late = |engine: &&Engine| {
            engine
                .missing_since
                .is_some_and(|at| now.since(at) >= patience)
        };
        self.engines
            .values()
            .filter(late)
            .map(|engine| engine.entry.id.clone())
            .collect()
    }

    /// Ids of all targets.
    pub fn ids(&self) -> Vec<Arc<str>> {
        self.by_id.keys().cloned().collect()
    }

    /// Targets that accept no connections, without those whose address was taken over or whose failure domain is unreachable.
    pub fn dead(&self) -> Vec<EngineKey> {
        let dead = self.engines.iter();
        dead.filter(|(_, engine)| engine.health.is_alone_silent())
            .map(|(key, _)| key)
            .collect()
    }

    /// At most `most` dead targets that are due for a probe, those that have waited longest first.
    pub fn due_for_probe(&self, now: Instant, most: usize) -> Vec<EngineKey> {
        let probe_at = |key: &EngineKey| self.engines[*key].health.probe_at();
        let mut due = self.dead();
        due.retain(|key| probe_at(key) <= now);
        due.sort_by_key(|key| (probe_at(key), *key));
        due.truncate(most);
        due
    }

    /// Sets whether this box reaches the targets of a failure domain. Returns whether that is a change.
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

    /// Failure domains of which this box reaches no target.
    pub fn unreachable(&self) -> &BTreeSet<Arc<str>> {
        &self.unreachable
    }

    /// A target by row.
    pub fn get(&self, key: EngineKey) -> Option<&Engine> {
        self.engines.get(key)
    }

    /// A target by row, to change.
    pub fn get_mut(&mut self, key: EngineKey) -> Option<&mut Engine> {
        self.engines.get_mut(key)
    }

    /// The target last known at an address.
    pub fn at(&self, address: SocketAddr) -> Option<EngineKey> {
        self.by_address.get(&address).copied()
    }

    /// A target by its id.
    pub fn find(&self, id: &str) -> Option<EngineKey> {
        self.by_id.get(id).copied()
    }

    /// The row of a run; `None` if another run has its id by now, or none.
    pub fn find_run(&self, run: &TargetRun) -> Option<EngineKey> {
        let key = self.find(&run.id)?;
        let held = RunMark::from(self.engines.get(key)?.entry.born);
        run.mark.is_same(held).then_some(key)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = (EngineKey, &Engine)> {
        self.engines.iter()
    }

    /// Targets of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (EngineKey, &'a Engine)> {
        self.engines
            .iter()
            .filter(move |(_, engine)| &*engine.entry.service == service)
    }

    /// Whether a run was known and its entry was removed. That it is listed is no sign of life, since a list may be an older copy; only
    /// a live target goes on writing.
    pub fn is_gone(&self, run: &TargetRun) -> bool {
        self.notices.has(run)
    }

    /// Changes the notice of a run, whether it has a row or not: its entry may have been removed while it was at work.
    pub fn note(&mut self, run: &TargetRun, now: Instant, change: impl FnOnce(&mut Notice)) {
        let row = self.find_run(run).and_then(|key| self.engines.get_mut(key));
        match row {
            Some(engine) => change(&mut engine.notice),
            None => self.notices.change(run, now, change),
        }
    }

    /// The rate limit that a run states, whether it has a row or not.
    pub fn limit_of(&self, run: &TargetRun) -> Option<RateLimit> {
        let row = self.find_run(run).and_then(|key| self.engines.get(key));
        let notice = match row {
            Some(engine) => Some(engine.notice),
            None => self.notices.get(run),
        };
        notice?.limit()
    }

    /// Targets with a statement on their rate limit.
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

    /// Counts a failure of a target.
    pub fn failed(&mut self, key: EngineKey, now: Instant) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.health.failed(now);
        }
    }

    /// Removes the loads of other boxes.
    pub fn clear_remote(&mut self) {
        for engine in self.engines.values_mut() {
            engine.clear_remote();
        }
    }

    /// Counts a request on the targets `keys`, which holds `tokens` of KV on average.
    pub fn begin(&mut self, keys: &[EngineKey], tokens: f64) {
        self.change(keys, |engine| {
            engine.running += 1;
            engine.tokens += tokens;
        });
    }

    /// Counts a prompt of `tokens` that the engines `keys` of a path read one after the other. It waits at one
    /// of them at a time, so each counts its part.
    pub fn begin_reading(&mut self, keys: &[EngineKey], tokens: f64) {
        let each = tokens / keys.len().max(1) as f64;
        self.change(keys, |engine| engine.reading += each);
    }

    /// Ends the count of a prompt that was read or whose request ended.
    pub fn end_reading(&mut self, keys: &[EngineKey], tokens: f64) {
        let each = tokens / keys.len().max(1) as f64;
        self.change(keys, |engine| {
            engine.reading = (engine.reading - each).max(0.0)
        });
    }

    /// Ends the count of a request.
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
