//! Interruptions of requests, kept until it is known whether a target crashed.
//!
//! How an interruption looks at one instant does not show that: a listener may close after the connections, another run may be back
//! at the address, and the target that crashed may be any of the path. So an interruption stays pending against each run that had
//! the request. The first of them that is found to have ended becomes evidence against the request; runs that show life are dropped.

mod runs;
mod send_watch;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fingerprint::Fingerprint;
use reachtally_core::forward::fleet::{AbsenceReason, EngineKey, Evidence};
use reachtally_core::forward::prompt::PartId;
use reachtally_core::forward::quarantine::{AccountDigest, Features, RunDigest, Weight};
use tokio::sync::Notify;

use crate::exchange::Recipient;
use crate::quarantine::Completion;
use crate::relay::Relay;
use crate::serve::Call;
use crate::target::Probe;
use runs::Candidate;
pub(crate) use runs::{AnswerProgress, AssignedRuns, Weights};
pub(crate) use send_watch::SendWatch;

/// Interval of the checks of pending interruptions.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Times after an interruption at which its targets are probed. The last ones cover listeners that close late.
const PROBE_DELAYS: [Duration; 6] = [
    Duration::from_millis(25),
    Duration::from_millis(75),
    Duration::from_millis(200),
    Duration::from_millis(500),
    Duration::from_millis(900),
    Duration::from_millis(1500),
];
/// Time from an interruption within which refused connections show that the target crashed under the request, and time by which the
/// report of another box may precede it.
const LATE_LISTENER_TIME: Duration = Duration::from_secs(2);
/// An entry that is read later than this after an interruption was written by a live run: entries are read within a second, and within
/// twice that by a busy box.
const LIFE_DELAY: Duration = Duration::from_millis(2600);
/// Interval of the checks of whether this box reaches other targets while it does not.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long an interruption stays pending. Longer than the three heartbeats of about 1.2 s each after which the entry of a crashed
/// target is dropped, and the time until the drop is read.
const PENDING_TTL: Duration = Duration::from_secs(6);
/// Maximum number of pending interruptions, of some hundred bytes each.
const MAX_PENDING: usize = 512;

/// Why an interruption is no evidence against its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoEvidence {
    /// The answer was well under way.
    UnderWay,
    /// All runs have shown life since, or left in order.
    StillRun,
    /// None of the runs was found to have ended in time.
    Expired,
    /// Too many interruptions were pending.
    Forgotten,
}

/// What showed that a run crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CrashSign {
    /// Its address refuses connections.
    Refused,
    /// Another run has its id or address, or its entry was dropped.
    Replaced,
    /// Another box saw it end under a request.
    Reported,
}

/// A request that may crash targets: what is needed of it once it is gone.
#[derive(Debug, Clone)]
pub(crate) struct Suspect {
    /// Id of the attempt.
    pub id: String,
    pub request: Fingerprint,
    pub parts: Vec<Fingerprint>,
    /// Ids of the parts, for the log. Those of a plain service have no fingerprints.
    pub part_ids: Vec<PartId>,
    /// Client account.
    pub account: Option<Rc<str>>,
}

impl Suspect {
    pub(super) fn new(call: &Call) -> Self {
        Suspect {
            id: call.head.id.clone(),
            request: call.fingerprint(),
            parts: call.part_fingerprints().to_vec(),
            part_ids: call.head.shared_parts().to_vec(),
            account: call.account.as_deref().map(Rc::from),
        }
    }

    /// Returns what the request has in common with others.
    pub fn features(&self) -> Features<'_> {
        Features {
            request: self.request,
            parts: &self.parts,
        }
    }

    /// Returns the digest of the client account.
    pub fn account_digest(&self) -> AccountDigest {
        AccountDigest::from(self.account.as_deref())
    }
}

/// What is known once the runs of an interruption turn out to live.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnconfirmedAnswer {
    /// When the answer began.
    pub began: Instant,
    /// Whether it shows that the parts of the prompt do not crash targets.
    pub proves_parts: bool,
}

/// A pending interruption.
#[derive(Debug)]
struct Interruption {
    suspect: Suspect,
    /// Ids of the targets, for the log.
    targets: String,
    at: Instant,
    candidates: Vec<Candidate>,
    /// Number of [`PROBE_DELAYS`] that are over.
    probes: usize,
    /// The answer that is complete unless a run has ended.
    answer: Option<UnconfirmedAnswer>,
}

impl Interruption {
    /// Whether few crashes like this one quarantine the request.
    fn is_urgent(&self) -> bool {
        let mut weights = self.candidates.iter().map(|one| one.weights.request);
        weights.any(|weight| weight > Some(Weight::Weak))
    }

    fn is_probe_due(&self, now: Instant) -> bool {
        let delay = PROBE_DELAYS.get(self.probes);
        delay.is_some_and(|delay| now >= self.at + *delay)
    }
}

