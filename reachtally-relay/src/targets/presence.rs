//! Whether targets accept connections.

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::EngineKey;

use crate::relay::Relay;
use crate::target::{self, Probe};
use crate::targets::check;

/// Time for which the result of a check holds, so that the streams of one engine
/// check once.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Streams of this box over one engine whose silence together shows as much as the longer silence of one.
const SEVERAL_STREAMS: u32 = 3;
/// Silent targets that are probed together without any answer from which on their failure domains may be unreachable.
const SEVERAL_TARGETS: usize = 2;
/// Most dead targets that are probed at a time.
const MOST_PROBED: usize = 16;

/// What is known of a target's presence.
enum Presence {
    Alive,
    Dead,
    /// It has to be asked at this address.
    Unknown(SocketAddr),
}

/// What a check of several targets showed.
#[derive(Debug, Default)]
pub(super) struct Checked {
    /// Those that take no connections.
    pub dead: Vec<EngineKey>,
    /// Those of them that were probed for it.
    pub silent: Vec<EngineKey>,
    /// Whether the machine of any answered.
    pub is_answered: bool,
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

    /// Handles a connection attempt without an answer. A packet may have been lost, or the whole failure domain may be unreachable.
    pub fn target_silent(&self, key: EngineKey) {
        self.target_refused(key);
        self.suspect_domains(&[key]);
    }

    /// Returns the address of a target, if it is known.
    pub(crate) fn address_of(&self, key: EngineKey) -> Option<SocketAddr> {
        let fleet = self.fleet.borrow();
        fleet.get(key).map(|engine| engine.entry.address)
    }

    pub(super) fn domain_of(&self, key: EngineKey) -> Option<Arc<str>> {
        let fleet = self.fleet.borrow();
        fleet.get(key).map(|engine| engine.entry.domain.clone())
    }

    /// Those of `engines` that take no connections. Each is asked at most every [`CHECK_INTERVAL`].
    pub async fn dead_of(&self, engines: &[EngineKey]) -> Vec<EngineKey> {
        let checked = self.check(engines).await;
        if !checked.is_answered && checked.silent.len() >= SEVERAL_TARGETS {
            self.suspect_domains(&checked.silent);
        }
        checked.dead
    }

    /// Probes those of `engines` of which nothing is known.
    pub(super) async fn check(&self, engines: &[EngineKey]) -> Checked {
        let now = self.now();
        let mut checked = Checked::default();
        let mut asked = Vec::new();
        for key in engines {
            match self.presence(*key, now) {
                Presence::Dead => checked.dead.push(*key),
                Presence::Alive => checked.is_answered = true,
                Presence::Unknown(address) => asked.push((*key, address)),
            }
        }
        let is_refused = Cell::new(false);
        let is_refused = &is_refused;
        let probe = |(key, address)| async move {
            let answer = self.probe(address).await;
            is_refused.set(is_refused.get() || answer == Probe::Refused);
            (key, answer == Probe::Accepted)
        };
        let present = check::present(asked.iter().copied().map(probe)).await;
        present.iter().for_each(|key| self.target_there(*key));
        checked.is_answered |= is_refused.get() || !present.is_empty();
        let asked = asked.iter().map(|(key, _)| *key);
        checked.silent = asked.filter(|key| !present.contains(key)).collect();
        self.targets_dead(&checked.silent);
        checked.dead.extend(&checked.silent);
        checked
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

    /// Probes a target.
    pub(super) async fn probe(&self, address: SocketAddr) -> Probe {
        self.count(|tally| tally.targets_probed += 1);
        target::probe(address).await
    }

    /// Probes the dead targets that are due.
    pub(crate) async fn probe_dead(&self) {
        let due = self.fleet.borrow().due_for_probe(self.now(), MOST_PROBED);
        futures::future::join_all(due.into_iter().map(|key| self.probe_dead_target(key))).await;
    }

    async fn probe_dead_target(&self, key: EngineKey) {
        let Some(address) = self.address_of(key) else {
            return;
        };
        if self.probe(address).await == Probe::Accepted {
            log::info!(event = "target-back", address:% = address; "a dead target takes connections again");
            self.target_there(key);
        } else if let Some(engine) = self.fleet.borrow_mut().get_mut(key) {
            engine.health.probed_in_vain(self.now());
        }
    }

    fn target_there(&self, key: EngineKey) {
        if let Some(engine) = self.fleet.borrow_mut().get_mut(key) {
            engine.health.found_alive(self.now());
        }
    }
}
