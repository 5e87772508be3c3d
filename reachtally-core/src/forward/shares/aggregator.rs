//! Aggregates request rates at a collector and computes the resulting shares.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use super::max_min::{Group, max_min};
use super::usage::highest_rates;
use super::{
    AccountFraction, AccountRate, AccountRates, MAX_ACCOUNTS_PER_ANSWER, MAX_ACCOUNTS_PER_DOMAIN,
    MAX_SERVICES, SHARE_TTL, ServiceRates, ServiceShare,
};
use crate::forward::limit::DemandRate;
use crate::forward::quarantine::AccountDigest;
use crate::ids::Incarnation;
use crate::time::Instant;

/// Minimum interval between two aggregations; limits the work of a collector with hundreds of
/// boxes.
const AGGREGATION_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of the admitted rate that is shared. If requests within their share took up the whole
/// capacity, random variation would cause some of them to be refused. The rest goes to requests
/// beyond their share.
const SHARED_FRACTION: f64 = 0.95;
/// Fraction of the share by which an account may exceed it without being limited.
const TOLERATED_EXCESS: f64 = 0.25;
/// The same in standard deviations of a rate. Of hundreds of accounts below the share, some exceed
/// two deviations at any time.
const TOLERATED_DEVIATIONS: f64 = 3.0;
/// Minimum fraction of an account's requests within its share, relative to the fraction of all
/// requests that is served.
pub const MIN_SERVED_FRACTION: f64 = 0.25;
/// Minimum fraction of offered requests that must be admitted for shares to be computed. If almost
/// nothing is admitted, the rates do not indicate a capacity.
const MIN_ADMITTED_FRACTION: f64 = 0.01;
/// Time after which an account that no longer exceeds the share counts as within it again, since
/// rates fluctuate around the share.
const WITHIN_DELAY: Duration = Duration::from_secs(2);

/// The rates of one service received from a box or a collector.
#[derive(Debug)]
struct ReceivedRates {
    number: u64,
    at: Instant,
    rates: ServiceRates,
}

impl ReceivedRates {
    fn is_valid(&self, now: Instant) -> bool {
        now.since(self.at) < SHARE_TTL
    }
}

/// A box, or another collector.
#[derive(Debug)]
struct Sender {
    run: Incarnation,
    services: BTreeMap<Arc<str>, ReceivedRates>,
}

/// Total rates of one service.
#[derive(Debug, Default)]
struct RateSum {
    is_contended: bool,
    offered: f64,
    admitted: f64,
    count: u32,
    accounts: HashMap<AccountDigest, f64>,
}

impl RateSum {
    fn add(&mut self, rates: &ServiceRates) {
        self.is_contended |= rates.is_contended;
        self.offered += rates.offered.per_second();
        self.admitted += rates.admitted.per_second();
        // Boxes mostly see the same accounts, so their counts are not added up.
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
        highest_rates(each.collect(), most)
    }

    fn rates(&self, service: &Arc<str>) -> ServiceRates {
        ServiceRates {
            service: service.clone(),
            is_contended: self.is_contended,
            offered: DemandRate::new(self.offered),
            admitted: DemandRate::new(self.admitted),
            count: self.count(),
            accounts: self.listed(MAX_ACCOUNTS_PER_DOMAIN),
        }
    }

    /// Returns the accounts that are only known in total, as accounts of equal rate. None of them
    /// has a higher rate than the smallest listed one.
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
        if !(MIN_ADMITTED_FRACTION..1.0).contains(&served) {
            return None;
        }
        let share = max_min(&groups, self.admitted * SHARED_FRACTION)?;
        // An account that does not fit into the answer is not limited, so accounts that fit are not
        // limited to less.
        let first_omitted_rate = listed
            .get(MAX_ACCOUNTS_PER_ANSWER)
            .map_or(0.0, |each| each.rate.per_second());
        let share = share.max(first_omitted_rate).max(unlisted.rate);
        let above = listed.iter().take(MAX_ACCOUNTS_PER_ANSWER);
        let above = above.map(|each| (each.account, each.rate.per_second()));
        let above = above.filter(|(_, rate)| is_above(*rate, share));
        let fraction = |(account, rate): (AccountDigest, f64)| {
            let fraction = (share / rate).max(served * MIN_SERVED_FRACTION);
            (AccountFraction { account, fraction }, rate)
        };
        Some((share, above.map(fraction).collect()))
    }
}

/// Whether an account exceeded its share or returned within it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShareTransition {
    /// The account exceeded the share.
    Beyond {
        /// The account's requests per second.
        rate: f64,
        /// Requests per second that each account may send.
        share: f64,
        /// Fraction of the account's requests within the share.
        fraction: f64,
    },
    /// The account has been within the share for some time.
    Within,
}

/// An account that exceeded its share or returned within it.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareChange {
    /// The service.
    pub service: Arc<str>,
    /// The account.
    pub account: AccountDigest,
    /// What happened.
    pub crossing: ShareTransition,
}

/// Aggregates the rates of a failure domain's boxes and of other collectors.
#[derive(Debug, Default)]
pub struct Aggregator {
    /// Senders by address and whether they are a collector, since a box may already collect while
    /// it still reports to another collector.
    senders: HashMap<(IpAddr, bool), Sender>,
    aggregated_at: Option<Instant>,
    /// Sums over the domain's own boxes for services that are contended anywhere.
    own_rates: Vec<ServiceRates>,
    shares: Vec<ServiceShare>,
    /// Accounts that recently exceeded their share, with the last time they did.
    above: HashMap<(Arc<str>, AccountDigest), Instant>,
}

