//! Rate limits of targets, and the permits by which all boxes keep them, to and from the other boxes.

use std::net::IpAddr;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::limit::{
    self, DemandPart, Extent, Grants, LimitReport, LimitedTarget, PermitRequest,
};
use reachtally_core::forward::loads::Message;
use reachtally_core::forward::peers::domains;
use reachtally_protocol::limits::LIMITS_IN_MESSAGE;

use super::{Gossip, Target, is_page_due};
use crate::gossip::PAGE_REPORTS;

/// Least time between two requests for permits, which bounds what a collector gets while requests wait at all boxes.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// This box's requests for permits.
#[derive(Debug, Default)]
pub(super) struct Requests {
    /// Number of the last one.
    number: u64,
    sent_at: Option<Instant>,
    /// Number of the last one that was answered.
    answered: u64,
}

impl Gossip {
    /// Reports limits and asks for permits. A collector also reports the demand of its boxes.
    pub(super) fn report_limits(&mut self) {
        let limits = self.limits_due(self.number);
        match self.target {
            Target::Box(ip) => self.send_limits(ip, limits),
            Target::Here => {
                for ip in self.collectors() {
                    self.send_limits(ip, limits.clone());
                }
                self.report_demand();
            }
        }
        self.request_permits();
    }

    /// Answers report `number` of a box that reports here.
    pub(super) fn answer_limits(&self, to: IpAddr, number: u64) {
        self.send_limits(to, self.limits_due(number));
    }

    /// Sends changed limits immediately instead of with the next report.
    pub(super) fn spread_limits(&self, from: Option<IpAddr>) {
        let now = self.relay.now();
        let changes = limit::changes(&self.relay.fleet.borrow(), LIMITS_IN_MESSAGE, now);
        for ip in self.neighbours(from) {
            self.send_limits(ip, changes.clone());
        }
    }

    /// Limits that go with report `number`: those that changed lately, or else a page of all if one is due.
    fn limits_due(&self, number: u64) -> Vec<LimitReport> {
        let now = self.relay.now();
        let fleet = self.relay.fleet.borrow();
        let changes = limit::changes(&fleet, LIMITS_IN_MESSAGE, now);
        match changes.is_empty() && is_page_due(number) {
            true => limit::page(&fleet, number / PAGE_REPORTS, LIMITS_IN_MESSAGE, now),
            false => changes,
        }
    }

    fn send_limits(&self, ip: IpAddr, limits: Vec<LimitReport>) {
        if !limits.is_empty() {
            self.send(ip, &Message::Limits(limits));
        }
    }

    /// Reports the demand by which collectors share the limits.
    fn report_demand(&self) {
        if self.limited_targets().is_empty() {
            return;
        }
        let part = Message::DemandPart(DemandPart {
            run: self.run,
            domain: self.relay.settings.borrow().domain.clone(),
            demands: self.allocator.own_demands(),
        });
        for ip in self.collectors() {
            self.send(ip, &part);
        }
    }

    fn limited_targets(&self) -> Vec<LimitedTarget> {
        limit::limited_targets(&self.relay.fleet.borrow())
    }

    /// Asks the collector for permits, where targets with a limit serve what callers ask for.
    pub(super) fn request_permits(&mut self) {
        let now = self.relay.now();
        let is_recent = |at: Instant| now.since(at) < REQUEST_INTERVAL;
        if self.requests.sent_at.is_some_and(is_recent) {
            return;
        }
        let limited = self.limited_targets();
        let is_limited = |service: &str| limited.iter().any(|each| &*each.service == service);
        let mut demands = self.relay.limits.demands(now);
        demands.retain(|demand| is_limited(&demand.service));
        if demands.is_empty() {
            return;
        }
        limit::note_held(&mut demands, &self.relay.fleet.borrow(), now);
        self.requests.number += 1;
        self.requests.sent_at = Some(now);
        let req = PermitRequest {
            run: self.run,
            number: self.requests.number,
            demands,
        };
        match self.target {
            Target::Box(ip) => self.send(ip, &Message::PermitRequest(req)),
            Target::Here => {
                if let Some(grants) = self.allocator.answer(req, now) {
                    self.take_grants(&grants);
                }
            }
        }
    }

    /// Answers a box that asks for permits.
    pub(super) fn answer_request(&mut self, req: PermitRequest, from: IpAddr) {
        let now = self.relay.now();
        if let Some(grants) = self.allocator.answer(req, now)
            && !grants.grants.is_empty()
        {
            self.send(from, &Message::Grants(grants));
        }
    }

    /// Adds permits; a duplicate or late answer is ignored.
    pub(super) fn take_grants(&mut self, grants: &Grants) {
        if grants.number <= self.requests.answered {
            return;
        }
        self.requests.answered = grants.number;
        self.relay.take_grants(grants);
    }

    /// Refills the buckets of the limited targets.
    pub(super) fn refill(&mut self) {
        let now = self.relay.now();
        let limited = self.limited_targets();
        let extent = self.extent();
        self.allocator.refill(&limited, extent, now);
    }

    /// Whom the limits are shared with. A box that is no member of the group does not know how many others collect for themselves.
    fn extent(&self) -> Extent {
        let members = domains(&self.relay.members.borrow()).len();
        let settings = self.relay.settings.borrow().domains;
        let own = f64::from(self.collector.reporters()) / f64::from(self.relay.boxes().max(1));
        Extent {
            domains: members.max(settings).max(1),
            largest_part: if self.is_collector() {
                1.0
            } else {
                own.min(1.0)
            },
        }
    }
}
