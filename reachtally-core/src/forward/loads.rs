//! What all boxes together have on the targets, as sums.
//!
//! Each box tells what it has to one box of its failure domain, the collector. The collectors tell each
//! other what the boxes that report to them have in all, and answer each report with what all others
//! have. So what a box sends and gets does not grow with the number of boxes, and every request in the
//! fleet is known to every box after two reports.
//!
//! Every message names targets with what is on them, and stands for itself: one that is lost, late or
//! doubled leaves what it names as old as it was, and what is old is forgotten. A box that changes its
//! collector says so to the one before, where it would else count for as long.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::forward::count::{BoxCount, DomainCount};
use crate::forward::fleet::{Engine, Fleet};
use crate::ids::Incarnation;
use crate::time::Instant;

/// What was told is forgotten after this long: several reports in a row are lost only with their sender
/// or its links.
pub const REPORT_LIFE: Duration = Duration::from_millis(1500);
/// How long a target on which nothing runs any more is told of, so that others learn it.
const ENDED_TOLD: Duration = Duration::from_millis(1000);
/// Targets in one message. With names of a dozen bytes, and the numbers of boxes of 13 failure domains, it fits
/// a datagram that is not split on the way.
pub const TARGETS_TOLD: usize = 38;
/// Messages that answer a report. A fleet of 190 targets is told in five, so each is known anew after two
/// reports.
const ANSWERS: u64 = 3;
/// Most requests on a target that are believed of one sender; beyond any target's places.
const MOST_RUNNING: u32 = 100_000;
/// Most tokens on a target that are believed of one sender; beyond any target's memory.
const MOST_TOKENS: u32 = 100_000_000;

/// Requests on a target, of one box or of many.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Requests that take part there.
    pub running: u32,
    /// KV tokens that they hold on average while they run.
    pub tokens: u32,
    /// Prompt tokens that wait to be read there.
    pub reading: u32,
    /// How much longer the target takes than it should, if a box asked it lately.
    pub pace: Option<f64>,
    /// Boxes that found that it takes no connections.
    pub silent: u32,
}

impl Load {
    fn is_nothing(&self) -> bool {
        *self == Load::default()
    }

    /// What is beyond reason is cut.
    fn bounded(self) -> Self {
        Load {
            running: self.running.min(MOST_RUNNING),
            tokens: self.tokens.min(MOST_TOKENS),
            reading: self.reading.min(MOST_TOKENS),
            pace: self.pace.filter(|pace| pace.is_finite()),
            silent: self.silent.min(MOST_RUNNING),
        }
    }

    fn add(&mut self, other: &Load) {
        self.running = self.running.saturating_add(other.running);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.reading = self.reading.saturating_add(other.reading);
        let told = self.pace.into_iter().chain(other.pace);
        self.pace = told.max_by(f64::total_cmp);
        self.silent = self.silent.saturating_add(other.silent);
    }

    /// What is left without a part. The slowest pace told stays: it is the target's own.
    fn without(&self, part: &Load) -> Self {
        Load {
            running: self.running.saturating_sub(part.running),
            tokens: self.tokens.saturating_sub(part.tokens),
            reading: self.reading.saturating_sub(part.reading),
            pace: self.pace,
            silent: self.silent.saturating_sub(part.silent),
        }
    }
}

/// The load of one target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetLoad {
    /// The run of the target.
    pub target: Arc<str>,
    /// What is on it.
    pub load: Load,
}

/// What a box has on its targets, for its collector.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Its run.
    pub run: Incarnation,
    /// Numbers its reports, so that a late one is not taken for the newest.
    pub number: u64,
    /// The targets on which it has something.
    pub loads: Vec<TargetLoad>,
}

/// What the boxes that report to one collector have on some targets, for other collectors.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// The collector's run.
    pub run: Incarnation,
    /// Its failure domain.
    pub domain: String,
    /// Boxes that report to it.
    pub boxes: u32,
    /// What they have.
    pub loads: Vec<TargetLoad>,
}

/// What all other boxes have on some targets, for a box that reported.
#[derive(Debug, Clone, PartialEq)]
pub struct Others {
    /// Boxes of each failure domain that is heard of; empty where other messages tell it.
    pub counts: Vec<DomainCount>,
    /// What they have.
    pub loads: Vec<TargetLoad>,
}

/// What boxes tell each other of loads.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// From a box to its collector.
    Report(Report),
    /// From a collector to another.
    Part(Part),
    /// From a collector to a box.
    Others(Others),
    /// From a box to the collector that it leaves for another: it is not to count there any more.
    Leave(Incarnation),
}

/// Targets with what was last told of each, and when.
#[derive(Debug, Default)]
struct Told(HashMap<Arc<str>, (Load, Instant)>);

impl Told {
    fn hear(&mut self, loads: Vec<TargetLoad>, now: Instant) {
        let loads = loads.into_iter().map(|told| (told.target, told.load));
        self.0
            .extend(loads.map(|(target, load)| (target, (load.bounded(), now))));
    }

