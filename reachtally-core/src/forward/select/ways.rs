//! The cheapest way through the layers.

use std::time::Duration;

use super::Choice;
use super::candidate::Candidate;
use crate::forward::cost::LayerModel;
use crate::forward::path::{Part, Path};

/// How much each part of a way counts.
#[derive(Debug, Clone, Copy)]
pub(super) struct Weights {
    /// Of the price.
    pub price: f64,
    /// Of the time of a token, in ms.
    pub token: f64,
    /// Of the time to the first token, in ms.
    pub first: f64,
}

impl Weights {
    /// Only the price counts, and hops a little.
    pub const CHEAPEST: Weights = Weights {
        price: 1.0,
        token: 1e-9,
        first: 1e-9,
    };

    /// Only the duration of a usual request counts.
    pub fn fastest(model: &LayerModel) -> Self {
        Weights {
            price: 0.0,
            token: model.usual_answer,
            first: 1.0,
        }
    }
}

/// What the parts of a way come to together.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sums {
    /// Price of the room that it holds, for each second, with chance.
    pub price: f64,
    /// The largest part of an engine's room that is believed to be in use.
    pub used: f64,
    /// The largest part of an engine's room, or of the first one's places, that is known to be in use.
    pub known: f64,
    /// Time of a token.
    pub token_ms: f64,
    /// Time to read the prompt, with the prompts that are read before it.
    read_ms: f64,
    /// Time that the request waits at the first engine.
    queue_ms: f64,
    /// Time until all engines have room.
    room_ms: f64,
}

impl Sums {
    /// Expected time until the first token.
    pub fn first_ms(&self) -> f64 {
        self.read_ms + self.token_ms + self.queue_ms
    }

    /// Time until the first token by which ways are compared: with what all engines lack of room in place of the queue, since sends
    /// of others after a queue was stated are part of the one and not of the other.
    pub fn compared_first_ms(&self) -> f64 {
        self.read_ms + self.token_ms + self.room_ms
    }
}

/// Parts with their sums.
#[derive(Debug, Clone)]
pub(super) struct Found {
    parts: Vec<Part>,
    pub sums: Sums,
}

impl Found {
    pub fn prove(self, model: &LayerModel) -> Option<Choice> {
        let first = Duration::from_secs_f64(self.sums.first_ms() / 1000.0);
        let path = Path::prove(self.parts, model.layers).ok()?;
        Some(Choice {
            path,
            token: Duration::from_secs_f64(self.sums.token_ms / 1000.0),
            first,
            used: self.sums.known,
        })
    }
}

/// The cheapest way found to run the layers from the first to some layer.
#[derive(Debug, Clone, Copy)]
struct Way {
    /// What it costs by the weights.
    cost: f64,
    sums: Sums,
    /// Where its last part begins.
    from: usize,
    /// The candidate that runs its last part.
    last: usize,
}

impl Way {
    /// Before the first layer.
    const START: Way = Way {
        cost: 0.0,
        sums: Sums {
            price: 0.0,
            used: 0.0,
            known: 0.0,
            token_ms: 0.0,
            read_ms: 0.0,
            queue_ms: 0.0,
            room_ms: 0.0,
        },
        from: 0,
        last: usize::MAX,
    };

    /// Go on over a candidate, from layer `from` for `layers` layers.
    fn step(
        self,
        (last, candidate): (usize, &Candidate<'_>),
        from: usize,
        layers: f64,
        hop_ms: f64,
        weights: Weights,
    ) -> Way {
        let token_ms = candidate.token_ms * layers + hop_ms;
        let read_ms = (candidate.read_ms + candidate.wait_ms) * layers + hop_ms;
        // Later engines get their work from the first, whose places bound it.
        let places_used = if from == 0 {
            candidate.places_used
        } else {
            0.0
        };
        let known = candidate.room_used.max(places_used);
        let cost = weights.price * candidate.price
            + weights.token * token_ms
            + weights.first * (read_ms + candidate.room_ms);
        Way {
            cost: self.cost + cost,
            sums: Sums {
                price: self.sums.price + candidate.price,
                used: self.sums.used.max(candidate.used),
                known: self.sums.known.max(known),
                token_ms: self.sums.token_ms + token_ms,
                read_ms: self.sums.read_ms + read_ms,
                queue_ms: match from {
                    0 => candidate.queue_ms,
                    _ => self.sums.queue_ms,
                },
                room_ms: self.sums.room_ms + candidate.room_ms,
            },
            from,
            last,
        }
    }
}

/// Which candidates can run on from each layer that some way reaches; worked out once for all weights.
pub(super) struct Reach<'c, 'a> {
    candidates: &'c [Candidate<'a>],
    /// By layer, the numbers of the candidates that can run on from it.
    from: Vec<Vec<usize>>,
    /// The layers of the model.
    end: usize,
}

impl<'c, 'a> Reach<'c, 'a> {
    pub fn of(candidates: &'c [Candidate<'a>], model: &LayerModel) -> Self {
        let end = model.layers as usize;
        let mut reach = Reach {
            candidates,
            from: vec![Vec::new(); end],
            end,
        };
        let mut is_reached = vec![false; end + 1];
        is_reached[0] = true;
        for at in 0..end {
            if !is_reached[at] {
                continue;
            }
            for (number, candidate) in candidates.iter().enumerate() {
                let layers = &candidate.layers;
                if !layers.contains(&(at as u32)) || (at == 0 && !candidate.takes_more) {
                    continue;
                }
                if candidate.is_kept && layers.start != at as u32 {
                    continue;
                }
                is_reached[reach.to(number)] = true;
                reach.from[at].push(number);
            }
        }
        reach
    }

    /// The layer after the last that a candidate runs.
    fn to(&self, number: usize) -> usize {
        (self.candidates[number].layers.end as usize).min(self.end)
    }
}

/// The cheapest way by `weights` from layer 0 to the last, where each part runs to the end of what its engine
/// holds. `ways[x]` is the cheapest way that has run the layers `0..x`.
pub(super) fn cheapest(reach: &Reach<'_, '_>, hop_ms: f64, weights: Weights) -> Option<Found> {
    let end = reach.end;
    let mut ways: Vec<Option<Way>> = vec![None; end + 1];
    ways[0] = Some(Way::START);
    for at in 0..end {
        let Some(way) = ways[at] else {
            continue;
        };
        for &number in &reach.from[at] {
            let to = reach.to(number);
            let candidate = (number, &reach.candidates[number]);
            let next = way.step(candidate, at, (to - at) as f64, hop_ms, weights);
            if ways[to].is_none_or(|known| next.cost < known.cost) {
                ways[to] = Some(next);
            }
        }
    }
    let whole = ways[end]?;
    Some(Found {
        parts: parts_of(reach.candidates, &ways)?,
        sums: whole.sums,
    })
}

/// The parts of the way that has run all layers, from the last back to the first.
fn parts_of(candidates: &[Candidate<'_>], ways: &[Option<Way>]) -> Option<Vec<Part>> {
    let mut parts = Vec::new();
    let mut to = ways.len() - 1;
    while to > 0 {
        let way = ways[to]?;
        let candidate = &candidates[way.last];
        parts.push(Part {
            engine: candidate.key,
            address: candidate.engine.entry.address,
            layers: way.from as u32..to as u32,
        });
        to = way.from;
    }
    parts.reverse();
    Some(parts)
}
