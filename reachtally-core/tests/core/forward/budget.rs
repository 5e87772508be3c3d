//! Tests of the retry budget that all boxes share.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use reachtally_core::Instant;
use reachtally_core::forward::budget::{BudgetBounds, SharedRetryBudget};

const BOUNDS: BudgetBounds = BudgetBounds {
    ratio: 0.2,
    slack: 200.0,
    window: Duration::from_secs(10),
};

fn at(ms: u64) -> Instant {
    Instant::from_elapsed(Duration::from_millis(ms))
}

/// Takes a retry that arrives at once, if the budget allows it.
fn send(budget: &mut SharedRetryBudget, now: Instant, bounds: &BudgetBounds, boxes: u32) -> bool {
    let is_taken = budget.take(now, bounds, boxes);
    if is_taken {
        budget.settle(now, now, bounds);
    }
    is_taken
}

/// Number of retries that a box may send at `now`.
fn taken(budget: &mut SharedRetryBudget, now: Instant, boxes: u32) -> u32 {
    let mut count = 0;
    while send(budget, now, &BOUNDS, boxes) {
        count += 1;
    }
    count
}

#[test]
fn boxes_together_stay_within_the_retry_bound() {
    for boxes in [1, 3, 8, 100] {
        let firsts = 400;
        let mut sum = 0;
        for _ in 0..boxes {
            let mut budget = SharedRetryBudget::default();
            for _ in 0..firsts / boxes {
                budget.first(at(0), &BOUNDS);
            }
            sum += taken(&mut budget, at(100), boxes);
        }
        let bound = BOUNDS.ratio * f64::from(firsts) + BOUNDS.slack;
        assert!(
            f64::from(sum) <= bound,
            "{boxes} boxes sent {sum} retries, allowed {bound}"
        );
    }
}

#[test]
fn no_sliding_window_exceeds_the_bound() {
    let mut budget = SharedRetryBudget::default();
    let mut taken_at = Vec::new();
    for ms in (0..60_000).step_by(37) {
        budget.first(at(ms), &BOUNDS);
        while send(&mut budget, at(ms), &BOUNDS, 8) {
            taken_at.push(ms);
        }
    }
    let window = BOUNDS.window.as_millis() as u64;
    for start in (0..50_000).step_by(100) {
        let inside = taken_at
            .iter()
            .filter(|ms| (start..start + window).contains(*ms))
            .count();
        let firsts = window / 37 + 1;
        let bound = BOUNDS.ratio * firsts as f64 + BOUNDS.slack / 8.0;
        assert!(
            inside as f64 <= bound,
            "{inside} from {start} ms on, bound {bound}"
        );
    }
}

#[test]
fn budget_recovers_once_retries_leave_the_window() {
    let mut budget = SharedRetryBudget::default();
    let first = taken(&mut budget, at(0), 8);
    assert!(first > 0);
    assert_eq!(taken(&mut budget, at(9_000), 8), 0);
    assert_eq!(taken(&mut budget, at(11_000), 8), first);
}

/// Guards against boxes that restart together and exceed the shared budget. 295 boxes that were all killed and
/// restarted sent 3,283 retries in 10 s where 2,343 were allowed, most of them in the first two seconds.
#[test]
fn boxes_that_restart_together_stay_within_the_bound() {
    let boxes = 100;
    let bounds = BudgetBounds {
        slack: 774.0,
        ..BOUNDS
    };
    let mut taken_at = Vec::new();
    for life in [0, 20_000, 21_500] {
        // The last two runs share a window.
        let until = if life == 20_000 {
            21_400
        } else {
            life + 14_000
        };
        for _ in 0..boxes {
            let mut budget = SharedRetryBudget::starting_at(at(life));
            for ms in (life..until).step_by(100) {
                while send(&mut budget, at(ms), &bounds, boxes) {
                    taken_at.push(ms);
                }
            }
        }
    }
    for start in (0..30_000).step_by(100) {
        let inside = taken_at
            .iter()
            .filter(|ms| (start..start + 10_000).contains(*ms))
            .count();
        assert!(inside as f64 <= bounds.slack, "{inside} from {start} ms on");
    }
    assert!(taken_at.len() > 700, "{}", taken_at.len());
}

/// Requests a second of all boxes together in [`retries_around_a_restart_of_all_boxes_stay_within_the_bound`].
const REQUESTS_PER_S: f64 = 700.0;
/// Interval at which a box checks whether it needs a retry.
const STEP_MS: u64 = 50;

