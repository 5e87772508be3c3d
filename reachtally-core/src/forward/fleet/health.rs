//! What is concluded from a target's failures.

use std::time::Duration;

use crate::time::Instant;

/// Hold-off after a first failure. A crashed engine is seen by several requests at once, and a
/// single lost answer should not cost an engine much.
const FIRST_HOLD: Duration = Duration::from_millis(500);
/// Hold-off of a target that refused a request because it is full: its load is known anew by then.
const FULL_HOLD: Duration = Duration::from_millis(150);
/// How long a target that contradicted its entry is left alone, unless the entry changes before: entries
/// that lapse do so after three heartbeats of a second or so.
const CONTRADICTED_HOLD: Duration = Duration::from_secs(4);
/// Longest hold-off.
const LONGEST_HOLD: Duration = Duration::from_secs(8);
/// A target that worked this long since its last failure starts over with the first hold-off.
const FORGIVEN_AFTER: Duration = Duration::from_secs(10);
/// An entry that is read this long after its target was found dead was written by a live target:
/// entries are read within a second.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(1300);
/// Time until a dead target is probed again; doubles with each probe that fails.
const FIRST_PROBE_PAUSE: Duration = Duration::from_millis(600);
/// Longest such time.
const LONGEST_PROBE_PAUSE: Duration = Duration::from_millis(2400);
/// A target that was found dead within this time before its failure domain was found unreachable is taken to be dead for that
/// reason alone.
const CUT_DELAY: Duration = Duration::from_secs(1);

/// Failures of a target and what was concluded.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// No requests before this instant unless nothing else is left.
    pub held_until: Option<Instant>,
    /// Until when it is taken to have no room, whatever is reckoned.
    full_until: Option<Instant>,
    hold: Duration,
    failed_at: Option<Instant>,
    /// Since when it takes no connections.
    dead_since: Option<Instant>,
    /// When it is probed next while it is dead.
    probe_at: Instant,
    probe_pause: Duration,
    /// Since when this box reaches no target of its failure domain.
    unreachable_since: Option<Instant>,
    /// When it was last seen to take a connection or write its entry.
    alive_at: Option<Instant>,
    /// Until when it is left alone because it does not hold what its entry says.
    contradicted_until: Option<Instant>,
    /// Since when another target has its address.
    superseded_at: Option<Instant>,
}

impl Health {
    /// Whether the target is held off.
    pub fn is_held(&self, now: Instant) -> bool {
        self.held_until.is_some_and(|until| now < until) || self.is_full(now)
    }

    /// Whether the target refused a request a moment ago.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Whether the target takes no connections, as far as is known.
    pub fn is_dead(&self) -> bool {
        self.dead_since.is_some() || self.is_unreachable() || self.superseded_at.is_some()
    }

    /// Whether this box found that the target takes no connections, or that it reaches no target of its failure domain.
    pub fn is_silent(&self) -> bool {
        (self.dead_since.is_some() || self.is_unreachable()) && self.superseded_at.is_none()
    }

    /// Whether this box reaches no target of its failure domain.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }

    /// Whether the target itself was found dead while its failure domain is reachable.
    pub fn is_alone_silent(&self) -> bool {
        self.is_silent() && !self.is_unreachable()
    }

    /// When the target is probed next while it is dead.
    pub fn probe_at(&self) -> Instant {
        self.probe_at
    }

    /// A dead target was probed in vain.
    pub fn probed_in_vain(&mut self, now: Instant) {
        self.probe_at = now + self.probe_pause;
        self.probe_pause = (self.probe_pause * 2).min(LONGEST_PROBE_PAUSE);
    }

    /// This box reaches the failure domain of the target, or no longer does.
    pub(super) fn set_reachable(&mut self, is_reachable: bool, now: Instant) {
        if !is_reachable {
            self.unreachable_since.get_or_insert(now);
            return;
        }
        if let Some(since) = self.unreachable_since.take() {
            self.dead_since.take_if(|at| *at + CUT_DELAY >= since);
        }
    }

    /// Whether the target lately turned out not to hold what its entry says.
    pub fn is_contradicted(&self, now: Instant) -> bool {
        self.contradicted_until.is_some_and(|until| now < until)
    }

    /// The target does not hold what its entry says: another run may have taken its address.
    pub fn contradicted(&mut self, now: Instant) {
        self.contradicted_until = Some(now + CONTRADICTED_HOLD);
    }

    /// The target took no connection.
    pub fn found_dead(&mut self, now: Instant) {
        if self.dead_since.is_none() {
            self.dead_since = Some(now);
            self.probe_pause = FIRST_PROBE_PAUSE;
            self.probed_in_vain(now);
        }
    }

    /// The target took a connection.
    pub fn found_alive(&mut self, now: Instant) {
        self.dead_since = None;
        self.alive_at = Some(now);
    }

    /// The target wrote its entry; yields whether it is back at an address that another claimed. Only a live target goes
    /// on writing, so the claim was wrong.
    pub(super) fn wrote(&mut self, now: Instant) -> bool {
        let is_later = |at: Instant| now.since(at) > HEARTBEAT_DELAY;
        if self.dead_since.is_none_or(is_later) {
            self.found_alive(now);
        }
        self.superseded_at.take_if(|at| is_later(*at)).is_some()
    }

    /// Its entry changed: what it contradicted before says nothing of that.
    pub(super) fn entry_changed(&mut self) {
        self.contradicted_until = None;
    }

    /// Another target has its address.
    pub(super) fn superseded(&mut self, now: Instant) {
        self.superseded_at.get_or_insert(now);
    }

    /// Whether another target has its address.
    pub(super) fn is_superseded(&self) -> bool {
        self.superseded_at.is_some()
    }

    /// When the target was last seen alive.
    pub fn alive_at(&self) -> Option<Instant> {
        self.alive_at
    }

    /// The target refused a request, which is no failure.
    pub fn refused(&mut self, now: Instant) {
        self.full_until = Some(now + FULL_HOLD);
    }

    /// Count a failure: each one in a row doubles the hold-off.
    pub fn failed(&mut self, now: Instant) {
        if self.is_held(now) {
            return;
        }
        let forgiven = self
            .failed_at
            .is_none_or(|at| now.since(at) > FORGIVEN_AFTER);
        self.hold = match forgiven {
            true => FIRST_HOLD,
            false => (self.hold * 2).clamp(FIRST_HOLD, LONGEST_HOLD),
        };
        self.failed_at = Some(now);
        self.held_until = Some(now + self.hold);
    }
}
