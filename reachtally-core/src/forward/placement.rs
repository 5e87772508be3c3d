//! Which layers each engine should hold.
//!
//! An empty group of engines is planned whole: chains are filled with the fastest cards first, for
//! several amounts of KV, and the amount that makes them worth most wins. Fast cards together give
//! short requests, which hold KV for less time. A group that already holds layers is only repaired:
//! an empty engine takes the layers that lack KV most, and where a layer has much less of it than usual
//! engines that can be spared are moved there.

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
/// Room that empty engines are placed for, in parts of the usual: above 1, so that they add to what is
/// there.
const SPARE_GOAL: f64 = 1.35;
/// Room below which engines are moved to a layer, in parts of the usual.
const MOVE_GOAL: f64 = 0.7;
/// What may be lacking after a move, in parts of what was before: each move costs a load and the use
/// of the engine for seconds.
const MOVE_GAIN: f64 = 0.9;
/// Most engines moved at once; loads that run together slow each other.
const MOST_MOVES: u32 = 3;
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
    let Some(usual) = usual_room(model, group) else {
        return Vec::new();
    };
    let room = Room::of(model, group, usual);
    if room.least() == 0.0 && empty.len() * 2 >= group.len() {
        let planned = plan(model, &empty);
        if !planned.is_empty() {
            return planned;
        }
    }
    repair(model, group, usual)
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

/// KV tokens that engines have for each layer, all together. The requests that a group can run at once
/// are bounded by the layer with the least.
#[derive(Debug, Clone)]
struct Room {
    tokens: Vec<f64>,
    /// What one engine counts for at most: more than the rest of a chain has is of no use.
    cap: f64,
}

impl Room {
    fn of(model: &LayerModel, group: &[Host], cap: f64) -> Self {
        let mut room = Room {
            tokens: vec![0.0; model.layers as usize],
            cap,
        };
        for host in group {
            room.add(model, host, &host.layers, 1.0);
        }
        room
    }

    fn add(&mut self, model: &LayerModel, host: &Host, layers: &Layers, sign: f64) {
        let tokens = model.kv_tokens(&host.card, layers.len() as u32);
        let tokens = tokens.min(self.cap) * sign;
        for layer in layers.clone() {
            if let Some(held) = self.tokens.get_mut(layer as usize) {
                *held += tokens;
            }
        }
    }

    fn least(&self) -> f64 {
        self.tokens.iter().copied().fold(f64::INFINITY, f64::min)
    }

    /// What the layers lack of `goal`, all together. A layer that nobody holds counts double, since
    /// nothing runs without it.
    fn lack(&self, goal: f64) -> f64 {
        let lack = |held: &f64| match *held <= 0.0 {
            true => 2.0 * goal,
            false => (goal - held).max(0.0),
        };
        self.tokens.iter().map(lack).sum()
    }

    /// Whether some layers have the room that is asked for.
    fn suffices(&self, layers: &Layers, goal: f64) -> bool {
        layers
            .clone()
            .all(|layer| self.tokens[layer as usize] >= goal)
    }

    /// Where runs of layers with equal room begin.
    fn starts(&self) -> Vec<u32> {
        let is_start = |at: &usize| *at == 0 || self.tokens[*at] != self.tokens[*at - 1];
        (0..self.tokens.len())
            .filter(is_start)
            .map(|at| at as u32)
            .collect()
    }
}

/// Layers for an engine, and what is lacking with them.
struct Candidate {
    lack: f64,
    layers: Layers,
}

/// Give empty engines the layers that lack room most, and move engines whose layers have enough room
/// without them; any engine, where nobody holds some layer. Moving others would only carry the lack to
/// another place, while requests pass there.
fn repair(model: &LayerModel, group: &[Host], usual: f64) -> Vec<Move> {
    let mut hosts: Vec<Host> = group.to_vec();
    hosts.sort_by(by_speed);
    let mut room = Room::of(model, &hosts, usual);
    let mut moves = Vec::new();
    for host in hosts.iter_mut().filter(|host| host.layers.is_empty()) {
        if let Some(best) = best_layers(model, host, &room, usual * SPARE_GOAL) {
            apply(model, host, &mut room, best.layers, &mut moves);
        }
    }
    let goal = usual * MOVE_GOAL;
    for _ in 0..MOST_MOVES {
        let lack = room.lack(goal);
        let candidates = (0..hosts.len()).filter(|at| {
            !moves
                .iter()
                .any(|placed: &Move| placed.engine == hosts[*at].engine)
        });
        let has_hole = room.least() <= 0.0;
        let options = candidates.filter_map(|at| {
            let mut without = room.clone();
            without.add(model, &hosts[at], &hosts[at].layers, -1.0);
            if !has_hole && !without.suffices(&hosts[at].layers, goal) {
                return None;
            }
            let best = best_layers(model, &hosts[at], &without, goal)?;
            Some((at, best))
        });
        let best = options.min_by(|a, b| a.1.lack.total_cmp(&b.1.lack));
        let Some((at, best)) = best.filter(|(_, best)| best.lack < lack * MOVE_GAIN) else {
            break;
        };
        apply(model, &mut hosts[at], &mut room, best.layers, &mut moves);
    }
    moves
}

fn apply(
    model: &LayerModel,
    host: &mut Host,
    room: &mut Room,
    layers: Layers,
    moves: &mut Vec<Move>,
) {
    room.add(model, host, &host.layers, -1.0);
    room.add(model, host, &layers, 1.0);
    host.layers = layers.clone();
    moves.push(Move {
        engine: host.engine,
        layers,
    });
}

/// The layers for an engine after which the least is lacking, given the room without it.
fn best_layers(model: &LayerModel, host: &Host, room: &Room, goal: f64) -> Option<Candidate> {
    let most = model.most_layers(&host.card, LEAST_REQUESTS * model.usual_context());
    let mut best: Option<Candidate> = None;
    for start in room.starts() {
        for count in 1..=most.min(model.layers - start) {
            let layers = start..start + count;
            let mut with = room.clone();
            with.add(model, host, &layers, 1.0);
            let lack = with.lack(goal);
            if best.as_ref().is_none_or(|best| lack < best.lack) {
                best = Some(Candidate { lack, layers });
            }
        }
    }
    best
}

/// The fastest first, then the largest, then by id.
fn by_speed(a: &Host, b: &Host) -> std::cmp::Ordering {
    let speed = a.card.step_factor.total_cmp(&b.card.step_factor);
    let size = b.card.memory_mb.total_cmp(&a.card.memory_mb);
    speed.then(size).then_with(|| a.id.cmp(&b.id))
}

/// Chains over empty engines.
pub fn plan(model: &LayerModel, empty: &[Host]) -> Vec<Move> {
    let chains = best_chains(model, empty);
    chains
        .into_iter()
        .flatten()
        .map(|(_, placed)| placed)
        .collect()
}

/// The chains that engines would form if all were empty, with the amount of KV that makes them worth
/// most.
fn best_chains<'a>(model: &LayerModel, hosts: &'a [Host]) -> Vec<Vec<Placed<'a>>> {
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
