//! Tests of the table of targets and their assumed state.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::{Entry, EntrySource, Evidence, Fleet, StartTime};

use super::setup::{entry, fleet, run_entry};

fn at(ms: u64) -> Instant {
    Instant::from_elapsed(Duration::from_millis(ms))
}

/// An entry, and one of a later run with the same address.
fn two_runs_at_one_address() -> (Entry, Entry) {
    let first = entry(0, "a", "small", 0..8);
    let second = Entry {
        id: "next".into(),
        ..first.clone()
    };
    (first, second)
}

#[test]
fn draining_target_never_takes_work_again() {
    let mut fleet = Fleet::default();
    let ready = entry(0, "a", "small", 0..8);
    let leaving = Entry {
        draining: true,
        ..ready.clone()
    };
    let (key, _) = fleet.upsert(leaving, EntrySource::Written, at(0));
    fleet.upsert(ready, EntrySource::Written, at(10));
    assert!(fleet.get(key).expect("target exists").entry.draining);
}

#[test]
fn heartbeat_in_flight_does_not_have_a_dead_target_probed() {
    let mut fleet = Fleet::default();
    let (key, _) = fleet.upsert(entry(0, "a", "small", 0..8), EntrySource::Written, at(0));
    fleet
        .get_mut(key)
        .expect("target exists")
        .health
        .mark_dead(at(1_000), Evidence::Refused);
    let health = &mut fleet.get_mut(key).expect("target exists").health;
    health.probe_failed(at(1_400), Evidence::Refused);
    let next_probe = health.probe_at();
    for (written_at, probe_at) in [(at(1_500), next_probe), (at(2_400), at(2_400))] {
        fleet.upsert(
            entry(0, "a", "small", 0..8),
            EntrySource::Written,
            written_at,
        );
        let health = &fleet.get(key).expect("target exists").health;
        assert_eq!(health.probe_at(), probe_at);
        assert!(health.is_dead());
    }
}

#[test]
fn consecutive_failures_double_the_cooldown_up_to_a_bound() {
    let mut fleet = Fleet::default();
    let (key, _) = fleet.upsert(entry(0, "a", "small", 0..8), EntrySource::Written, at(0));
    let mut now = at(0);
    let mut cooldowns = Vec::new();
    for _ in 0..7 {
        fleet.record_failure(key, now);
        let until = fleet
            .get(key)
            .and_then(|engine| engine.health.cooldown_until);
        let until = until.expect("the target is cooling down");
        cooldowns.push(until.since(now).as_millis());
        now = until;
    }
    assert_eq!(cooldowns, [500, 1000, 2000, 4000, 8000, 8000, 8000]);
}

#[test]
fn full_target_cools_down_briefly_and_without_doubling() {
    let mut fleet = Fleet::default();
    let (key, _) = fleet.upsert(entry(0, "a", "small", 0..8), EntrySource::Written, at(0));
    for start in [0, 1_000, 2_000, 3_000] {
        let engine = fleet.get_mut(key).expect("target exists");
        engine.health.refused(at(start));
        assert!(engine.health.is_cooling_down(at(start + 100)));
        assert!(!engine.health.is_cooling_down(at(start + 200)));
    }
}

#[test]
fn reused_address_resolves_to_the_later_run() {
    let mut fleet = Fleet::default();
    let (first, second) = two_runs_at_one_address();
    fleet.upsert(first.clone(), EntrySource::Written, at(0));
    let (key, _) = fleet.upsert(second, EntrySource::Written, at(1));
    fleet.remove(&first.id, Instant::ZERO);
    assert_eq!(fleet.at(first.address), Some(key));
}

#[test]
fn entries_missing_after_an_outage_are_dropped_only_after_a_delay() {
    let mut fleet = Fleet::default();
    let (key, _) = fleet.upsert(entry(0, "a", "small", 0..8), EntrySource::Written, at(0));
    fleet.mark_missing("e0", at(100));
    let patience = Duration::from_millis(1500);
    assert!(fleet.missing(at(1_000), patience).is_empty());
    assert_eq!(fleet.missing(at(1_600), patience), vec!["e0".into()]);
    fleet.upsert(
        entry(0, "a", "small", 0..8),
        EntrySource::Written,
        at(1_650),
    );
    assert!(fleet.missing(at(9_000), patience).is_empty());
    assert!(fleet.get(key).is_some());
}

#[test]
fn entry_of_a_target_out_of_reach_of_this_box_does_not_revive_it_but_has_it_probed() {
    let mut fleet = Fleet::default();
    let (key, _) = fleet.upsert(entry(0, "a", "small", 0..8), EntrySource::Written, at(0));
    let health = &mut fleet.get_mut(key).expect("target exists").health;
    health.mark_dead(at(100), Evidence::Refused);
    for probed_at in [700, 1_900, 4_000] {
        health.probe_failed(at(probed_at), Evidence::Refused);
    }
    fleet.upsert(entry(0, "a", "small", 0..8), EntrySource::Listed, at(4_000));
    assert!(fleet.due_for_probe(at(4_100), 1).is_empty());
    fleet.upsert(
        entry(0, "a", "small", 0..8),
        EntrySource::Written,
        at(4_100),
    );
    assert!(fleet.get(key).expect("target exists").health.is_dead());
    assert_eq!(fleet.due_for_probe(at(4_100), 1), [key]);
    let health = &mut fleet.get_mut(key).expect("target exists").health;
    health.mark_alive(at(4_100));
    assert!(!health.is_dead());
}