/// Interruptions whose cause is not known yet.
#[derive(Debug, Default)]
pub(crate) struct Interruptions {
    pending: RefCell<Vec<Interruption>>,
    registered: Notify,
    /// When the last check began of whether this box reaches other targets than one that refuses connections, and whether it does not.
    cut_check: Cell<Option<(Instant, bool)>>,
}

impl Interruptions {
    /// Whether nothing is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.borrow().is_empty()
    }

    /// Clears a request of its pending interruptions. They stay pending against the parts of its prompt.
    pub fn clear_request(&self, request: Fingerprint) {
        let mut pending = self.pending.borrow_mut();
        let of_request = pending.iter_mut();
        for interruption in of_request.filter(|one| one.suspect.request == request) {
            for candidate in &mut interruption.candidates {
                candidate.weights.request = None;
            }
        }
    }
}

impl Relay {
    /// Handles an interruption of a request by targets: checks its runs, and keeps it pending if none is known to have ended.
    pub(crate) async fn interrupted(
        &self,
        call: &Call,
        runs: &RefCell<AssignedRuns>,
        progress: AnswerProgress,
    ) {
        let interruption = self.interruption(call, &mut runs.borrow_mut(), progress);
        let Some(interruption) = interruption else {
            return;
        };
        let Some(first) = interruption.candidates.first() else {
            return;
        };
        // Many streams break with each target. Evidence that is weak can wait for a check that they share.
        if !interruption.is_urgent() {
            return self.keep_pending(interruption);
        }
        if self.end_of(&first.run, interruption.at).is_none() {
            let others: Vec<EngineKey> = interruption.candidates[1..]
                .iter()
                .map(|candidate| candidate.run.key)
                .collect();
            tokio::join!(
                self.probe_for_end(first.run.key, first.run.address),
                self.find_dead(&others)
            );
        }
        if let Some(interruption) = self.resolve(interruption).await {
            self.keep_pending(interruption);
        }
    }

    /// Registers an interruption of a request by targets, whose runs are checked later.
    pub(crate) fn register_interruption(
        &self,
        call: &Call,
        runs: &RefCell<AssignedRuns>,
        progress: AnswerProgress,
    ) {
        let interruption = self.interruption(call, &mut runs.borrow_mut(), progress);
        if let Some(interruption) = interruption {
            self.keep_pending(interruption);
        }
    }

    /// Handles an answer that only its connection ended, which the crash of a target may have caused.
    pub(crate) fn completed_unframed(
        &self,
        call: &Call,
        runs: &mut AssignedRuns,
        progress: AnswerProgress,
        answer: UnconfirmedAnswer,
    ) {
        let interruption = self.interruption(call, runs, progress);
        match interruption {
            Some(interruption) => self.keep_pending(Interruption {
                answer: Some(answer),
                ..interruption
            }),
            None => self.confirm_answer(&Suspect::new(call), answer),
        }
    }

    fn confirm_answer(&self, suspect: &Suspect, answer: UnconfirmedAnswer) {
        let by = Completion::Unframed;
        self.clear_request(&suspect.id, suspect.request, by);
        if answer.proves_parts {
            let parts = suspect.parts.iter().zip(&suspect.part_ids);
            self.clear_parts(&suspect.id, parts, answer.began, by);
        }
    }

    /// Returns the interruption of a request by `runs`, if it may become evidence and none is registered that covers it.
    fn interruption(
        &self,
        call: &Call,
        runs: &mut AssignedRuns,
        progress: AnswerProgress,
    ) -> Option<Interruption> {
        let at = self.now();
        let is_covered = |registered_at| at < registered_at + LATE_LISTENER_TIME;
        if runs.registered_at.is_some_and(is_covered) {
            return None;
        }
        runs.registered_at = Some(at);
        let candidates = runs.candidates(progress, at);
        let suspect = Suspect::new(call);
        if candidates.is_empty() {
            self.log_without_evidence(&suspect, &runs.names(), NoEvidence::UnderWay);
            return None;
        }
        Some(Interruption {
            suspect,
            targets: runs.names(),
            at,
            candidates,
            probes: 0,
            answer: None,
        })
    }

    fn keep_pending(&self, interruption: Interruption) {
        let mut pending = self.interruptions.pending.borrow_mut();
        if pending.len() >= MAX_PENDING {
            let complete = pending.iter().position(|other| other.answer.is_some());
            let forgotten = pending.remove(complete.unwrap_or(0));
            self.log_without_evidence(
                &forgotten.suspect,
                &forgotten.targets,
                NoEvidence::Forgotten,
            );
        }
        pending.push(interruption);
        self.interruptions.registered.notify_one();
    }

