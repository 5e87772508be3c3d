//! Shortest-path search through the layers of a model.

use std::time::Duration;

use super::Choice;
use super::candidate::Candidate;
use crate::forward::cost::LayerModel;
use crate::forward::path::{Part, Path};

/// Weights of the cost components of a path.
#[derive(Debug, Clone, Copy)]
pub(super) struct Weights {
    /// Weight of the price.
    pub price: f64,
    /// Weight of the time per token, in ms.
    pub token: f64,
    /// Weight of the time to the first token, in ms.
    pub first: f64,
}

impl Weights {
    /// Minimizes the price; hops count slightly.
    pub const CHEAPEST: Weights = Weights {
        price: 1.0,
        token: 1e-9,
        first: 1e-9,
    };

    /// Minimizes the duration of a mean request.
    pub fn fastest(model: &LayerModel) -> Self {
        Weights {
            price: 0.0,
            token: model.mean_answer_tokens,
            first: 1.0,
        }
    }
}

/// Accumulated cost components of a path.
#[derive(Debug, Clone, Copy)]
pub(super) struct PathTotals {
    /// Price per second of the KV capacity that the request occupies, including random jitter.
    pub price: f64,
    /// Highest estimated utilization among the engines.
    pub utilization: f64,
    /// Highest reported utilization: of KV capacity on any engine, or of slots on the first one.
    pub reported_utilization: f64,
    /// Time per token.
    pub token_ms: f64,
    /// Prefill time of the prompt and of the prompts queued before it.
    prefill_ms: f64,
    /// Queueing time at the first engine.
    queue_ms: f64,
    /// Time until all engines have enough free KV capacity.
    capacity_wait_ms: f64,
}

impl PathTotals {
    /// Expected time to the first token.
    pub fn first_ms(&self) -> f64 {
        self.prefill_ms + self.token_ms + self.queue_ms
    }

    /// Time to the first token by which paths are ranked. Uses the missing KV capacity of all
    /// engines instead of the announced queue, which excludes requests that other boxes sent after
    /// the announcement.
    pub fn ranking_first_ms(&self) -> f64 {
        self.prefill_ms + self.token_ms + self.capacity_wait_ms
    }
}

/// The parts of a path with their accumulated cost components.
#[derive(Debug, Clone)]
pub(super) struct FoundPath {
    parts: Vec<Part>,
    pub totals: PathTotals,
}

impl FoundPath {
    pub fn into_choice(self, model: &LayerModel) -> Option<Choice> {
        let first = Duration::from_secs_f64(self.totals.first_ms() / 1000.0);
        let path = Path::try_new(self.parts, model.layers).ok()?;
        Some(Choice {
            path,
            token: Duration::from_secs_f64(self.totals.token_ms / 1000.0),
            first,
            used: self.totals.reported_utilization,
        })
    }
}

/// The cheapest path found that runs the layers from 0 up to some layer.
#[derive(Debug, Clone, Copy)]
struct PartialPath {
    /// Weighted cost.
    cost: f64,
    totals: PathTotals,
    /// First layer of the last part.
    from: usize,
    /// Index of the candidate that runs the last part.
    last: usize,
}

impl PartialPath {
    /// The empty path before the first layer.
    const START: PartialPath = PartialPath {
        cost: 0.0,
        totals: PathTotals {
            price: 0.0,
            utilization: 0.0,
            reported_utilization: 0.0,
            token_ms: 0.0,
            prefill_ms: 0.0,
            queue_ms: 0.0,
            capacity_wait_ms: 0.0,
        },
        from: 0,
        last: usize::MAX,
    };

