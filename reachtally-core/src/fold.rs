//! The declared configuration as a deterministic fold of the log's configuration stream.
//!
//! Every daemon folds the same records in the same order and so reaches the same verdict on each:
//! an operation id seen before has no effect, and an operation made against an outdated revision of
//! its object is a conflict. The offset reached only grows; a gap in offsets is an error, since a
//! record that retention dropped before it was read can't be skipped safely.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::declare::{Adapter, Kind, Model, Object};

/// An operation that an operator publishes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// Identity of the operation; publishing it twice is the same operation.
    pub id: String,
    /// Who published it.
    pub actor: String,
    /// The changes, taken together or not at all.
    pub edits: Vec<Edit>,
}

/// A change of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Kind of the object changed.
    pub kind: Kind,
    /// Name of the object changed.
    pub name: String,
    /// The revision it was made against, 0 for an object that should not exist yet.
    pub base: u64,
    /// What is done to the object.
    pub change: EditChange,
}

/// What an [`Edit`] does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EditChange {
    /// Put the object as given.
    Put(Object),
    /// Give a target no new work (`true`), or give it work again (`false`).
    Drain(bool),
    /// Drain a target and stop it once nothing runs there (`true`), or take that back (`false`).
    Stop(bool),
    /// Remove the object.
    Remove,
}

/// An object in force with the offset that last changed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Offset plus one of the record that last changed the object, so never 0.
    pub revision: u64,
    /// The object.
    pub object: Object,
    /// Whether an operator has drained it.
    pub drained: bool,
    /// Whether an operator wants it stopped; it is drained then, too.
    #[serde(default)]
    pub stopped: bool,
}

/// What a name stands for that callers give as the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Served<'a> {
    /// The model that runs.
    pub model: &'a Model,
    /// The adapter, if the name is one.
    pub adapter: Option<&'a Adapter>,
}

/// The verdict on one operation, the same in every daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It changed the configuration.
    Applied,
    /// Its id was seen before; no effect.
    Duplicate,
    /// An object had another revision than the operation was made against; no effect.
    Conflict {
        /// Kind of the object in conflict.
        kind: Kind,
        /// Name of the object in conflict.
        name: String,
        /// The revision the operation was made against.
        base: u64,
        /// The revision in force.
        current: u64,
    },
}

/// Why a record could not be folded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoldError {
    /// Offsets between `expected` and `found` were lost.
    Gap {
        /// The next offset due.
        expected: u64,
        /// The offset found.
        found: u64,
    },
}

impl std::fmt::Display for FoldError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FoldError::Gap { expected, found } => {
                write!(f, "configuration records {expected}..{found} are missing")
            }
        }
    }
}

impl std::error::Error for FoldError {}

/// Operation ids remembered for telling a repeated publication.
const REMEMBERED_OPERATIONS: usize = 4096;

/// The configuration in force at one offset.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Config {
    next: u64,
    entries: BTreeMap<Kind, BTreeMap<String, Entry>>,
    operations: BTreeMap<String, u64>,
}

