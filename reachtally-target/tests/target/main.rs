//! Tests of the target adapters.

mod failures;
mod wire;