#[test]
fn run_that_lost_its_address_is_neither_used_nor_probed() {
    let mut fleet = Fleet::default();
    let (first, second) = two_runs_at_one_address();
    let (old, _) = fleet.upsert(first, EntrySource::Written, at(0));
    let (new, _) = fleet.upsert(second, EntrySource::Written, at(10));
    assert!(fleet.get(old).expect("target exists").health.is_dead());
    assert!(!fleet.get(new).expect("target exists").health.is_dead());
    assert!(fleet.dead().is_empty());
}

#[test]
fn target_that_contradicts_its_entry_is_unused_until_the_entry_changes() {
    let mut fleet = Fleet::default();
    let (key, _) = fleet.upsert(entry(0, "a", "small", 0..8), EntrySource::Written, at(0));
    let is_contradicted = |fleet: &Fleet, ms| {
        let engine = fleet.get(key).expect("target exists");
        engine.health.is_contradicted(at(ms))
    };
    let health = &mut fleet.get_mut(key).expect("target exists").health;
    health.mark_contradicted(at(100));
    // The contradicted entry, unchanged, clears nothing.
    fleet.upsert(
        entry(0, "a", "small", 0..8),
        EntrySource::Written,
        at(1_000),
    );
    assert!(is_contradicted(&fleet, 1_001));
    fleet.upsert(
        entry(0, "a", "small", 2..9),
        EntrySource::Written,
        at(2_000),
    );
    assert!(!is_contradicted(&fleet, 2_001));
}

#[test]
fn restart_under_the_same_id_clears_state_of_the_earlier_run() {
    let mut fleet = Fleet::default();
    let leaving = Entry {
        draining: true,
        ..run_entry(1_000)
    };
    let (before, _) = fleet.upsert(leaving, EntrySource::Written, at(0));
    fleet.begin(&[before], 700.0);
    fleet.begin_prefill(&[before], 500.0);
    let engine = fleet.get_mut(before).expect("target exists");
    engine.record_slowdown(8.0, at(0));
    engine.remote_unresponsive = 5;
    engine.health.mark_dead(at(10), Evidence::Refused);
    engine.health.mark_contradicted(at(10));
    fleet.record_failure(before, at(10));
    let empty = Entry {
        layers: 0..0,
        ..run_entry(2_000)
    };
    let (after, is_changed) = fleet.upsert(empty, EntrySource::Listed, at(20));
    assert!(is_changed && after != before);
    assert!(fleet.get(before).is_none());
    assert_eq!(fleet.find("e0"), Some(after));
    let engine = fleet.get(after).expect("target exists");
    assert!(!engine.entry.draining && engine.entry.layers.is_empty());
    assert_eq!(
        (engine.running, engine.tokens, engine.reading),
        (0, 0.0, 0.0)
    );
    assert_eq!(engine.slowdown(at(20)), 1.0);
    let health = &engine.health;
    assert!(
        !health.is_dead() && !health.is_cooling_down(at(20)) && !health.is_contradicted(at(20))
    );
    assert!(!engine.is_reported_unresponsive());
    // Requests that end now ran on the earlier run.
    fleet.end_prefill(&[before], 500.0);
    fleet.end(&[before], 700.0);
    fleet.record_failure(before, at(30));
    assert!(
        !fleet
            .get(after)
            .expect("target exists")
            .health
            .is_cooling_down(at(30))
    );
}

#[test]
fn late_entry_of_an_earlier_run_changes_nothing() {
    let mut fleet = Fleet::default();
    let (key, _) = fleet.upsert(run_entry(2_000), EntrySource::Written, at(0));
    for evidence in [EntrySource::Written, EntrySource::Listed] {
        let late = Entry {
            layers: 3..9,
            ..run_entry(1_000)
        };
        assert_eq!(fleet.upsert(late, evidence, at(3_000)), (key, false));
    }
    assert_eq!(
        fleet.get(key).expect("target exists").entry,
        run_entry(2_000)
    );
}

#[test]
fn entry_with_a_future_start_does_not_lock_out_the_live_run() {
    let mut fleet = Fleet::default();
    fleet.upsert(run_entry(1_000), EntrySource::Written, at(0));
    let (ahead, _) = fleet.upsert(run_entry(90_000), EntrySource::Written, at(500));
    fleet.upsert(run_entry(1_000), EntrySource::Written, at(1_200));
    assert!(fleet.get(ahead).is_some());
    fleet.upsert(run_entry(1_000), EntrySource::Written, at(4_800));
    let key = fleet.find("e0").expect("target exists");
    assert_eq!(
        fleet.get(key).expect("target exists").entry,
        run_entry(1_000)
    );
}

