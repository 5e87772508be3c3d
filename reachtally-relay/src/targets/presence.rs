//! Liveness of targets: whether they accept connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use reachtally_core::Instant;
use reachtally_core::forward::fleet::{Engine, EngineKey, Evidence};

use crate::relay::Relay;
use crate::target::{self, Probe};
use crate::targets::check;

/// Time for which the result of a check is reused, so that the streams over one engine
/// share a check.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Number of streams over one engine whose simultaneous silence is as significant as a longer silence of a single stream.
const MIN_SILENT_STREAMS: u32 = 3;
/// Number of targets that are probed together without any answer from which their failure domains are suspected to be
/// unreachable.
const MIN_SILENT_TARGETS: usize = 2;
/// Number of other targets that are probed to tell a crash from a cut of this box's links.
const CUT_SAMPLE_SIZE: usize = 3;
/// Maximum number of dead targets that are probed at a time.
const MAX_PROBED: usize = 16;

/// What is known about a target without a probe.
enum Liveness {
    Alive,
    Dead,
    /// The target has to be probed at this address.
    Unknown(SocketAddr),
}

/// The result of a check of several targets.
#[derive(Debug, Default)]
pub(super) struct CheckResult {
    /// Targets that do not accept connections.
    pub dead: Vec<EngineKey>,
    /// The subset of `dead` that was found by probes of this check.
    pub silent: Vec<EngineKey>,
    /// Whether the host of any target answered, if only by refusing the connection.
    pub is_answered: bool,
}

impl Relay {
    /// Marks a target as dead, since it accepted no connection, and wakes the streams over it.
    pub fn target_dead(&self, key: EngineKey, evidence: Evidence) {
        self.mark_dead(&[key], |_| evidence);
    }

    fn mark_dead(&self, keys: &[EngineKey], evidence: impl Fn(&EngineKey) -> Evidence) {
        let now = self.now();
        let mut found = Vec::new();
        let mut fleet = self.fleet.borrow_mut();
        for key in keys {
            let Some(engine) = fleet.get_mut(*key) else {
                continue;
            };
            let evidence = evidence(key);
            if !engine.health.is_dead() {
                log::info!(event = "target-dead", target = &*engine.entry.id, address:% = engine.entry.address, why:? = evidence, reported_by = engine.remote_unresponsive, remote_running = engine.remote_running; "target does not accept connections; marked dead");
                self.count(|tally| tally.targets_found_dead += 1);
                found.push(*key);
            }
            engine.health.mark_dead(now, evidence);
        }
        drop(fleet);
        if !found.is_empty() {
            self.runs_ended.send_replace(found);
        }
    }

    /// Whether all of these targets are gone or have restarted, as opposed to being found dead by a check.
    pub(crate) fn have_ended(&self, keys: &[EngineKey]) -> bool {
        let fleet = self.fleet.borrow();
        keys.iter().all(|key| {
            fleet
                .get(*key)
                .is_none_or(|engine| !engine.health.is_unresponsive())
        })
    }

    /// Returns those of `engines` over which several streams of this box run, none of which had an event for `silence`.
    pub(crate) fn silent_on_all_streams(
        &self,
        engines: &[EngineKey],
        silence: Duration,
    ) -> Vec<EngineKey> {
        let since = self.now().before(silence);
        let fleet = self.fleet.borrow();
        let has_several = |key: &EngineKey| {
            fleet
                .get(*key)
                .is_some_and(|engine| engine.running >= MIN_SILENT_STREAMS)
        };
        let silent = self.progress.borrow().silent_since(engines, since);
        silent.into_iter().filter(has_several).collect()
    }

    /// Handles a connection attempt that was not answered. A packet may have been lost, or the whole failure domain may be
    /// unreachable.
    pub fn target_silent(&self, key: EngineKey) {
        self.target_refused(key);
        self.suspect_domains(&[key]);
    }

    /// Returns the address of a target, if the target is known.
    pub(crate) fn target_address(&self, key: EngineKey) -> Option<SocketAddr> {
        let fleet = self.fleet.borrow();
        fleet.get(key).map(|engine| engine.entry.address)
    }

    pub(super) fn target_domain(&self, key: EngineKey) -> Option<Arc<str>> {
        let fleet = self.fleet.borrow();
        fleet.get(key).map(|engine| engine.entry.domain.clone())
    }

    /// Returns those of `engines` that do not accept connections. Each is probed at most once per [`CHECK_INTERVAL`].
    pub async fn find_dead(&self, engines: &[EngineKey]) -> Vec<EngineKey> {
        let checked = self.check(engines).await;
        if !checked.is_answered && checked.silent.len() >= MIN_SILENT_TARGETS {
            self.suspect_domains(&checked.silent);
        }
        checked.dead
    }

