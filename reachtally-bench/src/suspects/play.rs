//! Discrete-event simulation of one request that crashes every engine, of ordinary engine crashes, and of a request that many
//! callers repeat.

use std::collections::HashMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reachtally_core::forward::fingerprint::Fingerprint;
use reachtally_core::forward::loads::Message;
use reachtally_core::forward::quarantine::{
    AccountDigest, ChangeOrigin, CrashRecord, Quarantine, RunDigest, SuspectReport, Verdict, Weight,
};
use reachtally_protocol::load;

use crate::timeline::Timeline;

/// Number of failure domains; the first box of each is its collector.
const DOMAINS: usize = 5;
/// Duration of a simulation, in µs.
const DURATION_US: u64 = 30_000_000;
/// Report interval of a box, as in the relay, in µs.
const REPORT_INTERVAL_US: u64 = 200_000;
/// Delay of a datagram, in µs.
const DELAY_US: u64 = 1_000;
/// Interval between two attempts of the culprit's caller, in µs.
const ATTEMPT_INTERVAL_US: u64 = 700_000;
/// Longest time until an engine starts a request, in µs.
const MAX_WAIT_US: u64 = 300_000;
/// Time from the start of the culprit to the crash of its engine, in µs.
const CRASH_DELAY_US: u64 = 50_000;
/// Maximum number of sends of one attempt.
const MAX_SENDS: u32 = 2;
/// Interval between two ordinary crashes, in µs.
const ORDINARY_INTERVAL_US: u64 = 1_500_000;
/// Largest number of innocent requests that an engine has just started when it crashes.
const MAX_JUST_STARTED: u32 = 3;
/// One of this many ordinary crashes hits the shared request.
const SHARED_INTERVAL: u32 = 2;
/// Interval between two occurrences of the shared request, in µs. Each one completes unless it is refused.
const SHARED_INTERVAL_US: u64 = 40_000;
/// Time after the third crash within which all boxes have to quarantine the culprit, in µs.
const GRACE_US: u64 = 3_000_000;
/// Fraction of the innocent requests whose repeated send hits another engine that crashes.
const REPEAT_CRASH_FRACTION: f64 = 0.01;
/// Innocent requests counted for each one that had just started at a crash; only that one becomes a suspect.
const INNOCENTS_PER_CRASH: u64 = 90;

