//! Which engines have stopped making progress, judged from the events of all streams of this box.
//!
//! One stream may pause for many reasons. An engine on which *every* stream of this box has paused,
//! although several run there, has very probably died or been cut off.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::forward::fleet::EngineKey;
use crate::time::Instant;

/// Least silence that counts, however fast the path is: scheduling and queues cause shorter ones.
pub const LEAST_SILENCE: Duration = Duration::from_millis(60);
/// Least silence that counts, in expected gaps between events. Silence only leads to a question whether the
/// engines are there, which costs a connection; the answer decides. With twice as many, streams over slow chains would go on
/// only after the pause that callers allow.
const LEAST_GAPS: f64 = 2.0;
/// Most silence that is waited for, in expected gaps.
pub const MOST_GAPS: f64 = 4.0;
/// Silence after which the engines of a stream are looked at if all other streams there are silent too, in expected gaps. That is
/// stronger evidence than one stream's, and callers allow few gaps without an event.
const LEAST_GAPS_OF_ALL: f64 = 1.6;
/// Deviations of the gaps that are waited for beside the mean one, as in the retransmission timer of TCP. Where
/// gaps come unevenly, since KV or reading binds, a fixed number of gaps would ask twice as often.
const DEVIATIONS: f64 = 4.0;

/// When each engine last took part in an event.
#[derive(Debug, Default)]
pub struct Progress {
    last: SecondaryMap<EngineKey, Instant>,
}

impl Progress {
    /// An event came over these engines.
    pub fn note(&mut self, engines: &[EngineKey], now: Instant) {
        for key in engines {
            self.last.insert(*key, now);
        }
    }

    /// Those of `engines` without an event since `since`.
    pub fn silent_since(&self, engines: &[EngineKey], since: Instant) -> Vec<EngineKey> {
        let silent = |key: &&EngineKey| self.last.get(**key).is_none_or(|at| *at <= since);
        engines.iter().filter(silent).copied().collect()
    }
}

/// How a stream's events have come so far.
#[derive(Debug, Clone, Copy)]
pub struct Gaps {
    mean: f64,
    deviation: f64,
}

/// Deviation that is expected at first, in gaps.
const FIRST_DEVIATION: f64 = 0.25;
/// Weight of a new gap in the running mean.
const GAP_WEIGHT: f64 = 0.2;
/// Weight of a new gap in the running deviation.
const DEVIATION_WEIGHT: f64 = 0.25;

impl Gaps {
    /// Before the first event of a path with this gap between events.
    pub fn expected(gap: Duration) -> Self {
        let mean = gap.as_secs_f64();
        Gaps {
            mean,
            deviation: mean * FIRST_DEVIATION,
        }
    }

    /// An event came after this gap.
    pub fn note(&mut self, gap: Duration) {
        let error = gap.as_secs_f64() - self.mean;
        self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
        self.mean += GAP_WEIGHT * error;
    }

    /// Time without an event after which the stream is overdue if all others over the same engine are silent as well.
    pub fn due_after(&self) -> Duration {
        let silence = Duration::from_secs_f64(LEAST_GAPS_OF_ALL * self.mean);
        silence.max(LEAST_SILENCE).min(self.overdue_after())
    }

    /// Time without an event after which the stream is overdue.
    pub fn overdue_after(&self) -> Duration {
        let silence = self.mean + DEVIATIONS * self.deviation;
        let bounded = silence.clamp(LEAST_GAPS * self.mean, MOST_GAPS * self.mean);
        Duration::from_secs_f64(bounded).max(LEAST_SILENCE)
    }
}
