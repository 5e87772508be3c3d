//! The collector, which adds up the reports of its boxes and the partial sums of other collectors.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use super::received::ReceivedLoads;
use super::{
    Load, Others, Part, REPORT_TTL, Report, ReportAssembler, ReportPage, TargetLoad,
    targets_in_message,
};
use crate::forward::count::DomainCount;
use crate::forward::fleet::TargetRun;
use crate::ids::Incarnation;
use crate::time::Instant;

/// How long a target without load stays in messages, so that others learn that its load has ended.
const IDLE_TARGET_RETENTION: Duration = Duration::from_millis(1000);
/// Messages that answer one report. The loads of 190 targets take five messages, so each target is
/// updated within two reports.
const ANSWERS_PER_REPORT: u64 = 3;

/// A box that reports here.
#[derive(Debug)]
struct Reporter {
    ip: IpAddr,
    number: u64,
    received_at: Instant,
    loads: Arc<[TargetLoad]>,
    /// The loads that are included in the current totals.
    counted: Arc<[TargetLoad]>,
}

/// Another collector.
#[derive(Debug)]
struct PeerCollector {
    ip: IpAddr,
    domain: String,
    boxes: u32,
    received_at: Instant,
    loads: ReceivedLoads,
}

/// Adds up the reports of boxes and the partial sums of other collectors.
#[derive(Debug, Default)]
pub struct Collector {
    /// The failure domain of its boxes.
    home: Arc<str>,
    reporters: HashMap<Incarnation, Reporter>,
    /// Pages of incomplete reports.
    assembler: ReportAssembler,
    peers: HashMap<Incarnation, PeerCollector>,
    /// When each target last had a load.
    busy: BTreeMap<TargetRun, Instant>,
    /// Totals of the reports received here, by target.
    domain_totals: HashMap<TargetRun, Load>,
    /// Totals over all boxes, by target.
    totals: Vec<TargetLoad>,
}

impl Collector {
    /// Creates a collector of the failure domain `home` without reports.
    pub fn new(home: &str) -> Self {
        Collector {
            home: home.into(),
            ..Collector::default()
        }
    }

    /// Receives a page of the report of a box at `ip`.
    pub fn receive_page(&mut self, page: ReportPage, ip: IpAddr, now: Instant) {
        if let Some(report) = self.assembler.add(page) {
            self.receive(report, ip, now);
        }
    }

