//! Why a target takes no requests from this box.

use std::fmt;
use std::time::Duration;

use super::{Engine, Evidence};
use crate::time::Instant;

/// Time of silence after which others take over the layers of an engine. Longer than the three
/// heartbeats of about 1.2 s each after which the store drops the entry of a target that has ended.
const MAX_SILENCE: Duration = Duration::from_secs(4);

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

    /// Whether the target has ended for certain, so that none of its requests can complete. Silence
    /// never shows that: sound targets fall silent for a moment, also several times in a row, and a
    /// silent one that has ended loses its entry.
    pub fn has_ended(&self) -> bool {
        let dead = self.health.unresponsive();
        let has_responded = |at: Instant| dead.is_some_and(|dead| at > dead.since);
        match self.absence().map(|absence| absence.reason) {
            Some(AbsenceReason::Superseded) => true,
            Some(AbsenceReason::Refused) => !self.responded_at.is_some_and(has_responded),
            _ => false,
        }
    }

    /// Whether the target has been silent for so long that others should take over its layers.
    pub fn is_silent_for_long(&self, now: Instant) -> bool {
        let Some(absence) = self.absence() else {
            return false;
        };
        let until = match absence.reason {
            // Probes of a silent target are seconds apart.
            AbsenceReason::Silent => self.health.unresponsive().map(|dead| dead.confirmed_at),
            AbsenceReason::Unreachable => Some(now),
            _ => None,
        };
        let silence = until.zip(absence.since);
        silence.is_some_and(|(until, since)| until.since(since) >= MAX_SILENCE)
    }
}
