//! One play: callers, boxes and engines.

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

use super::engines::{self, DOMAINS, Engines, Job, Sent};
use super::scenario::{ACCOUNTS, MIX, OBJECTIVES_US, RANKS, Scenario};
use super::seen::{Counts, Seen};
use super::ways::{Case, Controller, Entrance, Way};
use crate::boxes::{Exchange, SimBox, Tick};
use crate::choice::engines::{Load, SERVICE, Times, domain};
use crate::timeline::Timeline;

/// When requests stop to count, and when the play ends, in s: those that came before are answered by then.
const COUNTS_TO: f64 = 14.0;
const END: f64 = 16.0;
/// Of this many datagrams one is lost.
const LOST_OF: u32 = 50;
/// Sends of a request, refused ones included, as the relay has it.
const MOST_SENDS: u32 = 5;
/// Time after which a caller leaves that has no first event, in µs.
const PATIENCE_US: u64 = 4_000_000;
/// `Retry-After` where nothing is known, in µs.
const RETRY_US: u64 = 1_000_000;
/// Second sends allowed in a window beside those for each request, for all boxes together.
const BUDGET_SLACK: f64 = 100.0;
/// The window.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Aim for the time between two events, in ms.
const GAP_MS: f64 = 200.0;
/// Part of the room that is kept for more urgent ranks at most; a path with more than that free has room for all.
const MAX_RESERVED: f64 = 0.3;
/// Time between two samples of the use of engines, in µs.
const SAMPLE_US: u64 = 100_000;
/// Boxes and time after the start as the relay has them.
const BOXES_ASSUMED: u32 = 64;
const SETTLED_US: u64 = 4_000_000;

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// What callers want.
    pub scenario: Scenario,
    /// How requests are admitted.
    pub way: Way,
    /// Number of boxes.
    pub boxes: usize,
    /// Chains of engines in each failure domain.
    pub chains: usize,
    /// Requests a second that demand is in parts of.
    pub capacity: f64,
    /// Which requests of an account are within its share.
    pub shares: Shares,
    /// Second sends that the shared budget allows for each request.
    pub second_sends: f64,
    /// Seed of all draws.
    pub seed: u64,
}

/// Which requests of an account are within its share of a contended service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shares {
    /// The same part of each rank.
    Even,
    /// The most urgent ones.
    UrgentFirst,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(Tick),
    /// A caller may come.
    Caller,
    /// A refused request returns.
    Return(usize),
    /// A request that waits in its box looks for room.
    Look {
        request: usize,
        tries: u32,
    },
    /// A caller whose request waits at an engine leaves.
    Leave {
        request: usize,
        sends: u32,
    },
    First(usize),
    End(usize),
    Sample,
    /// Rates reach the collector of a box, or of another failure domain.
    Rates {
        from: usize,
        to: usize,
    },
    /// Probabilities reach a box.
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
    at: usize,
    account: usize,
    /// When it came first, and this time, in µs.
    arrived: u64,
    tried: u64,
    tries: u32,
    sends: u32,
    sent: u64,
    draw: u64,
    standing: Standing,
    is_done: bool,
    /// Its place in the queue of its box.
    place: Option<QueuePosition>,
    job: Job,
}

/// One play.
pub struct Play {
    setting: Setting,
    model: LayerModel,
    rng: ChaCha8Rng,
    timeline: Timeline<Event>,
    exchange: Exchange,
    entrances: Vec<Entrance>,
    controllers: Vec<Controller>,
    engines: Engines,
    accounts: Vec<f64>,
    /// Requests of each account in this second, and in the last.
    rates: ([f64; ACCOUNTS], [f64; ACCOUNTS]),
    /// Requests a second of an account that are within its share, while the service is contended.
    share: Option<f64>,
    /// Requests begun in this second.
    begun: u64,
    /// Whether some request waited or was refused in this second.
    is_contended: bool,
    requests: Vec<Request>,
    /// Sum of samples of the use of the engines' room, and their number.
    samples: (f64, u32),
    is_counting: bool,
    seen: Seen,
}

