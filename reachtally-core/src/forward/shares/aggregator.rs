//! Sums of rates at a collector, and the shares that follow from them.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use super::max_min::{Group, max_min};
use super::usage::largest;
use super::{
    ACCOUNTS_ANSWERED, ACCOUNTS_OF_DOMAIN, AccountFraction, AccountRate, AccountRates,
    MOST_SERVICES, SHARE_LIFE, ServiceRates, ServiceShare,
};
use crate::forward::limit::DemandRate;
use crate::forward::quarantine::AccountDigest;
use crate::ids::Incarnation;
use crate::time::Instant;

/// Least time between two sums; bounds the work of a collector with hundreds of boxes.
const SUM_INTERVAL: Duration = Duration::from_millis(100);
/// Part of what is admitted that is shared out. Requests within their share that take up all of the capacity are refused now and then
/// as they come at random; what is left goes to requests beyond it.
const SHARED: f64 = 0.95;
/// Part of its share by which an account may exceed it unnoticed.
const TOLERANCE: f64 = 0.25;
/// The same in standard deviations of a rate; of hundreds of accounts below the share some have two at any time.
const DEVIATIONS: f64 = 3.0;
/// An account may have at least this fraction of what all accounts together are served, in parts of what they ask for.
pub const LEAST_SERVED: f64 = 0.25;
/// Fraction of what is offered below which nothing is shared: when nearly nothing is admitted, the rates say nothing of a capacity.
const LEAST_ADMITTED: f64 = 0.01;
/// Time after which an account that is not above the share counts as back within it; rates vary around the share.
const WITHIN_SETTLED: Duration = Duration::from_secs(2);

/// Rates that a box or a collector reported of one service.
#[derive(Debug)]
struct Received {
    number: u64,
    at: Instant,
    rates: ServiceRates,
}

impl Received {
    fn is_valid(&self, now: Instant) -> bool {
        now.since(self.at) < SHARE_LIFE
    }
}

/// A box, or another collector.
#[derive(Debug)]
struct Sender {
    run: Incarnation,
    services: BTreeMap<Arc<str>, Received>,
}

/// Sum of the rates of one service.
#[derive(Debug, Default)]
struct Sum {
    is_contended: bool,
    offered: f64,
    admitted: f64,
    count: u32,
    accounts: HashMap<AccountDigest, f64>,
}

impl Sum {
    fn add(&mut self, rates: &ServiceRates) {
        self.is_contended |= rates.is_contended;
        self.offered += rates.offered.per_second();
        self.admitted += rates.admitted.per_second();
        // Boxes mostly have the same accounts, so their numbers are not added.
        self.count = self.count.max(rates.count);
        for each in &rates.accounts {
            *self.accounts.entry(each.account).or_default() += each.rate.per_second();
        }
    }

    fn count(&self) -> u32 {
        self.count.max(self.accounts.len() as u32)
    }

    fn listed(&self, most: usize) -> Vec<AccountRate> {
        let each = self.accounts.iter().map(|(account, rate)| AccountRate {
            account: *account,
            rate: DemandRate::new(*rate),
        });
        largest(each.collect(), most)
    }

    fn rates(&self, service: &Arc<str>) -> ServiceRates {
        ServiceRates {
            service: service.clone(),
            is_contended: self.is_contended,
            offered: DemandRate::new(self.offered),
            admitted: DemandRate::new(self.admitted),
            count: self.count(),
            accounts: self.listed(ACCOUNTS_OF_DOMAIN),
        }
    }

    /// The accounts that are known only in sum, as equal ones: none of them is larger than the smallest that is listed.
    fn unlisted(&self, listed: &[AccountRate]) -> Group {
        let known: f64 = listed.iter().map(|each| each.rate.per_second()).sum();
        let rest = (self.offered - known).max(0.0);
        let smallest = listed.last().map_or(rest, |each| each.rate.per_second());
        let counted = f64::from(self.count().saturating_sub(listed.len() as u32));
        let least = if smallest > 0.0 { rest / smallest } else { 0.0 };
        let count = counted.max(least.ceil()).max(1.0);
        Group {
            rate: rest / count,
            count,
        }
    }

