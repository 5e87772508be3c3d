//! The table of targets that requests are forwarded to.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::forward::cost::Layers;
use crate::time::Instant;

new_key_type! {
    /// Row of a target in a [`Fleet`].
    pub struct EngineKey;
}

/// Hold-off after a first failure. A crashed engine is seen by several requests at once, and a
/// single lost answer should not cost an engine much.
const FIRST_HOLD: Duration = Duration::from_millis(500);
/// Hold-off of a target that refused a request because it is full: its load is known anew by then.
const FULL_HOLD: Duration = Duration::from_millis(150);
/// How long a target that contradicted its entry is left alone, unless the entry changes before: entries
/// that lapse do so after three heartbeats of a second or so.
const CONTRADICTED_HOLD: Duration = Duration::from_secs(4);
/// Longest hold-off.
const LONGEST_HOLD: Duration = Duration::from_secs(8);
/// A target that worked this long since its last failure starts over with the first hold-off.
const FORGIVEN_AFTER: Duration = Duration::from_secs(10);

/// A target as its own entry describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Identity of this run of the target.
    pub id: Arc<str>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it takes no new work because it is leaving.
    pub draining: bool,
    /// Requests it runs at once.
    pub slots: u32,
    /// Its kind of card, if it runs a layered model.
    pub card: Option<Arc<str>>,
    /// Layers it holds.
    pub layers: Layers,
}

/// How long what an engine told of its pace holds: troubles last some seconds, and asking costs little.
const PACE_LIFE: Duration = Duration::from_millis(2500);

/// An entry that is read this long after its target was found dead was written by a live target:
/// entries are read within a second.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(1300);

/// How an entry became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// It stands in a list, and may have been written long ago.
    Listed,
    /// The target wrote it a moment ago.
    Written,
}

/// Failures of a target and what was concluded.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// No requests before this instant unless nothing else is left.
    pub held_until: Option<Instant>,
    /// Until when it is taken to have no room, whatever is reckoned.
    full_until: Option<Instant>,
    hold: Duration,
    failed_at: Option<Instant>,
    /// Since when it takes no connections.
    dead_since: Option<Instant>,
    /// When it was last seen to take a connection or write its entry.
    alive_at: Option<Instant>,
    /// Until when it is left alone because it does not hold what its entry says.
    contradicted_until: Option<Instant>,
    /// Whether a later run has its address.
    is_superseded: bool,
}

impl Health {
    /// Whether the target is held off.
    pub fn is_held(&self, now: Instant) -> bool {
        self.held_until.is_some_and(|until| now < until) || self.is_full(now)
    }

    /// Whether the target refused a request a moment ago.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Whether the target takes no connections, as far as is known.
    pub fn is_dead(&self) -> bool {
        self.dead_since.is_some() || self.is_superseded
    }

    /// Whether this box found that the target takes no connections.
    pub fn is_silent(&self) -> bool {
        self.dead_since.is_some() && !self.is_superseded
    }

    /// Whether the target lately turned out not to hold what its entry says.
    pub fn is_contradicted(&self, now: Instant) -> bool {
        self.contradicted_until.is_some_and(|until| now < until)
    }

    /// The target does not hold what its entry says: another run may have taken its address.
    pub fn contradicted(&mut self, now: Instant) {
        self.contradicted_until = Some(now + CONTRADICTED_HOLD);
    }

    /// The target took no connection.
    pub fn found_dead(&mut self, now: Instant) {
        self.dead_since.get_or_insert(now);
    }

    /// The target took a connection.
    pub fn found_alive(&mut self, now: Instant) {
        self.dead_since = None;
        self.alive_at = Some(now);
    }

    /// The target wrote its entry.
    fn wrote(&mut self, now: Instant) {
        if self
            .dead_since
            .is_none_or(|at| now.since(at) > HEARTBEAT_DELAY)
        {
            self.found_alive(now);
        }
    }

    /// When the target was last seen alive.
    pub fn alive_at(&self) -> Option<Instant> {
        self.alive_at
    }

