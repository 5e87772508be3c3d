//! Assigns layers to engines.
//!
//! The assignment of an empty group of engines is planned as a whole: chains are filled with the
//! fastest cards first, for several KV capacities, and the capacity that yields the highest value
//! wins. Fast cards combined in one chain keep requests short, which then occupy KV capacity for
//! less time. A group that already holds layers is only repaired: an empty engine takes the layers
//! with the least KV capacity, and if a layer has much less capacity than the reference, engines
//! that can be spared are moved there.
//!
//! A group with far more engines than needed leaves the others empty, as a reserve for failures and
//! load increases.

mod chains;
pub mod evaluate;
mod repair;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::forward::cost::{Card, LayerModel, Layers};
use crate::forward::fleet::EngineKey;
use chains::best_chains;
use repair::LayerCapacity;

pub use chains::plan;

/// Minimum KV capacity of an engine, in mean requests. Below it, every second request would not
/// fit.
const MIN_REQUESTS: f64 = 6.0;

/// KV capacity per layer up to which empty engines are filled whatever the load, in multiples of
/// the reference chain. Load can multiply in the time it takes to load weights, and engines fail in
/// groups.
const READY_CHAINS: f64 = 16.0;
/// KV capacity per layer up to which empty engines are filled, in multiples of the capacity in use.
const HEADROOM_FACTOR: f64 = 4.0;

/// Whether an engine takes part in the placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It accepts requests and orders.
    Usable,
    /// It accepts none for now, and nothing shows that it has ended. Its layers need no replacement yet.
    Unconfirmed,
    /// It completes its requests at most. Its layers have to be replaced.
    Departing,
}

/// An engine that can hold layers.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// The row of the engine.
    pub engine: EngineKey,
    /// Orders otherwise equal engines, so that all boxes compute the same plan.
    pub id: Arc<str>,
    /// The failure domain of the engine.
    pub domain: Arc<str>,
    /// The card of the engine.
    pub card: Card,
    /// The layers that the engine holds, or will hold after executing its current order.
    pub layers: Layers,
    /// The layers that it holds now.
    pub held: Layers,
    /// Whether it takes part in the placement.
    pub presence: Presence,
    /// Number of requests that run on the engine.
    pub running: f64,
}

/// How an engine releases layers that requests use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUp {
    /// After the last of these requests has ended.
    Wait,
    /// Immediately; requests that run there are lost.
    Cut,
}

/// An engine and the layers it should hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The row of the engine.
    pub engine: EngineKey,
    /// The layers.
    pub layers: Layers,
    /// What happens to requests that use layers which the engine releases.
    pub give_up: GiveUp,
}

/// Returns the changes to order now, for all engines of one service.
pub fn moves(model: &LayerModel, hosts: &[Host]) -> Vec<Move> {
    let give_up = give_up(model, hosts);
    let is_present = |host: &&Host| host.presence != Presence::Departing;
    let present: Vec<Host> = hosts.iter().filter(is_present).cloned().collect();
    let groups = groups(model, &present);
    groups
        .iter()
        .flat_map(|group| group_moves(model, group, give_up))
        .collect()
}

/// Returns how engines release layers. While some engine that may still complete its requests holds each layer, in any failure
/// domain, so may the requests of all others. Without that, no request can complete, and waiting only delays the recovery.
fn give_up(model: &LayerModel, hosts: &[Host]) -> GiveUp {
    let holds =
        |host: &Host, layer: u32| host.held.contains(&layer) || host.layers.contains(&layer);
    let is_held = |layer: u32| hosts.iter().any(|host| holds(host, layer));
    match (0..model.layers).all(is_held) {
        true => GiveUp::Wait,
        false => GiveUp::Cut,
    }
}

/// Groups engines by failure domain. Domains that cannot hold the model alone form one common
/// group.
fn groups(model: &LayerModel, hosts: &[Host]) -> Vec<Vec<Host>> {
    let mut by_domain: BTreeMap<&str, Vec<Host>> = BTreeMap::new();
    for host in hosts {
        by_domain
            .entry(&host.domain)
            .or_default()
            .push(host.clone());
    }
    let min_kv = MIN_REQUESTS * model.mean_context_tokens();
    let holds_model = |group: &Vec<Host>| {
        let layers: u32 = group
            .iter()
            .map(|host| model.max_layers(&host.card, min_kv))
            .sum();
        layers >= model.layers
    };
    let (mut groups, rest): (Vec<_>, Vec<_>) = by_domain.into_values().partition(holds_model);
    if !rest.is_empty() {
        groups.push(rest.concat());
    }
    groups
}

fn group_moves(model: &LayerModel, group: &[Host], give_up: GiveUp) -> Vec<Move> {
    let is_usable = |host: &Host| host.presence == Presence::Usable;
    let (usable, unconfirmed): (Vec<Host>, Vec<Host>) = group.iter().cloned().partition(is_usable);
    let empty: Vec<Host> = usable
        .iter()
        .filter(|host| host.layers.is_empty())
        .cloned()
        .collect();
    let Some(reference) = reference_capacity(model, group) else {
        return Vec::new();
    };
    let required = required_capacity(model, group, reference);
    let capacity = LayerCapacity::of(model, &usable, reference);
    if capacity.min_tokens() == 0.0 && empty.len() * 2 >= usable.len() {
        let planned = plan(model, &empty, required);
        if !planned.is_empty() {
            return planned;
        }
    }
    let group = repair::Group {
        usable: &usable,
        unconfirmed: &unconfirmed,
        give_up,
    };
    repair::repair(model, &group, reference, required)
}

/// Returns the KV tokens per layer up to which empty engines are filled.
fn required_capacity(model: &LayerModel, group: &[Host], reference: f64) -> f64 {
    let mut in_use = vec![0.0; model.layers as usize];
    for host in group {
        let tokens = host.running * model.mean_context_tokens();
        for layer in host.layers.clone() {
            if let Some(held) = in_use.get_mut(layer as usize) {
                *held += tokens;
            }
        }
    }
    let max_in_use = in_use.into_iter().fold(0.0, f64::max);
    (READY_CHAINS * reference).max(HEADROOM_FACTOR * max_in_use)
}

/// Returns the KV tokens of the smallest engine in the first chain that the group would form if it
/// were empty; `None` if the group cannot hold the model.
fn reference_capacity(model: &LayerModel, group: &[Host]) -> Option<f64> {
    let chains = best_chains(model, group);
    let first = chains.first().into_iter().flatten();
    let tokens =
        first.map(|(host, assigned)| model.kv_tokens(&host.card, assigned.layers.len() as u32));
    tokens.min_by(f64::total_cmp)
}

/// Orders engines by speed, then by memory, both descending, then by id.
fn by_speed(a: &Host, b: &Host) -> std::cmp::Ordering {
    let speed = a.card.step_factor.total_cmp(&b.card.step_factor);
    let size = b.card.memory_mb.total_cmp(&a.card.memory_mb);
    speed.then(size).then_with(|| a.id.cmp(&b.id))
}
