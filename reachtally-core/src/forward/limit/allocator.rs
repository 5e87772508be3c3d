//! Permit allocation at a collector.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::{DemandPart, DemandRate, Grant, Grants, PermitRequest, RateLimit, ServiceDemand};
use crate::forward::fleet::TargetRun;
use crate::forward::loads::REPORT_TTL;
use crate::ids::Incarnation;
use crate::time::Instant;

/// Time whose tokens a bucket holds in addition to the first one: longer than the interval between
/// two requests of a box.
const BURST_TIME: Duration = Duration::from_millis(300);
/// Time constant with which a domain's share of a limit follows the demand. It covers the delay
/// until collectors know each other's demand.
const SHARE_SMOOTHING: Duration = Duration::from_millis(500);
/// Maximum time for which a box holds permits in advance, at its current demand. Shorter than the
/// lifetime of permits, so that few expire unused.
const MAX_HOLDING_TIME: Duration = Duration::from_millis(500);
/// Upper bound on the permits in one answer, so that it fits a datagram.
const MAX_GRANTED: usize = 40;

/// A rate-limited target that boxes send requests to.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitedTarget {
    /// The run of the target.
    pub target: TargetRun,
    /// Its service.
    pub service: Arc<str>,
    /// Its rate limit.
    pub limit: RateLimit,
}

/// The set of collectors that share the limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharingScope {
    /// Number of failure domains, including this one; at least 1.
    pub domains: usize,
    /// Upper bound on the share of a limit that this collector allocates; below 1 if others may
    /// allocate without knowing of it.
    pub max_share: f64,
}

/// A box that requests permits here.
#[derive(Debug)]
struct Requester {
    number: u64,
    received_at: Instant,
    demands: Vec<ServiceDemand>,
}

impl Requester {
    /// Returns the permits that it can use in addition to those it holds, by service.
    fn allowances(&self) -> BTreeMap<Arc<str>, u32> {
        let allowance = |demand: &ServiceDemand| {
            let usable = demand.rate.per_second() * MAX_HOLDING_TIME.as_secs_f64();
            (usable.ceil() as u32).saturating_sub(demand.held)
        };
        let each = self.demands.iter();
        each.map(|demand| (demand.service.clone(), allowance(demand)))
            .collect()
    }
}

/// Another collector.
#[derive(Debug)]
struct Peer {
    domain: String,
    received_at: Instant,
    demands: Vec<ServiceDemand>,
}

/// Token bucket of one target.
#[derive(Debug)]
struct Bucket {
    service: Arc<str>,
    tokens: f64,
}

/// Allocates the permits of a failure domain.
#[derive(Debug, Default)]
pub struct Allocator {
    requesters: BTreeMap<Incarnation, Requester>,
    peers: BTreeMap<Incarnation, Peer>,
    buckets: HashMap<TargetRun, Bucket>,
    /// This domain's share of the limits, by service.
    shares: HashMap<Arc<str>, f64>,
    /// Targets that have a token, by service; least recently used first.
    ready: HashMap<Arc<str>, VecDeque<TargetRun>>,
    refilled_at: Option<Instant>,
}

impl Allocator {
    /// Answers a request; `None` if a newer request of that box was already answered.
    pub fn answer(&mut self, req: PermitRequest, now: Instant) -> Option<Grants> {
        let requester = self.requesters.entry(req.run).or_insert_with(|| Requester {
            number: 0,
            received_at: now,
            demands: Vec::new(),
        });
        if req.number <= requester.number {
            return None;
        }
        requester.number = req.number;
        requester.received_at = now;
        requester.demands = req.demands;
        Some(Grants {
            number: req.number,
            grants: self.issue(req.run),
        })
    }

    /// Removes a box that sends its requests to another collector from now on.
    pub fn leave(&mut self, run: Incarnation) {
        self.requesters.remove(&run);
    }

    /// Updates the demand of another collector.
    pub fn update_peer(&mut self, part: DemandPart, now: Instant) {
        let peer = Peer {
            domain: part.domain,
            received_at: now,
            demands: part.demands,
        };
        self.peers.insert(part.run, peer);
    }

    /// Returns the total demand of the boxes that request permits here, by service.
    pub fn own_demands(&self) -> Vec<ServiceDemand> {
        let mut sums: BTreeMap<&Arc<str>, (DemandRate, u32)> = BTreeMap::new();
        let demands = self
            .requesters
            .values()
            .flat_map(|requester| &requester.demands);
        for demand in demands {
            let (rate, held) = sums.entry(&demand.service).or_default();
            *rate = *rate + demand.rate;
            *held = held.saturating_add(demand.held);
        }
        let each = sums.into_iter();
        each.map(|(service, (rate, held))| ServiceDemand {
            service: service.clone(),
            rate,
            held,
        })
        .collect()
    }

