//! Responses of an entry box to operators.

use serde::{Deserialize, Serialize};

use crate::Table;

/// The result of a configuration change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The id of the operation.
    pub operation: String,
    /// Number of changed objects. If it is 0, nothing was published.
    pub changes: usize,
    /// Offset of the published record in the configuration stream.
    pub offset: Option<u64>,
    /// Whether the entry box has applied the record.
    pub folded: bool,
}

/// The response to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandResponse {
    /// The result of a query.
    Table(Table),
    /// The result of a configuration change.
    Published(Published),
}

/// The response to a request that failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The error message: a sentence, or several lines that mark a position in the command.
    pub message: String,
}
