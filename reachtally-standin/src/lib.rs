//! Small stand-ins of what surrounds the router: the log, the live list, engines, plain services.
//!
//! They run as plain processes or embedded in another program, each on a port of its own. The
//! engine computes a function whose result depends on every layer having run once, in order, on the
//! right KV, so a wrong path through the layers shows in the answer itself; its ledger tells what
//! ran.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod engine;
pub mod fabric;
pub mod list;
pub mod log_server;
pub mod service;
pub mod verify;
