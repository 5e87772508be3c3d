//! At-most-once execution through claims in the log.
//!
//! Before a non-repeatable request is sent to any target, the daemon appends a claim of its key and
//! reads it back. The first claim of a key in log order owns the only dispatch of that key: no
//! other daemon takes over, so an owner that resumes after a pause cannot run the request twice.
//! Only the owner can release the claim, and only before dispatch. Claims, outcomes and releases of
//! all waiting requests share one record (group commit).
//!
//! Entries are idempotent: a second claim by the same owner, or a second outcome, has no effect. An
//! append whose response was lost is therefore repeated unless the folded state already reflects
//! it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, RequestKey};
use crate::request::Answer;
use crate::time::Instant;

/// The key under which a request runs at most once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Name of the client account; each account has its own key namespace.
    pub account: String,
    /// The idempotency key set by the caller.
    pub key: String,
}

/// Maximum size of a recorded answer body, in bytes.
pub const RECORDED_BODY_MAX: usize = 2048;

/// An outcome as stored in the claim stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Recorded {
    /// The request completed with this answer.
    Completed {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        content_type: Option<String>,
        /// The body as text, or `None` if it was too long to record or not valid UTF-8.
        body: Option<String>,
    },
    /// The outcome is unknown and remains so.
    Unknown,
}

impl Recorded {
    /// Create the record of an answer, omitting a body that is too long or not valid UTF-8.
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
    /// Claim the key for a request with this digest.
    Claim {
        /// The key.
        key: ClaimKey,
        /// Digest of the request.
        digest: u64,
    },
    /// Release the key. The owner has not dispatched the request and will not do so.
    Release {
        /// The key.
        key: ClaimKey,
    },
    /// The owner's request ended.
    Outcome {
        /// The key.
        key: ClaimKey,
        /// The outcome.
        outcome: Recorded,
    },
    /// The log was restored from an older copy. Claims appended after that copy was taken are lost,
    /// and a key older than this record may belong to one of them.
    Returned {
        /// Number of times the log has been restored.
        returns: u64,
    },
}

/// One record of the claim stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The daemon run that appended the record.
    pub by: Incarnation,
    /// The entries, in order.
    pub entries: Vec<Entry>,
}

/// The state of a claimed key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The daemon run that owns the key.
    pub owner: Incarnation,
    /// Digest of the request that claimed the key.
    pub digest: u64,
    /// The recorded outcome, if the request has ended.
    pub outcome: Option<Recorded>,
    /// When the claim was appended, in milliseconds of the log's clock.
    pub at_ms: u64,
}

/// The folded claim stream, a pure function of its records.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Claims {
    by_key: BTreeMap<ClaimKey, Claim>,
    by_age: VecDeque<(u64, ClaimKey)>,
}

/// The effect of folding one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimChange {
    /// The key was claimed.
    Owned(ClaimKey),
    /// The key was released.
    Released(ClaimKey),
    /// The request of the owner ended.
    Ended(ClaimKey),
    /// The entry had no effect: the key is already owned, or the entry does not come from the
    /// owner.
    Unchanged,
}

impl Claims {
    /// Return the claim of `key`.
    pub fn get(&self, key: &ClaimKey) -> Option<&Claim> {
        self.by_key.get(key)
    }

    /// Number of known keys.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no keys are known.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Fold one entry that was appended by `by` at `at_ms`.
    pub fn fold(&mut self, by: Incarnation, at_ms: u64, entry: &Entry) -> ClaimChange {
        match entry {
            Entry::Claim { key, digest } => self.claim(by, at_ms, key, *digest),
            Entry::Release { key } => self.release(by, key),
            Entry::Outcome { key, outcome } => self.end(by, key, outcome),
            Entry::Returned { .. } => ClaimChange::Unchanged,
        }
    }

    fn claim(&mut self, by: Incarnation, at_ms: u64, key: &ClaimKey, digest: u64) -> ClaimChange {
        if self.by_key.contains_key(key) {
            return ClaimChange::Unchanged;
        }
        let claim = Claim {
            owner: by,
            digest,
            outcome: None,
            at_ms,
        };
        self.by_key.insert(key.clone(), claim);
        self.by_age.push_back((at_ms, key.clone()));
        ClaimChange::Owned(key.clone())
    }

