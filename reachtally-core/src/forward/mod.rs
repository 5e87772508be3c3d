//! Requests that are forwarded whole: to a chain of engines that hand activations on among
//! themselves, or to one instance of a plain service.
//!
//! The tables here are fed from outside (configuration, engine entries, answers) and asked for
//! decisions: which route a request takes, which engines run it, whether it may be sent a second
//! time, which layers an engine should hold. Nothing here knows a wire format.

pub mod admission;
pub mod budget;
pub mod changes;
pub mod cost;
pub mod count;
pub mod era;
pub mod fingerprint;
pub mod fleet;
pub mod freshness;
pub mod limit;
pub mod loads;
pub mod path;
pub mod peers;
pub mod placement;
pub mod quarantine;
mod rate;
pub mod read_ahead;
pub mod readers;
pub mod routes;
pub mod select;
pub mod shares;
pub mod stall;
pub mod stewardship;
pub mod tally;
