//! Detects requests that crash their targets, and quarantines them.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::net::IpAddr;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fingerprint::Fingerprint;
use reachtally_core::forward::fleet::TargetRun;
use reachtally_core::forward::prompt::PartId;
use reachtally_core::forward::quarantine::{
    ChangeOrigin, CrashRecord, Quarantine, RunDigest, SuspectReport, Verdict, Weight,
};
use tokio::sync::{Notify, watch};

use crate::interruptions::{CrashSign, NoEvidence, Suspect, Weights};
use crate::relay::Relay;
use crate::serve::Call;
use crate::store::SuspectChange;
use crate::wire::part_names;

/// How a target completed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Completion {
    /// With a whole answer, which its length or its last chunk ended.
    Whole,
    /// With an answer that only its connection ended.
    Unframed,
    /// With a stream that goes on.
    Progress,
}

/// Evidence on suspect requests, and notifications of its changes.
#[derive(Debug, Default)]
pub(crate) struct QuarantineState {
    table: RefCell<Quarantine>,
    /// Notified when this box has changes to send to other boxes immediately.
    pub evidence_changed: Notify,
    /// Notified when the store is reachable again after an outage.
    pub store_back: Notify,
    /// Requests whose evidence must be written to the store.
    unsaved: RefCell<BTreeSet<Fingerprint>>,
    unsaved_changed: Notify,
    /// Counts quarantine decisions, to notify requests in flight.
    stopped: watch::Sender<u64>,
    /// Fraction of a trial's delay that this box adds to it.
    spread: f64,
}

impl QuarantineState {
    /// Whether a box saw `run` crash under a request, of which this one learned since `from`.
    pub fn has_crashed_since(&self, run: RunDigest, from: Instant) -> bool {
        self.table.borrow().has_run_crashed_since(run, from)
    }

    /// Creates the state of the box with this address.
    pub fn new(ip: IpAddr) -> Self {
        let draw = BuildHasherDefault::<DefaultHasher>::default().hash_one(ip);
        QuarantineState {
            spread: draw as f64 / u64::MAX as f64,
            ..QuarantineState::default()
        }
    }

    /// Marks the evidence on a request to be written to the store.
    fn mark_unsaved(&self, fingerprint: Fingerprint) {
        self.unsaved.borrow_mut().insert(fingerprint);
        self.unsaved_changed.notify_one();
    }

    /// Returns recently changed evidence, in messages.
    pub fn changes(&self, origin: ChangeOrigin, now: Instant) -> Vec<Vec<SuspectReport>> {
        self.table.borrow().change_messages(origin, now)
    }

    /// Returns one page of all evidence.
    pub fn page(&self, number: u64, now: Instant) -> Vec<SuspectReport> {
        self.table.borrow().page(number, now)
    }

    /// Removes expired evidence.
    pub fn remove_expired(&self, now: Instant) {
        self.table.borrow_mut().remove_expired(now);
    }
}

impl Relay {
    /// Returns the number of suspects that were forgotten for others before they expired.
    pub fn suspects_evicted(&self) -> u64 {
        self.suspicion.table.borrow().evictions()
    }

    /// Returns what is known of a request and of the parts of its prompt, for the log; empty if none of them is suspect.
    pub(crate) fn suspicion_of(&self, call: &Call) -> String {
        let table = self.suspicion.table.borrow();
        if table.is_empty() {
            return String::new();
        }
        let now = self.now();
        let features = call.features();
        let known = features.all().filter_map(|feature| {
            let known = table.knowledge(feature, now)?;
            Some(format!("{feature}: {known}"))
        });
        known.collect::<Vec<String>>().join("; ")
    }

    /// Logs an interruption of a request by its targets that is no evidence against it.
    pub(crate) fn log_without_evidence(&self, suspect: &Suspect, targets: &str, why: NoEvidence) {
        self.count(|tally| tally.interruptions_without_evidence += 1);
        log::info!(event = "no-evidence", id = &*suspect.id, fingerprint:% = suspect.request, targets = targets, why:? = why; "an interruption is no evidence against its request");
    }

    /// Returns the number of requests with evidence against them.
    pub fn suspects_known(&self) -> usize {
        self.suspicion.table.borrow().len()
    }

    /// Returns whether a request is quarantined because targets crashed that began to run it, or others with a part of its prompt.
    pub(crate) fn is_quarantined(&self, call: &Call) -> bool {
        let mut table = self.suspicion.table.borrow_mut();
        if table.is_empty() {
            return false;
        }
        let features = call.features();
        let is_tried = |since| !table.has_crashed_since(&features, since);
        if call.trial_since.get().is_some_and(is_tried) {
            return false;
        }
        let Some(culprit) = table.culprit(&features) else {
            return false;
        };
        table.refused(culprit, self.now());
        true
    }

