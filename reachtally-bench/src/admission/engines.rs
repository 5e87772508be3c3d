//! Batching engines. The first engine of a path queues requests that do not fit its KV; later ones refuse them.

use std::collections::BTreeSet;

use reachtally_core::forward::cost::{Card, LayerModel, WAIT_FACTOR};
use reachtally_core::forward::fleet::Entry;

use crate::choice::engines::{self, HOP_US, Load, SERVICE, STAGES, Times};

/// Number of failure domains.
pub const DOMAINS: usize = 3;
/// Maximum queue length of an engine.
const MAX_QUEUED: usize = 96;
/// Names of the two card types; the slow one takes ten times as long.
pub const FAST: &str = "fast";
const SLOW: &str = "slow";
/// One of this many chains in a failure domain has fast cards.
const FAST_CHAIN_INTERVAL: usize = 4;
/// Iterations of the fixed point between token time and request rate.
const FIXED_POINT_ITERATIONS: usize = 30;
/// Time constant of the moving rate at which an engine starts requests, in s.
const RATE_TIME_CONSTANT_S: f64 = 1.0;

/// Card types of the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Layout {
    /// One chain of four has fast cards.
    Mixed,
    /// All engines are slow except two stages of one chain.
    TwoFast,
}

/// The served model, with the two card types.
pub fn model() -> LayerModel {
    let mut model = engines::model();
    let card = |step_factor, read_factor| Card {
        step_factor,
        read_factor,
        ..model.cards[engines::CARD]
    };
    let cards = [(FAST, card(1.6, 1.0)), (SLOW, card(16.0, 10.0))];
    model.cards = cards.map(|(name, card)| (name.to_owned(), card)).into();
    model.mean_prompt_tokens = 800.0;
    model
}

/// Table entries of all engines; those of a chain are adjacent.
pub fn entries(layout: Layout, chains: usize) -> Vec<Entry> {
    let layers = model().layers / STAGES as u32;
    let entry = |number: usize| {
        let (chain, stage) = (number / STAGES % chains, number % STAGES);
        let is_fast = match layout {
            Layout::Mixed => chain.is_multiple_of(FAST_CHAIN_INTERVAL),
            Layout::TwoFast => number < 2,
        };
        let from = stage as u32 * layers;
        Entry {
            id: format!("e-{number:08}").into(),
            born: None,
            service: SERVICE.into(),
            address: ([10, 0, 0, 1], 1000 + number as u16).into(),
            domain: engines::domain(number / STAGES / chains).into(),
            draining: false,
            slots: 192,
            card: Some(if is_fast { FAST } else { SLOW }.into()),
            layers: from..from + layers,
        }
    };
    (0..DOMAINS * chains * STAGES).map(entry).collect()
}

#[derive(Debug, Clone)]
struct Engine {
    card: Card,
    /// KV capacity and use, in tokens.
    kv_capacity: f64,
    held: f64,
    running: u32,
    /// Time in µs at which it has prefilled all of its prompts.
    prefill_until: u64,
    /// Moving rate of started requests per second, and the time of its last update in µs.
    rate: (f64, u64),
    /// Requests queued for KV, by rank and number; the most urgent come first.
    queued: BTreeSet<(u8, usize)>,
    started: u64,
    /// Requests per second that its chain runs with its KV in full use.
    capacity: f64,
}

/// A request on its path.
#[derive(Debug, Clone)]
pub struct Job {
    /// Request number, in order of arrival.
    pub number: usize,
    /// Engines of the path.
    pub path: Vec<usize>,
    /// Prompt and answer length.
    pub load: Load,
    /// Rank, 0 for the most urgent.
    pub rank: u8,
}

/// Result of a send.
#[derive(Debug, Clone, Copy)]
pub enum SendResult {
    /// The request runs.
    Begun(Times),
    /// The request is queued at the first engine of the path.
    Queued,
    /// This engine refused the request.
    Refused(usize),
}

/// All engines.
pub struct Engines {
    model: LayerModel,
    layers: u32,
    all: Vec<Engine>,
    /// Slowdown factor of token steps and prefill.
    pub slowdown: f64,
}

