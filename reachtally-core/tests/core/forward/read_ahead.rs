//! Tests of the bound on buffered stream data.

use std::time::Duration;

use reachtally_core::forward::read_ahead::{
    BufferedBytes, ENGINE_STALL_TOLERANCE, EngineStall, MAX_STREAM_BYTES, max_buffered_bytes,
    may_read,
};

/// Guards against a single caller that does not read and takes all of the memory.
#[test]
fn reading_stops_at_the_limits_of_the_stream_and_of_the_box() {
    let most = max_buffered_bytes(8 * 1024 * 1024);
    assert_eq!(most, 1024 * 1024);
    let held = |stream, all| may_read(BufferedBytes { stream, all }, most);
    assert!(held(MAX_STREAM_BYTES - 1, MAX_STREAM_BYTES - 1));
    assert!(!held(MAX_STREAM_BYTES, MAX_STREAM_BYTES));
    assert!(held(1, most - 1));
    assert!(!held(1, most));
}

/// Guards against slow callers that block the streams of others.
#[test]
fn stream_without_buffered_data_may_always_read() {
    let held = BufferedBytes {
        stream: 0,
        all: usize::MAX,
    };
    assert!(may_read(held, 0));
}

/// Guards against cutting a stream whose engine failed, and against blaming an engine for a caller that did not read.
#[test]
fn engine_counts_as_unread_only_after_a_long_stall_not_caught_up() {
    let ms = Duration::from_millis;
    let mut stall = EngineStall::default();
    assert!(!stall.paused(ms(1)));
    assert!(!stall.is_behind());
    // A slow caller stalls the engine repeatedly, but never for long.
    for _ in 0..10 {
        assert!(stall.paused(ENGINE_STALL_TOLERANCE / 2));
    }
    assert!(stall.is_behind());
    assert!(!stall.is_unread());
    stall.paused(ENGINE_STALL_TOLERANCE);
    // Buffered data arrives with only short waits.
    stall.waited(ms(20));
    stall.paused(ms(50));
    assert!(stall.is_unread());
    for _ in 0..10 {
        stall.waited(ms(20));
    }
    assert!(!stall.is_unread());
    assert!(!stall.is_behind());
}