    /// Checks `engines`, and probes those whose state is unknown.
    pub(super) async fn check(&self, engines: &[EngineKey]) -> CheckResult {
        let now = self.now();
        let mut checked = CheckResult::default();
        let mut unknown = Vec::new();
        for key in engines {
            match self.known_liveness(*key, now) {
                Liveness::Dead => checked.dead.push(*key),
                Liveness::Alive => checked.is_answered = true,
                Liveness::Unknown(address) => unknown.push((*key, address)),
            }
        }
        let refused = RefCell::new(Vec::new());
        let refused = &refused;
        let probe = |(key, address)| async move {
            let answer = self.probe(address).await;
            if answer == Probe::Refused {
                refused.borrow_mut().push(key);
            }
            (key, answer == Probe::Accepted)
        };
        let present = check::present(unknown.iter().copied().map(probe)).await;
        present.iter().for_each(|key| self.mark_alive(*key));
        let refused = refused.borrow();
        checked.is_answered |= !refused.is_empty() || !present.is_empty();
        let unknown = unknown.iter().map(|(key, _)| *key);
        checked.silent = unknown.filter(|key| !present.contains(key)).collect();
        self.mark_dead(&checked.silent, |key| match refused.contains(key) {
            true => Evidence::Refused,
            false => Evidence::Silent,
        });
        checked.dead.extend(&checked.silent);
        checked
    }

    /// Returns whether this box reaches no target besides `key`, so that it can't tell a crash from a cut of its own links. With few
    /// other targets, they may have crashed too.
    pub(crate) async fn is_cut_off_besides(&self, key: EngineKey) -> bool {
        let is_other = |(other, _): &(EngineKey, &Engine)| *other != key;
        let others = self.fleet.borrow().iter().filter(is_other).count();
        if others < CUT_SAMPLE_SIZE {
            return false;
        }
        let sample = self.sample(CUT_SAMPLE_SIZE, |other, engine| {
            other != key && !engine.health.is_dead()
        });
        !self.probe_all(&sample).await.contains(&Probe::Accepted)
    }

    /// Returns a random sample of at most `max` eligible targets.
    pub(super) fn sample(
        &self,
        max: usize,
        is_eligible: impl Fn(EngineKey, &Engine) -> bool,
    ) -> Vec<EngineKey> {
        let fleet = self.fleet.borrow();
        let eligible = fleet
            .iter()
            .filter(|(key, engine)| is_eligible(*key, engine));
        let keys = eligible.map(|(key, _)| key);
        keys.sample(&mut rand::rng(), max)
    }

    /// Probes those of `keys` that are still known.
    pub(super) async fn probe_all(&self, keys: &[EngineKey]) -> Vec<Probe> {
        let addresses = keys.iter().filter_map(|key| self.target_address(*key));
        let probes = addresses.map(|address| self.probe(address));
        futures::future::join_all(probes).await
    }

    /// Returns what is known about a target without a probe.
    fn known_liveness(&self, key: EngineKey, now: Instant) -> Liveness {
        let fleet = self.fleet.borrow();
        let Some(engine) = fleet.get(key) else {
            return Liveness::Dead;
        };
        let is_recent = |at: Instant| now.since(at) < CHECK_INTERVAL;
        if engine.health.is_dead() {
            return Liveness::Dead;
        }
        match engine.health.alive_at().is_some_and(is_recent) {
            true => Liveness::Alive,
            false => Liveness::Unknown(engine.entry.address),
        }
    }

    /// Returns those of `engines` that are gone, or known to be dead by this box or by several other boxes.
    pub fn known_dead(&self, engines: &[EngineKey]) -> Vec<EngineKey> {
        let fleet = self.fleet.borrow();
        let is_dead = |key: &&EngineKey| {
            fleet
                .get(**key)
                .is_none_or(|engine| engine.health.is_dead() || engine.is_reported_unresponsive())
        };
        engines.iter().filter(is_dead).copied().collect()
    }

    /// Probes a target.
    pub(crate) async fn probe(&self, address: SocketAddr) -> Probe {
        self.count(|tally| tally.targets_probed += 1);
        target::probe(address).await
    }

    /// Probes the dead targets that are due for a probe.
    pub(crate) async fn probe_dead_targets(&self) {
        let due = self.fleet.borrow().due_for_probe(self.now(), MAX_PROBED);
        futures::future::join_all(due.into_iter().map(|key| self.probe_dead_target(key))).await;
    }

    async fn probe_dead_target(&self, key: EngineKey) {
        let Some(address) = self.target_address(key) else {
            return;
        };
        let evidence = match self.probe(address).await {
            Probe::Accepted => {
                log::info!(event = "target-back", address:% = address; "dead target accepts connections again");
                return self.mark_alive(key);
            }
            Probe::Refused => Evidence::Refused,
            Probe::Silent => Evidence::Silent,
        };
        if let Some(engine) = self.fleet.borrow_mut().get_mut(key) {
            engine.health.probe_failed(self.now(), evidence);
        }
    }

    fn mark_alive(&self, key: EngineKey) {
        if let Some(engine) = self.fleet.borrow_mut().get_mut(key) {
            engine.health.mark_alive(self.now());
        }
    }
}
