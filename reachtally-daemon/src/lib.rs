//! The entry box's daemon.
//!
//! One task owns the [`World`](reachtally_core::World) and runs its systems; see [`actor`]. The
//! listeners for callers and operators send it requests and queries, [`perform`] executes its effects,
//! and [`follow`] feeds it the platform's streams.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod actor;
pub mod caller;
pub mod demo;
pub mod ended;
pub mod follow;
pub mod metrics;
pub mod operator;
pub mod peers;
pub mod perform;
pub mod publish;
pub mod run;
pub mod standalone;
pub mod view;

pub use run::{Daemon, Identity, start};