    /// The target refused a request, which is no failure.
    pub fn refused(&mut self, now: Instant) {
        self.full_until = Some(now + FULL_HOLD);
    }

    /// Count a failure: each one in a row doubles the hold-off.
    pub fn failed(&mut self, now: Instant) {
        if self.is_held(now) {
            return;
        }
        let forgiven = self
            .failed_at
            .is_none_or(|at| now.since(at) > FORGIVEN_AFTER);
        self.hold = match forgiven {
            true => FIRST_HOLD,
            false => (self.hold * 2).clamp(FIRST_HOLD, LONGEST_HOLD),
        };
        self.failed_at = Some(now);
        self.held_until = Some(now + self.hold);
    }
}

/// One target.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its entry.
    pub entry: Entry,
    /// Requests of this box that it takes part in.
    pub running: u32,
    /// KV tokens that those hold on average while they run.
    pub tokens: f64,
    /// Prompt tokens of those that wait to be read there.
    pub reading: f64,
    /// Requests that other boxes have on it, as they last told.
    pub running_elsewhere: f64,
    /// KV tokens that those hold on average while they run.
    pub tokens_elsewhere: f64,
    /// Prompt tokens of those that wait to be read there.
    pub reading_elsewhere: f64,
    /// Requests that the target itself last told of, less those of this box.
    pub others_told: f64,
    /// How much longer it took than it should when this box last asked it, and when that was.
    pace: Option<(f64, Instant)>,
    /// The largest such figure that other boxes tell.
    pub pace_elsewhere: Option<f64>,
    /// Other boxes that found that it takes no connections.
    pub silent_elsewhere: u32,
    /// Its failures.
    pub health: Health,
    /// Since when its entry is missing though that may be the store's fault.
    pub missing_since: Option<Instant>,
}

/// Slowest pace that is believed of an engine; beyond it is as good as silent.
const SLOWEST_PACE: f64 = 1000.0;
/// Other boxes that must have found a target silent before it counts: one may have lost its own link.
const LEAST_WITNESSES: u32 = 2;

impl Engine {
    /// Whether several other boxes found that it takes no connections. Told with their loads, so that not each
    /// box finds out by itself: with 64 boxes worth +0.005 (error 0.003, 10 pairs).
    pub fn is_silent_elsewhere(&self) -> bool {
        self.silent_elsewhere >= LEAST_WITNESSES
    }

    /// The engine told how much longer than it should it takes. What is no number tells nothing.
    pub fn told_pace(&mut self, pace: f64, now: Instant) {
        if !pace.is_nan() {
            self.pace = Some((pace.clamp(1.0, SLOWEST_PACE), now));
        }
    }

    /// What the engine told this box lately.
    pub fn own_pace(&self, now: Instant) -> Option<f64> {
        let (pace, at) = self.pace?;
        (now.since(at) < PACE_LIFE).then_some(pace)
    }

    /// How much longer than it should the engine takes, as far as is known.
    pub fn slowness(&self, now: Instant) -> f64 {
        self.own_pace(now).or(self.pace_elsewhere).unwrap_or(1.0)
    }
}

/// All targets known.
#[derive(Debug, Default)]
pub struct Fleet {
    engines: SlotMap<EngineKey, Engine>,
    by_id: HashMap<Arc<str>, EngineKey>,
    by_address: HashMap<SocketAddr, EngineKey>,
}