    /// Returns whether a quarantined request is to be sent nevertheless, to try the part again that is blamed.
    pub(crate) fn is_trial_due(&self, call: &Call) -> bool {
        let table = self.suspicion.table.borrow();
        table.is_trial_due(&call.features(), self.suspicion.spread, self.now())
    }

    /// Records that a quarantined request is sent to try a part again.
    pub(crate) fn start_trial(&self, call: &Call) {
        let now = self.now();
        self.suspicion
            .table
            .borrow_mut()
            .start_trial(&call.features(), now);
        call.trial_since.set(Some(now));
        self.count(|tally| tally.quarantine_trials += 1);
        log::info!(event = "trial", id = &*call.head.id, parts = &*call.head.shared_part_names(); "sending a quarantined request, to try the part of its prompt that is blamed");
    }

    /// Records that a run crashed under a request, `age` after it had interrupted the request.
    pub(crate) fn crashed_under(
        &self,
        suspect: &Suspect,
        run: &TargetRun,
        weights: Weights,
        by: CrashSign,
        age: Duration,
    ) {
        let Some(verdict) = self.record_crash(suspect, run, weights) else {
            return;
        };
        self.count(|tally| tally.ends_under_requests += 1);
        self.notify_quarantined(verdict);
        log::info!(event = "ended-under", id = &*suspect.id, fingerprint:% = suspect.request, account = suspect.account.as_deref().unwrap_or_default(), target = &*run.id, weight:? = weights.request, part_weight:? = weights.parts, by:? = by, known_after_ms = age.as_millis() as u64, verdict:? = verdict, parts = &*part_names(&suspect.part_ids), blamed = &*self.blamed(suspect); "target crashed while running a request");
        self.suspicion.evidence_changed.notify_one();
    }

    /// Records a crash under a request, and under the parts of its prompt that no target has written on for a while. Returns the most
    /// severe verdict on these if anything changed.
    fn record_crash(
        &self,
        suspect: &Suspect,
        run: &TargetRun,
        weights: Weights,
    ) -> Option<Verdict> {
        let now = self.now();
        let account = suspect.account_digest();
        let mut table = self.suspicion.table.borrow_mut();
        let request = weights.request.map(|weight| (suspect.request, weight));
        let mut features: Vec<(Fingerprint, Weight)> = request.into_iter().collect();
        if let Some(weight) = weights.parts {
            let parts = suspect.parts.iter().copied();
            let parts = parts.filter(|part| !table.is_proven(*part, now));
            features.extend(parts.map(|part| (part, weight)));
        }
        let mut worst = None;
        for (feature, weight) in features {
            let end = CrashRecord {
                run: RunDigest::from(run),
                weight,
                is_acquitted: false,
            };
            let verdict = table.record_crash(feature, account, end, now);
            if verdict == Some(Verdict::Quarantined) {
                self.suspicion.mark_unsaved(feature);
            }
            worst = worst.max(verdict);
        }
        worst
    }

    /// Returns which part of a request's prompt is blamed for crashes, or `request`; empty if none is. For the log.
    fn blamed(&self, suspect: &Suspect) -> String {
        let culprit = self.suspicion.table.borrow().culprit(&suspect.features());
        let part_at = |culprit| {
            let mut parts = suspect.parts.iter();
            parts.position(|part| *part == culprit)
        };
        match culprit.map(part_at) {
            None => String::new(),
            Some(None) => "request".to_owned(),
            Some(Some(at)) => suspect.part_ids[at].as_str().to_owned(),
        }
    }

    /// Clears a request of suspicion, since a target completed it.
    pub(crate) fn record_completion(&self, call: &Call, by: Completion) {
        if self.suspicion.table.borrow().is_empty() && self.interruptions.is_empty() {
            return;
        }
        self.clear_request(&call.head.id, call.fingerprint(), by);
    }

    /// Clears a request of the crashes known so far and of its pending interruptions.
    pub(crate) fn clear_request(&self, id: &str, request: Fingerprint, by: Completion) {
        self.interruptions.clear_request(request);
        let now = self.now();
        let mut table = self.suspicion.table.borrow_mut();
        let was_quarantined = table.verdict(request) == Verdict::Quarantined;
        if table.clear_suspicion(request, now) {
            self.cleared(request, was_quarantined);
            log::info!(event = "acquitted", id = id, fingerprint:% = request, by:? = by; "cleared a suspect request that a target completed");
        }
    }

    /// Clears the parts of a request's prompt, since the targets whose answer began at `began` have written on them for a while.
    pub(crate) fn record_proof(&self, call: &Call, began: Instant, by: Completion) {
        let parts = call.part_fingerprints().iter();
        self.clear_parts(
            &call.head.id,
            parts.zip(call.head.shared_parts()),
            began,
            by,
        );
    }

