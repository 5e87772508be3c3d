//! Plans complete chains over empty engines.

use super::{GiveUp, Host, MIN_REQUESTS, Move, by_speed};
use crate::forward::cost::{LayerModel, WAIT_FACTOR};

/// Largest KV capacity tried, in mean requests.
const MAX_REQUESTS: f64 = 512.0;
/// Factor between two capacities tried.
const REQUESTS_FACTOR: f64 = 1.15;
/// Fraction of the largest chain's value that is deducted for the risk that it fails.
const LARGEST_CHAIN_RISK: f64 = 0.4;
/// Number of iterations in which the throughput of a chain and the request duration that depends on
/// it converge.
const THROUGHPUT_ITERATIONS: u32 = 12;
/// Latency of a hop between engines of a group, in ms.
const HOP_MS: f64 = 0.5;

/// Returns chains over empty engines, in the order in which they are filled, until the smallest
/// engines of the chains have `required` KV tokens in total.
pub fn plan(model: &LayerModel, empty: &[Host], required: f64) -> Vec<Move> {
    let mut moves = Vec::new();
    let mut tokens = 0.0;
    for chain in best_chains(model, empty) {
        if tokens >= required {
            break;
        }
        tokens += min_kv_tokens(model, &chain);
        moves.extend(chain.into_iter().map(|(_, assigned)| assigned));
    }
    moves
}

/// Returns the KV tokens of the smallest engine of a chain.
fn min_kv_tokens(model: &LayerModel, chain: &[Assigned<'_>]) -> f64 {
    let each = chain
        .iter()
        .map(|(host, assigned)| model.kv_tokens(&host.card, assigned.layers.len() as u32));
    each.fold(f64::INFINITY, f64::min)
}

/// Returns the chains that the engines would form if all were empty, for the KV capacity with the
/// highest total value.
pub(super) fn best_chains<'a>(model: &LayerModel, hosts: &'a [Host]) -> Vec<Vec<Assigned<'a>>> {
    let mut hosts: Vec<&Host> = hosts.iter().collect();
    hosts.sort_by(|a, b| by_speed(a, b));
    let mut best: (f64, Vec<Vec<Assigned<'_>>>) = (0.0, Vec::new());
    let mut requests = MIN_REQUESTS;
    while requests <= MAX_REQUESTS {
        let chains = chains(model, &hosts, requests * model.mean_context_tokens());
        let value = value(model, &chains);
        if value > best.0 {
            best = (value, chains);
        }
        requests *= REQUESTS_FACTOR;
    }
    best.1
}

/// An engine of a chain with its layers.
pub(super) type Assigned<'a> = (&'a Host, Move);

/// Fills chains in the order of `hosts`. Each engine holds as many layers as leave it `kv` KV
/// tokens. The engines of the last chain stay empty if it cannot be completed.
fn chains<'a>(model: &LayerModel, hosts: &[&'a Host], kv: f64) -> Vec<Vec<Assigned<'a>>> {
    let mut chains = Vec::new();
    let mut chain = Vec::new();
    let mut start = 0;
    for host in hosts {
        let max_layers = model.max_layers(&host.card, kv);
        let end = (start + max_layers).min(model.layers);
        if end == start {
            continue;
        }
        let assigned = Move {
            engine: host.engine,
            layers: start..end,
            give_up: GiveUp::Wait,
        };
        chain.push((*host, assigned));
        start = end;
        if start == model.layers {
            chains.push(std::mem::take(&mut chain));
            start = 0;
        }
    }
    chains
}

/// Returns the value of chains: the sum over all chains of the throughput divided by the request
/// duration, minus a fraction of the largest value. Throughput alone would put all engines into one
/// long chain, where requests take long, occupy KV capacity for long, and all stall when one engine
/// fails.
fn value(model: &LayerModel, chains: &[Vec<Assigned<'_>>]) -> f64 {
    let each: Vec<f64> = chains
        .iter()
        .map(|chain| chain_value(model, chain))
        .collect();
    let largest = each.iter().copied().fold(0.0, f64::max);
    each.iter().sum::<f64>() - LARGEST_CHAIN_RISK * largest
}

/// Returns the throughput of one chain in requests per second, divided by the request duration in
/// seconds. The throughput is limited by the slots or the KV capacity. The duration depends on it,
/// since engines prefill prompts between decode steps.
fn chain_value(model: &LayerModel, chain: &[Assigned<'_>]) -> f64 {
    let concurrency =
        (min_kv_tokens(model, chain) / model.mean_context_tokens()).min(f64::from(model.slots));
    let batch = (concurrency / chain.len() as f64).max(1.0);
    let mut throughput = 0.0;
    let mut duration_ms = 1.0;
    for _ in 0..THROUGHPUT_ITERATIONS {
        duration_ms = request_duration_ms(model, chain, batch, throughput);
        throughput = (throughput + concurrency * 1000.0 / duration_ms) / 2.0;
    }
    throughput * 1000.0 / duration_ms
}

/// Returns the duration of a request on a chain that serves `throughput` requests per second, in
/// ms.
fn request_duration_ms(
    model: &LayerModel,
    chain: &[Assigned<'_>],
    batch: f64,
    throughput: f64,
) -> f64 {
    let parts = chain.iter().map(|(host, assigned)| {
        let layers = assigned.layers.len() as u32;
        let step_ms = model.step_ms(&host.card, layers, batch);
        let prefill_ms = model.prefill_ms(&host.card, layers, model.mean_prompt_tokens);
        let busy = model.prefill_slowdown(&host.card, layers, throughput) * WAIT_FACTOR;
        busy * (prefill_ms + model.mean_answer_tokens * step_ms) + model.mean_answer_tokens * HOP_MS
    });
    parts.sum()
}
