//! What an engine ran, run-length encoded.

use std::collections::HashMap;

use reachtally_core::declare::Layers;
use reachtally_core::ids::RequestId;
use serde::{Deserialize, Serialize};

/// A run of positions that an engine ran all its layers on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRun {
    /// The attempt of the steps.
    pub attempt: u32,
    /// First position.
    pub from: u32,
    /// One past the last position.
    pub end: u32,
    /// Whether it only rebuilt KV.
    pub restore: bool,
}

/// The ledger of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ledger {
    /// The layers each run covers.
    pub layers: Layers,
    runs: HashMap<RequestId, Vec<LedgerRun>>,
}

impl Ledger {
    /// An empty ledger of an engine with these layers.
    pub fn new(layers: Layers) -> Self {
        Ledger {
            layers,
            runs: HashMap::new(),
        }
    }

    /// Record that `from..end` was run.
    pub fn record(&mut self, request: RequestId, run: LedgerRun) {
        if run.from >= run.end {
            return;
        }
        let runs = self.runs.entry(request).or_default();
        match runs.last_mut() {
            Some(last)
                if last.end == run.from
                    && last.attempt == run.attempt
                    && last.restore == run.restore =>
            {
                last.end = run.end;
            }
            _ => runs.push(run),
        }
    }

    /// The runs of one request, in order.
    pub fn of(&self, request: RequestId) -> &[LedgerRun] {
        self.runs.get(&request).map_or(&[], Vec::as_slice)
    }
}