    /// Refills the buckets of `targets` for the time since the last call and removes all others.
    pub fn refill(&mut self, targets: &[LimitedTarget], scope: SharingScope, now: Instant) {
        let is_valid = |at: Instant| now.since(at) < REPORT_TTL;
        self.requesters
            .retain(|_, requester| is_valid(requester.received_at));
        self.peers.retain(|_, peer| is_valid(peer.received_at));
        let passed = now.since(self.refilled_at.unwrap_or(now));
        self.refilled_at = Some(now);
        self.adjust_shares(targets, scope, passed);
        self.sync_buckets(targets);
        for target in targets {
            let share = self.shares.get(&target.service).copied();
            let rate = target.limit.per_second() * share.unwrap_or_default();
            self.fill(&target.target, rate, passed);
        }
    }

    /// Moves this domain's share of each service's limits towards its share of the demand.
    fn adjust_shares(&mut self, targets: &[LimitedTarget], scope: SharingScope, passed: Duration) {
        let own = self.own_demands();
        let services: BTreeSet<&Arc<str>> = targets.iter().map(|target| &target.service).collect();
        self.shares.retain(|service, _| services.contains(service));
        let equal_share = 1.0 / scope.domains.max(1) as f64;
        let step = 1.0 - (-passed.as_secs_f64() / SHARE_SMOOTHING.as_secs_f64()).exp();
        for service in services {
            let desired = self
                .demand_share(service, &own, scope)
                .unwrap_or(equal_share);
            let before = self.shares.get(service).copied().unwrap_or(equal_share);
            let share = before + (desired - before) * step;
            self.shares
                .insert(service.clone(), share.min(scope.max_share));
        }
    }

    /// Returns this domain's share of the demand for a service; `None` without demand. A domain
    /// that did not report is assumed to have the largest demand.
    fn demand_share(
        &self,
        service: &str,
        own: &[ServiceDemand],
        scope: SharingScope,
    ) -> Option<f64> {
        let own = rate_of(own, service);
        let peers = self.peers.values();
        let rates: Vec<f64> = peers.map(|peer| rate_of(&peer.demands, service)).collect();
        let domains: BTreeSet<&str> = self.peers.values().map(|peer| &*peer.domain).collect();
        let unreported = scope.domains.saturating_sub(domains.len() + 1) as f64;
        let largest = rates.iter().copied().fold(own, f64::max);
        let all = own + rates.iter().sum::<f64>() + unreported * largest;
        (all > 0.0).then_some(own / all)
    }

    fn sync_buckets(&mut self, targets: &[LimitedTarget]) {
        let listed: BTreeSet<&TargetRun> = targets.iter().map(|target| &target.target).collect();
        self.buckets.retain(|target, _| listed.contains(target));
        for ready in self.ready.values_mut() {
            ready.retain(|target| listed.contains(target));
        }
        self.ready.retain(|_, ready| !ready.is_empty());
        for target in targets {
            let bucket = Bucket {
                service: target.service.clone(),
                tokens: 0.0,
            };
            self.buckets.entry(target.target.clone()).or_insert(bucket);
        }
    }

    fn fill(&mut self, target: &TargetRun, rate: f64, passed: Duration) {
        let Some(bucket) = self.buckets.get_mut(target) else {
            return;
        };
        let was_ready = bucket.tokens >= 1.0;
        let capacity = 1.0 + rate * BURST_TIME.as_secs_f64();
        bucket.tokens = (bucket.tokens + rate * passed.as_secs_f64()).min(capacity);
        if bucket.tokens >= 1.0 && !was_ready {
            let ready = self.ready.entry(bucket.service.clone()).or_default();
            ready.push_back(target.clone());
        }
    }

    /// Issues as many permits to a box as it can use, in round-robin order over its services and,
    /// within a service, over its targets.
    fn issue(&mut self, run: Incarnation) -> Vec<Grant> {
        let Some(requester) = self.requesters.get(&run) else {
            return Vec::new();
        };
        let mut unserved: VecDeque<(Arc<str>, u32)> = requester.allowances().into_iter().collect();
        let mut issued: BTreeMap<TargetRun, u32> = BTreeMap::new();
        let mut remaining = MAX_GRANTED;
        while remaining > 0
            && let Some((service, allowance)) = unserved.pop_front()
        {
            if allowance == 0 {
                continue;
            }
            let Some(target) = self.take_token(&service) else {
                continue;
            };
            remaining -= 1;
            *issued.entry(target).or_default() += 1;
            unserved.push_back((service, allowance - 1));
        }
        let each = issued.into_iter();
        each.map(|(target, count)| Grant { target, count })
            .collect()
    }

    /// Takes a token of the least recently used target of a service that has one.
    fn take_token(&mut self, service: &str) -> Option<TargetRun> {
        let ready = self.ready.get_mut(service)?;
        let target = ready.pop_front()?;
        let bucket = self.buckets.get_mut(&target)?;
        bucket.tokens -= 1.0;
        if bucket.tokens >= 1.0 {
            ready.push_back(target.clone());
        }
        Some(target)
    }
}

fn rate_of(demands: &[ServiceDemand], service: &str) -> f64 {
    let found = demands.iter().find(|demand| &*demand.service == service);
    found.map_or(0.0, |demand| demand.rate.per_second())
}
