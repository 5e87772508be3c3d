//! Tests of eras, which change when the store is restored from a backup.

use std::time::Duration;

use proptest::prelude::*;
use reachtally_core::Instant;
use reachtally_core::forward::era::{Era, EraTracker, Outdated, Position};

fn at(ms: u64) -> Instant {
    Instant::from_elapsed(Duration::from_millis(ms))
}

/// Handles an answer of era `reported` to a call that began at `began` and took 5 ms.
fn answer(eras: &mut EraTracker, reported: u64, began: u64) -> Result<Era, Outdated> {
    eras.era_of_answer(Some(Era(reported)), at(began), at(began + 5))
}

#[test]
fn positions_order_by_era_before_offset() {
    let position = |era, offset| Position {
        era: Era(era),
        offset,
    };
    assert!(position(2, 0) > position(1, u64::MAX));
    assert!(position(2, 7) > position(2, 6));
    assert!(position(0, 0) <= Position::default());
}

#[test]
fn first_known_era_is_not_a_rollback() {
    let mut eras = EraTracker::default();
    assert_eq!(answer(&mut eras, 7, 0), Ok(Era(7)));
    assert_eq!(eras.changed_at(), None);
    assert_eq!(answer(&mut eras, 8, 100), Ok(Era(8)));
    assert_eq!(eras.changed_at(), Some(at(105)));
}

#[test]
fn late_answer_of_an_earlier_era_is_outdated() {
    let mut eras = EraTracker::default();
    assert_eq!(answer(&mut eras, 1, 0), Ok(Era(1)));
    assert_eq!(answer(&mut eras, 2, 100), Ok(Era(2)));
    let late = eras.era_of_answer(Some(Era(1)), at(50), at(300));
    assert_eq!(late, Err(Outdated));
    assert_eq!(eras.held(), Era(2));
}

#[test]
fn answer_without_an_era_belongs_to_the_known_era() {
    let mut eras = EraTracker::default();
    assert_eq!(eras.era_of_answer(None, at(0), at(5)), Ok(Era(0)));
    assert_eq!(answer(&mut eras, 3, 100), Ok(Era(3)));
    assert_eq!(eras.era_of_answer(None, at(200), at(205)), Ok(Era(3)));
}

#[test]
fn falling_era_is_counted_as_one_new_era() {
    let mut eras = EraTracker::default();
    assert_eq!(answer(&mut eras, 7, 0), Ok(Era(7)));
    assert_eq!(answer(&mut eras, 2, 100), Ok(Era(8)));
    for ms in [200, 300] {
        assert_eq!(answer(&mut eras, 2, ms), Ok(Era(8)));
    }
    // Other boxes detect the rollback on their own and report it to each other, which must not raise the era further.
    assert!(eras.update(Era(9), Some(at(400))));
    assert_eq!(answer(&mut eras, 2, 500), Ok(Era(9)));
    assert_eq!(answer(&mut eras, 10, 600), Ok(Era(10)));
}

#[test]
fn rollback_reported_by_another_box_is_recorded() {
    let mut eras = EraTracker::default();
    assert_eq!(answer(&mut eras, 4, 2_000), Ok(Era(4)));
    assert!(!eras.receive_rollback(Era(4), at(1_500)));
    assert!(eras.was_rolled_back_within(Duration::from_secs(1), at(2_400)));
    assert!(!eras.was_rolled_back_within(Duration::from_secs(1), at(2_600)));
}

proptest! {
    /// The held era never falls whatever era answers carry, and each accepted answer is of the held era.
    #[test]
    fn held_era_never_falls(reported in prop::collection::vec((prop::option::of(0u64..5), 0u64..50), 1..40)) {
        let mut eras = EraTracker::default();
        let mut now = 0;
        for (reported, back) in reported {
            let before = eras.held();
            now += 20;
            let began = at(now - back.min(now));
            let of = eras.era_of_answer(reported.map(Era), began, at(now));
            prop_assert!(eras.held() >= before);
            prop_assert!(of.is_err() || of == Ok(eras.held()));
        }
    }
}