    /// Receives the report of a box at `ip`; it replaces reports of an earlier run at that address.
    pub fn receive(&mut self, report: Report, ip: IpAddr, now: Instant) {
        let known = self.reporters.get(&report.run);
        if known.is_some_and(|known| known.number >= report.number) {
            return;
        }
        let is_new = known.is_none();
        let counted = known.map_or_else(|| Arc::from([]), |known| known.counted.clone());
        let bounded = |reported: TargetLoad| TargetLoad {
            load: reported.load.bounded(),
            ..reported
        };
        let reporter = Reporter {
            ip,
            number: report.number,
            received_at: now,
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

    /// Receives partial sums of another collector at `ip`.
    pub fn receive_part(&mut self, part: Part, ip: IpAddr, now: Instant) {
        let peer = self.peers.entry(part.run).or_insert(PeerCollector {
            ip,
            domain: part.domain,
            boxes: 0,
            received_at: now,
            loads: ReceivedLoads::default(),
        });
        peer.boxes = part.boxes;
        peer.received_at = now;
        peer.loads.update(part.loads, now);
    }

    /// Removes expired reports and recomputes the totals.
    pub fn update_totals(&mut self, now: Instant) {
        let is_recent = |received_at: Instant| now.since(received_at) < REPORT_TTL;
        self.reporters
            .retain(|_, reporter| is_recent(reporter.received_at));
        self.peers.retain(|_, peer| is_recent(peer.received_at));
        self.assembler
            .retain(|run| self.reporters.contains_key(&run));
        self.domain_totals.clear();
        for reporter in self.reporters.values_mut() {
            reporter.counted = reporter.loads.clone();
            for reported in &*reporter.counted {
                let sum = self
                    .domain_totals
                    .entry(reported.target.clone())
                    .or_default();
                sum.add(&reported.load.aged(now.since(reporter.received_at)));
            }
        }
        let mut all = self.domain_totals.clone();
        for peer in self.peers.values_mut() {
            peer.loads.remove_expired(now);
            for (target, load) in peer.loads.iter(now) {
                all.entry(target.clone()).or_default().add(&load);
            }
        }
        let busy = all.iter().filter(|(_, load)| !load.is_zero());
        self.busy
            .extend(busy.map(|(target, _)| (target.clone(), now)));
        self.busy
            .retain(|_, at| now.since(*at) < IDLE_TARGET_RETENTION);
        let load_of = |target: &TargetRun| all.get(target).copied().unwrap_or_default();
        let entries = self.busy.keys().map(|target| TargetLoad {
            target: target.clone(),
            load: load_of(target),
        });
        self.totals = entries.collect();
    }

    /// Number of boxes that report here.
    pub fn reporters(&self) -> u32 {
        self.reporters.len() as u32
    }

    /// Returns the number of boxes in each known failure domain.
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

    /// Returns the contribution of `run` to the totals, by target.
    fn counted_loads(&self, run: Incarnation) -> HashMap<&TargetRun, &Load> {
        let reporter = self.reporters.get(&run);
        let counted = reporter.map(|reporter| &*reporter.counted).unwrap_or(&[]);
        let by_target = counted
            .iter()
            .map(|reported| (&reported.target, &reported.load));
        by_target.collect()
    }

    /// Returns the answers to report `number` of `run`. Consecutive reports are answered with
    /// different targets.
    pub fn answers(&self, run: Incarnation, number: u64) -> Vec<Others> {
        let pages: Vec<&[TargetLoad]> = self
            .totals
            .chunks(targets_in_message(&self.totals))
            .collect();
        let count = pages.len() as u64;
        if count == 0 {
            return vec![self.all_except(run)];
        }
        let first = number.wrapping_mul(ANSWERS_PER_REPORT);
        let chosen: BTreeSet<u64> = (0..ANSWERS_PER_REPORT)
            .map(|each| first.wrapping_add(each) % count)
            .collect();
        let own = self.counted_loads(run);
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

    /// Returns the loads of all boxes except `run` on all targets.
    pub fn all_except(&self, run: Incarnation) -> Others {
        Others {
            counts: self.counts(),
            loads: without(&self.totals, &self.counted_loads(run)),
        }
    }

    /// Returns the totals of the boxes that report here, for other collectors; nothing without
    /// reports.
    pub fn parts(&self, run: Incarnation) -> Vec<Part> {
        if self.reporters.is_empty() {
            return Vec::new();
        }
        let own = |reported: &TargetLoad| TargetLoad {
            target: reported.target.clone(),
            load: self
                .domain_totals
                .get(&reported.target)
                .copied()
                .unwrap_or_default(),
        };
        let part = |loads: &[TargetLoad]| Part {
            run,
            domain: self.home.to_string(),
            boxes: self.reporters(),
            loads: loads.iter().map(own).collect(),
        };
        match self.totals.is_empty() {
            true => vec![part(&[])],
            false => self
                .totals
                .chunks(targets_in_message(&self.totals))
                .map(part)
                .collect(),
        }
    }

    /// Addresses of the boxes that report here.
    pub fn reporter_ips(&self) -> impl Iterator<Item = IpAddr> {
        self.reporters.values().map(|reporter| reporter.ip)
    }

    /// Addresses of other collectors that sent partial sums recently, by failure domain.
    pub fn peers(&self) -> impl Iterator<Item = (&str, IpAddr)> {
        let each = self.peers.values();
        each.map(|peer| (&*peer.domain, peer.ip))
    }
}

/// Subtracts the contribution of one box from the loads.
fn without(entries: &[TargetLoad], own: &HashMap<&TargetRun, &Load>) -> Vec<TargetLoad> {
    let others = |reported: &TargetLoad| TargetLoad {
        target: reported.target.clone(),
        load: match own.get(&reported.target) {
            Some(part) => reported.load.without(part),
            None => reported.load,
        },
    };
    entries.iter().map(others).collect()
}
