//! Failure tracking of a target.

use std::time::Duration;

use crate::time::Instant;

/// Cooldown after the first failure. Several requests notice a crashed engine at once, and a single
/// lost answer should not exclude an engine for long.
const INITIAL_COOLDOWN: Duration = Duration::from_millis(500);
/// Cooldown of a target that refused a request because it is full; its load is known again by then.
const FULL_COOLDOWN: Duration = Duration::from_millis(150);
/// Cooldown of a target that contradicted its entry, unless the entry changes before. An outdated
/// entry expires after three heartbeats of about a second each.
const CONTRADICTED_COOLDOWN: Duration = Duration::from_secs(4);
/// Longest cooldown.
const MAX_COOLDOWN: Duration = Duration::from_secs(8);
/// A failure that comes later than this after the previous one starts over with the initial
/// cooldown.
const COOLDOWN_RESET_AFTER: Duration = Duration::from_secs(10);
/// An entry read later than this after its target was found dead was written by a live target,
/// since entries are read within a second.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(1300);
/// Time until a dead target is probed again; doubles with each failed probe.
const INITIAL_PROBE_INTERVAL: Duration = Duration::from_millis(600);
/// Longest time between two probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(2400);
/// A target that was found dead less than this before its failure domain became unreachable is
/// assumed to be dead only because of that.
const DOMAIN_CUT_DELAY: Duration = Duration::from_secs(1);

/// What shows that a target accepts no connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Its machine refused a connection: nothing listens on the port.
    Refused,
    /// Connections were not answered: it may be down, cut off from this box, or stopped for a moment.
    Silent,
}

/// Why and since when a target counts as dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unresponsive {
    /// The strongest evidence so far.
    pub evidence: Evidence,
    /// Time of the first failed connection.
    pub since: Instant,
    /// Time of the last failed connection.
    pub confirmed_at: Instant,
}

/// Failures of a target and the conclusions from them.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// Requests avoid the target until then, unless no other target is left.
    pub cooldown_until: Option<Instant>,
    /// The target counts as full until then, whatever its computed load.
    full_until: Option<Instant>,
    cooldown: Duration,
    failed_at: Option<Instant>,
    /// Set while it accepts no connections.
    unresponsive: Option<Unresponsive>,
    /// Time of the next probe while it is dead.
    probe_at: Instant,
    probe_interval: Duration,
    /// Since when this box reaches no target of its failure domain.
    unreachable_since: Option<Instant>,
    /// When it last accepted a connection.
    alive_at: Option<Instant>,
    /// Requests avoid it until then because it does not hold what its entry says.
    contradicted_until: Option<Instant>,
    /// Since when another target has its address.
    superseded_at: Option<Instant>,
}

impl Health {
    /// Whether the target is in a cooldown.
    pub fn is_cooling_down(&self, now: Instant) -> bool {
        self.cooldown_until.is_some_and(|until| now < until) || self.is_full(now)
    }

    /// Whether the target recently refused a request because it was full.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Whether the target is known to accept no connections.
    pub fn is_dead(&self) -> bool {
        self.unresponsive.is_some() || self.is_unreachable() || self.superseded_at.is_some()
    }

    /// Whether this box found that the target accepts no connections, or that its whole failure
    /// domain is unreachable.
    pub fn is_unresponsive(&self) -> bool {
        (self.unresponsive.is_some() || self.is_unreachable()) && self.superseded_at.is_none()
    }

    /// Returns why and since when the target accepts no connections, unless it does.
    pub fn unresponsive(&self) -> Option<Unresponsive> {
        self.unresponsive
    }

    /// Whether this box reaches no target of its failure domain.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }

    /// Returns since when this box reaches no target of the failure domain, unless it does.
    pub fn unreachable_since(&self) -> Option<Instant> {
        self.unreachable_since
    }

    /// Whether the target itself was found dead while its failure domain is reachable.
    pub fn is_individually_unresponsive(&self) -> bool {
        self.is_unresponsive() && !self.is_unreachable()
    }

    /// Time of the next probe while the target is dead.
    pub fn probe_at(&self) -> Instant {
        self.probe_at
    }

