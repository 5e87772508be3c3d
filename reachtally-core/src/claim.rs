//! At most once by claims in the log.
//!
//! Before a request that may not be repeated is sent anywhere, its daemon appends a claim of its key
//! and reads it back. The first claim of a key in log order owns the only dispatch there will ever
//! be: nobody takes over, so a paused owner can't double the request. Only the owner can release the
//! claim, and only while it has not dispatched. Claims, outcomes and releases of all requests that
//! wait share one record (group commit).
//!
//! Every entry may be appended twice: a second claim by the same owner, or a second outcome, folds
//! to nothing. So an append whose answer was lost is simply repeated unless the fold shows it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, RequestKey};
use crate::request::Answer;
use crate::time::Instant;

/// The identity under which a request may run once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The client account; keys of different accounts are different.
    pub account: String,
    /// The caller's idempotency key.
    pub key: String,
}

/// The longest answer body that is recorded, in bytes.
pub const RECORDED_BODY_MAX: usize = 2048;

/// An outcome as the claim stream keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Recorded {
    /// The request completed with this answer.
    Completed {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        content_type: Option<String>,
        /// The body as text; nothing if it was too long to record or not text.
        body: Option<String>,
    },
    /// Its outcome is unknown, and will stay so.
    Unknown,
}

impl Recorded {
    /// Record an answer, without its body where that is too long.
    pub fn of(answer: &Answer) -> Self {
        let fits = answer.body.len() <= RECORDED_BODY_MAX;
        let text = std::str::from_utf8(&answer.body).ok().filter(|_| fits);
        Recorded::Completed {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: text.map(str::to_owned),
        }
    }
}

/// One entry of a [`ClaimRecord`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Entry {
    /// Claim the key for a request whose body has this digest.
    Claim {
        /// The key.
        key: ClaimKey,
        /// Digest of the request.
        digest: u64,
    },
    /// The owner gives the key back; it has not dispatched and will not.
    Release {
        /// The key.
        key: ClaimKey,
    },
    /// The owner's request ended.
    Outcome {
        /// The key.
        key: ClaimKey,
        /// How.
        outcome: Recorded,
    },
    /// The log has come back from an older copy: claims that were taken since are gone, and any key of before this record
    /// may be one of theirs.
    Returned {
        /// How often it has.
        returns: u64,
    },
}

/// One record of the claim stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The daemon run that appended it.
    pub by: Incarnation,
    /// The entries, in order.
    pub entries: Vec<Entry>,
}

/// What the log says of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The daemon run that owns it.
    pub owner: Incarnation,
    /// Digest of the request that it was claimed for.
    pub digest: u64,
    /// The recorded outcome, once there is one.
    pub outcome: Option<Recorded>,
    /// When the log took the claim, in milliseconds of the log's clock.
    pub at_ms: u64,
}

/// The fold of the claim stream. A pure function of the records.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Claims {
    by_key: BTreeMap<ClaimKey, Claim>,
    by_age: VecDeque<(u64, ClaimKey)>,
}

/// What folding one entry meant to the daemon run that watches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Folded {
    /// `owner` now owns the key.
    Owned(ClaimKey),
    /// The key was given back.
    Released(ClaimKey),
    /// The owner's request ended.
    Ended(ClaimKey),
    /// No effect: the key is owned already, or the entry is not the owner's.
    Nothing,
}

impl Claims {
    /// What the log says of `key`.
    pub fn get(&self, key: &ClaimKey) -> Option<&Claim> {
        self.by_key.get(key)
    }

    /// Number of keys known.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Fold one entry appended by `by` and taken by the log at `at_ms`.
    pub fn fold(&mut self, by: Incarnation, at_ms: u64, entry: &Entry) -> Folded {
        match entry {
            Entry::Claim { key, digest } => self.claim(by, at_ms, key, *digest),
            Entry::Release { key } => self.release(by, key),
            Entry::Outcome { key, outcome } => self.end(by, key, outcome),
            Entry::Returned { .. } => Folded::Nothing,
        }
    }

    fn claim(&mut self, by: Incarnation, at_ms: u64, key: &ClaimKey, digest: u64) -> Folded {
        if self.by_key.contains_key(key) {
            return Folded::Nothing;
        }
        let claim = Claim {
            owner: by,
            digest,
            outcome: None,
            at_ms,
        };
        self.by_key.insert(key.clone(), claim);
        self.by_age.push_back((at_ms, key.clone()));
        Folded::Owned(key.clone())
    }

    fn release(&mut self, by: Incarnation, key: &ClaimKey) -> Folded {
        let releasable = self
            .by_key
            .get(key)
            .is_some_and(|claim| claim.owner == by && claim.outcome.is_none());
        if !releasable {
            return Folded::Nothing;
        }
        self.by_key.remove(key);
        Folded::Released(key.clone())
    }

