//! One target, and what is believed of it.

use std::time::Duration;

use super::{Entry, Health, Notice};
use crate::forward::limit::Permits;
use crate::time::Instant;

/// How long what an engine told of its pace holds: troubles last some seconds, and asking costs little.
const PACE_LIFE: Duration = Duration::from_millis(2500);
/// Slowest pace that is believed of an engine; beyond it is as good as silent.
const SLOWEST_PACE: f64 = 1000.0;
/// How long what a run wrote shields it from entries of earlier runs under its id: longer than the three heartbeats, of
/// some 1.2 s each, after which the store drops a silent target's entry. Without an end, an entry that tells a start
/// ahead of time would shut out the target that is there.
const RUN_SHIELDED: Duration = Duration::from_secs(4);
/// Other boxes that must have found a target silent before it counts: one may have lost its own link.
const LEAST_WITNESSES: u32 = 2;

/// One target.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its entry.
    pub entry: Entry,
    /// Requests of this box that it takes part in.
    pub running: u32,
    /// KV tokens that those hold on average while they run.
    pub tokens: f64,
    /// Prompt tokens of those that wait to be read there.
    pub reading: f64,
    /// Requests that other boxes have on it, as they last told.
    pub running_elsewhere: f64,
    /// KV tokens that those hold on average while they run.
    pub tokens_elsewhere: f64,
    /// Prompt tokens of those that wait to be read there.
    pub reading_elsewhere: f64,
    /// Requests that the target itself last told of, less those of this box.
    pub others_told: f64,
    /// How much longer it took than it should when this box last asked it, and when that was.
    pace: Option<(f64, Instant)>,
    /// The largest such figure that other boxes tell.
    pub pace_elsewhere: Option<f64>,
    /// Other boxes that found that it takes no connections.
    pub silent_elsewhere: u32,
    /// Its failures.
    pub health: Health,
    /// What it asked of this box.
    pub notice: Notice,
    /// Sends that are permitted while it states a rate limit.
    pub permits: Permits,
    /// When its entry was last read.
    pub(super) heard_at: Instant,
    /// Since when its entry is missing though that may be the store's fault.
    pub missing_since: Option<Instant>,
}

impl Engine {
    /// A target of which nothing is known but its entry, read at `now`, and what it asked of this box before.
    pub(super) fn new(entry: Entry, notice: Notice, now: Instant) -> Self {
        Engine {
            entry,
            running: 0,
            tokens: 0.0,
            reading: 0.0,
            running_elsewhere: 0.0,
            tokens_elsewhere: 0.0,
            reading_elsewhere: 0.0,
            others_told: 0.0,
            pace: None,
            pace_elsewhere: None,
            silent_elsewhere: 0,
            health: Health::default(),
            notice,
            permits: Permits::default(),
            heard_at: now,
            missing_since: None,
        }
    }

    /// Whether the run said that it leaves, in its entry or in an answer to this box.
    pub fn is_leaving(&self) -> bool {
        self.entry.draining || self.notice.is_leaving()
    }

    /// Whether the run accepts requests of this box at present: it neither leaves nor asked for back-off.
    pub fn accepts_requests(&self, now: Instant) -> bool {
        !self.is_leaving() && !self.notice.is_backing_off(now)
    }

    /// Whether boxes send requests to it: not to engines that only run later layers.
    pub fn is_entry_point(&self) -> bool {
        self.entry.card.is_none() || self.entry.layers.contains(&0)
    }

    /// Whether a rate limit keeps this box from sending a request to it now.
    pub fn lacks_permit(&self, now: Instant) -> bool {
        self.notice.limit().is_some() && !self.permits.has(now)
    }

    /// Uses a permit for a send now; yields whether the send is permitted.
    pub fn take_permit(&mut self, now: Instant) -> bool {
        self.notice.limit().is_none() || self.permits.take(now)
    }

    /// Whether this run's entry was read lately.
    pub(super) fn is_heard(&self, now: Instant) -> bool {
        now.since(self.heard_at) < RUN_SHIELDED
    }

    /// Forget what other boxes told.
    pub(super) fn clear_elsewhere(&mut self) {
        self.running_elsewhere = 0.0;
        self.tokens_elsewhere = 0.0;
        self.reading_elsewhere = 0.0;
        self.pace_elsewhere = None;
        self.silent_elsewhere = 0;
    }

    /// Whether several other boxes found that it takes no connections. Told with their loads, so that not each
    /// box finds out by itself.
    pub fn is_silent_elsewhere(&self) -> bool {
        self.silent_elsewhere >= LEAST_WITNESSES
    }

    /// The engine told how much longer than it should it takes. What is no number tells nothing.
    pub fn told_pace(&mut self, pace: f64, now: Instant) {
        if !pace.is_nan() {
            self.pace = Some((pace.clamp(1.0, SLOWEST_PACE), now));
        }
    }

    /// What the engine told this box lately.
    pub fn own_pace(&self, now: Instant) -> Option<f64> {
        let (pace, at) = self.pace?;
        (now.since(at) < PACE_LIFE).then_some(pace)
    }

    /// How much longer than it should the engine takes, as far as is known.
    pub fn slowness(&self, now: Instant) -> f64 {
        self.own_pace(now).or(self.pace_elsewhere).unwrap_or(1.0)
    }
}
