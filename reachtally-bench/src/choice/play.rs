//! Discrete-event simulation of a number of boxes in front of a fixed set of engines at a fixed load.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reachtally_core::forward::cost::LayerModel;
use reachtally_core::forward::select::{self, LatencyObjectives, Requirements, SelectionContext};

use crate::boxes::{Exchange, SimBox, Tick};
use crate::choice::Options;
use crate::choice::engines::{self, DOMAINS, Load, SERVICE, SimEngine};
use crate::timeline::Timeline;

/// Expected duration of a request, for path selection.
const EXPECTED_DURATION: Duration = Duration::from_millis(1500);
/// One of this many datagrams is lost.
const LOSS_INTERVAL: u32 = 100;
/// Maximum number of sends of a request, refused ones included.
const MAX_SENDS: u32 = 5;
/// Latency objective for the first event, in µs.
const OBJECTIVE_US: u64 = 500_000;
/// Latency objectives for path selection.
const OBJECTIVES: LatencyObjectives = LatencyObjectives {
    first_ms: Some(OBJECTIVE_US as f64 / 1000.0),
    gap_ms: Some(200.0),
};
/// Warm-up time before the measurement, in which the engines fill, in µs.
const WARM_UP_US: u64 = 3_000_000;

/// Measurements after the warm-up.
#[derive(Debug, Default)]
pub struct Outcome {
    served: u32,
    late: u32,
    sends: u32,
    refused: u32,
    started: Vec<u32>,
    seconds: f64,
    boxes: usize,
    /// Messages and bytes of boxes that are not collectors.
    plain: (u64, u64),
    collector_messages: u64,
}

impl Outcome {
    /// Requests at the busiest engine, relative to the mean.
    pub fn spread(&self) -> f64 {
        let max = self.started.iter().max().copied().unwrap_or_default();
        let sum: u32 = self.started.iter().sum();
        f64::from(max) * self.started.len() as f64 / f64::from(sum.max(1))
    }

    /// Percentage of requests whose first event was late or missing.
    pub fn late_percent(&self) -> f64 {
        100.0 * f64::from(self.late) / f64::from(self.served.max(1))
    }

    /// Percentage of sends that engines refused.
    pub fn refused_percent(&self) -> f64 {
        100.0 * f64::from(self.refused) / f64::from(self.sends.max(1))
    }

    fn per_box_second(&self, sum: u64) -> f64 {
        let plain = self.boxes.saturating_sub(DOMAINS).max(1) as f64;
        sum as f64 / plain / self.seconds
    }

    /// Messages per second of a box that is not a collector.
    pub fn messages_per_box(&self) -> f64 {
        self.per_box_second(self.plain.0)
    }

    /// Bytes per second of a box that is not a collector.
    pub fn bytes_per_box(&self) -> f64 {
        self.per_box_second(self.plain.1)
    }

    /// Messages per second of a collector.
    pub fn messages_per_collector(&self) -> f64 {
        self.collector_messages as f64 / DOMAINS.min(self.boxes) as f64 / self.seconds
    }
}

/// An event of the simulation.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    /// A report, a sum or a datagram between boxes.
    Tick(Tick),
    /// First event of a request, by its number.
    First(usize),
    /// Completion of a request, by its number.
    End(usize),
}

impl From<Tick> for Event {
    fn from(tick: Tick) -> Self {
        Event::Tick(tick)
    }
}

struct Request {
    box_index: usize,
    path: Vec<usize>,
    load: Load,
}

struct Simulation<'a> {
    options: &'a Options,
    model: LayerModel,
    rng: ChaCha8Rng,
    timeline: Timeline<Event>,
    exchange: Exchange,
    engines: Vec<SimEngine>,
    requests: Vec<Request>,
    outcome: Outcome,
}

/// Simulates `count` boxes.
pub fn simulate(count: usize, options: &Options) -> Outcome {
    let mut simulation = Simulation::new(count, options);
    let end = WARM_UP_US + u64::from(options.seconds) * 1_000_000;
    let mut is_warm = false;
    while let Some(event) = simulation.timeline.next_before(end) {
        if !is_warm && simulation.timeline.now_us() >= WARM_UP_US {
            is_warm = true;
            simulation.start_measurement();
        }
        simulation.handle(event);
    }
    simulation.finish()
}

