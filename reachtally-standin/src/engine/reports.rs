//! Reports of an engine: delayed load samples, and delayed cache events with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// One in this many cache events is lost.
const EVENT_LOSS_INTERVAL: u64 = 10;
/// Maximum number of buffered load samples and of buffered events.
const MAX_BUFFERED: usize = 1024;

/// A load sample of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests whose KV the engine holds.
    pub requests: usize,
    /// Number of requests whose KV fits.
    pub slots: u32,
    /// Steps run since the engine started.
    pub steps_run: u64,
}

/// Reports that a prompt was added to the engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub seq: u64,
    /// Hash of the prompt.
    pub prefix: u64,
}

/// Load samples and events that become visible after `lag`.
#[derive(Debug)]
pub(super) struct Reports {
    lag: Duration,
    loads: VecDeque<(Instant, Load)>,
    events: VecDeque<(Instant, CacheEvent)>,
    event_seq: u64,
}

impl Reports {
    pub fn new(lag: Duration) -> Self {
        Reports {
            lag,
            loads: VecDeque::new(),
            events: VecDeque::new(),
            event_seq: 0,
        }
    }

    pub fn record_load(&mut self, load: Load) {
        self.loads.push_back((Instant::now(), load));
        if self.loads.len() > MAX_BUFFERED {
            self.loads.pop_front();
        }
    }

    pub fn record_prompt(&mut self, prefix: u64) {
        self.event_seq += 1;
        if self.event_seq.is_multiple_of(EVENT_LOSS_INTERVAL) {
            return;
        }
        let event = CacheEvent {
            seq: self.event_seq,
            prefix,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_BUFFERED {
            self.events.pop_front();
        }
    }

    /// Returns the latest load sample that is at least `lag` old.
    pub fn load(&self) -> Load {
        let sample = self
            .loads
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= self.lag);
        sample.map_or(Load::default(), |(_, load)| *load)
    }

    /// Returns the events with numbers above `after` that are at least `lag` old.
    pub fn events(&self, after: u64) -> Vec<CacheEvent> {
        let due = self
            .events
            .iter()
            .filter(|(at, event)| event.seq > after && at.elapsed() >= self.lag);
        due.map(|(_, event)| *event).collect()
    }
}
