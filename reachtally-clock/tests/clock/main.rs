//! Tests of the clock on the runtime's paused clock.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use reachtally_clock::{BootClock, Clock};
use tokio::time;

const SECOND: Duration = Duration::from_secs(1);
/// Reading of the boot clock when the process starts.
const BOOTED: Duration = Duration::from_secs(1_000);

/// A value set by a test and read by the clock.
#[derive(Clone, Default)]
struct Shared<T>(Arc<Mutex<T>>);

/// Total time for which the machine was suspended.
type Suspended = Shared<Duration>;

impl<T: Copy> Shared<T> {
    fn set(&self, value: T) {
        *self.0.lock().expect("no test panics with it") = value;
    }

    fn get(&self) -> T {
        *self.0.lock().expect("no test panics with it")
    }
}

/// A boot clock that adds the suspended time set by a test to the runtime's clock.
fn boot_clock(suspended: &Suspended) -> BootClock {
    let (suspended, started) = (suspended.clone(), time::Instant::now());
    Box::new(move || Some(BOOTED + started.elapsed() + suspended.get()))
}

fn run_paused(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime.expect("the runtime starts").block_on(test);
}

#[test]
fn it_follows_the_runtime_clock() {
    run_paused(async {
        for clock in [
            Clock::runtime_only(),
            Clock::start(boot_clock(&Suspended::default())),
        ] {
            let start = clock.now();
            time::advance(3 * SECOND).await;
            assert_eq!(clock.now() - start, 3 * SECOND);
        }
    });
}

#[test]
fn it_includes_suspended_time() {
    run_paused(async {
        let suspended = Suspended::default();
        let clock = Clock::start(boot_clock(&suspended));
        let start = clock.now();
        time::advance(SECOND).await;
        suspended.set(20 * SECOND);
        assert_eq!(clock.now() - start, 21 * SECOND);
        time::advance(SECOND).await;
        suspended.set(25 * SECOND);
        assert_eq!(clock.now() - start, 27 * SECOND);
    });
}

#[test]
fn a_timer_set_after_a_suspension_waits_for_its_full_duration() {
    run_paused(async {
        let suspended = Suspended::default();
        let clock = Clock::start(boot_clock(&suspended));
        suspended.set(20 * SECOND);
        let due = clock.now() + 2 * SECOND;
        let start = time::Instant::now();
        time::sleep_until(clock.timer(due)).await;
        // The runtime's timers have a resolution of 1 ms.
        assert!(start.elapsed() - 2 * SECOND <= Duration::from_millis(1));
    });
}

#[test]
fn a_boot_clock_that_decreases_or_fails_does_not_reduce_the_time() {
    run_paused(async {
        let shown = Shared(Arc::new(Mutex::new(Some(BOOTED))));
        let read = shown.clone();
        let clock = Clock::start(Box::new(move || read.get()));
        shown.set(Some(BOOTED + 9 * SECOND));
        let suspended = clock.now();
        assert_eq!(suspended.elapsed(), 9 * SECOND);
        for reading in [Some(Duration::ZERO), None, Some(BOOTED)] {
            shown.set(reading);
            assert_eq!(clock.now(), suspended);
        }
        time::advance(SECOND).await;
        assert_eq!(clock.now(), suspended + SECOND);
    });
}

#[test]
fn without_a_boot_clock_it_follows_the_runtime_clock() {
    run_paused(async {
        let clock = Clock::start(Box::new(|| None));
        time::advance(SECOND).await;
        assert_eq!(clock.now().elapsed(), SECOND);
    });
}

#[test]
fn small_differences_between_the_clocks_are_not_a_suspension() {
    run_paused(async {
        let suspended = Suspended::default();
        let clock = Clock::start(boot_clock(&suspended));
        suspended.set(Duration::from_millis(15));
        assert_eq!(clock.now().elapsed(), Duration::ZERO);
    });
}
