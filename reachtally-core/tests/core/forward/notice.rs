//! What runs of targets ask of this box, and how long it holds.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::{EngineKey, Entry, EntrySource, Fleet, TargetRun};
use reachtally_core::forward::select::{
    NoPathReasons, SelectionContext, earliest_after_back_off, no_path_reasons, path,
};

use super::setup::{NEED, SERVICE, cx, entry, fleet, instance, model, run_entry};

fn at(ms: u64) -> Instant {
    Instant::from_elapsed(Duration::from_millis(ms))
}

/// Let a run ask for rest until `until`, at time 0.
fn ask_for_rest(fleet: &mut Fleet, run: &TargetRun, until: Instant) {
    fleet.update_notice(run, Instant::ZERO, |notice| notice.back_off(until));
}

fn rests(fleet: &Fleet, id: &str, now: Instant) -> bool {
    let key = fleet.find(id).expect("it has a row");
    let engine = fleet.get(key).expect("it has a row");
    engine.notice.is_backing_off(now)
}

/// A fleet with one run that wants rest until 9 s.
fn tired(entry: &Entry) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.upsert(entry.clone(), EntrySource::Written, at(0));
    ask_for_rest(&mut fleet, &entry.run(), at(9_000));
    fleet
}

#[test]
fn a_shorter_time_asked_for_later_takes_nothing_back() {
    let entry = run_entry(1_000);
    let mut fleet = tired(&entry);
    ask_for_rest(&mut fleet, &entry.run(), at(2_000));
    assert!(rests(&fleet, "e0", at(8_999)));
    assert!(!rests(&fleet, "e0", at(9_000)));
}

#[test]
fn rest_outlives_the_row_and_all_that_becomes_of_it() {
    let told = run_entry(1_000);
    let moved = Entry {
        address: ([10, 0, 0, 9], 9).into(),
        ..told.clone()
    };
    let untold = Entry {
        born: None,
        ..told.clone()
    };
    for back in [&told, &moved, &untold] {
        for evidence in [EntrySource::Written, EntrySource::Listed] {
            let mut fleet = tired(&told);
            fleet.remove("e0", at(1_000));
            fleet.upsert(back.clone(), evidence, at(2_000));
            assert!(rests(&fleet, "e0", at(3_000)));
            // A second time, and while it is missing or changes its entry.
            fleet.remove("e0", at(4_000));
            fleet.upsert(back.clone(), evidence, at(5_000));
            fleet.mark_missing("e0", at(5_000));
            let changed = Entry {
                layers: 3..9,
                ..back.clone()
            };
            fleet.upsert(changed, evidence, at(6_000));
            assert!(rests(&fleet, "e0", at(8_000)));
        }
    }
}

#[test]
fn what_is_asked_while_the_row_is_gone_holds_when_it_is_back() {
    let entry = run_entry(1_000);
    let mut fleet = Fleet::default();
    ask_for_rest(&mut fleet, &entry.run(), at(9_000));
    fleet.upsert(entry, EntrySource::Written, at(1_000));
    assert!(rests(&fleet, "e0", at(2_000)));
}

#[test]
fn a_later_run_owes_nothing_to_the_earlier_one() {
    let mut fleet = tired(&run_entry(1_000));
    fleet.upsert(run_entry(2_000), EntrySource::Written, at(1_000));
    assert!(!rests(&fleet, "e0", at(1_000)));
    // What the earlier one asked for, in an answer that comes now.
    ask_for_rest(&mut fleet, &run_entry(1_000).run(), at(9_000));
    assert!(!rests(&fleet, "e0", at(1_000)));
    // After its row went, too.
    fleet.remove("e0", at(2_000));
    fleet.upsert(run_entry(3_000), EntrySource::Written, at(3_000));
    assert!(!rests(&fleet, "e0", at(3_000)));
}

