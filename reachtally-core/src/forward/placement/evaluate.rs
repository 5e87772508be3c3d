//! What engines serve with the layers that they hold.
//!
//! Requests are spread over paths as the router may spread them: each part of a path runs to the end of what its
//! engine holds, paths stay within a failure domain, and what is left over in several domains forms paths across
//! them. Paths are filled one after the other, the cheapest first, until no path has room. All limits hold at once:
//! places of first engines, KV of the smallest stage, reading, time of steps for a batch, hops, and the objectives.
//!
//! Times are those for a bound on the batch that depends on the layers only. Several bounds are tried and the best
//! counts in each failure domain, so that neither more memory nor a faster card makes other requests slower and lowers the value.

mod fill;

use std::collections::BTreeSet;

use crate::forward::cost::LayerModel;
use crate::forward::select::Aim;

use super::Host;
use fill::Fleet;

/// What callers in one failure domain ask for, of one size.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Their failure domain.
    pub domain: String,
    /// Requests a second.
    pub per_s: f64,
    /// Mean tokens of a prompt.
    pub prompt: f64,
    /// Mean tokens of an answer.
    pub answer: f64,
}

/// Requests a second that finish within their objectives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Served {
    /// Most that the engines could serve.
    pub capacity: f64,
    /// Of those that are asked for, all failure domains together.
    pub together: f64,
    /// Of those that are asked for, with each failure domain cut off from the others.
    pub apart: f64,
}

/// What a fleet serves of a demand. The sizes of requests are those of the demand on average.
pub fn served(model: &LayerModel, hosts: &[Host], demand: &[Demand], aim: Aim) -> Served {
    let model = sized(model, demand);
    let asked = |domain: Option<&str>| -> f64 {
        let of = demand
            .iter()
            .filter(|asked| domain.is_none_or(|name| asked.domain == name));
        of.map(|asked| asked.per_s.max(0.0)).sum()
    };
    let capacity = capacity(&model, hosts, aim);
    let mut domains: Vec<&str> = demand.iter().map(|asked| &*asked.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    let apart = domains.iter().map(|domain| {
        let own = hosts.iter().filter(|host| &*host.domain == *domain);
        let own: Vec<Host> = own.cloned().collect();
        self::capacity(&model, &own, aim).min(asked(Some(domain)))
    });
    Served {
        capacity,
        together: capacity.min(asked(None)),
        apart: apart.sum(),
    }
}

/// Most requests a second of the model's usual sizes that engines serve within the objectives; 0 where some layer is
/// held by none.
pub fn capacity(model: &LayerModel, hosts: &[Host], aim: Aim) -> f64 {
    flows(model, hosts, aim).per_s
}

/// The flows with which engines serve [`capacity`].
pub fn flows(model: &LayerModel, hosts: &[Host], aim: Aim) -> Flows {
    let best = Fleet::of(model, hosts, aim).fill();
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

/// Requests a second through all engines together, and through each.
#[derive(Debug, Clone, PartialEq)]
pub struct Flows {
    /// All together.
    pub per_s: f64,
    /// Through each engine, in the order of the hosts.
    pub by_engine: Vec<f64>,
}

impl Flows {
    /// Up to `count` engines, by their numbers in `hosts`, that most requests pass; of engines that are alike one.
    pub fn busiest(&self, hosts: &[Host], count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..hosts.len()).collect();
        all.sort_by(|a, b| self.by_engine[*b].total_cmp(&self.by_engine[*a]));
        let mut seen = BTreeSet::new();
        all.retain(|number| {
            let host = &hosts[*number];
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

/// The engines of each chain along which [`capacity`] fills a fleet, by their numbers in `hosts`: each engine is
/// in one chain at most.
pub fn chains(model: &LayerModel, hosts: &[Host], aim: Aim) -> Vec<Vec<usize>> {
    let mut seen = vec![false; hosts.len()];
    let paths = Fleet::of(model, hosts, aim).fill().paths;
    let mut chains: Vec<Vec<usize>> = paths.into_iter().map(|path| path.0).collect();
    chains.retain(|chain| {
        let is_new = chain.iter().all(|number| !seen[*number]);
        if is_new {
            chain.iter().for_each(|number| seen[*number] = true);
        }
        is_new
    });
    chains
}

/// The model with the mean sizes of a demand as the usual ones.
fn sized(model: &LayerModel, demand: &[Demand]) -> LayerModel {
    let total: f64 = demand.iter().map(|asked| asked.per_s.max(0.0)).sum();
    if total <= 0.0 {
        return model.clone();
    }
    let mean = |of: fn(&Demand) -> f64| -> f64 {
        let parts = demand.iter().map(|asked| asked.per_s.max(0.0) * of(asked));
        parts.sum::<f64>() / total
    };
    LayerModel {
        usual_prompt: mean(|asked| asked.prompt),
        usual_answer: mean(|asked| asked.answer),
        ..model.clone()
    }
}
