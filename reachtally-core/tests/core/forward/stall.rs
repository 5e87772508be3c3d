//! Which engines have stopped making progress.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::stall::{EventGaps, MIN_SILENCE, Progress};

use super::setup::{entry, fleet};

fn at(ms: u64) -> Instant {
    Instant::from_elapsed(Duration::from_millis(ms))
}

#[test]
fn an_engine_that_serves_another_stream_is_not_silent() {
    let (_, keys) = fleet((0..3).map(|n| entry(n, "a", "small", 0..8)));
    let mut progress = Progress::default();
    progress.note(&keys[0..2], at(100));
    progress.note(&keys[1..3], at(300));
    assert_eq!(progress.silent_since(&keys, at(200)), vec![keys[0]]);
    assert!(progress.silent_since(&keys, at(50)).is_empty());
}

#[test]
fn an_engine_without_any_event_is_silent() {
    let (_, keys) = fleet([entry(0, "a", "small", 0..8)]);
    assert_eq!(Progress::default().silent_since(&keys, at(0)), keys);
}

fn after(gap: u64, noted: &[u64]) -> Duration {
    let mut gaps = EventGaps::expected(Duration::from_millis(gap));
    for ms in noted {
        gaps.note(Duration::from_millis(*ms));
    }
    gaps.silence_timeout()
}

#[test]
fn a_stream_is_overdue_by_its_own_pace_but_never_at_once() {
    assert_eq!(after(1, &[]), MIN_SILENCE);
    assert_eq!(after(100, &[]), Duration::from_millis(200));
}

/// Callers allow pauses from 200 ms on, of which a question to a dead engine takes 80 and the prompt that is read
/// again some 30 to 40. With four gaps this gap alone took 160.
#[test]
fn a_steady_stream_on_a_slow_chain_is_overdue_while_it_can_still_go_on_in_time() {
    let steady = after(40, &[38, 42, 40, 41, 39, 40, 42, 38, 40, 40, 41, 39]);
    assert!(steady <= Duration::from_millis(85), "{steady:?}");
}

/// With two gaps connections that only ask cost twice as much where gaps come unevenly.
#[test]
fn a_stream_whose_events_come_unevenly_is_given_more_time_but_no_more_than_four_gaps() {
    let uneven = after(40, &[20, 70, 15, 80, 25, 60, 20, 65, 30, 70, 20, 60]);
    assert!(uneven >= Duration::from_millis(100), "{uneven:?}");
    let wild = after(40, &[0, 400, 0, 0, 0, 0, 0]);
    assert!(wild <= Duration::from_millis(400), "{wild:?}");
}

/// A stream alone waits longer than all streams over an engine together.
#[test]
fn the_silence_of_all_streams_counts_before_that_of_one() {
    for gap_ms in [5, 45, 80, 400] {
        let gaps = EventGaps::expected(Duration::from_millis(gap_ms));
        assert!(gaps.shared_silence_timeout() <= gaps.silence_timeout());
        assert!(gaps.shared_silence_timeout() >= MIN_SILENCE);
        assert!(gaps.shared_silence_timeout() >= Duration::from_millis(gap_ms * 3 / 2));
    }
}
