//! Requests under which runs of targets ended: what this box sees of them, and what follows.

use std::cell::RefCell;
use std::collections::BTreeSet;

use reachtally_core::Instant;
use reachtally_core::forward::fingerprint::Fingerprint;
use reachtally_core::forward::quarantine::{
    AccountDigest, End, Origin, Quarantine, RunDigest, Told, Verdict,
};
use tokio::sync::{Notify, watch};

use crate::exchange::Recipient;
use crate::relay::Relay;
use crate::serve::Call;
use crate::store::SuspectChange;
use crate::target;

/// How far a run had come with a request when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// It had begun it, and nothing of the answer's body had come.
    Begun,
    /// That can't be told.
    Unknown,
}

/// What is remembered of such requests, and whether there is something to tell.
#[derive(Debug, Default)]
pub(crate) struct Suspicion {
    table: RefCell<Quarantine>,
    /// This box has something to tell at once.
    pub news: Notify,
    /// The store answers this box again after it was away.
    pub store_back: Notify,
    /// Requests of which the store must be told.
    unkept: RefCell<BTreeSet<Fingerprint>>,
    unkept_news: Notify,
    /// Counts the requests that were found to get no more targets, for those under way.
    stopped: watch::Sender<u64>,
}

impl Suspicion {
    /// The store must be told of a request.
    fn must_keep(&self, fingerprint: Fingerprint) {
        self.unkept.borrow_mut().insert(fingerprint);
        self.unkept_news.notify_one();
    }

    /// What has changed lately.
    pub fn changes(&self, origin: Origin, now: Instant) -> Vec<Told> {
        self.table.borrow().changes(origin, now)
    }

    /// A page of all that is remembered.
    pub fn page(&self, number: u64, now: Instant) -> Vec<Told> {
        self.table.borrow().page(number, now)
    }

    /// Forget what is old.
    pub fn remove_expired(&self, now: Instant) {
        self.table.borrow_mut().remove_expired(now);
    }
}

impl Relay {
    /// Requests remembered because targets ended under them.
    pub fn suspects_known(&self) -> usize {
        self.suspicion.table.borrow().len()
    }

    /// Whether a request gets no more targets, since those that began to run it ended.
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

    /// A target broke its connection off while it had a request. Where nothing listens there any more the run is over, and the request
    /// may be the cause; a connection that was cut, or an engine that only resets it, proves nothing.
    pub(crate) async fn target_broke_off(&self, call: &Call, to: &Recipient, progress: Progress) {
        if !target::listens_no_more(to.address).await {
            return;
        }
        let end = End {
            run: RunDigest::from(&to.run),
            had_begun: progress == Progress::Begun,
            is_acquitted: false,
        };
        let account = AccountDigest::from(call.account.as_deref());
        let fingerprint = call.fingerprint();
        let news = {
            let mut table = self.suspicion.table.borrow_mut();
            table.run_ended(fingerprint, account, end, self.now())
        };
        let Some(verdict) = news else {
            return;
        };
        self.count(|tally| tally.ends_under_requests += 1);
        self.note_stopped(verdict);
        if verdict == Verdict::Quarantined {
            self.suspicion.must_keep(fingerprint);
        }
        log::info!(event = "ended-under", id = &*call.head.id, fingerprint:% = fingerprint, account = call.account.as_deref().unwrap_or_default(), target = &*to.run.id, progress:? = progress, verdict:? = verdict; "a target ended under a request");
        self.suspicion.news.notify_one();
    }

    /// A target gave a request a whole answer, so the request is not why others ended.
    pub(crate) fn answered_whole(&self, call: &Call) {
        let mut table = self.suspicion.table.borrow_mut();
        if table.is_empty() {
            return;
        }
        let fingerprint = call.fingerprint();
        let was_stopped = table.verdict(fingerprint) == Verdict::Quarantined;
        if table.acquit(fingerprint, self.now()) {
            if was_stopped {
                self.suspicion.must_keep(fingerprint);
            }
            log::info!(event = "acquitted", id = &*call.head.id, fingerprint:% = fingerprint; "a request that targets ended under has a whole answer");
            self.suspicion.news.notify_one();
        }
    }

    /// Take in what another box told; yields whether something of it is news.
    pub(crate) fn hear_suspects(&self, told: &[Told]) -> bool {
        let now = self.now();
        let mut table = self.suspicion.table.borrow_mut();
        let mut is_news = false;
        for told in told {
            let before = table.verdict(told.fingerprint);
            is_news |= table.hear(told, now);
            let verdict = table.verdict(told.fingerprint);
            if before != verdict {
                log::info!(event = "suspect", fingerprint:% = told.fingerprint, before:? = before, verdict:? = verdict; "other boxes told of targets that ended under a request");
                self.note_stopped(verdict);
            }
        }
        is_news
    }

    /// Take in what earlier runs of boxes kept.
    pub(crate) fn take_over_suspects(&self, kept: &[Told]) {
        if self.hear_suspects(kept) {
            log::info!(event = "suspects-read", requests = kept.len(); "requests that targets ended under were read from the store");
            self.suspicion.news.notify_one();
        }
    }

    /// Wait for requests of which the store must be told.
    pub(crate) async fn unkept_suspects(&self) -> Vec<SuspectChange> {
        while self.suspicion.unkept.borrow().is_empty() {
            self.suspicion.unkept_news.notified().await;
        }
        let now = self.now();
        let table = self.suspicion.table.borrow();
        let unkept = self.suspicion.unkept.borrow();
        let change = |fingerprint: &Fingerprint| match table.tell(*fingerprint, now) {
            Some(told) => SuspectChange::Keep(told),
            None => SuspectChange::Drop(*fingerprint),
        };
        unkept.iter().map(change).collect()
    }

    /// The store was told. What has changed meanwhile is to be told anew.
    pub(crate) fn suspects_kept(&self, changes: &[SuspectChange]) {
        let now = self.now();
        let table = self.suspicion.table.borrow();
        let is_as_told = |told: &Told| {
            let held = table.tell(told.fingerprint, now);
            held.is_some_and(|held| held.ends == told.ends)
        };
        let mut unkept = self.suspicion.unkept.borrow_mut();
        for change in changes {
            match change {
                SuspectChange::Keep(told) if is_as_told(told) => unkept.remove(&told.fingerprint),
                SuspectChange::Keep(_) => false,
                SuspectChange::Drop(fingerprint) => unkept.remove(fingerprint),
            };
        }
    }

    fn note_stopped(&self, verdict: Verdict) {
        if verdict == Verdict::Quarantined {
            self.suspicion.stopped.send_modify(|count| *count += 1);
        }
    }

    /// Follow whether requests are stopped.
    pub(crate) fn stopped(&self) -> watch::Receiver<u64> {
        self.suspicion.stopped.subscribe()
    }

    /// Wait until this request gets no more targets. Guards those that it has been sent to and that have not ended yet: leaving them
    /// then may come before they begin it.
    pub(crate) async fn until_quarantined(&self, call: &Call, stopped: &mut watch::Receiver<u64>) {
        // The sender lives as long as the relay.
        while stopped.changed().await.is_ok() && !self.is_quarantined(call) {}
    }
}
