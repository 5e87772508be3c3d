//! Tests of the load reports that boxes exchange through collectors.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::count::DomainCount;
use reachtally_core::forward::fleet::{Engine, EntrySource, Evidence, Fleet, RunMark, TargetRun};
use reachtally_core::forward::loads::{
    Collector, Load, Others, Part, RemoteLoads, Report, ReportPage, TargetLoad, own_report,
};
use reachtally_core::ids::Incarnation;

use super::setup::{entry, fleet, run_entry};

/// Address of a collector of another domain.
const REMOTE_IP: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 2, 0, 1));

fn at(ms: u64) -> Instant {
    Instant::from_elapsed(Duration::from_millis(ms))
}

/// A run without a start time.
fn run_of(target: &str) -> TargetRun {
    TargetRun {
        id: target.into(),
        mark: RunMark::default(),
    }
}

fn load_of(target: &str, running: u32) -> TargetLoad {
    TargetLoad {
        target: run_of(target),
        load: Load {
            running,
            tokens: running * 100,
            reading: running * 10,
            pace: None,
            silent: 0,
            queue: None,
        },
    }
}

fn report(run: u64, number: u64, running: u32) -> Report {
    Report {
        run: Incarnation(run),
        number,
        loads: vec![load_of("e0", running)],
    }
}

fn part(run: u64, boxes: u32, running: u32) -> Part {
    Part {
        run: Incarnation(run),
        domain: "south".to_owned(),
        boxes,
        loads: vec![load_of("e0", running)],
    }
}

fn ip(run: u64) -> IpAddr {
    Ipv4Addr::new(10, 1, 0, run as u8).into()
}

fn count(domain: &str, boxes: u32) -> DomainCount {
    DomainCount {
        domain: domain.to_owned(),
        boxes,
    }
}

/// Number of boxes that a collector counts.
fn boxes(collector: &Collector) -> u32 {
    let counts = collector.counts();
    counts
        .iter()
        .fold(0, |sum, reported| sum.saturating_add(reported.boxes))
}

/// Requests on `target` that are reported to box `run`.
fn running_elsewhere(collector: &Collector, run: u64, target: &str) -> u32 {
    let others = collector.all_except(Incarnation(run));
    let found = others
        .loads
        .iter()
        .find(|reported| &*reported.target.id == target);
    found.map_or(0, |reported| reported.load.running)
}

/// Applies reported loads to the targets of a box.
fn apply(fleet: &mut Fleet, others: Others, received: Instant, now: Instant) {
    let mut remote_loads = RemoteLoads::default();
    remote_loads.receive(others, fleet, received);
    remote_loads.remove_expired(fleet, now);
}

fn first(fleet: &Fleet) -> &Engine {
    let key = fleet.find("e0").expect("target exists");
    fleet.get(key).expect("target exists")
}

#[test]
fn slowdown_of_a_target_is_reported_to_other_boxes_and_expires() {
    let (mut here, keys) = fleet([entry(0, "a", "small", 0..8)]);
    let reported = own_report(Incarnation(9), 1, &here, at(0));
    assert!(reported.loads.is_empty());
    here.get_mut(keys[0])
        .expect("target exists")
        .record_slowdown(3.0, at(0));
    let reported = own_report(Incarnation(9), 2, &here, at(100));
    let (mut remote, _) = fleet([entry(0, "a", "small", 0..8)]);
    let mut collector = Collector::new("north");
    collector.receive(reported, ip(9), at(100));
    collector.update_totals(at(110));
    let mut remote_loads = RemoteLoads::default();
    remote_loads.receive(collector.all_except(Incarnation(8)), &mut remote, at(110));
    assert_eq!(first(&remote).slowdown(at(120)), 3.0);
    // The slowdown expires: locally by time, remotely with the report.
    assert!(
        own_report(Incarnation(9), 3, &here, at(3_000))
            .loads
            .is_empty()
    );
    remote_loads.remove_expired(&mut remote, at(3_000));
    assert_eq!(first(&remote).slowdown(at(3_000)), 1.0);
}

