//! Interruptions of requests, kept until it is known whether a target crashed.
//!
//! How an interruption looks at one instant does not show that: a listener may close after the connections, another run may be back
//! at the address, and the target that crashed may be any of the path. So an interruption stays pending against each run that had
//! the request. The first of them that is found to have ended becomes evidence against the request; runs that show life are dropped.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fingerprint::Fingerprint;
use reachtally_core::forward::fleet::{AbsenceReason, EngineKey, Evidence};
use reachtally_core::forward::quarantine::{AccountDigest, RunDigest, RunProgress, Weight};
use tokio::sync::Notify;

use crate::exchange::{self, Recipient};
use crate::quarantine::Completion;
use crate::relay::Relay;
use crate::serve::Call;
use crate::target::Probe;

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
/// Time from an interruption within which refused connections show that the target crashed under the request.
const LATE_LISTENER_TIME: Duration = Duration::from_secs(2);
/// An entry that is read later than this after an interruption was written by a live run: entries are read within a second, and within
/// twice that by a busy box.
const LIFE_DELAY: Duration = Duration::from_millis(2600);
/// Interval at which a target is probed that has sent nothing.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_secs(1);
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

/// What showed that a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndedBy {
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
    /// Names of the parts, for the log.
    pub part_names: String,
    /// Client account.
    pub account: Option<Rc<str>>,
}

impl Suspect {
    fn new(call: &Call) -> Self {
        Suspect {
            id: call.head.id.clone(),
            request: call.fingerprint(),
            parts: call.part_fingerprints().to_vec(),
            part_names: call.head.shared_part_names(),
            account: call.account.as_deref().map(Rc::from),
        }
    }

    /// Returns the digest of the client account.
    pub fn account_digest(&self) -> AccountDigest {
        AccountDigest::from(self.account.as_deref())
    }
}

/// The weights of a crash against a request and the parts of its prompt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Weights {
    pub request: Option<Weight>,
    pub parts: Option<Weight>,
}

impl Weights {
    fn of(progress: RunProgress) -> Option<Self> {
        let weights = Weights {
            request: progress.request_weight(),
            parts: progress.part_weight(),
        };
        (weights.request.is_some() || weights.parts.is_some()).then_some(weights)
    }
}

/// How far the answer to a request was when it was interrupted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerProgress {
    /// When the head arrived, if it did.
    pub head_at: Option<Instant>,
    /// Number of whole events.
    pub events: u64,
}

impl AnswerProgress {
    /// Nothing has arrived.
    pub const NONE: AnswerProgress = AnswerProgress {
        head_at: None,
        events: 0,
    };
}

/// The runs that have a request, in the order of their path.
#[derive(Debug, Clone, Default)]
pub(crate) struct AssignedRuns {
    /// Each with the time since which it has the request.
    runs: Vec<(Recipient, Instant)>,
    /// Whether an interruption by these runs is registered.
    is_registered: bool,
}

impl AssignedRuns {
    /// Returns the runs in these rows.
    pub fn new(relay: &Relay, engines: &[EngineKey]) -> Self {
        let mut assigned = AssignedRuns::default();
        assigned.move_to(relay, engines);
        assigned
    }

    /// Moves the request to the runs in these rows. Those that had it before have had it since then.
    pub fn move_to(&mut self, relay: &Relay, engines: &[EngineKey]) {
        let now = relay.now();
        let since = |key: EngineKey| {
            let mut before = self.runs.iter();
            let before = before.find(|(run, _)| run.key == key);
            before.map_or(now, |(_, since)| *since)
        };
        let run = |key: &EngineKey| Some((exchange::recipient(relay, *key).ok()?, since(*key)));
        self.runs = engines.iter().filter_map(run).collect();
        self.is_registered = false;
    }

    /// Returns those runs whose crash would be evidence, with its weights.
    fn candidates(&self, progress: AnswerProgress, now: Instant) -> Vec<Candidate> {
        let candidate = |(at, (run, since)): (usize, &(Recipient, Instant))| {
            let begun_at = progress.head_at.map(|head_at| head_at.max(*since));
            let weights = Weights::of(RunProgress {
                is_first: at == 0,
                begun_for: begun_at.map(|at| now.since(at)),
                events: progress.events,
            });
            Some(Candidate {
                run: run.clone(),
                weights: weights?,
            })
        };
        self.runs.iter().enumerate().filter_map(candidate).collect()
    }

    fn names(&self) -> String {
        let names = self.runs.iter().map(|(run, _)| &*run.run.id);
        names.collect::<Vec<&str>>().join(",")
    }
}

