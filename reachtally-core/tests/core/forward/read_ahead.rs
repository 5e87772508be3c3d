//! How far streams are read ahead.

use std::time::Duration;

use reachtally_core::forward::read_ahead::{
    BufferedBytes, ENGINE_STALL_TOLERANCE, EngineStall, MAX_STREAM_BYTES, max_buffered_bytes,
    may_read,
};

/// One caller that does not read would take all of the memory.
#[test]
fn reading_stops_at_the_bound_of_the_stream_and_of_the_box() {
    let most = max_buffered_bytes(8 * 1024 * 1024);
    assert_eq!(most, 1024 * 1024);
    let held = |stream, all| may_read(BufferedBytes { stream, all }, most);
    assert!(held(MAX_STREAM_BYTES - 1, MAX_STREAM_BYTES - 1));
    assert!(!held(MAX_STREAM_BYTES, MAX_STREAM_BYTES));
    assert!(held(1, most - 1));
    assert!(!held(1, most));
}

/// Slow callers would hold up the others.
#[test]
fn a_stream_whose_caller_has_taken_everything_goes_on() {
    let held = BufferedBytes {
        stream: 0,
        all: usize::MAX,
    };
    assert!(may_read(held, 0));
}

/// A stream would be cut where its engine failed, or the engine blamed for a caller that did not read.
#[test]
fn an_engine_was_unread_only_after_a_long_pause_that_was_not_caught_up() {
    let ms = Duration::from_millis;
    let mut held_up = EngineStall::default();
    assert!(!held_up.paused(ms(1)));
    assert!(!held_up.is_behind());
    // A slow caller holds the engine up all the time, but never for long.
    for _ in 0..10 {
        assert!(held_up.paused(ENGINE_STALL_TOLERANCE / 2));
    }
    assert!(held_up.is_behind());
    assert!(!held_up.is_unread());
    held_up.paused(ENGINE_STALL_TOLERANCE);
    // Data that piled up comes with short waits only.
    held_up.waited(ms(20));
    held_up.paused(ms(50));
    assert!(held_up.is_unread());
    for _ in 0..10 {
        held_up.waited(ms(20));
    }
    assert!(!held_up.is_unread());
    assert!(!held_up.is_behind());
}
