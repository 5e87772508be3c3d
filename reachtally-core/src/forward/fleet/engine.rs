//! One target and its state.

use std::time::Duration;

use super::{Entry, Health, Notice, Queues};
use crate::forward::limit::Permits;
use crate::time::Instant;

/// Time for which a reported pace holds: slowdowns last some seconds, and asking costs little.
const PACE_LIFE: Duration = Duration::from_millis(2500);
/// Time for which the requests count that an instance of a plain service reported with an answer: as long as reports of boxes take to be
/// known everywhere, and a few times as long as its requests run.
const TOLD_LIFE: Duration = Duration::from_millis(500);
/// Upper bound on the pace of an engine; beyond it the engine is as good as silent.
const SLOWEST_PACE: f64 = 1000.0;
/// Time for which entries of earlier runs under an id are ignored after an entry of its run: longer than the three heartbeats, of
/// some 1.2 s each, after which the store drops a silent target's entry. It ends, so that an entry with a start in the future does
/// not shut out the live target for good.
const RUN_SHIELDED: Duration = Duration::from_secs(4);
/// Other boxes that must report a target as silent before it counts: one may have lost its own link.
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
    /// Requests of other boxes, as last reported.
    pub remote_running: f64,
    /// KV tokens that those hold on average while they run.
    pub remote_tokens: f64,
    /// Prompt tokens of those that wait to be read there.
    pub remote_reading: f64,
    /// Requests that the target itself last reported, less those of this box.
    pub others_told: f64,
    /// Requests that wait there, as it stated to this box and to others.
    pub queues: Queues,
    /// When it reported them.
    pub others_told_at: Instant,
    /// The slowdown factor that it last reported to this box, and when.
    pace: Option<(f64, Instant)>,
    /// The largest slowdown factor that other boxes report.
    pub remote_pace: Option<f64>,
    /// Other boxes to which it accepts no connections.
    pub remote_silent: u32,
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
    /// Creates a target from its entry, read at `now`, and the notice kept of its run.
    pub(super) fn new(entry: Entry, notice: Notice, now: Instant) -> Self {
        Engine {
            entry,
            running: 0,
            tokens: 0.0,
            reading: 0.0,
            remote_running: 0.0,
            remote_tokens: 0.0,
            remote_reading: 0.0,
            others_told: 0.0,
            queues: Queues::default(),
            others_told_at: now,
            pace: None,
            remote_pace: None,
            remote_silent: 0,
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

    /// Returns the requests of others that the target reported within [`TOLD_LIFE`], else 0.
    pub fn others_told_lately(&self, now: Instant) -> f64 {
        match now.since(self.others_told_at) < TOLD_LIFE {
            true => self.others_told,
            false => 0.0,
        }
    }

    /// Removes what other boxes reported.
    pub(super) fn clear_remote(&mut self) {
        self.remote_running = 0.0;
        self.remote_tokens = 0.0;
        self.remote_reading = 0.0;
        self.remote_pace = None;
        self.remote_silent = 0;
    }

    /// Whether several other boxes report that it accepts no connections, so that not each box finds out by itself.
    pub fn is_remotely_silent(&self) -> bool {
        self.remote_silent >= LEAST_WITNESSES
    }

    /// Takes in a reported slowdown factor; `NaN` is ignored.
    pub fn told_pace(&mut self, pace: f64, now: Instant) {
        if !pace.is_nan() {
            self.pace = Some((pace.clamp(1.0, SLOWEST_PACE), now));
        }
    }

    /// Returns the slowdown factor that the engine reported to this box lately.
    pub fn own_pace(&self, now: Instant) -> Option<f64> {
        let (pace, at) = self.pace?;
        (now.since(at) < PACE_LIFE).then_some(pace)
    }

    /// Returns the slowdown factor as far as it is known, else 1.
    pub fn slowness(&self, now: Instant) -> f64 {
        self.own_pace(now).or(self.remote_pace).unwrap_or(1.0)
    }
}
