//! Exhaustive model checking of the core protocol, run against the core's production code.
//!
//! Each module is a model: the shipped [`World`](reachtally_core::World) or parts of it, in an
//! environment that may lose, duplicate and reorder messages and crash, pause and restart boxes.
//! [`explore`] visits every state within the model's fault budgets breadth first, so the first
//! violation found has a shortest trace. Each model also defines mutations, which break a protocol
//! rule at the model's interface; detecting their violations shows that the checks can fail.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod claims;
pub mod config;
pub mod explore;
mod fixture;
pub mod lineage;

pub use explore::{Exploration, Model, explore};
