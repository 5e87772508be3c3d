//! Paths over engines, filled one after the other.

use crate::forward::cost::{LayerModel, WAIT_FACTOR};
use crate::forward::path::MOST_PARTS;
use crate::forward::placement::Host;
use crate::forward::select::{Aim, HOP_MS, REMOTE_HOP_MS};

/// Bounds on the requests of an engine that are tried, in parts of those for which first engines have places.
const BOUNDS: [f64; 8] = [2.0, 1.4, 1.0, 0.7, 0.5, 0.35, 0.25, 0.15];
/// Rounds in which a path's times and the rate of prompts that slows them settle.
const ROUNDS: usize = 10;
/// Most places of a first engine that count, where the configuration has no bound.
const MOST_PLACES: f64 = 512.0;
/// Least requests at once for which a path is worth counting.
const LEAST: f64 = 0.01;

/// What the next path is chosen by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cost {
    /// The time that its parts take.
    Run,
    /// The time that all layers would take which its engines hold, so that no engine's room goes for a few of its
    /// layers.
    Held,
}

/// A fleet that was filled.
#[derive(Default)]
pub(super) struct Filled {
    /// Requests a second within the objectives.
    pub per_s: f64,
    /// The engines of each path with its requests a second, in the order in which they were filled.
    pub paths: Vec<(Vec<usize>, f64)>,
}

impl Filled {
    /// Add what a group of engines serves; yields the states that result, or those from before.
    fn add(&mut self, group: Option<(Filled, Vec<State>)>, before: Vec<State>) -> Vec<State> {
        let Some((filled, states)) = group else {
            return before;
        };
        self.per_s += filled.per_s;
        self.paths.extend(filled.paths);
        states
    }
}

/// Engines that hold layers.
pub(super) struct Fleet<'a> {
    model: &'a LayerModel,
    aim: Aim,
    /// Numbers of their hosts, with the hosts.
    engines: Vec<(usize, &'a Host)>,
    /// Numbers in `engines` of each failure domain.
    domains: Vec<Vec<usize>>,
    /// For each of `engines`, its part of the requests for which the first engines of its domain have places.
    places: Vec<f64>,
}

/// One engine's part of a path.
#[derive(Clone, Copy)]
struct Part {
    engine: usize,
    layers: u32,
}

/// Parts with the time of a hop to each of them.
struct Path {
    parts: Vec<Part>,
    hop_ms: f64,
}

/// What a path takes, in ms.
struct Times {
    /// As long as a request holds its room.
    held: f64,
    /// To the first token.
    first: f64,
    /// For a token.
    token: f64,
}

/// What an engine has left, and what it has to do.
#[derive(Clone, Copy)]
struct State {
    /// Requests at once that it has room for.
    at_once: f64,
    /// Requests a second whose prompts it can read.
    per_s: f64,
    /// Requests at once that its times are for.
    most: f64,
}

/// The cheapest way to a layer.
#[derive(Clone, Copy)]
struct Way {
    cost: f64,
    from: usize,
    engine: usize,
    parts: usize,
}

