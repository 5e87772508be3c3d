//! Tests of rate limits: permits, and how many each collector may issue.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::{EntrySource, Fleet, TargetRun};
use reachtally_core::forward::limit::{
    Allocator, Demand, DemandPart, DemandRate, LimitReport, LimitedTarget, PERMIT_TTL,
    PermitRequest, Permits, RateLimit, ServiceDemand, SharingScope, StatedLimit, apply, changes,
    page,
};
use reachtally_core::forward::select::{Limits, SelectionContext, path};
use reachtally_core::ids::Incarnation;

use super::setup::{NEED, SERVICE, cx, entry, fleet, instance, model};

/// Interval of the permit requests of a box.
const REQUEST_MS: u64 = 200;
/// Interval of refills.
const REFILL_MS: u64 = 50;
/// Length of the window in which arrivals are counted.
const WINDOW_MS: u64 = 4_000;

fn at(ms: u64) -> Instant {
    Instant::from_elapsed(Duration::from_millis(ms))
}

fn run(id: &str) -> TargetRun {
    TargetRun {
        id: id.into(),
        mark: Default::default(),
    }
}

fn limit(per_second: f64) -> RateLimit {
    RateLimit::new(per_second).expect("rate is a number")
}

fn target(id: &str, per_second: f64) -> LimitedTarget {
    LimitedTarget {
        target: run(id),
        service: SERVICE.into(),
        limit: limit(per_second),
    }
}

fn demand(per_second: f64, held: u32) -> Vec<ServiceDemand> {
    vec![ServiceDemand {
        service: SERVICE.into(),
        rate: DemandRate::new(per_second),
        held,
    }]
}

fn request(box_run: u64, number: u64, per_second: f64) -> PermitRequest {
    PermitRequest {
        run: Incarnation(box_run),
        number,
        demands: demand(per_second, 0),
    }
}

const ALONE: SharingScope = SharingScope {
    domains: 1,
    max_share: 1.0,
};

/// Times of the permits that collectors issue for one target, with `boxes` boxes per collector and this demand per
/// box.
fn issued(per_second: f64, collectors: usize, boxes: u64, rate: f64, ms: u64) -> Vec<u64> {
    let targets = [target("t", per_second)];
    let scope = SharingScope {
        domains: collectors,
        max_share: 1.0,
    };
    let mut allocators: Vec<Allocator> = (0..collectors).map(|_| Allocator::default()).collect();
    let mut times = Vec::new();
    for now in (0..ms).step_by(10) {
        if now % REFILL_MS == 0 {
            for allocator in &mut allocators {
                allocator.refill(&targets, scope, at(now));
            }
        }
        if now % REQUEST_MS == 0 {
            exchange(&mut allocators, now);
        }
        for (collector, allocator) in allocators.iter_mut().enumerate() {
            let due = (0..boxes).filter(|each| (each * 10) % REQUEST_MS == now % REQUEST_MS);
            for each in due {
                let run = collector as u64 * boxes + each + 1;
                let answer = allocator.answer(request(run, now + 1, rate), at(now));
                let grants = answer.expect("number is higher than the last").grants;
                let count: u32 = grants.iter().map(|grant| grant.count).sum();
                times.extend(std::iter::repeat_n(now, count as usize));
            }
        }
    }
    times
}

/// Exchanges demand between collectors.
fn exchange(allocators: &mut [Allocator], now: u64) {
    let parts: Vec<DemandPart> = allocators
        .iter()
        .enumerate()
        .map(|(number, allocator)| DemandPart {
            run: Incarnation(1_000_000 + number as u64),
            domain: format!("domain-{number}"),
            demands: allocator.own_demands(),
        })
        .collect();
    for (number, allocator) in allocators.iter_mut().enumerate() {
        let others = parts.iter().enumerate().filter(|(from, _)| *from != number);
        for (_, part) in others {
            allocator.update_peer(part.clone(), at(now));
        }
    }
}

