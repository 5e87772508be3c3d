//! JSON bodies of orders and reports.

use std::collections::BTreeSet;

use reachtally_core::systems::steward::{Order, TargetReport};
use serde::{Deserialize, Serialize};

/// The body of an order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// Fencing token of the sender.
    pub fence: u64,
    /// The action to perform.
    pub action: Action,
}

/// The action of an order. All actions are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Loads a model version or an adapter.
    Load(String),
    /// Unloads a model version or an adapter.
    Unload(String),
    /// Stops the engine.
    Stop,
}

impl From<Order> for Action {
    fn from(order: Order) -> Self {
        match order {
            Order::Load(name) => Action::Load(name),
            Order::Unload(name) => Action::Unload(name),
            Order::Stop => Action::Stop,
        }
    }
}

/// The body of an engine's report on its state.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReportBody {
    /// The loaded model versions and adapters.
    pub loaded: BTreeSet<String>,
    /// Number of requests whose KV the engine holds.
    pub requests: u64,
}

impl From<ReportBody> for TargetReport {
    fn from(body: ReportBody) -> Self {
        TargetReport {
            loaded: body.loaded,
            requests: body.requests,
        }
    }
}
