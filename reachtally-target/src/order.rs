//! Orders and reports as JSON.

use std::collections::BTreeSet;

use reachtally_core::systems::steward::{Order, TargetReport};
use serde::{Deserialize, Serialize};

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// The fence of the one who gives it.
    pub fence: u64,
    /// What to do.
    pub action: Action,
}

/// What an order asks for. Each is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load a model version or an adapter.
    Load(String),
    /// Unload it.
    Unload(String),
    /// Stop.
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

/// What an engine reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReportBody {
    /// What it holds loaded.
    pub loaded: BTreeSet<String>,
    /// Requests whose KV it holds.
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
