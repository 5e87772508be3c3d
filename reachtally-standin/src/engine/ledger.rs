//! The ledger of the positions that an engine ran, run-length encoded.

use std::collections::HashMap;

use reachtally_core::declare::Layers;
use reachtally_core::ids::RequestId;
use serde::{Deserialize, Serialize};

/// A range of positions that an engine ran through all its layers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRun {
    /// Attempt that the steps belong to.
    pub attempt: u32,
    /// First position.
    pub from: u32,
    /// One past the last position.
    pub end: u32,
    /// Whether the run only restored KV.
    pub restore: bool,
}

/// The ledger of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ledger {
    /// Layers that each run covers.
    pub layers: Layers,
    runs: HashMap<RequestId, Vec<LedgerRun>>,
}

impl Ledger {
    /// Creates an empty ledger for an engine with these layers.
    pub fn new(layers: Layers) -> Self {
        Ledger {
            layers,
            runs: HashMap::new(),
        }
    }

    /// Records a run and merges it with the previous one if they are contiguous.
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

    /// Returns the runs of one request, in order.
    pub fn of(&self, request: RequestId) -> &[LedgerRun] {
        self.runs.get(&request).map_or(&[], Vec::as_slice)
    }
}
