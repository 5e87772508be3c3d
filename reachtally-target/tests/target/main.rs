//! Tests of the target adapters.

mod generated;