    /// Returns the share, and the accounts above it with their rates.
    fn share(&self) -> Option<(f64, Vec<(AccountFraction, f64)>)> {
        let listed = self.listed(usize::MAX);
        let unlisted = self.unlisted(&listed);
        if listed.len() + usize::from(unlisted.rate > 0.0) < 2 {
            return None;
        }
        let single = |each: &AccountRate| Group {
            rate: each.rate.per_second(),
            count: 1.0,
        };
        let groups: Vec<Group> = listed.iter().map(single).chain([unlisted]).collect();
        let served = self.admitted / self.offered;
        if !(LEAST_ADMITTED..1.0).contains(&served) {
            return None;
        }
        let share = max_min(&groups, self.admitted * SHARED)?;
        // An account that the answer has no place for is not limited, so none that has one is limited further.
        let left_out = listed
            .get(ACCOUNTS_ANSWERED)
            .map_or(0.0, |each| each.rate.per_second());
        let share = share.max(left_out).max(unlisted.rate);
        let above = listed.iter().take(ACCOUNTS_ANSWERED);
        let above = above.map(|each| (each.account, each.rate.per_second()));
        let above = above.filter(|(_, rate)| is_above(*rate, share));
        let fraction = |(account, rate): (AccountDigest, f64)| {
            let fraction = (share / rate).max(served * LEAST_SERVED);
            (AccountFraction { account, fraction }, rate)
        };
        Some((share, above.map(fraction).collect()))
    }
}

/// Whether an account went above its share or came back.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Crossing {
    /// It went above the share.
    Beyond {
        /// The account's requests a second.
        rate: f64,
        /// Requests a second that each account may have.
        share: f64,
        /// Fraction of its requests within the share.
        fraction: f64,
    },
    /// It has been within the share for some time.
    Within,
}

/// An account that went above its share or came back.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The service.
    pub service: Arc<str>,
    /// The account.
    pub account: AccountDigest,
    /// What happened.
    pub crossing: Crossing,
}

/// Sums the rates of a failure domain's boxes and of other collectors.
#[derive(Debug, Default)]
pub struct Aggregator {
    /// By address, and whether it is a collector: a box may collect while it still reports to another.
    senders: HashMap<(IpAddr, bool), Sender>,
    summed_at: Option<Instant>,
    /// Sums of its boxes for services that are contended somewhere.
    own: Vec<ServiceRates>,
    shares: Vec<ServiceShare>,
    /// Accounts that were above their share lately, and when.
    above: HashMap<(Arc<str>, AccountDigest), Instant>,
}

impl Aggregator {
    /// Updates the rates of the box or collector at `ip`; those of another run at that address are replaced. Returns whether a service
    /// is contended that was not.
    pub fn update(&mut self, rates: AccountRates, ip: IpAddr, now: Instant) -> bool {
        let is_collector = rates.domain.is_some();
        let new = || Sender {
            run: rates.run,
            services: BTreeMap::new(),
        };
        let sender = self.senders.entry((ip, is_collector)).or_insert_with(new);
        if sender.run != rates.run {
            *sender = new();
        }
        let mut is_new = false;
        for told in rates.services {
            let known = sender.services.get(&told.service);
            let is_late = known.is_some_and(|known| known.number >= rates.number);
            let has_place = known.is_some() || sender.services.len() < MOST_SERVICES;
            if is_late || !has_place {
                continue;
            }
            let was_contended = known.is_some_and(|known| known.rates.is_contended)
                || self.shares.iter().any(|each| each.service == told.service);
            is_new |= told.is_contended && !was_contended;
            let received = Received {
                number: rates.number,
                at: now,
                rates: told,
            };
            let service = received.rates.service.clone();
            sender.services.insert(service, received);
        }
        is_new
    }

