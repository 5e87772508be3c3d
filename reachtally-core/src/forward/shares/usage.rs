//! Request rates of a box's callers by service and account.

use std::collections::HashMap;
use std::sync::Arc;

use super::{AccountRate, CONTENTION_TTL, MAX_ACCOUNTS_PER_BOX, MAX_SERVICES, ServiceRates};
use crate::forward::limit::DemandRate;
use crate::forward::quarantine::AccountDigest;
use crate::forward::rate::MeanRate;
use crate::time::Instant;

/// Time constant of the rates, in ms. The mean age of counted requests is the same as in a window
/// of 1 s.
const TIME_CONSTANT_MS: u64 = 500;
/// Maximum number of accounts counted individually per service; limits memory use.
const MAX_ACCOUNTS: usize = 4096;
/// Rate in requests per second below which an account or a service counts as idle.
const MIN_RATE: f64 = 0.01;

type Rate = MeanRate<TIME_CONSTANT_MS>;

/// Request rates of one service.
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
            .is_some_and(|at| now.since(at) < CONTENTION_TTL)
    }

    /// Removes the accounts whose rate is not above the median. Their requests still count as
    /// offered.
    fn evict_small_accounts(&mut self, now: Instant) {
        let mut rates: Vec<f64> = self.accounts.values().map(|rate| rate.at(now)).collect();
        let middle = rates.len() / 2;
        let (_, median, _) = rates.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.accounts.retain(|_, rate| rate.at(now) > median);
    }

    fn rates(&mut self, service: &Arc<str>, now: Instant) -> ServiceRates {
        self.accounts.retain(|_, rate| rate.at(now) >= MIN_RATE);
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
            accounts: highest_rates(each.collect(), MAX_ACCOUNTS_PER_BOX),
        }
    }
}

/// Returns up to `most` accounts with the highest rates; ties are ordered by digest.
pub(super) fn highest_rates(mut accounts: Vec<AccountRate>, most: usize) -> Vec<AccountRate> {
    let rate = |each: &AccountRate| each.rate.per_second();
    accounts.sort_by(|a, b| {
        let by_rate = rate(b).total_cmp(&rate(a));
        by_rate.then(a.account.cmp(&b.account))
    });
    accounts.truncate(most);
    accounts
}

/// Returns up to [`MAX_SERVICES`] services with the highest rates.
fn highest_offered(mut services: Vec<ServiceRates>) -> Vec<ServiceRates> {
    let rate = |each: &ServiceRates| each.offered.per_second();
    services.sort_by(|a, b| {
        let by_rate = rate(b).total_cmp(&rate(a));
        by_rate.then_with(|| a.service.cmp(&b.service))
    });
    services.truncate(MAX_SERVICES);
    services
}

/// Request rates of a box's callers.
#[derive(Debug, Default)]
pub struct Usage(HashMap<Arc<str>, ServiceUsage>);

impl Usage {
    fn of(&mut self, service: &Arc<str>) -> &mut ServiceUsage {
        self.0.entry(service.clone()).or_default()
    }

    /// Records a request of `account` for `service`.
    pub fn count_offered(&mut self, service: &Arc<str>, account: AccountDigest, now: Instant) {
        let usage = self.of(service);
        usage.offered.count(now);
        if usage.accounts.len() >= MAX_ACCOUNTS && !usage.accounts.contains_key(&account) {
            usage.evict_small_accounts(now);
        }
        usage.accounts.entry(account).or_default().count(now);
    }

    /// Records an admitted request for `service`.
    pub fn count_admitted(&mut self, service: &Arc<str>, now: Instant) {
        self.of(service).admitted.count(now);
    }

    /// Records that admission queued or refused a request for `service`; returns whether the
    /// service was not contended before.
    pub fn note_contended(&mut self, service: &Arc<str>, now: Instant) -> bool {
        let usage = self.of(service);
        let is_new = !usage.is_contended(now);
        usage.contended_at = Some(now);
        is_new
    }

    /// Returns the rates of services that are contended here, or elsewhere according to
    /// `is_contended`. Idle services are removed.
    pub fn rates(
        &mut self,
        is_contended: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Vec<ServiceRates> {
        self.0.retain(|_, usage| {
            usage.is_contended(now)
                || usage.offered.at(now) >= MIN_RATE
                || usage.admitted.at(now) >= MIN_RATE
        });
        let each = self
            .0
            .iter_mut()
            .filter(|(service, usage)| usage.is_contended(now) || is_contended(service));
        let rates = each.map(|(service, usage)| usage.rates(service, now));
        highest_offered(rates.collect())
    }
}
