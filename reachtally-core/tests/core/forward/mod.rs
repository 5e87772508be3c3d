//! Forwarded requests: tables, choices and placement.

mod budget;
mod changes;
mod choice_properties;
mod cost;
mod count;
mod era;
mod evaluate;
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
mod readers;
mod routes;
mod select;
mod setup;
mod stall;
mod stewardship;
