//! Whether this box reaches the failure domains of the targets.
//!
//! A domain is judged by a few of its targets, so that a check costs the same whatever the number of targets.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use reachtally_core::Instant;
use reachtally_core::forward::fleet::{Engine, EngineKey};
use tokio::sync::Notify;

use crate::relay::Relay;
use crate::target::Probe;

/// Targets by which a domain is judged that may be unreachable: enough that all of them are dead by themselves only where nearly
/// all of the domain are.
const SAMPLE: usize = 8;
/// Targets of an unreachable domain that are probed at a time. Those that are dead by themselves differ from one time to the next.
const PROBES: usize = 2;
/// Least time between two checks of a domain.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Failure domains that may be unreachable.
#[derive(Debug, Default)]
pub(crate) struct DomainChecks {
    /// Targets that were silent, by domain.
    suspected: RefCell<BTreeMap<Arc<str>, Vec<EngineKey>>>,
    checked_at: RefCell<HashMap<Arc<str>, Instant>>,
    suspects: Notify,
}

impl DomainChecks {
    /// Waits until some domain is suspected.
    pub async fn suspected(&self) {
        self.suspects.notified().await;
    }

    /// Adds a silent target. Those beyond a check's size are found by the check, or when they are used again.
    fn suspect(&self, domain: Arc<str>, target: EngineKey) {
        let mut suspected = self.suspected.borrow_mut();
        let targets = suspected.entry(domain).or_default();
        if targets.len() < SAMPLE && !targets.contains(&target) {
            targets.push(target);
        }
    }

    /// Whether a domain is due for a check; if so, it is checked now.
    fn is_due(&self, domain: &Arc<str>, now: Instant) -> bool {
        let mut checked_at = self.checked_at.borrow_mut();
        let last = checked_at.get(domain);
        let is_due = last.is_none_or(|at| now.since(*at) >= CHECK_INTERVAL);
        if is_due {
            checked_at.insert(domain.clone(), now);
        }
        is_due
    }
}

impl Relay {
    /// Lets the failure domains of these targets be checked.
    pub(super) fn suspect_domains(&self, keys: &[EngineKey]) {
        let checks = &self.domain_checks;
        for key in keys {
            if let Some(domain) = self.domain_of(*key) {
                checks.suspect(domain, *key);
            }
        }
        checks.suspects.notify_one();
    }

    /// Checks the failure domains that are suspected to be unreachable.
    pub(crate) async fn check_domains(&self) {
        let suspected = std::mem::take(&mut *self.domain_checks.suspected.borrow_mut());
        let checks = suspected.iter();
        let checks = checks.map(|(domain, silent)| self.check_domain(domain, silent));
        futures::future::join_all(checks).await;
    }

    /// Probes targets that were silent, and a sample of their domain unless that was done a moment ago.
    async fn check_domain(&self, domain: &Arc<str>, silent: &[EngineKey]) {
        if !self.domain_checks.is_due(domain, self.now()) {
            self.check(silent).await;
            return;
        }
        let mut targets = self.sample(domain, SAMPLE, |is_dead| !is_dead);
        targets.extend(silent);
        targets.sort();
        targets.dedup();
        let checked = self.check(&targets).await;
        log::info!(event = "domain-checked", domain = &**domain, targets = targets.len(), dead = checked.dead.len(); "a target was silent, so others of its failure domain were probed");
        if !targets.is_empty() && !checked.is_answered {
            self.set_reachable(domain, false);
        }
    }

    /// Probes the failure domains that are unreachable.
    pub(crate) async fn probe_unreachable(&self) {
        let domains: Vec<Arc<str>> = self.fleet.borrow().unreachable().iter().cloned().collect();
        futures::future::join_all(domains.iter().map(|domain| self.probe_domain(domain))).await;
    }

    async fn probe_domain(&self, domain: &Arc<str>) {
        let sample = self.sample(domain, PROBES, |_| true);
        let addresses = sample.iter().filter_map(|key| self.address_of(*key));
        let probes = addresses.map(|address| self.probe(address));
        let answers = futures::future::join_all(probes).await;
        // A domain whose targets all left is no longer known to be unreachable.
        if sample.is_empty() || answers.iter().any(|answer| *answer != Probe::Silent) {
            self.set_reachable(domain, true);
        }
    }

    /// At most `most` targets of a failure domain for which `is_wanted` holds of whether they are dead.
    fn sample(
        &self,
        domain: &Arc<str>,
        most: usize,
        is_wanted: impl Fn(bool) -> bool,
    ) -> Vec<EngineKey> {
        let fleet = self.fleet.borrow();
        let there = fleet.iter().filter(|(_, engine)| {
            engine.entry.domain == *domain && is_wanted(engine.health.is_dead())
        });
        let keys = there.map(|(key, _)| key);
        keys.sample(&mut rand::rng(), most)
    }

    /// Sets whether a failure domain is reachable. Streams over its targets go on elsewhere if it is not.
    fn set_reachable(&self, domain: &Arc<str>, is_reachable: bool) {
        let mut fleet = self.fleet.borrow_mut();
        if !fleet.set_reachable(domain, is_reachable, self.now()) {
            return;
        }
        log::info!(event = "domain", domain = &**domain, reachable = is_reachable; "whether the targets of a failure domain are reachable changed");
        if is_reachable {
            return;
        }
        let is_left = |engine: &Engine| engine.entry.domain == *domain && engine.running > 0;
        let left = fleet.iter().filter(|(_, engine)| is_left(engine));
        let left: Vec<EngineKey> = left.map(|(key, _)| key).collect();
        drop(fleet);
        if !left.is_empty() {
            self.runs_ended.send_replace(left);
        }
    }
}