#[test]
fn loads_are_summed_over_boxes_and_newer_reports_replace_older_ones() {
    let (mut fleet, _) = fleet([entry(0, "a", "small", 0..8)]);
    let mut collector = Collector::new("north");
    collector.receive(report(1, 1, 5), ip(1), at(0));
    collector.receive(report(2, 1, 7), ip(2), at(0));
    collector.receive(report(1, 2, 6), ip(1), at(200));
    collector.receive(report(1, 1, 50), ip(1), at(210));
    collector.update_totals(at(220));
    apply(
        &mut fleet,
        collector.all_except(Incarnation(3)),
        at(220),
        at(230),
    );
    assert_eq!(first(&fleet).remote_running, 13.0);
    assert_eq!(first(&fleet).remote_tokens, 1300.0);
    assert_eq!(first(&fleet).remote_prefill, 130.0);
}

#[test]
fn loads_of_a_silent_box_expire() {
    let mut collector = Collector::new("north");
    collector.receive(report(1, 1, 5), ip(1), at(0));
    collector.update_totals(at(2_000));
    assert_eq!(running_elsewhere(&collector, 2, "e0"), 0);
    assert_eq!(boxes(&collector), 0);
}

#[test]
fn loads_from_a_silent_collector_expire() {
    let (mut fleet, _) = fleet([entry(0, "a", "small", 0..8)]);
    let others = Others {
        counts: vec![count("north", 3)],
        loads: vec![load_of("e0", 5)],
    };
    apply(&mut fleet, others.clone(), at(0), at(200));
    assert_eq!(first(&fleet).remote_running, 5.0);
    apply(&mut fleet, others, at(0), at(2_000));
    assert_eq!(first(&fleet).remote_running, 0.0);
}

#[test]
fn reported_loads_exclude_the_box_itself_even_before_totals_are_updated() {
    let mut collector = Collector::new("north");
    collector.receive(report(1, 1, 5), ip(1), at(0));
    collector.receive(report(2, 1, 7), ip(2), at(0));
    collector.receive_part(part(9, 4, 20), REMOTE_IP, at(0));
    collector.update_totals(at(10));
    assert_eq!(running_elsewhere(&collector, 1, "e0"), 27);
    assert_eq!(running_elsewhere(&collector, 2, "e0"), 25);
    collector.receive(report(1, 2, 500), ip(1), at(20));
    assert_eq!(running_elsewhere(&collector, 1, "e0"), 27);
    collector.update_totals(at(30));
    assert_eq!(running_elsewhere(&collector, 2, "e0"), 520);
}

#[test]
fn collectors_exchange_only_loads_of_their_own_boxes() {
    let mut collector = Collector::new("north");
    assert!(collector.parts(Incarnation(1)).is_empty());
    collector.receive(report(1, 1, 5), ip(1), at(0));
    collector.receive_part(part(9, 4, 20), REMOTE_IP, at(0));
    collector.update_totals(at(10));
    let parts = collector.parts(Incarnation(1));
    assert_eq!(parts.len(), 1);
    assert_eq!(parts[0].boxes, 1);
    assert_eq!(parts[0].loads, [load_of("e0", 5)]);
    assert_eq!(boxes(&collector), 5);
    let peers: Vec<_> = collector.peers().collect();
    assert_eq!(peers, [("south", REMOTE_IP)]);
    // A domain that is cut off expires.
    collector.receive(report(1, 2, 5), ip(1), at(1_900));
    collector.update_totals(at(2_000));
    assert_eq!(running_elsewhere(&collector, 2, "e0"), 5);
    assert_eq!(boxes(&collector), 1);
}

#[test]
fn loads_of_two_collectors_in_one_domain_are_summed() {
    let mut collector = Collector::new("north");
    collector.receive_part(part(8, 2, 20), REMOTE_IP, at(0));
    collector.receive_part(part(9, 3, 4), REMOTE_IP, at(0));
    collector.receive_part(part(8, 2, 21), REMOTE_IP, at(100));
    collector.update_totals(at(110));
    assert_eq!(running_elsewhere(&collector, 1, "e0"), 25);
    assert_eq!(boxes(&collector), 5);
}

