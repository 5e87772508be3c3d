//! The clock of decisions, on the runtime's paused clock.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use reachtally_clock::{BootClock, Clock};
use tokio::time;

const SECOND: Duration = Duration::from_secs(1);
/// What the boot clock shows when the process starts.
const BOOTED: Duration = Duration::from_secs(1_000);

/// What a test sets, and the clock reads.
#[derive(Clone, Default)]
struct Shared<T>(Arc<Mutex<T>>);

/// How long the machine was suspended.
type Suspended = Shared<Duration>;

impl<T: Copy> Shared<T> {
    fn set(&self, value: T) {
        *self.0.lock().expect("no test panics with it") = value;
    }

    fn get(&self) -> T {
        *self.0.lock().expect("no test panics with it")
    }
}

/// A boot clock that counts with the runtime, and a suspension that a test sets.
fn boot(suspended: &Suspended) -> BootClock {
    let (suspended, started) = (suspended.clone(), time::Instant::now());
    Box::new(move || Some(BOOTED + started.elapsed() + suspended.get()))
}

fn play(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime.expect("the runtime starts").block_on(test);
}

#[test]
fn it_goes_with_the_runtime() {
    play(async {
        for clock in [
            Clock::of_runtime(),
            Clock::start(boot(&Suspended::default())),
        ] {
            let began = clock.now();
            time::advance(3 * SECOND).await;
            assert_eq!(clock.now() - began, 3 * SECOND);
        }
    });
}

#[test]
fn it_counts_while_the_machine_is_suspended() {
    play(async {
        let suspended = Suspended::default();
        let clock = Clock::start(boot(&suspended));
        let began = clock.now();
        time::advance(SECOND).await;
        suspended.set(20 * SECOND);
        assert_eq!(clock.now() - began, 21 * SECOND);
        time::advance(SECOND).await;
        suspended.set(25 * SECOND);
        assert_eq!(clock.now() - began, 27 * SECOND);
    });
}

#[test]
fn a_timer_set_afterwards_waits_as_long_as_it_says() {
    play(async {
        let suspended = Suspended::default();
        let clock = Clock::start(boot(&suspended));
        suspended.set(20 * SECOND);
        let due = clock.now() + 2 * SECOND;
        let began = time::Instant::now();
        time::sleep_until(clock.timer(due)).await;
        // The runtime's timers go by whole milliseconds.
        assert!(began.elapsed() - 2 * SECOND <= Duration::from_millis(1));
    });
}

#[test]
fn a_boot_clock_that_goes_back_or_fails_takes_nothing_back() {
    play(async {
        let shown = Shared(Arc::new(Mutex::new(Some(BOOTED))));
        let read = shown.clone();
        let clock = Clock::start(Box::new(move || read.get()));
        shown.set(Some(BOOTED + 9 * SECOND));
        let suspended = clock.now();
        assert_eq!(suspended.elapsed(), 9 * SECOND);
        for odd in [Some(Duration::ZERO), None, Some(BOOTED)] {
            shown.set(odd);
            assert_eq!(clock.now(), suspended);
        }
        time::advance(SECOND).await;
        assert_eq!(clock.now(), suspended + SECOND);
    });
}

#[test]
fn without_a_boot_clock_it_is_the_runtimes() {
    play(async {
        let clock = Clock::start(Box::new(|| None));
        time::advance(SECOND).await;
        assert_eq!(clock.now().elapsed(), SECOND);
    });
}

#[test]
fn readings_that_are_some_ms_apart_are_no_suspension() {
    play(async {
        let suspended = Suspended::default();
        let clock = Clock::start(boot(&suspended));
        suspended.set(Duration::from_millis(15));
        assert_eq!(clock.now().elapsed(), Duration::ZERO);
    });
}