impl<'a> Simulation<'a> {
    fn new(count: usize, options: &'a Options) -> Self {
        let entries = engines::entries();
        let boxes = (0..count)
            .map(|number| SimBox::new(number, engines::domain(number % DOMAINS), &entries))
            .collect();
        let mut simulation = Simulation {
            options,
            model: engines::model(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            timeline: Timeline::new(),
            exchange: Exchange::new(boxes, DOMAINS, LOSS_INTERVAL),
            engines: vec![SimEngine::default(); entries.len()],
            requests: Vec::new(),
            outcome: Outcome::default(),
        };
        simulation
            .exchange
            .start(&mut simulation.rng, &mut simulation.timeline);
        simulation.timeline.schedule(0, Event::Request);
        simulation
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request => self.request(),
            Event::Tick(tick) => {
                self.exchange
                    .handle(tick, &mut self.rng, &mut self.timeline);
            }
            Event::First(number) => {
                let request = &self.requests[number];
                let sim_box = &mut self.exchange.boxes[request.box_index];
                let rows = sim_box.engine_keys(&request.path);
                sim_box.fleet.end_prefill(&rows, request.load.prompt);
            }
            Event::End(number) => {
                let request = &self.requests[number];
                let sim_box = &mut self.exchange.boxes[request.box_index];
                let rows = sim_box.engine_keys(&request.path);
                let held = request.load.prompt + request.load.answer / 2.0;
                sim_box.fleet.end(&rows, held);
                engines::end(&mut self.engines, &request.path, request.load);
            }
        }
    }

    /// Handles the arrival of a request at a random box, which sends it until engines accept it or no sends are left.
    fn request(&mut self) {
        let pause = -self.rng.random::<f64>().max(1e-9).ln() * 1e6 / f64::from(self.options.rate);
        self.timeline.schedule(pause as u64, Event::Request);
        let box_index = self.rng.random_range(0..self.exchange.boxes.len());
        let load = Load {
            prompt: self.rng.random_range(400.0..1200.0),
            answer: self.rng.random_range(100.0..300.0),
        };
        self.outcome.served += 1;
        for _ in 0..MAX_SENDS {
            let Some(times) = self.send(box_index, load) else {
                continue;
            };
            self.outcome.late += u32::from(times.first - self.timeline.now_us() > OBJECTIVE_US);
            return;
        }
        self.outcome.late += 1;
    }

    fn send(&mut self, box_index: usize, load: Load) -> Option<engines::Times> {
        let need = Requirements {
            prompt: load.prompt,
            answer: load.answer,
            objectives: OBJECTIVES,
        };
        let draw = self.rng.random();
        let now = self.timeline.clock();
        let sim_box = &self.exchange.boxes[box_index];
        let cx = SelectionContext {
            now,
            home: &sim_box.domain,
            avoid: &[],
            held: EXPECTED_DURATION,
            boxes: 1,
            load_scale: 1.0,
            draw,
            limits: select::Limits::Enforced,
        };
        let choice = select::path(&sim_box.fleet, SERVICE, &self.model, need, &cx)?;
        let path = sim_box.engine_numbers(&choice.path)?;
        self.outcome.sends += 1;
        let started = engines::begin(
            &mut self.engines,
            &path,
            load,
            &self.model,
            self.timeline.now_us(),
        );
        let sim_box = &mut self.exchange.boxes[box_index];
        let times = match started {
            Ok(times) => times,
            Err(full) => {
                self.outcome.refused += 1;
                let key = sim_box.keys[full];
                let engine = sim_box
                    .fleet
                    .get_mut(key)
                    .expect("engines are never removed");
                engine.health.refused(now);
                return None;
            }
        };
        let rows = sim_box.engine_keys(&path);
        sim_box.fleet.begin(&rows, need.held());
        sim_box.fleet.begin_prefill(&rows, load.prompt);
        let number = self.requests.len();
        self.requests.push(Request {
            box_index,
            path,
            load,
        });
        self.timeline
            .schedule(times.first - self.timeline.now_us(), Event::First(number));
        self.timeline
            .schedule(times.end - self.timeline.now_us(), Event::End(number));
        Some(times)
    }

    fn start_measurement(&mut self) {
        self.outcome = Outcome::default();
        for engine in &mut self.engines {
            engine.started = 0;
        }
        for sim_box in &mut self.exchange.boxes {
            sim_box.messages = 0;
            sim_box.bytes = 0;
        }
    }

    fn finish(self) -> Outcome {
        let (collectors, plain) = self
            .exchange
            .boxes
            .split_at(self.exchange.boxes.len().min(DOMAINS));
        let messages = |boxes: &[SimBox]| boxes.iter().map(|sim_box| sim_box.messages).sum();
        Outcome {
            started: self.engines.iter().map(|engine| engine.started).collect(),
            seconds: f64::from(self.options.seconds),
            boxes: self.exchange.boxes.len(),
            plain: (
                messages(plain),
                plain.iter().map(|sim_box| sim_box.bytes).sum(),
            ),
            collector_messages: messages(collectors),
            ..self.outcome
        }
    }
}
