//! Fair sharing of contended services among client accounts.
//!
//! Each box counts the requests of its callers by account. While a service is contended, boxes
//! report these rates to the collector of their failure domain. Collectors exchange sums, compute
//! the max-min fair share of the admitted rate, and answer with the accounts above it. A box
//! selects the excess requests of such an account by their random numbers.
//!
//! Rates, shares and contention expire. Without them every request is within the share of its
//! account.

use std::sync::Arc;
use std::time::Duration;

use crate::forward::limit::DemandRate;
use crate::forward::quarantine::AccountDigest;
use crate::ids::Incarnation;

mod aggregator;
mod believed;
mod max_min;
mod usage;

pub use aggregator::{Aggregator, MIN_SERVED_FRACTION, ShareChange, ShareTransition};
pub use believed::EnforcedShares;
pub use max_min::{Group, max_min};
pub use usage::Usage;

/// Time after which rates and shares expire unless they are refreshed.
pub const SHARE_TTL: Duration = Duration::from_millis(1500);
/// Time for which a service counts as contended after admission queued or refused one of its
/// requests.
pub const CONTENTION_TTL: Duration = Duration::from_millis(1000);
/// Maximum number of accounts per service that a box reports; those with the highest rates are
/// chosen.
pub const MAX_ACCOUNTS_PER_BOX: usize = 32;
/// Maximum number of accounts per service that a collector reports for its failure domain.
pub const MAX_ACCOUNTS_PER_DOMAIN: usize = 64;
/// Maximum number of accounts per service in an answer to a box.
pub const MAX_ACCOUNTS_PER_ANSWER: usize = 32;
/// Maximum number of services per sender; those with the highest rates are chosen.
pub const MAX_SERVICES: usize = 16;

/// Whether a request is within the share of its account in a contended service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Within the share, or no share is known.
    Within,
    /// Beyond the share.
    Beyond,
}

/// The request rate of an account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountRate {
    /// The account.
    pub account: AccountDigest,
    /// Requests per second.
    pub rate: DemandRate,
}

/// Request rates of one service, at a box or in a failure domain.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRates {
    /// The service.
    pub service: Arc<str>,
    /// Whether admission recently queued or refused a request at the sender, or at a box that
    /// reports to it.
    pub is_contended: bool,
    /// Requests per second sent by callers, over all accounts.
    pub offered: DemandRate,
    /// Requests per second that were admitted.
    pub admitted: DemandRate,
    /// Number of accounts with requests, including those not listed.
    pub count: u32,
    /// The accounts with the highest rates; the others account for the rest of `offered`.
    pub accounts: Vec<AccountRate>,
}

/// Account rates that a box sends to its collector, or a collector to another one.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountRates {
    /// The sender's run.
    pub run: Incarnation,
    /// Sequence number of the message; all pages of a message have the same number.
    pub number: u64,
    /// The failure domain whose sums a collector sends; `None` if sent by a box.
    pub domain: Option<String>,
    /// The rates by service.
    pub services: Vec<ServiceRates>,
}

/// The fraction of an account's requests that is within its share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountFraction {
    /// The account.
    pub account: AccountDigest,
    /// Fraction of its requests within its share, from 0 to 1.
    pub fraction: f64,
}

/// The share per account of a contended service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceShare {
    /// The service.
    pub service: Arc<str>,
    /// Requests per second that each account may send; `None` while everything offered is admitted.
    pub share: Option<DemandRate>,
    /// The accounts above the share.
    pub accounts: Vec<AccountFraction>,
}

/// Account shares that a collector sends to a box.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountShares {
    /// Number of the box's load report that is answered.
    pub number: u64,
    /// The contended services.
    pub services: Vec<ServiceShare>,
}
