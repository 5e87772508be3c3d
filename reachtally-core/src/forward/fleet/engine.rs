//! A target and its state.

use std::time::Duration;

use super::succession::Succession;
use super::{Entry, Health, Notice, Queues, RunMark};
use crate::forward::limit::Permits;
use crate::time::Instant;

/// How long a reported slowdown factor is valid. Slowdowns last some seconds, and asking again is
/// cheap.
const SLOWDOWN_TTL: Duration = Duration::from_millis(2500);
/// Time for which a response shows that the target reads what it is sent.
const RESPONSE_TTL: Duration = Duration::from_millis(20);
/// How long the number of running requests that an instance of a plain service reported with an
/// answer is valid: about the time until box reports are known everywhere, and a few times the
/// duration of its requests.
const TARGET_REPORT_TTL: Duration = Duration::from_millis(500);
/// Upper bound on the slowdown factor of an engine; beyond it the engine is as good as
/// unresponsive.
const MAX_SLOWDOWN: f64 = 1000.0;
/// How long entries of earlier runs of an id are ignored after an entry of the current run. Longer
/// than the three heartbeats of about 1.2 s each after which the store drops the entry of an
/// unresponsive target. It is limited so that an entry with a start time in the future cannot
/// exclude the live target permanently.
const EARLIER_RUN_IGNORE_TIME: Duration = Duration::from_secs(4);
/// Number of other boxes that must report a target as unresponsive before it counts, since a single
/// one may have lost its own link.
const MIN_WITNESSES: u32 = 2;

/// A target.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its entry.
    pub entry: Entry,
    /// Running requests of this box that the target takes part in.
    pub running: u32,
    /// KV tokens that these requests hold on average while they run.
    pub tokens: f64,
    /// Prompt tokens of this box that wait to be prefilled there.
    pub reading: f64,
    /// Running requests of other boxes, as last reported.
    pub remote_running: f64,
    /// KV tokens that these requests hold on average while they run.
    pub remote_tokens: f64,
    /// Prompt tokens of other boxes that wait to be prefilled there.
    pub remote_prefill: f64,
    /// Running requests that the target itself last reported, without those of this box.
    pub reported_remote_running: f64,
    /// Queue lengths that the target stated to this box and to others.
    pub queues: Queues,
    /// When the target last reported its running requests.
    pub reported_remote_at: Instant,
    /// When this box last received a response of the target, or a part of one.
    pub responded_at: Option<Instant>,
    /// The slowdown factor that the target last reported to this box, and when.
    slowdown: Option<(f64, Instant)>,
    /// The largest slowdown factor that other boxes report.
    pub remote_slowdown: Option<f64>,
    /// Number of other boxes to which it accepts no connections.
    pub remote_unresponsive: u32,
    /// Failures and what follows from them.
    pub health: Health,
    /// What the target asked of this box.
    pub notice: Notice,
    /// Permits for sends, used while the target states a rate limit.
    pub permits: Permits,
    /// The run that it replaced, if that had the same address.
    pub(super) succession: Option<Succession>,
    /// When its entry was last read.
    pub(super) entry_read_at: Instant,
    /// When an entry that it had just written was last read.
    pub entry_written_at: Option<Instant>,
    /// Since when its entry is missing, possibly because the store lost it.
    pub missing_since: Option<Instant>,
}

impl Engine {
    /// Returns whether the target has responded to this box so recently that it is taken to read what it is sent now.
    pub fn has_just_responded(&self, now: Instant) -> bool {
        self.responded_at
            .is_some_and(|at| now.since(at) < RESPONSE_TTL)
    }

