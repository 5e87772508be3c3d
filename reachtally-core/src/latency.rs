//! Exponentially decaying estimates of step times, and the call time-outs derived from them.

use std::time::Duration;

/// The estimated quantile.
const QUANTILE: f64 = 0.95;
/// Weight of one sample in the estimates.
const GAIN: f64 = 0.05;
/// Multiple of the estimated quantile after which a step counts as lost. Above 2, so that a stage
/// running at half its speed is not considered dead.
const TIMEOUT_FACTOR: f64 = 6.0;
/// Bounds of the time-out: below the floor, scheduling noise dominates; callers do not wait longer
/// than the cap.
const TIMEOUT_FLOOR: Duration = Duration::from_millis(250);
const TIMEOUT_CAP: Duration = Duration::from_secs(30);
/// Assumed time in seconds of a step over one position before the first sample.
const INITIAL_SINGLE: f64 = 0.040;
/// Assumed time in seconds of each further position of a span before the first sample.
const INITIAL_POSITION: f64 = 0.001;
/// Lower bound of samples in seconds. The quantile is updated by a factor, so it could not grow
/// from zero.
const MIN_SECONDS: f64 = 1e-6;

/// Mean and upper quantile of times in seconds, estimated by stochastic approximation. The quantile
/// grows by `GAIN * QUANTILE` of its value on a sample above it and shrinks by
/// `GAIN * (1 - QUANTILE)` of its value on a sample below it, so old samples decay and memory use
/// is constant.
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
            // Samples far above the estimate have more weight, so that it adapts to a slower stage
            // within a few steps.
            self.quantile += (GAIN * QUANTILE * self.quantile).max(GAIN * (sample - self.quantile));
        } else {
            self.quantile -= GAIN * (1.0 - QUANTILE) * self.quantile;
        }
    }
}

/// Step times of one engine: the time of a step over one position, and the additional time of each
/// further position of a span.
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
    /// Add a sample of a step over `positions` positions that took `elapsed`.
    pub fn sample(&mut self, elapsed: Duration, positions: u32) {
        let elapsed = elapsed.as_secs_f64();
        if positions <= 1 {
            return self.single.sample(elapsed);
        }
        let base = if self.single.measured {
            self.single.mean
        } else {
            0.0
        };
        let further = f64::from(positions - 1);
        self.position.sample((elapsed - base) / further);
    }

    /// Whether a step over one position has been measured.
    pub fn is_measured(&self) -> bool {
        self.single.measured
    }

    /// Estimated mean time of a step over `positions` positions.
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
