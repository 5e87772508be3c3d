//! Detects requests that crash their targets, and quarantines them.

use std::cell::RefCell;
use std::collections::BTreeSet;

use reachtally_core::Instant;
use reachtally_core::forward::fingerprint::Fingerprint;
use reachtally_core::forward::quarantine::{
    AccountDigest, ChangeOrigin, CrashRecord, Quarantine, RunDigest, SuspectReport, Verdict,
};
use tokio::sync::{Notify, watch};

use crate::exchange::Recipient;
use crate::relay::Relay;
use crate::serve::Call;
use crate::store::SuspectChange;
use crate::target;

/// How far a target run had processed a request when the run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// It had begun to process the request and had sent nothing of the response body.
    Begun,
    /// Not known.
    Unknown,
}

/// How a target completed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Completion {
    /// With a whole answer, which its length or its last chunk ended.
    Whole,
    /// With an answer that only its connection ended.
    Unframed,
    /// With an error response.
    Failure,
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
}

impl QuarantineState {
    /// Marks the evidence on a request to be written to the store.
    fn mark_unsaved(&self, fingerprint: Fingerprint) {
        self.unsaved.borrow_mut().insert(fingerprint);
        self.unsaved_changed.notify_one();
    }

    /// Returns recently changed evidence.
    pub fn changes(&self, origin: ChangeOrigin, now: Instant) -> Vec<SuspectReport> {
        self.table.borrow().changes(origin, now)
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
    /// Returns the number of requests with evidence against them.
    pub fn suspects_known(&self) -> usize {
        self.suspicion.table.borrow().len()
    }

    /// Returns whether a request is quarantined because targets that began to run it crashed.
    pub(crate) fn is_quarantined(&self, call: &Call) -> bool {
        let mut table = self.suspicion.table.borrow_mut();
        if table.is_empty() {
            return false;
        }
        let fingerprint = call.fingerprint();
        if table.verdict(fingerprint) < Verdict::Quarantined {
            return false;
        }
        table.refused(fingerprint, self.now());
        true
    }

    /// Handles a connection that a target closed while it had a request. If nothing listens at its address any
    /// more, the run has ended and the request may be the cause. A cut or reset connection alone proves nothing, nor
    /// does a refused one if this box reaches no other target either.
    pub(crate) async fn target_disconnected(
        &self,
        call: &Call,
        to: &Recipient,
        progress: Progress,
    ) {
        if !target::refuses_connections(to.address).await || self.is_cut_off_besides(to.key).await {
            return;
        }
        let end = CrashRecord {
            run: RunDigest::from(&to.run),
            had_begun: progress == Progress::Begun,
            is_acquitted: false,
        };
        let account = AccountDigest::from(call.account.as_deref());
        let fingerprint = call.fingerprint();
        let changed = {
            let mut table = self.suspicion.table.borrow_mut();
            table.record_crash(fingerprint, account, end, self.now())
        };
        let Some(verdict) = changed else {
            return;
        };
        self.count(|tally| tally.ends_under_requests += 1);
        self.notify_quarantined(verdict);
        if verdict == Verdict::Quarantined {
            self.suspicion.mark_unsaved(fingerprint);
        }
        log::info!(event = "ended-under", id = &*call.head.id, fingerprint:% = fingerprint, account = call.account.as_deref().unwrap_or_default(), target = &*to.run.id, progress:? = progress, verdict:? = verdict, parts = &*call.head.shared_part_names(); "target crashed while running a request");
        self.suspicion.evidence_changed.notify_one();
    }

    /// Clears a request of suspicion, since a target completed it.
    pub(crate) fn record_completion(&self, call: &Call, by: Completion) {
        let mut table = self.suspicion.table.borrow_mut();
        if table.is_empty() {
            return;
        }
        let fingerprint = call.fingerprint();
        let was_quarantined = table.verdict(fingerprint) == Verdict::Quarantined;
        if table.clear_suspicion(fingerprint, self.now()) {
            if was_quarantined {
                self.suspicion.mark_unsaved(fingerprint);
            }
            log::info!(event = "acquitted", id = &*call.head.id, fingerprint:% = fingerprint, by:? = by, parts = &*call.head.shared_part_names(); "cleared a suspect request that a target completed");
            self.suspicion.evidence_changed.notify_one();
        }
    }

    /// Merges evidence from another box; returns whether any of it is new.
    pub(crate) fn merge_suspects(&self, reported: &[SuspectReport]) -> bool {
        let now = self.now();
        let mut table = self.suspicion.table.borrow_mut();
        let mut is_changed = false;
        for evidence in reported {
            let before = table.verdict(evidence.fingerprint);
            is_changed |= table.receive(evidence, now);
            let verdict = table.verdict(evidence.fingerprint);
            if before != verdict {
                log::info!(event = "suspect", fingerprint:% = evidence.fingerprint, before:? = before, verdict:? = verdict; "evidence from other boxes changed the verdict on a request");
                self.notify_quarantined(verdict);
            }
        }
        is_changed
    }

    /// Merges evidence that earlier runs of boxes saved in the store.
    pub(crate) fn load_suspects(&self, saved: &[SuspectReport]) {
        if self.merge_suspects(saved) {
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
