//! The shares that a box enforces.

use std::collections::HashMap;
use std::sync::Arc;

use super::{AccountShares, SHARE_TTL, Standing};
use crate::forward::quarantine::AccountDigest;
use crate::time::Instant;

/// The shares of one service, as received from a collector.
#[derive(Debug)]
struct ServiceShares {
    /// Number of the load report that was answered.
    number: u64,
    received_at: Instant,
    /// Accounts above the share, with the fraction of their requests within it.
    fractions: HashMap<AccountDigest, f64>,
}

impl ServiceShares {
    fn is_valid(&self, now: Instant) -> bool {
        now.since(self.received_at) < SHARE_TTL
    }
}

/// The shares received by a box.
#[derive(Debug, Default)]
pub struct EnforcedShares(HashMap<Arc<str>, ServiceShares>);

impl EnforcedShares {
    /// Updates the shares, ignoring services for which a more recent answer is known.
    pub fn update(&mut self, shares: AccountShares, now: Instant) {
        self.remove_expired(now);
        for answer in shares.services {
            let known = self.0.get(&answer.service);
            if known.is_some_and(|known| known.number >= shares.number) {
                continue;
            }
            let each = answer.accounts.iter();
            let fractions = each.map(|each| (each.account, each.fraction));
            let state = ServiceShares {
                number: shares.number,
                received_at: now,
                fractions: fractions.collect(),
            };
            self.0.insert(answer.service, state);
        }
    }

    /// Whether a collector reported that a service is contended at any box.
    pub fn is_contended(&self, service: &str, now: Instant) -> bool {
        let known = self.0.get(service);
        known.is_some_and(|known| known.is_valid(now))
    }

    /// Returns whether a request of `account` for `service` is within the account's share; `draw`
    /// is a uniformly distributed number of the request.
    pub fn standing(
        &self,
        service: &str,
        account: AccountDigest,
        draw: u64,
        now: Instant,
    ) -> Standing {
        let known = self.0.get(service).filter(|known| known.is_valid(now));
        match known.and_then(|known| known.fractions.get(&account)) {
            Some(fraction) if position(draw) >= *fraction => Standing::Beyond,
            _ => Standing::Within,
        }
    }

    /// Returns the number of accounts above their share, summed over services.
    pub fn accounts_above_share(&self, now: Instant) -> usize {
        let valid = self.0.values().filter(|state| state.is_valid(now));
        valid.map(|state| state.fractions.len()).sum()
    }

    fn remove_expired(&mut self, now: Instant) {
        self.0.retain(|_, state| state.is_valid(now));
    }
}

/// Maps a random number to `[0, 1)`, independently of its low bits, which select the service.
fn position(draw: u64) -> f64 {
    let mixed = draw.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}
