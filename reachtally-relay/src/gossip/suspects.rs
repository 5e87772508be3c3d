//! Gossip about suspect requests, which were running on targets when these crashed.

use std::net::IpAddr;

use reachtally_core::forward::loads::Message;
use reachtally_core::forward::quarantine::{ChangeOrigin, SuspectReport};

use super::{Destination, FULL_PAGE_REPORTS, Gossip, is_full_page_due};

impl Gossip {
    /// Reports suspect requests to the collector: recent observations of this box and, periodically, all entries, since the
    /// collector may have restarted. A collector reports to the other collectors likewise.
    pub(super) fn report_suspects(&self) {
        let now = self.relay.now();
        self.relay.suspicion.remove_expired(now);
        match self.destination {
            Destination::Box(ip) => {
                self.send_suspects(ip, &self.pending(ChangeOrigin::Own, self.number));
            }
            Destination::Local => {
                let suspects = self.pending(ChangeOrigin::Any, self.number);
                for ip in self.collectors_to_inform() {
                    self.send_suspects(ip, &suspects);
                }
            }
        }
    }

    /// Sends suspect requests in answer to report `number` of another box.
    pub(super) fn answer_suspects(&self, to: IpAddr, number: u64) {
        self.send_suspects(to, &self.pending(ChangeOrigin::Any, number));
    }

    /// Returns the entries to send with report `number`: recent changes or, periodically, a page of all entries.
    fn pending(&self, origin: ChangeOrigin, number: u64) -> Vec<Vec<SuspectReport>> {
        let now = self.relay.now();
        let suspicion = &self.relay.suspicion;
        let changes = suspicion.changes(origin, now);
        match changes.is_empty() && is_full_page_due(number) {
            true => vec![suspicion.page(number / FULL_PAGE_REPORTS, now)],
            false => changes,
        }
    }

    /// Sends changed entries immediately instead of with the next report. The sooner the other boxes know of a request, the fewer
    /// targets it can crash.
    pub(super) fn propagate_suspects(&self, from: Option<IpAddr>) {
        let now = self.relay.now();
        let changes = |origin| self.relay.suspicion.changes(origin, now);
        if let Destination::Box(ip) = self.destination
            && Some(ip) != from
        {
            self.send_suspects(ip, &changes(ChangeOrigin::Own));
        }
        let suspects = changes(ChangeOrigin::Any);
        for ip in self.collector_recipients(from) {
            self.send_suspects(ip, &suspects);
        }
    }

    fn send_suspects(&self, ip: IpAddr, messages: &[Vec<SuspectReport>]) {
        for suspects in messages.iter().filter(|suspects| !suspects.is_empty()) {
            self.send(ip, &Message::Suspects(suspects.clone()));
        }
    }
}
