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
/// Silence that counts, in expected gaps between events. Silence only leads to a question whether the engines are
/// there, which costs a connection; the answer decides. With 4 gaps and at least 80 ms, streams over chains with
/// gaps of 40 ms went on only after the 200 ms that callers allow: measured with 64 boxes, worth +0.011
/// (error 0.003, 10 pairs).
pub const SILENCE_GAPS: f64 = 2.0;

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

/// Time without an event after which a stream is overdue on a path with this gap between events.
pub fn overdue_after(gap: Duration) -> Duration {
    gap.mul_f64(SILENCE_GAPS).max(LEAST_SILENCE)
}