/// Maximum arrivals in a window, given that each permit may be used until it expires.
fn most_in_window(times: &[u64]) -> usize {
    let life = PERMIT_TTL.as_millis() as u64;
    let in_window = |from: u64| {
        let end = from + WINDOW_MS + life;
        times.iter().filter(|at| (from..end).contains(*at)).count()
    };
    times.iter().map(|from| in_window(*from)).max().unwrap_or(0)
}

#[test]
fn permits_stay_within_the_limit_in_any_window_for_any_number_of_boxes() {
    for per_second in [0.3, 2.9, 30.0] {
        for (collectors, boxes) in [(1, 1), (3, 3), (3, 100), (5, 500)] {
            let times = issued(per_second, collectors, boxes, 5.0, 20_000);
            let allowed = (per_second * 4.0 * 1.5 + 5.0) as usize;
            let most = most_in_window(&times);
            assert!(
                most <= allowed,
                "{most} of {allowed}: {per_second} a second, {collectors} collectors of {boxes}"
            );
        }
    }
}

#[test]
fn limit_is_used_up_under_sufficient_demand() {
    for (collectors, boxes) in [(1, 1), (3, 3), (3, 100)] {
        let times = issued(8.0, collectors, boxes, 30.0, 20_000);
        let used = times.len() as f64 / 20.0 / 8.0;
        assert!(used > 0.9, "{used}: {collectors} collectors of {boxes}");
    }
}

#[test]
fn permit_is_unusable_after_its_ttl() {
    let mut permits = Permits::default();
    permits.add(2, at(0));
    assert!(permits.take(at(500)));
    assert!(permits.has(at(999)));
    assert!(!permits.has(at(1_000)));
    assert!(!permits.take(at(1_000)));
}

#[test]
fn duplicate_permit_request_is_answered_once() {
    let mut allocator = Allocator::default();
    let targets = [target("t", 10.0)];
    allocator.refill(&targets, ALONE, at(0));
    allocator.refill(&targets, ALONE, at(1_000));
    assert!(allocator.answer(request(1, 7, 10.0), at(1_000)).is_some());
    assert_eq!(allocator.answer(request(1, 7, 10.0), at(1_000)), None);
    assert_eq!(allocator.answer(request(1, 6, 10.0), at(1_000)), None);
}

#[test]
fn box_gets_no_more_permits_than_its_demand() {
    let mut allocator = Allocator::default();
    let targets: Vec<LimitedTarget> = (0..20).map(|n| target(&format!("t{n}"), 10.0)).collect();
    allocator.refill(&targets, ALONE, at(0));
    allocator.refill(&targets, ALONE, at(1_000));
    let answer = allocator.answer(request(1, 1, 3.0), at(1_000));
    let count: u32 = answer
        .expect("first request of the box")
        .grants
        .iter()
        .map(|grant| grant.count)
        .sum();
    assert_eq!(count, 2);
    let holds_two = PermitRequest {
        demands: demand(3.0, 2),
        ..request(1, 2, 3.0)
    };
    let again = allocator.answer(holds_two, at(1_200));
    assert_eq!(again.expect("number is higher").grants, []);
}

/// Guards against counting used permits as held, which gave each box at most half of its demand.
#[test]
fn box_that_uses_its_permits_gets_its_full_demand() {
    let mut allocator = Allocator::default();
    let targets: Vec<LimitedTarget> = (0..5).map(|n| target(&format!("t{n}"), 3.0)).collect();
    let mut count = 0;
    for number in 1..=100 {
        let now = at(number * REQUEST_MS);
        allocator.refill(&targets, ALONE, now);
        let answer = allocator.answer(request(1, number, 15.0), now);
        let grants = answer.expect("number is higher").grants;
        count += grants.iter().map(|grant| grant.count).sum::<u32>();
    }
    assert!((270..=300).contains(&count), "{count}");
}

