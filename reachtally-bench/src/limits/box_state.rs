//! What one box knows, and what it may send.

use std::sync::Arc;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::{Entry, EntrySource, Fleet, TargetRun};
use reachtally_core::forward::limit::{
    Allocator, Demand, PermitRequest, RateLimit, SharingScope, StatedLimit, limited_targets,
    set_held_permits,
};
use reachtally_core::ids::Incarnation;

use super::play::Way;

/// The service of the target.
pub const SERVICE: &str = "pool";
/// The target.
const TARGET: &str = "i-0123456789";

/// A box.
pub struct BoxState {
    /// Its run.
    pub run: Incarnation,
    /// Its table of targets, which holds the one with the limit.
    pub fleet: Fleet,
    /// What its callers ask for.
    pub demand: Demand,
    /// Issues permits, if it collects.
    pub allocator: Allocator,
    /// Number of its last request for permits.
    pub number: u64,
    /// When the target first named its limit to it, in µs.
    pub told_us: Option<u64>,
    /// Until when it is suspended, in µs.
    pub suspended_until: u64,
    /// Tokens of the ways without permits, and when they were counted.
    tokens: (f64, Instant),
}

impl BoxState {
    /// A box that has just started.
    pub fn new(run: u64, now: Instant) -> Self {
        let mut fleet = Fleet::default();
        fleet.upsert(entry(), EntrySource::Written, now);
        BoxState {
            run: Incarnation(run),
            fleet,
            demand: Demand::default(),
            allocator: Allocator::default(),
            number: 0,
            told_us: None,
            suspended_until: 0,
            tokens: (0.0, now),
        }
    }

    /// The limit that it knows.
    pub fn limit(&self) -> Option<RateLimit> {
        self.fleet.rate_limit_of(&target())
    }

    /// The target named this limit in an answer; yields whether it changed.
    pub fn told(&mut self, limit: Option<RateLimit>, now: Instant) -> bool {
        let mut is_changed = false;
        self.fleet.update_notice(&target(), now, |notice| {
            is_changed = notice.state_limit(StatedLimit { limit, at: now }, now);
        });
        is_changed
    }

    /// Whether it may send a request now; if so, that is used. `part` is its part of the limit in the ways without permits.
    pub fn may_send(&mut self, way: Way, part: f64, now: Instant) -> bool {
        let Some(limit) = self.limit() else {
            return true;
        };
        if way == Way::Permits {
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

    /// Asks for permits, if it knows a limit and has callers.
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

    /// Fills the buckets of its allocator.
    pub fn refill(&mut self, domains: usize, now: Instant) {
        let scope = SharingScope {
            domains,
            max_share: 1.0,
        };
        let limited = limited_targets(&self.fleet);
        self.allocator.refill(&limited, scope, now);
    }
}

/// The run of the target.
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
