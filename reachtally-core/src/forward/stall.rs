//! Which engines have stopped making progress, judged from the events of all streams of this box.
//!
//! One stream may pause for many reasons. An engine on which *every* stream of this box has paused,
//! although several run there, has very probably died or been cut off.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::forward::fleet::EngineKey;
use crate::time::Instant;

/// Least silence that counts, however fast the path is: scheduling and queues cause shorter ones.
pub const LEAST_SILENCE: Duration = Duration::from_millis(80);
/// Silence that counts, in expected gaps between events.
pub const SILENCE_GAPS: f64 = 4.0;

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
