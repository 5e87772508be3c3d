//! What becomes known of targets: their entries, their failures, and whether they are there.

use std::sync::Arc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::{EngineKey, Entry};

use crate::relay::Relay;
use crate::target;

/// Time for which the answer to whether a target is there holds, so that the streams of one engine
/// ask once.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Part of the drain bound that is kept for requests on their way, and for the time from the loss of an
/// entry until this box hears of it: 0.4 s between reads, and as much from box to box.
const DRAIN_MARGIN: Duration = Duration::from_millis(1500);

impl Relay {
    /// A target wrote its entry.
    pub fn target_wrote(&self, entry: Entry) {
        let shown = entry.clone();
        let (_, changed) = self.fleet.borrow_mut().upsert(entry, self.now());
        if !changed {
            return;
        }
        log::info!(event = "target", target = &*shown.id, address:% = shown.address, draining = shown.draining, layers:? = shown.layers; "a target's entry changed");
        self.changes.borrow_mut().note(shown.id);
        self.touched();
    }

    /// A target's entry is gone: it has left, unless the store was away and took the entry with it.
    pub fn target_gone(&self, id: &str, may_lapse: bool) {
        log::info!(event = "target-gone", target = id, may_lapse = may_lapse; "a target's entry is gone");
        match may_lapse {
            true => self.target_lapsed(id),
            false => self.forget(id),
        }
    }

    /// A target's entry is missing, perhaps through the store's fault.
    pub fn target_lapsed(&self, id: &str) {
        if self.fleet.borrow_mut().miss(id, self.now()) {
            self.changes.borrow_mut().note(Arc::from(id));
            self.touched();
        }
    }

    fn forget(&self, id: &str) {
        if self.fleet.borrow_mut().remove(id).is_some() {
            self.changes.borrow_mut().note(Arc::from(id));
            self.touched();
        }
    }

    /// Take over a whole list of targets.
    pub fn replace_targets(&self, entries: Vec<Entry>, may_lapse: bool) {
        let known = self.fleet.borrow().ids();
        let listed: Vec<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            self.target_wrote(entry);
        }
        for id in known.iter().filter(|id| !listed.contains(id)) {
            self.target_gone(id, may_lapse);
        }
    }

    /// Forget targets whose entries did not come back in time.
    pub fn drop_missing(&self) {
        let drain_within = self.settings.borrow().drain_within;
        let patience = drain_within.saturating_sub(DRAIN_MARGIN);
        let missing = self.fleet.borrow().missing(self.now(), patience);
        for id in missing {
            self.forget(&id);
        }
    }

    /// Count a failure of a target.
    pub fn target_failed(&self, key: EngineKey, why: &str) {
        let mut fleet = self.fleet.borrow_mut();
        let Some(engine) = fleet.get(key) else {
            return;
        };
        log::info!(event = "target-failed", target = &*engine.entry.id, address:% = engine.entry.address, why = why; "hold off a target");
        fleet.failed(key, self.now());
        self.count(|tally| tally.target_failures += 1);
    }

    /// A target refused a request because it is full or does not hold what it should.
    pub fn target_refused(&self, key: EngineKey) {
        let now = self.now();
        if let Some(engine) = self.fleet.borrow_mut().get_mut(key) {
            engine.health.refused(now);
        }
    }

    /// A target took no connection.
    pub fn target_dead(&self, key: EngineKey) {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let Some(engine) = fleet.get_mut(key) else {
            return;
        };
        if !engine.health.is_dead() {
            log::info!(event = "target-dead", target = &*engine.entry.id, address:% = engine.entry.address; "a target takes no connections");
            self.count(|tally| tally.targets_found_dead += 1);
        }
        engine.health.found_dead(now);
    }

    /// Those of `engines` that take no connections. Each is asked at most every [`CHECK_INTERVAL`].
    pub async fn dead_of(&self, engines: &[EngineKey]) -> Vec<EngineKey> {
        let now = self.now();
        let checks = engines.iter().map(|key| async move {
            let known = self
                .fleet
                .borrow()
                .get(*key)
                .map(|engine| (engine.entry.address, engine.health));
            let Some((address, health)) = known else {
                return Some(*key);
            };
            let is_recent = |at: Instant| now.since(at) < CHECK_INTERVAL;
            if health.is_dead() {
                return Some(*key);
            }
            if health.alive_at().is_some_and(is_recent) {
                return None;
            }
            match target::is_there(address).await {
                true => {
                    self.target_there(*key);
                    None
                }
                false => {
                    self.target_dead(*key);
                    Some(*key)
                }
            }
        });
        futures::future::join_all(checks)
            .await
            .into_iter()
            .flatten()
            .collect()
    }

    /// Ask a dead target whether it is back.
    pub async fn ask_dead(&self, key: EngineKey) {
        let address = self
            .fleet
            .borrow()
            .get(key)
            .map(|engine| engine.entry.address);
        let Some(address) = address else {
            return;
        };
        if target::is_there(address).await {
            log::info!(event = "target-back", address:% = address; "a dead target takes connections again");
            self.target_there(key);
        }
    }

    fn target_there(&self, key: EngineKey) {
        if let Some(engine) = self.fleet.borrow_mut().get_mut(key) {
            engine.health.found_alive(self.now());
        }
    }
}
