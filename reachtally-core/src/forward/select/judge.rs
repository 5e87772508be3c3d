//! What a whole way through the layers costs, and the search for one that costs little.
//!
//! A request holds its room on every engine of the chain for as long as the whole chain runs it, so a
//! way costs the sum of its engines' prices times its duration. Speed beyond that is worth nothing as long as
//! the objectives are met; a way that will probably miss them costs several times as much. So a full engine that is
//! fast does not stay cheap, and a slow chain's long hold on all its engines is seen.

use super::Aim;
use super::candidate::Candidate;
use super::ways::{Found, Reach, Sums, Weights, cheapest};
use crate::forward::cost::LayerModel;

/// How many times dearer a way is that surely misses an objective.
const MISS_COST: f64 = 20.0;
/// Steepness of the chance to miss an objective around it: times come up to twice as long as expected.
const MISS_POWER: f64 = 4.0;
/// Rounds in which the weights follow the way found.
const ROUNDS: usize = 3;

/// Part of an objective up to which the expected time meets it with ease.
const EASE: f64 = 0.5;

/// Whether a way meets the objectives with ease.
pub(super) fn is_in_time(sums: &Sums, model: &LayerModel, aim: Aim) -> bool {
    let totals = Totals::of(sums, model, aim);
    totals.first_part <= EASE && totals.gap_part <= EASE
}

/// The chance to miss an objective with an expected time of `part` of it.
fn miss(part: f64) -> f64 {
    let power = part.powf(MISS_POWER);
    power / (1.0 + power)
}

/// How the chance to miss grows with the part.
fn miss_slope(part: f64) -> f64 {
    let power = part.powf(MISS_POWER);
    MISS_POWER * part.powf(MISS_POWER - 1.0) / ((1.0 + power) * (1.0 + power))
}

/// A way's totals.
#[derive(Debug, Clone, Copy)]
struct Totals {
    price: f64,
    duration_ms: f64,
    first_part: f64,
    gap_part: f64,
}

impl Totals {
    fn of(sums: &Sums, model: &LayerModel, aim: Aim) -> Self {
        let part = |ms: f64, aim_ms: Option<f64>| aim_ms.map_or(0.0, |aim| ms / aim.max(1.0));
        Totals {
            price: sums.price,
            duration_ms: sums.compared_first_ms() + model.usual_answer * sums.token_ms,
            first_part: part(sums.compared_first_ms(), aim.first_ms),
            gap_part: part(sums.token_ms * model.stride.max(1.0), aim.gap_ms),
        }
    }

    fn misses(&self) -> f64 {
        1.0 + MISS_COST * (miss(self.first_part) + miss(self.gap_part))
    }

    fn cost(&self) -> f64 {
        self.price * self.duration_ms * self.misses()
    }

    /// Weights by which each engine's part of the cost adds up, near these totals.
    fn weights(&self, model: &LayerModel, aim: Aim) -> Weights {
        let miss_cost = MISS_COST / self.misses();
        let slope = |part: f64, aim_ms: Option<f64>| {
            aim_ms.map_or(0.0, |aim| miss_cost * miss_slope(part) / aim.max(1.0))
        };
        let duration = 1.0 / self.duration_ms.max(f64::MIN_POSITIVE);
        let gap = slope(self.gap_part, aim.gap_ms) * model.stride.max(1.0);
        Weights {
            price: 1.0 / self.price.max(f64::MIN_POSITIVE),
            token: duration * model.usual_answer + gap,
            first: duration + slope(self.first_part, aim.first_ms),
        }
    }
}

/// A way that costs little, with its cost.
pub(super) fn best(
    candidates: &[Candidate<'_>],
    model: &LayerModel,
    hop_ms: f64,
    aim: Aim,
) -> Option<(f64, Found)> {
    let reach = Reach::of(candidates, model);
    let mut best: Option<(f64, Found)> = None;
    for start in [Weights::fastest(model), Weights::CHEAPEST] {
        let mut weights = start;
        for _ in 0..ROUNDS {
            let found = cheapest(&reach, hop_ms, weights)?;
            let totals = Totals::of(&found.sums, model, aim);
            let cost = totals.cost();
            weights = totals.weights(model, aim);
            if best.as_ref().is_some_and(|(least, _)| *least <= cost) {
                continue;
            }
            best = Some((cost, found));
        }
    }
    best
}
