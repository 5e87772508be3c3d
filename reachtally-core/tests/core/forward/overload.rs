//! Detection of a standing run queue.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::bodies::max_connections;
use reachtally_core::forward::overload::{
    LONG_STANDING_TIME, MAX_QUEUE_DELAY, MIN_ACCEPT_INTERVAL, MIN_CONNECTIONS, RunQueue,
    STANDING_TIME,
};

const MIB: u64 = 1024 * 1024;
const STEP: Duration = Duration::from_millis(20);
const SHORT: Duration = MAX_QUEUE_DELAY;
const LONG: Duration = MAX_QUEUE_DELAY.saturating_add(Duration::from_millis(1));

fn at(ms: u64) -> Instant {
    Instant::from_elapsed(Duration::from_millis(ms))
}

/// Records `delay` each [`STEP`] from `from` until `to`, both in ms.
fn record(queue: &mut RunQueue, delay: Duration, from: u64, to: u64) {
    for ms in (from..=to).step_by(STEP.as_millis() as usize) {
        queue.record(delay, at(ms));
    }
}

fn standing_until(ms: u64) -> RunQueue {
    let mut queue = RunQueue::default();
    record(&mut queue, LONG, 0, ms);
    assert!(queue.is_standing(at(ms)));
    queue
}

#[test]
fn a_burst_is_not_taken_for_a_standing_queue() {
    let mut queue = RunQueue::default();
    assert!(!queue.is_standing(at(0)));
    record(&mut queue, LONG, 0, STANDING_TIME.as_millis() as u64 - 20);
    assert!(!queue.is_standing(at(80)));
    queue.record(SHORT, at(100));
    record(&mut queue, LONG, 120, 200);
    assert!(!queue.is_standing(at(200)));
}

#[test]
fn one_long_delay_after_a_suspension_is_not_taken_for_a_standing_queue() {
    let mut queue = RunQueue::default();
    record(&mut queue, SHORT, 0, 100);
    queue.record(Duration::from_secs(5), at(5_100));
    assert!(!queue.is_standing(at(5_100)));
}

#[test]
fn a_queue_stands_until_it_is_short_and_again_at_once_if_that_was_brief() {
    let mut queue = standing_until(100);
    queue.record(SHORT, at(120));
    assert!(!queue.is_standing(at(120)));
    queue.record(LONG, at(140));
    assert!(queue.is_standing(at(140)));
    record(&mut queue, SHORT, 160, 1_300);
    queue.record(LONG, at(1_320));
    assert!(!queue.is_standing(at(1_320)));
}

#[test]
fn old_delays_say_nothing() {
    let mut queue = standing_until(100);
    assert!(!queue.is_standing(at(2_100)));
    queue.record(LONG, at(9_000));
    assert!(!queue.is_standing(at(9_000)));
}

#[test]
fn only_a_queue_that_stays_long_is_long_standing() {
    let long = LONG_STANDING_TIME.as_millis() as u64;
    let mut queue = standing_until(long - 20);
    assert!(!queue.is_long_standing(at(long - 20)));
    queue.record(LONG, at(long));
    assert!(queue.is_long_standing(at(long)));
    queue.record(SHORT, at(long + 20));
    queue.record(LONG, at(long + 40));
    assert!(!queue.is_long_standing(at(long + 40)));
}

#[test]
fn a_box_with_a_standing_queue_still_takes_a_few_connections() {
    let mut queue = standing_until(100);
    let interval = MIN_ACCEPT_INTERVAL.as_millis() as u64;
    let mut taken = 0;
    for ms in (100..100 + 10 * interval).step_by(10) {
        queue.record(LONG, at(ms));
        taken += u32::from(queue.take_connection(at(ms)));
    }
    assert_eq!(taken, 10);
    queue.record(SHORT, at(100 + 10 * interval));
    assert!((0..20).all(|_| queue.take_connection(at(100 + 10 * interval))));
}

#[test]
fn a_box_with_very_little_memory_takes_some_connections() {
    assert_eq!(max_connections(0, 0, 0), MIN_CONNECTIONS);
    assert_eq!(max_connections(160 * MIB, 0, 0), 1066);
    assert_eq!(max_connections(160 * MIB, 20 * MIB, 0), 1066);
    assert_eq!(max_connections(160 * MIB, 40 * MIB, 0), 853);
    assert_eq!(max_connections(160 * MIB, 0, 10 << 20), 960);
}
