//! Cost of a complete path, and the search for a low-cost one.
//!
//! A request occupies KV capacity on every engine of the chain for as long as the whole chain runs
//! it, so a path costs the sum of its engines' prices times its duration. Speed beyond the latency
//! objectives has no other value; a path that will probably miss them costs several times as much.
//! This makes a fast but full engine expensive, and accounts for the long occupancy of all engines
//! in a slow chain.

use super::LatencyObjectives;
use super::candidate::Candidate;
use super::ways::{FoundPath, LayerGraph, PathTotals, Weights, cheapest};
use crate::forward::cost::LayerModel;

/// Cost factor added for a path that is certain to miss an objective.
const MISS_PENALTY: f64 = 20.0;
/// Steepness of the miss probability around the objective. Latencies reach up to twice the expected
/// value.
const MISS_STEEPNESS: f64 = 4.0;
/// Iterations in which the weights are adapted to the path found.
const ITERATIONS: usize = 3;

/// Fraction of an objective up to which the expected latency meets it with a margin.
const MARGIN_FRACTION: f64 = 0.5;

/// Whether a path meets the latency objectives with a margin.
pub(super) fn meets_objectives_with_margin(
    totals: &PathTotals,
    model: &LayerModel,
    objectives: LatencyObjectives,
) -> bool {
    let score = PathScore::new(totals, model, objectives);
    score.first_fraction <= MARGIN_FRACTION && score.gap_fraction <= MARGIN_FRACTION
}

/// Probability of missing an objective when the expected latency is `fraction` of it.
fn miss_probability(fraction: f64) -> f64 {
    let power = fraction.powf(MISS_STEEPNESS);
    power / (1.0 + power)
}

/// Derivative of the miss probability by the fraction.
fn miss_slope(fraction: f64) -> f64 {
    let power = fraction.powf(MISS_STEEPNESS);
    MISS_STEEPNESS * fraction.powf(MISS_STEEPNESS - 1.0) / ((1.0 + power) * (1.0 + power))
}

/// Price, duration and latencies of a path, the latter relative to the objectives.
#[derive(Debug, Clone, Copy)]
struct PathScore {
    price: f64,
    duration_ms: f64,
    first_fraction: f64,
    gap_fraction: f64,
}

impl PathScore {
    fn new(totals: &PathTotals, model: &LayerModel, objectives: LatencyObjectives) -> Self {
        let fraction = |ms: f64, limit: Option<f64>| limit.map_or(0.0, |limit| ms / limit.max(1.0));
        PathScore {
            price: totals.price,
            duration_ms: totals.ranking_first_ms() + model.mean_answer_tokens * totals.token_ms,
            first_fraction: fraction(totals.ranking_first_ms(), objectives.first_ms),
            gap_fraction: fraction(totals.token_ms * model.stride.max(1.0), objectives.gap_ms),
        }
    }

    fn miss_factor(&self) -> f64 {
        1.0 + MISS_PENALTY
            * (miss_probability(self.first_fraction) + miss_probability(self.gap_fraction))
    }

    fn cost(&self) -> f64 {
        self.price * self.duration_ms * self.miss_factor()
    }

    /// Linearizes the cost around these values, so that the contributions of the engines add up.
    fn weights(&self, model: &LayerModel, objectives: LatencyObjectives) -> Weights {
        let miss_cost = MISS_PENALTY / self.miss_factor();
        let slope = |fraction: f64, limit: Option<f64>| {
            limit.map_or(0.0, |most| miss_cost * miss_slope(fraction) / most.max(1.0))
        };
        let duration = 1.0 / self.duration_ms.max(f64::MIN_POSITIVE);
        let gap = slope(self.gap_fraction, objectives.gap_ms) * model.stride.max(1.0);
        Weights {
            price: 1.0 / self.price.max(f64::MIN_POSITIVE),
            token: duration * model.mean_answer_tokens + gap,
            first: duration + slope(self.first_fraction, objectives.first_ms),
        }
    }
}

/// Searches for a low-cost path; returns it with its cost.
pub(super) fn best_path(
    candidates: &[Candidate<'_>],
    model: &LayerModel,
    hop_ms: f64,
    objectives: LatencyObjectives,
) -> Option<(f64, FoundPath)> {
    let graph = LayerGraph::new(candidates, model);
    let mut best: Option<(f64, FoundPath)> = None;
    for start in [Weights::fastest(model), Weights::CHEAPEST] {
        let mut weights = start;
        for _ in 0..ITERATIONS {
            let found = cheapest(&graph, hop_ms, weights)?;
            let score = PathScore::new(&found.totals, model, objectives);
            let cost = score.cost();
            weights = score.weights(model, objectives);
            if best.as_ref().is_some_and(|(lowest, _)| *lowest <= cost) {
                continue;
            }
            best = Some((cost, found));
        }
    }
    best
}
