//! Tests of timeouts derived from step times, and of the retry budget.

use std::time::Duration;

use reachtally_core::latency::Latency;
use reachtally_core::retry::RetryBudget;

#[test]
fn timeout_follows_the_step_time_and_tolerates_half_speed() {
    let mut latency = Latency::default();
    let step = Duration::from_millis(100);
    for _ in 0..200 {
        latency.sample(step, 1);
    }
    let timeout = latency.timeout(1);
    assert!(timeout > 2 * step, "{timeout:?}");
    assert!(timeout < 10 * step, "{timeout:?}");
    for _ in 0..200 {
        latency.sample(3 * step, 1);
    }
    assert!(latency.timeout(1) > timeout);
}

#[test]
fn longer_span_gets_a_longer_timeout() {
    let mut latency = Latency::default();
    for _ in 0..50 {
        latency.sample(Duration::from_millis(100), 1);
    }
    assert!(latency.timeout(4096) > 10 * latency.timeout(1));
}

#[test]
fn retry_budget_allows_a_tenth_of_the_successes() {
    let mut budget = RetryBudget::default();
    while budget.take() {}
    for _ in 0..100 {
        budget.succeeded();
    }
    let granted = (0..100).filter(|_| budget.take()).count();
    assert!((9..=10).contains(&granted), "{granted}");
}
