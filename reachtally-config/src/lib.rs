//! Parses a daemon's YAML settings and the declarations of what it serves.
//!
//! Parsing checks the whole file and reports every finding with its file, line, column and a hint how to fix
//! it, instead of stopping at the first.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod declarations;
pub mod finding;
pub mod keys;
mod reader;
pub mod settings;

pub use finding::{Finding, Findings};
pub use settings::Settings;
