//! One play: a number of boxes before the same fleet at the same load.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reachtally_core::forward::cost::LayerModel;
use reachtally_core::forward::select::{self, LatencyObjectives, Requirements, SelectionContext};

use crate::boxes::{Exchange, SimBox, Tick};
use crate::choice::Options;
use crate::choice::engines::{self, DOMAINS, Load, SERVICE, SimEngine};
use crate::timeline::Timeline;

/// How long requests are reckoned to run.
const HELD: Duration = Duration::from_millis(1500);
/// Of this many datagrams one is lost.
const LOST_OF: u32 = 100;
/// Sends of a request, refused ones included.
const MOST_SENDS: u32 = 5;
/// Time to the first event that is still in time, in µs.
const OBJECTIVE_US: u64 = 500_000;
/// What answers should keep to.
const AIM: LatencyObjectives = LatencyObjectives {
    first_ms: Some(OBJECTIVE_US as f64 / 1000.0),
    gap_ms: Some(200.0),
};
/// Time before what happens counts, in µs: the fleet fills.
const WARM_UP_US: u64 = 3_000_000;

/// What a play showed, after the fleet had filled.
#[derive(Debug, Default)]
pub struct Outcome {
    served: u32,
    late: u32,
    sends: u32,
    refused: u32,
    begun: Vec<u32>,
    seconds: f64,
    boxes: usize,
    /// Messages and bytes of boxes that collect nothing.
    plain: (u64, u64),
    collected: u64,
}

impl Outcome {
    /// Requests at the busiest engine, in those of the mean one.
    pub fn spread(&self) -> f64 {
        let most = self.begun.iter().max().copied().unwrap_or_default();
        let sum: u32 = self.begun.iter().sum();
        f64::from(most) * self.begun.len() as f64 / f64::from(sum.max(1))
    }

    /// First events that came late, or never, in a hundred requests.
    pub fn late_percent(&self) -> f64 {
        100.0 * f64::from(self.late) / f64::from(self.served.max(1))
    }

    /// Sends that engines refused, in a hundred.
    pub fn refused_percent(&self) -> f64 {
        100.0 * f64::from(self.refused) / f64::from(self.sends.max(1))
    }

    fn each(&self, sum: u64) -> f64 {
        let plain = self.boxes.saturating_sub(DOMAINS).max(1) as f64;
        sum as f64 / plain / self.seconds
    }

    /// Messages a second of a box that collects nothing.
    pub fn messages_each(&self) -> f64 {
        self.each(self.plain.0)
    }

    /// Bytes a second of a box that collects nothing.
    pub fn bytes_each(&self) -> f64 {
        self.each(self.plain.1)
    }

    /// Messages a second of a collector.
    pub fn messages_of_collectors(&self) -> f64 {
        self.collected as f64 / DOMAINS.min(self.boxes) as f64 / self.seconds
    }
}

/// What happens at some time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    /// Something between boxes.
    Tick(Tick),
    /// A request shows its first event, by its number.
    First(usize),
    /// A request ends, by its number.
    End(usize),
}

impl From<Tick> for Event {
    fn from(tick: Tick) -> Self {
        Event::Tick(tick)
    }
}

struct Request {
    at: usize,
    path: Vec<usize>,
    load: Load,
}

struct Play<'a> {
    options: &'a Options,
    model: LayerModel,
    rng: ChaCha8Rng,
    timeline: Timeline<Event>,
    exchange: Exchange,
    engines: Vec<SimEngine>,
    requests: Vec<Request>,
    outcome: Outcome,
}

/// Play `count` boxes.
pub fn play(count: usize, options: &Options) -> Outcome {
    let mut play = Play::new(count, options);
    let end = WARM_UP_US + u64::from(options.seconds) * 1_000_000;
    let mut is_warm = false;
    while let Some(event) = play.timeline.next_before(end) {
        if !is_warm && play.timeline.now_us() >= WARM_UP_US {
            is_warm = true;
            play.begin_to_count();
        }
        play.handle(event);
    }
    play.ended()
}