#[test]
fn permits_are_issued_only_for_requested_services() {
    let mut allocator = Allocator::default();
    let other = LimitedTarget {
        service: "other".into(),
        ..target("o", 10.0)
    };
    let targets = [other, target("t", 10.0)];
    allocator.refill(&targets, ALONE, at(0));
    allocator.refill(&targets, ALONE, at(1_000));
    let answer = allocator.answer(request(1, 1, 1.0), at(1_000));
    let grants = answer.expect("first request of the box").grants;
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].target, run("t"));
}

#[test]
fn collector_not_known_to_its_peers_issues_only_its_share() {
    let mut allocator = Allocator::default();
    let targets = [target("t", 64.0)];
    let scope = SharingScope {
        domains: 1,
        max_share: 1.0 / 64.0,
    };
    let mut count = 0;
    for number in 1..=100 {
        let now = at(number * REQUEST_MS);
        allocator.refill(&targets, scope, now);
        let answer = allocator.answer(request(1, number, 100.0), now);
        count += answer.expect("number is higher").grants.len();
    }
    assert!((15..=21).contains(&count), "{count}");
}

#[test]
fn silent_domain_keeps_its_share() {
    let mut allocator = Allocator::default();
    let targets = [target("t", 9.0)];
    let scope = SharingScope {
        domains: 3,
        max_share: 1.0,
    };
    let mut count = 0;
    for number in 1..=100 {
        let now = at(number * REQUEST_MS);
        allocator.refill(&targets, scope, now);
        let answer = allocator.answer(request(1, number, 100.0), now);
        let grants = answer.expect("number is higher").grants;
        count += grants.iter().map(|grant| grant.count).sum::<u32>();
    }
    assert!((50..=62).contains(&count), "{count}");
}

#[test]
fn demand_follows_the_request_rate_and_expires() {
    let mut demand = Demand::default();
    for ms in (0..5_000).step_by(100) {
        demand.count(&SERVICE.into(), at(ms));
    }
    let rate = |demands: Vec<ServiceDemand>| demands[0].rate.per_second();
    let mean = rate(demand.services(at(5_000)));
    assert!((9.0..11.0).contains(&mean), "{mean}");
    assert_eq!(demand.services(at(20_000)), []);
}

/// A fleet with two engines for the first layers, the first of which has stated a limit.
fn limited_fleet() -> Fleet {
    let layers = [0..30, 0..30, 30..60, 60..80];
    let entries = layers.into_iter().enumerate();
    let (mut fleet, _) =
        fleet(entries.map(|(number, layers)| entry(number as u16, "a", "large", layers)));
    state(&mut fleet, "e0", Some(4.0), 0);
    fleet
}

fn state(fleet: &mut Fleet, id: &str, per_second: Option<f64>, ms: u64) -> bool {
    let stated = StatedLimit {
        limit: per_second.map(limit),
        at: at(ms),
    };
    let mut is_changed = false;
    fleet.update_notice(&run(id), at(ms), |notice| {
        is_changed = notice.state_limit(stated, at(ms));
    });
    is_changed
}

fn first_engines(fleet: &Fleet, limits: Limits) -> Vec<String> {
    let first = |draw: u64| {
        let cx = SelectionContext {
            draw: draw.wrapping_mul(0x9E37_79B9_7F4A_7C15),
            limits,
            ..cx(&[])
        };
        let found = path(fleet, SERVICE, &model(), NEED, &cx)?;
        let engine = fleet.get(found.path.engines()[0])?;
        Some(engine.entry.id.to_string())
    };
    let mut ids: Vec<String> = (0..100).filter_map(first).collect();
    ids.sort();
    ids.dedup();
    ids
}

#[test]
fn rate_limited_engine_is_chosen_only_with_a_permit() {
    let mut fleet = limited_fleet();
    assert_eq!(first_engines(&fleet, Limits::Enforced), ["e1"]);
    assert_eq!(first_engines(&fleet, Limits::Ignored), ["e0", "e1"]);
    let now = cx(&[]).now;
    fleet.grant(&run("e0"), 1, now);
    assert_eq!(first_engines(&fleet, Limits::Enforced), ["e0", "e1"]);
    let key = fleet.find("e0").expect("target exists");
    assert!(fleet.get_mut(key).expect("target exists").take_permit(now));
    assert_eq!(first_engines(&fleet, Limits::Enforced), ["e1"]);
}