    /// Appends a part that runs `layers` layers from layer `from` on a candidate.
    fn extend(
        self,
        (last, candidate): (usize, &Candidate<'_>),
        from: usize,
        layers: f64,
        hop_ms: f64,
        weights: Weights,
    ) -> PartialPath {
        let token_ms = candidate.token_ms * layers + hop_ms;
        let prefill_ms = (candidate.prefill_ms + candidate.wait_ms) * layers + hop_ms;
        // Later engines receive their work from the first one, so only its slots limit the path.
        let slot_utilization = if from == 0 {
            candidate.slot_utilization
        } else {
            0.0
        };
        let reported_utilization = candidate.kv_utilization.max(slot_utilization);
        let cost = weights.price * candidate.price
            + weights.token * token_ms
            + weights.first * (prefill_ms + candidate.capacity_wait_ms);
        PartialPath {
            cost: self.cost + cost,
            totals: PathTotals {
                price: self.totals.price + candidate.price,
                utilization: self.totals.utilization.max(candidate.utilization),
                reported_utilization: self.totals.reported_utilization.max(reported_utilization),
                token_ms: self.totals.token_ms + token_ms,
                prefill_ms: self.totals.prefill_ms + prefill_ms,
                queue_ms: match from {
                    0 => candidate.queue_ms,
                    _ => self.totals.queue_ms,
                },
                capacity_wait_ms: self.totals.capacity_wait_ms + candidate.capacity_wait_ms,
            },
            from,
            last,
        }
    }
}

/// Candidates that can continue from each reachable layer; computed once for all weights.
pub(super) struct LayerGraph<'c, 'a> {
    candidates: &'c [Candidate<'a>],
    /// Indices of the candidates that can run on from each layer.
    from: Vec<Vec<usize>>,
    /// Number of layers of the model.
    end: usize,
}

impl<'c, 'a> LayerGraph<'c, 'a> {
    pub fn new(candidates: &'c [Candidate<'a>], model: &LayerModel) -> Self {
        let end = model.layers as usize;
        let mut graph = LayerGraph {
            candidates,
            from: vec![Vec::new(); end],
            end,
        };
        let mut is_reachable = vec![false; end + 1];
        is_reachable[0] = true;
        for at in 0..end {
            if !is_reachable[at] {
                continue;
            }
            for (index, candidate) in candidates.iter().enumerate() {
                let layers = &candidate.layers;
                if !layers.contains(&(at as u32)) || (at == 0 && !candidate.accepts_requests) {
                    continue;
                }
                if candidate.is_retained && layers.start != at as u32 {
                    continue;
                }
                is_reachable[graph.end_of(index)] = true;
                graph.from[at].push(index);
            }
        }
        graph
    }

    /// Returns the layer after the last one that a candidate runs.
    fn end_of(&self, index: usize) -> usize {
        (self.candidates[index].layers.end as usize).min(self.end)
    }
}

/// Returns the cheapest path by `weights` through all layers, where each part extends to the last
/// layer that its engine holds. `paths[x]` is the cheapest path that runs the layers `0..x`.
pub(super) fn cheapest(
    graph: &LayerGraph<'_, '_>,
    hop_ms: f64,
    weights: Weights,
) -> Option<FoundPath> {
    let end = graph.end;
    let mut paths: Vec<Option<PartialPath>> = vec![None; end + 1];
    paths[0] = Some(PartialPath::START);
    for at in 0..end {
        let Some(path) = paths[at] else {
            continue;
        };
        for &index in &graph.from[at] {
            let to = graph.end_of(index);
            let candidate = (index, &graph.candidates[index]);
            let next = path.extend(candidate, at, (to - at) as f64, hop_ms, weights);
            if paths[to].is_none_or(|known| next.cost < known.cost) {
                paths[to] = Some(next);
            }
        }
    }
    let complete = paths[end]?;
    Some(FoundPath {
        parts: reconstruct_parts(graph.candidates, &paths)?,
        totals: complete.totals,
    })
}

/// Reconstructs the parts of the complete path by following the predecessors from the last layer.
fn reconstruct_parts(
    candidates: &[Candidate<'_>],
    paths: &[Option<PartialPath>],
) -> Option<Vec<Part>> {
    let mut parts = Vec::new();
    let mut to = paths.len() - 1;
    while to > 0 {
        let path = paths[to]?;
        let candidate = &candidates[path.last];
        parts.push(Part {
            engine: candidate.key,
            address: candidate.engine.entry.address,
            layers: path.from as u32..to as u32,
        });
        to = path.from;
    }
    parts.reverse();
    Some(parts)
}