    /// Returns what shows that a run has ended since the interruption at `at`, if anything does.
    fn end_of(&self, run: &Recipient, at: Instant) -> Option<CrashSign> {
        let fleet = self.fleet.borrow();
        let Some(engine) = fleet.get(run.key) else {
            return Some(CrashSign::Replaced);
        };
        let absence = engine.absence();
        let is_timely = |since: Instant| since < at + LATE_LISTENER_TIME;
        match absence.map(|absence| (absence.reason, absence.since)) {
            Some((AbsenceReason::Superseded, _)) => return Some(CrashSign::Replaced),
            Some((AbsenceReason::Refused, Some(since))) if is_timely(since) => {
                return Some(CrashSign::Refused);
            }
            _ => {}
        }
        // The report may be faster than the end of the connection.
        let from = at.before(LATE_LISTENER_TIME);
        let table = &self.suspicion;
        let has_crashed = table.has_crashed_since(RunDigest::from(&run.run), from);
        has_crashed.then_some(CrashSign::Reported)
    }

    /// Whether a run has shown life since the interruption at `at`, or left in order.
    fn is_cleared(&self, run: &Recipient, at: Instant) -> bool {
        let fleet = self.fleet.borrow();
        let written_at = fleet
            .get(run.key)
            .and_then(|engine| engine.entry_written_at);
        written_at.is_some_and(|written_at| written_at > at + LIFE_DELAY)
            || fleet.has_announced_leave(&run.run)
    }

    /// Whether this box has reached no target besides `key` since the interruption at `at`.
    async fn reaches_no_other(&self, key: EngineKey, at: Instant) -> bool {
        let now = self.now();
        if let Some((checked_at, was_cut_off)) = self.interruptions.cut_check.get() {
            let is_current = !was_cut_off || now < checked_at + CUT_CHECK_INTERVAL;
            if checked_at >= at && is_current {
                return was_cut_off;
            }
        }
        let is_cut_off = self.is_cut_off_besides(key).await;
        self.interruptions.cut_check.set(Some((now, is_cut_off)));
        is_cut_off
    }

    /// Records the crash of the first run of an interruption that is known to have ended. Returns the interruption if it stays
    /// pending.
    async fn resolve(&self, mut interruption: Interruption) -> Option<Interruption> {
        let at = interruption.at;
        interruption
            .candidates
            .retain(|candidate| !self.is_cleared(&candidate.run, at));
        for candidate in &interruption.candidates {
            let Some(by) = self.end_of(&candidate.run, at) else {
                continue;
            };
            // A box without links can't tell a crash from its own cut.
            if by == CrashSign::Refused && self.reaches_no_other(candidate.run.key, at).await {
                continue;
            }
            let age = self.now().since(at);
            let (run, weights) = (&candidate.run.run, candidate.weights);
            self.crashed_under(&interruption.suspect, run, weights, by, age);
            return None;
        }
        let why = match interruption.candidates.is_empty() {
            true => NoEvidence::StillRun,
            false if self.now().since(at) >= PENDING_TTL => NoEvidence::Expired,
            false => return Some(interruption),
        };
        match interruption.answer {
            Some(answer) => self.confirm_answer(&interruption.suspect, answer),
            None => self.log_without_evidence(&interruption.suspect, &interruption.targets, why),
        }
        None
    }

    /// Probes the targets of pending interruptions that are due, each once.
    async fn probe_pending(&self) {
        let now = self.now();
        let mut due = HashMap::new();
        for interruption in self.interruptions.pending.borrow_mut().iter_mut() {
            if interruption.is_probe_due(now) {
                interruption.probes += 1;
                let candidates = interruption.candidates.iter();
                due.extend(candidates.map(|one| (one.run.key, one.run.address)));
            }
        }
        let probes = due
            .into_iter()
            .map(|(key, address)| self.probe_for_end(key, address));
        futures::future::join_all(probes).await;
    }

    /// Probes a target, and marks it as dead if its address refuses connections. Returns whether it does.
    async fn probe_for_end(&self, key: EngineKey, address: SocketAddr) -> bool {
        let is_refused = self.probe(address).await == Probe::Refused;
        if is_refused {
            self.target_dead(key, Evidence::Refused);
        }
        is_refused
    }
}

/// Resolves pending interruptions until the process exits.
pub(crate) async fn watch(relay: &Relay) {
    loop {
        if relay.interruptions.pending.borrow().is_empty() {
            relay.interruptions.registered.notified().await;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
        relay.probe_pending().await;
        let pending = relay.interruptions.pending.take();
        let mut left = Vec::new();
        for interruption in pending {
            left.extend(relay.resolve(interruption).await);
        }
        let mut pending = relay.interruptions.pending.borrow_mut();
        // Those that were registered meanwhile come last.
        pending.splice(0..0, left);
    }
}
