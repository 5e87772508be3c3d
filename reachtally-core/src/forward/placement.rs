//! Which layers each engine should hold.
//!
//! An empty group of engines is planned whole: chains are filled with the fastest cards first, for
//! several amounts of KV, and the amount with the best expected flow wins. Fast cards together give
//! short requests, which hold KV for less time. A group that already holds layers is only repaired:
//! an empty engine takes the layers that the fewest others hold, and where no engine holds some layer
//! one that others can spare is moved.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::forward::cost::{Card, LayerModel, Layers, WAIT_FACTOR};
use crate::forward::fleet::EngineKey;

/// Least KV of an engine, in usual requests; below it every second request would not fit.
const LEAST_REQUESTS: f64 = 6.0;
/// Largest KV tried, in usual requests.
const MOST_REQUESTS: f64 = 512.0;
/// Step between two amounts tried.
const REQUESTS_STEP: f64 = 1.15;
/// Part of the largest chain's worth that is taken off for the chance that it dies.
const LARGEST_AT_RISK: f64 = 0.4;
/// Rounds in which a chain's flow and the time that depends on it settle.
const FLOW_ROUNDS: u32 = 12;
/// Time of a hop between engines of a group, in ms.
const HOP_MS: f64 = 0.5;

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
}

/// An engine and the layers it should hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub engine: EngineKey,
    /// The layers.
    pub layers: Layers,
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
    let cover = coverage(model, group);
    let is_whole = cover.iter().all(|count| *count > 0);
    if !is_whole && empty.len() * 2 >= group.len() {
        let planned = plan(model, &empty);
        if !planned.is_empty() {
            return planned;
        }
    }
    let filled = fill(model, &empty, cover);
    if !filled.is_empty() || is_whole {
        return filled;
    }
    spare(model, group).into_iter().collect()
}

/// How many engines hold each layer.
fn coverage(model: &LayerModel, group: &[Host]) -> Vec<u32> {
    let mut cover = vec![0; model.layers as usize];
    for layer in group.iter().flat_map(|host| host.layers.clone()) {
        if let Some(count) = cover.get_mut(layer as usize) {
            *count += 1;
        }
    }
    cover
}

/// The longest run of layers that the fewest engines hold.
fn least_covered(cover: &[u32]) -> Layers {
    let least = cover.iter().min().copied().unwrap_or(0);
    let mut best = 0..0;
    let mut start = 0;
    for at in 0..=cover.len() {
        if cover.get(at) == Some(&least) {
            continue;
        }
        if at - start > best.len() {
            best = start..at;
        }
        start = at + 1;
    }
    best.start as u32..best.end as u32
}

/// Give empty engines the layers that the fewest others hold.
fn fill(model: &LayerModel, empty: &[Host], mut cover: Vec<u32>) -> Vec<Move> {
    let least = LEAST_REQUESTS * model.usual_context();
    let mut hosts: Vec<&Host> = empty.iter().collect();
    hosts.sort_by(|a, b| by_speed(a, b));
    let mut moves = Vec::new();
    for host in hosts {
        let run = least_covered(&cover);
        let most = model.most_layers(&host.card, least);
        let end = run.end.min(run.start + most);
        if end <= run.start {
            continue;
        }
        for layer in run.start..end {
            cover[layer as usize] += 1;
        }
        moves.push(Move {
            engine: host.engine,
            layers: run.start..end,
        });
    }
    moves
}

/// Move one engine whose layers others hold too onto layers that nobody holds.
fn spare(model: &LayerModel, group: &[Host]) -> Option<Move> {
    let cover = coverage(model, group);
    let hole = least_covered(&cover);
    let least = LEAST_REQUESTS * model.usual_context();
    let is_spare = |host: &&Host| {
        !host.layers.is_empty() && host.layers.clone().all(|layer| cover[layer as usize] > 1)
    };
    let donor = group.iter().filter(is_spare).min_by(|a, b| {
        let fits = |host: &Host| model.most_layers(&host.card, least) < hole.len() as u32;
        fits(a).cmp(&fits(b)).then(by_speed(b, a))
    })?;
    let most = model.most_layers(&donor.card, least);
    let end = hole.end.min(hole.start + most);
    (end > hole.start).then(|| Move {
        engine: donor.engine,
        layers: hole.start..end,
    })
}

