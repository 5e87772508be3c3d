//! What an engine reports of itself: load with a lag, cache events late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Every so many cache events one is lost.
const EVENT_GAP: u64 = 10;
/// Load samples and events kept.
const KEPT: usize = 1024;

/// The load of an engine at some moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests whose KV it holds.
    pub requests: usize,
    /// Requests it can hold.
    pub slots: u32,
    /// Steps run since it started.
    pub steps_run: u64,
}

/// A prompt entered the engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number; gaps in the numbers are events that were lost.
    pub seq: u64,
    /// Hash of the prompt.
    pub prefix: u64,
}

/// Reports on their way out.
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

    pub fn note_load(&mut self, load: Load) {
        self.loads.push_back((Instant::now(), load));
        if self.loads.len() > KEPT {
            self.loads.pop_front();
        }
    }

    pub fn note_prompt(&mut self, prefix: u64) {
        self.event_seq += 1;
        if self.event_seq.is_multiple_of(EVENT_GAP) {
            return;
        }
        let event = CacheEvent {
            seq: self.event_seq,
            prefix,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > KEPT {
            self.events.pop_front();
        }
    }

    /// The last load that is older than the lag.
    pub fn load(&self) -> Load {
        let old = self
            .loads
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= self.lag);
        old.map_or(Load::default(), |(_, load)| *load)
    }

    /// The events after number `after` that are older than the lag.
    pub fn events(&self, after: u64) -> Vec<CacheEvent> {
        let due = self
            .events
            .iter()
            .filter(|(at, event)| event.seq > after && at.elapsed() >= self.lag);
        due.map(|(_, event)| *event).collect()
    }
}