#[test]
fn box_that_restarts_or_changes_collector_is_counted_once() {
    let mut collector = Collector::new("north");
    collector.receive(report(1, 9, 5), ip(1), at(0));
    collector.receive(report(2, 9, 5), ip(2), at(0));
    // The first box restarts at the same address; the second moves to another collector.
    collector.receive(report(7, 1, 0), ip(1), at(300));
    collector.leave(Incarnation(2));
    collector.update_totals(at(310));
    assert_eq!(boxes(&collector), 1);
    assert_eq!(running_elsewhere(&collector, 3, "e0"), 0);
}

#[test]
fn end_of_load_on_a_target_is_reported() {
    let mut collector = Collector::new("north");
    collector.receive(report(1, 1, 5), ip(1), at(0));
    collector.update_totals(at(0));
    let ended = Report {
        loads: Vec::new(),
        ..report(1, 2, 0)
    };
    collector.receive(ended, ip(1), at(200));
    collector.update_totals(at(210));
    let others = collector.all_except(Incarnation(2));
    assert_eq!(others.loads, [load_of("e0", 0)]);
    collector.update_totals(at(1_400));
    assert!(collector.all_except(Incarnation(2)).loads.is_empty());
}

#[test]
fn two_answers_cover_all_targets() {
    let mut collector = Collector::new("north");
    let targets: Vec<String> = (0..190).map(|number| format!("e{number}")).collect();
    let loads = targets.iter().map(|target| load_of(target, 3)).collect();
    collector.receive(
        Report {
            loads,
            ..report(1, 1, 0)
        },
        ip(1),
        at(0),
    );
    collector.update_totals(at(0));
    let answers = (6..8).flat_map(|number| collector.answers(Incarnation(2), number));
    let received: BTreeSet<Arc<str>> = answers
        .flat_map(|others| others.loads)
        .map(|reported| reported.target.id)
        .collect();
    assert_eq!(received.len(), 190);
}

#[test]
fn report_is_answered_without_any_load() {
    let mut collector = Collector::new("north");
    let idle = Report {
        loads: Vec::new(),
        ..report(1, 1, 0)
    };
    collector.receive(idle, ip(1), at(0));
    let answers = collector.answers(Incarnation(1), 1);
    assert_eq!(answers.len(), 1);
    assert_eq!(answers[0].counts, [count("north", 1)]);
}

#[test]
fn extreme_counts_do_not_overflow() {
    let mut collector = Collector::new("north");
    for run in 1..5 {
        let loads = vec![TargetLoad {
            target: run_of("e0"),
            load: Load {
                running: u32::MAX,
                tokens: u32::MAX,
                reading: u32::MAX,
                pace: Some(f64::NAN),
                silent: u32::MAX,
                queue: None,
            },
        }];
        let reported = Part {
            loads,
            ..part(run, u32::MAX, 0)
        };
        collector.receive_part(reported, REMOTE_IP, at(0));
    }
    collector.update_totals(at(0));
    assert_eq!(boxes(&collector), u32::MAX);
    let others = collector.all_except(Incarnation(9));
    assert!(others.loads[0].load.running < u32::MAX);
    assert_eq!(others.loads[0].load.pace, None);
}

#[test]
fn box_reports_only_targets_with_its_requests() {
    let (mut fleet, keys) = fleet([entry(0, "a", "small", 0..8), entry(1, "a", "small", 8..16)]);
    fleet.begin(&keys[..1], 250.0);
    let report = own_report(Incarnation(9), 4, &fleet, at(0));
    assert_eq!(report.loads.len(), 1);
    assert_eq!(report.loads[0].load.tokens, 250);
}