impl Config {
    /// The next offset due, which is the number of records folded. It only grows.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The entry of an object, if it exists.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Entry> {
        self.entries.get(&kind)?.get(name)
    }

    /// All entries of one kind, by name.
    pub fn of(&self, kind: Kind) -> impl Iterator<Item = (&str, &Entry)> {
        self.entries
            .get(&kind)
            .into_iter()
            .flatten()
            .map(|(name, entry)| (name.as_str(), entry))
    }

    /// The model that callers reach under `name`, and the adapter if `name` is one.
    pub fn served<'a>(&'a self, name: &'a str) -> Option<Served<'a>> {
        let adapter = match self.get(Kind::Adapter, name).map(|entry| &entry.object) {
            Some(Object::Adapter(adapter)) => Some(adapter),
            _ => None,
        };
        let model = adapter.map_or(name, |adapter| adapter.model.as_str());
        match self.get(Kind::Model, model).map(|entry| &entry.object) {
            Some(Object::Model(model)) => Some(Served { model, adapter }),
            _ => None,
        }
    }

    /// The revision of an object, 0 if it does not exist.
    pub fn revision(&self, kind: Kind, name: &str) -> u64 {
        self.get(kind, name).map_or(0, |entry| entry.revision)
    }

    /// The edits that put `objects` in place of what is in force. Objects that are the same already
    /// are left out, so applying twice changes nothing.
    pub fn edits(&self, objects: Vec<Object>) -> Vec<Edit> {
        let changed = objects.into_iter().filter(|object| {
            let entry = self.get(object.kind(), object.name());
            entry.is_none_or(|entry| entry.object != *object)
        });
        changed.map(|object| self.put(object)).collect()
    }

    fn put(&self, object: Object) -> Edit {
        Edit {
            kind: object.kind(),
            name: object.name().to_owned(),
            base: self.revision(object.kind(), object.name()),
            change: EditChange::Put(object),
        }
    }

    /// Fold the operation at `offset`. A record before [`next`](Self::next) was folded already and
    /// yields `Ok(None)`.
    ///
    /// # Errors
    /// [`FoldError::Gap`] if records before `offset` have not been folded.
    pub fn fold(&mut self, offset: u64, op: &Operation) -> Result<Option<Verdict>, FoldError> {
        if offset < self.next {
            return Ok(None);
        }
        if offset > self.next {
            return Err(FoldError::Gap {
                expected: self.next,
                found: offset,
            });
        }
        self.next = offset + 1;
        Ok(Some(self.apply(offset, op)))
    }

    /// Take over a configuration that a snapshot or a peer offers, if it has folded more records.
    /// Returns whether it was taken over. The offset never goes back.
    pub fn adopt(&mut self, offered: Config) -> bool {
        if offered.next <= self.next {
            return false;
        }
        *self = offered;
        true
    }

    fn apply(&mut self, offset: u64, op: &Operation) -> Verdict {
        if self.operations.contains_key(&op.id) {
            return Verdict::Duplicate;
        }
        self.remember(offset, &op.id);
        if let Some(conflict) = op.edits.iter().find_map(|edit| self.conflict(edit)) {
            return conflict;
        }
        for edit in &op.edits {
            self.change(offset + 1, edit);
        }
        Verdict::Applied
    }

    fn conflict(&self, edit: &Edit) -> Option<Verdict> {
        let current = self.revision(edit.kind, &edit.name);
        (current != edit.base).then(|| Verdict::Conflict {
            kind: edit.kind,
            name: edit.name.clone(),
            base: edit.base,
            current,
        })
    }

    fn change(&mut self, revision: u64, edit: &Edit) {
        let entries = self.entries.entry(edit.kind).or_default();
        match &edit.change {
            EditChange::Put(object) => {
                let before = entries.get(&edit.name);
                let entry = Entry {
                    revision,
                    object: object.clone(),
                    drained: before.is_some_and(|entry| entry.drained),
                    stopped: before.is_some_and(|entry| entry.stopped),
                };
                entries.insert(edit.name.clone(), entry);
            }
            EditChange::Drain(drained) => {
                if let Some(entry) = entries.get_mut(&edit.name) {
                    entry.drained = *drained;
                    entry.revision = revision;
                }
            }
            EditChange::Stop(stopped) => {
                if let Some(entry) = entries.get_mut(&edit.name) {
                    entry.drained = *stopped;
                    entry.stopped = *stopped;
                    entry.revision = revision;
                }
            }
            EditChange::Remove => {
                entries.remove(&edit.name);
            }
        }
    }

    fn remember(&mut self, offset: u64, id: &str) {
        self.operations.insert(id.to_owned(), offset);
        if self.operations.len() <= REMEMBERED_OPERATIONS {
            return;
        }
        let oldest = self
            .operations
            .iter()
            .min_by_key(|(_, offset)| **offset)
            .map(|(id, _)| id.clone());
        if let Some(id) = oldest {
            self.operations.remove(&id);
        }
    }
}
