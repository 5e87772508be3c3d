//! The cheapest way through the layers.

use std::time::Duration;

use super::Choice;
use super::candidate::Candidate;
use crate::forward::cost::LayerModel;
use crate::forward::path::{Part, Path};

/// Parts with their summed times.
#[derive(Debug, Clone)]
pub(super) struct Found {
    parts: Vec<Part>,
    /// What it costs a usual request in ms, with chance.
    pub cost: f64,
    token_ms: f64,
    read_ms: f64,
}

impl Found {
    pub fn prove(self, model: &LayerModel) -> Option<Choice> {
        let path = Path::prove(self.parts, model.layers).ok()?;
        Some(Choice {
            path,
            token: Duration::from_secs_f64(self.token_ms / 1000.0),
            first: Duration::from_secs_f64((self.read_ms + self.token_ms) / 1000.0),
        })
    }
}

/// The cheapest way found to run the layers from the first to some layer.
#[derive(Debug, Clone, Copy)]
struct Way {
    /// What it costs a usual request in ms, with chance.
    cost: f64,
    token_ms: f64,
    read_ms: f64,
    /// Where its last part begins.
    from: usize,
    /// The candidate that runs its last part.
    last: usize,
}

impl Way {
    /// Before the first layer.
    const START: Way = Way {
        cost: 0.0,
        token_ms: 0.0,
        read_ms: 0.0,
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
        answer: f64,
    ) -> Way {
        let token_ms = candidate.token_ms * layers + hop_ms;
        let read_ms = candidate.read_ms * layers + hop_ms;
        let wait_ms = candidate.wait_ms * layers;
        let cost = token_ms * answer + read_ms + wait_ms;
        Way {
            cost: self.cost + candidate.bias * cost,
            token_ms: self.token_ms + token_ms,
            read_ms: self.read_ms + read_ms + wait_ms,
            from,
            last,
        }
    }
}

/// The cheapest way from layer 0 to the last, where each part runs to the end of what its engine
/// holds. `ways[x]` is the cheapest way that has run the layers `0..x`.
pub(super) fn cheapest(
    candidates: &[Candidate<'_>],
    model: &LayerModel,
    hop_ms: f64,
) -> Option<Found> {
    let end = model.layers as usize;
    let mut ways: Vec<Option<Way>> = vec![None; end + 1];
    ways[0] = Some(Way::START);
    for at in 0..end {
        let Some(way) = ways[at] else {
            continue;
        };
        for candidate in candidates.iter().enumerate() {
            let held = &candidate.1.engine.entry.layers;
            if !held.contains(&(at as u32)) || (at == 0 && !candidate.1.takes_more) {
                continue;
            }
            let to = (held.end as usize).min(end);
            let next = way.step(candidate, at, (to - at) as f64, hop_ms, model.usual_answer);
            if ways[to].is_none_or(|known| next.cost < known.cost) {
                ways[to] = Some(next);
            }
        }
    }
    let whole = ways[end]?;
    Some(Found {
        parts: parts_of(candidates, &ways)?,
        cost: whole.cost,
        token_ms: whole.token_ms,
        read_ms: whole.read_ms,
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