impl Aggregator {
    /// Updates the rates of the box or collector at `ip`, replacing those of another run at that
    /// address. Returns whether a service is newly contended.
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
        for reported in rates.services {
            let known = sender.services.get(&reported.service);
            let is_outdated = known.is_some_and(|known| known.number >= rates.number);
            let fits = known.is_some() || sender.services.len() < MAX_SERVICES;
            if is_outdated || !fits {
                continue;
            }
            let was_contended = known.is_some_and(|known| known.rates.is_contended)
                || self
                    .shares
                    .iter()
                    .any(|each| each.service == reported.service);
            is_new |= reported.is_contended && !was_contended;
            let received = ReceivedRates {
                number: rates.number,
                at: now,
                rates: reported,
            };
            let service = received.rates.service.clone();
            sender.services.insert(service, received);
        }
        is_new
    }

    /// Removes a box that now reports to another collector.
    pub fn leave(&mut self, run: Incarnation) {
        self.senders
            .retain(|(_, is_collector), sender| *is_collector || sender.run != run);
    }

    /// Removes expired rates and recomputes the shares unless they are recent. Returns the accounts
    /// that exceeded their share or returned within it.
    pub fn update_totals(&mut self, now: Instant) -> Vec<ShareChange> {
        let is_recent = |at: Instant| now.since(at) < AGGREGATION_INTERVAL;
        match self.aggregated_at.is_some_and(is_recent) {
            true => Vec::new(),
            false => self.update_totals_now(now),
        }
    }

    /// Like [`Aggregator::update_totals`], but regardless of the age of the shares.
    pub fn update_totals_now(&mut self, now: Instant) -> Vec<ShareChange> {
        self.aggregated_at = Some(now);
        self.senders.retain(|_, sender| {
            sender.services.retain(|_, received| received.is_valid(now));
            !sender.services.is_empty()
        });
        let mut own_sums: BTreeMap<Arc<str>, RateSum> = BTreeMap::new();
        let mut all: BTreeMap<Arc<str>, RateSum> = BTreeMap::new();
        for ((_, is_collector), sender) in &self.senders {
            for (service, received) in &sender.services {
                all.entry(service.clone()).or_default().add(&received.rates);
                if !is_collector {
                    own_sums
                        .entry(service.clone())
                        .or_default()
                        .add(&received.rates);
                }
            }
        }
        all.retain(|_, sum| sum.is_contended);
        keep_busiest(&mut all);
        own_sums.retain(|service, _| all.contains_key(service));
        let own_rates = own_sums.iter().map(|(service, sum)| sum.rates(service));
        self.own_rates = own_rates.collect();
        self.compute_shares(&all, now)
    }

    fn compute_shares(
        &mut self,
        sums: &BTreeMap<Arc<str>, RateSum>,
        now: Instant,
    ) -> Vec<ShareChange> {
        let mut changes = Vec::new();
        self.shares.clear();
        for (service, sum) in sums {
            let found = sum.share();
            let share = found.as_ref().map(|(share, _)| DemandRate::new(*share));
            let above = found.map(|(_, above)| above).unwrap_or_default();
            for (limited, rate) in &above {
                let crossing = ShareTransition::Beyond {
                    rate: *rate,
                    share: share.unwrap_or_default().per_second(),
                    fraction: limited.fraction,
                };
                let key = (service.clone(), limited.account);
                if self.above.insert(key, now).is_none() {
                    changes.push(change(service, limited.account, crossing));
                }
            }
            self.shares.push(ServiceShare {
                service: service.clone(),
                share,
                accounts: above.into_iter().map(|(limited, _)| limited).collect(),
            });
        }
        self.above.retain(|(service, account), at| {
            let is_above = now.since(*at) < WITHIN_DELAY;
            if !is_above {
                changes.push(change(service, *account, ShareTransition::Within));
            }
            is_above
        });
        changes
    }

    /// Returns the sums over the domain's own boxes for services that are contended anywhere, to
    /// send to other collectors.
    pub fn own_rates(&self) -> &[ServiceRates] {
        &self.own_rates
    }

    /// Returns the shares of contended services, to send to the domain's boxes.
    pub fn shares(&self) -> &[ServiceShare] {
        &self.shares
    }
}

/// Whether an account's rate significantly exceeds the share. A rate over a window of 1 s has a
/// standard deviation of about its square root.
fn is_above(rate: f64, share: f64) -> bool {
    rate > share + (share * TOLERATED_EXCESS).max(share.sqrt() * TOLERATED_DEVIATIONS)
}

/// Keeps only the services with the highest rates.
fn keep_busiest(sums: &mut BTreeMap<Arc<str>, RateSum>) {
    if sums.len() <= MAX_SERVICES {
        return;
    }
    let mut rates: Vec<(f64, Arc<str>)> = sums
        .iter()
        .map(|(service, sum)| (sum.offered, service.clone()))
        .collect();
    rates.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, service) in rates.split_off(MAX_SERVICES) {
        sums.remove(&service);
    }
}

fn change(service: &Arc<str>, account: AccountDigest, crossing: ShareTransition) -> ShareChange {
    ShareChange {
        service: service.clone(),
        account,
        crossing,
    }
}
