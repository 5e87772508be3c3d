//! The oracle: a lineage against the engines' ledgers.

use std::collections::BTreeMap;

use reachtally_core::declare::Layers;
use reachtally_core::ids::RequestId;

use crate::engine::Ledger;

/// A run of positions that the router accepted from an engine, by the engine's name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// The engine.
    pub target: String,
    /// The layers.
    pub layers: Layers,
    /// First position.
    pub from: u32,
    /// One past the last position.
    pub end: u32,
    /// The attempt.
    pub attempt: u32,
}

/// What a ledger says against the lineage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// No such engine, or it holds other layers.
    WrongEngine(String),
    /// The engine ran the position forward under that attempt `times` times instead of once.
    Runs {
        /// The engine.
        target: String,
        /// The position.
        position: u32,
        /// How often it ran.
        times: usize,
    },
    /// A layer was accepted `times` times for a position instead of once.
    Accepted {
        /// The layer.
        layer: u32,
        /// The position.
        position: u32,
        /// How often it was accepted.
        times: usize,
    },
}

/// Check that each of `layers` layers was accepted once for each position below `end`, and that the
/// engine it was accepted from ran it forward once under that attempt.
pub fn verify(
    request: RequestId,
    layers: u32,
    end: u32,
    accepted: &[Accepted],
    ledgers: &BTreeMap<String, Ledger>,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_cover(layers, end, accepted, &mut violations);
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

fn check_cover(layers: u32, end: u32, accepted: &[Accepted], violations: &mut Vec<Violation>) {
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
            .filter(|ran| !ran.restore && ran.attempt == run.attempt)
            .filter(|ran| (ran.from..ran.end).contains(&position))
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
