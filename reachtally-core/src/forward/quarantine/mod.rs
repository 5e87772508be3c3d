//! Quarantine of requests that crash the targets which begin to run them.
//!
//! A crash of a target while it runs a request may be caused by the target, by the request or by a
//! part of its prompt that other requests have too. A single crash proves little, because it hits a
//! hundred requests at once. The feature to blame, a request or a part, is also present at the next
//! crash, and no target has got far with it. So each crash is recorded under the fingerprints of
//! all features of the request and exchanged between all boxes, and a request with a feature that
//! has enough crashes is no longer sent to any target, whichever box receives it and whatever its
//! id.
//!
//! Several features may have been present at the same crashes. A request that has only some of them
//! is still sent, until a crash tells them apart. A part that targets have written on for a while is
//! cleared, and so protected for some time, since most parts are shared with many sound requests.
//! A part is tried again after a time that grows with its crashes, in case they were coincidence.
//!
//! Reports are self-contained and mergeable. Crashes are keyed by the crashed run, so that boxes
//! which notice the same crash count it once. Each crash is cleared individually, so that a delayed
//! message does not undo it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::forward::fingerprint::Fingerprint;
use crate::time::Instant;

mod proofs;
mod suspect;
mod weight;

use proofs::Proofs;
pub use proofs::{MAX_PROOFS, PROOF_TTL};
use suspect::SuspectRequest;
pub use suspect::{AccountDigest, CrashRecord, MAX_CRASHES, RunDigest, Verdict};
pub use weight::{LATE_START_TIME, RunProgress, START_EVENTS, START_TIME, Weight};

/// Time from the head of an answer after which a stream with more events shows that its parts do not
/// crash targets.
pub const PROOF_TIME: Duration = Duration::from_secs(1);
/// Time from the last crash under a quarantined part with the fewest crashes until it is tried again.
/// Each further crash multiplies it by [`TRIAL_DELAY_FACTOR`], and boxes add up to as much again.
pub const TRIAL_DELAY: Duration = Duration::from_secs(10);
/// Growth of [`TRIAL_DELAY`] with each crash.
const TRIAL_DELAY_FACTOR: u32 = 4;
/// Number of crashes from which a feature is to blame although several others explain them together.
const JOINT_EXPLANATION_LIMIT: usize = 5;
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

/// Messages with changes that are sent at a time. A crash changes the records of all requests that had
/// just begun.
const MAX_MESSAGES: usize = 4;

/// A report about a request or a part of a prompt, exchanged between boxes.
#[derive(Debug, Clone, PartialEq)]
pub struct SuspectReport {
    /// The request or part.
    pub fingerprint: Fingerprint,
    /// Account of the request, or of the first one that crashed a target with the part.
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

/// What a request has in common with others: itself, for its repetitions, and the parts of its prompt.
#[derive(Debug, Clone, Copy)]
pub struct Features<'a> {
    /// The request.
    pub request: Fingerprint,
    /// The parts that other requests may share.
    pub parts: &'a [Fingerprint],
}

impl Features<'_> {
    /// Iterates over the request and its parts.
    pub fn all(&self) -> impl Iterator<Item = Fingerprint> {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }

    fn contains(&self, feature: Fingerprint) -> bool {
        self.request == feature || self.parts.contains(&feature)
    }
}

/// What a box knows of a suspect request or part, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Knowledge {
    /// The verdict.
    pub verdict: Verdict,
    /// Number of crashes that were not cleared.
    pub crashes: usize,
    /// Time since the box learned of the last one.
    pub age: Duration,
    /// Whether the box saw one of them itself.
    pub was_seen_here: bool,
}

impl std::fmt::Display for Knowledge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let source = match self.was_seen_here {
            true => "seen here",
            false => "reported",
        };
        let age = self.age.as_millis();
        write!(
            f,
            "{:?} after {} crashes, {source}, last {age} ms ago",
            self.verdict, self.crashes
        )
    }
}

