//! A collector: the sums of what boxes report to it, and of what other collectors tell.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use super::told::Told;
use super::{
    Load, MARKED_TARGETS_TOLD, Others, Part, REPORT_LIFE, Report, TARGETS_TOLD, TargetLoad,
};
use crate::forward::count::DomainCount;
use crate::forward::fleet::{RunMark, TargetRun};
use crate::ids::Incarnation;
use crate::time::Instant;

/// How long a target on which nothing runs any more is told of, so that others learn it.
const ENDED_TOLD: Duration = Duration::from_millis(1000);
/// Messages that answer a report. A fleet of 190 targets is told in five, so each is known anew after two
/// reports.
const ANSWERS: u64 = 3;

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
    busy: BTreeMap<TargetRun, Instant>,
    /// What those that report here have.
    own: HashMap<TargetRun, Load>,
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
    fn counted_of(&self, run: Incarnation) -> HashMap<&TargetRun, &Load> {
        let reporter = self.reporters.get(&run);
        let counted = reporter.map(|reporter| &*reporter.counted).unwrap_or(&[]);
        let by_target = counted.iter().map(|told| (&told.target, &told.load));
        by_target.collect()
    }

    /// The answers to report `number` of `run`. Reports in a row are answered with different targets.
    pub fn answers(&self, run: Incarnation, number: u64) -> Vec<Others> {
        let pages: Vec<&[TargetLoad]> = self.all.chunks(self.told_at_once()).collect();
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

    /// Targets that fit one message.
    fn told_at_once(&self) -> usize {
        let is_marked = |told: &TargetLoad| told.target.mark != RunMark::default();
        match self.all.iter().any(is_marked) {
            true => MARKED_TARGETS_TOLD,
            false => TARGETS_TOLD,
        }
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
            false => self.all.chunks(self.told_at_once()).map(part).collect(),
        }
    }

    /// Boxes that report here.
    pub fn reporters_ips(&self) -> impl Iterator<Item = IpAddr> {
        self.reporters.values().map(|reporter| reporter.ip)
    }

    /// Where other collectors have lately told from, by failure domain.
    pub fn peers(&self) -> impl Iterator<Item = (&str, IpAddr)> {
        let each = self.peers.values();
        each.map(|peer| (&*peer.domain, peer.ip))
    }
}

/// What is on the listed targets without one box's own part.
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
