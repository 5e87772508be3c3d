//! Tests of the number of boxes that a box assumes.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::count::{BoxCount, DomainCount};
use reachtally_core::forward::fleet::Fleet;
use reachtally_core::forward::loads::{Collector, RemoteLoads, Report};
use reachtally_core::ids::Incarnation;

fn at(ms: u64) -> Instant {
    Instant::from_elapsed(Duration::from_millis(ms))
}

fn domain_count(domain: &str, boxes: u32) -> DomainCount {
    DomainCount {
        domain: domain.to_owned(),
        boxes,
    }
}

#[test]
fn silent_domain_keeps_its_boxes_until_they_expire() {
    let mut count = BoxCount::default();
    assert_eq!(count.boxes(0), None);
    count.receive(&domain_count("north", 100), at(0));
    count.receive(&domain_count("south", 195), at(0));
    // While it is cut off, north must not take over the share of south.
    for ms in (0..29_000).step_by(200) {
        count.receive(&domain_count("north", 100), at(ms));
        count.remove_expired(at(ms));
        assert_eq!(count.boxes(0), Some(295), "after {ms} ms");
    }
    count.receive(&domain_count("north", 100), at(40_000));
    count.remove_expired(at(40_000));
    assert_eq!(count.boxes(0), Some(100));
}

/// All boxes of north restart while it is cut off from two other domains.
#[test]
fn domains_that_never_reported_count_like_the_largest() {
    let mut count = BoxCount::default();
    assert_eq!(count.boxes(3), None);
    count.receive(&domain_count("north", 59), at(0));
    assert_eq!(count.boxes(3), Some(177));
    count.receive(&domain_count("south", 30), at(200));
    assert_eq!(count.boxes(3), Some(148));
    count.receive(&domain_count("west", 7), at(400));
    assert_eq!(count.boxes(3), Some(96));
    // More domains report than are configured.
    assert_eq!(count.boxes(2), Some(96));
    // After a long cut, north still leaves the other domains their share.
    for ms in (400..50_000).step_by(200) {
        count.receive(&domain_count("north", 59), at(ms));
        count.remove_expired(at(ms));
        assert!(count.boxes(3) >= Some(96), "after {ms} ms");
    }
}

#[test]
fn smaller_count_is_adopted_once_stable_and_larger_at_once() {
    let mut count = BoxCount::default();
    count.receive(&domain_count("north", 64), at(0));
    // Not all boxes report to a newly chosen collector yet.
    count.receive(&domain_count("north", 3), at(200));
    assert_eq!(count.boxes(0), Some(64));
    count.receive(&domain_count("north", 64), at(800));
    count.receive(&domain_count("north", 125), at(1_000));
    assert_eq!(count.boxes(0), Some(125));
    for ms in (1_200..4_200).step_by(200) {
        count.receive(&domain_count("north", 64), at(ms));
    }
    assert_eq!(count.boxes(0), Some(64));
}

/// Boxes of one domain that report to one collector, which may change.
struct Domain {
    collectors: Vec<Collector>,
    remote_loads: Vec<RemoteLoads>,
    /// Offset of the incarnations; a restart of all boxes changes it.
    incarnation_base: u64,
    number: u64,
}

impl Domain {
    fn new(boxes: usize) -> Self {
        Domain {
            collectors: (0..boxes).map(|_| Collector::new("north")).collect(),
            remote_loads: (0..boxes).map(|_| RemoteLoads::default()).collect(),
            incarnation_base: 1_000,
            number: 0,
        }
    }

    fn run(&self, of: usize) -> Incarnation {
        Incarnation(self.incarnation_base + of as u64)
    }

    /// Sends one report of each box to `collector`.
    fn report(&mut self, collector: usize, now: Instant) {
        self.number += 1;
        for of in 0..self.remote_loads.len() {
            let report = Report {
                run: self.run(of),
                number: self.number,
                loads: Vec::new(),
            };
            let ip = IpAddr::from(Ipv4Addr::new(10, 0, 0, of as u8));
            let run = report.run;
            let receiver = &mut self.collectors[collector];
            receiver.receive(report, ip, now);
            receiver.update_totals(now);
            let answers = receiver.answers(run, self.number);
            for answer in answers {
                self.remote_loads[of].receive(answer, &mut Fleet::default(), now);
            }
        }
    }

    /// Makes all boxes leave a collector.
    fn leave(&mut self, collector: usize) {
        for of in 0..self.remote_loads.len() {
            let run = self.run(of);
            self.collectors[collector].leave(run);
        }
    }

    fn assumed_boxes(&self) -> Vec<u32> {
        let each = self.remote_loads.iter();
        each.map(|remote_loads| remote_loads.boxes(0).unwrap_or_default())
            .collect()
    }
}

/// Guards against counting boxes twice after a restart: 102 to 125 boxes were assumed where there were 64, for 30 s
/// after each start, so that each box used only about half of its share of the retries.
#[test]
fn boxes_are_counted_once_across_restarts_and_collector_changes() {
    let mut domain = Domain::new(64);
    // The first collector is replaced by one with a faster link.
    domain.report(0, at(0));
    domain.report(0, at(200));
    domain.leave(0);
    for ms in (400..5_000).step_by(200) {
        domain.report(1, at(ms));
    }
    assert_eq!(domain.assumed_boxes(), [64; 64]);
    // It crashes without a leave message; the next collector receives a report of every box within one round.
    for ms in (5_000..6_000).step_by(200) {
        domain.report(2, at(ms));
        assert_eq!(domain.assumed_boxes(), [64; 64], "after {ms} ms");
    }
    // All boxes are killed, restart at the same addresses a second later, and report to the same collector.
    domain.incarnation_base = 2_000;
    for ms in (7_000..9_000).step_by(200) {
        domain.report(2, at(ms));
        assert_eq!(domain.assumed_boxes(), [64; 64], "after {ms} ms");
    }
}
