//! Forwarded requests: tables, choices and placement.

mod placement;
mod setup;
