//! Reachability of the targets' failure domains from this box.
//!
//! A check probes a sample of the domain's targets, so that its cost does not depend on the size of the domain.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::{Engine, EngineKey};
use tokio::sync::Notify;

use crate::relay::Relay;
use crate::target::Probe;

/// Number of sampled targets in the check of a domain that may be unreachable. With this many, all of them are individually dead
/// only if nearly all targets of the domain are.
const SAMPLE_SIZE: usize = 8;
/// Number of targets of an unreachable domain that are probed at a time. Each probe draws a new sample, so individually dead
/// targets do not hide a recovery for long.
const RECOVERY_SAMPLE_SIZE: usize = 2;
/// Minimum interval between two checks of a domain.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Failure domains that may be unreachable.
#[derive(Debug, Default)]
pub(crate) struct DomainChecks {
    /// Unresponsive targets, by domain.
    suspected: RefCell<BTreeMap<Arc<str>, Vec<EngineKey>>>,
    checked_at: RefCell<HashMap<Arc<str>, Instant>>,
    suspects: Notify,
}

impl DomainChecks {
    /// Waits until a domain is suspected to be unreachable.
    pub async fn suspected(&self) {
        self.suspects.notified().await;
    }

    /// Adds an unresponsive target. Targets beyond the sample size are found by the check or when they are used again.
    fn suspect(&self, domain: Arc<str>, target: EngineKey) {
        let mut suspected = self.suspected.borrow_mut();
        let targets = suspected.entry(domain).or_default();
        if targets.len() < SAMPLE_SIZE && !targets.contains(&target) {
            targets.push(target);
        }
    }

    /// Returns whether a domain is due for a check and, if so, records that it is checked now.
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
    /// Schedules a check of the failure domains of these targets.
    pub(super) fn suspect_domains(&self, keys: &[EngineKey]) {
        let checks = &self.domain_checks;
        for key in keys {
            if let Some(domain) = self.target_domain(*key) {
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

    /// Probes unresponsive targets, together with a sample of their domain unless the domain was checked recently.
    async fn check_domain(&self, domain: &Arc<str>, silent: &[EngineKey]) {
        if !self.domain_checks.is_due(domain, self.now()) {
            self.check(silent).await;
            return;
        }
        let mut targets = self.sample(SAMPLE_SIZE, |_, engine| {
            engine.entry.domain == *domain && !engine.health.is_dead()
        });
        targets.extend(silent);
        targets.sort();
        targets.dedup();
        let checked = self.check(&targets).await;
        log::info!(event = "domain-checked", domain = &**domain, targets = targets.len(), dead = checked.dead.len(); "probed a sample of a failure domain after a target did not respond");
        if !targets.is_empty() && !checked.is_answered {
            self.set_reachable(domain, false);
        }
    }

    /// Probes the unreachable failure domains.
    pub(crate) async fn probe_unreachable(&self) {
        let domains: Vec<Arc<str>> = self.fleet.borrow().unreachable().iter().cloned().collect();
        futures::future::join_all(domains.iter().map(|domain| self.probe_domain(domain))).await;
    }

    async fn probe_domain(&self, domain: &Arc<str>) {
        let sample = self.sample(RECOVERY_SAMPLE_SIZE, |_, engine| {
            engine.entry.domain == *domain
        });
        let answers = self.probe_all(&sample).await;
        // Once all targets of a domain have left, nothing shows that it is unreachable.
        if sample.is_empty() || answers.iter().any(|answer| *answer != Probe::Silent) {
            self.set_reachable(domain, true);
        }
    }

    /// Sets whether a failure domain is reachable. If it is not, streams over its targets move to other targets.
    fn set_reachable(&self, domain: &Arc<str>, is_reachable: bool) {
        let mut fleet = self.fleet.borrow_mut();
        if !fleet.set_reachable(domain, is_reachable, self.now()) {
            return;
        }
        log::info!(event = "domain", domain = &**domain, reachable = is_reachable; "the reachability of a failure domain changed");
        if is_reachable {
            return;
        }
        let is_affected = |engine: &Engine| engine.entry.domain == *domain && engine.running > 0;
        let affected = fleet.iter().filter(|(_, engine)| is_affected(engine));
        let affected: Vec<EngineKey> = affected.map(|(key, _)| key).collect();
        drop(fleet);
        if !affected.is_empty() {
            self.runs_ended.send_replace(affected);
        }
    }
}
