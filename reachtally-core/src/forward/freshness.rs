//! Maximum age of the configuration that requests are authorized with.
//!
//! A revoked key must stop working within a bound, also on a box that cannot reach the store. So a
//! box counts the configuration as confirmed from the moment when a read *began* that showed no
//! newer one, and serves requests with keys only until the bound has passed since then.

use std::time::Duration;

use crate::time::Instant;

/// Subtracted from the bound to cover the time from the check until the engine starts the request.
pub const FRESHNESS_MARGIN: Duration = Duration::from_millis(600);

/// When the configuration was last confirmed to be the newest.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    confirmed_at: Option<Instant>,
}

impl Freshness {
    /// Records that a read which began at `began` confirmed the current configuration.
    pub fn confirm(&mut self, began: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(began));
    }

    /// Returns the time since the start of the last confirming read, if any.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Whether requests may still be authorized with the configuration, for the bound `within`.
    pub fn is_fresh(&self, now: Instant, within: Duration) -> bool {
        let limit = within.saturating_sub(FRESHNESS_MARGIN);
        self.age(now).is_some_and(|age| age < limit)
    }
}
