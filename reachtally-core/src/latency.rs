//! A decayed quantile of step times and the time-out drawn from it.

use std::time::Duration;

/// The quantile followed.
const QUANTILE: f64 = 0.95;
/// Share of the current estimate by which one sample moves it.
const GAIN: f64 = 0.05;
/// How often a step may exceed the followed quantile's time before it counts as lost. Above 2, so
/// that a stage at half its speed is never taken for dead.
const TIMEOUT_FACTOR: f64 = 6.0;
/// Bounds of the time-out: below the floor scheduling noise decides, above the cap nobody waits.
const TIMEOUT_FLOOR: Duration = Duration::from_millis(250);
const TIMEOUT_CAP: Duration = Duration::from_secs(30);
/// Time assumed for one position before the first sample.
const FIRST_GUESS: Duration = Duration::from_millis(40);

/// Step time per position of one engine, followed by stochastic approximation of a quantile: the
/// estimate moves up by `GAIN * QUANTILE` of itself on a sample above it and down by
/// `GAIN * (1 - QUANTILE)` on one below, so old samples decay and memory stays constant.
#[derive(Debug, Clone)]
pub struct Latency {
    high: f64,
    mean: f64,
    samples: u64,
}

impl Default for Latency {
    fn default() -> Self {
        Latency {
            high: FIRST_GUESS.as_secs_f64(),
            mean: FIRST_GUESS.as_secs_f64(),
            samples: 0,
        }
    }
}

impl Latency {
    /// Take one step's time, which covered `positions` positions.
    pub fn sample(&mut self, took: Duration, positions: u32) {
        let sample = took.as_secs_f64() / weight(positions);
        self.samples += 1;
        if self.samples == 1 {
            self.high = sample.max(1e-6);
            self.mean = self.high;
            return;
        }
        self.mean += GAIN * (sample - self.mean);
        if sample > self.high {
            // A sample far above pulls harder, so that a slower stage is followed within a few steps.
            self.high += (GAIN * QUANTILE * self.high).max(GAIN * (sample - self.high));
        } else {
            self.high -= GAIN * (1.0 - QUANTILE) * self.high;
        }
    }

    /// Mean time of a step over `positions` positions.
    pub fn expected(&self, positions: u32) -> Duration {
        Duration::from_secs_f64(self.mean * weight(positions))
    }

    /// Time after which a step over `positions` positions counts as lost.
    pub fn timeout(&self, positions: u32) -> Duration {
        Duration::from_secs_f64(self.high * weight(positions) * TIMEOUT_FACTOR)
            .clamp(TIMEOUT_FLOOR, TIMEOUT_CAP)
    }
}

/// Positions that one decode step's time covers when they are processed together: a span is read
/// in one pass and costs far less than as many single steps.
const POSITIONS_PER_STEP_TIME: f64 = 64.0;

fn weight(positions: u32) -> f64 {
    1.0 + f64::from(positions.saturating_sub(1)) / POSITIONS_PER_STEP_TIME
}
