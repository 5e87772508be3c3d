//! The plan of an empty group: of several, the one that serves most.

use std::collections::BTreeMap;

use super::chains::{Placed, best_chains};
use super::evaluate::{capacity, flows};
use super::repair::repair;
use super::runs::cuts;
use super::{GiveUp, Host, Move, by_speed, chain_room, usual_room};
use crate::forward::cost::LayerModel;
use crate::forward::select::Aim;

/// Cuts into runs that are evaluated.
const CUTS: usize = 4;
/// Losses of an engine that are evaluated for each plan.
const LOSSES: usize = 2;
/// Most rounds of repairs that a plan is judged with.
const REPAIRS: usize = 3;
/// Weight of what is served after a loss, beside what is served whole.
const LOSS_WEIGHT: f64 = 2.0;
/// Least part of what chains that are filled one after the other serve, whole and after a loss.
const LEAST_PART: f64 = 0.97;
/// Objectives that plans are made for; those of routes are not part of the model.
const AIM: Aim = Aim {
    first_ms: Some(500.0),
    gap_ms: Some(250.0),
};

/// Chains over empty engines.
///
/// Each plan is judged with what repairs make of the engines that it leaves over, whole and after the loss of the engines
/// that matter most.
pub fn plan(model: &LayerModel, empty: &[Host]) -> Vec<Move> {
    let mut sorted: Vec<&Host> = empty.iter().collect();
    sorted.sort_by(|a, b| by_speed(a, b));
    let filled = best_chains(model, empty);
    let Some(usual) = usual_room(model, &filled) else {
        return Vec::new();
    };
    let mut options = vec![filled];
    options.extend(cuts(model, &sorted).into_iter().take(CUTS));
    let mut least: Option<Value> = None;
    let mut best: Option<(f64, Vec<Host>)> = None;
    for chains in &options {
        let own = chain_room(model, chains).unwrap_or(usual);
        for goal in [usual, own] {
            let hosts = with_rest(model, empty, chains, goal, usual);
            // Below any worth, so that a group is planned also where nothing meets the objectives.
            let most = best.as_ref().map_or(-1.0, |(worth, _)| *worth);
            if let Some(value) = judge(model, &hosts, most) {
                let least = least.get_or_insert(value);
                if value.is_at_least(least, LEAST_PART) {
                    best = Some((value.worth(), hosts));
                }
            }
            if own == usual {
                break;
            }
        }
    }
    let mut best = best.map_or(Vec::new(), |(_, hosts)| hosts);
    best.retain(|host| !host.layers.is_empty());
    let placed = best.into_iter().map(|host| Move {
        engine: host.engine,
        layers: host.layers,
        give_up: GiveUp::Wait,
    });
    placed.collect()
}

/// All engines, with the layers of chains, and those that repairs for `goal` tokens give to the engines left over, once no
/// repair for the `usual` tokens would change them.
fn with_rest(
    model: &LayerModel,
    empty: &[Host],
    chains: &[Vec<Placed<'_>>],
    goal: f64,
    usual: f64,
) -> Vec<Host> {
    let mut hosts = empty.to_vec();
    place(
        &mut hosts,
        chains.iter().flatten().map(|(_, placed)| placed),
    );
    let goals = std::iter::once(goal).chain(std::iter::repeat_n(usual, REPAIRS));
    for goal in goals {
        let repairs = repair(model, &hosts, goal);
        if repairs.is_empty() {
            break;
        }
        place(&mut hosts, &repairs);
    }
    hosts
}

/// What a plan serves, in requests a second.
#[derive(Debug, Clone, Copy)]
struct Value {
    whole: f64,
    after_loss: f64,
}

impl Value {
    fn worth(&self) -> f64 {
        self.whole + LOSS_WEIGHT * self.after_loss
    }

    fn is_at_least(&self, other: &Value, part: f64) -> bool {
        self.whole >= part * other.whole && self.after_loss >= part * other.after_loss
    }
}

/// What engines serve; `None` where that can't be worth more than `least`.
fn judge(model: &LayerModel, hosts: &[Host], least: f64) -> Option<Value> {
    let flows = flows(model, hosts, AIM);
    let mut value = Value {
        whole: flows.per_s,
        after_loss: flows.per_s,
    };
    for lost in flows.busiest(hosts, LOSSES) {
        if value.worth() <= least {
            return None;
        }
        let mut left = hosts.to_vec();
        left.remove(lost);
        value.after_loss = value.after_loss.min(capacity(model, &left, AIM));
    }
    (value.worth() > least).then_some(value)
}

fn place<'a>(hosts: &mut [Host], moves: impl IntoIterator<Item = &'a Move>) {
    let moves = moves
        .into_iter()
        .map(|placed| (placed.engine, &placed.layers));
    let layers: BTreeMap<_, _> = moves.collect();
    for host in hosts {
        if let Some(layers) = layers.get(&host.engine) {
            host.layers = (*layers).clone();
        }
    }
}
