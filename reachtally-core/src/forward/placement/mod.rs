//! Which layers each engine should hold.
//!
//! An empty group of engines is planned whole: several plans of chains are evaluated, and the one that serves most, whole
//! and after the loss of an engine, wins. Fast cards together give short requests, which hold KV for less time. A group that already holds layers is only repaired:
//! an empty engine takes the layers that lack KV most, and where a layer has much less of it than usual
//! engines that can be spared are moved there.

mod chains;
pub mod evaluate;
mod plan;
mod repair;
mod runs;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::forward::cost::{Card, LayerModel, Layers};
use crate::forward::fleet::EngineKey;
use chains::{Placed, best_chains};
use repair::Room;

pub use plan::plan;

/// Least KV of an engine, in usual requests; below it every second request would not fit.
const LEAST_REQUESTS: f64 = 6.0;

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
    let Some(usual) = usual_room(model, &best_chains(model, group)) else {
        return Vec::new();
    };
    let room = Room::of(model, group, usual);
    if room.least() == 0.0 && empty.len() * 2 >= group.len() {
        let planned = plan(model, &empty);
        if !planned.is_empty() {
            return planned;
        }
    }
    repair::repair(model, group, usual)
}

/// KV tokens that a layer of a group should have, by the first of the chains that are filled one after the other: no more
/// than the requests need for which a first engine has places. `None` if the group can't hold the model.
fn usual_room(model: &LayerModel, filled: &[Vec<Placed<'_>>]) -> Option<f64> {
    let most = f64::from(model.slots) * model.usual_context();
    chain_room(model, filled).map(|tokens| tokens.min(most))
}

/// KV tokens that the first of some chains has for the layer with least of them.
fn chain_room(model: &LayerModel, chains: &[Vec<Placed<'_>>]) -> Option<f64> {
    let first = chains.first()?;
    let tokens = |layer: u32| -> f64 {
        let holders = first
            .iter()
            .filter(|(_, placed)| placed.layers.contains(&layer));
        let room =
            |host: &Host, placed: &Move| model.kv_tokens(&host.card, placed.layers.len() as u32);
        holders.map(|(host, placed)| room(host, placed)).sum()
    };
    (0..model.layers).map(tokens).min_by(f64::total_cmp)
}

/// The fastest first, then the largest, then by id.
fn by_speed(a: &Host, b: &Host) -> std::cmp::Ordering {
    let speed = a.card.step_factor.total_cmp(&b.card.step_factor);
    let size = b.card.memory_mb.total_cmp(&a.card.memory_mb);
    speed.then(size).then_with(|| a.id.cmp(&b.id))
}
