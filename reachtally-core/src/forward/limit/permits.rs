//! Permits held by a box.

use super::PERMIT_TTL;
use crate::time::Instant;

/// Upper bound on the permits held for one target; a grant beyond it is an error of the sender.
const MAX_HELD: usize = 256;

/// The permits that a box holds for one target. Each allows one send until it expires.
#[derive(Debug, Clone, Default)]
pub struct Permits {
    /// Expiry times, earliest first.
    expiries: Vec<Instant>,
}

impl Permits {
    /// Adds `count` permits issued at `now`.
    pub fn add(&mut self, count: u32, now: Instant) {
        self.drop_expired(now);
        let room = MAX_HELD.saturating_sub(self.expiries.len());
        let count = (count as usize).min(room);
        self.expiries
            .extend(std::iter::repeat_n(now + PERMIT_TTL, count));
    }

    /// Returns the number of permits that are still valid.
    pub fn held(&self, now: Instant) -> u32 {
        self.expiries.iter().filter(|expiry| now < **expiry).count() as u32
    }

    /// Whether a send is permitted now.
    pub fn has(&self, now: Instant) -> bool {
        self.expiries.last().is_some_and(|expiry| now < *expiry)
    }

    /// Consumes the permit that expires first. Returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        self.drop_expired(now);
        if self.expiries.is_empty() {
            return false;
        }
        self.expiries.remove(0);
        true
    }

    fn drop_expired(&mut self, now: Instant) {
        self.expiries.retain(|expiry| now < *expiry);
    }
}
