//! Forwarded requests: tables, choices and placement.

mod admission;
mod budget;
mod changes;
mod choice_properties;
mod count;
mod era;
mod fingerprint;
mod fleet;
mod freshness;
mod heavy;
mod limit;
mod loads;
mod notice;
mod path;
mod placement;
mod quarantine;
mod read_ahead;
mod readers;
mod repair;
mod routes;
mod select;
mod setup;
mod shares;
mod stall;
mod stewardship;
