//! Logging of the loss and recovery of dependencies.

use reachtally_core::Instant;

use crate::relay::Relay;
use crate::store::StoreError;

/// Logs the loss and the recovery of a dependency once each.
pub(crate) struct Dependency {
    name: &'static str,
    lost_at: Option<Instant>,
}

impl Dependency {
    pub(crate) fn new(name: &'static str) -> Self {
        Dependency {
            name,
            lost_at: None,
        }
    }

    pub(crate) fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    pub(crate) fn record_loss(&mut self, relay: &Relay, why: &StoreError) {
        relay.count(|tally| tally.store_reads_failed += 1);
        let now = relay.now();
        if self.lost_at.is_none() {
            log::warn!(event = "lost-dependency", dependency = self.name, why:% = why; "lost a dependency; retrying");
            self.lost_at = Some(now);
        }
    }

    pub(crate) fn record_recovery(&mut self, now: Instant) -> bool {
        let Some(at) = self.lost_at.take() else {
            return false;
        };
        log::info!(event = "regained", dependency = self.name, away_ms = now.since(at).as_millis() as u64; "dependency recovered");
        true
    }
}
