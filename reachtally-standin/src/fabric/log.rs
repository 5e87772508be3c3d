//! The log on the virtual clock: claim records and configuration operations.

use std::collections::BTreeSet;
use std::time::Duration;

use reachtally_core::claim::ClaimRecord;
use reachtally_core::declare::{Kind, Object};
use reachtally_core::event::Read;
use reachtally_core::fold::{Config, Operation};
use reachtally_core::lease::DomainRecord;

/// How far a daemon has read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Offsets {
    config: usize,
    claims: usize,
    domains: usize,
}

/// What a daemon has not read yet of each stream.
pub(super) type Unread = (
    Vec<Read<Operation>>,
    Vec<Read<ClaimRecord>>,
    Vec<Read<DomainRecord>>,
);

/// A log with a stream of operations and one of claims.
#[derive(Debug, Default)]
pub struct FakeLog {
    /// It takes and shows nothing.
    pub down: bool,
    /// Daemons that don't reach it.
    pub cut: BTreeSet<usize>,
    /// So many appends take effect but their answer is lost.
    pub lose_answers: u32,
    /// So many appends have no effect, and their answer is lost.
    pub lose_appends: u32,
    /// Delay of every append.
    pub delay: Duration,
    /// Claim records taken.
    pub claims: Vec<Read<ClaimRecord>>,
    /// Snapshots of the configuration.
    pub snapshots: Vec<Config>,
    /// Records of the failure domains.
    pub domains: Vec<Read<DomainRecord>>,
    operations: Vec<Read<Operation>>,
    folded: Config,
}

impl FakeLog {
    /// The configuration it holds.
    pub fn folded(&self) -> &Config {
        &self.folded
    }

    /// The boxes of the engines declared.
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
            .expect("offsets follow each other");
        self.operations.push(Read {
            offset,
            at_ms: 0,
            record: operation,
        });
    }

    /// Take a record; whether the daemon is told so.
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
        let lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        !lost
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
