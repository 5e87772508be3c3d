//! Boxes of a simulation, and the datagrams by which they tell each other their loads.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use reachtally_core::Instant;
use reachtally_core::forward::fleet::{EngineKey, Entry, EntrySource, Fleet};
use reachtally_core::forward::loads::{self, Collector, Message, RemoteLoads};
use reachtally_core::forward::path::Path;
use reachtally_core::ids::Incarnation;
use reachtally_protocol::load;

use crate::timeline::Timeline;

/// Time between two reports of a box, in µs, as the relay has it.
pub const REPORT_US: u64 = 200_000;
/// Time between two sums of a collector, in µs, as the relay has it.
const SUM_US: u64 = 50_000;
/// Time of a datagram on its way, in µs.
pub const DELAY_US: u64 = 2_000;

/// One box: the shipped tables, told only by messages.
pub struct SimBox {
    /// Its run.
    pub run: Incarnation,
    /// Its failure domain.
    pub domain: String,
    /// What it knows of the engines.
    pub fleet: Fleet,
    /// Their rows, by number.
    pub keys: Vec<EngineKey>,
    /// What it was told of the others' requests.
    pub remote_loads: RemoteLoads,
    /// What is reported to it.
    pub collector: Collector,
    /// Numbers its reports.
    number: u64,
    /// Messages sent and received.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl SimBox {
    /// A box that knows the engines, and nothing of the others.
    pub fn new(number: usize, domain: String, entries: &[Entry]) -> Self {
        let mut fleet = Fleet::default();
        let upsert = |entry: &Entry| {
            fleet
                .upsert(entry.clone(), EntrySource::Written, Instant::ZERO)
                .0
        };
        let keys = entries.iter().map(upsert).collect();
        SimBox {
            run: Incarnation(number as u64 + 1),
            collector: Collector::new(&domain),
            domain,
            fleet,
            keys,
            remote_loads: RemoteLoads::default(),
            number: 0,
            messages: 0,
            bytes: 0,
        }
    }

    /// Counts a message.
    pub fn count(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    /// The engines of a path, by number.
    pub fn numbers(&self, path: &Path) -> Option<Vec<usize>> {
        let number = |key: &EngineKey| self.keys.iter().position(|known| known == key);
        path.engines().iter().map(number).collect()
    }

    /// The rows of engines by number.
    pub fn rows(&self, path: &[usize]) -> Vec<EngineKey> {
        path.iter().map(|number| self.keys[*number]).collect()
    }
}

/// What happens between boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tick {
    /// A box reports its loads.
    Report(usize),
    /// A collector sums up what it was told.
    Sum(usize),
    /// A datagram arrives, by its number.
    Arrival(u64),
}

struct Datagram {
    from: usize,
    to: usize,
    message: Message,
}

/// Boxes that exchange their loads. The first box of each failure domain is its collector; box `n` is in failure domain
/// `n % domains`.
pub struct Exchange {
    /// The boxes, by number.
    pub boxes: Vec<SimBox>,
    domains: usize,
    /// Of this many datagrams one is lost.
    lost_of: u32,
    /// A failure domain that is cut off from the others.
    pub cut_off: Option<usize>,
    in_flight: HashMap<u64, Datagram>,
    sent: u64,
}

fn ip(number: usize) -> IpAddr {
    Ipv4Addr::from(number as u32).into()
}

impl Exchange {
    /// Boxes that have told each other nothing yet.
    pub fn new(boxes: Vec<SimBox>, domains: usize, lost_of: u32) -> Self {
        Exchange {
            boxes,
            domains,
            lost_of,
            cut_off: None,
            in_flight: HashMap::new(),
            sent: 0,
        }
    }

    /// Number of collectors.
    pub fn collectors(&self) -> usize {
        self.domains.min(self.boxes.len())
    }

    /// Schedules the first report of each box, and the first sum of each collector.
    pub fn start<E: Ord + From<Tick>>(&self, rng: &mut ChaCha8Rng, timeline: &mut Timeline<E>) {
        for number in 0..self.boxes.len() {
            let phase = rng.random_range(0..REPORT_US);
            timeline.schedule(phase, Tick::Report(number).into());
        }
        for collector in 0..self.collectors() {
            let phase = rng.random_range(0..SUM_US);
            timeline.schedule(phase, Tick::Sum(collector).into());
        }
    }