/// Times of the retries of `boxes` boxes that all start at 0, need none until `fail_ms`, send as many as the budget
/// allows from then on, and all restart at `restart_ms`.
fn retries_around_a_restart(
    boxes: u32,
    bounds: &BudgetBounds,
    fail_ms: u64,
    restart_ms: u64,
) -> Vec<u64> {
    let gap_ms = 1000.0 * f64::from(boxes) / REQUESTS_PER_S;
    let mut sends = Vec::new();
    for number in 0..boxes {
        let mut budget = SharedRetryBudget::starting_at(at(0));
        // The requests of the boxes are evenly staggered.
        let mut next_ms = gap_ms * f64::from(number) / f64::from(boxes);
        for ms in (0..restart_ms + 12_000).step_by(STEP_MS as usize) {
            if ms == restart_ms {
                budget = SharedRetryBudget::starting_at(at(ms));
            }
            while next_ms <= ms as f64 {
                budget.first(at(ms), bounds);
                next_ms += gap_ms;
            }
            while ms >= fail_ms && send(&mut budget, at(ms), bounds, boxes) {
                sends.push(ms);
            }
        }
    }
    sends.sort_unstable();
    sends
}

/// Largest number of `sends` in any window.
fn most_in_a_window(sends: &[u64], window: Duration) -> usize {
    let width = window.as_millis() as u64;
    let after = |index: usize| sends.partition_point(|ms| *ms < sends[index] + width);
    (0..sends.len())
        .map(|index| after(index) - index)
        .max()
        .unwrap_or_default()
}

/// Guards against a restart that forgets retries of the current window. In the ten seconds around a restart of all
/// boxes, engines received 2,285 retries where 2,176 were allowed; a request that arrived right after the restart
/// went to four engines within 0.6 s, and each refused it as full.
///
/// Engines had failed shortly before; the boxes, which had needed few retries until then, spent the whole share of a
/// window at once. All boxes restarted seconds later, and each run began with an empty count, while the retries of the
/// run before were still in the window.
///
/// In this simulation, 295 boxes that all know their number stay within the bound (2,065 of 2,174) if they restart at
/// least 9 s after engines begin to fail, and send 2,360, 2,655 and 2,950 retries if they restart after 6, 4 and 2 s.
/// So the cause is neither the assumed number of boxes nor the request rate, but the state that a restart loses.
#[test]
fn retries_around_a_restart_of_all_boxes_stay_within_the_bound() {
    let boxes = 295;
    let bounds = BudgetBounds {
        slack: 774.0,
        ..BOUNDS
    };
    let allowed = bounds.ratio * REQUESTS_PER_S * bounds.window.as_secs_f64() + bounds.slack;
    for after_ms in [500, 2_000, 4_000, 6_000, 9_000] {
        let sends = retries_around_a_restart(boxes, &bounds, 27_000, 27_000 + after_ms);
        let most = most_in_a_window(&sends, bounds.window);
        assert!(
            most as f64 <= allowed,
            "{most} retries of {allowed} allowed, with a restart {after_ms} ms after engines begin to fail"
        );
        let served = sends.iter().filter(|ms| **ms < 27_000 + after_ms).count();
        assert!(served > 700, "{served} retries before the restart");
    }
}

/// End of a simulation of [`no_window_exceeds_the_bound_whenever_boxes_restart`].
const END_MS: u64 = 45_000;

/// One simulated box.
#[derive(Debug, Clone)]
struct SimulatedBox {
    /// Interval of its requests.
    gap_ms: u64,
    /// Times at which it restarts.
    starts_ms: Vec<u64>,
    /// From here on it sends as many retries as the budget allows.
    fails_ms: u64,
}

fn simulated_box() -> impl Strategy<Value = SimulatedBox> {
    let starts = prop::collection::vec(0..END_MS, 0..6);
    (100..2_000_u64, starts, 0..END_MS).prop_map(|(gap_ms, starts_ms, fails_ms)| SimulatedBox {
        gap_ms,
        starts_ms,
        fails_ms,
    })
}

