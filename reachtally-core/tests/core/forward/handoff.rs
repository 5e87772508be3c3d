//! Selection of the box that takes over a request.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::handoff::{Candidate, HandoffPeers};

/// Boxes of the local failure domain, then of another one.
const LOCAL: [u8; 2] = [1, 2];
const REMOTE: [u8; 2] = [3, 4];

fn ip(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

fn candidates() -> Vec<Candidate> {
    let candidate = |number: u8| Candidate {
        ip: ip(number),
        is_local: LOCAL.contains(&number),
    };
    LOCAL.into_iter().chain(REMOTE).map(candidate).collect()
}

fn at(ms: u64) -> Instant {
    Instant::from_elapsed(Duration::from_millis(ms))
}

fn choose(peers: &HandoffPeers, asked: &[IpAddr], now: Instant) -> Option<IpAddr> {
    peers.choose(candidates(), "pool", asked, now)
}

#[test]
fn a_local_box_is_asked_first_and_one_that_serves_the_service_before_all() {
    let service: Arc<str> = "pool".into();
    let mut peers = HandoffPeers::default();
    assert_eq!(choose(&peers, &[], at(0)), Some(ip(1)));
    assert_eq!(choose(&peers, &[ip(1), ip(2)], at(0)), Some(ip(3)));
    peers.record_serves(ip(4), &service, at(0));
    assert_eq!(choose(&peers, &[], at(100)), Some(ip(4)));
    assert_eq!(choose(&peers, &[], at(1000)), Some(ip(1)));
}

#[test]
fn requests_spread_over_the_boxes_that_serve_the_service() {
    let service: Arc<str> = "pool".into();
    let mut peers = HandoffPeers::default();
    for number in LOCAL {
        peers.record_serves(ip(number), &service, at(0));
    }
    let mut counts = [0; 2];
    for _ in 0..10 {
        let chosen = choose(&peers, &[], at(1)).expect("two boxes serve the service");
        peers.begin(chosen);
        counts[usize::from(chosen == ip(2))] += 1;
    }
    assert_eq!(counts, [5, 5]);
    assert_eq!(peers.running(), 10);
    peers.end(ip(1));
    assert_eq!(choose(&peers, &[], at(1)), Some(ip(1)));
}

#[test]
fn a_box_without_targets_for_one_service_is_asked_for_others_and_again_later() {
    let service: Arc<str> = "pool".into();
    let mut peers = HandoffPeers::default();
    for number in LOCAL.into_iter().chain(REMOTE) {
        peers.record_refuses(ip(number), &service, at(0));
    }
    assert_eq!(choose(&peers, &[], at(999)), None);
    assert_eq!(peers.choose(candidates(), "app", &[], at(1)), Some(ip(1)));
    assert_eq!(choose(&peers, &[], at(1000)), Some(ip(1)));
}

#[test]
fn a_box_that_does_not_answer_is_asked_for_nothing_for_a_time() {
    let mut peers = HandoffPeers::default();
    let service: Arc<str> = "pool".into();
    peers.record_serves(ip(1), &service, at(0));
    peers.record_unavailable(ip(1), at(10));
    assert_eq!(choose(&peers, &[], at(11)), Some(ip(2)));
    assert!(!peers.is_served_elsewhere("pool", at(11)));
    peers.remove_expired(at(1010));
    assert_eq!(choose(&peers, &[], at(1010)), Some(ip(1)));
}

#[test]
fn only_a_recent_answer_of_a_box_shows_that_a_service_is_served_elsewhere() {
    let service: Arc<str> = "pool".into();
    let mut peers = HandoffPeers::default();
    assert!(!peers.is_served_elsewhere("pool", at(0)));
    peers.record_serves(ip(1), &service, at(0));
    assert!(peers.is_served_elsewhere("pool", at(2499)));
    assert!(!peers.is_served_elsewhere("pool", at(2500)));
    peers.record_refuses(ip(1), &service, at(2600));
    assert!(!peers.is_served_elsewhere("pool", at(2600)));
}