/// The fastest first, then the largest, then by id.
fn by_speed(a: &Host, b: &Host) -> std::cmp::Ordering {
    let speed = a.card.step_factor.total_cmp(&b.card.step_factor);
    let size = b.card.memory_mb.total_cmp(&a.card.memory_mb);
    speed.then(size).then_with(|| a.id.cmp(&b.id))
}

/// Chains over empty engines, with the amount of KV that gives the best flow.
pub fn plan(model: &LayerModel, empty: &[Host]) -> Vec<Move> {
    let mut hosts: Vec<&Host> = empty.iter().collect();
    hosts.sort_by(|a, b| by_speed(a, b));
    let mut best: (f64, Vec<Move>) = (0.0, Vec::new());
    let mut requests = LEAST_REQUESTS;
    while requests <= MOST_REQUESTS {
        let chains = chains(model, &hosts, requests * model.usual_context());
        let worth = worth(model, &chains);
        if worth > best.0 {
            best = (
                worth,
                chains
                    .into_iter()
                    .flatten()
                    .map(|(_, placed)| placed)
                    .collect(),
            );
        }
        requests *= REQUESTS_STEP;
    }
    best.1
}

/// An engine of a chain with its layers.
type Placed<'a> = (&'a Host, Move);

/// Fill chains in the order of `hosts`, each engine holding as much as leaves it `kv` tokens. The
/// engines of the last chain, which can't be completed, stay empty.
fn chains<'a>(model: &LayerModel, hosts: &[&'a Host], kv: f64) -> Vec<Vec<Placed<'a>>> {
    let mut chains = Vec::new();
    let mut chain = Vec::new();
    let mut at = 0;
    for host in hosts {
        let most = model.most_layers(&host.card, kv);
        let end = (at + most).min(model.layers);
        if end == at {
            continue;
        }
        let placed = Move {
            engine: host.engine,
            layers: at..end,
        };
        chain.push((*host, placed));
        at = end;
        if at == model.layers {
            chains.push(std::mem::take(&mut chain));
            at = 0;
        }
    }
    chains
}

/// What chains are worth: the sum of each one's flow over the time that a request takes there, less a
/// part of the largest. Flow alone would put every engine into one long chain, where requests take
/// long, hold KV long, and all stand still when one engine dies.
fn worth(model: &LayerModel, chains: &[Vec<Placed<'_>>]) -> f64 {
    let each: Vec<f64> = chains
        .iter()
        .map(|chain| chain_worth(model, chain))
        .collect();
    let largest = each.iter().copied().fold(0.0, f64::max);
    each.iter().sum::<f64>() - LARGEST_AT_RISK * largest
}

/// Requests a second of one chain, by its places or its KV and the time that a request holds it, over
/// that time in seconds. The time depends on the flow, since engines read prompts in between.
fn chain_worth(model: &LayerModel, chain: &[Placed<'_>]) -> f64 {
    let kv = chain
        .iter()
        .map(|(host, placed)| model.kv_tokens(&host.card, placed.layers.len() as u32));
    let kv = kv.fold(f64::INFINITY, f64::min);
    let at_once = (kv / model.usual_context()).min(f64::from(model.slots));
    let batch = (at_once / chain.len() as f64).max(1.0);
    let mut flow = 0.0;
    let mut held_ms = 1.0;
    for _ in 0..FLOW_ROUNDS {
        held_ms = chain_held_ms(model, chain, batch, flow);
        flow = (flow + at_once * 1000.0 / held_ms) / 2.0;
    }
    flow * 1000.0 / held_ms
}

/// Time that a request holds a chain which serves `flow` requests a second, in ms.
fn chain_held_ms(model: &LayerModel, chain: &[Placed<'_>], batch: f64, flow: f64) -> f64 {
    let parts = chain.iter().map(|(host, placed)| {
        let layers = placed.layers.len() as u32;
        let step_ms = model.step_ms(&host.card, layers, batch);
        let read_ms = model.read_ms(&host.card, layers, model.usual_prompt);
        let busy = model.reading_slowdown(&host.card, layers, flow) * WAIT_FACTOR;
        busy * (read_ms + model.usual_answer * step_ms) + model.usual_answer * HOP_MS
    });
    parts.sum()
}