/// Times of the first sends and of the retries of a box.
fn play(simulated: &SimulatedBox, bounds: &BudgetBounds, boxes: u32) -> (Vec<u64>, Vec<u64>) {
    let mut budget = SharedRetryBudget::starting_at(at(0));
    let (mut firsts, mut seconds) = (Vec::new(), Vec::new());
    for ms in (0..END_MS).step_by(STEP_MS as usize) {
        let step = ms..ms + STEP_MS;
        if simulated.starts_ms.iter().any(|start| step.contains(start)) {
            budget = SharedRetryBudget::starting_at(at(ms));
        }
        if ms % simulated.gap_ms < STEP_MS {
            budget.first(at(ms), bounds);
            firsts.push(ms);
        }
        while ms >= simulated.fails_ms && send(&mut budget, at(ms), bounds, boxes) {
            seconds.push(ms);
        }
    }
    (firsts, seconds)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(32),
        failure_persistence: None,
        ..ProptestConfig::with_cases(40)
    })]

    #[test]
    fn no_window_exceeds_the_bound_whenever_boxes_restart(simulated in prop::collection::vec(simulated_box(), 1..25)) {
        let boxes = simulated.len() as u32;
        let (mut firsts, mut seconds) = (Vec::new(), Vec::new());
        for each in &simulated {
            let sends = play(each, &BOUNDS, boxes);
            firsts.extend(sends.0);
            seconds.extend(sends.1);
        }
        let width = BOUNDS.window.as_millis() as i64;
        let within = |sends: &[u64], from: i64| {
            let inside = |ms: &&u64| (from..from + width).contains(&(**ms as i64));
            sends.iter().filter(inside).count() as f64
        };
        for from in (0..END_MS as i64).step_by(250) {
            // The largest number of requests in this window, in the one before, or in the one half a window earlier.
            let counted = [from, from - width, from - width / 2].map(|from| within(&firsts, from));
            let most = counted.into_iter().fold(0.0, f64::max);
            let allowed = BOUNDS.ratio * most + BOUNDS.slack;
            prop_assert!(within(&seconds, from) <= allowed, "from {} ms on", from);
        }
    }
}

#[test]
fn a_retry_counts_from_when_it_is_taken_until_a_window_after_it_arrived() {
    let mut budget = SharedRetryBudget::default();
    let allowed = (0..).take_while(|_| budget.take(at(0), &BOUNDS, 8)).count();
    assert!(allowed > 0);
    assert_eq!(taken(&mut budget, at(60_000), 8), 0);
    budget.settle(at(61_000), at(64_000), &BOUNDS);
    assert_eq!(taken(&mut budget, at(70_900), 8), 0);
    assert_eq!(taken(&mut budget, at(71_600), 8), 1);
    budget.put_back();
    assert_eq!(taken(&mut budget, at(71_700), 8), 1);
}

/// Times until a retry arrives, and from then until the box knows, in ms.
fn delays() -> impl Strategy<Value = Vec<(u64, u64)>> {
    prop::collection::vec((0..15_000_u64, 0..3_000_u64), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(78),
        failure_persistence: None,
        ..ProptestConfig::with_cases(60)
    })]

    #[test]
    fn no_window_of_arrivals_exceeds_the_bound_however_late_targets_read(delays in delays(), boxes in 1..12_u32) {
        let mut budget = SharedRetryBudget::default();
        let mut arrivals = Vec::new();
        // Times at which retries settle, with the time at which each is known.
        let mut pending: Vec<(u64, u64)> = Vec::new();
        for ms in (0..END_MS).step_by(STEP_MS as usize) {
            pending.retain(|(settled, known)| {
                if *known <= ms {
                    budget.settle(at(*settled), at(ms), &BOUNDS);
                }
                *known > ms
            });
            while budget.take(at(ms), &BOUNDS, boxes) {
                let (delay, lag) = delays[arrivals.len() % delays.len()];
                arrivals.push(ms + delay);
                pending.push((ms + delay, ms + delay + lag));
            }
        }
        arrivals.sort_unstable();
        let most = most_in_a_window(&arrivals, BOUNDS.window);
        let allowed = BOUNDS.slack / f64::from(boxes);
        prop_assert!(most as f64 <= allowed, "{most} of {allowed}");
    }
}

#[test]
fn no_window_of_arrivals_exceeds_the_bound_where_a_box_restarts_while_targets_are_silent() {
    let restart_ms = 30_500;
    let silence_ends_ms = 31_300;
    let mut arrivals = Vec::new();
    let mut budget = SharedRetryBudget::starting_at(at(0));
    while budget.take(at(30_000), &BOUNDS, 1) {
        arrivals.push(silence_ends_ms);
    }
    let mut budget = SharedRetryBudget::starting_at(at(restart_ms));
    for ms in (restart_ms..END_MS).step_by(STEP_MS as usize) {
        if ms >= silence_ends_ms {
            for _ in 0..budget.pending() {
                budget.settle(at(silence_ends_ms), at(ms), &BOUNDS);
            }
        }
        while budget.take(at(ms), &BOUNDS, 1) {
            arrivals.push(ms.max(silence_ends_ms));
            if ms >= silence_ends_ms {
                budget.settle(at(ms), at(ms), &BOUNDS);
            }
        }
    }
    arrivals.sort_unstable();
    let most = most_in_a_window(&arrivals, BOUNDS.window);
    assert!(
        most as f64 <= BOUNDS.slack,
        "{most} of {} allowed",
        BOUNDS.slack
    );
}
