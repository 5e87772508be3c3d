//! One request, and the runs of targets that ended under it.

use sha2::{Digest, Sha256};

use super::{Origin, Told};
use crate::forward::fingerprint::Fingerprint;
use crate::forward::fleet::TargetRun;
use crate::time::Instant;

/// Ends that a request had just begun at, without a whole answer since, from which it gets no more targets. Of the requests that
/// one end takes along one to three have just begun; hardly any is among those of two ends without being the cause.
const BEGUN_ENDS: usize = 2;
/// The same where it is not known whether it had begun: requests that merely waited there count too.
const ANY_ENDS: usize = 3;
/// Ends kept of a request; more decide nothing.
pub const ENDS_KEPT: usize = 8;

/// Tells runs of targets apart.
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

/// Tells client accounts apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountDigest(pub u32);

impl From<Option<&str>> for AccountDigest {
    fn from(account: Option<&str>) -> Self {
        let name = account.unwrap_or_default();
        AccountDigest(first_word(Sha256::new_with_prefix(name)))
    }
}

/// The first four bytes of a digest.
fn first_word(hasher: Sha256) -> u32 {
    let digest = hasher.finalize();
    u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]])
}

/// The end of a run under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// The run.
    pub run: RunDigest,
    /// Whether it had just begun the request: the answer's head had come, and nothing of its body.
    pub had_begun: bool,
    /// Whether the request has had a whole answer since.
    pub is_acquitted: bool,
}

impl End {
    fn merge(&mut self, other: &End) {
        self.had_begun |= other.had_begun;
        self.is_acquitted |= other.is_acquitted;
    }
}

/// What is held of a request, from the least to the most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Nothing.
    Clear,
    /// Runs ended under it, which may be chance.
    Suspected,
    /// It gets no more targets.
    Quarantined,
}

/// What is known of one request.
#[derive(Debug)]
pub(super) struct Case {
    pub account: AccountDigest,
    /// Those that are not acquitted first.
    ends: Vec<End>,
    /// When it is forgotten.
    pub expires: Instant,
    pub changed_at: Instant,
    pub changed_by: Origin,
}

impl Case {
    pub fn new(account: AccountDigest, now: Instant) -> Self {
        Case {
            account,
            ends: Vec::new(),
            expires: now,
            changed_at: now,
            changed_by: Origin::Any,
        }
    }

    pub fn verdict(&self) -> Verdict {
        let held = self.ends.iter().filter(|end| !end.is_acquitted);
        let any = held.clone().count();
        let begun = held.filter(|end| end.had_begun).count();
        if begun >= BEGUN_ENDS || any >= ANY_ENDS {
            Verdict::Quarantined
        } else if any > 0 {
            Verdict::Suspected
        } else {
            Verdict::Clear
        }
    }

    /// Take in ends; yields whether something of them is news. All boxes keep the same ones of many, so that they
    /// don't tell each other forever.
    pub fn merge(&mut self, ends: &[End]) -> bool {
        let before = self.ends.clone();
        for end in ends {
            match self.ends.iter_mut().find(|known| known.run == end.run) {
                Some(known) => known.merge(end),
                None => self.ends.push(*end),
            }
        }
        self.ends.sort_by_key(|end| (end.is_acquitted, end.run));
        self.ends.truncate(ENDS_KEPT);
        self.ends != before
    }

    /// None of the ends known is its fault; yields whether that is news.
    pub fn acquit(&mut self) -> bool {
        let acquitted = |end: &End| End {
            is_acquitted: true,
            ..*end
        };
        let ends: Vec<End> = self.ends.iter().map(acquitted).collect();
        self.merge(&ends)
    }

    pub fn changed(&mut self, by: Origin, now: Instant) {
        self.changed_at = now;
        self.changed_by = by;
    }

    pub fn tell(&self, fingerprint: Fingerprint, now: Instant) -> Told {
        Told {
            fingerprint,
            account: self.account,
            life: self.expires.since(now),
            ends: self.ends.clone(),
        }
    }
}
