//! How old the configuration may be that a request is judged by.
//!
//! A key that was taken away must stop working within a bound, also on a box that no longer reaches
//! the store. So a box counts the configuration as confirmed from the moment a read *began* that
//! showed no newer one, and serves keyed requests only within the bound of that.

use std::time::Duration;

use crate::time::Instant;

/// Taken off the bound for the time between the judgement and the engine's start on the request.
pub const FRESHNESS_MARGIN: Duration = Duration::from_millis(600);

/// When the configuration was last known to be the newest.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    confirmed: Option<Instant>,
}

impl Freshness {
    /// A read that began at `began` showed that the configuration held is the newest.
    pub fn confirm(&mut self, began: Instant) {
        self.confirmed = self.confirmed.max(Some(began));
    }

    /// Time since the last confirmation began, if there was one.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Whether a request may still be judged by the configuration, for the bound `within`.
    pub fn holds(&self, now: Instant, within: Duration) -> bool {
        let limit = within.saturating_sub(FRESHNESS_MARGIN);
        self.age(now).is_some_and(|age| age < limit)
    }
}
