//! What a group that holds layers already should change.

use super::{GiveUp, Host, LEAST_REQUESTS, Move, by_speed};
use crate::forward::cost::{LayerModel, Layers};

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

/// What loading a layer costs, in parts of the room that it should have: of two moves that serve alike,
/// the one that loads less is done sooner.
const LOAD_COST: f64 = 0.02;

/// KV tokens that engines have for each layer, all together. The requests that a group can run at once
/// are bounded by the layer with the least.
#[derive(Debug, Clone)]
pub(super) struct Room {
    tokens: Vec<f64>,
    /// What one engine counts for at most: more than the rest of a chain has is of no use.
    cap: f64,
}

impl Room {
    pub(super) fn of(model: &LayerModel, group: &[Host], cap: f64) -> Self {
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

    pub(super) fn least(&self) -> f64 {
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

    /// How much more the group could serve with an engine's room at `layers`: the sum of each layer's relative
    /// gain, which is larger where there is less.
    fn gain(&self, model: &LayerModel, host: &Host, layers: &Layers) -> f64 {
        let tokens = model.kv_tokens(&host.card, layers.len() as u32);
        let tokens = tokens.min(self.cap);
        let each = layers.clone().map(|layer| {
            let held = self.tokens[layer as usize].max(f64::MIN_POSITIVE);
            (tokens / held).ln_1p()
        });
        each.sum()
    }

    /// Whether some layers have the room that is asked for.
    fn suffices(&self, layers: &Layers, goal: f64) -> bool {
        layers
            .clone()
            .all(|layer| self.tokens[layer as usize] >= goal)
    }

    /// Where runs of layers with equal room begin, and where an engine's own layers do.
    fn starts_beside(&self, own: &Layers) -> Vec<u32> {
        let is_start = |at: &usize| {
            *at == 0 || self.tokens[*at] != self.tokens[*at - 1] || *at == own.start as usize
        };
        (0..self.tokens.len())
            .filter(is_start)
            .map(|at| at as u32)
            .collect()
    }
}

/// Layers for an engine, and what they cost: what is lacking with them and what the change takes, both in
/// KV tokens, summed over layers.
struct Candidate {
    cost: f64,
    layers: Layers,
}

/// The room that a group should have.
struct Goal<'a> {
    model: &'a LayerModel,
    /// Tokens that each layer should have.
    tokens: f64,
}

impl Goal<'_> {
    /// What the change of an engine to `layers` takes: the room in use at layers that it gives up, and the
    /// time of its load.
    fn change(&self, host: &Host, layers: &Layers) -> f64 {
        let holds = |layer: &u32| host.layers.contains(layer);
        let kept = layers.clone().filter(holds).count();
        let given_up = host.layers.len() - kept;
        let loaded = layers.len() - kept;
        let in_use = host.running * self.model.usual_context();
        given_up as f64 * in_use + loaded as f64 * self.tokens * LOAD_COST
    }

    /// The layers for an engine that cost least, given the room without it.
    fn best_layers(&self, host: &Host, room: &Room) -> Option<Candidate> {
        let options = ranges(self.model, host, room).map(|layers| {
            let mut with = room.clone();
            with.add(self.model, host, &layers, 1.0);
            let cost = with.lack(self.tokens) + self.change(host, &layers);
            Candidate { cost, layers }
        });
        options.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }
}

/// Layers that an engine may hold beside its least KV, from each place where the room changes.
fn ranges(model: &LayerModel, host: &Host, room: &Room) -> impl Iterator<Item = Layers> {
    let least = LEAST_REQUESTS * model.usual_context();
    let most = model.most_layers(&host.card, least);
    let end = model.layers;
    let starts = room.starts_beside(&host.layers).into_iter();
    starts.flat_map(move |start| (1..=most.min(end - start)).map(move |count| start..start + count))
}

/// The layers with which an empty engine adds most to a group that lacks nothing. Without it such an engine got the
/// layer `0..1` alone, and each loss left the fleet smaller.
fn most_useful(model: &LayerModel, host: &Host, room: &Room) -> Option<Layers> {
    let options = ranges(model, host, room);
    let gains = options.map(|layers| (room.gain(model, host, &layers), layers));
    let best = gains.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.len().cmp(&a.1.len())));
    best.map(|(_, layers)| layers)
}

/// Give empty engines the layers that lack room most, and move engines whose layers have enough room
/// without them; any engine, where nobody holds some layer. Moving others would only carry the lack to
/// another place, while requests pass there. Once each layer has `wanted` tokens, empty engines stay empty.
pub(super) fn repair(model: &LayerModel, group: &[Host], usual: f64, wanted: f64) -> Vec<Move> {
    let mut hosts: Vec<Host> = group.to_vec();
    hosts.sort_by(by_speed);
    let mut room = Room::of(model, &hosts, usual);
    let mut moves = Vec::new();
    let spare = Goal {
        model,
        tokens: usual * SPARE_GOAL,
    };
    for host in hosts.iter_mut().filter(|host| host.layers.is_empty()) {
        if room.least() >= wanted {
            break;
        }
        let layers = match room.least() >= spare.tokens {
            true => most_useful(model, host, &room),
            false => spare.best_layers(host, &room).map(|best| best.layers),
        };
        if let Some(layers) = layers {
            apply(model, host, &mut room, layers, &mut moves);
        }
    }
    let goal = Goal {
        model,
        tokens: usual * MOVE_GOAL,
    };
    for _ in 0..MOST_MOVES {
        if room.lack(goal.tokens) <= 0.0 {
            break;
        }
        let Some((at, best)) = best_move(&goal, &hosts, &room, &moves) else {
            break;
        };
        if best.cost >= room.lack(goal.tokens) * MOVE_GAIN {
            break;
        }
        apply(model, &mut hosts[at], &mut room, best.layers, &mut moves);
    }
    moves
}

/// The engine whose move costs least, and its layers.
fn best_move(
    goal: &Goal<'_>,
    hosts: &[Host],
    room: &Room,
    moves: &[Move],
) -> Option<(usize, Candidate)> {
    let has_hole = room.least() <= 0.0;
    let is_moved = |host: &Host| moves.iter().any(|placed| placed.engine == host.engine);
    let options = hosts.iter().enumerate().filter_map(|(at, host)| {
        if is_moved(host) {
            return None;
        }
        let mut without = room.clone();
        without.add(goal.model, host, &host.layers, -1.0);
        if !has_hole && !without.suffices(&host.layers, goal.tokens) {
            return None;
        }
        Some((at, goal.best_layers(host, &without)?))
    });
    options.min_by(|a, b| a.1.cost.total_cmp(&b.1.cost))
}

/// Take a move into account. A group is of no use while nobody holds some layer, so then requests that pass
/// what is given up are not waited for: the failure domain would serve nothing meanwhile.
fn apply(
    model: &LayerModel,
    host: &mut Host,
    room: &mut Room,
    layers: Layers,
    moves: &mut Vec<Move>,
) {
    let give_up = match room.least() <= 0.0 {
        true => GiveUp::Cut,
        false => GiveUp::Wait,
    };
    room.add(model, host, &host.layers, -1.0);
    room.add(model, host, &layers, 1.0);
    host.layers = layers.clone();
    moves.push(Move {
        engine: host.engine,
        layers,
        give_up,
    });
}
