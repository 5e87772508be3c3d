//! Test doubles of the router's dependencies: the log, the live list, engines and plain services.
//!
//! Each runs as a separate process or embedded in another program, on its own port. The engine
//! computes a function whose result depends on every layer having run exactly once, in order, on
//! the right KV, so a wrong path through the layers changes the response. Its ledger records what
//! ran.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod engine;
pub mod fabric;
pub mod list;
pub mod log_server;
pub mod service;
pub mod verify;
