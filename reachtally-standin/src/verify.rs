//! The test oracle: compares a lineage with the engines' ledgers.

use std::collections::BTreeMap;

use reachtally_core::declare::Layers;
use reachtally_core::ids::RequestId;

use crate::engine::Ledger;

/// A range of positions that the router accepted from an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// Name of the engine.
    pub target: String,
    /// The layers that ran.
    pub layers: Layers,
    /// First position.
    pub from: u32,
    /// One past the last position.
    pub end: u32,
    /// The attempt that produced the results.
    pub attempt: u32,
}

/// A mismatch between the lineage and the ledgers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// The engine is unknown or holds other layers.
    WrongEngine(String),
    /// The engine ran the position `times` times in the attempt, not counting restores, instead of
    /// once.
    Runs {
        /// The engine.
        target: String,
        /// The position.
        position: u32,
        /// Number of runs.
        times: usize,
    },
    /// A layer was accepted `times` times for a position instead of once.
    Accepted {
        /// The layer.
        layer: u32,
        /// The position.
        position: u32,
        /// Number of times it was accepted.
        times: usize,
    },
}

/// Checks that each of `layers` layers was accepted exactly once for each position below `end`, and
/// that the engine it was accepted from ran it exactly once in that attempt, not counting restores.
pub fn verify(
    request: RequestId,
    layers: u32,
    end: u32,
    accepted: &[Accepted],
    ledgers: &BTreeMap<String, Ledger>,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_coverage(layers, end, accepted, &mut violations);
    for run in accepted {
        match ledgers.get(&run.target) {
            Some(ledger) if ledger.layers == run.layers => {
                check_run(request, run, ledger, &mut violations);
            }
            _ => violations.push(Violation::WrongEngine(run.target.clone())),
        }
    }
    violations
}

fn check_coverage(layers: u32, end: u32, accepted: &[Accepted], violations: &mut Vec<Violation>) {
    for position in 0..end {
        for layer in 0..layers {
            let times = accepted
                .iter()
                .filter(|run| (run.from..run.end).contains(&position))
                .filter(|run| (run.layers.first..run.layers.end).contains(&layer))
                .count();
            if times != 1 {
                violations.push(Violation::Accepted {
                    layer,
                    position,
                    times,
                });
            }
        }
    }
}

fn check_run(request: RequestId, run: &Accepted, ledger: &Ledger, violations: &mut Vec<Violation>) {
    for position in run.from..run.end {
        let times = ledger
            .of(request)
            .iter()
            .filter(|ledger_run| !ledger_run.restore && ledger_run.attempt == run.attempt)
            .filter(|ledger_run| (ledger_run.from..ledger_run.end).contains(&position))
            .count();
        if times != 1 {
            violations.push(Violation::Runs {
                target: run.target.clone(),
                position,
                times,
            });
        }
    }
}
