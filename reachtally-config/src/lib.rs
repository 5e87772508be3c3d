//! YAML settings of a daemon and declarations of what it serves.
//!
//! A check reads the whole file and reports every finding with file, line, column and the way to
//! mend it; it never stops at the first.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod declarations;
pub mod finding;
pub mod keys;
mod reader;
pub mod settings;

pub use finding::{Finding, Findings};
pub use settings::Settings;