fn zipf() -> Vec<f64> {
    let sizes: Vec<f64> = (1..=ACCOUNTS).map(|number| 1.0 / number as f64).collect();
    let sum: f64 = sizes.iter().sum();
    sizes.iter().map(|size| size / sum).collect()
}

/// The number of the part of a whole, of which `parts` are fractions, into which `draw` falls.
fn drawn(parts: &[f64], draw: f64) -> usize {
    let mut left = draw;
    let is_in = |part: &f64| {
        left -= part;
        left < 0.0
    };
    parts.iter().position(is_in).unwrap_or(parts.len() - 1)
}

impl Play {
    /// A play that has not begun.
    pub fn new(setting: Setting) -> Self {
        let model = engines::model();
        let entries = engines::entries(setting.scenario.layout(), setting.chains);
        let boxes = (0..setting.boxes)
            .map(|number| SimBox::new(number, domain(number % DOMAINS), &entries))
            .collect();
        let engines = Engines::new(&model, &entries);
        let mut play = Play {
            setting,
            rng: ChaCha8Rng::seed_from_u64(setting.seed),
            timeline: Timeline::new(),
            exchange: Exchange::new(boxes, DOMAINS, LOST_OF),
            entrances: (0..setting.boxes).map(|_| Entrance::new()).collect(),
            controllers: vec![Controller::default(); DOMAINS],
            engines,
            model,
            accounts: zipf(),
            rates: Default::default(),
            share: None,
            begun: 0,
            is_contended: false,
            requests: Vec::new(),
            samples: (0.0, 0),
            is_counting: false,
            seen: Seen::default(),
        };
        play.exchange.start(&mut play.rng, &mut play.timeline);
        play.timeline.schedule(0, Event::Caller);
        play.timeline.schedule(0, Event::Sample);
        play
    }

    /// Plays it.
    pub fn run(mut self) -> Seen {
        let from = (self.setting.scenario.counts_from() * 1e6) as u64;
        while let Some(event) = self.timeline.next_before((END * 1e6) as u64) {
            if !self.is_counting && self.timeline.now_us() >= from {
                self.begin_to_count();
            }
            self.handle(event);
        }
        self.finish()
    }

    fn begin_to_count(&mut self) {
        self.is_counting = true;
        self.engines.begin_to_count();
        self.samples = (0.0, 0);
        self.seen = Seen {
            windows: std::mem::take(&mut self.seen.windows),
            ..Seen::default()
        };
        for each in &mut self.exchange.boxes {
            each.bytes = 0;
            each.messages = 0;
        }
    }

    fn finish(mut self) -> Seen {
        for number in 0..self.requests.len() {
            if !self.requests[number].is_done {
                self.note(number, |counts| counts.late += 1);
            }
        }
        let counted = COUNTS_TO - self.setting.scenario.counts_from();
        let seconds = END - self.setting.scenario.counts_from();
        let collectors = self.exchange.collectors();
        let (collecting, plain) = self.exchange.boxes.split_at(collectors);
        let traffic = |boxes: &[SimBox]| {
            let each = seconds * boxes.len().max(1) as f64;
            let sum = |of: fn(&SimBox) -> u64| boxes.iter().map(of).sum::<u64>() as f64 / each;
            (sum(|each| each.bytes), sum(|each| each.messages))
        };
        Seen {
            goodput: self.seen.all().in_time as f64 / counted / self.setting.capacity,
            room_used: self.samples.0 / f64::from(self.samples.1.max(1)),
            busiest: self.engines.busiest(),
            box_traffic: traffic(plain),
            collector_traffic: traffic(collecting),
            ..self.seen
        }
    }

