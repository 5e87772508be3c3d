//! One play: a number of boxes before the same fleet at the same load.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reachtally_core::Instant;
use reachtally_core::forward::cost::LayerModel;
use reachtally_core::forward::loads::{self, Message};
use reachtally_core::forward::select::{Aim, Need};
use reachtally_protocol::load;

use crate::choice::Options;
use crate::choice::boxes::SimBox;
use crate::choice::engines::{self, DOMAINS, Load, SimEngine};

/// Time between two reports of a box, in µs, as the relay has it.
const REPORT_US: u64 = 200_000;
/// Time between two sums of a collector, in µs, as the relay has it.
const SUM_US: u64 = 50_000;
/// Time of a datagram on its way, in µs.
const DELAY_US: u64 = 2_000;
/// Of this many datagrams one is lost.
const LOST_OF: u32 = 100;
/// Sends of a request, refused ones included.
const MOST_SENDS: u32 = 5;
/// Time to the first event that is still in time, in µs.
const OBJECTIVE_US: u64 = 500_000;
/// What answers should keep to.
const AIM: Aim = Aim {
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
    Report(usize),
    Sum(usize),
    /// A datagram arrives, by its place in the post.
    Arrival(usize),
    /// A request shows its first event, by its number.
    First(usize),
    /// A request ends, by its number.
    End(usize),
}

struct Request {
    at: usize,
    path: Vec<usize>,
    load: Load,
}

struct Datagram {
    from: usize,
    to: usize,
    message: Message,
}

struct Play<'a> {
    options: &'a Options,
    model: LayerModel,
    rng: ChaCha8Rng,
    now: u64,
    due: BinaryHeap<Reverse<(u64, Event)>>,
    boxes: Vec<SimBox>,
    engines: Vec<SimEngine>,
    requests: Vec<Request>,
    post: Vec<Option<Datagram>>,
    outcome: Outcome,
}

/// The address of a box.
fn ip(number: usize) -> IpAddr {
    Ipv4Addr::from(number as u32).into()
}

/// Play `count` boxes.
pub fn play(count: usize, options: &Options) -> Outcome {
    let mut play = Play::new(count, options);
    let end = WARM_UP_US + u64::from(options.seconds) * 1_000_000;
    while let Some(Reverse((at, event))) = play.due.pop() {
        if at >= end {
            break;
        }
        if play.now < WARM_UP_US && at >= WARM_UP_US {
            play.begin_to_count();
        }
        play.now = at;
        play.handle(event);
    }
    play.ended()
}

