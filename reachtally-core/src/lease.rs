//! The steward's lease of a failure domain, and the configuration offset confirmed by the domain.
//!
//! Both are folded from one stream of the log. A lease is acquired by appending a record. The
//! record is valid if the previous lease had expired by the clock of the log, or if it has the same
//! holder. Its fence is the offset of that record. The holder counts its lease from before it sent
//! the append, by its own monotonic clock and minus a margin, so it stops acting before another
//! daemon can acquire the lease.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;
use crate::time::Instant;

/// Duration of a lease.
pub const LEASE: Duration = Duration::from_secs(10);
/// Safety margin subtracted by the holder to allow for clock drift.
pub const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// Time between two renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// One record of the failure domain stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DomainRecord {
    /// Acquire or renew the lease.
    Lease {
        /// The failure domain.
        domain: String,
        /// The daemon run that acquires the lease.
        holder: Incarnation,
        /// Sequence number of the append within this run, used to look up when it was sent.
        seq: u64,
    },
    /// Every live box of the domain serves this configuration offset.
    Confirm {
        /// The failure domain.
        domain: String,
        /// The steward that confirms the offset.
        holder: Incarnation,
        /// The confirmed offset.
        config_next: u64,
    },
}

/// A lease as recorded in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The daemon run that holds the lease.
    pub holder: Incarnation,
    /// Offset of the record with which this holder acquired the lease.
    pub fence: u64,
    /// Time of the last renewal, in milliseconds of the log's clock.
    pub at_ms: u64,
}

/// The recorded state of one failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DomainState {
    /// The most recently acquired lease.
    pub lease: Option<Lease>,
    /// The configuration offset confirmed for every live box of the domain.
    pub confirmed: u64,
}

/// The folded stream of failure domain records.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Domains {
    by_name: BTreeMap<String, DomainState>,
}

impl Domains {
    /// Return the state of a domain.
    pub fn get(&self, domain: &str) -> DomainState {
        self.by_name.get(domain).copied().unwrap_or_default()
    }

    /// Iterate over every domain that has a record.
    pub fn iter(&self) -> impl Iterator<Item = (&str, DomainState)> {
        self.by_name
            .iter()
            .map(|(name, state)| (name.as_str(), *state))
    }

    /// Fold the record at `offset`, which was appended at `at_ms`.
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

    /// Only confirmations by the lease holder count, and the confirmed offset never decreases.
    fn confirm(&mut self, domain: &str, holder: Incarnation, config_next: u64) {
        let state = self.by_name.entry(domain.to_owned()).or_default();
        if state.lease.is_some_and(|lease| lease.holder == holder) {
            state.confirmed = state.confirmed.max(config_next);
        }
    }
}

/// This daemon's view of the lease of its domain.
#[derive(Debug, Clone, Default)]
pub struct LocalLease {
    /// Sequence number of the last lease append and when it was sent.
    pub sent: Option<(u64, Instant)>,
    /// Time until which this daemon may act as the steward.
    pub held_until: Option<Instant>,
    /// When any daemon's acquisition or renewal was last observed.
    pub seen_at: Option<Instant>,
    /// Whether a lease append is outstanding.
    pub in_flight: bool,
    /// Earliest time of the next append.
    pub next_at: Instant,
}

impl LocalLease {
    /// Whether this daemon holds the lease for at least `margin` longer.
    pub fn is_held(&self, now: Instant, margin: Duration) -> bool {
        self.held_until.is_some_and(|until| now + margin < until)
    }
}
