//! The time that decisions work with.
//!
//! The runtime's clock stands still while the machine is suspended. To it, a lease, a confirmation or a permit from before is as
//! young as it was, though others have gone on. So each reading is compared with the clock that counts from the start of
//! the machine, and what the runtime's clock has left out is added.
//!
//! Timers of the runtime still leave it out: what must end by a time compares instants, and does not rely on a timer.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::cell::Cell;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use reachtally_core::Instant;
use tokio::time;

/// Shortest suspension that counts: the two clocks are not read at the same moment, and a thread may be held up in between.
const LEAST_SUSPENSION: Duration = Duration::from_millis(20);

/// Time since the machine started, with what it was suspended for; `None` if it can't be read.
pub type BootClock = Box<dyn Fn() -> Option<Duration> + Send>;

/// The machine's own [`BootClock`].
pub fn boot_clock() -> BootClock {
    Box::new(|| {
        clock_gettime(ClockId::CLOCK_BOOTTIME)
            .ok()
            .map(Duration::from)
    })
}

/// The clock of one process. It never goes back.
pub struct Clock {
    started: time::Instant,
    boot: BootClock,
    /// What the boot clock showed at the start.
    boot_started: Option<Duration>,
    /// What the runtime's clock has left out so far.
    suspended: Cell<Duration>,
    /// Whether the boot clock is known to be of no use, so that it is logged once.
    is_boot_odd: Cell<bool>,
}

impl Clock {
    /// A clock that starts now and counts suspensions by `boot`.
    pub fn start(boot: BootClock) -> Self {
        let boot_started = boot();
        let clock = Clock {
            started: time::Instant::now(),
            boot,
            boot_started,
            suspended: Cell::default(),
            is_boot_odd: Cell::default(),
        };
        if boot_started.is_none() {
            clock.note_odd("it can't be read");
        }
        clock
    }

    /// The runtime's clock alone, for what runs on a clock that is paused and advanced.
    pub fn of_runtime() -> Self {
        let started = time::Instant::now();
        Clock::start(Box::new(move || Some(started.elapsed())))
    }

    /// The time for decisions.
    pub fn now(&self) -> Instant {
        // Read first: a suspension between the two readings must not be missed.
        let steady = self.started.elapsed();
        self.note_suspension(steady);
        Instant::from_elapsed(steady + self.suspended.get())
    }

    /// The runtime's form of `at`, for timers. A suspension that comes after this is not in it.
    pub fn timer(&self, at: Instant) -> time::Instant {
        self.started + at.elapsed().saturating_sub(self.suspended.get())
    }

    /// Add what the boot clock has counted beside `steady`, the runtime's time.
    fn note_suspension(&self, steady: Duration) {
        let Some(boot) = self.boot_elapsed() else {
            return;
        };
        let suspended = boot.saturating_sub(steady);
        let before = self.suspended.get();
        if suspended < before + LEAST_SUSPENSION {
            return;
        }
        self.suspended.set(suspended);
        let ms = (suspended - before).as_millis() as u64;
        log::warn!(event = "suspended", ms = ms; "the machine was suspended: what is known is as much older");
    }

    /// What the boot clock has counted since the start.
    fn boot_elapsed(&self) -> Option<Duration> {
        let started = self.boot_started?;
        let Some(boot) = (self.boot)() else {
            self.note_odd("it can't be read");
            return None;
        };
        let elapsed = boot.checked_sub(started);
        if elapsed.is_none() {
            self.note_odd("it went back");
        }
        elapsed
    }

    fn note_odd(&self, why: &str) {
        if !self.is_boot_odd.replace(true) {
            log::error!(event = "boot-clock-odd", why = why; "the boot clock is of no use: suspensions of the machine are not counted");
        }
    }
}

impl std::fmt::Debug for Clock {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Clock")
            .field("started", &self.started)
            .field("suspended", &self.suspended)
            .finish_non_exhaustive()
    }
}
