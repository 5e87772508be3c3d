//! Engines that batch: the first of a path queues what its KV has no room for, later ones refuse it.

use std::collections::BTreeSet;

use reachtally_core::forward::cost::{Card, LayerModel, WAIT_FACTOR};
use reachtally_core::forward::fleet::Entry;

use crate::choice::engines::{self, HOP_US, Load, SERVICE, STAGES, Times};

/// Failure domains.
pub const DOMAINS: usize = 3;
/// Requests that wait at an engine, at most.
const MOST_WAITING: usize = 96;
/// Kinds of card, ten times apart.
pub const FAST: &str = "fast";
const SLOW: &str = "slow";
/// In each failure domain one chain of this many has fast cards.
const FAST_OF: usize = 4;
/// Rounds in which the time of a token and the rate of requests that follows from it are found.
const ROUNDS: usize = 30;
/// Time constant of the rate at which an engine begins requests, in s.
const RATE_TIME: f64 = 1.0;

/// Which engines there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Layout {
    /// One chain of four is fast.
    Mixed,
    /// All are slow but two, which are stages of one chain.
    TwoFast,
}

/// The model that is served.
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

/// Entries of all engines; those of a chain follow each other.
pub fn entries(layout: Layout, chains: usize) -> Vec<Entry> {
    let layers = model().layers / STAGES as u32;
    let entry = |number: usize| {
        let (chain, stage) = (number / STAGES % chains, number % STAGES);
        let is_fast = match layout {
            Layout::Mixed => chain.is_multiple_of(FAST_OF),
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
    /// KV tokens that it holds, and those in use.
    room: f64,
    held: f64,
    running: u32,
    /// Until when it reads the prompts that it has, in µs.
    reading_until: u64,
    /// Requests begun a second, and when that was counted, in µs.
    rate: (f64, u64),
    /// Requests that wait for room, the most urgent first, by rank and number.
    waiting: BTreeSet<(u8, usize)>,
    begun: u64,
    /// Requests a second that it can run within the objectives.
    capacity: f64,
}

/// A request as engines see it.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its number; lower ones came earlier.
    pub number: usize,
    /// The engines of its path.
    pub path: Vec<usize>,
    /// Its size.
    pub load: Load,
    /// Its priority, 0 for the most urgent.
    pub rank: u8,
}

/// What became of a send.
#[derive(Debug, Clone, Copy)]
pub enum Sent {
    /// It runs.
    Begun(Times),
    /// It waits at the first engine.
    Waits,
    /// This engine refused it.
    Refused(usize),
}

/// All engines.
pub struct Engines {
    model: LayerModel,
    layers: u32,
    all: Vec<Engine>,
    /// Factor on the time of token steps and prompts.
    pub pace: f64,
}

impl Engines {
    /// Engines without requests.
    pub fn new(model: &LayerModel, entries: &[Entry]) -> Self {
        let layers = model.layers / STAGES as u32;
        let engine = |entry: &Entry| {
            let card = model.cards[&**entry.card.as_ref().expect("each engine has a card")];
            Engine {
                card,
                room: model.kv_tokens(&card, layers),
                held: 0.0,
                running: 0,
                reading_until: 0,
                rate: (0.0, 0),
                waiting: BTreeSet::new(),
                begun: 0,
                capacity: 0.0,
            }
        };
        let mut engines = Engines {
            model: model.clone(),
            layers,
            all: entries.iter().map(engine).collect(),
            pace: 1.0,
        };
        for first in (0..engines.all.len()).step_by(STAGES) {
            let capacity = engines.chain_capacity(first);
            for engine in &mut engines.all[first..first + STAGES] {
                engine.capacity = capacity;
            }
        }
        engines
    }

    /// Requests a second that the chain which begins at engine `first` runs with all of its room in use.
    fn chain_capacity(&self, first: usize) -> f64 {
        let chain = &self.all[first..first + STAGES];
        let room = chain.iter().map(|engine| engine.room);
        let batch = room.fold(f64::INFINITY, f64::min) / self.model.mean_context_tokens();
        let mut rate = 0.0;
        for _ in 0..ROUNDS {
            let token = |engine: &Engine| self.token_ms(engine, batch, rate);
            let token_ms: f64 = chain.iter().map(token).sum();
            let read = |engine: &Engine| self.prefill_ms(engine, self.model.mean_prompt_tokens);
            let prefill_ms: f64 = chain.iter().map(read).sum();
            let held_ms = prefill_ms + token_ms * self.model.mean_answer_tokens;
            // Half of the step, so that the rounds converge.
            rate = (rate + batch * 1000.0 / held_ms) / 2.0;
        }
        rate
    }

    /// Requests a second that all engines run with all of their room in use, if each request keeps to one chain.
    pub fn capacity(&self) -> f64 {
        let firsts = self.all.iter().step_by(STAGES);
        firsts.map(|engine| engine.capacity).sum()
    }

    fn token_ms(&self, engine: &Engine, running: f64, rate: f64) -> f64 {
        let model = &self.model;
        let batch = running * model.layer_fraction(self.layers) + 1.0;
        let slowdown = model.prefill_slowdown(&engine.card, self.layers, rate);
        let step_ms = model.step_ms(&engine.card, self.layers, batch);
        step_ms * WAIT_FACTOR * slowdown * self.pace + HOP_US as f64 / 1000.0
    }

    fn prefill_ms(&self, engine: &Engine, tokens: f64) -> f64 {
        self.model.prefill_ms(&engine.card, self.layers, tokens) * self.pace
    }

    /// Whether an engine has room for a request beside those that run.
    fn has_room(&self, number: usize, load: Load) -> bool {
        let engine = &self.all[number];
        engine.held + load.held() <= engine.room
    }

    /// A request reaches the first engine of its path.
    pub fn send(&mut self, job: &Job, now: u64) -> Sent {
        let first = job.path[0];
        let engine = &mut self.all[first];
        let place = (job.rank, job.number);
        let is_behind = engine.waiting.first().is_some_and(|head| *head < place);
        if !is_behind && engine.held + job.load.held() <= engine.room {
            return self.begin(job, now);
        }
        if engine.waiting.len() >= MOST_WAITING {
            return Sent::Refused(first);
        }
        engine.waiting.insert(place);
        Sent::Waits
    }

    /// Begins a request that its first engine has room for.
    fn begin(&mut self, job: &Job, now: u64) -> Sent {
        let full = |number: &&usize| !self.has_room(**number, job.load);
        if let Some(full) = job.path.iter().find(full) {
            return Sent::Refused(*full);
        }
        let mut at = now;
        let mut token_ms = 0.0;
        for number in &job.path {
            let engine = &mut self.all[*number];
            engine.begun += 1;
            engine.running += 1;
            engine.held += job.load.held();
            let passed = (now - engine.rate.1) as f64 / 1e6;
            let rate = engine.rate.0 * (-passed / RATE_TIME).exp() + 1.0 / RATE_TIME;
            engine.rate = (rate, now);
            let engine = &self.all[*number];
            let read_us = self.prefill_ms(engine, job.load.prompt) * 1000.0;
            token_ms += self.token_ms(engine, f64::from(engine.running), rate);
            at = engine.reading_until.max(at + HOP_US) + read_us as u64;
            self.all[*number].reading_until = at;
        }
        let token_us = token_ms * 1000.0;
        Sent::Begun(Times {
            first: at + token_us as u64,
            end: at + (token_us * job.load.answer) as u64,
        })
    }

    /// The request that an engine takes from its queue next, if it has room for it.
    pub fn next(&mut self, number: usize, load_of: impl Fn(usize) -> Load) -> Option<usize> {
        let (_, request) = *self.all[number].waiting.first()?;
        if !self.has_room(number, load_of(request)) {
            return None;
        }
        self.all[number].waiting.pop_first();
        Some(request)
    }

    /// Begins a request that an engine took from its queue.
    pub fn take(&mut self, job: &Job, now: u64) -> Sent {
        self.begin(job, now)
    }

    /// Removes a request whose caller has left, if it waits.
    pub fn leave(&mut self, job: &Job) -> bool {
        let waiting = &mut self.all[job.path[0]].waiting;
        waiting.remove(&(job.rank, job.number))
    }

    /// KV tokens that all engines hold.
    pub fn room(&self) -> f64 {
        self.all.iter().map(|engine| engine.room).sum()
    }

    /// A request that ran has ended.
    pub fn end(&mut self, job: &Job) {
        for number in &job.path {
            let engine = &mut self.all[*number];
            engine.held = (engine.held - job.load.held()).max(0.0);
            engine.running -= 1;
        }
    }

    /// Part of the room of all engines that is in use.
    pub fn used(&self) -> f64 {
        let held: f64 = self.all.iter().map(|engine| engine.held).sum();
        held / self.room()
    }

    /// The part in use by the fullest engine of the emptiest path, over the failure domains for which `is_reached`
    /// holds. A first engine where requests wait counts as full.
    pub fn least_used(&self, is_reached: impl Fn(usize) -> bool) -> f64 {
        let used = |engine: &Engine| match engine.waiting.is_empty() {
            true => engine.held / engine.room,
            false => 1.0,
        };
        let of_domain = |engines: &[Engine]| {
            let of_stage = |stage| {
                let stage = engines.iter().skip(stage).step_by(STAGES);
                stage.map(used).fold(1.0, f64::min)
            };
            (0..STAGES).map(of_stage).fold(0.0, f64::max)
        };
        let domains = self.all.chunks(self.all.len() / DOMAINS).enumerate();
        let reached = domains.filter(|(number, _)| is_reached(*number));
        reached
            .map(|(_, engines)| of_domain(engines))
            .fold(1.0, f64::min)
    }

    /// Requests begun at the busiest engine, in those that it can run in time, against the same of all engines.
    pub fn busiest(&self) -> f64 {
        let begun: u64 = self.all.iter().map(|engine| engine.begun).sum();
        let capacity: f64 = self.all.iter().map(|engine| engine.capacity).sum();
        let mean = begun.max(1) as f64 / capacity;
        let part = |engine: &Engine| engine.begun as f64 / engine.capacity / mean;
        self.all.iter().map(part).fold(0.0, f64::max)
    }

    /// Forgets what was begun so far.
    pub fn begin_to_count(&mut self) {
        for engine in &mut self.all {
            engine.begun = 0;
        }
    }
}