    fn seconds(&self) -> f64 {
        self.timeline.now_us() as f64 / 1e6
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(tick) => {
                let told = self
                    .exchange
                    .handle(tick, &mut self.rng, &mut self.timeline);
                if let Tick::Report(at) = tick {
                    self.report_rates(at);
                }
                if let Some(at) = told {
                    self.wake(at);
                }
            }
            Event::Caller => self.caller(),
            Event::Return(number) => self.attempt(number),
            Event::Look { request, tries } => self.look(request, tries),
            Event::Leave { request, sends } => self.leave(request, sends),
            Event::First(number) => self.first(number),
            Event::End(number) => self.end(number),
            Event::Sample => self.sample(),
            Event::Rates { from, to } => self.hear_rates(from, to),
            Event::Probability { from, to } => self.hear_probability(from, to),
        }
    }

    /// A caller comes at most as often as the scenario ever demands; at other times some do not.
    fn caller(&mut self) {
        let scenario = self.setting.scenario;
        let rate = self.setting.capacity * scenario.most();
        let pause = -self.rng.random::<f64>().max(1e-9).ln() * 1e6 / rate;
        self.timeline.schedule(pause as u64, Event::Caller);
        let at = self.rng.random_range(0..self.setting.boxes);
        let rank = drawn(&MIX, self.rng.random());
        let account = drawn(&self.accounts, self.rng.random());
        let load = Load {
            prompt: self.rng.random_range(400.0..1200.0),
            answer: self.rng.random_range(100.0..300.0),
        };
        let wanted = scenario.demand(self.seconds(), at % DOMAINS, rank, account);
        let (draw, is_there) = (self.rng.random(), self.rng.random::<f64>());
        if is_there * scenario.most() >= wanted {
            return;
        }
        let now = self.timeline.now_us();
        self.requests.push(Request {
            at,
            account,
            arrived: now,
            tried: now,
            tries: 0,
            sends: 0,
            sent: now,
            draw,
            standing: Standing::Within,
            is_done: false,
            place: None,
            job: Job {
                number: self.requests.len(),
                path: Vec::new(),
                load,
                rank: rank as u8,
            },
        });
        self.rates.0[account] += 1.0;
        let number = self.requests.len() - 1;
        self.note(number, |counts| counts.offered += 1);
        self.attempt(number);
    }

    /// Changes the counts of a request, if it counts.
    fn note(&mut self, number: usize, change: impl Fn(&mut Counts)) {
        let request = &self.requests[number];
        let from = self.setting.scenario.counts_from();
        if (from..COUNTS_TO).contains(&(request.arrived as f64 / 1e6)) {
            change(&mut self.seen.counts[usize::from(request.job.rank)][request.account]);
        }
    }

    /// A request reaches its box, for the first time or again.
    fn attempt(&mut self, number: usize) {
        let now = self.timeline.now_us();
        let draw = self.rng.random::<f64>();
        let request = &mut self.requests[number];
        request.tried = now;
        request.tries += 1;
        request.sends = 0;
        let rate = self.rates.1[request.account];
        let rank = usize::from(request.job.rank);
        let before: f64 = MIX[..rank].iter().sum();
        let is_beyond = self.share.is_some_and(|share| match self.setting.shares {
            Shares::Even => draw * rate > share,
            Shares::UrgentFirst => draw * rate * MIX[rank] > share - rate * before,
        });
        request.standing = if is_beyond {
            Standing::Beyond
        } else {
            Standing::Within
        };
        let at = request.at;
        let position = self.class(number).position(RANKS);
        let (clock, bounds) = (self.timeline.clock(), self.budget());
        let entrance = &mut self.entrances[at];
        entrance.mix.count(position, RANKS + 1, clock);
        entrance.pacer.offered(clock);
        entrance.budget.first(clock, &bounds);
        entrance.offered[position] += 1.0;
        self.consider(number);
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
                gap_ms: Some(GAP_MS),
            },
        };
        let entrance = &self.exchange.boxes[request.at];
        let is_settled = self.timeline.now_us() >= SETTLED_US;
        let heard = entrance.remote_loads.reported_domains();
        let load_scale = match (is_settled, heard) {
            (true, _) => 1.0,
            (false, 0) => f64::from(BOXES_ASSUMED),
            (false, heard) => (DOMAINS as f64 / heard as f64).max(1.0),
        };
        let avoid = self.unreachable(request.at);
        let cx = SelectionContext {
            now: self.timeline.clock(),
            home: &entrance.domain,
            avoid: &avoid,
            held: self.entrances[request.at].held(),
            boxes: self.known_boxes(request.at),
            load_scale,
            draw: request.draw,
            limits: select::Limits::Enforced,
        };
        select::path(&entrance.fleet, SERVICE, &self.model, need, &cx)
    }

    /// Whether a box reaches the engines of a failure domain.
    fn reaches(&self, at: usize, domain: usize) -> bool {
        let home = at % DOMAINS;
        home == domain || (home != 0 && domain != 0) || self.exchange.cut_off.is_none()
    }

    /// Engines that a box does not reach.
    fn unreachable(&self, at: usize) -> Vec<EngineKey> {
        let keys = &self.exchange.boxes[at].keys;
        let each = keys.len() / DOMAINS;
        let domains = (0..DOMAINS).filter(|domain| !self.reaches(at, *domain));
        domains
            .flat_map(|domain| keys[domain * each..(domain + 1) * each].iter().copied())
            .collect()
    }

    /// The class that a request is judged as: callers return to the same box, not earlier than they were told.
    fn class(&self, number: usize) -> Class {
        let request = &self.requests[number];
        Class {
            rank: Rank(request.job.rank),
            standing: request.standing,
            is_resumed: false,
            is_retry: request.tries > 1,
        }
    }

    /// Decides on a request that is in its box; yields whether it has left it.
    fn consider(&mut self, number: usize) -> bool {
        let choice = self.choose(number);
        let class = self.class(number);
        let request = &self.requests[number];
        let booked = self.entrances[request.at]
            .booking
            .bound(self.timeline.clock());
        let offer = choice.as_ref().map(|choice| path_offer(choice, booked));
        let waited = Duration::from_micros(self.timeline.now_us() - request.tried);
        let case = Case {
            rank: usize::from(request.job.rank),
            now: self.timeline.clock(),
            waited,
            place: request.place,
            running: self.running(request.at),
            draw: (request.draw >> 11) as f64 / (1u64 << 53) as f64,
        };
        let at = request.at;
        let verdict = self.entrances[at].decide(self.setting.way, class, offer, &case);
        match (verdict, choice) {
            (Verdict::Admit, Some(choice)) => {
                self.leave_queue(number);
                let now = self.timeline.clock();
                self.entrances[at].mix.count_admitted(now);
                self.send(number, choice);
                true
            }
            (Verdict::Wait(drain), _) => self.wait(number, class, drain),
            // It has waited already: it stays until its time is over.
            (Verdict::Refuse(retry), _) if self.requests[number].place.is_some() => {
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

    /// Requests on the engines, as a box believes.
    fn running(&self, at: usize) -> Running {
        let mut running = Running {
            own: 0.0,
            all: 0.0,
            boxes: self.known_boxes(at),
        };
        let engines = self.exchange.boxes[at].fleet.iter().map(|row| row.1);
        for engine in engines.filter(|engine| engine.is_entry_point()) {
            let own = f64::from(engine.running);
            running.own += own;
            running.all += own + engine.remote_running;
        }
        running
    }

    /// Boxes that a box knows of, as the relay has it.
    fn known_boxes(&self, at: usize) -> u32 {
        let known = self.exchange.boxes[at].remote_loads.boxes(DOMAINS);
        let is_settled = self.timeline.now_us() >= SETTLED_US;
        let least = if is_settled { 1 } else { BOXES_ASSUMED };
        known.unwrap_or(least).max(least)
    }

    /// Bounds of second sends.
    fn budget(&self) -> BudgetBounds {
        BudgetBounds {
            ratio: self.setting.second_sends,
            slack: BUDGET_SLACK,
            window: BUDGET_WINDOW,
        }
    }

    /// Whether a request may be sent once more.
    fn may_send(&mut self, number: usize) -> bool {
        let (now, bounds) = (self.timeline.clock(), self.budget());
        let request = &self.requests[number];
        let boxes = self.setting.boxes as u32;
        let budget = &mut self.entrances[request.at].budget;
        request.sends < MOST_SENDS && budget.take(now, &bounds, boxes)
    }

    /// What to send a request to that was not taken.
    fn next_choice(&mut self, number: usize) -> Option<Choice> {
        if self.may_send(number) {
            self.choose(number)
        } else {
            None
        }
    }

    /// Sends an admitted request until engines take it.
    fn send(&mut self, number: usize, mut choice: Choice) {
        let now = self.timeline.now_us();
        loop {
            let request = &mut self.requests[number];
            let entrance = &mut self.exchange.boxes[request.at];
            let Some(path) = entrance.numbers(&choice.path) else {
                return;
            };
            request.job.path = path;
            request.sends += 1;
            request.sent = now;
            let rows = entrance.rows(&request.job.path);
            let sender = &mut self.entrances[request.at];
            sender.pacer.admitted();
            sender.booking.sent(self.timeline.clock());
            entrance.fleet.begin(&rows, request.job.load.held());
            entrance.fleet.begin_prefill(&rows, request.job.load.prompt);
            self.seen.sends += 1;
            let sent = self.engines.send(&self.requests[number].job, now);
            match sent {
                Sent::Begun(times) => return self.begun(number, times),
                Sent::Waits => {
                    let sends = self.requests[number].sends;
                    let event = Event::Leave {
                        request: number,
                        sends,
                    };
                    return self.timeline.schedule(PATIENCE_US, event);
                }
                Sent::Refused(full) => self.sent_refused(number, full),
            }
            let Some(next) = self.next_choice(number) else {
                return self.refuse(number, None);
            };
            choice = next;
        }
    }

    /// Takes a request off the loads of its box.
    fn take_off(&mut self, number: usize) {
        let request = &self.requests[number];
        let entrance = &mut self.exchange.boxes[request.at];
        let rows = entrance.rows(&request.job.path);
        entrance.fleet.end_prefill(&rows, request.job.load.prompt);
        entrance.fleet.end(&rows, request.job.load.held());
    }

    fn sent_refused(&mut self, number: usize, full: usize) {
        self.seen.sends_refused += 1;
        self.take_off(number);
        let now = self.timeline.clock();
        self.entrances[self.requests[number].at]
            .booking
            .refused(now);
        let entrance = &mut self.exchange.boxes[self.requests[number].at];
        if let Some(engine) = entrance.fleet.get_mut(entrance.keys[full]) {
            engine.health.refused(now);
        }
    }

    fn begun(&mut self, number: usize, times: Times) {
        let now = self.timeline.now_us();
        self.begun += 1;
        self.timeline
            .schedule(times.first - now, Event::First(number));
        self.timeline.schedule(times.end - now, Event::End(number));
    }

    /// A box refuses a request, which returns once. `drain` is the time until it may be admitted, if that is known.
    fn refuse(&mut self, number: usize, drain: Option<Duration>) {
        let now = self.timeline.clock();
        let at = self.requests[number].at;
        let least = self.engines.least_used(|domain| self.reaches(at, domain));
        self.is_contended = true;
        if self.is_counting {
            self.seen.refusals += 1;
            self.seen.refusals_free += u64::from(least < 1.0 - MAX_RESERVED);
        }
        if self.requests[number].tries >= 2 || self.setting.way == Way::Fits {
            self.requests[number].is_done = true;
            return self.note(number, |counts| counts.refused += 1);
        }
        let after = match (self.setting.way, drain) {
            (Way::Reserve, Some(drain)) => {
                let request = &self.requests[number];
                let waited = self.timeline.now_us() - request.tried;
                let left = Duration::from_micros(PATIENCE_US.saturating_sub(waited));
                let after = self.entrances[at].return_after(drain, left, request.draw, now);
                after.as_micros() as u64
            }
            _ => (RETRY_US as f64 * self.rng.random_range(0.5..1.5)) as u64,
        };
        self.timeline.schedule(after, Event::Return(number));
    }

    fn leave(&mut self, number: usize, sends: u32) {
        let request = &self.requests[number];
        if request.is_done
            || request.sends != sends
            || request.sent + PATIENCE_US > self.timeline.now_us()
        {
            return;
        }
        if self.engines.leave(&request.job) {
            self.take_off(number);
            self.requests[number].is_done = true;
            self.note(number, |counts| counts.late += 1);
        }
    }

    fn first(&mut self, number: usize) {
        let now = self.timeline.now_us();
        let clock = self.timeline.clock();
        let pace = self.engines.pace;
        let request = &mut self.requests[number];
        request.is_done = true;
        let objective = OBJECTIVES_US[usize::from(request.job.rank)];
        let is_in_time = now - request.tried <= objective;
        let entrance = &mut self.exchange.boxes[request.at];
        let rows = entrance.rows(&request.job.path);
        entrance.fleet.end_prefill(&rows, request.job.load.prompt);
        for key in rows {
            if let Some(engine) = entrance.fleet.get_mut(key) {
                engine.record_slowdown(pace, clock);
            }
        }
        match is_in_time {
            true => self.note(number, |counts| counts.in_time += 1),
            false => self.note(number, |counts| counts.late += 1),
        }
        if is_in_time {
            self.seen.note_in_time(now as f64 / 1e6);
        }
    }

    fn end(&mut self, number: usize) {
        let now = self.timeline.now_us();
        let request = &self.requests[number];
        let (at, sent) = (request.at, request.sent);
        self.engines.end(&request.job);
        let entrance = &mut self.exchange.boxes[at];
        let rows = entrance.rows(&request.job.path);
        entrance.fleet.end(&rows, request.job.load.held());
        self.entrances[at].pacer.ended(self.timeline.clock());
        self.entrances[at].note_held(now - sent);
        for engine in self.requests[number].job.path.clone() {
            self.take_waiting(engine);
        }
        self.wake(at);
    }

    /// An engine takes from its queue what it has room for.
    fn take_waiting(&mut self, engine: usize) {
        let now = self.timeline.now_us();
        loop {
            let requests = &self.requests;
            let load_of = |number: usize| requests[number].job.load;
            let Some(number) = self.engines.next(engine, load_of) else {
                return;
            };
            match self.engines.take(&self.requests[number].job, now) {
                Sent::Begun(times) => self.begun(number, times),
                Sent::Refused(full) => {
                    self.sent_refused(number, full);
                    match self.next_choice(number) {
                        Some(choice) => self.send(number, choice),
                        None => self.refuse(number, None),
                    }
                }
                Sent::Waits => {}
            }
        }
    }

    /// Samples the use of the engines, and applies what changes with time.
    fn sample(&mut self) {
        self.timeline.schedule(SAMPLE_US, Event::Sample);
        let at = self.seconds();
        self.samples.0 += self.engines.used();
        self.samples.1 += 1;
        self.engines.pace = self.setting.scenario.pace(at);
        self.exchange.cut_off = self.setting.scenario.is_cut(at).then_some(0);
        if self.timeline.now_us().is_multiple_of(1_000_000) {
            self.share_out();
        }
    }
}
