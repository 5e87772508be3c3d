//! Tests of the daemon over loopback, against embedded stand-ins.

mod bad_input;
mod bodies;
mod check;
mod follow;
mod lifecycle;
mod metrics;
mod operators;
mod sessions;
mod setup;