#[test]
fn notices_without_rows_stay_bounded_and_the_longest_times_hold() {
    let mut fleet = Fleet::default();
    let run = |number: u64| TargetRun {
        id: format!("e{number}").into(),
        mark: run_entry(1_000).run().mark,
    };
    for number in 0..5_000 {
        ask_for_rest(&mut fleet, &run(number), at(1_000 + number));
    }
    for (number, holds) in [(0, false), (4_999, true)] {
        let entry = Entry {
            id: run(number).id,
            ..run_entry(1_000)
        };
        fleet.upsert(entry, EntrySource::Written, at(0));
        assert_eq!(rests(&fleet, &format!("e{number}"), at(500)), holds);
    }
}

#[test]
fn no_request_begins_at_an_engine_that_wants_rest_also_where_nothing_else_is_left() {
    let (mut fleet, keys) = fleet([
        entry(0, "a", "large", 0..40),
        entry(1, "a", "large", 40..80),
    ]);
    let first = |fleet: &Fleet, now| -> Option<EngineKey> {
        let cx = SelectionContext { now, ..cx(&[]) };
        let choice = path(fleet, SERVICE, &model(), NEED, &cx)?;
        Some(choice.path.engines()[0])
    };
    assert_eq!(first(&fleet, at(1_000)), Some(keys[0]));
    ask_for_rest(&mut fleet, &entry(0, "a", "large", 0..40).run(), at(9_000));
    assert_eq!(first(&fleet, at(1_000)), None);
    assert_eq!(first(&fleet, at(9_000)), Some(keys[0]));
    // The one behind gets its work from the first engine.
    ask_for_rest(
        &mut fleet,
        &entry(1, "a", "large", 40..80).run(),
        at(20_000),
    );
    assert_eq!(first(&fleet, at(9_000)), Some(keys[0]));
}

#[test]
fn an_instance_that_wants_rest_is_not_the_last_resort() {
    let (mut fleet, keys) = fleet([entry(0, "a", "small", 0..8)]);
    let chosen =
        |fleet: &Fleet, now| instance(fleet, SERVICE, 10, &SelectionContext { now, ..cx(&[]) });
    ask_for_rest(&mut fleet, &entry(0, "a", "small", 0..8).run(), at(9_000));
    assert_eq!(chosen(&fleet, at(1_000)), None);
    assert_eq!(chosen(&fleet, at(9_000)), Some(keys[0]));
}

#[test]
fn the_end_of_the_rest_that_is_waited_for_is_the_first_that_serves() {
    let (mut fleet, _) = fleet([
        entry(0, "a", "large", 0..40),
        entry(1, "a", "large", 40..80),
        entry(2, "a", "large", 0..40),
    ]);
    let serves = |now| now >= at(7_000);
    let back = |fleet: &Fleet| earliest_after_back_off(fleet, SERVICE, at(0), serves);
    assert_eq!(back(&fleet), None);
    ask_for_rest(&mut fleet, &entry(0, "a", "large", 0..40).run(), at(5_000));
    assert_eq!(back(&fleet), None);
    ask_for_rest(&mut fleet, &entry(2, "a", "large", 0..40).run(), at(8_000));
    assert_eq!(back(&fleet), Some(at(8_000)));
    // Where it can be served at once, rest is not the reason.
    assert_eq!(
        earliest_after_back_off(&fleet, SERVICE, at(0), |_| true),
        None
    );
}

#[test]
fn a_path_that_lacks_only_engines_that_rest_is_told_apart_from_one_without_room() {
    let (mut fleet, _) = fleet([
        entry(0, "a", "large", 0..40),
        entry(1, "a", "large", 40..80),
    ]);
    ask_for_rest(&mut fleet, &entry(0, "a", "large", 0..40).run(), at(9_000));
    let found = no_path_reasons(&fleet, SERVICE, &model(), NEED, &cx(&[]));
    let resting = NoPathReasons {
        backing_off: 1,
        ..NoPathReasons::default()
    };
    assert_eq!(found, resting);
}
