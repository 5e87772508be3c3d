//! Requests that targets ended under, to and from the other boxes.

use std::net::IpAddr;

use reachtally_core::forward::loads::Message;
use reachtally_core::forward::quarantine::{Origin, Told};

use super::{Gossip, PAGE_REPORTS, Target, is_page_due};

impl Gossip {
    /// Tell the collector of requests that targets ended under: what this box has seen lately, and now and then all that it holds, since
    /// the collector may have started again. A collector tells the others alike.
    pub(super) fn tell_suspects(&self) {
        let now = self.relay.now();
        self.relay.suspicion.remove_expired(now);
        match self.target {
            Target::Box(ip) => self.send_suspects(ip, self.suspects(Origin::Own, self.number)),
            Target::Here => {
                let told = self.suspects(Origin::Any, self.number);
                for ip in self.collectors() {
                    self.send_suspects(ip, told.clone());
                }
            }
        }
    }

    /// Answer report `number` of a box that reports here.
    pub(super) fn answer_suspects(&self, to: IpAddr, number: u64) {
        self.send_suspects(to, self.suspects(Origin::Any, number));
    }

    /// What is to be told with report `number`: changes, or now and then a page of all.
    fn suspects(&self, origin: Origin, number: u64) -> Vec<Told> {
        let now = self.relay.now();
        let suspicion = &self.relay.suspicion;
        let changes = suspicion.changes(origin, now);
        match changes.is_empty() && is_page_due(number) {
            true => suspicion.page(number / PAGE_REPORTS, now),
            false => changes,
        }
    }

    /// Tell at once what has just changed: the sooner others know, the fewer targets end under one request.
    pub(super) fn spread_suspects(&self, from: Option<IpAddr>) {
        let now = self.relay.now();
        let told = |origin| self.relay.suspicion.changes(origin, now);
        if let Target::Box(ip) = self.target
            && Some(ip) != from
        {
            self.send_suspects(ip, told(Origin::Own));
        }
        let told = told(Origin::Any);
        for ip in self.collected(from) {
            self.send_suspects(ip, told.clone());
        }
    }

    fn send_suspects(&self, ip: IpAddr, told: Vec<Told>) {
        if !told.is_empty() {
            self.send(ip, &Message::Suspects(told));
        }
    }
}
