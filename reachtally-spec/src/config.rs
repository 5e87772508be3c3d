//! The configuration of one box that reads log records late, repeatedly and out of order.
//!
//! Invariants: the offset of the active configuration never decreases, no record is skipped, and
//! equal offsets imply equal configurations.

use reachtally_core::declare::{Kind, Model as DeclaredModel, Object};
use reachtally_core::fold::{Config as FoldedConfig, Edit, EditChange, Operation};

use crate::Model;

/// A protocol rule that the model violates deliberately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// A box adopts an older configuration offered by a peer.
    OffsetDecreases,
    /// A record is folded although earlier records are missing.
    GapSkipped,
}

/// Number of records in the log.
const RECORD_COUNT: u64 = 5;

/// A transition of the model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The box reads the record at this offset.
    Read(u64),
    /// A peer offers its complete configuration, which is at this offset.
    Offer(u64),
}

/// The model state.
pub struct Config {
    active: FoldedConfig,
    highest_offset: u64,
    mutation: Option<Mutation>,
}

impl Config {
    /// Returns the initial state.
    pub fn new(mutation: Option<Mutation>) -> Self {
        Config {
            active: FoldedConfig::default(),
            highest_offset: 0,
            mutation,
        }
    }
}

/// Returns the operation at `offset`. Two operations conflict on a revision, and one is published
/// twice.
fn operation(offset: u64) -> Operation {
    let (id, base) = match offset {
        0 => ("a", 0),
        1 => ("b", 1),
        2 => ("c", 1),
        3 => ("b", 1),
        _ => ("d", 2),
    };
    Operation {
        id: id.to_owned(),
        actor: "spec".to_owned(),
        edits: vec![Edit {
            kind: Kind::Model,
            name: "m".to_owned(),
            base,
            change: EditChange::Put(Object::Model(DeclaredModel {
                name: "m".to_owned(),
                layers: offset as u32 + 1,
            })),
        }],
    }
}

fn folded_prefix(next: u64) -> FoldedConfig {
    let mut config = FoldedConfig::default();
    for offset in 0..next {
        // The offsets are consecutive, so no record is rejected.
        config.fold(offset, &operation(offset)).ok();
    }
    config
}

impl Model for Config {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let reads = (0..RECORD_COUNT).map(Action::Read);
        let offers = (0..=RECORD_COUNT).map(Action::Offer);
        reads.chain(offers).collect()
    }

    fn apply(&mut self, action: &Action) {
        self.highest_offset = self.highest_offset.max(self.active.next());
        match *action {
            Action::Read(offset) => {
                let fold_offset = match self.mutation {
                    Some(Mutation::GapSkipped) => self.active.next(),
                    _ => offset,
                };
                // A record after a gap is rejected and read again later.
                self.active.fold(fold_offset, &operation(offset)).ok();
            }
            Action::Offer(next) => {
                let offered = folded_prefix(next);
                if self.mutation == Some(Mutation::OffsetDecreases) {
                    self.active = offered;
                } else {
                    self.active.adopt(offered);
                }
            }
        }
    }

    fn fingerprint(&self) -> String {
        format!("{:?}{}", self.active, self.highest_offset)
    }

    fn violation(&self) -> Option<String> {
        let next = self.active.next();
        if next < self.highest_offset {
            return Some(format!(
                "the offset decreased from {} to {next}",
                self.highest_offset
            ));
        }
        let differs = next <= RECORD_COUNT && self.active != folded_prefix(next);
        differs.then(|| format!("the configuration at offset {next} differs from that of the log"))
    }
}
