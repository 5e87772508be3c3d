//! Tests of the core's decisions on a virtual clock.

mod chains;
mod claims;
mod config;
mod domains;
mod forward;
mod membership;
mod outcomes;
mod setup;
mod stages;
mod timing;