/// The requests and parts of prompts during which targets crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, SuspectRequest>,
    proofs: Proofs,
    evictions: u64,
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

    /// Number of suspects that were removed for others before they expired.
    pub fn evictions(&self) -> u64 {
        self.evictions
    }

    /// Returns what is known of a request or part, if it is suspect.
    pub fn knowledge(&self, feature: Fingerprint, now: Instant) -> Option<Knowledge> {
        let suspect = self.suspects.get(&feature)?;
        Some(Knowledge {
            verdict: suspect.verdict(),
            crashes: suspect.crashed_runs().count(),
            age: now.since(suspect.crashed_at),
            was_seen_here: suspect.was_seen_here,
        })
    }

    /// Returns the verdict on a request.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(Verdict::Clear, SuspectRequest::verdict)
    }

    /// Returns the feature because of which requests with these features are quarantined, if any.
    pub fn culprit(&self, features: &Features<'_>) -> Option<Fingerprint> {
        let mut all = features.all();
        all.find(|feature| self.is_blamed(*feature, features))
    }

    /// Whether a feature is quarantined, and its crashes are not explained by other quarantined
    /// features that requests with `features` lack: by one that was present at all of them or, if they
    /// are few, by several together.
    fn is_blamed(&self, feature: Fingerprint, features: &Features<'_>) -> bool {
        let Some(suspect) = self.suspects.get(&feature) else {
            return false;
        };
        if suspect.verdict() < Verdict::Quarantined {
            return false;
        }
        // One with no crashes of its own is a bystander of the feature, unless it ranks as high.
        let is_no_bystander = |by: &SuspectRequest| {
            by.rank() >= suspect.rank() || !by.crashed_runs().all(|run| suspect.crashed(run))
        };
        let others = self.suspects.iter().filter(|(other, by)| {
            let is_quarantined = by.verdict() == Verdict::Quarantined;
            is_quarantined && !features.contains(**other) && is_no_bystander(by)
        });
        let others: Vec<&SuspectRequest> = others.map(|(_, by)| by).collect();
        let explains_all = |by: &&SuspectRequest| suspect.crashed_runs().all(|run| by.crashed(run));
        let is_explained = |run| others.iter().any(|by| by.crashed(run));
        let is_explained_jointly = suspect.crashed_runs().count() < JOINT_EXPLANATION_LIMIT
            && suspect.crashed_runs().all(is_explained);
        !is_explained_jointly && !others.iter().any(explains_all)
    }

    /// Whether the parts because of which requests with these features are quarantined are to be tried
    /// again, since the last crash is long ago. Parts with different crashes are not tried together,
    /// since the outcome would show nothing about each. `spread`, from 0 to 1, differs between boxes,
    /// so that they do not try at the same time.
    pub fn is_trial_due(&self, features: &Features<'_>, spread: f64, now: Instant) -> bool {
        let blamed = self.blamed_parts(features);
        let blamed: Vec<&SuspectRequest> =
            blamed.filter_map(|part| self.suspects.get(&part)).collect();
        let Some(first) = blamed.first() else {
            return false;
        };
        let is_due = |suspect: &&SuspectRequest| {
            suspect.is_trial_due(spread, now) && suspect.crashed_runs().eq(first.crashed_runs())
        };
        blamed.iter().all(is_due) && !self.is_blamed(features.request, features)
    }

    /// Records that a request with these features is sent to try the parts again.
    pub fn start_trial(&mut self, features: &Features<'_>, now: Instant) {
        let blamed: Vec<Fingerprint> = self.blamed_parts(features).collect();
        for part in blamed {
            if let Some(suspect) = self.suspects.get_mut(&part) {
                suspect.tried_at = Some(now);
            }
        }
    }

    fn blamed_parts(&self, features: &Features<'_>) -> impl Iterator<Item = Fingerprint> {
        let parts = features.parts.iter().copied();
        parts.filter(|part| self.is_blamed(*part, features))
    }

    /// Whether a target crashed under one of these features since `from`.
    pub fn has_crashed_since(&self, features: &Features<'_>, from: Instant) -> bool {
        let mut suspects = features
            .all()
            .filter_map(|feature| self.suspects.get(&feature));
        suspects.any(|suspect| suspect.crashed_at > from)
    }

    /// Records that a target whose answer began at `began` wrote on a part for a while. This clears
    /// the part of crashes up to [`PROOF_TTL`] after that. Returns whether anything changed.
    pub fn record_proof(&mut self, part: Fingerprint, began: Instant, now: Instant) -> bool {
        self.proofs.record(part, began);
        let is_covered = |suspect: &SuspectRequest| suspect.crashed_at < began + PROOF_TTL;
        self.suspects.get(&part).is_some_and(is_covered) && self.clear_suspicion(part, now)
    }

    /// Whether targets recently wrote on a part for a while.
    pub fn is_proven(&self, part: Fingerprint, now: Instant) -> bool {
        self.proofs.holds(part, now)
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
        let is_changed = suspect.clear_suspicion(now);
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

    /// Receives the report of another box, and clears it if this box has a proof of the opposite.
    /// Returns whether anything changed.
    pub fn receive(&mut self, report: &SuspectReport, now: Instant) -> bool {
        let is_changed = self.merge(report, ChangeOrigin::Any, now);
        let is_refuted = self.proofs.holds(report.fingerprint, now);
        is_changed | (is_refuted && self.clear_suspicion(report.fingerprint, now))
    }

    /// Whether a box saw `run` crash under a request with crashes of which this box learned since
    /// `from`.
    pub fn has_run_crashed_since(&self, run: RunDigest, from: Instant) -> bool {
        let mut suspects = self.suspects.values();
        suspects.any(|suspect| suspect.crashed_at >= from && suspect.has_record_of(run))
    }

    /// Whether this box saw a crash under a feature.
    pub fn was_seen_here(&self, feature: Fingerprint) -> bool {
        let suspect = self.suspects.get(&feature);
        suspect.is_some_and(|suspect| suspect.was_seen_here)
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
        let is_changed = suspect.merge(&report.ends, now);
        suspect.was_seen_here |= origin == ChangeOrigin::Own;
        if is_changed {
            suspect.changed(origin, now);
        }
        is_changed
    }

    /// Removes expired requests and proofs.
    pub fn remove_expired(&mut self, now: Instant) {
        self.proofs.remove_expired(now);
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

    /// Evicts the least important request of an account: the one with the least evidence first, then
    /// the earliest expiry.
    fn evict_least(&mut self, account: AccountDigest) {
        let of_account = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.account == account);
        let least = of_account.min_by_key(|(_, suspect)| (suspect.evidence(), suspect.expires));
        let least = least.map(|(fingerprint, _)| *fingerprint);
        if let Some(least) = least {
            self.suspects.remove(&least);
            self.evictions += 1;
        }
    }

    /// Returns a report about a request.
    pub fn report(&self, fingerprint: Fingerprint, now: Instant) -> Option<SuspectReport> {
        let suspect = self.suspects.get(&fingerprint)?;
        Some(suspect.to_report(fingerprint, now))
    }

    /// Returns the most important recent changes for other boxes, as many as fit a message.
    pub fn changes(&self, origin: ChangeOrigin, now: Instant) -> Vec<SuspectReport> {
        let mut messages = self.change_messages(origin, now).into_iter();
        messages.next().unwrap_or_default()
    }

    /// Returns recent changes for other boxes in messages: those with the most evidence first, then
    /// the newest.
    pub fn change_messages(&self, origin: ChangeOrigin, now: Instant) -> Vec<Vec<SuspectReport>> {
        let is_due = |suspect: &SuspectRequest| {
            let is_new = now.since(suspect.changed_at) < CHANGE_REPEAT_TIME;
            is_new && (origin == ChangeOrigin::Any || suspect.changed_by == ChangeOrigin::Own)
        };
        let changed = self.suspects.iter().filter(|(_, suspect)| is_due(suspect));
        let mut changed: Vec<(&Fingerprint, &SuspectRequest)> = changed.collect();
        changed.sort_by_key(|(_, suspect)| Reverse((suspect.evidence(), suspect.changed_at)));
        changed.truncate(MAX_MESSAGES * SUSPECTS_PER_MESSAGE);
        let report = |(feature, suspect): &(&Fingerprint, &SuspectRequest)| {
            suspect.to_report(**feature, now)
        };
        let messages = changed.chunks(SUSPECTS_PER_MESSAGE);
        messages
            .map(|message| message.iter().map(report).collect())
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