impl<'a> Play<'a> {
    fn new(count: usize, options: &'a Options) -> Self {
        let entries = engines::entries();
        let boxes = (0..count)
            .map(|number| SimBox::new(number, engines::domain(number % DOMAINS), &entries))
            .collect();
        let mut play = Play {
            options,
            model: engines::model(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            timeline: Timeline::new(),
            exchange: Exchange::new(boxes, DOMAINS, LOST_OF),
            engines: vec![SimEngine::default(); entries.len()],
            requests: Vec::new(),
            outcome: Outcome::default(),
        };
        play.exchange.start(&mut play.rng, &mut play.timeline);
        play.timeline.schedule(0, Event::Request);
        play
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
                let entrance = &mut self.exchange.boxes[request.at];
                let rows = entrance.rows(&request.path);
                entrance.fleet.end_prefill(&rows, request.load.prompt);
            }
            Event::End(number) => {
                let request = &self.requests[number];
                let entrance = &mut self.exchange.boxes[request.at];
                let rows = entrance.rows(&request.path);
                let held = request.load.prompt + request.load.answer / 2.0;
                entrance.fleet.end(&rows, held);
                engines::end(&mut self.engines, &request.path, request.load);
            }
        }
    }

    /// A request comes to some box, which sends it until engines take it.
    fn request(&mut self) {
        let pause = -self.rng.random::<f64>().max(1e-9).ln() * 1e6 / f64::from(self.options.rate);
        self.timeline.schedule(pause as u64, Event::Request);
        let at = self.rng.random_range(0..self.exchange.boxes.len());
        let load = Load {
            prompt: self.rng.random_range(400.0..1200.0),
            answer: self.rng.random_range(100.0..300.0),
        };
        self.outcome.served += 1;
        for _ in 0..MOST_SENDS {
            let Some(times) = self.send(at, load) else {
                continue;
            };
            self.outcome.late += u32::from(times.first - self.timeline.now_us() > OBJECTIVE_US);
            return;
        }
        self.outcome.late += 1;
    }

    fn send(&mut self, at: usize, load: Load) -> Option<engines::Times> {
        let need = Requirements {
            prompt: load.prompt,
            answer: load.answer,
            objectives: AIM,
        };
        let draw = self.rng.random();
        let now = self.timeline.clock();
        let entrance = &self.exchange.boxes[at];
        let cx = SelectionContext {
            now,
            home: &entrance.domain,
            avoid: &[],
            held: HELD,
            boxes: 1,
            load_scale: 1.0,
            draw,
            limits: select::Limits::Enforced,
        };
        let choice = select::path(&entrance.fleet, SERVICE, &self.model, need, &cx)?;
        let path = entrance.numbers(&choice.path)?;
        self.outcome.sends += 1;
        let begun = engines::begin(
            &mut self.engines,
            &path,
            load,
            &self.model,
            self.timeline.now_us(),
        );
        let entrance = &mut self.exchange.boxes[at];
        let times = match begun {
            Ok(times) => times,
            Err(full) => {
                self.outcome.refused += 1;
                let key = entrance.keys[full];
                let engine = entrance.fleet.get_mut(key).expect("engines never leave");
                engine.health.refused(now);
                return None;
            }
        };
        let rows = entrance.rows(&path);
        entrance.fleet.begin(&rows, need.held());
        entrance.fleet.begin_prefill(&rows, load.prompt);
        let number = self.requests.len();
        self.requests.push(Request { at, path, load });
        self.timeline
            .schedule(times.first - self.timeline.now_us(), Event::First(number));
        self.timeline
            .schedule(times.end - self.timeline.now_us(), Event::End(number));
        Some(times)
    }

    fn begin_to_count(&mut self) {
        self.outcome = Outcome::default();
        for engine in &mut self.engines {
            engine.begun = 0;
        }
        for entrance in &mut self.exchange.boxes {
            entrance.messages = 0;
            entrance.bytes = 0;
        }
    }

    fn ended(self) -> Outcome {
        let (collectors, plain) = self
            .exchange
            .boxes
            .split_at(self.exchange.boxes.len().min(DOMAINS));
        let messages = |boxes: &[SimBox]| boxes.iter().map(|each| each.messages).sum();
        Outcome {
            begun: self.engines.iter().map(|engine| engine.begun).collect(),
            seconds: f64::from(self.options.seconds),
            boxes: self.exchange.boxes.len(),
            plain: (messages(plain), plain.iter().map(|each| each.bytes).sum()),
            collected: messages(collectors),
            ..self.outcome
        }
    }
}