    /// Handles what happens now. Returns the box that knows other loads since.
    pub fn handle<E: Ord + From<Tick>>(
        &mut self,
        tick: Tick,
        rng: &mut ChaCha8Rng,
        timeline: &mut Timeline<E>,
    ) -> Option<usize> {
        match tick {
            Tick::Report(number) => {
                timeline.schedule(REPORT_US, tick.into());
                self.report(number, rng, timeline);
                Some(number)
            }
            Tick::Sum(number) => {
                timeline.schedule(SUM_US, tick.into());
                self.boxes[number].collector.update_totals(timeline.clock());
                None
            }
            Tick::Arrival(number) => self.arrive(number, rng, timeline),
        }
    }

    /// A box reports to the collector of its failure domain, or to itself; a collector tells the others.
    fn report<E: Ord + From<Tick>>(
        &mut self,
        number: usize,
        rng: &mut ChaCha8Rng,
        timeline: &mut Timeline<E>,
    ) {
        let now = timeline.clock();
        let entrance = &mut self.boxes[number];
        entrance.number += 1;
        let report = loads::own_report(entrance.run, entrance.number, &entrance.fleet, now);
        entrance
            .remote_loads
            .remove_expired(&mut entrance.fleet, now);
        let collector = number % self.domains;
        if collector != number {
            for page in load::pages(&report) {
                self.send(number, collector, Message::Report(page), rng, timeline);
            }
            return;
        }
        entrance.collector.receive(report, ip(number), now);
        entrance.collector.update_totals(now);
        let others = entrance.collector.all_except(entrance.run);
        entrance
            .remote_loads
            .receive(others, &mut entrance.fleet, now);
        let parts = entrance.collector.parts(entrance.run);
        for to in (0..self.collectors()).filter(|to| *to != number) {
            for part in &parts {
                self.send(number, to, Message::Part(part.clone()), rng, timeline);
            }
        }
    }

    /// Counts a datagram of `bytes` and draws whether it arrives.
    pub fn passes(&mut self, from: usize, to: usize, bytes: usize, rng: &mut ChaCha8Rng) -> bool {
        self.boxes[from].count(bytes);
        let (home, other) = (from % self.domains, to % self.domains);
        let is_cut = |cut| home != other && (home == cut || other == cut);
        if rng.random_range(0..self.lost_of) == 0 || self.cut_off.is_some_and(is_cut) {
            return false;
        }
        self.boxes[to].count(bytes);
        true
    }

    fn send<E: Ord + From<Tick>>(
        &mut self,
        from: usize,
        to: usize,
        message: Message,
        rng: &mut ChaCha8Rng,
        timeline: &mut Timeline<E>,
    ) {
        let bytes = load::encode(&message).len();
        if !self.passes(from, to, bytes, rng) {
            return;
        }
        self.sent += 1;
        let datagram = Datagram { from, to, message };
        self.in_flight.insert(self.sent, datagram);
        timeline.schedule(DELAY_US, Tick::Arrival(self.sent).into());
    }

    fn arrive<E: Ord + From<Tick>>(
        &mut self,
        number: u64,
        rng: &mut ChaCha8Rng,
        timeline: &mut Timeline<E>,
    ) -> Option<usize> {
        let now = timeline.clock();
        let Datagram { from, to, message } = self.in_flight.remove(&number)?;
        let entrance = &mut self.boxes[to];
        match message {
            Message::Report(page) => {
                let (run, number, is_first) = (page.run, page.number, page.index == 0);
                entrance.collector.receive_page(page, ip(from), now);
                if !is_first {
                    return None;
                }
                for others in entrance.collector.answers(run, number) {
                    self.send(to, from, Message::Others(others), rng, timeline);
                }
                None
            }
            Message::Part(part) => {
                entrance.collector.receive_part(part, ip(from), now);
                None
            }
            Message::Others(others) => {
                entrance
                    .remote_loads
                    .receive(others, &mut entrance.fleet, now);
                Some(to)
            }
            // Boxes of a simulation send loads only.
            _ => None,
        }
    }
}
