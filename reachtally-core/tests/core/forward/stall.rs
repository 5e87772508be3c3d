//! Tests of the detection of engines that make no progress.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::stall::{EventGaps, MIN_SILENCE, Progress};

use super::setup::{entry, fleet};

fn at(ms: u64) -> Instant {
    Instant::from_elapsed(Duration::from_millis(ms))
}

#[test]
fn engine_that_serves_another_stream_is_not_silent() {
    let (_, keys) = fleet((0..3).map(|n| entry(n, "a", "small", 0..8)));
    let mut progress = Progress::default();
    progress.note(&keys[0..2], at(100));
    progress.note(&keys[1..3], at(300));
    assert_eq!(progress.silent_since(&keys, at(200)), vec![keys[0]]);
    assert!(progress.silent_since(&keys, at(50)).is_empty());
}

#[test]
fn engine_without_any_event_is_silent() {
    let (_, keys) = fleet([entry(0, "a", "small", 0..8)]);
    assert_eq!(Progress::default().silent_since(&keys, at(0)), keys);
}

fn silence_timeout_after(gap: u64, noted: &[u64]) -> Duration {
    let mut gaps = EventGaps::expected(Duration::from_millis(gap));
    for ms in noted {
        gaps.note(Duration::from_millis(*ms));
    }
    gaps.silence_timeout()
}

#[test]
fn silence_timeout_follows_the_gap_but_has_a_minimum() {
    assert_eq!(silence_timeout_after(1, &[]), MIN_SILENCE);
    assert_eq!(silence_timeout_after(100, &[]), Duration::from_millis(200));
}

/// Callers tolerate pauses of 200 ms or more, of which probing a dead engine takes 80 ms and prefilling the prompt
/// again some 30 to 40 ms. With a timeout of four gaps, the gap alone took 160 ms.
#[test]
fn steady_stream_times_out_early_enough_to_resume_in_time() {
    let steady = silence_timeout_after(40, &[38, 42, 40, 41, 39, 40, 42, 38, 40, 40, 41, 39]);
    assert!(steady <= Duration::from_millis(85), "{steady:?}");
}

/// With a timeout of two gaps, connections opened only to probe cost twice as much on streams with uneven gaps.
#[test]
fn uneven_stream_gets_a_longer_timeout_of_at_most_four_gaps() {
    let uneven = silence_timeout_after(40, &[20, 70, 15, 80, 25, 60, 20, 65, 30, 70, 20, 60]);
    assert!(uneven >= Duration::from_millis(100), "{uneven:?}");
    let extreme = silence_timeout_after(40, &[0, 400, 0, 0, 0, 0, 0]);
    assert!(extreme <= Duration::from_millis(400), "{extreme:?}");
}

/// A single stream has a longer timeout than all streams over an engine together.
#[test]
fn shared_silence_times_out_before_that_of_a_single_stream() {
    for gap_ms in [5, 45, 80, 400] {
        let gaps = EventGaps::expected(Duration::from_millis(gap_ms));
        assert!(gaps.shared_silence_timeout() <= gaps.silence_timeout());
        assert!(gaps.shared_silence_timeout() >= MIN_SILENCE);
        assert!(gaps.shared_silence_timeout() >= Duration::from_millis(gap_ms * 3 / 2));
    }
}
