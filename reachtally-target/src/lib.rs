//! Traits and HTTP adapters for the targets: model engines and plain services.
//!
//! Each trait has one adapter, so that a target's wire can be exchanged without touching a decision.
//! The adapters also judge failures: what counts as proof that nothing ran is in [`http`].
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::future::Future;

use reachtally_core::event::CallFailure;
use reachtally_core::ids::RequestId;
use reachtally_core::request::{Answer, ServiceCall};
use reachtally_core::step::{Batch, StepResult};
use reachtally_core::systems::steward::{Order, TargetReport};

pub mod http;
pub mod order;
pub mod wire;

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
mod generated {
    pub mod engine;
}

/// Path of an engine's step route.
pub const STEPS_PATH: &str = "v1/steps";
/// Path of an engine's report.
pub const REPORT_PATH: &str = "v1/report";
/// Path of a request's KV, before its incarnation and number.
pub const KV_PATH: &str = "v1/kv";
/// The header that tells how many positions exported KV covers.
pub const POSITIONS_HEADER: &str = "reachtally-positions";
/// Path of an engine's orders.
pub const ORDERS_PATH: &str = "v1/orders";
/// Path that every target answers while it is up.
pub const HEALTH_PATH: &str = "health";
/// The header by which a target says that a call did not run.
pub const OUTCOME_HEADER: &str = "reachtally-outcome";
/// The value of [`OUTCOME_HEADER`] for a call that did not run.
pub const NOT_RUN: &str = "not-run";
/// The header that carries the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Engines that hold layer ranges.
pub trait Engines {
    /// Run steps at the engine at `url`.
    fn steps(
        &self,
        url: &str,
        batch: Batch,
    ) -> impl Future<Output = Result<Vec<StepResult>, CallFailure>> + Send;
}

/// Plain services.
pub trait Services {
    /// Call the instance at `url`, passing `key` on.
    fn call(
        &self,
        url: &str,
        call: ServiceCall,
        key: Option<String>,
    ) -> impl Future<Output = Result<Answer, CallFailure>> + Send;
}

/// Engines that take orders.
pub trait Orders {
    /// What the engine at `url` holds, if it answers.
    fn report(&self, url: &str) -> impl Future<Output = Option<TargetReport>> + Send;

    /// Give the engine at `url` an order; `false` if it did not take it.
    fn order(&self, url: &str, fence: u64, order: Order) -> impl Future<Output = bool> + Send;
}

/// Engines that export and import KV.
pub trait KvMoves {
    /// Export a request's KV from the engine at `from` and import it into the one at `to`; yields the
    /// positions that it covers, or nothing if it was not moved.
    fn move_kv(
        &self,
        from: &str,
        to: &str,
        request: RequestId,
    ) -> impl Future<Output = Option<u32>> + Send;
}

/// Any target.
pub trait Probe {
    /// Whether the target at `url` answers.
    fn probe(&self, url: &str) -> impl Future<Output = bool> + Send;
}