impl Engines {
    /// Creates idle engines.
    pub fn new(model: &LayerModel, entries: &[Entry]) -> Self {
        let layers = model.layers / STAGES as u32;
        let engine = |entry: &Entry| {
            let card = model.cards[&**entry.card.as_ref().expect("each engine has a card")];
            Engine {
                card,
                kv_capacity: model.kv_tokens(&card, layers),
                held: 0.0,
                running: 0,
                prefill_until: 0,
                rate: (0.0, 0),
                queued: BTreeSet::new(),
                started: 0,
                capacity: 0.0,
            }
        };
        let mut engines = Engines {
            model: model.clone(),
            layers,
            all: entries.iter().map(engine).collect(),
            slowdown: 1.0,
        };
        for first in (0..engines.all.len()).step_by(STAGES) {
            let capacity = engines.chain_capacity(first);
            for engine in &mut engines.all[first..first + STAGES] {
                engine.capacity = capacity;
            }
        }
        engines
    }

    /// Requests per second that the chain starting at engine `first` runs with its KV in full use.
    fn chain_capacity(&self, first: usize) -> f64 {
        let chain = &self.all[first..first + STAGES];
        let kv_capacity = chain.iter().map(|engine| engine.kv_capacity);
        let batch = kv_capacity.fold(f64::INFINITY, f64::min) / self.model.mean_context_tokens();
        let mut rate = 0.0;
        for _ in 0..FIXED_POINT_ITERATIONS {
            let token = |engine: &Engine| self.token_ms(engine, batch, rate);
            let token_ms: f64 = chain.iter().map(token).sum();
            let read = |engine: &Engine| self.prefill_ms(engine, self.model.mean_prompt_tokens);
            let prefill_ms: f64 = chain.iter().map(read).sum();
            let held_ms = prefill_ms + token_ms * self.model.mean_answer_tokens;
            // Damped by half for convergence.
            rate = (rate + batch * 1000.0 / held_ms) / 2.0;
        }
        rate
    }

    /// Requests per second that all engines run with their KV in full use, if each request stays on one chain.
    pub fn capacity(&self) -> f64 {
        let firsts = self.all.iter().step_by(STAGES);
        firsts.map(|engine| engine.capacity).sum()
    }

    fn token_ms(&self, engine: &Engine, running: f64, rate: f64) -> f64 {
        let model = &self.model;
        let batch = running * model.layer_fraction(self.layers) + 1.0;
        let slowdown = model.prefill_slowdown(&engine.card, self.layers, rate);
        let step_ms = model.step_ms(&engine.card, self.layers, batch);
        step_ms * WAIT_FACTOR * slowdown * self.slowdown + HOP_US as f64 / 1000.0
    }

    fn prefill_ms(&self, engine: &Engine, tokens: f64) -> f64 {
        self.model.prefill_ms(&engine.card, self.layers, tokens) * self.slowdown
    }

    /// Whether a request fits the free KV of an engine.
    fn fits(&self, number: usize, load: Load) -> bool {
        let engine = &self.all[number];
        engine.held + load.held() <= engine.kv_capacity
    }

    /// Sends a request to the first engine of its path.
    pub fn send(&mut self, job: &Job, now: u64) -> SendResult {
        let first = job.path[0];
        let engine = &mut self.all[first];
        let key = (job.rank, job.number);
        let is_behind = engine.queued.first().is_some_and(|head| *head < key);
        if !is_behind && engine.held + job.load.held() <= engine.kv_capacity {
            return self.begin(job, now);
        }
        if engine.queued.len() >= MAX_QUEUED {
            return SendResult::Refused(first);
        }
        engine.queued.insert(key);
        SendResult::Queued
    }

