//! The shares that a box applies.

use std::collections::HashMap;
use std::sync::Arc;

use super::{AccountShares, SHARE_LIFE, Standing};
use crate::forward::quarantine::AccountDigest;
use crate::time::Instant;

/// What a collector answered for one service.
#[derive(Debug)]
struct ServiceState {
    /// Number of the report that was answered.
    number: u64,
    received_at: Instant,
    /// Accounts above the share, with the fraction of their requests that is within it.
    fractions: HashMap<AccountDigest, f64>,
}

impl ServiceState {
    fn is_valid(&self, now: Instant) -> bool {
        now.since(self.received_at) < SHARE_LIFE
    }
}

/// The shares that a box was told.
#[derive(Debug, Default)]
pub struct Believed(HashMap<Arc<str>, ServiceState>);

impl Believed {
    /// Updates the shares; those of an earlier answer than the one known are left out.
    pub fn update(&mut self, shares: AccountShares, now: Instant) {
        self.remove_expired(now);
        for told in shares.services {
            let known = self.0.get(&told.service);
            if known.is_some_and(|known| known.number >= shares.number) {
                continue;
            }
            let each = told.accounts.iter();
            let fractions = each.map(|each| (each.account, each.fraction));
            let state = ServiceState {
                number: shares.number,
                received_at: now,
                fractions: fractions.collect(),
            };
            self.0.insert(told.service, state);
        }
    }

    /// Whether a service is contended at some box, as told.
    pub fn is_contended(&self, service: &str, now: Instant) -> bool {
        let known = self.0.get(service);
        known.is_some_and(|known| known.is_valid(now))
    }

    /// Whether a request of `account` for `service` is within the account's share; `draw` is a well-spread number of the request.
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

    /// Number of accounts above their share, summed over services.
    pub fn accounts_beyond(&self, now: Instant) -> usize {
        let valid = self.0.values().filter(|state| state.is_valid(now));
        valid.map(|state| state.fractions.len()).sum()
    }

    fn remove_expired(&mut self, now: Instant) {
        self.0.retain(|_, state| state.is_valid(now));
    }
}

/// Maps a draw to `[0, 1)`, independently of its low bits, which choose the service.
fn position(draw: u64) -> f64 {
    let mixed = draw.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}
