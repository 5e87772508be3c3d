//! The steward's lease of a failure domain, and what the domain has confirmed.
//!
//! Both are folds of one stream of the log. A lease is taken by appending; it is valid if the one
//! before ended by the log's own clock, or is the same holder's. Its fence is the record's offset. A
//! holder counts its lease from before it sent the append, by its own monotonic clock and less a
//! margin, so it stops before anybody else can start.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;
use crate::time::Instant;

/// How long a lease lasts.
pub const LEASE: Duration = Duration::from_secs(10);
/// What a holder takes off for clocks that run at different rates.
pub const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// Time between two renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// One record of the stream of failure domains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DomainRecord {
    /// Take or renew the lease.
    Lease {
        /// The failure domain.
        domain: String,
        /// The daemon run that takes it.
        holder: Incarnation,
        /// Numbers the appends of this run, so that it knows when each was sent.
        seq: u64,
    },
    /// Every live box of the domain serves by this configuration offset.
    Confirm {
        /// The failure domain.
        domain: String,
        /// The steward that says so.
        holder: Incarnation,
        /// The offset.
        config_next: u64,
    },
}

/// A lease as the log has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The daemon run that holds it.
    pub holder: Incarnation,
    /// Offset of the record by which this holder first took it.
    pub fence: u64,
    /// When the log took the last renewal, in milliseconds of the log's clock.
    pub at_ms: u64,
}

/// What the log says of one failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DomainState {
    /// The lease last taken.
    pub lease: Option<Lease>,
    /// The configuration offset that every live box of the domain has confirmed.
    pub confirmed: u64,
}

/// The fold of the stream.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Domains {
    by_name: BTreeMap<String, DomainState>,
}

impl Domains {
    /// What the log says of a domain.
    pub fn get(&self, domain: &str) -> DomainState {
        self.by_name.get(domain).copied().unwrap_or_default()
    }

    /// Every domain that was ever mentioned.
    pub fn iter(&self) -> impl Iterator<Item = (&str, DomainState)> {
        self.by_name
            .iter()
            .map(|(name, state)| (name.as_str(), *state))
    }

    /// Fold the record at `offset`, which the log took at `at_ms`.
    pub fn fold(&mut self, offset: u64, at_ms: u64, record: &DomainRecord) {
        match record {
            DomainRecord::Lease { domain, holder, .. } => {
                self.lease(offset, at_ms, domain, *holder)
            }
            DomainRecord::Confirm {
                domain,
                holder,
                config_next,
            } => self.confirm(domain, *holder, *config_next),
        }
    }

    fn lease(&mut self, offset: u64, at_ms: u64, domain: &str, holder: Incarnation) {
        let state = self.by_name.entry(domain.to_owned()).or_default();
        let lasts = LEASE.as_millis() as u64;
        state.lease = match state.lease {
            Some(lease) if lease.holder == holder && at_ms < lease.at_ms + lasts => {
                Some(Lease { at_ms, ..lease })
            }
            Some(lease) if at_ms < lease.at_ms + lasts => Some(lease),
            _ => Some(Lease {
                holder,
                fence: offset,
                at_ms,
            }),
        };
    }

    /// Only the holder's word counts, and a confirmed offset never goes back.
    fn confirm(&mut self, domain: &str, holder: Incarnation, config_next: u64) {
        let state = self.by_name.entry(domain.to_owned()).or_default();
        if state.lease.is_some_and(|lease| lease.holder == holder) {
            state.confirmed = state.confirmed.max(config_next);
        }
    }
}

/// A daemon's own view of its domain's lease.
#[derive(Debug, Clone, Default)]
pub struct Tenure {
    /// Number of the last append of the lease and when it was sent.
    pub sent: Option<(u64, Instant)>,
    /// Until when this daemon may act as the steward.
    pub held_until: Option<Instant>,
    /// When somebody's lease was last seen taken or renewed.
    pub seen_at: Option<Instant>,
    /// Whether an append is outstanding.
    pub in_flight: bool,
    /// When to append next at the earliest.
    pub next_at: Instant,
}

impl Tenure {
    /// Whether this daemon is the steward, with `margin` to spare.
    pub fn is_held(&self, now: Instant, margin: Duration) -> bool {
        self.held_until.is_some_and(|until| now + margin < until)
    }
}
