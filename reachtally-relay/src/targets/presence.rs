//! Whether targets accept connections.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::EngineKey;

use crate::relay::Relay;
use crate::target;
use crate::targets::check;

/// Time for which the result of a check holds, so that the streams of one engine
/// check once.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Streams of this box over one engine whose silence together shows as much as the longer silence of one.
const SEVERAL_STREAMS: u32 = 3;
/// Least time between two checks of a whole failure domain: a few dozen connections each.
const DOMAIN_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// What is known of a target's presence.
enum Presence {
    Alive,
    Dead,
    /// It has to be asked at this address.
    Unknown(SocketAddr),
}

impl Relay {
    /// Marks a target as dead: it accepted no connection. Wakes the streams over it.
    pub fn target_dead(&self, key: EngineKey) {
        self.targets_dead(&[key]);
    }

    fn targets_dead(&self, keys: &[EngineKey]) {
        let now = self.now();
        let mut found = Vec::new();
        let mut fleet = self.fleet.borrow_mut();
        for key in keys {
            let Some(engine) = fleet.get_mut(*key) else {
                continue;
            };
            if !engine.health.is_dead() {
                log::info!(event = "target-dead", target = &*engine.entry.id, address:% = engine.entry.address; "a target takes no connections");
                self.count(|tally| tally.targets_found_dead += 1);
                found.push(*key);
            }
            engine.health.found_dead(now);
        }
        drop(fleet);
        if !found.is_empty() {
            self.runs_ended.send_replace(found);
        }
    }

    /// Whether all of these targets are gone or started again, other than being found dead by a check.
    pub(crate) fn has_ended(&self, keys: &[EngineKey]) -> bool {
        let fleet = self.fleet.borrow();
        keys.iter().all(|key| {
            fleet
                .get(*key)
                .is_none_or(|engine| !engine.health.is_silent())
        })
    }

    /// Those of `engines` over which several streams of this box run, none of which had an event for `silence`.
    pub(crate) fn silent_for_all(
        &self,
        engines: &[EngineKey],
        silence: Duration,
    ) -> Vec<EngineKey> {
        let since = self.now().before(silence);
        let fleet = self.fleet.borrow();
        let has_several = |key: &EngineKey| {
            fleet
                .get(*key)
                .is_some_and(|engine| engine.running >= SEVERAL_STREAMS)
        };
        let silent = self.progress.borrow().silent_since(engines, since);
        silent.into_iter().filter(has_several).collect()
    }

    /// Handles a connection attempt without an answer. A packet may have been lost, or the whole failure
    /// domain may be cut off; so all targets there are checked at once, and none is used until it answered.
    pub fn target_silent(self: &Rc<Self>, key: EngineKey) {
        self.target_refused(key);
        let Some(domain) = self.domain_of(key) else {
            return;
        };
        if !self.may_check(&domain) {
            return;
        }
        let relay = self.clone();
        tokio::task::spawn_local(async move {
            let targets = relay.targets_in(&domain);
            let dead = relay.dead_of(&targets).await.len();
            log::info!(event = "domain-checked", domain = &*domain, targets = targets.len(), dead = dead; "a target was silent, so all of its failure domain were asked");
        });
    }

    /// Returns the address of a target, if it is known.
    pub(crate) fn address_of(&self, key: EngineKey) -> Option<SocketAddr> {
        let fleet = self.fleet.borrow();
        fleet.get(key).map(|engine| engine.entry.address)
    }

    fn domain_of(&self, key: EngineKey) -> Option<Arc<str>> {
        let fleet = self.fleet.borrow();
        fleet.get(key).map(|engine| engine.entry.domain.clone())
    }

    /// Returns the targets of a failure domain that are not known to be dead.
    fn targets_in(&self, domain: &str) -> Vec<EngineKey> {
        let fleet = self.fleet.borrow();
        let there = fleet
            .iter()
            .filter(|(_, engine)| &*engine.entry.domain == domain && !engine.health.is_dead());
        there.map(|(key, _)| key).collect()
    }

    /// Whether a failure domain is due for a check; if so, notes that it is checked now.
    fn may_check(&self, domain: &Arc<str>) -> bool {
        let now = self.now();
        let mut checked = self.domains_checked.borrow_mut();
        let is_due = checked
            .get(domain)
            .is_none_or(|at| now.since(*at) >= DOMAIN_CHECK_INTERVAL);
        if is_due {
            checked.insert(domain.clone(), now);
        }
        is_due
    }

    /// Those of `engines` that take no connections. Each is asked at most every [`CHECK_INTERVAL`].
    pub async fn dead_of(&self, engines: &[EngineKey]) -> Vec<EngineKey> {
        let now = self.now();
        let mut dead = Vec::new();
        let mut asked = Vec::new();
        for key in engines {
            match self.presence(*key, now) {
                Presence::Dead => dead.push(*key),
                Presence::Alive => {}
                Presence::Unknown(address) => asked.push((*key, address)),
            }
        }
        let check = |(key, address)| async move { (key, target::is_there(address).await) };
        let present = check::present(asked.iter().copied().map(check)).await;
        present.iter().for_each(|key| self.target_there(*key));
        let silent: Vec<EngineKey> = asked
            .iter()
            .map(|(key, _)| *key)
            .filter(|key| !present.contains(key))
            .collect();
        self.targets_dead(&silent);
        dead.extend(silent);
        dead
    }

    /// What is known of a target's presence without asking.
    fn presence(&self, key: EngineKey, now: Instant) -> Presence {
        let fleet = self.fleet.borrow();
        let Some(engine) = fleet.get(key) else {
            return Presence::Dead;
        };
        let is_recent = |at: Instant| now.since(at) < CHECK_INTERVAL;
        if engine.health.is_dead() {
            return Presence::Dead;
        }
        match engine.health.alive_at().is_some_and(is_recent) {
            true => Presence::Alive,
            false => Presence::Unknown(engine.entry.address),
        }
    }

    /// Those of `engines` that are gone or known to be dead, here or by several other boxes.
    pub fn known_dead(&self, engines: &[EngineKey]) -> Vec<EngineKey> {
        let fleet = self.fleet.borrow();
        let is_dead = |key: &&EngineKey| {
            fleet
                .get(**key)
                .is_none_or(|engine| engine.health.is_dead() || engine.is_remotely_silent())
        };
        engines.iter().filter(is_dead).copied().collect()
    }

    /// Ask a dead target whether it is back.
    pub async fn ask_dead(&self, key: EngineKey) {
        let Some(address) = self.address_of(key) else {
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
