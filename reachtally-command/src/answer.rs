//! What an entry box answers to operators.

use serde::{Deserialize, Serialize};

use crate::Table;

/// What a change of the configuration came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The operation's identity.
    pub operation: String,
    /// Objects changed; nothing was published where this is 0.
    pub changes: usize,
    /// The record's offset in the configuration stream.
    pub offset: Option<u64>,
    /// Whether the entry box has folded it.
    pub folded: bool,
}

/// The answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandAnswer {
    /// A table.
    Table(Table),
    /// A change of the configuration.
    Published(Published),
}

/// What went wrong.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A sentence, or several lines that point at a word.
    pub message: String,
}
