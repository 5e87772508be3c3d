//! Fills paths over engines one after the other.

use crate::forward::cost::{LayerModel, WAIT_FACTOR};
use crate::forward::path::MAX_PATH_PARTS;
use crate::forward::placement::Host;
use crate::forward::select::{HOP_MS, LatencyObjectives, REMOTE_HOP_MS};

/// Bounds on the concurrent requests of an engine that are tried, relative to the slots of the
/// first engines.
const LOAD_BOUNDS: [f64; 8] = [2.0, 1.4, 1.0, 0.7, 0.5, 0.35, 0.25, 0.15];
/// Number of iterations in which the times of a path and the prompt rate that slows them down
/// converge.
const ITERATIONS: usize = 10;
/// Maximum number of slots of a first engine if the configuration sets no limit.
const MAX_SLOTS: f64 = 512.0;
/// Minimum number of concurrent requests for which a path is considered.
const MIN_LOAD: f64 = 0.01;

/// How the cost of the next path is computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CostBasis {
    /// Time of the layers that the parts run.
    RunLayers,
    /// Time of all layers that the engines hold, so that the capacity of an engine is not spent on
    /// a few of its layers.
    HeldLayers,
}

/// The paths of a filled fleet.
#[derive(Default)]
pub(super) struct FilledPaths {
    /// Requests per second within the latency objectives.
    pub per_s: f64,
    /// The engines of each path with its requests per second, in the order in which the paths were
    /// filled.
    pub paths: Vec<(Vec<usize>, f64)>,
}

impl FilledPaths {
    /// Adds the result of a group of engines, if any, and returns the resulting engine states.
    fn add(&mut self, group: Option<(FilledPaths, Vec<State>)>, before: Vec<State>) -> Vec<State> {
        let Some((filled, states)) = group else {
            return before;
        };
        self.per_s += filled.per_s;
        self.paths.extend(filled.paths);
        states
    }
}

/// Fills the engines that hold layers.
pub(super) struct PathFiller<'a> {
    model: &'a LayerModel,
    objectives: LatencyObjectives,
    /// Hosts with their indices in the input.
    engines: Vec<(usize, &'a Host)>,
    /// Indices in `engines` of each failure domain.
    domains: Vec<Vec<usize>>,
    /// For each of `engines`, its share of the requests for which the first engines of its domain
    /// have slots.
    slots: Vec<f64>,
}

/// The part of a path that one engine runs.
#[derive(Clone, Copy)]
struct Part {
    engine: usize,
    layers: u32,
}

/// Parts with the latency of a hop to each of them.
struct Path {
    parts: Vec<Part>,
    hop_ms: f64,
}

/// Times of a path, in ms.
struct PathTimes {
    /// Duration of a request, during which it occupies KV capacity.
    duration: f64,
    /// Time to the first token.
    first: f64,
    /// Time per token.
    token: f64,
}

/// Remaining capacity of an engine, and the load that its times are computed for.
#[derive(Clone, Copy)]
struct State {
    /// Number of concurrent requests that it can still take.
    concurrency: f64,
    /// Requests per second whose prompts it can still prefill.
    per_s: f64,
    /// Number of concurrent requests that its times are computed for.
    load: f64,
}

/// The cheapest path found up to some layer.
#[derive(Clone, Copy)]
struct PartialPath {
    cost: f64,
    from: usize,
    engine: usize,
    parts: usize,
}

