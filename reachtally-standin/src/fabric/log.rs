//! The simulated log: claim records, configuration operations and failure domain records.

use std::collections::BTreeSet;
use std::time::Duration;

use reachtally_core::claim::ClaimRecord;
use reachtally_core::declare::{Kind, Object};
use reachtally_core::event::Read;
use reachtally_core::fold::{Config, Operation};
use reachtally_core::lease::DomainRecord;

/// Read positions of a daemon in each stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Offsets {
    config: usize,
    claims: usize,
    domains: usize,
}

/// Unread records of each stream: configuration, claims and failure domains.
pub(super) type Unread = (
    Vec<Read<Operation>>,
    Vec<Read<ClaimRecord>>,
    Vec<Read<DomainRecord>>,
);

/// A log with streams of operations, claims and failure domain records.
#[derive(Debug, Default)]
pub struct FakeLog {
    /// Whether the log is down: appends fail and reads return nothing.
    pub down: bool,
    /// Daemons that are partitioned from the log.
    pub cut: BTreeSet<usize>,
    /// Number of next appends that are applied but whose response is lost.
    pub lose_answers: u32,
    /// Number of next appends that are neither applied nor confirmed.
    pub lose_appends: u32,
    /// Delay added to every append.
    pub delay: Duration,
    /// Appended claim records.
    pub claims: Vec<Read<ClaimRecord>>,
    /// Configuration snapshots written by daemons.
    pub snapshots: Vec<Config>,
    /// Appended failure domain records.
    pub domains: Vec<Read<DomainRecord>>,
    operations: Vec<Read<Operation>>,
    folded: Config,
}

impl FakeLog {
    /// Returns the configuration that results from the operations.
    pub fn folded(&self) -> &Config {
        &self.folded
    }

    /// Returns the boxes of the declared engines.
    pub(super) fn engine_boxes(&self) -> impl Iterator<Item = String> {
        let engines = self.folded.of(Kind::Engine);
        engines.filter_map(|(_, entry)| match &entry.object {
            Object::Engine(engine) => Some(engine.box_name.clone()),
            _ => None,
        })
    }

    pub(super) fn publish(&mut self, operation: Operation) {
        let offset = self.operations.len() as u64;
        self.folded
            .fold(offset, &operation)
            .expect("offsets are consecutive");
        self.operations.push(Read {
            offset,
            at_ms: 0,
            record: operation,
        });
    }

    /// Appends a claim record. Returns whether the daemon receives a confirmation.
    pub(super) fn append(&mut self, daemon: usize, at_ms: u64, record: ClaimRecord) -> bool {
        if self.down || self.cut.contains(&daemon) {
            return false;
        }
        if self.lose_appends > 0 {
            self.lose_appends -= 1;
            return false;
        }
        let offset = self.claims.len() as u64;
        self.claims.push(Read {
            offset,
            at_ms,
            record,
        });
        let response_lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        !response_lost
    }

    pub(super) fn append_domain(&mut self, daemon: usize, at_ms: u64, record: DomainRecord) {
        if self.down || self.cut.contains(&daemon) {
            return;
        }
        let offset = self.domains.len() as u64;
        self.domains.push(Read {
            offset,
            at_ms,
            record,
        });
    }

    pub(super) fn unread(&self, read: &mut Offsets) -> Unread {
        let config = self.operations[read.config..].to_vec();
        let claims = self.claims[read.claims..].to_vec();
        read.config = self.operations.len();
        let domains = self.domains[read.domains..].to_vec();
        read.claims = self.claims.len();
        read.domains = self.domains.len();
        (config, claims, domains)
    }
}
