//! Incremental changes to a group that already holds layers.

use super::{GiveUp, Host, MIN_REQUESTS, Move, by_speed};
use crate::forward::cost::{LayerModel, Layers};

/// KV capacity up to which empty engines are assigned, relative to the reference. Above 1, so that
/// they add to the existing capacity.
const SPARE_CAPACITY: f64 = 1.35;
/// KV capacity below which engines are moved to a layer, relative to the reference.
const MOVE_THRESHOLD: f64 = 0.7;
/// Maximum cost after a move, relative to the deficit before it. Each move costs a load of weights
/// and takes the engine out of service for seconds.
const MAX_COST_AFTER_MOVE: f64 = 0.9;
/// Maximum number of engines moved at once, since concurrent loads slow each other down.
const MAX_MOVES: u32 = 3;

/// Cost of loading a layer, relative to the capacity that it should have. Of two moves with the
/// same effect, the one that loads less completes sooner.
const LOAD_COST: f64 = 0.02;

/// Total KV tokens of the engines for each layer. The layer with the least limits the number of
/// concurrent requests of a group.
#[derive(Debug, Clone)]
pub(super) struct LayerCapacity {
    tokens: Vec<f64>,
    /// Maximum capacity that one engine contributes; more than the rest of its chain has is
    /// useless.
    cap: f64,
}

impl LayerCapacity {
    pub(super) fn of(model: &LayerModel, group: &[Host], cap: f64) -> Self {
        let mut capacity = LayerCapacity {
            tokens: vec![0.0; model.layers as usize],
            cap,
        };
        for host in group {
            capacity.add(model, host, &host.layers, 1.0);
        }
        capacity
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

    pub(super) fn min_tokens(&self) -> f64 {
        self.tokens.iter().copied().fold(f64::INFINITY, f64::min)
    }

    /// Returns the total deficit of the layers relative to `goal`. A layer that no engine holds
    /// counts double, since nothing runs without it.
    fn deficit(&self, goal: f64) -> f64 {
        let deficit = |held: &f64| match *held <= 0.0 {
            true => 2.0 * goal,
            false => (goal - held).max(0.0),
        };
        self.tokens.iter().map(deficit).sum()
    }

    /// Returns how much more the group could serve with the capacity of an engine at `layers`: the
    /// sum of the relative gains of the layers, which are larger where capacity is scarce.
    fn gain(&self, model: &LayerModel, host: &Host, layers: &Layers) -> f64 {
        let tokens = model.kv_tokens(&host.card, layers.len() as u32);
        let tokens = tokens.min(self.cap);
        let each = layers.clone().map(|layer| {
            let held = self.tokens[layer as usize].max(f64::MIN_POSITIVE);
            (tokens / held).ln_1p()
        });
        each.sum()
    }

    /// Whether each of `layers` has at least the capacity `goal`.
    fn is_sufficient(&self, layers: &Layers, goal: f64) -> bool {
        layers
            .clone()
            .all(|layer| self.tokens[layer as usize] >= goal)
    }

    /// Returns the layers at which the capacity changes, and the first layer of an engine's own
    /// range.
    fn range_starts(&self, own: &Layers) -> Vec<u32> {
        let is_start = |at: &usize| {
            *at == 0 || self.tokens[*at] != self.tokens[*at - 1] || *at == own.start as usize
        };
        (0..self.tokens.len())
            .filter(is_start)
            .map(|at| at as u32)
            .collect()
    }
}

/// A range of layers for an engine with its cost: the remaining deficit plus the cost of the
/// change, both in KV tokens summed over layers.
struct RangeOption {
    cost: f64,
    layers: Layers,
}

/// The capacity that a group should have.
struct CapacityGoal<'a> {
    model: &'a LayerModel,
    /// KV tokens that each layer should have.
    tokens: f64,
}

impl CapacityGoal<'_> {
    /// Returns the cost of moving an engine to `layers`: the capacity in use at layers that it
    /// releases, and the time to load new layers.
    fn change_cost(&self, host: &Host, layers: &Layers) -> f64 {
        let holds = |layer: &u32| host.layers.contains(layer);
        let retained = layers.clone().filter(holds).count();
        let released = host.layers.len() - retained;
        let loaded = layers.len() - retained;
        let in_use = host.running * self.model.mean_context_tokens();
        released as f64 * in_use + loaded as f64 * self.tokens * LOAD_COST
    }

    /// Returns the cheapest layers for an engine, given the capacity without it.
    fn best_layers(&self, host: &Host, capacity: &LayerCapacity) -> Option<RangeOption> {
        let options = ranges(self.model, host, capacity).map(|layers| {
            let mut with = capacity.clone();
            with.add(self.model, host, &layers, 1.0);
            let cost = with.deficit(self.tokens) + self.change_cost(host, &layers);
            RangeOption { cost, layers }
        });
        options.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }
}

