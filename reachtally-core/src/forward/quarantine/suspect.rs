//! A suspect request or part of a prompt, and the runs of targets that crashed while running it.

use sha2::{Digest, Sha256};

use super::weight::{QUARANTINE_WEIGHT, Weight};
use super::{ChangeOrigin, SuspectReport, TRIAL_DELAY, TRIAL_DELAY_FACTOR};
use crate::forward::fingerprint::Fingerprint;
use crate::forward::fleet::TargetRun;
use crate::time::Instant;

/// Smallest number of crashes of a quarantined part.
const MIN_CRASHES: usize = 2;
/// Crashes kept per request; further ones do not change the verdict.
pub const MAX_CRASHES: usize = 8;

/// Digest that distinguishes runs of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunDigest(pub u32);

impl From<&TargetRun> for RunDigest {
    fn from(run: &TargetRun) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(run.mark.0.to_be_bytes());
        hasher.update(run.id.as_bytes());
        RunDigest(first_word(hasher))
    }
}

/// Digest that distinguishes client accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountDigest(pub u32);

impl From<Option<&str>> for AccountDigest {
    fn from(account: Option<&str>) -> Self {
        let name = account.unwrap_or_default();
        AccountDigest(first_word(Sha256::new_with_prefix(name)))
    }
}

/// Returns the first four bytes of a digest.
fn first_word(hasher: Sha256) -> u32 {
    let digest = hasher.finalize();
    u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]])
}

/// A crash of a run while a request was assigned to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashRecord {
    /// The run that crashed.
    pub run: RunDigest,
    /// How strongly the crash speaks against the request.
    pub weight: Weight,
    /// Whether the request has been answered completely since.
    pub is_acquitted: bool,
}

impl CrashRecord {
    fn merge(&mut self, other: &CrashRecord) {
        self.weight = self.weight.max(other.weight);
        self.is_acquitted |= other.is_acquitted;
    }
}

/// Assessment of a request, from the least to the most severe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// No suspicion.
    Clear,
    /// Targets crashed while running it, possibly by coincidence.
    Suspected,
    /// It is no longer sent to any target.
    Quarantined,
}

/// The record of one request or part of a prompt.
#[derive(Debug)]
pub(super) struct SuspectRequest {
    pub account: AccountDigest,
    /// Crashes that were not cleared come first.
    ends: Vec<CrashRecord>,
    /// When the record expires.
    pub expires: Instant,
    pub changed_at: Instant,
    pub changed_by: ChangeOrigin,
    /// When this box learned of the last crash.
    pub crashed_at: Instant,
    /// Whether this box saw one of the crashes.
    pub was_seen_here: bool,
    /// When this box last tried it again.
    pub tried_at: Option<Instant>,
}

impl SuspectRequest {
    pub fn new(account: AccountDigest, now: Instant) -> Self {
        SuspectRequest {
            account,
            ends: Vec::new(),
            expires: now,
            changed_at: now,
            changed_by: ChangeOrigin::Any,
            crashed_at: now,
            was_seen_here: false,
            tried_at: None,
        }
    }

    fn uncleared(&self) -> impl Iterator<Item = &CrashRecord> {
        self.ends.iter().filter(|end| !end.is_acquitted)
    }

    /// Returns the runs whose crashes were not cleared.
    pub fn crashed_runs(&self) -> impl Iterator<Item = RunDigest> {
        self.uncleared().map(|end| end.run)
    }

    /// Whether a crash of `run` was not cleared.
    pub fn crashed(&self, run: RunDigest) -> bool {
        self.crashed_runs().any(|crashed| crashed == run)
    }

    /// Whether a quarantined part is to be tried again.
    pub fn is_trial_due(&self, spread: f64, now: Instant) -> bool {
        let crashes = self.uncleared().count();
        let growth = crashes.saturating_sub(MIN_CRASHES) as u32;
        let delay = TRIAL_DELAY * TRIAL_DELAY_FACTOR.pow(growth);
        let last = self
            .crashed_at
            .max(self.tried_at.unwrap_or(self.crashed_at));
        now.since(last) >= delay.mul_f64(1.0 + spread)
    }

    pub fn verdict(&self) -> Verdict {
        match self.evidence() {
            0 => Verdict::Clear,
            evidence if evidence < QUARANTINE_WEIGHT => Verdict::Suspected,
            _ => Verdict::Quarantined,
        }
    }

    /// Returns the sum of the weights of the crashes that were not cleared.
    pub fn evidence(&self) -> u32 {
        self.uncleared().map(|end| end.weight.points()).sum()
    }

    /// Orders suspects by how many crashes they are present at, then by their evidence.
    pub fn rank(&self) -> (usize, u32) {
        (self.uncleared().count(), self.evidence())
    }

    /// Whether `run` crashed under the request, cleared or not.
    pub fn has_record_of(&self, run: RunDigest) -> bool {
        self.ends.iter().any(|end| end.run == run)
    }

    /// Merges crashes. Returns whether anything changed. If there are too many, all boxes keep the
    /// same ones, so that they do not exchange changes endlessly.
    pub fn merge(&mut self, ends: &[CrashRecord], now: Instant) -> bool {
        let before = self.ends.clone();
        for end in ends {
            match self.ends.iter_mut().find(|known| known.run == end.run) {
                Some(known) => known.merge(end),
                None => {
                    self.ends.push(*end);
                    self.crashed_at = now;
                }
            }
        }
        self.ends.sort_by_key(|end| (end.is_acquitted, end.run));
        self.ends.truncate(MAX_CRASHES);
        self.ends != before
    }

    /// Clears the request of all known crashes. Returns whether anything changed.
    pub fn clear_suspicion(&mut self, now: Instant) -> bool {
        let cleared = |end: &CrashRecord| CrashRecord {
            is_acquitted: true,
            ..*end
        };
        let ends: Vec<CrashRecord> = self.ends.iter().map(cleared).collect();
        self.merge(&ends, now)
    }

    pub fn changed(&mut self, by: ChangeOrigin, now: Instant) {
        self.changed_at = now;
        self.changed_by = by;
    }

    pub fn to_report(&self, fingerprint: Fingerprint, now: Instant) -> SuspectReport {
        SuspectReport {
            fingerprint,
            account: self.account,
            life: self.expires.since(now),
            ends: self.ends.clone(),
        }
    }
}