const CULPRIT: Fingerprint = Fingerprint([1; 16]);
const SHARED: Fingerprint = Fingerprint([2; 16]);
const ACCOUNT: AccountDigest = AccountDigest(1);

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Parameters {
    /// Number of boxes.
    pub boxes: usize,
    /// Fraction of the datagrams that are lost.
    pub loss: f64,
    /// Number of engines of a path.
    pub path: u32,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Measurements of one or several simulations.
#[derive(Debug, Clone, Default)]
pub struct Results {
    /// Number of simulations.
    pub plays: u64,
    /// Engines that the culprit crashed.
    pub engines_lost: u64,
    /// Largest number of engines that the culprit crashed in one simulation.
    pub max_engines_lost: u64,
    /// Sends of the culprit later than [`GRACE_US`] after the third crash.
    pub late_sends: u64,
    /// Time between the first and the last box that quarantined the culprit, in ms.
    pub propagation_ms: f64,
    /// Innocent requests.
    pub innocents: u64,
    /// Innocent requests that were refused.
    pub innocents_refused: u64,
    /// Largest traffic of a box that is not a collector, in bytes per second.
    pub box_bytes: f64,
    /// Largest traffic of a collector, in bytes per second.
    pub collector_bytes: f64,
}

impl Results {
    /// Merges the measurements of another simulation.
    pub fn add(&mut self, other: &Results) {
        self.plays += other.plays;
        self.engines_lost += other.engines_lost;
        self.max_engines_lost = self.max_engines_lost.max(other.engines_lost);
        self.late_sends += other.late_sends;
        self.propagation_ms += other.propagation_ms;
        self.innocents += other.innocents;
        self.innocents_refused += other.innocents_refused;
        self.box_bytes += other.box_bytes;
        self.collector_bytes += other.collector_bytes;
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A box reports its changed suspects.
    Report(usize),
    /// A datagram arrives, by its index in the list of datagrams.
    Arrival(usize),
    /// The culprit's caller sends it to a box.
    Attempt,
    /// The culprit crashes its engine, unless its box has quarantined it since.
    Crash { box_index: usize, sends: u32 },
    /// An engine crashes for a reason that is not a request.
    OrdinaryCrash,
    /// The shared request arrives at a box.
    Shared,
}

struct Datagram {
    from: usize,
    to: usize,
    reports: Vec<SuspectReport>,
}

/// A simulation.
pub struct Simulation {
    parameters: Parameters,
    rng: ChaCha8Rng,
    timeline: Timeline<Event>,
    datagrams: Vec<Option<Datagram>>,
    tables: Vec<Quarantine>,
    bytes: Vec<u64>,
    next_run: u32,
    next_innocent: u64,
    quarantined_us: HashMap<usize, u64>,
    third_crash_us: Option<u64>,
    results: Results,
}

impl Simulation {
    /// Creates a simulation at time 0.
    pub fn new(parameters: Parameters) -> Self {
        let mut simulation = Simulation {
            parameters,
            rng: ChaCha8Rng::seed_from_u64(parameters.seed),
            timeline: Timeline::new(),
            datagrams: Vec::new(),
            tables: (0..parameters.boxes)
                .map(|_| Quarantine::default())
                .collect(),
            bytes: vec![0; parameters.boxes],
            next_run: 0,
            next_innocent: 0,
            quarantined_us: HashMap::new(),
            third_crash_us: None,
            results: Results::default(),
        };
        for box_index in 0..parameters.boxes {
            let first = simulation.rng.random_range(0..REPORT_INTERVAL_US);
            simulation
                .timeline
                .schedule(first, Event::Report(box_index));
        }
        simulation
            .timeline
            .schedule(ATTEMPT_INTERVAL_US, Event::Attempt);
        simulation
            .timeline
            .schedule(ORDINARY_INTERVAL_US, Event::OrdinaryCrash);
        simulation
            .timeline
            .schedule(SHARED_INTERVAL_US, Event::Shared);
        simulation
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Results {
        while let Some(event) = self.timeline.next_before(DURATION_US) {
            self.handle(event);
        }
        self.finish()
    }

    fn finish(mut self) -> Results {
        let first = self
            .quarantined_us
            .values()
            .min()
            .copied()
            .unwrap_or_default();
        let last = self
            .quarantined_us
            .values()
            .max()
            .copied()
            .unwrap_or_default();
        let last = match self.quarantined_us.len() == self.parameters.boxes {
            true => last,
            false => DURATION_US,
        };
        let per_second = |bytes: u64| bytes as f64 / (DURATION_US as f64 / 1e6);
        let collectors = DOMAINS.min(self.parameters.boxes);
        let max = |bytes: &[u64]| bytes.iter().max().copied().unwrap_or_default();
        self.results.plays = 1;
        self.results.propagation_ms = (last - first) as f64 / 1e3;
        self.results.collector_bytes = per_second(max(&self.bytes[..collectors]));
        self.results.box_bytes = per_second(max(&self.bytes[collectors..]));
        self.results
    }

    fn random_box(&mut self) -> usize {
        self.rng.random_range(0..self.parameters.boxes)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Report(box_index) => {
                self.propagate(box_index, None);
                self.timeline
                    .schedule(REPORT_INTERVAL_US, Event::Report(box_index));
            }
            Event::Arrival(index) => self.arrive(index),
            Event::Attempt => {
                let box_index = self.random_box();
                self.send_culprit(box_index, 0);
                self.timeline.schedule(ATTEMPT_INTERVAL_US, Event::Attempt);
            }
            Event::Crash { box_index, sends } => self.crash(box_index, sends),
            Event::OrdinaryCrash => {
                self.crash_engine(SHARED_INTERVAL);
                self.timeline
                    .schedule(ORDINARY_INTERVAL_US, Event::OrdinaryCrash);
            }
            Event::Shared => {
                self.send_shared();
                self.timeline.schedule(SHARED_INTERVAL_US, Event::Shared);
            }
        }
    }

    fn is_quarantined(&self, box_index: usize, request: Fingerprint) -> bool {
        self.tables[box_index].verdict(request) == Verdict::Quarantined
    }

    /// Box `box_index` sends the culprit, unless it has quarantined it.
    fn send_culprit(&mut self, box_index: usize, sends: u32) {
        if sends >= MAX_SENDS || self.is_quarantined(box_index, CULPRIT) {
            return;
        }
        let is_late = |third: u64| self.timeline.now_us() > third + GRACE_US;
        self.results.late_sends += u64::from(self.third_crash_us.is_some_and(is_late));
        let wait = self.rng.random_range(0..MAX_WAIT_US);
        let sends = sends + 1;
        self.timeline
            .schedule(wait + CRASH_DELAY_US, Event::Crash { box_index, sends });
    }

    /// The engine of the culprit crashes, unless the box has quarantined the culprit since the send.
    fn crash(&mut self, box_index: usize, sends: u32) {
        if self.is_quarantined(box_index, CULPRIT) {
            return;
        }
        self.results.engines_lost += 1;
        if self.results.engines_lost == 3 {
            self.third_crash_us = Some(self.timeline.now_us());
        }
        let run = self.crash_engine(u32::MAX);
        let weight = self.draw_weight();
        self.record_crash_of(box_index, CULPRIT, run, weight);
        self.send_culprit(box_index, sends);
    }

    /// An engine crashes together with innocent requests that it had just started, and in one of `shared_of` crashes with the shared
    /// request.
    fn crash_engine(&mut self, shared_of: u32) -> RunDigest {
        self.next_run += 1;
        let run = RunDigest(self.next_run);
        for _ in 0..self
            .rng
            .random_range(0..=MAX_JUST_STARTED * self.parameters.path)
        {
            let box_index = self.random_box();
            self.results.innocents += INNOCENTS_PER_CRASH;
            self.next_innocent += 1;
            let mut bytes = [3; 16];
            bytes[..8].copy_from_slice(&self.next_innocent.to_be_bytes());
            let innocent = Fingerprint(bytes);
            let weight = self.draw_weight();
            self.record_crash_of(box_index, innocent, run, weight);
            let repeat_fraction = REPEAT_CRASH_FRACTION * f64::from(self.parameters.path);
            while !self.is_quarantined(box_index, innocent)
                && self.rng.random_bool(repeat_fraction.min(1.0))
            {
                self.next_run += 1;
                let weight = self.draw_weight();
                self.record_crash_of(box_index, innocent, RunDigest(self.next_run), weight);
            }
            self.results.innocents_refused += u64::from(self.is_quarantined(box_index, innocent));
        }
        if self.rng.random_range(0..shared_of) == 0 {
            let box_index = self.random_box();
            let weight = self.draw_weight();
            self.record_crash_of(box_index, SHARED, run, weight);
        }
        run
    }

    /// Draws which engine of a path crashes, and returns the weight of that.
    fn draw_weight(&mut self) -> Weight {
        match self.rng.random_range(0..self.parameters.path) {
            0 => Weight::Strong,
            _ => Weight::Moderate,
        }
    }

    fn send_shared(&mut self) {
        let (box_index, now) = (self.random_box(), self.timeline.clock());
        self.results.innocents += 1;
        if self.is_quarantined(box_index, SHARED) {
            self.results.innocents_refused += 1;
            return;
        }
        if self.tables[box_index].clear_suspicion(SHARED, now) {
            self.propagate(box_index, None);
        }
    }

    fn record_crash_of(
        &mut self,
        box_index: usize,
        request: Fingerprint,
        run: RunDigest,
        weight: Weight,
    ) {
        let now = self.timeline.clock();
        let end = CrashRecord {
            run,
            weight,
            is_acquitted: false,
        };
        if self.tables[box_index]
            .record_crash(request, ACCOUNT, end, now)
            .is_some()
        {
            self.propagate(box_index, None);
        }
        self.record_quarantine(box_index);
    }

    fn record_quarantine(&mut self, box_index: usize) {
        if self.is_quarantined(box_index, CULPRIT) {
            self.quarantined_us
                .entry(box_index)
                .or_insert(self.timeline.now_us());
        }
    }

    /// Sends changed suspects: a box to its collector, a collector to the boxes that report to it and to the other collectors, but not
    /// back to `from`.
    fn propagate(&mut self, box_index: usize, from: Option<usize>) {
        let now = self.timeline.clock();
        let collectors = DOMAINS.min(self.parameters.boxes);
        if box_index >= collectors {
            let reports = self.tables[box_index].changes(ChangeOrigin::Own, now);
            return self.send_reports(box_index, box_index % collectors, &reports);
        }
        let reports = self.tables[box_index].changes(ChangeOrigin::Any, now);
        let reporters = (box_index..self.parameters.boxes)
            .step_by(collectors)
            .skip(1);
        for to in reporters.chain(0..collectors) {
            if to != box_index && Some(to) != from {
                self.send_reports(box_index, to, &reports);
            }
        }
    }

    fn send_reports(&mut self, from: usize, to: usize, reports: &[SuspectReport]) {
        if reports.is_empty() {
            return;
        }
        let reports = reports.to_vec();
        let bytes = load::encode(&Message::Suspects(reports.clone())).len() as u64;
        self.bytes[from] += bytes;
        self.bytes[to] += bytes;
        if self.rng.random_bool(self.parameters.loss) {
            return;
        }
        let index = self.datagrams.len();
        self.datagrams.push(Some(Datagram { from, to, reports }));
        self.timeline.schedule(DELAY_US, Event::Arrival(index));
    }

    fn arrive(&mut self, index: usize) {
        let now = self.timeline.clock();
        let Some(Datagram { from, to, reports }) = self.datagrams[index].take() else {
            return;
        };
        let changed = reports
            .iter()
            .map(|report| self.tables[to].receive(report, now));
        let has_changed = changed.fold(false, |any, is_changed| any | is_changed);
        self.record_quarantine(to);
        if has_changed && to < DOMAINS {
            self.propagate(to, Some(from));
        }
    }
}
