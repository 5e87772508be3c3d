//! Quarantine of requests that crash the targets which begin to run them.
//!
//! A crash of a target while it runs a request may be caused by the target or by the request. A
//! single crash proves little, because it hits a hundred requests at once. The request to blame is
//! also present at the next crash and has had no complete answer. So each crash is recorded under
//! the request's fingerprint and exchanged between all boxes, and a request with enough crashes is
//! no longer sent to any target, whichever box receives it and whatever its id.
//!
//! Reports are self-contained and mergeable. Crashes are keyed by the crashed run, so that boxes
//! which notice the same crash count it once. Each crash is cleared individually, so that a delayed
//! message does not undo it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::forward::fingerprint::Fingerprint;
use crate::time::Instant;

mod suspect;

use suspect::SuspectRequest;
pub use suspect::{AccountDigest, CrashRecord, MAX_CRASHES, RunDigest, Verdict};

/// How long a request is remembered after its last crash or its last refusal. Callers give up long
/// before.
pub const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Maximum number of remembered requests, of about 100 bytes each.
pub const MAX_SUSPECTS: usize = 256;
/// Maximum number of remembered requests per account, so that no account can evict those of others.
pub const MAX_SUSPECTS_PER_ACCOUNT: usize = 64;
/// How long a change is repeated with each report, since messages may be lost.
const CHANGE_REPEAT_TIME: Duration = Duration::from_millis(700);
/// Requests per message. With [`MAX_CRASHES`] crashes each, the message fits a datagram that is not
/// fragmented.
pub const SUSPECTS_PER_MESSAGE: usize = 9;

/// A report about a request, exchanged between boxes.
#[derive(Debug, Clone, PartialEq)]
pub struct SuspectReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Its account.
    pub account: AccountDigest,
    /// Remaining time for which it is remembered.
    pub life: Duration,
    /// The crashes while it was running.
    pub ends: Vec<CrashRecord>,
}

/// Selects changes by their origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeOrigin {
    /// Changes made by this box.
    Own,
    /// Changes made by this box or received from others.
    Any,
}

/// The requests during which targets crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, SuspectRequest>,
}

impl Quarantine {
    /// Whether no request is remembered, so that no lookup is needed.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of remembered requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the verdict on a request.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(Verdict::Clear, SuspectRequest::verdict)
    }

    /// Records a crash of a run while a request of `account` was assigned to it. Returns the
    /// verdict if anything changed.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        account: AccountDigest,
        end: CrashRecord,
        now: Instant,
    ) -> Option<Verdict> {
        let report = SuspectReport {
            fingerprint,
            account,
            life: SUSPECT_TTL,
            ends: vec![end],
        };
        if !self.merge(&report, ChangeOrigin::Own, now) {
            return None;
        }
        Some(self.verdict(fingerprint))
    }

    /// Records a complete answer to a request, which clears it of the crashes known so far. Returns
    /// whether anything changed.
    pub fn clear_suspicion(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let is_changed = suspect.clear_suspicion();
        if is_changed {
            suspect.changed(ChangeOrigin::Own, now);
        }
        is_changed
    }

    /// Extends the life of a quarantined request that was refused, since its caller keeps sending
    /// it.
    pub fn refused(&mut self, fingerprint: Fingerprint, now: Instant) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.expires = now + SUSPECT_TTL;
        }
    }

    /// Receives the report of another box. Returns whether anything changed.
    pub fn receive(&mut self, report: &SuspectReport, now: Instant) -> bool {
        self.merge(report, ChangeOrigin::Any, now)
    }

    fn merge(&mut self, report: &SuspectReport, origin: ChangeOrigin, now: Instant) -> bool {
        let life = report.life.min(SUSPECT_TTL);
        if life.is_zero() || report.ends.is_empty() {
            return false;
        }
        if !self.suspects.contains_key(&report.fingerprint) {
            self.make_room(report.account);
        }
        let suspect = self.suspects.entry(report.fingerprint);
        let suspect = suspect.or_insert_with(|| SuspectRequest::new(report.account, now));
        suspect.expires = suspect.expires.max(now + life);
        let is_changed = suspect.merge(&report.ends);
        if is_changed {
            suspect.changed(origin, now);
        }
        is_changed
    }

    /// Removes expired requests.
    pub fn remove_expired(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| now < suspect.expires);
    }

    /// Evicts a request if a new one of `account` would exceed a limit: one of that account if it
    /// has reached its own limit, else one of the account that has the most.
    fn make_room(&mut self, account: AccountDigest) {
        let mut counts: HashMap<AccountDigest, usize> = HashMap::new();
        for suspect in self.suspects.values() {
            *counts.entry(suspect.account).or_default() += 1;
        }
        let own = counts.get(&account).copied().unwrap_or_default();
        let from = if own >= MAX_SUSPECTS_PER_ACCOUNT {
            Some(account)
        } else if self.suspects.len() >= MAX_SUSPECTS {
            let largest = counts.into_iter().max_by_key(|(_, count)| *count);
            largest.map(|(account, _)| account)
        } else {
            None
        };
        if let Some(from) = from {
            self.evict_least(from);
        }
    }

    /// Evicts the least important request of an account: the least severe verdict first, then the
    /// earliest expiry.
    fn evict_least(&mut self, account: AccountDigest) {
        let of_account = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.account == account);
        let least = of_account.min_by_key(|(_, suspect)| (suspect.verdict(), suspect.expires));
        let least = least.map(|(fingerprint, _)| *fingerprint);
        if let Some(least) = least {
            self.suspects.remove(&least);
        }
    }

    /// Returns a report about a request.
    pub fn report(&self, fingerprint: Fingerprint, now: Instant) -> Option<SuspectReport> {
        let suspect = self.suspects.get(&fingerprint)?;
        Some(suspect.to_report(fingerprint, now))
    }

    /// Returns recent changes for other boxes: the newest ones that fit a message.
    pub fn changes(&self, origin: ChangeOrigin, now: Instant) -> Vec<SuspectReport> {
        let is_due = |suspect: &SuspectRequest| {
            let is_new = now.since(suspect.changed_at) < CHANGE_REPEAT_TIME;
            is_new && (origin == ChangeOrigin::Any || suspect.changed_by == ChangeOrigin::Own)
        };
        let changed = self.suspects.iter().filter(|(_, suspect)| is_due(suspect));
        let mut changed: Vec<(&Fingerprint, &SuspectRequest)> = changed.collect();
        changed.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.changed_at));
        changed.truncate(SUSPECTS_PER_MESSAGE);
        changed
            .into_iter()
            .map(|(fingerprint, suspect)| suspect.to_report(*fingerprint, now))
            .collect()
    }

    /// Returns page `number`, modulo the number of pages, of all remembered requests.
    pub fn page(&self, number: u64, now: Instant) -> Vec<SuspectReport> {
        let pages = self.suspects.len().div_ceil(SUSPECTS_PER_MESSAGE).max(1);
        let skipped = (number % pages as u64) as usize * SUSPECTS_PER_MESSAGE;
        let page = self
            .suspects
            .iter()
            .skip(skipped)
            .take(SUSPECTS_PER_MESSAGE);
        page.map(|(fingerprint, suspect)| suspect.to_report(*fingerprint, now))
            .collect()
    }
}