#[test]
fn entry_without_a_start_updates_the_known_run() {
    let mut fleet = Fleet::default();
    let (key, _) = fleet.upsert(run_entry(2_000), EntrySource::Written, at(0));
    let update = entry(0, "a", "small", 2..9);
    assert_eq!(
        fleet.upsert(update, EntrySource::Written, at(10)),
        (key, true)
    );
    let held = &fleet.get(key).expect("target exists").entry;
    assert_eq!(
        (held.born, held.layers.clone()),
        (Some(StartTime(2_000)), 2..9)
    );
}

#[test]
fn moved_target_is_found_at_its_new_address_only() {
    let mut fleet = Fleet::default();
    let first = entry(0, "a", "small", 0..8);
    let moved = Entry {
        address: ([10, 9, 9, 9], 80).into(),
        ..first.clone()
    };
    let (key, _) = fleet.upsert(first.clone(), EntrySource::Written, at(0));
    fleet.upsert(moved.clone(), EntrySource::Written, at(10));
    assert_eq!(fleet.at(moved.address), Some(key));
    assert_eq!(fleet.at(first.address), None);
    // Another target takes over the former address.
    let other = Entry {
        id: "other".into(),
        ..first
    };
    fleet.upsert(other, EntrySource::Written, at(20));
    assert!(!fleet.get(key).expect("target exists").health.is_dead());
}

#[test]
fn target_that_keeps_writing_regains_an_address_claimed_by_another() {
    let mut fleet = Fleet::default();
    let (first, second) = two_runs_at_one_address();
    let (key, _) = fleet.upsert(first.clone(), EntrySource::Written, at(0));
    fleet.upsert(second, EntrySource::Written, at(10));
    let is_dead = |fleet: &Fleet| fleet.get(key).expect("target exists").health.is_dead();
    // A heartbeat that was already in flight proves nothing.
    assert_eq!(
        fleet.upsert(first.clone(), EntrySource::Written, at(900)),
        (key, false)
    );
    assert!(is_dead(&fleet));
    assert_eq!(
        fleet.upsert(first.clone(), EntrySource::Written, at(2_100)),
        (key, true)
    );
    assert!(!is_dead(&fleet));
    assert_eq!(fleet.at(first.address), Some(key));
}

/// Guards against delayed writes of an earlier run. A run crashed behind a network cut and restarted there under
/// another id; once the cut healed, the writes of the earlier run arrived late.
#[test]
fn late_entry_of_an_earlier_run_does_not_take_the_address_of_the_later_one() {
    for evidence in [EntrySource::Written, EntrySource::Listed] {
        let mut fleet = Fleet::default();
        let later = Entry {
            id: "later".into(),
            ..run_entry(2_000)
        };
        let (new, _) = fleet.upsert(later.clone(), EntrySource::Written, at(0));
        let (old, _) = fleet.upsert(run_entry(1_000), evidence, at(10));
        let is_dead = |fleet: &Fleet, key| fleet.get(key).expect("target exists").health.is_dead();
        assert!(is_dead(&fleet, old) && !is_dead(&fleet, new));
        assert_eq!(fleet.at(later.address), Some(new));
        assert!(fleet.dead().is_empty());
        // Nor do repeated writes.
        for ms in [1_500, 3_000, 4_500] {
            assert_eq!(
                fleet.upsert(run_entry(1_000), evidence, at(ms)),
                (old, false)
            );
            assert!(is_dead(&fleet, old) && !is_dead(&fleet, new));
        }
    }
}

#[test]
fn a_silent_target_has_not_ended_however_long_it_is_silent() {
    let (mut fleet, keys) = fleet([entry(0, "north", "small", 0..8)]);
    let engine = fleet.get_mut(keys[0]).expect("the target was added");
    engine.health.mark_dead(at(1_000), Evidence::Silent);
    for (probed_at, is_long) in [(1_600, false), (2_800, false), (5_200, true)] {
        engine.health.probe_failed(at(probed_at), Evidence::Silent);
        // Time that passes without a probe shows nothing.
        assert_eq!(engine.is_silent_for_long(at(probed_at + 10_000)), is_long);
        assert!(!engine.has_ended());
    }
}

#[test]
fn a_target_that_refuses_connections_has_ended_unless_it_responds_later() {
    let (mut fleet, keys) = fleet([entry(0, "north", "small", 0..8)]);
    let engine = fleet.get_mut(keys[0]).expect("the target was added");
    engine.responded_at = Some(at(900));
    engine.health.mark_dead(at(1_000), Evidence::Silent);
    assert!(!engine.has_ended());
    engine.health.mark_dead(at(1_010), Evidence::Refused);
    assert!(engine.has_ended());
    engine.responded_at = Some(at(1_100));
    assert!(!engine.has_ended());
}
