//! A monotonic clock for routing decisions that includes the time during which the machine is suspended.
//!
//! The runtime's clock stops while the machine is suspended. Measured by it, a lease, confirmation or permit from before a
//! suspension does not age, although the other boxes continued. Each reading is therefore compared with the boot clock, and
//! the time that the runtime's clock missed is added.
//!
//! The runtime's timers still don't count suspensions. Code that must stop by a deadline compares instants instead of relying
//! on a timer.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::cell::Cell;
use std::time::{Duration, SystemTime};

use nix::time::{ClockId, clock_gettime};
use reachtally_core::Instant;
use tokio::time;

/// Differences between the clocks below this are not taken for a suspension: the clocks are not read at the same moment, and
/// the thread may be preempted between the two readings.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Returns the time since the machine booted, including suspensions, or `None` if it can't be read.
pub type BootClock = Box<dyn Fn() -> Option<Duration> + Send>;

/// Returns the [`BootClock`] of this machine, which reads `CLOCK_BOOTTIME`.
pub fn boot_clock() -> BootClock {
    Box::new(|| {
        clock_gettime(ClockId::CLOCK_BOOTTIME)
            .ok()
            .map(Duration::from)
    })
}

/// Returns the Unix time by the clock of this machine, which may be set at any time.
pub fn unix_time() -> Duration {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.unwrap_or_default()
}

/// The clock of a process. Its readings never decrease.
pub struct Clock {
    started: time::Instant,
    boot_clock: BootClock,
    /// Reading of the boot clock at the start; `None` if it could not be read.
    boot_started: Option<Duration>,
    /// Suspended time so far, which the runtime's clock does not include.
    suspended: Cell<Duration>,
    /// Whether an error of the boot clock was logged already; it is logged once.
    boot_clock_error_reported: Cell<bool>,
}

impl Clock {
    /// Starts a clock that detects suspensions by `boot_clock`.
    pub fn start(boot_clock: BootClock) -> Self {
        let boot_started = boot_clock();
        let clock = Clock {
            started: time::Instant::now(),
            boot_clock,
            boot_started,
            suspended: Cell::default(),
            boot_clock_error_reported: Cell::default(),
        };
        if boot_started.is_none() {
            clock.report_boot_clock_error("it could not be read");
        }
        clock
    }

    /// Starts a clock that follows the runtime's clock alone, for tests and simulations on a paused clock.
    pub fn runtime_only() -> Self {
        let started = time::Instant::now();
        Clock::start(Box::new(move || Some(started.elapsed())))
    }

    /// Returns the current time, including suspensions.
    pub fn now(&self) -> Instant {
        // Read before the boot clock, so that a suspension between the two readings is not missed.
        let runtime_elapsed = self.started.elapsed();
        self.update_suspended(runtime_elapsed);
        Instant::from_elapsed(runtime_elapsed + self.suspended.get())
    }

    /// Converts `at` to the runtime's clock, for timers. Suspensions after this call are not taken into account.
    pub fn timer(&self, at: Instant) -> time::Instant {
        self.started + at.elapsed().saturating_sub(self.suspended.get())
    }

    /// Updates the suspended time from the boot clock and `runtime_elapsed`, the runtime's time since the start.
    fn update_suspended(&self, runtime_elapsed: Duration) {
        let Some(boot_elapsed) = self.boot_elapsed() else {
            return;
        };
        let suspended = boot_elapsed.saturating_sub(runtime_elapsed);
        let before = self.suspended.get();
        if suspended < before + MIN_SUSPENSION {
            return;
        }
        self.suspended.set(suspended);
        let ms = (suspended - before).as_millis() as u64;
        log::warn!(event = "suspended", ms = ms; "the machine was suspended; the age of all state grows by this time");
    }

    /// Returns the time since the start by the boot clock.
    fn boot_elapsed(&self) -> Option<Duration> {
        let started = self.boot_started?;
        let Some(reading) = (self.boot_clock)() else {
            self.report_boot_clock_error("it could not be read");
            return None;
        };
        let elapsed = reading.checked_sub(started);
        if elapsed.is_none() {
            self.report_boot_clock_error("the reading decreased");
        }
        elapsed
    }

    fn report_boot_clock_error(&self, why: &str) {
        if !self.boot_clock_error_reported.replace(true) {
            log::error!(event = "boot-clock-odd", why = why; "the boot clock is unusable; suspensions of the machine are not detected");
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
