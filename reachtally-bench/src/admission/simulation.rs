//! Discrete-event simulation of callers, boxes and engines.

mod collect;
mod queue;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reachtally_core::forward::admission::{
    Class, QueuePosition, Rank, Running, Standing, Verdict, path_offer,
};
use reachtally_core::forward::budget::BudgetBounds;
use reachtally_core::forward::cost::LayerModel;
use reachtally_core::forward::fleet::EngineKey;
use reachtally_core::forward::select::{
    self, Choice, LatencyObjectives, Requirements, SelectionContext,
};

use super::engines::{self, DOMAINS, Engines, Job, SendResult};
use super::results::{Counts, Results};
use super::scenario::{ACCOUNTS, MIX, OBJECTIVES_US, RANKS, Scenario};
use super::ways::{AdmissionState, Controller, DecisionInputs, Policy};
use crate::boxes::{Exchange, SimBox, Tick};
use crate::choice::engines::{Load, SERVICE, Times, domain};
use crate::timeline::Timeline;

/// End of the measurement and of the simulation, in s. Requests that arrive within the measurement are answered before the
/// simulation ends.
const MEASURED_TO_S: f64 = 14.0;
const END_S: f64 = 16.0;
/// One of this many datagrams is lost.
const LOSS_INTERVAL: u32 = 50;
/// Maximum number of sends of a request, refused ones included; as in the relay.
const MAX_SENDS: u32 = 5;
/// Time after which a caller without a first event gives up, in µs.
const PATIENCE_US: u64 = 4_000_000;
/// Mean `Retry-After` of refusals without a known wait, in µs.
const DEFAULT_RETRY_US: u64 = 1_000_000;
/// Repeated sends that all boxes together may make in a window beside those earned per request.
const RETRY_BUDGET_SLACK: f64 = 100.0;
/// Window of the retry budget.
const RETRY_BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Latency objective for the gap between two events, in ms.
const GAP_OBJECTIVE_MS: f64 = 200.0;
/// Largest fraction of the capacity that is reserved for more urgent ranks; a path with more than that free has capacity for
/// every rank.
const MAX_RESERVED: f64 = 0.3;
/// Sampling interval of the engines' utilization, in µs.
const SAMPLE_INTERVAL_US: u64 = 100_000;
/// Number of boxes assumed while starting, and the duration of that phase in µs; as in the relay.
const STARTING_BOXES: u32 = 64;
const STARTING_US: u64 = 4_000_000;

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Parameters {
    /// Demand and faults.
    pub scenario: Scenario,
    /// Admission policy.
    pub policy: Policy,
    /// Number of boxes.
    pub boxes: usize,
    /// Engine chains per failure domain.
    pub chains: usize,
    /// Capacity in requests per second, the unit of demand.
    pub capacity: f64,
    /// How an account's share is split over ranks.
    pub shares: ShareSplit,
    /// Repeated sends that the shared budget allows per request.
    pub second_sends: f64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Which requests of an account count as within its share of a contended service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareSplit {
    /// The same fraction of each rank.
    Even,
    /// The most urgent ones first.
    UrgentFirst,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(Tick),
    /// A candidate arrival, which the current demand may discard.
    Arrival,
    /// The caller of a refused request retries.
    Retry(usize),
    /// A queued request is evaluated again.
    Reevaluate {
        request: usize,
        tries: u32,
    },
    /// The caller of a request that waits at an engine gives up.
    GiveUp {
        request: usize,
        sends: u32,
    },
    First(usize),
    End(usize),
    Sample,
    /// Offered rates reach the collector of a box, or of another failure domain.
    Rates {
        from: usize,
        to: usize,
    },
    /// Admission probabilities reach a box.
    Probability {
        from: usize,
        to: usize,
    },
}

impl From<Tick> for Event {
    fn from(tick: Tick) -> Self {
        Event::Tick(tick)
    }
}

struct Request {
    box_index: usize,
    account: usize,
    /// Times of the first and of the current attempt, in µs.
    arrived: u64,
    tried: u64,
    tries: u32,
    sends: u32,
    sent: u64,
    draw: u64,
    standing: Standing,
    is_done: bool,
    /// Position in the queue of its box while it waits.
    queue_position: Option<QueuePosition>,
    job: Job,
}

/// A simulation.
pub struct Simulation {
    parameters: Parameters,
    model: LayerModel,
    rng: ChaCha8Rng,
    timeline: Timeline<Event>,
    exchange: Exchange,
    admission_states: Vec<AdmissionState>,
    controllers: Vec<Controller>,
    engines: Engines,
    accounts: Vec<f64>,
    /// Requests of each account in the current second and in the last one.
    rates: ([f64; ACCOUNTS], [f64; ACCOUNTS]),
    /// Requests per second that are within an account's share, while the service is contended.
    share: Option<f64>,
    /// Requests that started on engines in the current second.
    started: u64,
    /// Whether a request was queued or refused in the current second.
    is_contended: bool,
    requests: Vec<Request>,
    /// Sum and count of the utilization samples.
    utilization_samples: (f64, u32),
    is_measuring: bool,
    results: Results,
}

fn account_weights() -> Vec<f64> {
    let sizes: Vec<f64> = (1..=ACCOUNTS).map(|number| 1.0 / number as f64).collect();
    let sum: f64 = sizes.iter().sum();
    sizes.iter().map(|size| size / sum).collect()
}

/// Samples an index from the discrete distribution `weights`, by a uniform `draw` from 0 to 1.
fn sample_index(weights: &[f64], draw: f64) -> usize {
    let mut left = draw;
    let is_in = |weight: &f64| {
        left -= weight;
        left < 0.0
    };
    weights.iter().position(is_in).unwrap_or(weights.len() - 1)
}

impl Simulation {
    /// Creates a simulation at time 0.
    pub fn new(parameters: Parameters) -> Self {
        let model = engines::model();
        let entries = engines::entries(parameters.scenario.layout(), parameters.chains);
        let boxes = (0..parameters.boxes)
            .map(|number| SimBox::new(number, domain(number % DOMAINS), &entries))
            .collect();
        let engines = Engines::new(&model, &entries);
        let mut simulation = Simulation {
            parameters,
            rng: ChaCha8Rng::seed_from_u64(parameters.seed),
            timeline: Timeline::new(),
            exchange: Exchange::new(boxes, DOMAINS, LOSS_INTERVAL),
            admission_states: (0..parameters.boxes)
                .map(|_| AdmissionState::new())
                .collect(),
            controllers: vec![Controller::default(); DOMAINS],
            engines,
            model,
            accounts: account_weights(),
            rates: Default::default(),
            share: None,
            started: 0,
            is_contended: false,
            requests: Vec::new(),
            utilization_samples: (0.0, 0),
            is_measuring: false,
            results: Results::default(),
        };
        simulation
            .exchange
            .start(&mut simulation.rng, &mut simulation.timeline);
        simulation.timeline.schedule(0, Event::Arrival);
        simulation.timeline.schedule(0, Event::Sample);
        simulation
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Results {
        let from = (self.parameters.scenario.measured_from() * 1e6) as u64;
        while let Some(event) = self.timeline.next_before((END_S * 1e6) as u64) {
            if !self.is_measuring && self.timeline.now_us() >= from {
                self.start_measurement();
            }
            self.handle(event);
        }
        self.finish()
    }

    fn start_measurement(&mut self) {
        self.is_measuring = true;
        self.engines.start_measurement();
        self.utilization_samples = (0.0, 0);
        self.results = Results {
            windows: std::mem::take(&mut self.results.windows),
            ..Results::default()
        };
        for sim_box in &mut self.exchange.boxes {
            sim_box.bytes = 0;
            sim_box.messages = 0;
        }
    }

    fn finish(mut self) -> Results {
        for number in 0..self.requests.len() {
            if !self.requests[number].is_done {
                self.record(number, |counts| counts.late += 1);
            }
        }
        let measured_s = MEASURED_TO_S - self.parameters.scenario.measured_from();
        let seconds = END_S - self.parameters.scenario.measured_from();
        let collectors = self.exchange.collectors();
        let (collecting, plain) = self.exchange.boxes.split_at(collectors);
        let traffic = |boxes: &[SimBox]| {
            let box_seconds = seconds * boxes.len().max(1) as f64;
            let sum =
                |of: fn(&SimBox) -> u64| boxes.iter().map(of).sum::<u64>() as f64 / box_seconds;
            (
                sum(|sim_box| sim_box.bytes),
                sum(|sim_box| sim_box.messages),
            )
        };
        Results {
            goodput: self.results.all().in_time as f64 / measured_s / self.parameters.capacity,
            mean_utilization: self.utilization_samples.0
                / f64::from(self.utilization_samples.1.max(1)),
            max_load_ratio: self.engines.max_load_ratio(),
            box_traffic: traffic(plain),
            collector_traffic: traffic(collecting),
            ..self.results
        }
    }

    fn seconds(&self) -> f64 {
        self.timeline.now_us() as f64 / 1e6
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(tick) => {
                let notified = self
                    .exchange
                    .handle(tick, &mut self.rng, &mut self.timeline);
                if let Tick::Report(box_index) = tick {
                    self.report_rates(box_index);
                }
                if let Some(box_index) = notified {
                    self.evaluate_queue(box_index);
                }
            }
            Event::Arrival => self.generate_arrival(),
            Event::Retry(number) => self.handle_attempt(number),
            Event::Reevaluate { request, tries } => self.handle_reevaluation(request, tries),
            Event::GiveUp { request, sends } => self.handle_give_up(request, sends),
            Event::First(number) => self.handle_first_event(number),
            Event::End(number) => self.handle_end(number),
            Event::Sample => self.sample(),
            Event::Rates { from, to } => self.receive_rates(from, to),
            Event::Probability { from, to } => self.receive_probability(from, to),
        }
    }

    /// Generates arrivals as a Poisson process at the scenario's peak rate, thinned to its current demand.
    fn generate_arrival(&mut self) {
        let scenario = self.parameters.scenario;
        let rate = self.parameters.capacity * scenario.max_demand();
        let pause = -self.rng.random::<f64>().max(1e-9).ln() * 1e6 / rate;
        self.timeline.schedule(pause as u64, Event::Arrival);
        let box_index = self.rng.random_range(0..self.parameters.boxes);
        let rank = sample_index(&MIX, self.rng.random());
        let account = sample_index(&self.accounts, self.rng.random());
        let load = Load {
            prompt: self.rng.random_range(400.0..1200.0),
            answer: self.rng.random_range(100.0..300.0),
        };
        let demand = scenario.demand(self.seconds(), box_index % DOMAINS, rank, account);
        let (draw, acceptance) = (self.rng.random(), self.rng.random::<f64>());
        if acceptance * scenario.max_demand() >= demand {
            return;
        }
        let now = self.timeline.now_us();
        self.requests.push(Request {
            box_index,
            account,
            arrived: now,
            tried: now,
            tries: 0,
            sends: 0,
            sent: now,
            draw,
            standing: Standing::Within,
            is_done: false,
            queue_position: None,
            job: Job {
                number: self.requests.len(),
                path: Vec::new(),
                load,
                rank: rank as u8,
            },
        });
        self.rates.0[account] += 1.0;
        let number = self.requests.len() - 1;
        self.record(number, |counts| counts.offered += 1);
        self.handle_attempt(number);
    }

    /// Updates the counts of a request that arrived within the measurement.
    fn record(&mut self, number: usize, change: impl Fn(&mut Counts)) {
        let request = &self.requests[number];
        let from = self.parameters.scenario.measured_from();
        if (from..MEASURED_TO_S).contains(&(request.arrived as f64 / 1e6)) {
            change(&mut self.results.counts[usize::from(request.job.rank)][request.account]);
        }
    }

    /// Handles the arrival of a request at its box, for the first time or as a retry.
    fn handle_attempt(&mut self, number: usize) {
        let now = self.timeline.now_us();
        let draw = self.rng.random::<f64>();
        let request = &mut self.requests[number];
        request.tried = now;
        request.tries += 1;
        request.sends = 0;
        let rate = self.rates.1[request.account];
        let rank = usize::from(request.job.rank);
        let before: f64 = MIX[..rank].iter().sum();
        let is_beyond = self
            .share
            .is_some_and(|share| match self.parameters.shares {
                ShareSplit::Even => draw * rate > share,
                ShareSplit::UrgentFirst => draw * rate * MIX[rank] > share - rate * before,
            });
        request.standing = if is_beyond {
            Standing::Beyond
        } else {
            Standing::Within
        };
        let box_index = request.box_index;
        let position = self.class(number).position(RANKS);
        let (clock, bounds) = (self.timeline.clock(), self.budget());
        let entry_box = &mut self.admission_states[box_index];
        entry_box.mix.count(position, RANKS + 1, clock);
        entry_box.pacer.offered(clock);
        entry_box.budget.first(clock, &bounds);
        entry_box.offered[position] += 1.0;
        self.evaluate(number);
    }

    fn choose(&self, number: usize) -> Option<Choice> {
        let request = &self.requests[number];
        let load = request.job.load;
        let objective = OBJECTIVES_US[usize::from(request.job.rank)];
        let need = Requirements {
            prompt: load.prompt,
            answer: load.answer,
            objectives: LatencyObjectives {
                first_ms: Some(objective as f64 / 1000.0),
                gap_ms: Some(GAP_OBJECTIVE_MS),
            },
        };
        let entry_box = &self.exchange.boxes[request.box_index];
        let is_settled = self.timeline.now_us() >= STARTING_US;
        let heard = entry_box.remote_loads.reported_domains();
        let load_scale = match (is_settled, heard) {
            (true, _) => 1.0,
            (false, 0) => f64::from(STARTING_BOXES),
            (false, heard) => (DOMAINS as f64 / heard as f64).max(1.0),
        };
        let avoid = self.unreachable(request.box_index);
        let cx = SelectionContext {
            now: self.timeline.clock(),
            home: &entry_box.domain,
            avoid: &avoid,
            held: self.admission_states[request.box_index].mean_duration(),
            boxes: self.known_boxes(request.box_index),
            load_scale,
            draw: request.draw,
            limits: select::Limits::Enforced,
        };
        select::path(&entry_box.fleet, SERVICE, &self.model, need, &cx)
    }

    /// Whether a box can reach the engines of a failure domain.
    fn can_reach(&self, box_index: usize, domain: usize) -> bool {
        let home = box_index % DOMAINS;
        home == domain || (home != 0 && domain != 0) || self.exchange.partitioned.is_none()
    }

    /// Engines that a box cannot reach.
    fn unreachable(&self, box_index: usize) -> Vec<EngineKey> {
        let keys = &self.exchange.boxes[box_index].keys;
        let count = keys.len() / DOMAINS;
        let domains = (0..DOMAINS).filter(|domain| !self.can_reach(box_index, *domain));
        domains
            .flat_map(|domain| keys[domain * count..(domain + 1) * count].iter().copied())
            .collect()
    }

    /// The admission class of a request. Callers retry at the same box and honor `Retry-After`, so every later attempt counts as
    /// a retry.
    fn class(&self, number: usize) -> Class {
        let request = &self.requests[number];
        Class {
            rank: Rank(request.job.rank),
            standing: request.standing,
            is_resumed: false,
            is_retry: request.tries > 1,
        }
    }

    /// Evaluates admission for a request at its box. Returns whether the request left the box.
    fn evaluate(&mut self, number: usize) -> bool {
        let choice = self.choose(number);
        let class = self.class(number);
        let request = &self.requests[number];
        let booked = self.admission_states[request.box_index]
            .booking
            .bound(self.timeline.clock());
        let offer = choice.as_ref().map(|choice| path_offer(choice, booked));
        let waited = Duration::from_micros(self.timeline.now_us() - request.tried);
        let inputs = DecisionInputs {
            rank: usize::from(request.job.rank),
            now: self.timeline.clock(),
            waited,
            queue_position: request.queue_position,
            running: self.running(request.box_index),
            draw: (request.draw >> 11) as f64 / (1u64 << 53) as f64,
        };
        let box_index = request.box_index;
        let verdict =
            self.admission_states[box_index].decide(self.parameters.policy, class, offer, &inputs);
        match (verdict, choice) {
            (Verdict::Admit, Some(choice)) => {
                self.leave_queue(number);
                let now = self.timeline.clock();
                self.admission_states[box_index].mix.count_admitted(now);
                self.send(number, choice);
                true
            }
            (Verdict::Wait(drain), _) => self.wait(number, class, drain),
            // A queued request stays until its wait expires, even if it would be refused now.
            (Verdict::Refuse(retry), _) if self.requests[number].queue_position.is_some() => {
                self.wait(number, class, retry.after)
            }
            (Verdict::Refuse(retry), _) => {
                self.leave_queue(number);
                self.refuse(number, Some(retry.after));
                true
            }
            (Verdict::Admit, None) => {
                self.refuse(number, None);
                true
            }
        }
    }

    /// Requests on the engines, as known to a box.
    fn running(&self, box_index: usize) -> Running {
        let mut running = Running {
            own: 0.0,
            all: 0.0,
            boxes: self.known_boxes(box_index),
        };
        let engines = self.exchange.boxes[box_index].fleet.iter().map(|row| row.1);
        for engine in engines.filter(|engine| engine.is_entry_point()) {
            let own = f64::from(engine.running);
            running.own += own;
            running.all += own + engine.remote_running;
        }
        running
    }

    /// Number of boxes known to a box; as in the relay.
    fn known_boxes(&self, box_index: usize) -> u32 {
        let known = self.exchange.boxes[box_index].remote_loads.boxes(DOMAINS);
        let is_settled = self.timeline.now_us() >= STARTING_US;
        let least = if is_settled { 1 } else { STARTING_BOXES };
        known.unwrap_or(least).max(least)
    }

    /// Bounds of the budget of repeated sends.
    fn budget(&self) -> BudgetBounds {
        BudgetBounds {
            ratio: self.parameters.second_sends,
            slack: RETRY_BUDGET_SLACK,
            window: RETRY_BUDGET_WINDOW,
        }
    }

    /// Whether a request may be sent again; takes that from the budget.
    fn take_send(&mut self, number: usize) -> bool {
        let (now, bounds) = (self.timeline.clock(), self.budget());
        let request = &self.requests[number];
        let boxes = self.parameters.boxes as u32;
        let budget = &mut self.admission_states[request.box_index].budget;
        request.sends < MAX_SENDS && budget.take(now, &bounds, boxes)
    }

    /// Selects a path for a request that engines refused, if the budget allows another send.
    fn next_choice(&mut self, number: usize) -> Option<Choice> {
        if self.take_send(number) {
            self.choose(number)
        } else {
            None
        }
    }

    /// Sends an admitted request until engines accept it or no sends are left.
    fn send(&mut self, number: usize, mut choice: Choice) {
        let now = self.timeline.now_us();
        loop {
            let request = &mut self.requests[number];
            let entry_box = &mut self.exchange.boxes[request.box_index];
            let Some(path) = entry_box.engine_numbers(&choice.path) else {
                return;
            };
            request.job.path = path;
            request.sends += 1;
            request.sent = now;
            let rows = entry_box.engine_keys(&request.job.path);
            let admission = &mut self.admission_states[request.box_index];
            admission.pacer.admitted();
            admission.booking.sent(self.timeline.clock());
            entry_box.fleet.begin(&rows, request.job.load.held());
            entry_box
                .fleet
                .begin_prefill(&rows, request.job.load.prompt);
            self.results.sends += 1;
            let sent = self.engines.send(&self.requests[number].job, now);
            match sent {
                SendResult::Begun(times) => return self.handle_started(number, times),
                SendResult::Queued => {
                    let sends = self.requests[number].sends;
                    let event = Event::GiveUp {
                        request: number,
                        sends,
                    };
                    return self.timeline.schedule(PATIENCE_US, event);
                }
                SendResult::Refused(full) => self.handle_send_refused(number, full),
            }
            let Some(next) = self.next_choice(number) else {
                return self.refuse(number, None);
            };
            choice = next;
        }
    }

    /// Removes a request from the loads that its box accounts for.
    fn release_load(&mut self, number: usize) {
        let request = &self.requests[number];
        let entry_box = &mut self.exchange.boxes[request.box_index];
        let rows = entry_box.engine_keys(&request.job.path);
        entry_box.fleet.end_prefill(&rows, request.job.load.prompt);
        entry_box.fleet.end(&rows, request.job.load.held());
    }

    fn handle_send_refused(&mut self, number: usize, full: usize) {
        self.results.sends_refused += 1;
        self.release_load(number);
        let now = self.timeline.clock();
        self.admission_states[self.requests[number].box_index]
            .booking
            .refused(now);
        let entry_box = &mut self.exchange.boxes[self.requests[number].box_index];
        if let Some(engine) = entry_box.fleet.get_mut(entry_box.keys[full]) {
            engine.health.refused(now);
        }
    }

    fn handle_started(&mut self, number: usize, times: Times) {
        let now = self.timeline.now_us();
        self.started += 1;
        self.timeline
            .schedule(times.first - now, Event::First(number));
        self.timeline.schedule(times.end - now, Event::End(number));
    }

    /// Refuses a request at its box; its caller retries once. `drain` is the expected time until it can be admitted, if known.
    fn refuse(&mut self, number: usize, drain: Option<Duration>) {
        let now = self.timeline.clock();
        let box_index = self.requests[number].box_index;
        let least = self
            .engines
            .min_path_utilization(|domain| self.can_reach(box_index, domain));
        self.is_contended = true;
        if self.is_measuring {
            self.results.refusals += 1;
            self.results.refusals_while_free += u64::from(least < 1.0 - MAX_RESERVED);
        }
        if self.requests[number].tries >= 2 || self.parameters.policy == Policy::Fits {
            self.requests[number].is_done = true;
            return self.record(number, |counts| counts.refused += 1);
        }
        let after = match (self.parameters.policy, drain) {
            (Policy::Reserve, Some(drain)) => {
                let request = &self.requests[number];
                let waited = self.timeline.now_us() - request.tried;
                let left = Duration::from_micros(PATIENCE_US.saturating_sub(waited));
                let after =
                    self.admission_states[box_index].retry_after(drain, left, request.draw, now);
                after.as_micros() as u64
            }
            _ => (DEFAULT_RETRY_US as f64 * self.rng.random_range(0.5..1.5)) as u64,
        };
        self.timeline.schedule(after, Event::Retry(number));
    }

    fn handle_give_up(&mut self, number: usize, sends: u32) {
        let request = &self.requests[number];
        if request.is_done
            || request.sends != sends
            || request.sent + PATIENCE_US > self.timeline.now_us()
        {
            return;
        }
        if self.engines.leave(&request.job) {
            self.release_load(number);
            self.requests[number].is_done = true;
            self.record(number, |counts| counts.late += 1);
        }
    }

    fn handle_first_event(&mut self, number: usize) {
        let now = self.timeline.now_us();
        let clock = self.timeline.clock();
        let slowdown = self.engines.slowdown;
        let request = &mut self.requests[number];
        request.is_done = true;
        let objective = OBJECTIVES_US[usize::from(request.job.rank)];
        let is_in_time = now - request.tried <= objective;
        let entry_box = &mut self.exchange.boxes[request.box_index];
        let rows = entry_box.engine_keys(&request.job.path);
        entry_box.fleet.end_prefill(&rows, request.job.load.prompt);
        for key in rows {
            if let Some(engine) = entry_box.fleet.get_mut(key) {
                engine.record_slowdown(slowdown, clock);
            }
        }
        match is_in_time {
            true => self.record(number, |counts| counts.in_time += 1),
            false => self.record(number, |counts| counts.late += 1),
        }
        if is_in_time {
            self.results.record_in_time(now as f64 / 1e6);
        }
    }

    fn handle_end(&mut self, number: usize) {
        let now = self.timeline.now_us();
        let request = &self.requests[number];
        let (box_index, sent) = (request.box_index, request.sent);
        self.engines.end(&request.job);
        let entry_box = &mut self.exchange.boxes[box_index];
        let rows = entry_box.engine_keys(&request.job.path);
        entry_box.fleet.end(&rows, request.job.load.held());
        self.admission_states[box_index]
            .pacer
            .ended(self.timeline.clock());
        self.admission_states[box_index].record_duration(now - sent);
        for engine in self.requests[number].job.path.clone() {
            self.start_queued(engine);
        }
        self.evaluate_queue(box_index);
    }

    /// Starts queued requests of an engine while they fit its KV.
    fn start_queued(&mut self, engine: usize) {
        let now = self.timeline.now_us();
        loop {
            let requests = &self.requests;
            let load_of = |number: usize| requests[number].job.load;
            let Some(number) = self.engines.next(engine, load_of) else {
                return;
            };
            match self.engines.take(&self.requests[number].job, now) {
                SendResult::Begun(times) => self.handle_started(number, times),
                SendResult::Refused(full) => {
                    self.handle_send_refused(number, full);
                    match self.next_choice(number) {
                        Some(choice) => self.send(number, choice),
                        None => self.refuse(number, None),
                    }
                }
                SendResult::Queued => {}
            }
        }
    }

    /// Samples the engines' utilization, and applies the scenario's slowdown and partition.
    fn sample(&mut self) {
        self.timeline.schedule(SAMPLE_INTERVAL_US, Event::Sample);
        let time_s = self.seconds();
        self.utilization_samples.0 += self.engines.utilization();
        self.utilization_samples.1 += 1;
        self.engines.slowdown = self.parameters.scenario.slowdown(time_s);
        self.exchange.partitioned = self.parameters.scenario.is_partitioned(time_s).then_some(0);
        if self.timeline.now_us().is_multiple_of(1_000_000) {
            self.update_shares();
        }
    }
}
