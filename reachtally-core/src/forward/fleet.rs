//! The table of targets that requests are forwarded to.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::time::Instant;

mod engine;
mod entry;
mod health;

pub use engine::Engine;
pub use entry::{Entry, Evidence};
pub use health::Health;

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
                engine.health.entry_changed();
            }
            let draining = engine.entry.draining || entry.draining;
            engine.entry = Entry { draining, ..entry };
            return (key, changed);
        }
        let id = entry.id.clone();
        let address = entry.address;
        let key = self.engines.insert(Engine::new(entry));
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
            engine.health.superseded();
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
            engine.clear_elsewhere();
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
