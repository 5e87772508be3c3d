//! Rates of client accounts in contended services, and the shares that follow, to and from the other boxes.

use std::net::IpAddr;

use reachtally_core::forward::loads::Message;
use reachtally_core::forward::shares::{AccountRates, AccountShares, Aggregator, ServiceRates};
use reachtally_protocol::shares::{pages_of_rates, pages_of_shares};

use super::{Gossip, Target};

/// State of this box as a sender and as a collector of rates.
#[derive(Debug, Default)]
pub(super) struct Shares {
    /// Number of the last message with rates.
    number: u64,
    pub aggregator: Aggregator,
}

impl Gossip {
    /// Reports the rates of this box, where a service is contended. A collector also reports the sums of its boxes.
    pub(super) fn report_rates(&mut self) {
        let services = self.relay.contended_rates();
        if !services.is_empty() {
            let rates = self.account_rates(services, None);
            match self.target {
                Target::Box(ip) => self.send_rates(ip, &rates),
                Target::Here => {
                    self.take_rates(rates, self.ip());
                }
            }
        }
        self.report_sums();
        if self.target == Target::Here {
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

    /// Reports the sums of the boxes that report here to other collectors.
    fn report_sums(&mut self) {
        let services = self.shares.aggregator.own_rates().to_vec();
        if services.is_empty() {
            return;
        }
        let domain = self.relay.settings.borrow().domain.clone();
        let rates = self.account_rates(services, Some(domain));
        for ip in self.collectors() {
            self.send_rates(ip, &rates);
        }
    }

    /// Updates the rates of another box. Where a service has become contended, other collectors are told immediately instead of with the next
    /// report.
    pub(super) fn update_rates(&mut self, rates: AccountRates, from: IpAddr) {
        if self.take_rates(rates, from) {
            self.report_sums();
        }
    }

    /// Updates the rates of the box at `from`, and the sums if a service has become contended; returns whether one has.
    fn take_rates(&mut self, rates: AccountRates, from: IpAddr) -> bool {
        let now = self.relay.now();
        let is_new = self.shares.aggregator.update(rates, from, now);
        if is_new {
            let changes = self.shares.aggregator.sum_up_now(now);
            self.relay.log_crossings(&changes);
        }
        is_new
    }

    /// Computes the shares anew, if they are some time old.
    pub(super) fn compute_shares(&mut self) {
        let changes = self.shares.aggregator.sum_up(self.relay.now());
        self.relay.log_crossings(&changes);
    }

    /// Answers report `number` of a box that reports here.
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
