//! The relay: receives a caller's request, lets the core choose a target, and passes the response on.
//!
//! ```text
//!  caller ─▶ listen ─▶ serve ─┬▶ whole   (one body: a plain service)      ─▶ target
//!                             └▶ stream  (events: a chain of engines)     ─▶ target
//!  store  ─▶ follow ─▶ tables of reachtally-core ◀─ steward ─▶ orders to engines
//! ```
//!
//! The wire formats of headers, entries and orders are hidden behind the traits in [`wire`] and [`store`].
//! Everything runs on one thread.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod accept;
mod admission;
pub mod answer;
mod attempts;
pub mod configuration;
mod connections;
pub mod eras;
mod events;
mod exchange;
pub mod follow;
pub mod gossip;
pub mod group;
pub mod handoff;
mod head_check;
mod interruptions;
pub mod lifecycle;
mod limits;
mod linger;
pub mod listen;
pub mod metrics;
pub mod occupied;
mod open;
pub mod pace;
mod page;
mod quarantine;
pub mod ready;
mod receive;
pub mod relay;
pub mod resources;
mod retries;
pub mod rhythm;
mod second_sends;
pub mod serve;
pub mod share;
mod shares;
pub mod slow_engines;
pub mod startup;
pub mod steward;
pub mod store;
mod stream;
pub mod target;
pub mod targets;
mod unread;
mod upload;
mod whole;
pub mod wire;

pub use relay::{Relay, Settings};
pub use wire::Wire;
