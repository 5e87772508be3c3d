//! Issuing permits at a collector.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::{DemandPart, DemandRate, Grant, Grants, PermitRequest, RateLimit, ServiceDemand};
use crate::forward::fleet::TargetRun;
use crate::forward::loads::REPORT_LIFE;
use crate::ids::Incarnation;
use crate::time::Instant;

/// Time for which a bucket is filled beyond its first token: longer than the time between two requests of a box.
const BUCKET_TIME: Duration = Duration::from_millis(300);
/// Time constant with which a domain's part of a limit follows the demand. It covers the time after which collectors know of each other's.
const PART_SMOOTHING: Duration = Duration::from_millis(500);
/// Time for which a box holds permits at most, by its demand. Shorter than their life, so that few expire unused.
const HELD_TIME: Duration = Duration::from_millis(500);
/// Most permits in one answer, so that it fits a datagram.
const MOST_GRANTED: usize = 40;

/// A target with a limit that boxes send requests to.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitedTarget {
    /// The run of the target.
    pub target: TargetRun,
    /// Its service.
    pub service: Arc<str>,
    /// Its limit.
    pub limit: RateLimit,
}

/// Whom a collector shares the limits with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Extent {
    /// Failure domains, this one included; at least 1.
    pub domains: usize,
    /// Upper bound on the part of a limit that this collector issues; below 1 where others may issue without knowing of it.
    pub largest_part: f64,
}

/// A box that asks for permits here.
#[derive(Debug)]
struct Asker {
    number: u64,
    received_at: Instant,
    demands: Vec<ServiceDemand>,
}

impl Asker {
    /// Permits by service that it can use beside those it holds.
    fn allowances(&self) -> BTreeMap<Arc<str>, u32> {
        let allowance = |demand: &ServiceDemand| {
            let usable = demand.rate.per_second() * HELD_TIME.as_secs_f64();
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

/// Tokens for one target.
#[derive(Debug)]
struct Bucket {
    service: Arc<str>,
    tokens: f64,
}

/// Issues the permits of a failure domain.
#[derive(Debug, Default)]
pub struct Allocator {
    askers: BTreeMap<Incarnation, Asker>,
    peers: BTreeMap<Incarnation, Peer>,
    buckets: HashMap<TargetRun, Bucket>,
    /// This domain's part of the limits, by service.
    parts: HashMap<Arc<str>, f64>,
    /// Targets with a token by service, the least recently used first.
    ready: HashMap<Arc<str>, VecDeque<TargetRun>>,
    filled: Option<Instant>,
}

impl Allocator {
    /// Answers a request; `None` if a newer one of the box was answered.
    pub fn answer(&mut self, req: PermitRequest, now: Instant) -> Option<Grants> {
        let asker = self.askers.entry(req.run).or_insert_with(|| Asker {
            number: 0,
            received_at: now,
            demands: Vec::new(),
        });
        if req.number <= asker.number {
            return None;
        }
        asker.number = req.number;
        asker.received_at = now;
        asker.demands = req.demands;
        Some(Grants {
            number: req.number,
            grants: self.issue(req.run),
        })
    }

    /// Removes a box that asks another collector from now on.
    pub fn leave(&mut self, run: Incarnation) {
        self.askers.remove(&run);
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

    /// Returns the demand of the boxes that ask here, by service.
    pub fn own_demands(&self) -> Vec<ServiceDemand> {
        let mut sums: BTreeMap<&Arc<str>, (DemandRate, u32)> = BTreeMap::new();
        let demands = self.askers.values().flat_map(|asker| &asker.demands);
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

    /// Fills the buckets of `targets` for the time since the last call, and drops all others.
    pub fn refill(&mut self, targets: &[LimitedTarget], extent: Extent, now: Instant) {
        let is_valid = |at: Instant| now.since(at) < REPORT_LIFE;
        self.askers.retain(|_, asker| is_valid(asker.received_at));
        self.peers.retain(|_, peer| is_valid(peer.received_at));
        let passed = now.since(self.filled.unwrap_or(now));
        self.filled = Some(now);
        self.adjust_parts(targets, extent, passed);
        self.keep_buckets(targets);
        for target in targets {
            let part = self.parts.get(&target.service).copied();
            let rate = target.limit.per_second() * part.unwrap_or_default();
            self.fill(&target.target, rate, passed);
        }
    }

    /// Moves this domain's part of the limits of each service towards its part of the demand.
    fn adjust_parts(&mut self, targets: &[LimitedTarget], extent: Extent, passed: Duration) {
        let own = self.own_demands();
        let services: BTreeSet<&Arc<str>> = targets.iter().map(|target| &target.service).collect();
        self.parts.retain(|service, _| services.contains(service));
        let even = 1.0 / extent.domains.max(1) as f64;
        let moved = 1.0 - (-passed.as_secs_f64() / PART_SMOOTHING.as_secs_f64()).exp();
        for service in services {
            let aim = self.part_of_demand(service, &own, extent).unwrap_or(even);
            let before = self.parts.get(service).copied().unwrap_or(even);
            let part = before + (aim - before) * moved;
            self.parts
                .insert(service.clone(), part.min(extent.largest_part));
        }
    }

    /// Returns this domain's part of the demand for a service; `None` without demand. A domain that did not report counts like the
    /// largest.
    fn part_of_demand(&self, service: &str, own: &[ServiceDemand], extent: Extent) -> Option<f64> {
        let own = rate_of(own, service);
        let peers = self.peers.values();
        let rates: Vec<f64> = peers.map(|peer| rate_of(&peer.demands, service)).collect();
        let domains: BTreeSet<&str> = self.peers.values().map(|peer| &*peer.domain).collect();
        let unreported = extent.domains.saturating_sub(domains.len() + 1) as f64;
        let largest = rates.iter().copied().fold(own, f64::max);
        let all = own + rates.iter().sum::<f64>() + unreported * largest;
        (all > 0.0).then_some(own / all)
    }

    fn keep_buckets(&mut self, targets: &[LimitedTarget]) {
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
        let most = 1.0 + rate * BUCKET_TIME.as_secs_f64();
        bucket.tokens = (bucket.tokens + rate * passed.as_secs_f64()).min(most);
        if bucket.tokens >= 1.0 && !was_ready {
            let ready = self.ready.entry(bucket.service.clone()).or_default();
            ready.push_back(target.clone());
        }
    }

    /// Issues permits to a box, as many as it can use: one for each of its services in turn, and of each service one for each
    /// target in turn.
    fn issue(&mut self, run: Incarnation) -> Vec<Grant> {
        let Some(asker) = self.askers.get(&run) else {
            return Vec::new();
        };
        let mut wanted: VecDeque<(Arc<str>, u32)> = asker.allowances().into_iter().collect();
        let mut issued: BTreeMap<TargetRun, u32> = BTreeMap::new();
        let mut left = MOST_GRANTED;
        while left > 0
            && let Some((service, allowance)) = wanted.pop_front()
        {
            if allowance == 0 {
                continue;
            }
            let Some(target) = self.take_token(&service) else {
                continue;
            };
            left -= 1;
            *issued.entry(target).or_default() += 1;
            wanted.push_back((service, allowance - 1));
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