/// A run that may have ended under a request.
#[derive(Debug)]
struct Candidate {
    run: Recipient,
    weights: Weights,
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
    /// When a check began that last reached a target besides one that refuses connections.
    reached_at: Cell<Option<Instant>>,
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

/// Registers an interruption unless the send is settled before it is dropped: the caller may leave, or the time run out, while a
/// target that crashed is silent.
pub(crate) struct SendWatch<'a> {
    relay: &'a Relay,
    call: &'a Call,
    runs: RefCell<AssignedRuns>,
    is_settled: Cell<bool>,
}

impl<'a> SendWatch<'a> {
    /// Watches a send to the runs in these rows.
    pub fn new(relay: &'a Relay, call: &'a Call, engines: &[EngineKey]) -> Self {
        SendWatch {
            relay,
            call,
            runs: RefCell::new(AssignedRuns::new(relay, engines)),
            is_settled: Cell::new(false),
        }
    }

    /// Moves the request to the runs in these rows.
    pub fn move_to(&self, engines: &[EngineKey]) {
        self.runs.borrow_mut().move_to(self.relay, engines);
    }

    /// Records that the send has an outcome, and returns the runs.
    pub fn settle(&self) -> AssignedRuns {
        self.is_settled.set(true);
        self.runs.borrow().clone()
    }

    /// Runs `work`, and checks the first run meanwhile: its connection may stay open after a crash. What it may still send is awaited
    /// all the same.
    pub async fn during<T>(&self, work: impl Future<Output = T>) -> T {
        tokio::select! {
            biased;
            done = work => done,
            never = self.check_first_run() => match never {},
        }
    }

    async fn check_first_run(&self) -> Infallible {
        loop {
            tokio::time::sleep(LIVENESS_CHECK_INTERVAL).await;
            let first = self.runs.borrow().runs.first().map(|(run, _)| run.clone());
            let Some(first) = first else {
                continue;
            };
            if self.relay.probe(first.address).await == Probe::Refused {
                self.relay.target_dead(first.key, Evidence::Refused);
                let progress = AnswerProgress::NONE;
                self.relay
                    .register_interruption(self.call, &self.runs, progress);
            }
        }
    }

    /// Registers that targets interrupted the send, after a check of its runs.
    pub async fn interrupted(&self) {
        self.is_settled.set(true);
        self.suspected().await;
    }

    /// Registers that targets seem to have interrupted the send, which goes on.
    pub async fn suspected(&self) {
        let progress = AnswerProgress::NONE;
        self.relay
            .interrupted(self.call, &self.runs, progress)
            .await;
    }
}

impl Drop for SendWatch<'_> {
    fn drop(&mut self) {
        if !self.is_settled.get() {
            let progress = AnswerProgress::NONE;
            self.relay
                .register_interruption(self.call, &self.runs, progress);
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
            let probe = self.probe(first.run.address);
            let (probe, _) = tokio::join!(probe, self.find_dead(&others));
            if probe == Probe::Refused {
                self.target_dead(first.run.key, Evidence::Refused);
            }
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
            self.clear_parts(&suspect.id, &suspect.parts, answer.began, by);
        }
    }

    /// Returns the interruption of a request by `runs`, if it may become evidence and is not registered yet.
    fn interruption(
        &self,
        call: &Call,
        runs: &mut AssignedRuns,
        progress: AnswerProgress,
    ) -> Option<Interruption> {
        if std::mem::replace(&mut runs.is_registered, true) {
            return None;
        }
        let at = self.now();
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
    fn end_of(&self, run: &Recipient, at: Instant) -> Option<EndedBy> {
        let fleet = self.fleet.borrow();
        let Some(engine) = fleet.get(run.key) else {
            return Some(EndedBy::Replaced);
        };
        let absence = engine.absence();
        let is_timely = |since: Instant| since < at + LATE_LISTENER_TIME;
        match absence.map(|absence| (absence.reason, absence.since)) {
            Some((AbsenceReason::Superseded, _)) => return Some(EndedBy::Replaced),
            Some((AbsenceReason::Refused, Some(since))) if is_timely(since) => {
                return Some(EndedBy::Refused);
            }
            _ => {}
        }
        let table = &self.suspicion;
        table
            .has_crashed(RunDigest::from(&run.run))
            .then_some(EndedBy::Reported)
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
        let reached_at = &self.interruptions.reached_at;
        if reached_at.get().is_some_and(|reached_at| reached_at >= at) {
            return false;
        }
        let now = self.now();
        let is_cut_off = self.is_cut_off_besides(key).await;
        if !is_cut_off {
            reached_at.set(Some(now));
        }
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
            if by == EndedBy::Refused && self.reaches_no_other(candidate.run.key, at).await {
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
        let probes = due.into_iter().map(|(key, address)| async move {
            if self.probe(address).await == Probe::Refused {
                self.target_dead(key, Evidence::Refused);
            }
        });
        futures::future::join_all(probes).await;
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