#[test]
fn rate_limited_instance_is_chosen_only_with_a_permit() {
    let (mut fleet, _) = fleet((0..2).map(|number| entry(number, "a", "large", 0..0)));
    state(&mut fleet, "e0", Some(4.0), 0);
    state(&mut fleet, "e1", Some(4.0), 0);
    assert_eq!(instance(&fleet, SERVICE, 10, &cx(&[])), None);
    fleet.grant(&run("e1"), 1, cx(&[]).now);
    assert_eq!(instance(&fleet, SERVICE, 10, &cx(&[])), fleet.find("e1"));
}

#[test]
fn newest_stated_limit_wins_in_any_order_of_arrival() {
    let mut fleet = limited_fleet();
    assert!(state(&mut fleet, "e0", None, 1_000));
    let report = LimitReport {
        target: run("e0"),
        limit: Some(limit(4.0)),
        age: Duration::from_millis(500),
    };
    assert!(!apply(&mut fleet, &report, at(1_200)));
    assert_eq!(fleet.rate_limit_of(&run("e0")), None);
    assert!(apply(&mut fleet, &report, at(1_600)));
    assert_eq!(fleet.rate_limit_of(&run("e0")), Some(limit(4.0)));
}

#[test]
fn limit_changes_are_repeated_and_pages_cover_all_limits() {
    let mut fleet = limited_fleet();
    assert_eq!(changes(&fleet, 10, at(500)).len(), 1);
    assert_eq!(changes(&fleet, 10, at(800)), []);
    state(&mut fleet, "e1", Some(2.0), 900);
    let paged: Vec<LimitReport> = (0..2).flat_map(|n| page(&fleet, n, 1, at(5_000))).collect();
    assert_eq!(paged.len(), 2);
    assert_ne!(paged[0].target, paged[1].target);
    state(&mut fleet, "e0", None, 6_000);
    assert_eq!(page(&fleet, 0, 10, at(7_000)).len(), 2);
    assert_eq!(page(&fleet, 0, 10, at(20_000)).len(), 1);
}

#[test]
fn rate_limit_stays_within_finite_positive_bounds() {
    assert_eq!(RateLimit::new(f64::NAN), None);
    for rate in [0.0, -7.0] {
        let least = limit(rate).per_second();
        assert!(least > 0.0 && least < 1.0);
    }
    assert_eq!(limit(f64::INFINITY).per_second(), f64::MAX);
}

/// Guards against treating a target as removed: a starting box may receive a limit before it reads the list of
/// targets.
#[test]
fn limit_of_an_unknown_run_does_not_mark_it_as_removed() {
    let mut fleet = Fleet::default();
    let report = LimitReport {
        target: run("e0"),
        limit: Some(limit(4.0)),
        age: Duration::ZERO,
    };
    apply(&mut fleet, &report, at(0));
    assert!(!fleet.was_removed(&run("e0")));
    let entry = entry(0, "a", "large", 0..30);
    fleet.upsert(entry, EntrySource::Listed, at(10));
    assert_eq!(fleet.rate_limit_of(&run("e0")), Some(limit(4.0)));
    fleet.remove("e0", at(20));
    apply(&mut fleet, &report, at(30));
    assert!(fleet.was_removed(&run("e0")));
}

#[test]
fn unrequested_targets_of_another_service_do_not_block_permits() {
    let mut allocator = Allocator::default();
    let others = (0..40).map(|n| LimitedTarget {
        service: "other".into(),
        ..target(&format!("o{n}"), 10.0)
    });
    let targets: Vec<LimitedTarget> = others.chain([target("t", 10.0)]).collect();
    allocator.refill(&targets, ALONE, at(0));
    allocator.refill(&targets, ALONE, at(1_000));
    let answer = allocator.answer(request(1, 1, 1.0), at(1_000));
    assert_eq!(answer.expect("first request of the box").grants.len(), 1);
}
