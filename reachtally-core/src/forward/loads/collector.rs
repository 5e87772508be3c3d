//! A collector: sums the reports of its boxes and the parts of other collectors.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use super::received::Received;
use super::{
    Assembler, Load, Others, Part, REPORT_LIFE, Report, ReportPage, TargetLoad, targets_in_message,
};
use crate::forward::count::DomainCount;
use crate::forward::fleet::TargetRun;
use crate::ids::Incarnation;
use crate::time::Instant;

/// How long a target without load stays in messages, so that others learn that its load has ended.
const ENDED_LISTED: Duration = Duration::from_millis(1000);
/// Messages that answer a report. A fleet of 190 targets takes five, so each target is updated after two
/// reports.
const ANSWERS: u64 = 3;

/// A box that reports here.
#[derive(Debug)]
struct Reporter {
    ip: IpAddr,
    number: u64,
    heard: Instant,
    loads: Arc<[TargetLoad]>,
    /// The part of its loads that the sums include.
    counted: Arc<[TargetLoad]>,
}

/// Another collector.
#[derive(Debug)]
struct PeerCollector {
    ip: IpAddr,
    domain: String,
    boxes: u32,
    heard: Instant,
    told: Received,
}

/// Sums the reports of boxes and the parts of other collectors.
#[derive(Debug, Default)]
pub struct Collector {
    /// The failure domain of its boxes.
    home: Arc<str>,
    reporters: HashMap<Incarnation, Reporter>,
    /// Pages of reports that are not complete.
    assembler: Assembler,
    peers: HashMap<Incarnation, PeerCollector>,
    /// When each target last had a load.
    busy: BTreeMap<TargetRun, Instant>,
    /// Sums of the reports, by target.
    own: HashMap<TargetRun, Load>,
    /// Sums over all boxes, by target.
    all: Vec<TargetLoad>,
}

impl Collector {
    /// Creates a collector of the failure domain `home` without reports.
    pub fn new(home: &str) -> Self {
        Collector {
            home: home.into(),
            ..Collector::default()
        }
    }

    /// Takes in a page of the report of a box at `ip`.
    pub fn hear_page(&mut self, page: ReportPage, ip: IpAddr, now: Instant) {
        if let Some(report) = self.assembler.add(page) {
            self.hear(report, ip, now);
        }
    }

    /// Takes in the report of a box at `ip`; an earlier run at that address is replaced.
    pub fn hear(&mut self, report: Report, ip: IpAddr, now: Instant) {
        let known = self.reporters.get(&report.run);
        if known.is_some_and(|known| known.number >= report.number) {
            return;
        }
        let is_new = known.is_none();
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
        if is_new {
            self.reporters.retain(|_, known| known.ip != ip);
        }
        self.reporters.insert(report.run, reporter);
    }

    /// Removes a box that reports to another collector from now on.
    pub fn leave(&mut self, run: Incarnation) {
        self.reporters.remove(&run);
    }

    /// Takes in a part of another collector at `ip`.
    pub fn hear_part(&mut self, part: Part, ip: IpAddr, now: Instant) {
        let peer = self.peers.entry(part.run).or_insert(PeerCollector {
            ip,
            domain: part.domain,
            boxes: 0,
            heard: now,
            told: Received::default(),
        });
        peer.boxes = part.boxes;
        peer.heard = now;
        peer.told.hear(part.loads, now);
    }

    /// Removes expired reports and recomputes the sums.
    pub fn sum_up(&mut self, now: Instant) {
        let is_new = |heard: Instant| now.since(heard) < REPORT_LIFE;
        self.reporters.retain(|_, reporter| is_new(reporter.heard));
        self.peers.retain(|_, peer| is_new(peer.heard));
        self.assembler
            .retain(|run| self.reporters.contains_key(&run));
        self.own.clear();
        for reporter in self.reporters.values_mut() {
            reporter.counted = reporter.loads.clone();
            for told in &*reporter.counted {
                let sum = self.own.entry(told.target.clone()).or_default();
                sum.add(&told.load.aged(now.since(reporter.heard)));
            }
        }
        let mut all = self.own.clone();
        for peer in self.peers.values_mut() {
            peer.told.remove_expired(now);
            for (target, load) in peer.told.iter(now) {
                all.entry(target.clone()).or_default().add(&load);
            }
        }
        let busy = all.iter().filter(|(_, load)| !load.is_nothing());
        self.busy
            .extend(busy.map(|(target, _)| (target.clone(), now)));
        self.busy.retain(|_, at| now.since(*at) < ENDED_LISTED);
        let load_of = |target: &TargetRun| all.get(target).copied().unwrap_or_default();
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

    /// Returns the number of boxes of each known failure domain.
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

    /// Returns the contribution of `run` to the sums, by target.
    fn counted_of(&self, run: Incarnation) -> HashMap<&TargetRun, &Load> {
        let reporter = self.reporters.get(&run);
        let counted = reporter.map(|reporter| &*reporter.counted).unwrap_or(&[]);
        let by_target = counted.iter().map(|told| (&told.target, &told.load));
        by_target.collect()
    }

    /// Returns the answers to report `number` of `run`. Consecutive reports are answered with different targets.
    pub fn answers(&self, run: Incarnation, number: u64) -> Vec<Others> {
        let pages: Vec<&[TargetLoad]> = self.all.chunks(targets_in_message(&self.all)).collect();
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

    /// Returns the loads of all boxes but `run` on all targets.
    pub fn all_but(&self, run: Incarnation) -> Others {
        Others {
            counts: self.counts(),
            loads: without(&self.all, &self.counted_of(run)),
        }
    }

    /// Returns the sums of its boxes, for other collectors; nothing without reports.
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
            false => self
                .all
                .chunks(targets_in_message(&self.all))
                .map(part)
                .collect(),
        }
    }

    /// Boxes that report here.
    pub fn reporters_ips(&self) -> impl Iterator<Item = IpAddr> {
        self.reporters.values().map(|reporter| reporter.ip)
    }

    /// Addresses of other collectors that were received from lately, by failure domain.
    pub fn peers(&self) -> impl Iterator<Item = (&str, IpAddr)> {
        let each = self.peers.values();
        each.map(|peer| (&*peer.domain, peer.ip))
    }
}

/// Subtracts one box's own part from the listed loads.
fn without(listed: &[TargetLoad], own: &HashMap<&TargetRun, &Load>) -> Vec<TargetLoad> {
    let others = |told: &TargetLoad| TargetLoad {
        target: told.target.clone(),
        load: match own.get(&told.target) {
            Some(part) => told.load.without(part),
            None => told.load,
        },
    };
    listed.iter().map(others).collect()
}
