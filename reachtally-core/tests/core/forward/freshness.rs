//! Tests of the maximum age of the configuration.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::freshness::{Confirmation, ConfirmedBy, FRESHNESS_MARGIN, Freshness};

const BOUND: Duration = Duration::from_secs(5);

fn at(ms: u64) -> Instant {
    Instant::from_elapsed(Duration::from_millis(ms))
}

fn read_at(ms: u64) -> Confirmation {
    Confirmation {
        began: at(ms),
        by: ConfirmedBy::Store,
    }
}

#[test]
fn configuration_is_stale_before_the_first_read() {
    assert!(!Freshness::default().is_fresh(at(0), BOUND));
}

#[test]
fn freshness_counts_from_the_start_of_the_read() {
    let mut freshness = Freshness::default();
    freshness.confirm(read_at(1_000));
    let last = at(6_000) - at(0) - FRESHNESS_MARGIN;
    let last = Instant::from_elapsed(last);
    assert!(freshness.is_fresh(
        Instant::from_elapsed(last.elapsed() - Duration::from_millis(1)),
        BOUND
    ));
    assert!(!freshness.is_fresh(last, BOUND));
}

#[test]
fn late_answer_to_an_older_read_is_ignored() {
    let mut freshness = Freshness::default();
    freshness.confirm(read_at(3_000));
    freshness.confirm(read_at(1_000));
    assert_eq!(freshness.age(at(3_500)), Some(Duration::from_millis(500)));
}