/// Returns the ranges of layers that leave an engine its minimum KV capacity, from each layer at
/// which the capacity changes.
fn ranges(
    model: &LayerModel,
    host: &Host,
    capacity: &LayerCapacity,
) -> impl Iterator<Item = Layers> {
    let min_kv = MIN_REQUESTS * model.mean_context_tokens();
    let max = model.max_layers(&host.card, min_kv);
    let end = model.layers;
    let starts = capacity.range_starts(&host.layers).into_iter();
    starts.flat_map(move |start| (1..=max.min(end - start)).map(move |count| start..start + count))
}

/// Returns the layers with which an empty engine gains most in a group without a deficit. Without
/// this rule, such an engine was assigned the layer `0..1` only, and each loss left the fleet
/// smaller.
fn highest_gain(model: &LayerModel, host: &Host, capacity: &LayerCapacity) -> Option<Layers> {
    let options = ranges(model, host, capacity);
    let gains = options.map(|layers| (capacity.gain(model, host, &layers), layers));
    let best = gains.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.len().cmp(&a.1.len())));
    best.map(|(_, layers)| layers)
}

/// A group of engines that is repaired.
pub(super) struct Group<'a> {
    /// Engines that accept orders.
    pub usable: &'a [Host],
    /// Engines that accept none, and that may not have ended.
    pub unconfirmed: &'a [Host],
    /// How engines release layers.
    pub give_up: GiveUp,
}

/// Assigns the layers with the least capacity to empty engines, and moves engines whose layers have
/// enough capacity without them. If no engine holds some layer, any engine may be moved; otherwise
/// moving an engine that is needed would only shift the deficit while requests run there. Empty
/// engines stay empty once each layer has `required` tokens. Engines that may not have ended count as
/// capacity before others are moved, but not before empty ones are assigned, which costs no requests.
pub(super) fn repair(
    model: &LayerModel,
    group: &Group<'_>,
    reference: f64,
    required: f64,
) -> Vec<Move> {
    let mut hosts: Vec<Host> = group.usable.to_vec();
    hosts.sort_by(by_speed);
    let mut capacity = LayerCapacity::of(model, &hosts, reference);
    let mut moves = Vec::new();
    let spare = CapacityGoal {
        model,
        tokens: reference * SPARE_CAPACITY,
    };
    for host in hosts.iter_mut().filter(|host| host.layers.is_empty()) {
        if capacity.min_tokens() >= required {
            break;
        }
        let layers = match capacity.min_tokens() >= spare.tokens {
            true => highest_gain(model, host, &capacity),
            false => spare.best_layers(host, &capacity).map(|best| best.layers),
        };
        if let Some(layers) = layers {
            let placed = apply(model, host, &mut capacity, layers, group.give_up);
            moves.push(placed);
        }
    }
    for host in group.unconfirmed {
        capacity.add(model, host, &host.layers, 1.0);
    }
    let goal = CapacityGoal {
        model,
        tokens: reference * MOVE_THRESHOLD,
    };
    for _ in 0..MAX_MOVES {
        if capacity.deficit(goal.tokens) <= 0.0 {
            break;
        }
        let Some((at, best)) = best_move(&goal, &hosts, &capacity, &moves) else {
            break;
        };
        if best.cost >= capacity.deficit(goal.tokens) * MAX_COST_AFTER_MOVE {
            break;
        }
        let host = &mut hosts[at];
        let placed = apply(model, host, &mut capacity, best.layers, group.give_up);
        moves.push(placed);
    }
    moves
}

/// Returns the engine whose move costs least, with its layers.
fn best_move(
    goal: &CapacityGoal<'_>,
    hosts: &[Host],
    capacity: &LayerCapacity,
    moves: &[Move],
) -> Option<(usize, RangeOption)> {
    let has_unheld_layer = capacity.min_tokens() <= 0.0;
    let is_moved = |host: &Host| moves.iter().any(|assigned| assigned.engine == host.engine);
    let options = hosts.iter().enumerate().filter_map(|(at, host)| {
        if is_moved(host) {
            return None;
        }
        let mut without = capacity.clone();
        without.add(goal.model, host, &host.layers, -1.0);
        if !has_unheld_layer && !without.is_sufficient(&host.layers, goal.tokens) {
            return None;
        }
        Some((at, goal.best_layers(host, &without)?))
    });
    options.min_by(|a, b| a.1.cost.total_cmp(&b.1.cost))
}

/// Applies and returns a move.
fn apply(
    model: &LayerModel,
    host: &mut Host,
    capacity: &mut LayerCapacity,
    layers: Layers,
    give_up: GiveUp,
) -> Move {
    capacity.add(model, host, &host.layers, -1.0);
    capacity.add(model, host, &layers, 1.0);
    host.layers = layers.clone();
    Move {
        engine: host.engine,
        layers,
        give_up,
    }
}
