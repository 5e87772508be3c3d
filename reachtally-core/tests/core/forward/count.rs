//! How many boxes a box believes in.

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

fn told(domain: &str, boxes: u32) -> DomainCount {
    DomainCount {
        domain: domain.to_owned(),
        boxes,
    }
}

#[test]
fn a_domain_that_is_not_heard_of_keeps_its_boxes_for_a_while() {
    let mut count = BoxCount::default();
    assert_eq!(count.boxes(0), None);
    count.receive(&told("north", 100), at(0));
    count.receive(&told("south", 195), at(0));
    // Cut off, the north must not share out what is the south's.
    for ms in (0..29_000).step_by(200) {
        count.receive(&told("north", 100), at(ms));
        count.remove_expired(at(ms));
        assert_eq!(count.boxes(0), Some(295), "after {ms} ms");
    }
    count.receive(&told("north", 100), at(40_000));
    count.remove_expired(at(40_000));
    assert_eq!(count.boxes(0), Some(100));
}

/// All boxes of the north start again while it is cut off from two other domains.
#[test]
fn domains_that_were_never_heard_of_count_like_the_largest() {
    let mut count = BoxCount::default();
    assert_eq!(count.boxes(3), None);
    count.receive(&told("north", 59), at(0));
    assert_eq!(count.boxes(3), Some(177));
    count.receive(&told("south", 30), at(200));
    assert_eq!(count.boxes(3), Some(148));
    count.receive(&told("west", 7), at(400));
    assert_eq!(count.boxes(3), Some(96));
    // More domains are heard of than the settings tell.
    assert_eq!(count.boxes(2), Some(96));
    // Cut off for long, the north still leaves the others their share.
    for ms in (400..50_000).step_by(200) {
        count.receive(&told("north", 59), at(ms));
        count.remove_expired(at(ms));
        assert!(count.boxes(3) >= Some(96), "after {ms} ms");
    }
}

#[test]
fn a_smaller_number_is_believed_once_it_holds_and_a_larger_at_once() {
    let mut count = BoxCount::default();
    count.receive(&told("north", 64), at(0));
    // A collector that was just chosen is not reported to by all yet.
    count.receive(&told("north", 3), at(200));
    assert_eq!(count.boxes(0), Some(64));
    count.receive(&told("north", 64), at(800));
    count.receive(&told("north", 125), at(1_000));
    assert_eq!(count.boxes(0), Some(125));
    for ms in (1_200..4_200).step_by(200) {
        count.receive(&told("north", 64), at(ms));
    }
    assert_eq!(count.boxes(0), Some(64));
}

/// Boxes of one domain that report to one of them, which may change.
struct Domain {
    collectors: Vec<Collector>,
    remote_loads: Vec<RemoteLoads>,
    /// Added to the number of a box: its run.
    life: u64,
    number: u64,
}

impl Domain {
    fn new(boxes: usize) -> Self {
        Domain {
            collectors: (0..boxes).map(|_| Collector::new("north")).collect(),
            remote_loads: (0..boxes).map(|_| RemoteLoads::default()).collect(),
            life: 1_000,
            number: 0,
        }
    }

    fn run(&self, of: usize) -> Incarnation {
        Incarnation(self.life + of as u64)
    }

    /// All boxes report to `collector` once.
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
            let there = &mut self.collectors[collector];
            there.receive(report, ip, now);
            there.update_totals(now);
            let answers = there.answers(run, self.number);
            for answer in answers {
                self.remote_loads[of].receive(answer, &mut Fleet::default(), now);
            }
        }
    }

    /// All boxes leave a collector.
    fn leave(&mut self, collector: usize) {
        for of in 0..self.remote_loads.len() {
            let run = self.run(of);
            self.collectors[collector].leave(run);
        }
    }

    fn believed(&self) -> Vec<u32> {
        let each = self.remote_loads.iter();
        each.map(|remote_loads| remote_loads.boxes(0).unwrap_or_default())
            .collect()
    }
}

/// Figures before: 102 to 125 boxes believed where 64 are, for 30 s after each start, so that each took about
/// half of its share of the second sends.
#[test]
fn boxes_that_start_together_change_collectors_and_lose_one_count_each_other_once() {
    let mut domain = Domain::new(64);
    // The first collector is replaced by one with a wider link.
    domain.report(0, at(0));
    domain.report(0, at(200));
    domain.leave(0);
    for ms in (400..5_000).step_by(200) {
        domain.report(1, at(ms));
    }
    assert_eq!(domain.believed(), [64; 64]);
    // It dies without a word; the next one hears of all within one round.
    for ms in (5_000..6_000).step_by(200) {
        domain.report(2, at(ms));
        assert_eq!(domain.believed(), [64; 64], "after {ms} ms");
    }
    // All boxes are killed and start again at the same addresses, a second later, and report to the same one.
    domain.life = 2_000;
    for ms in (7_000..9_000).step_by(200) {
        domain.report(2, at(ms));
        assert_eq!(domain.believed(), [64; 64], "after {ms} ms");
    }
}