#[test]
fn waiting_prompts_are_reported_until_prefilled() {
    let (mut fleet, keys) = fleet([entry(0, "a", "small", 0..8), entry(1, "a", "small", 8..16)]);
    fleet.begin_prefill(&keys, 800.0);
    let report = own_report(Incarnation(9), 1, &fleet, at(0));
    let reading: Vec<u32> = report
        .loads
        .iter()
        .map(|reported| reported.load.reading)
        .collect();
    assert_eq!(reading, [400, 400]);
    fleet.end_prefill(&keys, 800.0);
    assert!(
        own_report(Incarnation(9), 2, &fleet, at(0))
            .loads
            .is_empty()
    );
}

/// Guards against each box detecting the same unresponsive target on its own: during one network cut that caused
/// 15,500 of 18,076 log lines.
#[test]
fn target_unresponsive_for_several_boxes_is_avoided_by_all() {
    // Reaching another target of the service shows that the box itself is not cut off.
    let (mut here, keys) = fleet([0, 1].map(|number| entry(number, "a", "small", 0..8)));
    let health = &mut here.get_mut(keys[0]).expect("target exists").health;
    health.mark_dead(at(0), Evidence::Refused);
    let mut collector = Collector::new("north");
    let (mut remote, _) = fleet([entry(0, "a", "small", 0..8)]);
    let mut remote_loads = RemoteLoads::default();
    for run in 1..=2 {
        // A single box may have lost its own link.
        remote_loads.receive(collector.all_except(Incarnation(9)), &mut remote, at(100));
        assert!(!first(&remote).is_reported_unresponsive());
        let reported = own_report(Incarnation(run), 1, &here, at(100));
        collector.receive(reported, ip(run), at(100));
        collector.update_totals(at(100));
    }
    remote_loads.receive(collector.all_except(Incarnation(9)), &mut remote, at(110));
    assert!(first(&remote).is_reported_unresponsive());
    // It expires with the reports.
    remote_loads.remove_expired(&mut remote, at(2_000));
    assert!(!first(&remote).is_reported_unresponsive());
    let health = &mut here.get_mut(keys[0]).expect("target exists").health;
    health.mark_alive(at(2_000));
    let reported = own_report(Incarnation(1), 2, &here, at(2_000));
    assert!(reported.loads.is_empty());
}

#[test]
fn box_that_reaches_no_target_of_a_service_does_not_report_them_as_unresponsive() {
    let (mut fleet, keys) = fleet([0, 1].map(|number| entry(number, "a", "small", 0..8)));
    let reported = |fleet: &Fleet| own_report(Incarnation(1), 1, fleet, at(100)).loads.len();
    let mark = |fleet: &mut Fleet, number: usize| {
        let health = &mut fleet.get_mut(keys[number]).expect("target exists").health;
        health.mark_dead(at(0), Evidence::Refused);
    };
    mark(&mut fleet, 0);
    assert_eq!(reported(&fleet), 1);
    mark(&mut fleet, 1);
    assert_eq!(reported(&fleet), 0);
}

#[test]
fn loads_of_an_earlier_run_under_the_same_id_are_ignored() {
    let mut collector = Collector::new("north");
    for (box_run, (start, running)) in (1..).zip([(1_000, 40), (2_000, 3), (2_000, 4)]) {
        let reported = TargetLoad {
            target: run_entry(start).run(),
            ..load_of("e0", running)
        };
        let report = Report {
            loads: vec![reported],
            ..report(box_run, 1, 0)
        };
        collector.receive(report, ip(box_run), at(0));
    }
    collector.update_totals(at(0));
    let mut fleet = Fleet::default();
    let (key, _) = fleet.upsert(run_entry(2_000), EntrySource::Written, at(0));
    let mut remote_loads = RemoteLoads::default();
    remote_loads.receive(collector.all_except(Incarnation(9)), &mut fleet, at(0));
    let running = |fleet: &Fleet| fleet.get(key).map(|engine| engine.remote_running);
    assert_eq!(running(&fleet), Some(7.0));
    remote_loads.remove_expired(&mut fleet, at(100));
    assert_eq!(running(&fleet), Some(7.0));
}

