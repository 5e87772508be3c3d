//! Fair shares of client accounts: request rates of this box, and the shares that its collector assigned.

use std::cell::RefCell;
use std::sync::Arc;

use reachtally_core::Instant;
use reachtally_core::forward::quarantine::AccountDigest;
use reachtally_core::forward::shares::{
    AccountShares, EnforcedShares, ServiceRates, ShareChange, ShareTransition, Standing, Usage,
};
use tokio::sync::Notify;

use crate::relay::Relay;

/// State of the fair shares.
#[derive(Debug, Default)]
pub(crate) struct ShareState {
    usage: RefCell<Usage>,
    believed: RefCell<EnforcedShares>,
    /// Notified when a service becomes contended at this box.
    pub contended: Notify,
}

impl Relay {
    /// Returns whether the configuration has client accounts. Without any, nothing is counted or shared.
    fn has_accounts(&self) -> bool {
        let table = self.configuration.table();
        table.is_some_and(|table| table.account_names().next().is_some())
    }

    /// Counts an authorized request of `account` for `service`. Requests without an account count as one account.
    pub fn note_offered(&self, service: &Arc<str>, account: Option<&str>, now: Instant) {
        if self.has_accounts() {
            let mut usage = self.shares.usage.borrow_mut();
            usage.count_offered(service, AccountDigest::from(account), now);
        }
    }

    /// Counts an admitted request for `service`.
    pub fn note_admitted(&self, service: &Arc<str>, now: Instant) {
        if self.has_accounts() {
            self.shares.usage.borrow_mut().count_admitted(service, now);
        }
    }

    /// Marks `service` as contended, since a request waits for admission or was refused.
    pub fn note_contended(&self, service: &Arc<str>, now: Instant) {
        if self.has_accounts() && self.shares.usage.borrow_mut().note_contended(service, now) {
            self.shares.contended.notify_one();
        }
    }

    /// Returns whether a request of `account` for `service` is within the account's share. `draw` is a uniformly
    /// distributed hash of the request. Called once per request, since it counts requests beyond the share.
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

    /// Returns the number of client accounts above their share, as reported to this box.
    pub fn accounts_beyond_share(&self) -> usize {
        let now = self.now();
        self.shares.believed.borrow().accounts_above_share(now)
    }

    /// Returns the rates of the services that are contended at this or another box.
    pub(crate) fn contended_rates(&self) -> Vec<ServiceRates> {
        if !self.has_accounts() {
            return Vec::new();
        }
        let now = self.now();
        let believed = self.shares.believed.borrow();
        let is_contended = |service: &str| believed.is_contended(service, now);
        self.shares.usage.borrow_mut().rates(is_contended, now)
    }

    /// Applies shares received from a collector.
    pub(crate) fn update_shares(&self, shares: AccountShares) {
        let now = self.now();
        self.shares.believed.borrow_mut().update(shares, now);
    }

    /// Logs the accounts whose rate crossed their share in either direction.
    pub(crate) fn log_crossings(&self, changes: &[ShareChange]) {
        let table = self.configuration.table();
        for change in changes {
            let mut names = table.iter().flat_map(|table| table.account_names());
            let name = names.find(|name| AccountDigest::from(Some(&***name)) == change.account);
            let name = name.map_or("", |name| &**name);
            match change.crossing {
                ShareTransition::Beyond {
                    rate,
                    share,
                    fraction,
                } => {
                    log::info!(event = "account-beyond-share", service = &*change.service, account = name, digest = change.account.0, per_s = rate, share = share, fraction = fraction; "client account exceeds its share of a contended service");
                }
                ShareTransition::Within => {
                    log::info!(event = "account-within-share", service = &*change.service, account = name, digest = change.account.0; "client account is within its share again, or the service is no longer contended");
                }
            }
        }
    }
}
