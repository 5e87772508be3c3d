//! Fair shares of client accounts in contended services.
//!
//! Each box counts the requests of its callers by account. While a service is contended, boxes report these rates to the collector of
//! their failure domain; collectors exchange sums, compute the max-min share of what is admitted, and answer with
//! the accounts above it. A box selects the requests of such an account that are beyond its share by their draw.
//!
//! Rates, shares and contention expire, and without them every request is within its account's share.

use std::sync::Arc;
use std::time::Duration;

use crate::forward::limit::DemandRate;
use crate::forward::quarantine::AccountDigest;
use crate::ids::Incarnation;

mod aggregator;
mod believed;
mod max_min;
mod usage;

pub use aggregator::{Aggregator, Change, Crossing, LEAST_SERVED};
pub use believed::Believed;
pub use max_min::{Group, max_min};
pub use usage::Usage;

/// Time after which rates and shares expire unless they are received again.
pub const SHARE_LIFE: Duration = Duration::from_millis(1500);
/// Time for which a service is contended after a request of it waited or was refused by admission.
pub const CONTENTION_LIFE: Duration = Duration::from_millis(1000);
/// Accounts by service that a box reports; the largest are chosen.
pub const ACCOUNTS_OF_BOX: usize = 32;
/// Accounts by service that a collector reports of its failure domain.
pub const ACCOUNTS_OF_DOMAIN: usize = 64;
/// Accounts by service in an answer to a box.
pub const ACCOUNTS_ANSWERED: usize = 32;
/// Services of one sender; those with the highest rates are chosen.
pub const MOST_SERVICES: usize = 16;

/// Whether a request is within its account's share of a contended service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It is, or there are no shares.
    Within,
    /// It exceeds the share.
    Beyond,
}

/// The rate of an account's requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountRate {
    /// The account.
    pub account: AccountDigest,
    /// Its requests a second.
    pub rate: DemandRate,
}

/// Rates of the requests for one service, at a box or in a failure domain.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRates {
    /// The service.
    pub service: Arc<str>,
    /// Whether a request waited or was refused lately at the sender, or at a box that reports to it.
    pub is_contended: bool,
    /// Requests a second that callers sent, of all accounts.
    pub offered: DemandRate,
    /// Requests a second that were admitted.
    pub admitted: DemandRate,
    /// Number of accounts with requests, those included that are not listed.
    pub count: u32,
    /// The largest accounts; the others have what remains of `offered`.
    pub accounts: Vec<AccountRate>,
}

/// From a box to its collector, and from a collector to another: rates of accounts.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountRates {
    /// The sender's run.
    pub run: Incarnation,
    /// Numbers its messages; the pages of one have the same number.
    pub number: u64,
    /// The failure domain of a collector whose boxes' sums these are; `None` from a box.
    pub domain: Option<String>,
    /// The rates by service.
    pub services: Vec<ServiceRates>,
}

/// The part of an account's requests that is within its share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountFraction {
    /// The account.
    pub account: AccountDigest,
    /// Fraction of its requests within its share, from 0 to 1.
    pub fraction: f64,
}

/// The share of each account of a contended service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceShare {
    /// The service.
    pub service: Arc<str>,
    /// Requests a second that an account may have; `None` while all that is offered is admitted.
    pub share: Option<DemandRate>,
    /// The accounts above the share.
    pub accounts: Vec<AccountFraction>,
}

/// From a collector to a box: shares of accounts.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountShares {
    /// Number of the box's report of loads that this answers.
    pub number: u64,
    /// The contended services.
    pub services: Vec<ServiceShare>,
}