    fn release(&mut self, by: Incarnation, key: &ClaimKey) -> ClaimChange {
        let releasable = self
            .by_key
            .get(key)
            .is_some_and(|claim| claim.owner == by && claim.outcome.is_none());
        if !releasable {
            return ClaimChange::Unchanged;
        }
        self.by_key.remove(key);
        ClaimChange::Released(key.clone())
    }

    fn end(&mut self, by: Incarnation, key: &ClaimKey, outcome: &Recorded) -> ClaimChange {
        match self.by_key.get_mut(key) {
            Some(claim) if claim.owner == by && claim.outcome.is_none() => {
                claim.outcome = Some(outcome.clone());
                ClaimChange::Ended(key.clone())
            }
            _ => ClaimChange::Unchanged,
        }
    }

    /// Remove claims appended before `cutoff_ms`. The cutoff follows the clock of the log, so all
    /// daemons remove the same claims.
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

    /// Whether the folded state already reflects `entry`, so that it need not be appended again.
    pub fn reflects(&self, by: Incarnation, entry: &Entry) -> bool {
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

/// Maximum number of entries in one record.
const ENTRIES_PER_RECORD: usize = 1024;

/// Entries waiting to be appended to the log.
#[derive(Debug, Default)]
pub struct Outbox {
    unsent: VecDeque<Entry>,
    in_flight: Option<(u64, Vec<Entry>)>,
    seq: u64,
    next_at: Instant,
}

impl Outbox {
    /// Queue `entry` for the next record.
    pub fn push(&mut self, entry: Entry) {
        self.unsent.push_back(entry);
    }

    /// Return the time at which the next record may be appended, if there is one to append.
    pub fn due(&self) -> Option<Instant> {
        let idle = self.in_flight.is_none() && !self.unsent.is_empty();
        idle.then_some(self.next_at)
    }

    /// Take the next record and its sequence number if it may be appended now. Records are at least
    /// `interval` apart.
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

    /// Handle the response to record `seq`. If it was not confirmed, requeue the entries that
    /// `claims` does not reflect.
    pub fn answered(&mut self, seq: u64, confirmed: bool, claims: &Claims, by: Incarnation) {
        let Some((_, entries)) = self.in_flight.take_if(|(sent, _)| *sent == seq) else {
            return;
        };
        if confirmed {
            return;
        }
        for entry in entries.into_iter().rev() {
            if !claims.reflects(by, &entry) {
                self.unsent.push_front(entry);
            }
        }
    }
}

/// Requests of this daemon that wait for a key. The first one for each key is the one to run.
#[derive(Debug, Default)]
pub struct Waiting {
    by_key: BTreeMap<ClaimKey, Vec<RequestKey>>,
}

impl Waiting {
    /// Add a waiting `request`, and return `true` if it is the first for the key.
    pub fn push(&mut self, key: ClaimKey, request: RequestKey) -> bool {
        let requests = self.by_key.entry(key).or_default();
        requests.push(request);
        requests.len() == 1
    }

    /// Remove a waiting `request`.
    pub fn remove(&mut self, key: &ClaimKey, request: RequestKey) {
        if let Some(requests) = self.by_key.get_mut(key) {
            requests.retain(|waiting| *waiting != request);
            if requests.is_empty() {
                self.by_key.remove(key);
            }
        }
    }

    /// Return the first request that waits for `key`.
    pub fn first(&self, key: &ClaimKey) -> Option<RequestKey> {
        self.by_key.get(key)?.first().copied()
    }

    /// Return all requests that wait for `key`.
    pub fn all(&self, key: &ClaimKey) -> Vec<RequestKey> {
        self.by_key.get(key).cloned().unwrap_or_default()
    }

    /// Return all requests that wait for any key.
    pub fn requests(&self) -> Vec<RequestKey> {
        self.by_key.values().flatten().copied().collect()
    }

    /// Remove and return all requests that wait for `key`.
    pub fn take(&mut self, key: &ClaimKey) -> Vec<RequestKey> {
        self.by_key.remove(key).unwrap_or_default()
    }
}