impl<'a> PathFiller<'a> {
    pub fn of(model: &'a LayerModel, hosts: &'a [Host], objectives: LatencyObjectives) -> Self {
        let holds = |host: &Host| !host.layers.is_empty() && host.layers.end <= model.layers;
        let engines: Vec<(usize, &Host)> = hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| holds(host))
            .collect();
        let mut names: Vec<&str> = engines.iter().map(|(_, host)| &*host.domain).collect();
        names.sort_unstable();
        names.dedup();
        let members = |name: &&str| {
            let of = engines.iter().enumerate();
            of.filter(|(_, (_, host))| &*host.domain == *name)
                .map(|(index, _)| index)
                .collect()
        };
        let domains: Vec<Vec<usize>> = names.iter().map(members).collect();
        let mut slots = vec![0.0; engines.len()];
        for domain in &domains {
            distribute_slots(model, &engines, domain, &mut slots);
        }
        PathFiller {
            model,
            objectives,
            domains,
            engines,
            slots,
        }
    }

    /// Fills all engines: those of each failure domain with the best bound, then the remaining
    /// capacity across domains.
    pub fn fill(&self) -> FilledPaths {
        let indices = 0..self.engines.len();
        let mut states: Vec<State> = indices
            .clone()
            .map(|engine| self.state(engine, 1.0))
            .collect();
        let mut all = FilledPaths::default();
        for domain in &self.domains {
            let bounds = LOAD_BOUNDS.iter().map(|bound| {
                let mut states = states.clone();
                for engine in domain {
                    states[*engine] = self.state(*engine, *bound);
                }
                self.fill_best(domain, HOP_MS, states)
            });
            states = all.add(
                bounds.max_by(|a, b| a.0.per_s.total_cmp(&b.0.per_s)),
                states,
            );
        }
        if self.domains.len() > 1 {
            let engines: Vec<usize> = indices.collect();
            all.add(
                Some(self.fill_best(&engines, REMOTE_HOP_MS, states)),
                Vec::new(),
            );
        }
        all
    }

    /// Fills a group of engines with the cost function that serves more requests.
    fn fill_best(
        &self,
        group: &[usize],
        hop_ms: f64,
        states: Vec<State>,
    ) -> (FilledPaths, Vec<State>) {
        let [by_run, by_held] = [CostBasis::RunLayers, CostBasis::HeldLayers].map(|cost| {
            let mut states = states.clone();
            let mut filled = FilledPaths::default();
            self.fill_group(group, hop_ms, cost, &mut states, &mut filled);
            (filled, states)
        });
        if by_run.0.per_s >= by_held.0.per_s {
            by_run
        } else {
            by_held
        }
    }

    fn state(&self, engine: usize, bound: f64) -> State {
        let host = self.engines[engine].1;
        let layers = host.layers.len() as u32;
        let load = match host.layers.start {
            0 => (self.slots[engine] * bound).min(slots(self.model)),
            _ => self.slots[engine] * bound,
        };
        let room =
            self.model.kv_tokens(&host.card, layers) / self.model.mean_context_tokens().max(1.0);
        let batch = self.batch(host, load);
        let read_per_s = self.model.max_prefill_per_s(&host.card, layers, batch);
        State {
            concurrency: room.min(load),
            per_s: read_per_s / self.model.mean_prompt_tokens.max(1.0),
            load,
        }
    }

    /// Returns the batch size of an engine when `load` requests are spread over the engines of a
    /// path.
    fn batch(&self, host: &Host, load: f64) -> f64 {
        (load * self.model.layer_fraction(host.layers.len() as u32)).max(1.0)
    }

    /// Returns the time per layer that an engine spends on a request of mean size, in ms.
    fn layer_ms(&self, engine: usize, state: &State) -> f64 {
        let host = self.engines[engine].1;
        let layers = host.layers.len() as u32;
        let prefill_ms = self
            .model
            .prefill_ms(&host.card, layers, self.model.mean_prompt_tokens);
        let batch = self.batch(host, state.load);
        let step_ms = self.model.step_ms(&host.card, layers, batch);
        WAIT_FACTOR * (prefill_ms + self.model.mean_answer_tokens * step_ms) / f64::from(layers)
    }

    /// Adds paths over a group of engines until none has capacity or the cheapest misses the
    /// objectives.
    fn fill_group(
        &self,
        group: &[usize],
        hop_ms: f64,
        cost: CostBasis,
        states: &mut [State],
        filled: &mut FilledPaths,
    ) {
        let mut holders: Vec<Vec<(usize, f64)>> = vec![Vec::new(); self.model.layers as usize];
        let has_capacity = |state: &State| state.concurrency > MIN_LOAD && state.per_s > MIN_LOAD;
        for engine in group {
            if !has_capacity(&states[*engine]) {
                continue;
            }
            let layer_ms = self.layer_ms(*engine, &states[*engine]);
            for layer in self.engines[*engine].1.layers.clone() {
                holders[layer as usize].push((*engine, layer_ms));
            }
        }
        loop {
            let Some(parts) = self.cheapest(&holders, hop_ms, cost) else {
                return;
            };
            let path = Path { parts, hop_ms };
            let Some((concurrency, per_s)) = self.flow(&path, states) else {
                return;
            };
            for part in &path.parts {
                let state = &mut states[part.engine];
                state.concurrency -= concurrency;
                state.per_s -= per_s;
                if !has_capacity(state) {
                    for layer in self.engines[part.engine].1.layers.clone() {
                        holders[layer as usize].retain(|(engine, _)| *engine != part.engine);
                    }
                }
            }
            filled.per_s += per_s;
            let indices = path.parts.iter().map(|part| self.engines[part.engine].0);
            filled.paths.push((indices.collect(), per_s));
        }
    }

    /// Returns the concurrent requests and the requests per second that saturate a path; `None` if
    /// they would miss the latency objectives.
    fn flow(&self, path: &Path, states: &[State]) -> Option<(f64, f64)> {
        let min_of = |of: fn(&State) -> f64| -> f64 {
            let each = path.parts.iter().map(|part| of(&states[part.engine]));
            each.fold(f64::INFINITY, f64::min)
        };
        let mut times = self.times(path, states, f64::INFINITY);
        for _ in 0..ITERATIONS {
            times = self.times(path, states, times.duration);
        }
        let gap_ms = times.token * self.model.stride.max(1.0);
        let is_late = self
            .objectives
            .first_ms
            .is_some_and(|limit| times.first > limit)
            || self.objectives.gap_ms.is_some_and(|limit| gap_ms > limit);
        let room = min_of(|state| state.concurrency);
        let per_s = f64::min(room * 1000.0 / times.duration, min_of(|state| state.per_s));
        (!is_late).then_some((per_s * times.duration / 1000.0, per_s))
    }

    /// Returns the times of a path whose engines all run the number of requests that their times
    /// are computed for, each of which lasts `duration` ms.
    fn times(&self, path: &Path, states: &[State], duration: f64) -> PathTimes {
        let (mut read, mut token) = (0.0, 0.0);
        for part in &path.parts {
            let host = self.engines[part.engine].1;
            let load = states[part.engine].load;
            let layers = host.layers.len() as u32;
            let slowdown =
                self.model
                    .prefill_slowdown(&host.card, layers, load * 1000.0 / duration);
            let busy = WAIT_FACTOR * slowdown;
            let prompt = self.model.mean_prompt_tokens;
            let step_ms = self
                .model
                .step_ms(&host.card, part.layers, self.batch(host, load));
            read += busy * self.model.prefill_ms(&host.card, part.layers, prompt) + path.hop_ms;
            token += busy * step_ms + path.hop_ms;
        }
        PathTimes {
            duration: (read + self.model.mean_answer_tokens * token).max(f64::MIN_POSITIVE),
            first: read + token,
            token,
        }
    }

    /// Returns the cheapest path over the holders of each layer.
    fn cheapest(
        &self,
        holders: &[Vec<(usize, f64)>],
        hop_ms: f64,
        cost: CostBasis,
    ) -> Option<Vec<Part>> {
        let mut paths: Vec<Option<PartialPath>> = vec![None; holders.len() + 1];
        let hops_ms = (self.model.mean_answer_tokens + 1.0) * hop_ms;
        for (at, holders_here) in holders.iter().enumerate() {
            let (cost_so_far, parts) = match (at, paths[at]) {
                (0, _) => (0.0, 0),
                (_, Some(path)) => (path.cost, path.parts),
                (_, None) => continue,
            };
            if parts == MAX_PATH_PARTS {
                continue;
            }
            for (engine, layer_ms) in holders_here {
                let layers_held = &self.engines[*engine].1.layers;
                let end = layers_held.end as usize;
                let counted_layers = match cost {
                    CostBasis::RunLayers => end - at,
                    CostBasis::HeldLayers => layers_held.len(),
                };
                let cost = cost_so_far + layer_ms * counted_layers as f64 + hops_ms;
                if paths[end].is_none_or(|known| cost < known.cost) {
                    paths[end] = Some(PartialPath {
                        cost,
                        from: at,
                        engine: *engine,
                        parts: parts + 1,
                    });
                }
            }
        }
        let mut parts = Vec::new();
        let mut at = holders.len();
        while at > 0 {
            let path = paths[at]?;
            parts.push(Part {
                engine: path.engine,
                layers: (at - path.from) as u32,
            });
            at = path.from;
        }
        parts.reverse();
        (!parts.is_empty()).then_some(parts)
    }
}

/// Returns the number of slots of a first engine.
fn slots(model: &LayerModel) -> f64 {
    f64::from(model.slots).min(MAX_SLOTS)
}

/// Distributes the slots of a failure domain's first engines over the engines that hold the same
/// layers.
fn distribute_slots(
    model: &LayerModel,
    engines: &[(usize, &Host)],
    domain: &[usize],
    all: &mut [f64],
) {
    let mut holders = vec![0.0; model.layers as usize];
    for engine in domain {
        for layer in engines[*engine].1.layers.clone() {
            holders[layer as usize] += 1.0;
        }
    }
    let total = holders.first().copied().unwrap_or(0.0_f64).max(1.0) * slots(model);
    for engine in domain {
        let layers = engines[*engine].1.layers.clone();
        let count = layers.len() as f64;
        let mean = layers.map(|layer| holders[layer as usize]).sum::<f64>() / count;
        all[*engine] = total / mean;
    }
}