    /// Records a failed probe of a dead target, and schedules the next one.
    pub fn probe_failed(&mut self, now: Instant, evidence: Evidence) {
        if self.unresponsive.is_some() {
            self.mark_dead(now, evidence);
        }
        self.schedule_probe(now);
    }

    fn schedule_probe(&mut self, now: Instant) {
        self.probe_at = now + self.probe_interval;
        self.probe_interval = (self.probe_interval * 2).min(MAX_PROBE_INTERVAL);
    }

    /// Updates whether this box reaches the failure domain of the target.
    pub(super) fn set_reachable(&mut self, is_reachable: bool, now: Instant) {
        if !is_reachable {
            self.unreachable_since.get_or_insert(now);
            return;
        }
        if let Some(since) = self.unreachable_since.take() {
            self.unresponsive
                .take_if(|dead| dead.since + DOMAIN_CUT_DELAY >= since);
        }
    }

    /// Whether the target recently turned out not to hold what its entry says.
    pub fn is_contradicted(&self, now: Instant) -> bool {
        self.contradicted_until.is_some_and(|until| now < until)
    }

    /// Records that the target does not hold what its entry says: another run may have taken its
    /// address.
    pub fn mark_contradicted(&mut self, now: Instant) {
        self.contradicted_until = Some(now + CONTRADICTED_COOLDOWN);
    }

    /// Records that the target did not accept a connection.
    pub fn mark_dead(&mut self, now: Instant, evidence: Evidence) {
        let Some(known) = &mut self.unresponsive else {
            self.unresponsive = Some(Unresponsive {
                evidence,
                since: now,
                confirmed_at: now,
            });
            self.probe_interval = INITIAL_PROBE_INTERVAL;
            self.schedule_probe(now);
            return;
        };
        known.confirmed_at = now;
        if evidence == Evidence::Refused {
            known.evidence = evidence;
        }
    }

    /// Records that the target accepted a connection.
    pub fn mark_alive(&mut self, now: Instant) {
        self.unresponsive = None;
        self.alive_at = Some(now);
    }

    /// Records that the target wrote its entry. Returns whether it is back at an address that
    /// another target claimed: only a live target keeps writing, so the claim was wrong.
    ///
    /// The entry does not show that this box reaches the target, so a dead one stays dead and is
    /// probed soon.
    pub(super) fn entry_written(&mut self, now: Instant) -> bool {
        let is_later = |at: Instant| now.since(at) > HEARTBEAT_DELAY;
        if self.unresponsive.is_some_and(|dead| is_later(dead.since)) {
            self.probe_at = self.probe_at.min(now);
        }
        self.superseded_at.take_if(|at| is_later(*at)).is_some()
    }

    /// Clears the contradiction, which refers to the previous entry.
    pub(super) fn entry_changed(&mut self) {
        self.contradicted_until = None;
    }

    /// Records that another target claimed its address.
    pub(super) fn mark_superseded(&mut self, now: Instant) {
        self.superseded_at.get_or_insert(now);
    }

    /// Whether another target has its address.
    pub(super) fn is_superseded(&self) -> bool {
        self.superseded_at.is_some()
    }

    /// When the target last accepted a connection.
    pub fn alive_at(&self) -> Option<Instant> {
        self.alive_at
    }

    /// Records that the target refused a request because it was full, which is not a failure.
    pub fn refused(&mut self, now: Instant) {
        self.full_until = Some(now + FULL_COOLDOWN);
    }

    /// Records a failure; each consecutive one doubles the cooldown.
    pub fn record_failure(&mut self, now: Instant) {
        if self.is_cooling_down(now) {
            return;
        }
        let is_reset = self
            .failed_at
            .is_none_or(|at| now.since(at) > COOLDOWN_RESET_AFTER);
        self.cooldown = match is_reset {
            true => INITIAL_COOLDOWN,
            false => (self.cooldown * 2).clamp(INITIAL_COOLDOWN, MAX_COOLDOWN),
        };
        self.failed_at = Some(now);
        self.cooldown_until = Some(now + self.cooldown);
    }
}