    /// Removes a box that reports to another collector from now on.
    pub fn leave(&mut self, run: Incarnation) {
        self.senders
            .retain(|(_, is_collector), sender| *is_collector || sender.run != run);
    }

    /// Removes expired rates and computes the shares, if the last ones are some time old; returns the accounts that crossed their
    /// share.
    pub fn sum_up(&mut self, now: Instant) -> Vec<Change> {
        let is_recent = |at: Instant| now.since(at) < SUM_INTERVAL;
        match self.summed_at.is_some_and(is_recent) {
            true => Vec::new(),
            false => self.sum_up_now(now),
        }
    }

    /// The same however old the last ones are.
    pub fn sum_up_now(&mut self, now: Instant) -> Vec<Change> {
        self.summed_at = Some(now);
        self.senders.retain(|_, sender| {
            sender.services.retain(|_, received| received.is_valid(now));
            !sender.services.is_empty()
        });
        let mut own: BTreeMap<Arc<str>, Sum> = BTreeMap::new();
        let mut all: BTreeMap<Arc<str>, Sum> = BTreeMap::new();
        for ((_, is_collector), sender) in &self.senders {
            for (service, received) in &sender.services {
                all.entry(service.clone()).or_default().add(&received.rates);
                if !is_collector {
                    own.entry(service.clone()).or_default().add(&received.rates);
                }
            }
        }
        all.retain(|_, sum| sum.is_contended);
        keep_busiest(&mut all);
        own.retain(|service, _| all.contains_key(service));
        let own = own.iter().map(|(service, sum)| sum.rates(service));
        self.own = own.collect();
        self.share_out(&all, now)
    }

    fn share_out(&mut self, sums: &BTreeMap<Arc<str>, Sum>, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        self.shares.clear();
        for (service, sum) in sums {
            let found = sum.share();
            let share = found.as_ref().map(|(share, _)| DemandRate::new(*share));
            let above = found.map(|(_, above)| above).unwrap_or_default();
            for (told, rate) in &above {
                let crossing = Crossing::Beyond {
                    rate: *rate,
                    share: share.unwrap_or_default().per_second(),
                    fraction: told.fraction,
                };
                let key = (service.clone(), told.account);
                if self.above.insert(key, now).is_none() {
                    changes.push(change(service, told.account, crossing));
                }
            }
            self.shares.push(ServiceShare {
                service: service.clone(),
                share,
                accounts: above.into_iter().map(|(told, _)| told).collect(),
            });
        }
        self.above.retain(|(service, account), at| {
            let is_above = now.since(*at) < WITHIN_SETTLED;
            if !is_above {
                changes.push(change(service, *account, Crossing::Within));
            }
            is_above
        });
        changes
    }

    /// Sums of its boxes for services that are contended somewhere, for other collectors.
    pub fn own_rates(&self) -> &[ServiceRates] {
        &self.own
    }

    /// Shares of the contended services, for its boxes.
    pub fn shares(&self) -> &[ServiceShare] {
        &self.shares
    }
}

/// Whether an account's rate is above the share, and not by chance: in a window of 1 s a rate deviates by its square root.
fn is_above(rate: f64, share: f64) -> bool {
    rate > share + (share * TOLERANCE).max(share.sqrt() * DEVIATIONS)
}

/// Removes all but the services with the highest rates.
fn keep_busiest(sums: &mut BTreeMap<Arc<str>, Sum>) {
    if sums.len() <= MOST_SERVICES {
        return;
    }
    let mut rates: Vec<(f64, Arc<str>)> = sums
        .iter()
        .map(|(service, sum)| (sum.offered, service.clone()))
        .collect();
    rates.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, service) in rates.split_off(MOST_SERVICES) {
        sums.remove(&service);
    }
}

fn change(service: &Arc<str>, account: AccountDigest, crossing: Crossing) -> Change {
    Change {
        service: service.clone(),
        account,
        crossing,
    }
}
