//! Rate limits of targets: the limits that targets state, the permits of this box, and requests that wait for
//! a permit.

use std::cell::RefCell;
use std::sync::Arc;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::{EngineKey, TargetRun};
use reachtally_core::forward::limit::{
    self, Demand, Grants, LimitReport, RateLimit, ServiceDemand, StatedLimit,
};
use tokio::sync::{Notify, watch};

use crate::relay::Relay;
use crate::serve::Call;

/// Fraction of a request's objective, counted from its arrival, for which it waits for a permit.
const PERMIT_WAIT_FRACTION: f64 = 0.125;

/// Rate-limit state that is not specific to a target.
#[derive(Debug, Default)]
pub(crate) struct LimitState {
    demand: RefCell<Demand>,
    /// Notified when a target changed its limit in a response to this box.
    pub changed: Notify,
    /// Notified when a request waits for a permit.
    pub wanted: Notify,
    granted: watch::Sender<()>,
}

impl LimitState {
    /// Counts a request for `service`.
    pub fn count(&self, service: &Arc<str>, now: Instant) {
        self.demand.borrow_mut().count(service, now);
    }

    /// Returns the demand of this box's callers.
    pub fn demands(&self, now: Instant) -> Vec<ServiceDemand> {
        self.demand.borrow_mut().services(now)
    }
}

impl Relay {
    /// Returns the number of targets that state a rate limit.
    pub fn limited_targets(&self) -> usize {
        let fleet = self.fleet.borrow();
        let stated = fleet.stated_limits();
        stated
            .filter(|(_, stated, _)| stated.limit.is_some())
            .count()
    }

    /// Records the rate limit that a target states in a response.
    pub(crate) fn target_limits(&self, run: &TargetRun, limit: RateLimit) {
        self.state_limit(run, Some(limit));
    }

    /// Removes the rate limit of a target whose own response states none.
    pub(crate) fn target_names_no_limit(&self, run: &TargetRun) {
        if self.fleet.borrow().rate_limit_of(run).is_some() {
            self.state_limit(run, None);
        }
    }

    fn state_limit(&self, run: &TargetRun, limit: Option<RateLimit>) {
        let at = self.now();
        let before = self.fleet.borrow().rate_limit_of(run);
        let mut is_changed = false;
        self.fleet.borrow_mut().update_notice(run, at, |notice| {
            is_changed = notice.state_limit(StatedLimit { limit, at }, at);
        });
        if is_changed {
            log_change(run, limit, before);
            self.limits.changed.notify_one();
        }
    }

    /// Applies limits that another box reported; returns whether any limit changed.
    pub(crate) fn update_limits(&self, reports: &[LimitReport]) -> bool {
        let now = self.now();
        let mut has_changed = false;
        for report in reports {
            let mut fleet = self.fleet.borrow_mut();
            let before = fleet.rate_limit_of(&report.target);
            if limit::apply(&mut fleet, report, now) {
                log_change(&report.target, report.limit, before);
                has_changed = true;
            }
        }
        has_changed
    }

    /// Adds granted permits and wakes the requests that wait for them.
    pub(crate) fn add_permits(&self, grants: &Grants) {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        for grant in &grants.grants {
            fleet.grant(&grant.target, grant.count, now);
        }
        drop(fleet);
        self.limits.granted.send_replace(());
    }

    /// Uses a permit for a send to a target that states a limit.
    pub(crate) fn use_permit(&self, key: EngineKey) {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let Some(engine) = fleet.get_mut(key) else {
            return;
        };
        if engine.notice.limit().is_none() {
            return;
        }
        let is_permitted = engine.take_permit(now);
        self.count(|tally| {
            tally.sends_limited += 1;
            tally.sends_unpermitted += u64::from(!is_permitted);
        });
    }

    /// Waits for permits if only rate limits keep a request from being sent; returns whether to choose a target
    /// again.
    pub(crate) async fn await_permits(&self, call: &Call, would_serve: bool) -> bool {
        if !would_serve {
            return false;
        }
        let until = call.arrived + call.route.objective.mul_f64(PERMIT_WAIT_FRACTION);
        if self.now() >= until {
            log::info!(event = "no-permit", id = &*call.head.id; "no permit received in time; all eligible targets are rate-limited");
            self.count(|tally| tally.requests_limited += 1);
            return false;
        }
        self.count(|tally| tally.permit_waits += 1);
        let mut granted = self.limits.granted.subscribe();
        self.limits.wanted.notify_one();
        let waiting = tokio::time::timeout_at(self.timer(until), granted.changed());
        // The sender lives as long as the relay. After a timeout, the request tries once more.
        !matches!(waiting.await, Ok(Err(_)))
    }
}

fn log_change(run: &TargetRun, limit: Option<RateLimit>, before: Option<RateLimit>) {
    let rate = |limit: Option<RateLimit>| limit.map(RateLimit::per_second);
    log::info!(event = "target-limit", target = &*run.id, per_s:? = rate(limit), before:? = rate(before); "target changed its rate limit for all boxes together");
}