    fn forget_old(&mut self, now: Instant) {
        self.0.retain(|_, (_, at)| now.since(*at) < REPORT_LIFE);
    }

    fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Load)> {
        self.0.iter().map(|(target, (load, _))| (target, load))
    }
}

/// A box that reports here.
#[derive(Debug)]
struct Reporter {
    ip: IpAddr,
    number: u64,
    heard: Instant,
    loads: Arc<[TargetLoad]>,
    /// What of it is in the sums.
    counted: Arc<[TargetLoad]>,
}

/// Another collector.
#[derive(Debug)]
struct PeerCollector {
    ip: IpAddr,
    domain: String,
    boxes: u32,
    heard: Instant,
    told: Told,
}

/// Sums up what boxes report, and what other collectors tell.
#[derive(Debug, Default)]
pub struct Collector {
    /// The failure domain of those that report here.
    home: Arc<str>,
    reporters: HashMap<Incarnation, Reporter>,
    peers: HashMap<Incarnation, PeerCollector>,
    /// When something last ran on each target.
    busy: BTreeMap<Arc<str>, Instant>,
    /// What those that report here have.
    own: HashMap<Arc<str>, Load>,
    /// What all boxes have, by target.
    all: Vec<TargetLoad>,
}

impl Collector {
    /// A collector of the failure domain `home` that heard nothing yet.
    pub fn new(home: &str) -> Self {
        Collector {
            home: home.into(),
            ..Collector::default()
        }
    }

    /// Take in the report of a box at `ip`. It takes the place of an earlier run there.
    pub fn hear(&mut self, report: Report, ip: IpAddr, now: Instant) {
        let known = self.reporters.get(&report.run);
        if known.is_some_and(|known| known.number >= report.number) {
            return;
        }
        let counted = known.map_or_else(|| Arc::from([]), |known| known.counted.clone());
        let bounded = |told: TargetLoad| TargetLoad {
            load: told.load.bounded(),
            ..told
        };
        let reporter = Reporter {
            ip,
            number: report.number,
            heard: now,
            loads: report.loads.into_iter().map(bounded).collect(),
            counted,
        };
        self.reporters.retain(|_, known| known.ip != ip);
        self.reporters.insert(report.run, reporter);
    }

    /// The run reports elsewhere from now on. What it has is heard of from there.
    pub fn leave(&mut self, run: Incarnation) {
        self.reporters.remove(&run);
    }

    /// Take in what another collector at `ip` told.
    pub fn hear_part(&mut self, part: Part, ip: IpAddr, now: Instant) {
        let peer = self.peers.entry(part.run).or_insert(PeerCollector {
            ip,
            domain: part.domain,
            boxes: 0,
            heard: now,
            told: Told::default(),
        });
        peer.boxes = part.boxes;
        peer.heard = now;
        peer.told.hear(part.loads, now);
    }

    /// Forget what is old, and sum up the rest.
    pub fn sum_up(&mut self, now: Instant) {
        let is_new = |heard: Instant| now.since(heard) < REPORT_LIFE;
        self.reporters.retain(|_, reporter| is_new(reporter.heard));
        self.peers.retain(|_, peer| is_new(peer.heard));
        self.own.clear();
        for reporter in self.reporters.values_mut() {
            reporter.counted = reporter.loads.clone();
            for told in &*reporter.counted {
                let sum = self.own.entry(told.target.clone()).or_default();
                sum.add(&told.load);
            }
        }
        let mut all = self.own.clone();
        for peer in self.peers.values_mut() {
            peer.told.forget_old(now);
            for (target, load) in peer.told.iter() {
                all.entry(target.clone()).or_default().add(load);
            }
        }
        let busy = all.iter().filter(|(_, load)| !load.is_nothing());
        self.busy
            .extend(busy.map(|(target, _)| (target.clone(), now)));
        self.busy.retain(|_, at| now.since(*at) < ENDED_TOLD);
        let load_of = |target: &Arc<str>| all.get(target).copied().unwrap_or_default();
        let listed = self.busy.keys().map(|target| TargetLoad {
            target: target.clone(),
            load: load_of(target),
        });
        self.all = listed.collect();
    }

    /// Boxes that report here.
    pub fn reporters(&self) -> u32 {
        self.reporters.len() as u32
    }

    /// Boxes of each failure domain that is heard of.
    pub fn counts(&self) -> Vec<DomainCount> {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        if !self.reporters.is_empty() {
            counts.insert(&self.home, self.reporters());
        }
        for peer in self.peers.values() {
            let count = counts.entry(&peer.domain).or_default();
            *count = count.saturating_add(peer.boxes);
        }
        let each = counts.into_iter();
        each.map(|(domain, boxes)| DomainCount {
            domain: domain.to_owned(),
            boxes,
        })
        .collect()
    }

    /// What of the sums is of `run`, by target.
    fn counted_of(&self, run: Incarnation) -> HashMap<&str, &Load> {
        let reporter = self.reporters.get(&run);
        let counted = reporter.map(|reporter| &*reporter.counted).unwrap_or(&[]);
        let by_target = counted.iter().map(|told| (&*told.target, &told.load));
        by_target.collect()
    }