    fn end(&mut self, by: Incarnation, key: &ClaimKey, outcome: &Recorded) -> Folded {
        match self.by_key.get_mut(key) {
            Some(claim) if claim.owner == by && claim.outcome.is_none() => {
                claim.outcome = Some(outcome.clone());
                Folded::Ended(key.clone())
            }
            _ => Folded::Nothing,
        }
    }

    /// Forget claims that the log took before `cutoff_ms`. The cut-off follows the log's own clock,
    /// so every daemon forgets alike.
    pub fn expire(&mut self, cutoff_ms: u64) {
        while let Some((at_ms, _)) = self.by_age.front() {
            if *at_ms >= cutoff_ms {
                return;
            }
            let Some((at_ms, key)) = self.by_age.pop_front() else {
                return;
            };
            if self
                .by_key
                .get(&key)
                .is_some_and(|claim| claim.at_ms == at_ms)
            {
                self.by_key.remove(&key);
            }
        }
    }

    /// Whether the fold already shows what `entry` says, so that it need not be appended again.
    pub fn shows(&self, by: Incarnation, entry: &Entry) -> bool {
        match entry {
            Entry::Claim { key, .. } => self.by_key.contains_key(key),
            Entry::Release { key } => self.by_key.get(key).is_none_or(|claim| claim.owner != by),
            Entry::Outcome { key, .. } => self
                .by_key
                .get(key)
                .is_none_or(|claim| claim.owner != by || claim.outcome.is_some()),
            Entry::Returned { .. } => false,
        }
    }
}

/// Most entries in one record.
const ENTRIES_PER_RECORD: usize = 1024;

/// Entries on their way into the log.
#[derive(Debug, Default)]
pub struct Outbox {
    unsent: VecDeque<Entry>,
    in_flight: Option<(u64, Vec<Entry>)>,
    seq: u64,
    next_at: Instant,
}

impl Outbox {
    /// Append `entry` with the next record.
    pub fn push(&mut self, entry: Entry) {
        self.unsent.push_back(entry);
    }

    /// When the next record may be appended, if one is due.
    pub fn due(&self) -> Option<Instant> {
        let idle = self.in_flight.is_none() && !self.unsent.is_empty();
        idle.then_some(self.next_at)
    }

    /// The next record and its number, if one may be appended now. Records are `interval` apart.
    pub fn take(&mut self, now: Instant, interval: Duration) -> Option<(u64, Vec<Entry>)> {
        if self.due()? > now {
            return None;
        }
        let count = self.unsent.len().min(ENTRIES_PER_RECORD);
        let entries: Vec<Entry> = self.unsent.drain(..count).collect();
        self.seq += 1;
        self.next_at = now + interval;
        self.in_flight = Some((self.seq, entries.clone()));
        Some((self.seq, entries))
    }

    /// The log answered record `seq`; entries of a lost answer that `claims` does not show go again.
    pub fn answered(&mut self, seq: u64, confirmed: bool, claims: &Claims, by: Incarnation) {
        let Some((_, entries)) = self.in_flight.take_if(|(sent, _)| *sent == seq) else {
            return;
        };
        if confirmed {
            return;
        }
        for entry in entries.into_iter().rev() {
            if !claims.shows(by, &entry) {
                self.unsent.push_front(entry);
            }
        }
    }
}

/// Requests of this daemon that wait for a key, the first being the one that would run.
#[derive(Debug, Default)]
pub struct Waiting {
    by_key: BTreeMap<ClaimKey, Vec<RequestKey>>,
}

impl Waiting {
    /// Let `request` wait; `true` if it is the first for the key.
    pub fn push(&mut self, key: ClaimKey, request: RequestKey) -> bool {
        let requests = self.by_key.entry(key).or_default();
        requests.push(request);
        requests.len() == 1
    }

    /// Let `request` wait no more.
    pub fn remove(&mut self, key: &ClaimKey, request: RequestKey) {
        if let Some(requests) = self.by_key.get_mut(key) {
            requests.retain(|waiting| *waiting != request);
            if requests.is_empty() {
                self.by_key.remove(key);
            }
        }
    }

    /// The first request that waits for `key`.
    pub fn first(&self, key: &ClaimKey) -> Option<RequestKey> {
        self.by_key.get(key)?.first().copied()
    }

    /// All requests that wait for `key`.
    pub fn all(&self, key: &ClaimKey) -> Vec<RequestKey> {
        self.by_key.get(key).cloned().unwrap_or_default()
    }

    /// All requests that wait for any key.
    pub fn requests(&self) -> Vec<RequestKey> {
        self.by_key.values().flatten().copied().collect()
    }

    /// Take all requests that wait for `key`.
    pub fn take(&mut self, key: &ClaimKey) -> Vec<RequestKey> {
        self.by_key.remove(key).unwrap_or_default()
    }
}
