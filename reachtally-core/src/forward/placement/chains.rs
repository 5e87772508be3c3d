//! Whole chains over engines that are all empty.

use super::{GiveUp, Host, LEAST_REQUESTS, Move, by_speed};
use crate::forward::cost::{LayerModel, WAIT_FACTOR};

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

/// Chains over empty engines, in the order in which they are filled, until their smallest engines have `wanted` KV tokens together.
pub fn plan(model: &LayerModel, empty: &[Host], wanted: f64) -> Vec<Move> {
    let mut planned = Vec::new();
    let mut room = 0.0;
    for chain in best_chains(model, empty) {
        if room >= wanted {
            break;
        }
        room += least_kv(model, &chain);
        planned.extend(chain.into_iter().map(|(_, placed)| placed));
    }
    planned
}

/// KV tokens of the smallest engine of a chain.
fn least_kv(model: &LayerModel, chain: &[Placed<'_>]) -> f64 {
    let each = chain
        .iter()
        .map(|(host, placed)| model.kv_tokens(&host.card, placed.layers.len() as u32));
    each.fold(f64::INFINITY, f64::min)
}

/// The chains that engines would form if all were empty, with the amount of KV that makes them worth
/// most.
pub(super) fn best_chains<'a>(model: &LayerModel, hosts: &'a [Host]) -> Vec<Vec<Placed<'a>>> {
    let mut hosts: Vec<&Host> = hosts.iter().collect();
    hosts.sort_by(|a, b| by_speed(a, b));
    let mut best: (f64, Vec<Vec<Placed<'_>>>) = (0.0, Vec::new());
    let mut requests = LEAST_REQUESTS;
    while requests <= MOST_REQUESTS {
        let chains = chains(model, &hosts, requests * model.usual_context());
        let worth = worth(model, &chains);
        if worth > best.0 {
            best = (worth, chains);
        }
        requests *= REQUESTS_STEP;
    }
    best.1
}

/// An engine of a chain with its layers.
pub(super) type Placed<'a> = (&'a Host, Move);

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
            give_up: GiveUp::Wait,
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
    let at_once = (least_kv(model, chain) / model.usual_context()).min(f64::from(model.slots));
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