impl Fleet {
    /// Take in an entry; a known one is updated. Yields its row and whether it changed.
    pub fn upsert(&mut self, entry: Entry, evidence: Evidence, now: Instant) -> (EngineKey, bool) {
        if let Some(&key) = self.by_id.get(&entry.id) {
            let engine = &mut self.engines[key];
            let changed = engine.entry != entry || engine.missing_since.is_some();
            engine.missing_since = None;
            if evidence == Evidence::Written {
                engine.health.wrote(now);
            }
            if changed {
                engine.health.contradicted_until = None;
            }
            let draining = engine.entry.draining || entry.draining;
            engine.entry = Entry { draining, ..entry };
            return (key, changed);
        }
        let id = entry.id.clone();
        let address = entry.address;
        let key = self.engines.insert(Engine {
            entry,
            running: 0,
            tokens: 0.0,
            reading: 0.0,
            running_elsewhere: 0.0,
            tokens_elsewhere: 0.0,
            reading_elsewhere: 0.0,
            others_told: 0.0,
            pace: None,
            pace_elsewhere: None,
            silent_elsewhere: 0,
            health: Health::default(),
            missing_since: None,
        });
        self.by_id.insert(id, key);
        let before = self.by_address.insert(address, key);
        if evidence == Evidence::Written {
            self.supersede(before);
        }
        (key, true)
    }

    /// A later run has the address of this target. Its entry stays until it lapses.
    fn supersede(&mut self, before: Option<EngineKey>) {
        if let Some(engine) = before.and_then(|key| self.engines.get_mut(key)) {
            engine.health.is_superseded = true;
        }
    }

    /// Remove the target `id`; yields what it was.
    pub fn remove(&mut self, id: &str) -> Option<Engine> {
        let key = self.by_id.remove(id)?;
        let engine = self.engines.remove(key)?;
        if self.by_address.get(&engine.entry.address) == Some(&key) {
            self.by_address.remove(&engine.entry.address);
        }
        Some(engine)
    }

    /// The entry of `id` is missing, but the store was away: use it as the last choice only. Yields
    /// whether that is news.
    pub fn miss(&mut self, id: &str, now: Instant) -> bool {
        let Some(&key) = self.by_id.get(id) else {
            return false;
        };
        let engine = &mut self.engines[key];
        let is_news = engine.missing_since.is_none();
        engine.missing_since.get_or_insert(now);
        is_news
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

    /// Targets that take no connections, but those whose address is another's by now.
    pub fn dead(&self) -> Vec<EngineKey> {
        let dead = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.health.is_silent());
        dead.map(|(key, _)| key).collect()
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

    /// Count a failure of a target.
    pub fn failed(&mut self, key: EngineKey, now: Instant) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.health.failed(now);
        }
    }

    /// Forget what other boxes told of their requests.
    pub fn clear_elsewhere(&mut self) {
        for engine in self.engines.values_mut() {
            engine.running_elsewhere = 0.0;
            engine.tokens_elsewhere = 0.0;
            engine.reading_elsewhere = 0.0;
            engine.pace_elsewhere = None;
            engine.silent_elsewhere = 0;
        }
    }

    /// Count a request on the targets `keys`, which holds `tokens` of KV on average.
    pub fn begin(&mut self, keys: &[EngineKey], tokens: f64) {
        self.change(keys, |engine| {
            engine.running += 1;
            engine.tokens += tokens;
        });
    }

    /// Count a prompt of `tokens` that the engines `keys` of a path read one after the other. It waits at one
    /// of them at a time, so each counts its part.
    pub fn begin_reading(&mut self, keys: &[EngineKey], tokens: f64) {
        let each = tokens / keys.len().max(1) as f64;
        self.change(keys, |engine| engine.reading += each);
    }

    /// The prompt was read, or its request ended.
    pub fn end_reading(&mut self, keys: &[EngineKey], tokens: f64) {
        let each = tokens / keys.len().max(1) as f64;
        self.change(keys, |engine| {
            engine.reading = (engine.reading - each).max(0.0)
        });
    }

    /// The request ended.
    pub fn end(&mut self, keys: &[EngineKey], tokens: f64) {
        self.change(keys, |engine| {
            engine.running = engine.running.saturating_sub(1);
            engine.tokens = (engine.tokens - tokens).max(0.0);
        });
    }

    /// Change those of `keys` that are still known.
    fn change(&mut self, keys: &[EngineKey], change: impl Fn(&mut Engine)) {
        for key in keys {
            if let Some(engine) = self.engines.get_mut(*key) {
                change(engine);
            }
        }
    }
}
