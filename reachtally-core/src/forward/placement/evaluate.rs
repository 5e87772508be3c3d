//! Estimates the capacity of engines with the layers that they hold.
//!
//! Requests are spread over paths as the router may spread them: each part of a path extends to the
//! last layer that its engine holds, paths stay within a failure domain, and the remaining capacity
//! of several domains forms paths across them. Paths are filled one after the other, cheapest
//! first, until no path has capacity left. All limits apply at once: slots of first engines, KV
//! capacity of the smallest engine, prefill rate, decode step times of a batch, hops, and latency
//! objectives.
//!
//! Times are computed for a bound on the batch size that depends on the layers only. Several bounds
//! are tried and the best one counts in each failure domain, so that neither more memory nor a
//! faster card slows down other requests and lowers the result.

mod fill;

use std::collections::BTreeSet;

use crate::forward::cost::LayerModel;
use crate::forward::select::LatencyObjectives;

use super::Host;
use fill::PathFiller;

/// Requests of one size that callers in one failure domain send.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// The failure domain of the callers.
    pub domain: String,
    /// Requests per second.
    pub per_s: f64,
    /// Mean prompt length in tokens.
    pub prompt: f64,
    /// Mean answer length in tokens.
    pub answer: f64,
}

/// Requests per second that complete within their latency objectives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Served {
    /// Maximum that the engines could serve.
    pub capacity: f64,
    /// Part of the demand that all failure domains serve in total.
    pub combined: f64,
    /// Part of the demand that is served if the failure domains are isolated from each other.
    pub isolated: f64,
}

/// Returns how much of a demand a fleet serves. Requests are assumed to have the mean size of the
/// demand.
pub fn served(
    model: &LayerModel,
    hosts: &[Host],
    demand: &[Demand],
    objectives: LatencyObjectives,
) -> Served {
    let model = with_mean_size(model, demand);
    let demanded = |domain: Option<&str>| -> f64 {
        let of = demand
            .iter()
            .filter(|each| domain.is_none_or(|name| each.domain == name));
        of.map(|each| each.per_s.max(0.0)).sum()
    };
    let capacity = capacity(&model, hosts, objectives);
    let mut domains: Vec<&str> = demand.iter().map(|each| &*each.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    let isolated = domains.iter().map(|domain| {
        let own = hosts.iter().filter(|host| &*host.domain == *domain);
        let own: Vec<Host> = own.cloned().collect();
        self::capacity(&model, &own, objectives).min(demanded(Some(domain)))
    });
    Served {
        capacity,
        combined: capacity.min(demanded(None)),
        isolated: isolated.sum(),
    }
}

/// Returns the maximum number of requests per second, of the model's mean size, that the engines
/// serve within the latency objectives; 0 if no engine holds some layer.
pub fn capacity(model: &LayerModel, hosts: &[Host], objectives: LatencyObjectives) -> f64 {
    flows(model, hosts, objectives).per_s
}

/// Returns the throughput of the engines when they serve [`capacity`].
pub fn flows(model: &LayerModel, hosts: &[Host], objectives: LatencyObjectives) -> Flows {
    let best = PathFiller::of(model, hosts, objectives).fill();
    let mut by_engine = vec![0.0; hosts.len()];
    for (engines, per_s) in &best.paths {
        engines
            .iter()
            .for_each(|engine| by_engine[*engine] += per_s);
    }
    Flows {
        per_s: best.per_s,
        by_engine,
    }
}

/// Requests per second through all engines, and through each one.
#[derive(Debug, Clone, PartialEq)]
pub struct Flows {
    /// Total over all paths.
    pub per_s: f64,
    /// Through each engine, in the order of the hosts.
    pub by_engine: Vec<f64>,
}

impl Flows {
    /// Returns the indices in `hosts` of up to `count` engines with the highest throughput; of
    /// engines with the same domain, layers and card only the first.
    pub fn busiest(&self, hosts: &[Host], count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..hosts.len()).collect();
        all.sort_by(|a, b| self.by_engine[*b].total_cmp(&self.by_engine[*a]));
        let mut seen = BTreeSet::new();
        all.retain(|index| {
            let host = &hosts[*index];
            let range = (host.layers.start, host.layers.end);
            let kind = (
                host.card.memory_mb.to_bits(),
                host.card.step_factor.to_bits(),
            );
            !host.layers.is_empty() && seen.insert((&host.domain, range, kind))
        });
        all.truncate(count);
        all
    }
}

/// Returns the chains that [`capacity`] fills, as indices in `hosts`. Each engine is in at most one
/// chain.
pub fn chains(
    model: &LayerModel,
    hosts: &[Host],
    objectives: LatencyObjectives,
) -> Vec<Vec<usize>> {
    let mut seen = vec![false; hosts.len()];
    let paths = PathFiller::of(model, hosts, objectives).fill().paths;
    let mut chains: Vec<Vec<usize>> = paths.into_iter().map(|path| path.0).collect();
    chains.retain(|chain| {
        let is_new = chain.iter().all(|index| !seen[*index]);
        if is_new {
            chain.iter().for_each(|index| seen[*index] = true);
        }
        is_new
    });
    chains
}

/// Returns the model with the mean request size of a demand.
fn with_mean_size(model: &LayerModel, demand: &[Demand]) -> LayerModel {
    let total: f64 = demand.iter().map(|each| each.per_s.max(0.0)).sum();
    if total <= 0.0 {
        return model.clone();
    }
    let mean = |of: fn(&Demand) -> f64| -> f64 {
        let weighted = demand.iter().map(|each| each.per_s.max(0.0) * of(each));
        weighted.sum::<f64>() / total
    };
    LayerModel {
        mean_prompt_tokens: mean(|each| each.prompt),
        mean_answer_tokens: mean(|each| each.answer),
        ..model.clone()
    }
}
