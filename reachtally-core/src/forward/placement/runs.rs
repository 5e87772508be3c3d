//! Chains that are runs of engines in the order of speed, balanced and with shared engines after their first ones.

use std::collections::BTreeMap;

use super::chains::Placed;
use super::{GiveUp, Host, LEAST_REQUESTS, Move};
use crate::forward::cost::{Card, LayerModel, WAIT_FACTOR};
use crate::forward::path::MOST_PARTS;

/// Most requests at once that a chain is planned for, where first engines have no bound.
const MOST_REQUESTS: f64 = 512.0;
/// Part of the largest chain's flow that is taken off for the chance that one of its engines dies.
const LARGEST_AT_RISK: f64 = 0.5;
/// Most first engines of a chain, which share the engines after them.
const MOST_FIRSTS: usize = 4;
/// Numbers of equal chains whose flow is tried as a bound on what one chain may be worth.
const EQUAL_CHAINS: [f64; 9] = [1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 8.0, 11.0, 16.0];
/// Gap between events from which a chain counts for less, in ms; objectives are not part of the model.
const LONG_GAP_MS: f64 = 150.0;
/// Halvings by which the requests at once are found that a chain has room for.
const LEVEL_ROUNDS: u32 = 16;
/// Rounds in which a chain's flow and the time that depends on it settle.
const FLOW_ROUNDS: u32 = 8;
/// Time of a hop between engines of a group, in ms.
const HOP_MS: f64 = 0.5;

/// Plans of chains over empty engines, the fastest chains first; the best by the flow of their chains come first.
///
/// Engines are sorted by speed and cut into runs, each of which is a chain: 1 over the time of a request is convex, so fast
/// engines are worth more together than spread over chains. A bound on what one chain counts for keeps a domain
/// from hanging on one chain; several bounds are tried.
pub(super) fn cuts<'a>(model: &LayerModel, hosts: &[&'a Host]) -> Vec<Vec<Vec<Placed<'a>>>> {
    let runs = Runs::of(model, hosts);
    let total: f64 = runs.cut(f64::INFINITY).iter().map(|run| run.flow).sum();
    let mut cuts: Vec<(f64, Vec<Run>)> = Vec::new();
    for chains in EQUAL_CHAINS {
        let cut = runs.cut(total / chains);
        let largest = cut.iter().map(|run| run.flow).fold(0.0, f64::max);
        let worth = cut.iter().map(|run| run.flow).sum::<f64>() - LARGEST_AT_RISK * largest;
        if worth > 0.0 && cuts.iter().all(|known| known.0 != worth) {
            cuts.push((worth, cut));
        }
    }
    cuts.sort_by(|a, b| b.0.total_cmp(&a.0));
    let chains = |cut: Vec<Run>| cut.iter().map(|run| placed(model, hosts, run)).collect();
    cuts.into_iter().map(|(_, cut)| chains(cut)).collect()
}

/// Engines `from..to` in the order of speed, as one chain whose last `firsts` engines all hold its first layers.
#[derive(Debug, Clone, Copy)]
struct Run {
    from: usize,
    to: usize,
    firsts: usize,
    /// Requests that it runs at once.
    at_once: f64,
    /// Requests a second.
    flow: f64,
}

/// All runs that can be chains, by their ends.
struct Runs {
    by_end: Vec<Vec<Run>>,
}

impl Runs {
    fn of(model: &LayerModel, hosts: &[&Host]) -> Self {
        let mut known = BTreeMap::new();
        let kinds = kinds(hosts);
        let mut by_end = vec![Vec::new(); hosts.len() + 1];
        for from in 0..hosts.len() {
            for to in from + 1..=hosts.len().min(from + MOST_PARTS + MOST_FIRSTS) {
                // Runs with as many engines of each kind are alike.
                let key = (kinds[from].0, kinds[from].1, kinds[to - 1].0, to - from);
                let run = known
                    .entry(key)
                    .or_insert_with(|| best_run(model, &hosts[from..to]));
                if let Some((firsts, at_once, flow)) = *run {
                    by_end[to].push(Run {
                        from,
                        to,
                        firsts,
                        at_once,
                        flow,
                    });
                }
            }
        }
        Runs { by_end }
    }

    /// The runs that are worth most together, where none counts for more than `most`.
    fn cut(&self, most: f64) -> Vec<Run> {
        let mut best: Vec<(f64, Option<Run>)> = vec![(0.0, None)];
        for end in 1..self.by_end.len() {
            let mut here = (best[end - 1].0, None);
            for run in &self.by_end[end] {
                let worth = best[run.from].0 + run.flow.min(most);
                if worth > here.0 {
                    here = (worth, Some(*run));
                }
            }
            best.push(here);
        }
        let mut cut = Vec::new();
        let mut end = best.len() - 1;
        while end > 0 {
            end = match best[end].1 {
                Some(run) => {
                    cut.push(run);
                    run.from
                }
                None => end - 1,
            };
        }
        cut.reverse();
        cut
    }
}

/// For each engine the number of its kind, and how many of that kind are at or after it.
fn kinds(hosts: &[&Host]) -> Vec<(usize, usize)> {
    let mut kinds: Vec<(usize, usize)> = Vec::new();
    for (at, host) in hosts.iter().enumerate() {
        let is_new = at == 0 || hosts[at - 1].card != host.card;
        let before = kinds.last().map_or(0, |kind| kind.0);
        kinds.push((before + usize::from(is_new), 1));
    }
    for at in (1..kinds.len()).rev() {
        if kinds[at].0 == kinds[at - 1].0 {
            kinds[at - 1].1 = kinds[at].1 + 1;
        }
    }
    kinds
}

