//! Placements to compare: the shipped one, equal cuts, and cuts in proportion to memory.

use std::collections::BTreeMap;

use reachtally_core::forward::cost::LayerModel;
use reachtally_core::forward::path::MAX_PATH_PARTS;
use reachtally_core::forward::placement::evaluate::capacity;
use reachtally_core::forward::placement::{Host, moves};

use super::fleets::{FleetCase, OBJECTIVES};

/// Maximum number of repairs of a placement.
const MAX_REPAIRS: usize = 20;

/// Computes the shipped placement of empty engines, with its repairs.
pub fn shipped(case: &FleetCase) -> Vec<Host> {
    let mut hosts = case.hosts.clone();
    for _ in 0..MAX_REPAIRS {
        let next = moves(&case.model, &hosts);
        if next.is_empty() {
            break;
        }
        let layers: BTreeMap<_, _> = next
            .into_iter()
            .map(|placed| (placed.engine, placed.layers))
            .collect();
        for host in &mut hosts {
            if let Some(layers) = layers.get(&host.engine) {
                host.layers = layers.clone();
            }
        }
    }
    hosts
}

/// Computes the better of equal cuts and cuts in proportion to memory for each failure domain, each with the number of parts or
/// chains that has the largest capacity.
pub fn simple(case: &FleetCase) -> Vec<Host> {
    let mut hosts = Vec::new();
    for group in groups(case) {
        let parts = (1..=MAX_PATH_PARTS).map(|parts| equal(&case.model, &group, parts));
        let max_chains = (group.len() / 2).clamp(1, 40);
        let chains = (1..=max_chains).map(|chains| proportional(&case.model, &group, chains));
        let options = parts.chain(chains);
        let valued = options.map(|option| (capacity(&case.model, &option, OBJECTIVES), option));
        let best = valued.max_by(|a, b| a.0.total_cmp(&b.0));
        hosts.extend(best.map_or(group, |(_, best)| best));
    }
    hosts
}

/// Groups engines by failure domain; all domains that cannot hold the model alone form one group.
fn groups(case: &FleetCase) -> Vec<Vec<Host>> {
    let mut by_domain: BTreeMap<&str, Vec<Host>> = BTreeMap::new();
    for host in &case.hosts {
        by_domain
            .entry(&host.domain)
            .or_default()
            .push(host.clone());
    }
    let kv = 12.0 * case.model.mean_context_tokens();
    let can_hold_model = |group: &Vec<Host>| {
        let max_layers = group
            .iter()
            .map(|host| case.model.max_layers(&host.card, kv));
        max_layers.sum::<u32>() >= case.model.layers
    };
    let (mut groups, partial): (Vec<_>, Vec<_>) = by_domain.into_values().partition(can_hold_model);
    groups.push(partial.concat());
    groups.retain(|group| !group.is_empty());
    groups
}

/// Cuts the layers into `parts` equal parts and assigns each engine to the part with the least KV capacity so far.
fn equal(model: &LayerModel, group: &[Host], parts: usize) -> Vec<Host> {
    let cut = |part: usize| (part * model.layers as usize / parts) as u32;
    let mut kv_capacities = vec![0.0; parts];
    let mut hosts = group.to_vec();
    hosts.sort_by(|a, b| b.card.memory_mb.total_cmp(&a.card.memory_mb));
    for host in &mut hosts {
        let smallest =
            (0..parts).min_by(|a, b| f64::total_cmp(&kv_capacities[*a], &kv_capacities[*b]));
        let part = smallest.unwrap_or(0);
        let layers = cut(part)..cut(part + 1);
        let kv_capacity = model.kv_tokens(&host.card, layers.len() as u32);
        if kv_capacity > model.mean_context_tokens() {
            kv_capacities[part] += kv_capacity;
            host.layers = layers;
        }
    }
    hosts
}

/// Distributes engines by memory over `chains` chains; each engine gets layers in proportion to its share of the chain's memory.
fn proportional(model: &LayerModel, group: &[Host], chains: usize) -> Vec<Host> {
    let mut hosts = group.to_vec();
    hosts.sort_by(|a, b| b.card.memory_mb.total_cmp(&a.card.memory_mb));
    for chain in 0..chains {
        let members: Vec<usize> = (chain..hosts.len()).step_by(chains).collect();
        let total: f64 = members.iter().map(|at| hosts[*at].card.memory_mb).sum();
        let (mut memory, mut from) = (0.0, 0);
        for at in members {
            memory += hosts[at].card.memory_mb;
            let to = (memory / total * f64::from(model.layers)).round() as u32;
            if model.kv_tokens(&hosts[at].card, to - from) > 0.0 {
                hosts[at].layers = from..to;
            }
            from = to;
        }
    }
    hosts
}

/// Upper bound on the capacity of any placement. An engine with `x` of `N` layers and KV for `n` requests contributes at most
/// `n x / N` requests per duration of a path of engines like it, since the reciprocal of a path's duration is at most the mean of
/// that of its engines, weighted by their layers. Objectives, failure domains and the prefill of other requests are ignored.
pub fn bound(case: &FleetCase) -> f64 {
    let model = &case.model;
    let engine = |host: &Host| {
        let each = (1..=model.layers).map(|layers| {
            let kv_capacity = model.kv_tokens(&host.card, layers) / model.mean_context_tokens();
            if kv_capacity <= 0.0 {
                return 0.0;
            }
            let layer_fraction = model.layer_fraction(layers);
            let batch = (kv_capacity * layer_fraction).max(1.0);
            let step_ms = 1.5 * model.step_ms(&host.card, layers, batch) + 0.5;
            let prefill_ms =
                1.5 * model.prefill_ms(&host.card, layers, model.mean_prompt_tokens) + 0.5;
            kv_capacity * layer_fraction * layer_fraction * 1000.0
                / (prefill_ms + model.mean_answer_tokens * step_ms)
        });
        each.fold(0.0, f64::max)
    };
    case.hosts.iter().map(engine).sum()
}
