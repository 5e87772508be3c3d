//! Detects engines that have stopped making progress from the events of all streams of this box.
//!
//! A single stream may pause for many reasons. If several streams run on an engine and *all* of
//! them have paused, the engine has very probably died or become unreachable.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::forward::fleet::EngineKey;
use crate::time::Instant;

/// Minimum silence that counts as a stall, whatever the speed of the path. Scheduling and queueing
/// cause shorter pauses.
pub const MIN_SILENCE: Duration = Duration::from_millis(60);
/// Minimum silence that counts as a stall, in expected gaps between events. It only triggers a
/// check whether the engines are reachable, which costs a connection; the result of the check
/// decides. With twice this value, streams over slow chains would continue only after the pause
/// that callers tolerate.
const MIN_GAPS: f64 = 2.0;
/// Maximum silence to wait for, in expected gaps between events.
pub const MAX_GAPS: f64 = 4.0;
/// Silence, in expected gaps, after which the engines of a stream are checked if all other streams
/// on them are silent too. This is stronger evidence than the silence of one stream, and callers
/// tolerate few gaps without an event.
const SHARED_SILENCE_GAPS: f64 = 1.6;
/// Number of mean deviations added to the mean gap, as in the retransmission timeout of TCP. Where
/// gaps vary because KV capacity or prefill is the bottleneck, a fixed multiple of the mean would
/// trigger twice as many checks.
const TIMEOUT_DEVIATIONS: f64 = 4.0;

/// The time of the last event of each engine.
#[derive(Debug, Default)]
pub struct Progress {
    last: SecondaryMap<EngineKey, Instant>,
}

impl Progress {
    /// Records an event of a stream that runs on `engines`.
    pub fn note(&mut self, engines: &[EngineKey], now: Instant) {
        for key in engines {
            self.last.insert(*key, now);
        }
    }

    /// Returns those of `engines` that had no event after `since`.
    pub fn silent_since(&self, engines: &[EngineKey], since: Instant) -> Vec<EngineKey> {
        let is_unresponsive = |key: &&EngineKey| self.last.get(**key).is_none_or(|at| *at <= since);
        engines.iter().filter(is_unresponsive).copied().collect()
    }
}

/// Running mean and deviation of the gaps between the events of a stream.
#[derive(Debug, Clone, Copy)]
pub struct EventGaps {
    mean: f64,
    deviation: f64,
}

/// Initial deviation, relative to the mean gap.
const INITIAL_DEVIATION: f64 = 0.25;
/// Weight of a new gap in the running mean.
const GAP_WEIGHT: f64 = 0.2;
/// Weight of a new gap in the running deviation.
const DEVIATION_WEIGHT: f64 = 0.25;

impl EventGaps {
    /// Creates the initial estimate for a path with the expected gap `gap` between events.
    pub fn expected(gap: Duration) -> Self {
        let mean = gap.as_secs_f64();
        EventGaps {
            mean,
            deviation: mean * INITIAL_DEVIATION,
        }
    }

    /// Records an event that came `gap` after the previous one.
    pub fn note(&mut self, gap: Duration) {
        let error = gap.as_secs_f64() - self.mean;
        self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
        self.mean += GAP_WEIGHT * error;
    }

    /// Returns the silence after which the stream counts as stalled if all other streams on the
    /// same engine are silent too.
    pub fn shared_silence_timeout(&self) -> Duration {
        let silence = Duration::from_secs_f64(SHARED_SILENCE_GAPS * self.mean);
        silence.max(MIN_SILENCE).min(self.silence_timeout())
    }

    /// Returns the silence after which the stream counts as stalled on its own.
    pub fn silence_timeout(&self) -> Duration {
        let silence = self.mean + TIMEOUT_DEVIATIONS * self.deviation;
        let bounded = silence.clamp(MIN_GAPS * self.mean, MAX_GAPS * self.mean);
        Duration::from_secs_f64(bounded).max(MIN_SILENCE)
    }
}
