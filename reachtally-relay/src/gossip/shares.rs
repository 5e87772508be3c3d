//! Gossip about the rates of client accounts in contended services, and about the fair shares computed from them.

use std::net::IpAddr;

use reachtally_core::forward::loads::Message;
use reachtally_core::forward::shares::{AccountRates, AccountShares, Aggregator, ServiceRates};
use reachtally_protocol::shares::{pages_of_rates, pages_of_shares};

use super::{Destination, Gossip};

/// State for sending and for collecting rates.
#[derive(Debug, Default)]
pub(super) struct Shares {
    /// Sequence number of the last message with rates.
    number: u64,
    pub aggregator: Aggregator,
}

impl Gossip {
    /// Reports the rates of this box for contended services. A collector also reports the totals of its boxes.
    pub(super) fn report_rates(&mut self) {
        let services = self.relay.contended_rates();
        if !services.is_empty() {
            let rates = self.account_rates(services, None);
            match self.destination {
                Destination::Box(ip) => self.send_rates(ip, &rates),
                Destination::Local => {
                    self.apply_rates(rates, self.ip());
                }
            }
        }
        self.report_total_rates();
        if self.destination == Destination::Local {
            let shares = self.shares_for(self.number);
            self.relay.update_shares(shares);
        }
    }

    fn account_rates(
        &mut self,
        services: Vec<ServiceRates>,
        domain: Option<String>,
    ) -> AccountRates {
        self.shares.number += 1;
        AccountRates {
            run: self.run,
            number: self.shares.number,
            domain,
            services,
        }
    }

    fn send_rates(&self, ip: IpAddr, rates: &AccountRates) {
        for page in pages_of_rates(rates) {
            self.send(ip, &Message::AccountRates(page));
        }
    }

    /// Reports the totals of the boxes that report to this one to the other collectors.
    fn report_total_rates(&mut self) {
        let services = self.shares.aggregator.own_rates().to_vec();
        if services.is_empty() {
            return;
        }
        let domain = self.relay.settings.borrow().domain.clone();
        let rates = self.account_rates(services, Some(domain));
        for ip in self.collectors_to_inform() {
            self.send_rates(ip, &rates);
        }
    }

    /// Updates the rates of another box. If a service has become contended, reports the totals to the other collectors immediately
    /// instead of with the next report.
    pub(super) fn update_rates(&mut self, rates: AccountRates, from: IpAddr) {
        if self.apply_rates(rates, from) {
            self.report_total_rates();
        }
    }

    /// Updates the rates of the box at `from`, and the totals if a service has become contended; returns whether one has.
    fn apply_rates(&mut self, rates: AccountRates, from: IpAddr) -> bool {
        let now = self.relay.now();
        let is_new = self.shares.aggregator.update(rates, from, now);
        if is_new {
            let changes = self.shares.aggregator.update_totals_now(now);
            self.relay.log_crossings(&changes);
        }
        is_new
    }

    /// Recomputes the shares if they are outdated.
    pub(super) fn compute_shares(&mut self) {
        let changes = self.shares.aggregator.update_totals(self.relay.now());
        self.relay.log_crossings(&changes);
    }

    /// Sends the shares in answer to report `number` of another box.
    pub(super) fn answer_shares(&self, to: IpAddr, number: u64) {
        for page in pages_of_shares(&self.shares_for(number)) {
            self.send(to, &Message::AccountShares(page));
        }
    }

    fn shares_for(&self, number: u64) -> AccountShares {
        AccountShares {
            number,
            services: self.shares.aggregator.shares().to_vec(),
        }
    }
}
