//! Simulated boxes, and the datagrams in which they exchange their loads.

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

/// Report interval of a box, as in the relay, in µs.
pub const REPORT_INTERVAL_US: u64 = 200_000;
/// Interval between two updates of a collector's totals, as in the relay, in µs.
const TOTALS_INTERVAL_US: u64 = 50_000;
/// Delay of a datagram, in µs.
pub const DELAY_US: u64 = 2_000;

/// A simulated box: the production tables, updated by messages only.
pub struct SimBox {
    /// Incarnation of the box.
    pub run: Incarnation,
    /// Failure domain of the box.
    pub domain: String,
    /// Engine table.
    pub fleet: Fleet,
    /// Keys of the engines in `fleet`, by engine number.
    pub keys: Vec<EngineKey>,
    /// Loads of other boxes, as last received.
    pub remote_loads: RemoteLoads,
    /// Loads reported to this box, if it is a collector.
    pub collector: Collector,
    /// Number of its last report.
    number: u64,
    /// Number of messages sent and received.
    pub messages: u64,
    /// Bytes of these messages.
    pub bytes: u64,
}

impl SimBox {
    /// Creates a box that knows the engines, but no loads of other boxes.
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

    /// Counts a message sent or received.
    pub fn count(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    /// Returns the engine numbers of a path.
    pub fn engine_numbers(&self, path: &Path) -> Option<Vec<usize>> {
        let number = |key: &EngineKey| self.keys.iter().position(|known| known == key);
        path.engines().iter().map(number).collect()
    }

    /// Returns the engine keys of a path.
    pub fn engine_keys(&self, path: &[usize]) -> Vec<EngineKey> {
        path.iter().map(|number| self.keys[*number]).collect()
    }
}

/// An event of the load exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tick {
    /// A box reports its loads.
    Report(usize),
    /// A collector updates its totals.
    UpdateTotals(usize),
    /// A datagram arrives, by its number.
    Arrival(u64),
}

struct Datagram {
    from: usize,
    to: usize,
    message: Message,
}

/// Simulated boxes that exchange loads. The first box of each failure domain is its collector; box `n` is in failure domain
/// `n % domains`.
pub struct Exchange {
    /// Boxes by number.
    pub boxes: Vec<SimBox>,
    domains: usize,
    /// One of this many datagrams is lost.
    loss_interval: u32,
    /// The failure domain that is partitioned from the others, if any.
    pub partitioned: Option<usize>,
    in_flight: HashMap<u64, Datagram>,
    sent: u64,
}

fn ip(number: usize) -> IpAddr {
    Ipv4Addr::from(number as u32).into()
}

impl Exchange {
    /// Creates an exchange in which no box has reported yet.
    pub fn new(boxes: Vec<SimBox>, domains: usize, loss_interval: u32) -> Self {
        Exchange {
            boxes,
            domains,
            loss_interval,
            partitioned: None,
            in_flight: HashMap::new(),
            sent: 0,
        }
    }

    /// Number of collectors.
    pub fn collectors(&self) -> usize {
        self.domains.min(self.boxes.len())
    }

    /// Schedules the first report of each box and the first totals of each collector, each at a random phase.
    pub fn start<E: Ord + From<Tick>>(&self, rng: &mut ChaCha8Rng, timeline: &mut Timeline<E>) {
        for number in 0..self.boxes.len() {
            let phase = rng.random_range(0..REPORT_INTERVAL_US);
            timeline.schedule(phase, Tick::Report(number).into());
        }
        for collector in 0..self.collectors() {
            let phase = rng.random_range(0..TOTALS_INTERVAL_US);
            timeline.schedule(phase, Tick::UpdateTotals(collector).into());
        }
    }

    /// Handles an event. Returns the box whose knowledge of loads it changed, if any.
    pub fn handle<E: Ord + From<Tick>>(
        &mut self,
        tick: Tick,
        rng: &mut ChaCha8Rng,
        timeline: &mut Timeline<E>,
    ) -> Option<usize> {
        match tick {
            Tick::Report(number) => {
                timeline.schedule(REPORT_INTERVAL_US, tick.into());
                self.report(number, rng, timeline);
                Some(number)
            }
            Tick::UpdateTotals(number) => {
                timeline.schedule(TOTALS_INTERVAL_US, tick.into());
                self.boxes[number].collector.update_totals(timeline.clock());
                None
            }
            Tick::Arrival(number) => self.arrive(number, rng, timeline),
        }
    }

    /// Reports the loads of a box to the collector of its failure domain. A collector records its own loads and sends its part to the
    /// other collectors.
    fn report<E: Ord + From<Tick>>(
        &mut self,
        number: usize,
        rng: &mut ChaCha8Rng,
        timeline: &mut Timeline<E>,
    ) {
        let now = timeline.clock();
        let sim_box = &mut self.boxes[number];
        sim_box.number += 1;
        let report = loads::own_report(sim_box.run, sim_box.number, &sim_box.fleet, now);
        sim_box.remote_loads.remove_expired(&mut sim_box.fleet, now);
        let collector = number % self.domains;
        if collector != number {
            for page in load::pages(&report) {
                self.send(number, collector, Message::Report(page), rng, timeline);
            }
            return;
        }
        sim_box.collector.receive(report, ip(number), now);
        sim_box.collector.update_totals(now);
        let others = sim_box.collector.all_except(sim_box.run);
        sim_box
            .remote_loads
            .receive(others, &mut sim_box.fleet, now);
        let parts = sim_box.collector.parts(sim_box.run);
        for to in (0..self.collectors()).filter(|to| *to != number) {
            for part in &parts {
                self.send(number, to, Message::Part(part.clone()), rng, timeline);
            }
        }
    }

    /// Counts a datagram of `bytes` and decides whether it is delivered.
    pub fn is_delivered(
        &mut self,
        from: usize,
        to: usize,
        bytes: usize,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        self.boxes[from].count(bytes);
        let (home, other) = (from % self.domains, to % self.domains);
        let is_cut = |cut| home != other && (home == cut || other == cut);
        if rng.random_range(0..self.loss_interval) == 0 || self.partitioned.is_some_and(is_cut) {
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
        if !self.is_delivered(from, to, bytes, rng) {
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
        let sim_box = &mut self.boxes[to];
        match message {
            Message::Report(page) => {
                let (run, number, is_first) = (page.run, page.number, page.index == 0);
                sim_box.collector.receive_page(page, ip(from), now);
                if !is_first {
                    return None;
                }
                for others in sim_box.collector.answers(run, number) {
                    self.send(to, from, Message::Others(others), rng, timeline);
                }
                None
            }
            Message::Part(part) => {
                sim_box.collector.receive_part(part, ip(from), now);
                None
            }
            Message::Others(others) => {
                sim_box
                    .remote_loads
                    .receive(others, &mut sim_box.fleet, now);
                Some(to)
            }
            // Simulated boxes send loads only.
            _ => None,
        }
    }
}
