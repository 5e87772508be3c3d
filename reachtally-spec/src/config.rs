//! The configuration fold of one box that reads records late, again and out of order.
//!
//! Promises: the offset in force never goes back, no record is skipped, and equal offsets mean equal
//! configurations.

use reachtally_core::declare::{Kind, Model as DeclaredModel, Object};
use reachtally_core::fold::{Config as Folded, Edit, EditChange, Operation};

use crate::Model;

/// A rule broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// A box takes over an older configuration that a peer offers.
    OffsetMayGoBack,
    /// A record is folded although records before it are missing.
    GapSkipped,
}

/// Records in the log.
const RECORDS: u64 = 5;

/// What may happen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The box is handed the record at this offset.
    Read(u64),
    /// A peer offers its whole configuration, which has this offset.
    Offer(u64),
}

/// The model.
pub struct Config {
    in_force: Folded,
    highest: u64,
    broken: Option<Broken>,
}

impl Config {
    /// The model's first state.
    pub fn new(broken: Option<Broken>) -> Self {
        Config {
            in_force: Folded::default(),
            highest: 0,
            broken,
        }
    }
}

/// The operations in the log: two that race for a revision, one published twice.
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

fn prefix(next: u64) -> Folded {
    let mut config = Folded::default();
    for offset in 0..next {
        // Offsets follow each other here, so none is refused.
        config.fold(offset, &operation(offset)).ok();
    }
    config
}

impl Model for Config {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let reads = (0..RECORDS).map(Action::Read);
        let offers = (0..=RECORDS).map(Action::Offer);
        reads.chain(offers).collect()
    }

    fn apply(&mut self, action: &Action) {
        self.highest = self.highest.max(self.in_force.next());
        match *action {
            Action::Read(offset) => {
                let read_as = match self.broken {
                    Some(Broken::GapSkipped) => self.in_force.next(),
                    _ => offset,
                };
                // A gap is refused and the record read again later.
                self.in_force.fold(read_as, &operation(offset)).ok();
            }
            Action::Offer(next) => {
                let offered = prefix(next);
                if self.broken == Some(Broken::OffsetMayGoBack) {
                    self.in_force = offered;
                } else {
                    self.in_force.adopt(offered);
                }
            }
        }
    }

    fn fingerprint(&self) -> String {
        format!("{:?}{}", self.in_force, self.highest)
    }

    fn violation(&self) -> Option<String> {
        let next = self.in_force.next();
        if next < self.highest {
            return Some(format!(
                "the offset went back from {} to {next}",
                self.highest
            ));
        }
        let other = next <= RECORDS && self.in_force != prefix(next);
        other.then(|| format!("the configuration at offset {next} is not that of the log"))
    }
}