/// The number of first engines with which a chain of all these engines serves most, the requests that it runs at once
/// and its flow.
fn best_run(model: &LayerModel, hosts: &[&Host]) -> Option<(usize, f64, f64)> {
    let firsts = 1..=MOST_FIRSTS.min(hosts.len());
    let options = firsts.filter_map(|firsts| {
        if hosts.len() + 1 - firsts > MOST_PARTS {
            return None;
        }
        let at_once = level(model, hosts, firsts)?;
        let flow = flow(model, hosts, firsts, at_once);
        Some((firsts, at_once, flow))
    });
    options.max_by(|a, b| a.2.total_cmp(&b.2))
}

/// Most layers of the first engines, and of each other one, that leave room for `at_once` requests.
fn most_layers(
    model: &LayerModel,
    hosts: &[&Host],
    firsts: usize,
    at_once: f64,
) -> (u32, Vec<u32>) {
    let kv = at_once * model.usual_context();
    let (rest, first) = hosts.split_at(hosts.len() - firsts);
    let of_first = |host: &&Host| model.most_layers(&host.card, kv / firsts as f64);
    let rest = rest.iter().map(|host| model.most_layers(&host.card, kv));
    (
        first.iter().map(of_first).min().unwrap_or(0),
        rest.collect(),
    )
}

/// Most requests at once for which the engines of a chain have room beside all layers.
fn level(model: &LayerModel, hosts: &[&Host], firsts: usize) -> Option<f64> {
    let holds = |at_once: f64| {
        let (first, rest) = most_layers(model, hosts, firsts, at_once);
        first > 0 && first + rest.iter().sum::<u32>() >= model.layers
    };
    let places = f64::from(model.slots).min(MOST_REQUESTS) * firsts as f64;
    let (mut low, mut high) = (LEAST_REQUESTS, places);
    if !holds(low) {
        return None;
    }
    if holds(high) {
        return Some(high);
    }
    for _ in 0..LEVEL_ROUNDS {
        let middle = (low + high) / 2.0;
        match holds(middle) {
            true => low = middle,
            false => high = middle,
        }
    }
    Some(low)
}

/// Layers of the first engines and of the others in order; the last hold what the others leave.
fn split(model: &LayerModel, hosts: &[&Host], firsts: usize, at_once: f64) -> (u32, Vec<u32>) {
    let (first, rest) = most_layers(model, hosts, firsts, at_once);
    let first = first.min(model.layers);
    let mut left = model.layers - first;
    let rest = rest.into_iter().map(|most| {
        let layers = most.min(left);
        left -= layers;
        layers
    });
    (first, rest.collect())
}

/// Requests a second of a chain, by the requests that it runs at once and the time that each takes, less where its
/// gaps are long. The time depends on the flow, since engines read prompts in between.
fn flow(model: &LayerModel, hosts: &[&Host], firsts: usize, at_once: f64) -> f64 {
    let (first, rest) = split(model, hosts, firsts, at_once);
    let own = |(host, layers): (&&Host, u32)| (host.card, layers, 1.0);
    let mut parts: Vec<(Card, u32, f64)> = hosts.iter().zip(rest).map(own).collect();
    parts.retain(|part| part.1 > 0);
    // All first engines are of like speed; a request passes one of them.
    parts.push((hosts[hosts.len() - 1].card, first, 1.0 / firsts as f64));
    let batch = |layers: u32, part: f64| (at_once * part * model.share(layers)).max(1.0);
    let read = parts.iter().map(|(card, layers, part)| {
        let tokens = model.most_read_per_s(card, *layers, batch(*layers, *part));
        tokens / model.usual_prompt.max(1.0) / part
    });
    let most = read.fold(f64::INFINITY, f64::min);
    let mut flow = 0.0;
    let mut token_ms = 0.0;
    for _ in 0..FLOW_ROUNDS {
        let mut read_ms = 0.0;
        token_ms = 0.0;
        for (card, layers, part) in &parts {
            let batch = batch(*layers, *part);
            let busy = WAIT_FACTOR * model.reading_slowdown(card, *layers, flow * part);
            read_ms += busy * model.read_ms(card, *layers, model.usual_prompt) + HOP_MS;
            token_ms += busy * model.step_ms(card, *layers, batch) + HOP_MS;
        }
        let held_ms = read_ms + model.usual_answer * token_ms;
        flow = f64::min((flow + at_once * 1000.0 / held_ms.max(1.0)) / 2.0, most);
    }
    let gap_ms = token_ms * model.stride.max(1.0);
    flow * (LONG_GAP_MS / gap_ms.max(LONG_GAP_MS)).powi(2)
}

/// The engines of a run with their layers, in the order of the layers.
fn placed<'a>(model: &LayerModel, hosts: &[&'a Host], run: &Run) -> Vec<Placed<'a>> {
    let hosts = &hosts[run.from..run.to];
    let (first, rest) = split(model, hosts, run.firsts, run.at_once);
    let (others, firsts) = hosts.split_at(hosts.len() - run.firsts);
    let mut at = first;
    let rest = others.iter().zip(rest).map(|(host, layers)| {
        let from = at;
        at += layers;
        (*host, from..at)
    });
    let all = firsts.iter().map(|host| (*host, 0..first)).chain(rest);
    let is_used = all.filter(|(_, layers)| !layers.is_empty());
    let placed = is_used.map(|(host, layers)| {
        let engine = host.engine;
        let give_up = GiveUp::Wait;
        (
            host,
            Move {
                engine,
                layers,
                give_up,
            },
        )
    });
    placed.collect()
}
