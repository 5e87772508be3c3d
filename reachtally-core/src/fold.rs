//! The declared configuration, computed as a deterministic fold of the log's configuration stream.
//!
//! Every daemon folds the same records in the same order and therefore reaches the same verdict on
//! each: an operation id seen before has no effect, and an operation based on an outdated revision
//! of its object is a conflict. The offset never decreases. A gap in offsets is an error, since
//! records that retention removed before they were read cannot be skipped safely.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::declare::{Adapter, Kind, Model, Object};

/// An operation published by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// Unique id; publishing the same id twice has no further effect.
    pub id: String,
    /// The operator who published the operation.
    pub actor: String,
    /// The edits, which apply atomically.
    pub edits: Vec<Edit>,
}

/// A change of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Kind of the edited object.
    pub kind: Kind,
    /// Name of the edited object.
    pub name: String,
    /// The revision the edit is based on, or 0 if the object must not exist yet.
    pub base: u64,
    /// The change to the object.
    pub change: EditChange,
}

/// The change made by an [`Edit`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EditChange {
    /// Create or replace the object.
    Put(Object),
    /// Stop sending new work to a target (`true`), or resume (`false`).
    Drain(bool),
    /// Drain a target and stop it once it is idle (`true`), or revert that (`false`).
    Stop(bool),
    /// Remove the object.
    Remove,
}

/// A declared object with its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Offset of the record that last changed the object, plus one, so never 0.
    pub revision: u64,
    /// The object.
    pub object: Object,
    /// Whether an operator drained the object.
    pub drained: bool,
    /// Whether an operator stopped the object, which implies that it is drained.
    #[serde(default)]
    pub stopped: bool,
}

/// The model and adapter that a model name used by callers resolves to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResolvedModel<'a> {
    /// The model.
    pub model: &'a Model,
    /// The adapter, if the name is that of an adapter.
    pub adapter: Option<&'a Adapter>,
}

/// The result of folding one operation, which is the same on every daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The configuration was changed.
    Applied,
    /// The operation id was seen before; no effect.
    Duplicate,
    /// The current revision of an object differs from the base revision of the edit; no effect.
    Conflict {
        /// Kind of the object in conflict.
        kind: Kind,
        /// Name of the object in conflict.
        name: String,
        /// The revision the edit was based on.
        base: u64,
        /// The current revision.
        current: u64,
    },
}

/// Error returned when a record cannot be folded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoldError {
    /// The records between `expected` and `found` are missing.
    Gap {
        /// The next expected offset.
        expected: u64,
        /// The offset found instead.
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

/// Number of operation ids remembered to detect duplicates.
const REMEMBERED_OPERATIONS: usize = 4096;

/// The configuration at one offset of the stream.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Config {
    next: u64,
    entries: BTreeMap<Kind, BTreeMap<String, Entry>>,
    operations: BTreeMap<String, u64>,
}

impl Config {
    /// The next expected offset, which equals the number of records folded. Never decreases.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Return the entry of an object, if it exists.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Entry> {
        self.entries.get(&kind)?.get(name)
    }

    /// Iterate over all entries of one kind by name.
    pub fn of(&self, kind: Kind) -> impl Iterator<Item = (&str, &Entry)> {
        self.entries
            .get(&kind)
            .into_iter()
            .flatten()
            .map(|(name, entry)| (name.as_str(), entry))
    }

    /// Resolve the name under which callers request a model. The name is either that of a model or
    /// of an adapter.
    pub fn served<'a>(&'a self, name: &'a str) -> Option<ResolvedModel<'a>> {
        let adapter = match self.get(Kind::Adapter, name).map(|entry| &entry.object) {
            Some(Object::Adapter(adapter)) => Some(adapter),
            _ => None,
        };
        let model = adapter.map_or(name, |adapter| adapter.model.as_str());
        match self.get(Kind::Model, model).map(|entry| &entry.object) {
            Some(Object::Model(model)) => Some(ResolvedModel { model, adapter }),
            _ => None,
        }
    }

    /// Return the revision of an object, or 0 if it does not exist.
    pub fn revision(&self, kind: Kind, name: &str) -> u64 {
        self.get(kind, name).map_or(0, |entry| entry.revision)
    }

    /// Return the edits that change the current configuration to contain `objects`. Unchanged
    /// objects are omitted, so applying the same objects twice has no effect.
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

    /// Fold the operation at `offset`. Returns `Ok(None)` for a record before [`next`](Self::next),
    /// which was folded already.
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

    /// Replace the configuration with one offered by a snapshot or a peer if that one has folded
    /// more records. Returns whether it was replaced. The offset never decreases.
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
        self.record_operation(offset, &op.id);
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

    fn record_operation(&mut self, offset: u64, id: &str) {
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
