//! Decayed estimates of step times and the time-out drawn from them.

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
/// Time assumed for a step over one position before the first sample.
const INITIAL_SINGLE: f64 = 0.040;
/// Time assumed for each position of a span before the first sample.
const INITIAL_POSITION: f64 = 0.001;
/// The least estimate, so that a quantile can grow from it.
const MIN_SECONDS: f64 = 1e-6;

/// A mean and a high quantile of times in seconds, followed by stochastic approximation: the quantile
/// moves up by `GAIN * QUANTILE` of itself on a sample above it and down by `GAIN * (1 - QUANTILE)`
/// on one below, so old samples decay and memory stays constant.
#[derive(Debug, Clone)]
struct Estimate {
    quantile: f64,
    mean: f64,
    measured: bool,
}

impl Estimate {
    fn initial(seconds: f64) -> Self {
        Estimate {
            quantile: seconds,
            mean: seconds,
            measured: false,
        }
    }

    fn sample(&mut self, seconds: f64) {
        let sample = seconds.max(MIN_SECONDS);
        if !self.measured {
            *self = Estimate {
                quantile: sample,
                mean: sample,
                measured: true,
            };
            return;
        }
        self.mean += GAIN * (sample - self.mean);
        if sample > self.quantile {
            // A sample far above pulls harder, so that a slower stage is followed within a few steps.
            self.quantile += (GAIN * QUANTILE * self.quantile).max(GAIN * (sample - self.quantile));
        } else {
            self.quantile -= GAIN * (1.0 - QUANTILE) * self.quantile;
        }
    }
}

/// Step times of one engine: of a step over one position, and what each further position of a span
/// adds.
#[derive(Debug, Clone)]
pub struct Latency {
    single: Estimate,
    position: Estimate,
}

impl Default for Latency {
    fn default() -> Self {
        Latency {
            single: Estimate::initial(INITIAL_SINGLE),
            position: Estimate::initial(INITIAL_POSITION),
        }
    }
}

impl Latency {
    /// Take one step's time, which covered `positions` positions.
    pub fn sample(&mut self, took: Duration, positions: u32) {
        let took = took.as_secs_f64();
        if positions <= 1 {
            return self.single.sample(took);
        }
        let base = if self.single.measured {
            self.single.mean
        } else {
            0.0
        };
        let further = f64::from(positions - 1);
        self.position.sample((took - base) / further);
    }

    /// Whether a step over one position was ever timed.
    pub fn is_measured(&self) -> bool {
        self.single.measured
    }

    /// Mean time of a step over `positions` positions.
    pub fn expected(&self, positions: u32) -> Duration {
        let further = f64::from(positions.saturating_sub(1));
        Duration::from_secs_f64(self.single.mean + self.position.mean * further)
    }

    /// Time after which a step over `positions` positions counts as lost.
    pub fn timeout(&self, positions: u32) -> Duration {
        let further = f64::from(positions.saturating_sub(1));
        let quantile = self.single.quantile + self.position.quantile * further;
        Duration::from_secs_f64(quantile * TIMEOUT_FACTOR).clamp(TIMEOUT_FLOOR, TIMEOUT_CAP)
    }
}