    /// Creates a target from an entry read at `now` and the notice retained for its run.
    pub(super) fn new(entry: Entry, notice: Notice, now: Instant) -> Self {
        Engine {
            entry,
            running: 0,
            tokens: 0.0,
            reading: 0.0,
            remote_running: 0.0,
            remote_tokens: 0.0,
            remote_prefill: 0.0,
            reported_remote_running: 0.0,
            queues: Queues::default(),
            reported_remote_at: now,
            responded_at: None,
            slowdown: None,
            remote_slowdown: None,
            remote_unresponsive: 0,
            health: Health::default(),
            notice,
            permits: Permits::default(),
            succession: None,
            entry_read_at: now,
            entry_written_at: None,
            missing_since: None,
        }
    }

    /// Returns the notice to update by the answer to a request that was sent at `asked_at` to the run before this one, if this one may have
    /// answered.
    pub(super) fn inheriting(
        &mut self,
        mark: RunMark,
        asked_at: Instant,
    ) -> Option<(&mut Notice, Succession)> {
        let succession = self
            .succession
            .filter(|succession| succession.follows(mark) && succession.may_include(asked_at))?;
        Some((&mut self.notice, succession))
    }

    /// Whether the run announced that it is leaving, in its entry or in an answer to this box.
    pub fn is_leaving(&self) -> bool {
        self.entry.draining || self.notice.is_leaving()
    }

    /// Whether the run accepts requests from this box: it is not leaving and did not ask for
    /// back-off.
    pub fn accepts_requests(&self, now: Instant) -> bool {
        !self.is_leaving() && !self.notice.is_backing_off(now)
    }

    /// Whether boxes send requests to it directly, as opposed to engines that only run later
    /// layers.
    pub fn is_entry_point(&self) -> bool {
        self.entry.card.is_none() || self.entry.layers.contains(&0)
    }

    /// Whether a rate limit prevents this box from sending a request to it now.
    pub fn lacks_permit(&self, now: Instant) -> bool {
        self.notice.limit().is_some() && !self.permits.has(now)
    }

    /// Consumes a permit for a send. Returns whether the send is permitted.
    pub fn take_permit(&mut self, now: Instant) -> bool {
        self.notice.limit().is_none() || self.permits.take(now)
    }

    /// Whether the entry of this run was read recently.
    pub(super) fn was_read_recently(&self, now: Instant) -> bool {
        now.since(self.entry_read_at) < EARLIER_RUN_IGNORE_TIME
    }

    /// Returns the running requests of other boxes that the target reported within
    /// `TARGET_REPORT_TTL`, else 0.
    pub fn recent_remote_running(&self, now: Instant) -> f64 {
        match now.since(self.reported_remote_at) < TARGET_REPORT_TTL {
            true => self.reported_remote_running,
            false => 0.0,
        }
    }

    /// Clears everything that other boxes reported.
    pub(super) fn clear_remote(&mut self) {
        self.remote_running = 0.0;
        self.remote_tokens = 0.0;
        self.remote_prefill = 0.0;
        self.remote_slowdown = None;
        self.remote_unresponsive = 0;
    }

    /// Whether several other boxes report that it accepts no connections, so that each box need not
    /// find out by itself.
    pub fn is_reported_unresponsive(&self) -> bool {
        self.remote_unresponsive >= MIN_WITNESSES
    }

    /// Records a reported slowdown factor; `NaN` is ignored.
    pub fn record_slowdown(&mut self, slowdown: f64, now: Instant) {
        if !slowdown.is_nan() {
            self.slowdown = Some((slowdown.clamp(1.0, MAX_SLOWDOWN), now));
        }
    }

    /// Returns the slowdown factor that the engine reported to this box, unless it has expired.
    pub fn own_slowdown(&self, now: Instant) -> Option<f64> {
        let (slowdown, at) = self.slowdown?;
        (now.since(at) < SLOWDOWN_TTL).then_some(slowdown)
    }

    /// Returns the known slowdown factor, else 1.
    pub fn slowdown(&self, now: Instant) -> f64 {
        self.own_slowdown(now)
            .or(self.remote_slowdown)
            .unwrap_or(1.0)
    }
}
