//! Why a target takes no requests from this box.

use std::fmt;
use std::time::Duration;

use super::{Engine, Evidence};
use crate::time::Instant;

/// Time of silence after which a target counts as ended. Longer than the three heartbeats of about
/// 1.2 s each after which the store drops the entry of a silent target.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// Why a target takes no requests from this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbsenceReason {
    /// Another target has its address.
    Superseded,
    /// Its machine refuses connections.
    Refused,
    /// It announced that it is leaving.
    Leaving,
    /// Its entry is missing, possibly because the store lost it.
    Missing,
    /// It does not answer connections.
    Silent,
    /// This box reaches no target of its failure domain.
    Unreachable,
}

/// Why and since when a target takes no requests from this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Absence {
    /// The strongest reason.
    pub reason: AbsenceReason,
    /// Start of the period for which the reason has been known to hold, if recorded.
    pub since: Option<Instant>,
}

impl Absence {
    /// Returns a description for the log.
    pub fn describe(&self, now: Instant) -> impl fmt::Display {
        let age = self.since.map(|since| now.since(since).as_millis());
        let age = age.map_or_else(String::new, |ms| format!(" for {ms} ms"));
        format!("{:?}{age}", self.reason)
    }
}

impl Engine {
    /// Returns why the target takes no requests from this box, unless it does.
    pub fn absence(&self) -> Option<Absence> {
        let absence = |reason, since| Some(Absence { reason, since });
        let unresponsive = self.health.unresponsive();
        let is_refused = |evidence| evidence == Evidence::Refused;
        if self.health.is_superseded() {
            return absence(AbsenceReason::Superseded, None);
        }
        if let Some(dead) = unresponsive.filter(|dead| is_refused(dead.evidence)) {
            return absence(AbsenceReason::Refused, Some(dead.since));
        }
        if self.is_leaving() {
            return absence(AbsenceReason::Leaving, None);
        }
        if self.missing_since.is_some() {
            return absence(AbsenceReason::Missing, self.missing_since);
        }
        if let Some(dead) = unresponsive {
            return absence(AbsenceReason::Silent, Some(dead.since));
        }
        let unreachable_since = self.health.unreachable_since();
        unreachable_since.and_then(|_| absence(AbsenceReason::Unreachable, unreachable_since))
    }

    /// Whether the target has ended for certain, so that none of its requests can complete. A sound
    /// target may answer no connections for a moment, and the store may have lost the entry of
    /// another.
    pub fn has_ended(&self, now: Instant) -> bool {
        let Some(absence) = self.absence() else {
            return false;
        };
        let dead = self.health.unresponsive();
        let has_responded = |at: Instant| dead.is_some_and(|dead| at > dead.since);
        let is_silent_until = |until: Instant| {
            let since = absence.since.unwrap_or(until);
            until.since(since) >= SILENCE_LIMIT
        };
        match absence.reason {
            AbsenceReason::Superseded => true,
            AbsenceReason::Refused => !self.responded_at.is_some_and(has_responded),
            AbsenceReason::Silent => {
                // Probes of a silent target are seconds apart.
                let is_confirmed = dead.is_some_and(|dead| is_silent_until(dead.confirmed_at));
                is_confirmed && !self.responded_at.is_some_and(has_responded)
            }
            AbsenceReason::Unreachable => is_silent_until(now),
            AbsenceReason::Leaving | AbsenceReason::Missing => false,
        }
    }
}
