//! What other boxes have on the targets.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::Fleet;
use reachtally_core::forward::peers::{PeerLoad, PeerReport, Peers, own_report};
use reachtally_core::ids::Incarnation;

use super::setup::{entry, fleet};

fn at(ms: u64) -> Instant {
    Instant::from_elapsed(Duration::from_millis(ms))
}

fn report(run: u64, number: u64, running: u32) -> PeerReport {
    PeerReport {
        run: Incarnation(run),
        number,
        loads: vec![PeerLoad {
            pace: None,
            target: "e0".into(),
            running,
            tokens: running * 100,
        }],
    }
}

#[test]
fn a_slow_target_is_told_of_and_looks_as_slow_to_others() {
    let (mut here, keys) = fleet([entry(0, "a", "small", 0..8)]);
    let told = own_report(Incarnation(9), 1, &here, at(0));
    assert!(told.loads.is_empty());
    here.get_mut(keys[0])
        .expect("it is known")
        .told_pace(3.0, at(0));
    let told = own_report(Incarnation(9), 2, &here, at(100));
    let (mut there, keys) = fleet([entry(0, "a", "small", 0..8)]);
    let mut peers = Peers::default();
    peers.hear(told, at(100));
    peers.sum_up(&mut there, at(110));
    let slowness = |fleet: &Fleet, ms| {
        let engine = fleet.get(keys[0]).expect("it is known");
        engine.slowness(at(ms))
    };
    assert_eq!(slowness(&there, 120), 3.0);
    // What it was told is forgotten, here by time and there with the report.
    assert!(
        own_report(Incarnation(9), 3, &here, at(3_000))
            .loads
            .is_empty()
    );
    peers.sum_up(&mut there, at(3_000));
    assert_eq!(slowness(&there, 3_000), 1.0);
}

#[test]
fn loads_of_all_boxes_add_up_and_a_newer_report_replaces_an_older() {
    let (mut fleet, keys) = fleet([entry(0, "a", "small", 0..8)]);
    let mut peers = Peers::default();
    peers.hear(report(1, 1, 5), at(0));
    peers.hear(report(2, 1, 7), at(0));
    peers.hear(report(1, 2, 6), at(200));
    peers.hear(report(1, 1, 50), at(210));
    peers.sum_up(&mut fleet, at(220));
    let engine = fleet.get(keys[0]).expect("it is known");
    assert_eq!(engine.running_elsewhere, 13.0);
    assert_eq!(engine.tokens_elsewhere, 1300.0);
}

#[test]
fn a_silent_box_is_taken_to_have_nothing() {
    let (mut fleet, keys) = fleet([entry(0, "a", "small", 0..8)]);
    let mut peers = Peers::default();
    peers.hear(report(1, 1, 5), at(0));
    peers.sum_up(&mut fleet, at(2_000));
    assert_eq!(
        fleet.get(keys[0]).expect("it is known").running_elsewhere,
        0.0
    );
}

#[test]
fn boxes_that_were_not_heard_count_like_the_heard_ones() {
    let mut peers = Peers::default();
    assert_eq!(peers.unheard(1), 1.0);
    peers.hear(report(1, 1, 5), at(0));
    peers.hear(report(2, 1, 5), at(0));
    assert_eq!(peers.unheard(3), 1.0);
    assert_eq!(peers.unheard(7), 3.0);
}

#[test]
fn a_box_tells_of_targets_on_which_it_has_requests() {
    let (mut fleet, keys) = fleet([entry(0, "a", "small", 0..8), entry(1, "a", "small", 8..16)]);
    fleet.begin(&keys[..1], 250.0);
    let report = own_report(Incarnation(9), 4, &fleet, at(0));
    assert_eq!(report.loads.len(), 1);
    assert_eq!(report.loads[0].tokens, 250);
}
