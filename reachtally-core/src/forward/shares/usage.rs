//! Requests of a box's callers, by service and account.

use std::collections::HashMap;
use std::sync::Arc;

use super::{ACCOUNTS_OF_BOX, AccountRate, CONTENTION_LIFE, MOST_SERVICES, ServiceRates};
use crate::forward::limit::DemandRate;
use crate::forward::quarantine::AccountDigest;
use crate::forward::rate::MeanRate;
use crate::time::Instant;

/// Time constant of the rates, in ms: requests are as old on average as in a window of 1 s.
const SMOOTHING_MS: u64 = 500;
/// Accounts of a service that are counted one by one; bounds the memory.
const MOST_ACCOUNTS: usize = 4096;
/// Rate below which an account or a service counts as without requests, in requests a second.
const LEAST_RATE: f64 = 0.01;

type Rate = MeanRate<SMOOTHING_MS>;

/// The requests for one service.
#[derive(Debug, Default)]
struct ServiceUsage {
    offered: Rate,
    admitted: Rate,
    accounts: HashMap<AccountDigest, Rate>,
    contended_at: Option<Instant>,
}

impl ServiceUsage {
    fn is_contended(&self, now: Instant) -> bool {
        self.contended_at
            .is_some_and(|at| now.since(at) < CONTENTION_LIFE)
    }

    /// Removes the accounts that are not above the median. They keep counting as part of what is offered.
    fn make_room(&mut self, now: Instant) {
        let mut rates: Vec<f64> = self.accounts.values().map(|rate| rate.at(now)).collect();
        let middle = rates.len() / 2;
        let (_, median, _) = rates.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.accounts.retain(|_, rate| rate.at(now) > median);
    }

    fn rates(&mut self, service: &Arc<str>, now: Instant) -> ServiceRates {
        self.accounts.retain(|_, rate| rate.at(now) >= LEAST_RATE);
        let each = self.accounts.iter().map(|(account, rate)| AccountRate {
            account: *account,
            rate: DemandRate::new(rate.at(now)),
        });
        ServiceRates {
            service: service.clone(),
            is_contended: self.is_contended(now),
            offered: DemandRate::new(self.offered.at(now)),
            admitted: DemandRate::new(self.admitted.at(now)),
            count: self.accounts.len() as u32,
            accounts: largest(each.collect(), ACCOUNTS_OF_BOX),
        }
    }
}

/// Returns the `most` largest accounts, in order of their digests among equals.
pub(super) fn largest(mut accounts: Vec<AccountRate>, most: usize) -> Vec<AccountRate> {
    let rate = |each: &AccountRate| each.rate.per_second();
    accounts.sort_by(|a, b| {
        let by_rate = rate(b).total_cmp(&rate(a));
        by_rate.then(a.account.cmp(&b.account))
    });
    accounts.truncate(most);
    accounts
}

/// Returns the services with the highest rates, [`MOST_SERVICES`] at most.
fn busiest(mut services: Vec<ServiceRates>) -> Vec<ServiceRates> {
    let rate = |each: &ServiceRates| each.offered.per_second();
    services.sort_by(|a, b| {
        let by_rate = rate(b).total_cmp(&rate(a));
        by_rate.then_with(|| a.service.cmp(&b.service))
    });
    services.truncate(MOST_SERVICES);
    services
}

/// The requests of a box's callers.
#[derive(Debug, Default)]
pub struct Usage(HashMap<Arc<str>, ServiceUsage>);

impl Usage {
    fn of(&mut self, service: &Arc<str>) -> &mut ServiceUsage {
        self.0.entry(service.clone()).or_default()
    }

    /// Counts a request of `account` for `service`.
    pub fn count_offered(&mut self, service: &Arc<str>, account: AccountDigest, now: Instant) {
        let usage = self.of(service);
        usage.offered.count(now);
        if usage.accounts.len() >= MOST_ACCOUNTS && !usage.accounts.contains_key(&account) {
            usage.make_room(now);
        }
        usage.accounts.entry(account).or_default().count(now);
    }

    /// Counts a request for `service` that was admitted.
    pub fn count_admitted(&mut self, service: &Arc<str>, now: Instant) {
        self.of(service).admitted.count(now);
    }

    /// Notes that a request for `service` waited or was refused by admission; returns whether the service was not contended before.
    pub fn note_contended(&mut self, service: &Arc<str>, now: Instant) -> bool {
        let usage = self.of(service);
        let is_new = !usage.is_contended(now);
        usage.contended_at = Some(now);
        is_new
    }

    /// Returns the rates of the services that are contended here, or elsewhere by `is_contended`. Services without requests are
    /// removed.
    pub fn rates(
        &mut self,
        is_contended: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Vec<ServiceRates> {
        self.0.retain(|_, usage| {
            usage.is_contended(now)
                || usage.offered.at(now) >= LEAST_RATE
                || usage.admitted.at(now) >= LEAST_RATE
        });
        let each = self
            .0
            .iter_mut()
            .filter(|(service, usage)| usage.is_contended(now) || is_contended(service));
        let rates = each.map(|(service, usage)| usage.rates(service, now));
        busiest(rates.collect())
    }
}
