//! Forwarding of whole requests, either to a chain of engines that pass activations to each other
//! or to one instance of a plain service.
//!
//! The tables of this module are updated from configuration, target entries and answers. They
//! decide which route a request takes, which engines run it, whether it may be sent a second time,
//! and which layers an engine should hold. They are independent of any wire format.

pub mod admission;
pub mod bodies;
pub mod budget;
pub mod changes;
pub mod cost;
pub mod count;
pub mod era;
pub mod fingerprint;
pub mod fleet;
pub mod freshness;
pub mod handoff;
pub mod limit;
pub mod loads;
pub mod overload;
pub mod path;
pub mod peers;
pub mod placement;
pub mod prompt;
pub mod quarantine;
mod rate;
pub mod reach;
pub mod read_ahead;
pub mod readers;
pub mod routes;
pub mod select;
pub mod shares;
pub mod stall;
pub mod stewardship;
pub mod tally;
pub mod turns;