    /// Clears parts of prompts, since the targets whose answer to attempt `id` began at `began` have written on them for a while.
    pub(crate) fn clear_parts<'a>(
        &self,
        id: &str,
        parts: impl Iterator<Item = (&'a Fingerprint, &'a PartId)>,
        began: Instant,
        by: Completion,
    ) {
        let now = self.now();
        let mut table = self.suspicion.table.borrow_mut();
        for (part, name) in parts {
            let was_quarantined = table.verdict(*part) == Verdict::Quarantined;
            if table.record_proof(*part, began, now) {
                self.cleared(*part, was_quarantined);
                log::info!(event = "acquitted", id = id, part = name.as_str(), fingerprint:% = part, by:? = by; "cleared a suspect part of a prompt on which a target wrote for a while");
            }
        }
    }

    fn cleared(&self, feature: Fingerprint, was_quarantined: bool) {
        if was_quarantined {
            self.suspicion.mark_unsaved(feature);
        }
        self.suspicion.evidence_changed.notify_one();
    }

    /// Merges evidence from another box, or from the store if `from` is `None`. Returns whether any of it is new.
    pub(crate) fn merge_suspects(&self, reported: &[SuspectReport], from: Option<IpAddr>) -> bool {
        let now = self.now();
        let mut table = self.suspicion.table.borrow_mut();
        let mut is_changed = false;
        for evidence in reported {
            let feature = evidence.fingerprint;
            let before = table.verdict(feature);
            if !table.receive(evidence, now) {
                continue;
            }
            is_changed = true;
            let verdict = table.verdict(feature);
            // Further crashes may tell a quarantined feature from others, so that more requests are stopped.
            self.notify_quarantined(verdict);
            if before == verdict {
                continue;
            }
            let from = from.map_or_else(|| "store".to_owned(), |ip| ip.to_string());
            let crashes = table
                .knowledge(feature, now)
                .map_or(0, |known| known.crashes);
            log::info!(event = "suspect", fingerprint:% = feature, before:? = before, verdict:? = verdict, crashes = crashes, from = &*from; "evidence from other boxes changed the verdict on a request or part");
            if verdict == Verdict::Quarantined && table.was_seen_here(feature) {
                self.suspicion.mark_unsaved(feature);
            }
        }
        is_changed
    }

    /// Merges evidence that earlier runs of boxes saved in the store.
    pub(crate) fn load_suspects(&self, saved: &[SuspectReport]) {
        if self.merge_suspects(saved, None) {
            log::info!(event = "suspects-read", requests = saved.len(); "loaded suspect requests from the store");
            self.suspicion.evidence_changed.notify_one();
        }
    }

    /// Waits for evidence that must be written to the store, and returns the changes.
    pub(crate) async fn unsaved_suspects(&self) -> Vec<SuspectChange> {
        while self.suspicion.unsaved.borrow().is_empty() {
            self.suspicion.unsaved_changed.notified().await;
        }
        let now = self.now();
        let table = self.suspicion.table.borrow();
        let unsaved = self.suspicion.unsaved.borrow();
        let change = |fingerprint: &Fingerprint| match table.report(*fingerprint, now) {
            Some(evidence) => SuspectChange::Keep(evidence),
            None => SuspectChange::Drop(*fingerprint),
        };
        unsaved.iter().map(change).collect()
    }

    /// Marks changes as written to the store. Evidence that has changed since must be written again.
    pub(crate) fn mark_suspects_saved(&self, changes: &[SuspectChange]) {
        let now = self.now();
        let table = self.suspicion.table.borrow();
        let is_current = |evidence: &SuspectReport| {
            let current = table.report(evidence.fingerprint, now);
            current.is_some_and(|current| current.ends == evidence.ends)
        };
        let mut unsaved = self.suspicion.unsaved.borrow_mut();
        for change in changes {
            match change {
                SuspectChange::Keep(kept) if is_current(kept) => unsaved.remove(&kept.fingerprint),
                SuspectChange::Keep(_) => false,
                SuspectChange::Drop(fingerprint) => unsaved.remove(fingerprint),
            };
        }
    }

    fn notify_quarantined(&self, verdict: Verdict) {
        if verdict == Verdict::Quarantined {
            self.suspicion.stopped.send_modify(|count| *count += 1);
        }
    }

    /// Subscribes to quarantine decisions.
    pub(crate) fn stopped(&self) -> watch::Receiver<u64> {
        self.suspicion.stopped.subscribe()
    }

    /// Waits until this request is quarantined. Cancelling it then protects targets that it was already sent to
    /// and that may not have begun to run it.
    pub(crate) async fn until_quarantined(&self, call: &Call, stopped: &mut watch::Receiver<u64>) {
        // The sender lives as long as the relay.
        while stopped.changed().await.is_ok() && !self.is_quarantined(call) {}
    }
}
