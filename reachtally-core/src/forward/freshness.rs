//! Maximum age of the configuration that requests are authorized with.
//!
//! A revoked key must stop working within a bound, also on a box that cannot reach the store. So a
//! box counts the configuration as confirmed from the moment when a read *began* that showed no
//! newer one, and serves requests with keys only until the bound has passed since then.

use std::fmt::{self, Display, Formatter};
use std::net::IpAddr;
use std::time::Duration;

use crate::time::Instant;

/// Subtracted from the bound to cover the time from the check until the engine starts the request.
pub const FRESHNESS_MARGIN: Duration = Duration::from_millis(600);

/// Where this box learned that its configuration is the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmedBy {
    /// A read of the store by this box.
    Store,
    /// Another box, which reported the age of its confirmation.
    Box(IpAddr),
}

impl Display for ConfirmedBy {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ConfirmedBy::Store => f.write_str("store"),
            ConfirmedBy::Box(ip) => ip.fmt(f),
        }
    }
}

/// A confirmation that the configuration is the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// When the confirming read of the store began.
    pub began: Instant,
    /// Where this box learned of it.
    pub by: ConfirmedBy,
}

/// When the configuration was last confirmed to be the newest.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    last: Option<Confirmation>,
}

impl Freshness {
    /// Records a confirmation unless the last one is as recent; returns whether it was recorded.
    pub fn confirm(&mut self, confirmation: Confirmation) -> bool {
        let is_later = self.last.is_none_or(|last| last.began < confirmation.began);
        if is_later {
            self.last = Some(confirmation);
        }
        is_later
    }

    /// Returns the last confirmation, if any.
    pub fn last(&self) -> Option<Confirmation> {
        self.last
    }

    /// Returns the time since the start of the last confirming read, if any.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last.map(|last| now.since(last.began))
    }

    /// Whether requests may still be authorized with the configuration, for the bound `within`.
    pub fn is_fresh(&self, now: Instant, within: Duration) -> bool {
        let limit = within.saturating_sub(FRESHNESS_MARGIN);
        self.age(now).is_some_and(|age| age < limit)
    }
}