    /// Starts a request that fits its first engine; a later engine may still refuse it.
    fn begin(&mut self, job: &Job, now: u64) -> SendResult {
        let full = |number: &&usize| !self.fits(**number, job.load);
        if let Some(full) = job.path.iter().find(full) {
            return SendResult::Refused(*full);
        }
        let mut at = now;
        let mut token_ms = 0.0;
        for number in &job.path {
            let engine = &mut self.all[*number];
            engine.started += 1;
            engine.running += 1;
            engine.held += job.load.held();
            let passed = (now - engine.rate.1) as f64 / 1e6;
            let rate =
                engine.rate.0 * (-passed / RATE_TIME_CONSTANT_S).exp() + 1.0 / RATE_TIME_CONSTANT_S;
            engine.rate = (rate, now);
            let engine = &self.all[*number];
            let read_us = self.prefill_ms(engine, job.load.prompt) * 1000.0;
            token_ms += self.token_ms(engine, f64::from(engine.running), rate);
            at = engine.prefill_until.max(at + HOP_US) + read_us as u64;
            self.all[*number].prefill_until = at;
        }
        let token_us = token_ms * 1000.0;
        SendResult::Begun(Times {
            first: at + token_us as u64,
            end: at + (token_us * job.load.answer) as u64,
        })
    }

    /// Removes the next request from an engine's queue, if it fits the free KV.
    pub fn next(&mut self, number: usize, load_of: impl Fn(usize) -> Load) -> Option<usize> {
        let (_, request) = *self.all[number].queued.first()?;
        if !self.fits(number, load_of(request)) {
            return None;
        }
        self.all[number].queued.pop_first();
        Some(request)
    }

    /// Starts a request that [`Engines::next`] returned.
    pub fn take(&mut self, job: &Job, now: u64) -> SendResult {
        self.begin(job, now)
    }

    /// Removes a request whose caller gave up from its engine's queue. Returns whether it was queued.
    pub fn leave(&mut self, job: &Job) -> bool {
        let queued = &mut self.all[job.path[0]].queued;
        queued.remove(&(job.rank, job.number))
    }

    /// KV capacity of all engines, in tokens.
    pub fn kv_capacity(&self) -> f64 {
        self.all.iter().map(|engine| engine.kv_capacity).sum()
    }

    /// Releases the KV of a request that ended.
    pub fn end(&mut self, job: &Job) {
        for number in &job.path {
            let engine = &mut self.all[*number];
            engine.held = (engine.held - job.load.held()).max(0.0);
            engine.running -= 1;
        }
    }

    /// Fraction of the KV capacity of all engines in use.
    pub fn utilization(&self) -> f64 {
        let held: f64 = self.all.iter().map(|engine| engine.held).sum();
        held / self.kv_capacity()
    }

    /// Utilization of the least loaded path in the failure domains for which `is_reached` holds, where the utilization of a path is
    /// that of its fullest engine. An engine with a queue counts as full.
    pub fn min_path_utilization(&self, is_reached: impl Fn(usize) -> bool) -> f64 {
        let utilization = |engine: &Engine| match engine.queued.is_empty() {
            true => engine.held / engine.kv_capacity,
            false => 1.0,
        };
        let of_domain = |engines: &[Engine]| {
            let of_stage = |stage| {
                let stage = engines.iter().skip(stage).step_by(STAGES);
                stage.map(utilization).fold(1.0, f64::min)
            };
            (0..STAGES).map(of_stage).fold(0.0, f64::max)
        };
        let domains = self.all.chunks(self.all.len() / DOMAINS).enumerate();
        let reached = domains.filter(|(number, _)| is_reached(*number));
        reached
            .map(|(_, engines)| of_domain(engines))
            .fold(1.0, f64::min)
    }

    /// Largest ratio over all engines of requests started to capacity, relative to the ratio of all engines together.
    pub fn max_load_ratio(&self) -> f64 {
        let started: u64 = self.all.iter().map(|engine| engine.started).sum();
        let capacity: f64 = self.all.iter().map(|engine| engine.capacity).sum();
        let mean = started.max(1) as f64 / capacity;
        let relative_load = |engine: &Engine| engine.started as f64 / engine.capacity / mean;
        self.all.iter().map(relative_load).fold(0.0, f64::max)
    }

    /// Resets the counts of started requests.
    pub fn start_measurement(&mut self) {
        for engine in &mut self.all {
            engine.started = 0;
        }
    }
}
