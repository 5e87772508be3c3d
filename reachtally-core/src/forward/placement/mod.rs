//! Which layers each engine should hold.
//!
//! An empty group of engines is planned whole: chains are filled with the fastest cards first, for
//! several amounts of KV, and the amount that makes them worth most wins. Fast cards together give
//! short requests, which hold KV for less time. A group that already holds layers is only repaired:
//! an empty engine takes the layers that lack KV most, and where a layer has much less of it than usual
//! engines that can be spared are moved there.
//!
//! A group with far more engines than it needs leaves the rest empty, as a reserve for losses and for more load.

mod chains;
pub mod evaluate;
mod repair;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::forward::cost::{Card, LayerModel, Layers};
use crate::forward::fleet::EngineKey;
use chains::best_chains;
use repair::Room;

pub use chains::plan;

/// Least KV of an engine, in usual requests; below it every second request would not fit.
const LEAST_REQUESTS: f64 = 6.0;

/// Room for each layer up to which empty engines are placed whatever is in use, in that of the usual chain. Load can multiply within
/// the time of a load of weights, and engines are lost in groups.
const READY_CHAINS: f64 = 16.0;
/// The same in parts of the room that is in use.
const HEADROOM: f64 = 4.0;

/// An engine that may hold layers.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// The engine.
    pub engine: EngineKey,
    /// Orders engines that are alike, so that every box plans the same.
    pub id: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Its card.
    pub card: Card,
    /// What it holds, or will once it has done what it was ordered.
    pub layers: Layers,
    /// Requests that take part there.
    pub running: f64,
}

/// How an engine gives up layers that requests pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUp {
    /// Once the last of them has ended.
    Wait,
    /// At once: they go on elsewhere.
    Cut,
}

/// An engine and the layers it should hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub engine: EngineKey,
    /// The layers.
    pub layers: Layers,
    /// What becomes of requests that pass layers which it holds and should not.
    pub give_up: GiveUp,
}

/// What should be ordered now, for all engines of one service.
pub fn moves(model: &LayerModel, hosts: &[Host]) -> Vec<Move> {
    let groups = groups(model, hosts);
    groups
        .iter()
        .flat_map(|group| group_moves(model, group))
        .collect()
}

/// Engines by failure domain; those of domains that can't hold the model alone are one group.
fn groups(model: &LayerModel, hosts: &[Host]) -> Vec<Vec<Host>> {
    let mut by_domain: BTreeMap<&str, Vec<Host>> = BTreeMap::new();
    for host in hosts {
        by_domain
            .entry(&host.domain)
            .or_default()
            .push(host.clone());
    }
    let least = LEAST_REQUESTS * model.usual_context();
    let whole = |group: &Vec<Host>| {
        let layers: u32 = group
            .iter()
            .map(|host| model.most_layers(&host.card, least))
            .sum();
        layers >= model.layers
    };
    let (mut groups, rest): (Vec<_>, Vec<_>) = by_domain.into_values().partition(whole);
    if !rest.is_empty() {
        groups.push(rest.concat());
    }
    groups
}

fn group_moves(model: &LayerModel, group: &[Host]) -> Vec<Move> {
    let empty: Vec<Host> = group
        .iter()
        .filter(|host| host.layers.is_empty())
        .cloned()
        .collect();
    let Some(usual) = usual_room(model, group) else {
        return Vec::new();
    };
    let wanted = wanted_room(model, group, usual);
    let room = Room::of(model, group, usual);
    if room.least() == 0.0 && empty.len() * 2 >= group.len() {
        let planned = plan(model, &empty, wanted);
        if !planned.is_empty() {
            return planned;
        }
    }
    repair::repair(model, group, usual, wanted)
}

/// KV tokens for each layer up to which empty engines are placed.
fn wanted_room(model: &LayerModel, group: &[Host], usual: f64) -> f64 {
    let mut in_use = vec![0.0; model.layers as usize];
    for host in group {
        let tokens = host.running * model.usual_context();
        for layer in host.layers.clone() {
            if let Some(held) = in_use.get_mut(layer as usize) {
                *held += tokens;
            }
        }
    }
    let most = in_use.into_iter().fold(0.0, f64::max);
    (READY_CHAINS * usual).max(HEADROOM * most)
}

/// KV tokens of the smallest engine in the chain that an empty group would get first; `None` if the
/// group can't hold the model.
fn usual_room(model: &LayerModel, group: &[Host]) -> Option<f64> {
    let chains = best_chains(model, group);
    let first = chains.first().into_iter().flatten();
    let tokens =
        first.map(|(host, placed)| model.kv_tokens(&host.card, placed.layers.len() as u32));
    tokens.min_by(f64::total_cmp)
}

/// The fastest first, then the largest, then by id.
fn by_speed(a: &Host, b: &Host) -> std::cmp::Ordering {
    let speed = a.card.step_factor.total_cmp(&b.card.step_factor);
    let size = b.card.memory_mb.total_cmp(&a.card.memory_mb);
    speed.then(size).then_with(|| a.id.cmp(&b.id))
}
