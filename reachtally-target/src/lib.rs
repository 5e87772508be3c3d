//! Traits and HTTP adapters for targets: model engines and plain services.
//!
//! Each trait has one adapter, so that a target's protocol can be replaced without changing routing decisions.
//! The adapters also classify failures: [`http`] documents which ones prove that a call did not run.
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

/// Path to which step calls are sent.
pub const STEPS_PATH: &str = "v1/steps";
/// Path of an engine's report.
pub const REPORT_PATH: &str = "v1/report";
/// Path of a request's KV cache; the incarnation and the sequence number of the request are appended.
pub const KV_PATH: &str = "v1/kv";
/// Header with the number of positions that exported KV covers.
pub const POSITIONS_HEADER: &str = "reachtally-positions";
/// Path to which orders for an engine are sent.
pub const ORDERS_PATH: &str = "v1/orders";
/// Path of the health check that every target answers while it is up.
pub const HEALTH_PATH: &str = "health";
/// Header by which a target states that a call did not run.
pub const OUTCOME_HEADER: &str = "reachtally-outcome";
/// Value of [`OUTCOME_HEADER`] for a call that did not run.
pub const NOT_RUN: &str = "not-run";
/// Header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Calls to engines that hold layer ranges.
pub trait Engines {
    /// Runs a batch of steps on the engine at `url`.
    fn steps(
        &self,
        url: &str,
        batch: Batch,
    ) -> impl Future<Output = Result<Vec<StepResult>, CallFailure>> + Send;
}

/// Calls to plain services.
pub trait Services {
    /// Calls the service instance at `url` and forwards the idempotency key `key`.
    fn call(
        &self,
        url: &str,
        call: ServiceCall,
        key: Option<String>,
    ) -> impl Future<Output = Result<Answer, CallFailure>> + Send;
}

/// Control of engines by the steward.
pub trait Orders {
    /// Returns the report of the engine at `url`, or `None` if it does not answer.
    fn report(&self, url: &str) -> impl Future<Output = Option<TargetReport>> + Send;

    /// Sends an order to the engine at `url`. Returns whether the engine accepted it.
    fn order(&self, url: &str, fence: u64, order: Order) -> impl Future<Output = bool> + Send;
}

/// Transfer of KV between engines.
pub trait KvTransfer {
    /// Exports a request's KV from the engine at `from` and imports it into the engine at `to`. Returns the
    /// number of positions covered, or `None` if the transfer failed.
    fn transfer_kv(
        &self,
        from: &str,
        to: &str,
        request: RequestId,
    ) -> impl Future<Output = Option<u32>> + Send;
}

/// Health checks of any target.
pub trait Probe {
    /// Returns whether the target at `url` answers its health check with success.
    fn probe(&self, url: &str) -> impl Future<Output = bool> + Send;
}
