//! The decision logic of the router, free of I/O.
//!
//! The [`World`] holds tables of entities. An [`Event`] or a tick runs systems over these tables,
//! which return typed [`Effect`]s. The caller performs the effects and reports their results as
//! events. The core reads no clock, opens no sockets and has no entropy source: `now` and the
//! random seed are passed in, so a recorded list of events replays an entire session.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod chain;
pub mod claim;
pub mod counters;
pub mod declare;
pub mod effect;
pub mod event;
pub mod fold;
pub mod forward;
pub mod ids;
pub mod latency;
pub mod lease;
pub mod life;
pub mod lineage;
pub mod member;
pub mod request;
pub mod restore;
pub mod retry;
pub mod step;
pub mod systems;
pub mod target;
pub mod time;
pub mod world;

pub use effect::{Change, Effect, Effects};
pub use event::Event;
pub use ids::{AccountKey, CallKey, Incarnation, RequestId, RequestKey, TargetKey};
pub use time::Instant;
pub use world::{Limits, World};