fn pages(number: u64, targets: usize) -> Vec<ReportPage> {
    let loads = (0..targets).map(|target| load_of(&format!("e{target:03}"), 1));
    let loads: Vec<TargetLoad> = loads.collect();
    let chunks = loads.chunks(30);
    let count = chunks.len() as u32;
    let page = |(index, loads): (usize, &[TargetLoad])| ReportPage {
        run: Incarnation(1),
        number,
        index: index as u32,
        count,
        loads: loads.to_vec(),
    };
    chunks.enumerate().map(page).collect()
}

/// Number of targets with a load that the collector knows from box 1.
fn targets_known(collector: &mut Collector, ms: u64) -> usize {
    collector.update_totals(at(ms));
    let others = collector.all_except(Incarnation(9));
    let busy = others
        .loads
        .iter()
        .filter(|reported| reported.load.running > 0);
    busy.count()
}

#[test]
fn report_with_a_lost_page_leaves_the_previous_report() {
    let mut collector = Collector::new("north");
    for page in pages(1, 100) {
        collector.receive_page(page, ip(1), at(0));
    }
    assert_eq!(targets_known(&mut collector, 0), 100);
    for page in pages(2, 90).into_iter().skip(1) {
        collector.receive_page(page, ip(1), at(200));
    }
    assert_eq!(targets_known(&mut collector, 200), 100);
    for page in pages(3, 80).into_iter().rev() {
        collector.receive_page(page, ip(1), at(400));
    }
    assert_eq!(targets_known(&mut collector, 400), 80);
}

#[test]
fn late_or_corrupt_pages_change_nothing() {
    let mut collector = Collector::new("north");
    let late = pages(1, 100);
    for page in pages(2, 90) {
        collector.receive_page(page, ip(1), at(0));
    }
    let corrupt = [(5, 3), (0, u32::MAX), (0, 0)].map(|(index, count)| ReportPage {
        index,
        count,
        ..pages(3, 1).remove(0)
    });
    for page in late.into_iter().chain(corrupt) {
        collector.receive_page(page, ip(1), at(0));
    }
    assert_eq!(targets_known(&mut collector, 0), 90);
}

/// A fleet with one target that reported `waiting` queued requests to this box at `ms`.
fn fleet_with_queue(waiting: u32, ms: u64) -> Fleet {
    let (mut fleet, keys) = fleet([entry(0, "north", "small", 0..8)]);
    let engine = fleet.get_mut(keys[0]).expect("target exists");
    engine.queues.record(waiting, at(ms));
    fleet
}

fn waiting(fleet: &Fleet, ms: u64) -> Option<u32> {
    let key = fleet.find("e0").expect("target exists");
    fleet
        .get(key)
        .expect("target exists")
        .queues
        .waiting(at(ms))
}

#[test]
fn newest_queue_length_from_any_box_is_shared_until_it_expires() {
    let mut collector = Collector::new("north");
    for (run, fleet) in [
        (1, fleet_with_queue(30, 100)),
        (2, fleet_with_queue(50, 400)),
        (3, fleet_with_queue(9, 200)),
    ] {
        collector.receive(
            own_report(Incarnation(run), 1, &fleet, at(500)),
            ip(run),
            at(500),
        );
    }
    collector.update_totals(at(600));
    let (mut here, _) = fleet([entry(0, "north", "small", 0..8)]);
    let mut remote_loads = RemoteLoads::default();
    remote_loads.receive(collector.all_except(Incarnation(9)), &mut here, at(600));
    assert_eq!(waiting(&here, 600), Some(50));
    remote_loads.remove_expired(&mut here, at(1_300));
    assert_eq!(waiting(&here, 1_300), Some(50));
    remote_loads.remove_expired(&mut here, at(1_450));
    assert_eq!(waiting(&here, 1_450), None);
    let own = own_report(Incarnation(9), 2, &here, at(700));
    assert_eq!(
        own.loads,
        [],
        "queues reported by other boxes are not reported as this box's own"
    );
}