impl<'a> Fleet<'a> {
    pub fn of(model: &'a LayerModel, hosts: &'a [Host], aim: Aim) -> Self {
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
                .map(|(number, _)| number)
                .collect()
        };
        let domains: Vec<Vec<usize>> = names.iter().map(members).collect();
        let mut places = vec![0.0; engines.len()];
        for domain in &domains {
            set_places(model, &engines, domain, &mut places);
        }
        Fleet {
            model,
            aim,
            domains,
            engines,
            places,
        }
    }

    /// Fill all engines: those of each failure domain with the bound that is best there, then what is left of all.
    pub fn fill(&self) -> Filled {
        let numbers = 0..self.engines.len();
        let mut states: Vec<State> = numbers
            .clone()
            .map(|engine| self.state(engine, 1.0))
            .collect();
        let mut all = Filled::default();
        for domain in &self.domains {
            let bounds = BOUNDS.iter().map(|bound| {
                let mut states = states.clone();
                for engine in domain {
                    states[*engine] = self.state(*engine, *bound);
                }
                self.better(domain, HOP_MS, states)
            });
            states = all.add(
                bounds.max_by(|a, b| a.0.per_s.total_cmp(&b.0.per_s)),
                states,
            );
        }
        if self.domains.len() > 1 {
            let engines: Vec<usize> = numbers.collect();
            all.add(
                Some(self.better(&engines, REMOTE_HOP_MS, states)),
                Vec::new(),
            );
        }
        all
    }

    /// Fill some engines by the cost that serves more.
    fn better(&self, group: &[usize], hop_ms: f64, states: Vec<State>) -> (Filled, Vec<State>) {
        let [run, held] = [Cost::Run, Cost::Held].map(|cost| {
            let mut states = states.clone();
            let mut filled = Filled::default();
            self.fill_group(group, hop_ms, cost, &mut states, &mut filled);
            (filled, states)
        });
        if run.0.per_s >= held.0.per_s {
            run
        } else {
            held
        }
    }

    fn state(&self, engine: usize, bound: f64) -> State {
        let host = self.engines[engine].1;
        let layers = host.layers.len() as u32;
        let most = match host.layers.start {
            0 => (self.places[engine] * bound).min(places(self.model)),
            _ => self.places[engine] * bound,
        };
        let room = self.model.kv_tokens(&host.card, layers) / self.model.usual_context().max(1.0);
        let batch = self.batch(host, most);
        let read_per_s = self.model.most_read_per_s(&host.card, layers, batch);
        State {
            at_once: room.min(most),
            per_s: read_per_s / self.model.usual_prompt.max(1.0),
            most,
        }
    }

    /// Requests whose tokens an engine steps together, when `most` are spread over the engines of a path.
    fn batch(&self, host: &Host, most: f64) -> f64 {
        (most * self.model.share(host.layers.len() as u32)).max(1.0)
    }

    /// Time that an engine takes of a usual request for each layer, in ms.
    fn layer_ms(&self, engine: usize, state: &State) -> f64 {
        let host = self.engines[engine].1;
        let layers = host.layers.len() as u32;
        let read_ms = self
            .model
            .read_ms(&host.card, layers, self.model.usual_prompt);
        let batch = self.batch(host, state.most);
        let step_ms = self.model.step_ms(&host.card, layers, batch);
        WAIT_FACTOR * (read_ms + self.model.usual_answer * step_ms) / f64::from(layers)
    }

    /// Add paths over some engines until none has room or the cheapest misses the objectives.
    fn fill_group(
        &self,
        group: &[usize],
        hop_ms: f64,
        cost: Cost,
        states: &mut [State],
        filled: &mut Filled,
    ) {
        let mut holders: Vec<Vec<(usize, f64)>> = vec![Vec::new(); self.model.layers as usize];
        let has_room = |state: &State| state.at_once > LEAST && state.per_s > LEAST;
        for engine in group {
            if !has_room(&states[*engine]) {
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
            let Some((at_once, per_s)) = self.flow(&path, states) else {
                return;
            };
            for part in &path.parts {
                let state = &mut states[part.engine];
                state.at_once -= at_once;
                state.per_s -= per_s;
                if !has_room(state) {
                    for layer in self.engines[part.engine].1.layers.clone() {
                        holders[layer as usize].retain(|(engine, _)| *engine != part.engine);
                    }
                }
            }
            filled.per_s += per_s;
            let numbers = path.parts.iter().map(|part| self.engines[part.engine].0);
            filled.paths.push((numbers.collect(), per_s));
        }
    }

    /// Requests at once and a second with which a path uses up one of its engines; `None` where they would miss the
    /// objectives.
    fn flow(&self, path: &Path, states: &[State]) -> Option<(f64, f64)> {
        let least = |of: fn(&State) -> f64| -> f64 {
            let each = path.parts.iter().map(|part| of(&states[part.engine]));
            each.fold(f64::INFINITY, f64::min)
        };
        let mut times = self.times(path, states, f64::INFINITY);
        for _ in 0..ROUNDS {
            times = self.times(path, states, times.held);
        }
        let gap_ms = times.token * self.model.stride.max(1.0);
        let is_late = self.aim.first_ms.is_some_and(|most| times.first > most)
            || self.aim.gap_ms.is_some_and(|most| gap_ms > most);
        let room = least(|state| state.at_once);
        let per_s = f64::min(room * 1000.0 / times.held, least(|state| state.per_s));
        (!is_late).then_some((per_s * times.held / 1000.0, per_s))
    }

    /// What a path takes whose engines all run as many requests as their times are for, each of which lasts `held` ms.
    fn times(&self, path: &Path, states: &[State], held: f64) -> Times {
        let (mut read, mut token) = (0.0, 0.0);
        for part in &path.parts {
            let host = self.engines[part.engine].1;
            let most = states[part.engine].most;
            let layers = host.layers.len() as u32;
            let slowdown = self
                .model
                .reading_slowdown(&host.card, layers, most * 1000.0 / held);
            let busy = WAIT_FACTOR * slowdown;
            let prompt = self.model.usual_prompt;
            let step_ms = self
                .model
                .step_ms(&host.card, part.layers, self.batch(host, most));
            read += busy * self.model.read_ms(&host.card, part.layers, prompt) + path.hop_ms;
            token += busy * step_ms + path.hop_ms;
        }
        Times {
            held: (read + self.model.usual_answer * token).max(f64::MIN_POSITIVE),
            first: read + token,
            token,
        }
    }

    /// The cheapest path over holders of layers.
    fn cheapest(
        &self,
        holders: &[Vec<(usize, f64)>],
        hop_ms: f64,
        cost: Cost,
    ) -> Option<Vec<Part>> {
        let mut ways: Vec<Option<Way>> = vec![None; holders.len() + 1];
        let hops_ms = (self.model.usual_answer + 1.0) * hop_ms;
        for (at, of_layer) in holders.iter().enumerate() {
            let (so_far, parts) = match (at, ways[at]) {
                (0, _) => (0.0, 0),
                (_, Some(way)) => (way.cost, way.parts),
                (_, None) => continue,
            };
            if parts == MOST_PARTS {
                continue;
            }
            for (engine, layer_ms) in of_layer {
                let held = &self.engines[*engine].1.layers;
                let end = held.end as usize;
                let counted = match cost {
                    Cost::Run => end - at,
                    Cost::Held => held.len(),
                };
                let cost = so_far + layer_ms * counted as f64 + hops_ms;
                if ways[end].is_none_or(|known| cost < known.cost) {
                    ways[end] = Some(Way {
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
            let way = ways[at]?;
            parts.push(Part {
                engine: way.engine,
                layers: (at - way.from) as u32,
            });
            at = way.from;
        }
        parts.reverse();
        (!parts.is_empty()).then_some(parts)
    }
}

/// Places of a first engine.
fn places(model: &LayerModel) -> f64 {
    f64::from(model.slots).min(MOST_PLACES)
}

/// Share the places of a failure domain's first engines among those that hold the same layers.
fn set_places(model: &LayerModel, engines: &[(usize, &Host)], domain: &[usize], all: &mut [f64]) {
    let mut holders = vec![0.0; model.layers as usize];
    for engine in domain {
        for layer in engines[*engine].1.layers.clone() {
            holders[layer as usize] += 1.0;
        }
    }
    let total = holders.first().copied().unwrap_or(0.0_f64).max(1.0) * places(model);
    for engine in domain {
        let layers = engines[*engine].1.layers.clone();
        let count = layers.len() as f64;
        let mean = layers.map(|layer| holders[layer as usize]).sum::<f64>() / count;
        all[*engine] = total / mean;
    }
}
