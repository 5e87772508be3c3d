//! Loops that keep the configuration, the targets and the suspect requests in sync with the store.

mod absent;
mod config;
mod dependency;
mod pause;
mod suspects;
mod targets;

pub use absent::{watch_dead_targets, watch_missing_targets};
pub use config::config;
pub(crate) use dependency::Dependency;
pub use suspects::suspects;
pub use targets::targets;
