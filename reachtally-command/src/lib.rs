//! The operators' query and command language: its parser, and the responses to commands.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod answer;
pub mod parse;
pub mod table;

pub use answer::{CommandResponse, ErrorResponse, Published};
pub use parse::{Command, Subject, parse};
pub use table::Table;