    /// The answers to report `number` of `run`. Reports in a row are answered with different targets.
    pub fn answers(&self, run: Incarnation, number: u64) -> Vec<Others> {
        let pages: Vec<&[TargetLoad]> = self.all.chunks(TARGETS_TOLD).collect();
        let count = pages.len() as u64;
        if count == 0 {
            return vec![self.all_but(run)];
        }
        let first = number.wrapping_mul(ANSWERS);
        let chosen: BTreeSet<u64> = (0..ANSWERS)
            .map(|each| first.wrapping_add(each) % count)
            .collect();
        let own = self.counted_of(run);
        let others = |page: u64| Others {
            counts: Vec::new(),
            loads: without(pages[page as usize], &own),
        };
        let mut answers: Vec<Others> = chosen.into_iter().map(others).collect();
        if let Some(first) = answers.first_mut() {
            first.counts = self.counts();
        }
        answers
    }

    /// What all boxes but `run` have on all targets.
    pub fn all_but(&self, run: Incarnation) -> Others {
        Others {
            counts: self.counts(),
            loads: without(&self.all, &self.counted_of(run)),
        }
    }

    /// What those that report here have, for other collectors; nothing if none does.
    pub fn parts(&self, run: Incarnation) -> Vec<Part> {
        if self.reporters.is_empty() {
            return Vec::new();
        }
        let own = |told: &TargetLoad| TargetLoad {
            target: told.target.clone(),
            load: self.own.get(&told.target).copied().unwrap_or_default(),
        };
        let part = |loads: &[TargetLoad]| Part {
            run,
            domain: self.home.to_string(),
            boxes: self.reporters(),
            loads: loads.iter().map(own).collect(),
        };
        match self.all.is_empty() {
            true => vec![part(&[])],
            false => self.all.chunks(TARGETS_TOLD).map(part).collect(),
        }
    }

    /// Where other collectors have lately told from, by failure domain.
    pub fn peers(&self) -> impl Iterator<Item = (&str, IpAddr)> {
        let each = self.peers.values();
        each.map(|peer| (&*peer.domain, peer.ip))
    }
}

/// What is on the listed targets without one box's own part.
fn without(listed: &[TargetLoad], own: &HashMap<&str, &Load>) -> Vec<TargetLoad> {
    let others = |told: &TargetLoad| TargetLoad {
        target: told.target.clone(),
        load: match own.get(&*told.target) {
            Some(part) => told.load.without(part),
            None => told.load,
        },
    };
    listed.iter().map(others).collect()
}

/// What a box knows of the other boxes' requests.
#[derive(Debug, Default)]
pub struct Elsewhere {
    told: Told,
    count: BoxCount,
    /// Failure domains that the last message with counts told of.
    heard: usize,
}

impl Elsewhere {
    /// Take in what a collector told, and put it on the targets.
    pub fn hear(&mut self, others: Others, fleet: &mut Fleet, now: Instant) {
        for told in &others.loads {
            put(fleet, &told.target, &told.load.bounded());
        }
        for told in &others.counts {
            self.count.hear(told, now);
        }
        if !others.counts.is_empty() {
            self.heard = others.counts.len();
        }
        self.told.hear(others.loads, now);
    }

    /// Forget what is old, also on the targets.
    pub fn forget_old(&mut self, fleet: &mut Fleet, now: Instant) {
        self.told.forget_old(now);
        self.count.forget_old(now);
        fleet.clear_elsewhere();
        for (target, load) in self.told.iter() {
            put(fleet, target, load);
        }
    }

    /// Failure domains whose requests are in what was told; 0 before the first count.
    pub fn domains_heard(&self) -> usize {
        self.heard
    }

    /// Boxes in all, this one included; `None` before the first count.
    pub fn boxes(&self) -> Option<u32> {
        self.count.boxes()
    }
}

/// Note on a target what other boxes have there.
fn put(fleet: &mut Fleet, target: &str, load: &Load) {
    if let Some(engine) = fleet.find(target).and_then(|key| fleet.get_mut(key)) {
        engine.running_elsewhere = f64::from(load.running);
        engine.tokens_elsewhere = f64::from(load.tokens);
        engine.reading_elsewhere = f64::from(load.reading);
        engine.pace_elsewhere = load.pace;
        engine.silent_elsewhere = load.silent;
    }
}

/// What this box has on its targets.
pub fn own_report(run: Incarnation, number: u64, fleet: &Fleet, now: Instant) -> Report {
    let load = |engine: &Engine| Load {
        running: engine.running,
        tokens: engine.tokens as u32,
        reading: engine.reading as u32,
        pace: engine.own_pace(now),
        silent: u32::from(engine.health.is_silent()),
    };
    let loads = fleet.iter().map(|(_, engine)| TargetLoad {
        target: engine.entry.id.clone(),
        load: load(engine),
    });
    Report {
        run,
        number,
        loads: loads.filter(|told| !told.load.is_nothing()).collect(),
    }
}
