//! Tests of the core's decisions on a virtual clock.

mod claims;
mod config;
mod membership;
mod outcomes;
mod setup;
mod stages;
mod timing;