impl<'a> Play<'a> {
    fn new(count: usize, options: &'a Options) -> Self {
        let boxes: Vec<SimBox> = (0..count)
            .map(|number| SimBox::new(number, engines::domain(number % DOMAINS)))
            .collect();
        let mut play = Play {
            options,
            model: engines::model(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            now: 0,
            due: BinaryHeap::new(),
            boxes,
            engines: vec![SimEngine::default(); engines::entries().len()],
            requests: Vec::new(),
            post: Vec::new(),
            outcome: Outcome::default(),
        };
        for number in 0..count {
            let phase = play.rng.random_range(0..REPORT_US);
            play.schedule(phase, Event::Report(number));
        }
        for collector in 0..count.min(DOMAINS) {
            let phase = play.rng.random_range(0..SUM_US);
            play.schedule(phase, Event::Sum(collector));
        }
        play.schedule(0, Event::Request);
        play
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.due.push(Reverse((self.now + after, event)));
    }

    fn clock(&self) -> Instant {
        Instant::from_elapsed(Duration::from_micros(self.now))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request => self.request(),
            Event::Report(number) => self.report(number),
            Event::Sum(number) => {
                let now = self.clock();
                self.boxes[number].collector.sum_up(now);
                self.schedule(SUM_US, Event::Sum(number));
            }
            Event::Arrival(place) => self.arrive(place),
            Event::First(number) => {
                let request = &self.requests[number];
                let entrance = &mut self.boxes[request.at];
                let rows = entrance.rows(&request.path);
                entrance.fleet.end_reading(&rows, request.load.prompt);
            }
            Event::End(number) => {
                let request = &self.requests[number];
                let entrance = &mut self.boxes[request.at];
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
        self.schedule(pause as u64, Event::Request);
        let at = self.rng.random_range(0..self.boxes.len());
        let load = Load {
            prompt: self.rng.random_range(400.0..1200.0),
            answer: self.rng.random_range(100.0..300.0),
        };
        self.outcome.served += 1;
        for _ in 0..MOST_SENDS {
            let Some(times) = self.send(at, load) else {
                continue;
            };
            self.outcome.late += u32::from(times.first - self.now > OBJECTIVE_US);
            return;
        }
        self.outcome.late += 1;
    }

    fn send(&mut self, at: usize, load: Load) -> Option<engines::Times> {
        let need = Need {
            prompt: load.prompt,
            answer: load.answer,
            aim: AIM,
        };
        let draw = self.rng.random();
        let now = self.clock();
        let path = self.boxes[at].choose(&self.model, need, draw, now)?;
        self.outcome.sends += 1;
        let begun = engines::begin(&mut self.engines, &path, load, &self.model, self.now);
        let entrance = &mut self.boxes[at];
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
        entrance.fleet.begin_reading(&rows, load.prompt);
        let number = self.requests.len();
        self.requests.push(Request { at, path, load });
        self.schedule(times.first - self.now, Event::First(number));
        self.schedule(times.end - self.now, Event::End(number));
        Some(times)
    }

    /// A box reports to the collector of its failure domain, or to itself; a collector tells the others.
    fn report(&mut self, number: usize) {
        self.schedule(REPORT_US, Event::Report(number));
        let now = self.clock();
        let entrance = &mut self.boxes[number];
        entrance.number += 1;
        let report = loads::own_report(entrance.run, entrance.number, &entrance.fleet, now);
        entrance
            .remote_loads
            .remove_expired(&mut entrance.fleet, now);
        let collector = number % DOMAINS;
        if collector != number {
            for page in load::pages(&report) {
                self.post(number, collector, Message::Report(page));
            }
            return;
        }
        entrance.collector.hear(report, ip(number), now);
        entrance.collector.sum_up(now);
        let others = entrance.collector.all_but(entrance.run);
        entrance.remote_loads.hear(others, &mut entrance.fleet, now);
        let parts = entrance.collector.parts(entrance.run);
        for to in (0..self.boxes.len().min(DOMAINS)).filter(|to| *to != number) {
            for part in &parts {
                self.post(number, to, Message::Part(part.clone()));
            }
        }
    }

    /// Send a datagram, which may be lost.
    fn post(&mut self, from: usize, to: usize, message: Message) {
        let bytes = load::encode(&message).len();
        self.boxes[from].count(bytes);
        if self.rng.random_range(0..LOST_OF) == 0 {
            return;
        }
        self.boxes[to].count(bytes);
        let place = self.post.len();
        self.post.push(Some(Datagram { from, to, message }));
        self.schedule(DELAY_US, Event::Arrival(place));
    }

    fn arrive(&mut self, place: usize) {
        let now = self.clock();
        let Some(Datagram { from, to, message }) = self.post[place].take() else {
            return;
        };
        let entrance = &mut self.boxes[to];
        match message {
            Message::Report(page) => {
                let (run, number, is_first) = (page.run, page.number, page.index == 0);
                entrance.collector.hear_page(page, ip(from), now);
                if !is_first {
                    return;
                }
                for others in entrance.collector.answers(run, number) {
                    self.post(to, from, Message::Others(others));
                }
            }
            Message::Part(part) => {
                entrance.collector.hear_part(part, ip(from), now);
            }
            Message::Leave(run) => entrance.collector.leave(run),
            // No target ends under a request here, none states a limit, and callers have no accounts.
            Message::Suspects(_)
            | Message::Limits(_)
            | Message::PermitRequest(_)
            | Message::Grants(_)
            | Message::DemandPart(_)
            | Message::AccountRates(_)
            | Message::AccountShares(_) => {}
            Message::Others(others) => {
                entrance.remote_loads.hear(others, &mut entrance.fleet, now);
            }
        }
    }

    fn begin_to_count(&mut self) {
        self.outcome = Outcome::default();
        for engine in &mut self.engines {
            engine.begun = 0;
        }
        for entrance in &mut self.boxes {
            entrance.messages = 0;
            entrance.bytes = 0;
        }
    }

    fn ended(self) -> Outcome {
        let (collectors, plain) = self.boxes.split_at(self.boxes.len().min(DOMAINS));
        let messages = |boxes: &[SimBox]| boxes.iter().map(|each| each.messages).sum();
        Outcome {
            begun: self.engines.iter().map(|engine| engine.begun).collect(),
            seconds: f64::from(self.options.seconds),
            boxes: self.boxes.len(),
            plain: (messages(plain), plain.iter().map(|each| each.bytes).sum()),
            collected: messages(collectors),
            ..self.outcome
        }
    }
}
