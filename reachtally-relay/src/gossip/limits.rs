//! Gossip about the rate limits of targets, and about the permits with which the boxes enforce them together.

use std::net::IpAddr;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::limit::{
    self, DemandPart, Grants, LimitReport, LimitedTarget, PermitRequest, SharingScope,
};
use reachtally_core::forward::loads::Message;
use reachtally_core::forward::peers::domains;
use reachtally_protocol::limits::LIMITS_IN_MESSAGE;

use super::{Destination, Gossip, is_full_page_due};
use crate::gossip::FULL_PAGE_REPORTS;

/// Minimum interval between two permit requests; bounds the load of a collector while requests are queued at all boxes.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// State of the permit requests that this box sends.
#[derive(Debug, Default)]
pub(super) struct PermitRequests {
    /// Sequence number of the last request.
    number: u64,
    sent_at: Option<Instant>,
    /// Sequence number of the last answered request.
    last_answered: u64,
}

impl Gossip {
    /// Reports limits and requests permits. A collector also reports the demand of its boxes.
    pub(super) fn report_limits(&mut self) {
        let limits = self.limits_due(self.number);
        match self.destination {
            Destination::Box(ip) => self.send_limits(ip, limits),
            Destination::Local => {
                for ip in self.collectors_to_inform() {
                    self.send_limits(ip, limits.clone());
                }
                self.report_demand();
            }
        }
        self.request_permits();
    }

    /// Sends limits in answer to report `number` of another box.
    pub(super) fn answer_limits(&self, to: IpAddr, number: u64) {
        self.send_limits(to, self.limits_due(number));
    }

    /// Sends changed limits immediately instead of with the next report.
    pub(super) fn propagate_limits(&self, from: Option<IpAddr>) {
        let now = self.relay.now();
        let changes = limit::changes(&self.relay.fleet.borrow(), LIMITS_IN_MESSAGE, now);
        for ip in self.recipients(from) {
            self.send_limits(ip, changes.clone());
        }
    }

    /// Returns the limits to send with report `number`: recent changes or, if there are none and one is due, a page of all limits.
    fn limits_due(&self, number: u64) -> Vec<LimitReport> {
        let now = self.relay.now();
        let fleet = self.relay.fleet.borrow();
        let changes = limit::changes(&fleet, LIMITS_IN_MESSAGE, now);
        match changes.is_empty() && is_full_page_due(number) {
            true => limit::page(&fleet, number / FULL_PAGE_REPORTS, LIMITS_IN_MESSAGE, now),
            false => changes,
        }
    }

    fn send_limits(&self, ip: IpAddr, limits: Vec<LimitReport>) {
        if !limits.is_empty() {
            self.send(ip, &Message::Limits(limits));
        }
    }

    /// Reports the demand of the boxes that report to this one; collectors split the limits in proportion to demand.
    fn report_demand(&self) {
        if self.limited_targets().is_empty() {
            return;
        }
        let part = Message::DemandPart(DemandPart {
            run: self.run,
            domain: self.relay.settings.borrow().domain.clone(),
            demands: self.allocator.own_demands(),
        });
        for ip in self.collectors_to_inform() {
            self.send(ip, &part);
        }
    }

    fn limited_targets(&self) -> Vec<LimitedTarget> {
        limit::limited_targets(&self.relay.fleet.borrow())
    }

    /// Requests permits from the collector for services with demand that have rate-limited targets.
    pub(super) fn request_permits(&mut self) {
        let now = self.relay.now();
        let is_recent = |at: Instant| now.since(at) < REQUEST_INTERVAL;
        if self.permit_requests.sent_at.is_some_and(is_recent) {
            return;
        }
        let limited = self.limited_targets();
        let is_limited = |service: &str| limited.iter().any(|each| &*each.service == service);
        let mut demands = self.relay.limits.demands(now);
        demands.retain(|demand| is_limited(&demand.service));
        if demands.is_empty() {
            return;
        }
        limit::set_held_permits(&mut demands, &self.relay.fleet.borrow(), now);
        self.permit_requests.number += 1;
        self.permit_requests.sent_at = Some(now);
        let req = PermitRequest {
            run: self.run,
            number: self.permit_requests.number,
            demands,
        };
        match self.destination {
            Destination::Box(ip) => self.send(ip, &Message::PermitRequest(req)),
            Destination::Local => {
                if let Some(grants) = self.allocator.answer(req, now) {
                    self.apply_grants(&grants);
                }
            }
        }
    }

    /// Answers a permit request of another box.
    pub(super) fn answer_request(&mut self, req: PermitRequest, from: IpAddr) {
        let now = self.relay.now();
        if let Some(grants) = self.allocator.answer(req, now)
            && !grants.grants.is_empty()
        {
            self.send(from, &Message::Grants(grants));
        }
    }

    /// Adds granted permits; ignores duplicate and reordered answers.
    pub(super) fn apply_grants(&mut self, grants: &Grants) {
        if grants.number <= self.permit_requests.last_answered {
            return;
        }
        self.permit_requests.last_answered = grants.number;
        self.relay.add_permits(grants);
    }

    /// Refills the token buckets of the rate-limited targets.
    pub(super) fn refill(&mut self) {
        let now = self.relay.now();
        let limited = self.limited_targets();
        let scope = self.scope();
        self.allocator.refill(&limited, scope, now);
    }

    /// Returns how many collectors share the limits. A box outside the group does not know how many other boxes collect only for
    /// themselves.
    fn scope(&self) -> SharingScope {
        let members = domains(&self.relay.members.borrow()).len();
        let settings = self.relay.settings.borrow().domains;
        let own = f64::from(self.collector.reporters()) / f64::from(self.relay.boxes().max(1));
        SharingScope {
            domains: members.max(settings).max(1),
            max_share: if self.is_collector() {
                1.0
            } else {
                own.min(1.0)
            },
        }
    }
}
