//! A small specification of the core protocol, checked exhaustively over the core's own code.
//!
//! Each module is a model: an environment that may lose, double and reorder messages, kill, pause
//! and restart boxes, around the shipped [`World`](reachtally_core::World) or its parts. [`explore`]
//! visits every state within the model's budgets of faults, breadth first, so the first violation
//! found has a shortest trace. Each model also comes with rules broken on purpose at its interface;
//! that their violation is found shows that the check can fail.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod claims;
pub mod config;
pub mod explore;
mod fixture;
pub mod lineage;

pub use explore::{Found, Model, explore};
