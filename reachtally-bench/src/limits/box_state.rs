//! State of one box: the limit that it knows, and the permits that it holds.

use std::sync::Arc;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::{Entry, EntrySource, Fleet, TargetRun};
use reachtally_core::forward::limit::{
    Allocator, Demand, PermitRequest, RateLimit, SharingScope, StatedLimit, limited_targets,
    set_held_permits,
};
use reachtally_core::ids::Incarnation;

use super::play::Policy;

/// Service of the target.
pub const SERVICE: &str = "pool";
/// Id of the target.
const TARGET: &str = "i-0123456789";

/// A simulated box.
pub struct BoxState {
    /// Incarnation of the box.
    pub run: Incarnation,
    /// Target table, which holds the target with the limit.
    pub fleet: Fleet,
    /// Recent demand of its callers.
    pub demand: Demand,
    /// Issues permits if the box is a collector.
    pub allocator: Allocator,
    /// Number of the last permit request.
    pub number: u64,
    /// Time in µs at which an answer of the target first stated the limit.
    pub limit_stated_us: Option<u64>,
    /// Time in µs until which the box is suspended.
    pub suspended_until: u64,
    /// Token bucket of the policies without permits, and the time of its last refill.
    tokens: (f64, Instant),
}

impl BoxState {
    /// Creates a box that has just started.
    pub fn new(run: u64, now: Instant) -> Self {
        let mut fleet = Fleet::default();
        fleet.upsert(entry(), EntrySource::Written, now);
        BoxState {
            run: Incarnation(run),
            fleet,
            demand: Demand::default(),
            allocator: Allocator::default(),
            number: 0,
            limit_stated_us: None,
            suspended_until: 0,
            tokens: (0.0, now),
        }
    }

    /// The limit, if the box knows it.
    pub fn limit(&self) -> Option<RateLimit> {
        self.fleet.rate_limit_of(&target())
    }

    /// Records the limit that an answer of the target stated. Returns whether it changed.
    pub fn record_limit(&mut self, limit: Option<RateLimit>, now: Instant) -> bool {
        let mut is_changed = false;
        self.fleet.update_notice(&target(), now, |notice| {
            is_changed = notice.state_limit(StatedLimit { limit, at: now }, now);
        });
        is_changed
    }

    /// Takes a permit or token for a request, if there is one. `part` is the box's fraction of the limit in the policies without
    /// permits.
    pub fn may_send(&mut self, policy: Policy, part: f64, now: Instant) -> bool {
        let Some(limit) = self.limit() else {
            return true;
        };
        if policy == Policy::Permits {
            let key = self.fleet.find(TARGET);
            let engine = key.and_then(|key| self.fleet.get_mut(key));
            return engine.is_some_and(|engine| engine.take_permit(now));
        }
        let (tokens, counted) = self.tokens;
        let passed = now.since(counted).as_secs_f64();
        let filled = (tokens + limit.per_second() * part * passed).min(1.0);
        let is_permitted = filled >= 1.0;
        let used = if is_permitted { 1.0 } else { 0.0 };
        self.tokens = (filled - used, now);
        is_permitted
    }

    /// Builds a permit request, if the box knows the limit and has demand.
    pub fn request(&mut self, now: Instant) -> Option<PermitRequest> {
        self.limit()?;
        let mut demands = self.demand.services(now);
        if demands.is_empty() {
            return None;
        }
        set_held_permits(&mut demands, &self.fleet, now);
        self.number += 1;
        Some(PermitRequest {
            run: self.run,
            number: self.number,
            demands,
        })
    }

    /// Refills the buckets of the allocator.
    pub fn refill(&mut self, domains: usize, now: Instant) {
        let scope = SharingScope {
            domains,
            max_share: 1.0,
        };
        let limited = limited_targets(&self.fleet);
        self.allocator.refill(&limited, scope, now);
    }
}

/// The current run of the target.
pub fn target() -> TargetRun {
    entry().run()
}

fn entry() -> Entry {
    Entry {
        id: TARGET.into(),
        born: None,
        service: Arc::from(SERVICE),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "domain-0".into(),
        draining: false,
        slots: 64,
        card: None,
        layers: 0..0,
    }
}
