//! Fair shares of client accounts: the requests of this box's callers, and the shares that its collector told.

use std::cell::RefCell;
use std::sync::Arc;

use reachtally_core::Instant;
use reachtally_core::forward::quarantine::AccountDigest;
use reachtally_core::forward::shares::{
    AccountShares, Believed, Change, Crossing, ServiceRates, Standing, Usage,
};
use tokio::sync::Notify;

use crate::relay::Relay;

/// State of the shares.
#[derive(Debug, Default)]
pub(crate) struct ShareState {
    usage: RefCell<Usage>,
    believed: RefCell<Believed>,
    /// A service has become contended at this box.
    pub contended: Notify,
}

impl Relay {
    /// Whether the configuration has client accounts; without them nothing is counted or shared.
    fn has_accounts(&self) -> bool {
        let table = self.configuration.table();
        table.is_some_and(|table| table.account_names().next().is_some())
    }

    /// Counts a request of `account` for `service` that the configuration allows. Requests without an account count as one account's.
    pub fn note_offered(&self, service: &Arc<str>, account: Option<&str>, now: Instant) {
        if self.has_accounts() {
            let mut usage = self.shares.usage.borrow_mut();
            usage.count_offered(service, AccountDigest::from(account), now);
        }
    }

    /// Counts a request for `service` that was admitted.
    pub fn note_admitted(&self, service: &Arc<str>, now: Instant) {
        if self.has_accounts() {
            self.shares.usage.borrow_mut().count_admitted(service, now);
        }
    }

    /// Notes that a request for `service` waits for admission, or was refused by it.
    pub fn note_contended(&self, service: &Arc<str>, now: Instant) {
        if self.has_accounts() && self.shares.usage.borrow_mut().note_contended(service, now) {
            self.shares.contended.notify_one();
        }
    }

    /// Whether a request of `account` for `service` is within the account's share; `draw` is a well-spread number of the request. It is
    /// asked once per request, since requests beyond the share are counted.
    pub fn standing(
        &self,
        service: &str,
        account: Option<&str>,
        draw: u64,
        now: Instant,
    ) -> Standing {
        let believed = self.shares.believed.borrow();
        if !believed.is_contended(service, now) {
            return Standing::Within;
        }
        let standing = believed.standing(service, AccountDigest::from(account), draw, now);
        if standing == Standing::Beyond {
            self.count(|tally| tally.requests_beyond_share += 1);
        }
        standing
    }

    /// Number of client accounts above their share, as told to this box.
    pub fn accounts_beyond_share(&self) -> usize {
        let now = self.now();
        self.shares.believed.borrow().accounts_beyond(now)
    }

    /// Returns the rates of the services that are contended here or elsewhere.
    pub(crate) fn contended_rates(&self) -> Vec<ServiceRates> {
        if !self.has_accounts() {
            return Vec::new();
        }
        let now = self.now();
        let believed = self.shares.believed.borrow();
        let is_contended = |service: &str| believed.is_contended(service, now);
        self.shares.usage.borrow_mut().rates(is_contended, now)
    }

    /// Applies the shares that a collector told.
    pub(crate) fn update_shares(&self, shares: AccountShares) {
        let now = self.now();
        self.shares.believed.borrow_mut().update(shares, now);
    }

    /// Logs the accounts that crossed their share.
    pub(crate) fn log_crossings(&self, changes: &[Change]) {
        let table = self.configuration.table();
        for change in changes {
            let mut names = table.iter().flat_map(|table| table.account_names());
            let name = names.find(|name| AccountDigest::from(Some(&***name)) == change.account);
            let name = name.map_or("", |name| &**name);
            match change.crossing {
                Crossing::Beyond {
                    rate,
                    share,
                    fraction,
                } => {
                    log::info!(event = "account-beyond-share", service = &*change.service, account = name, digest = change.account.0, per_s = rate, share = share, fraction = fraction; "a client account sends more than its share of a contended service");
                }
                Crossing::Within => {
                    log::info!(event = "account-within-share", service = &*change.service, account = name, digest = change.account.0; "a client account is back within its share, or the service is not contended any more");
                }
            }
        }
    }
}
