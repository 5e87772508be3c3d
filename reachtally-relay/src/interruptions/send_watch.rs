//! Watches a send until it has an outcome.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::time::Duration;

use reachtally_core::forward::fleet::EngineKey;

use super::{AnswerProgress, AssignedRuns};
use crate::relay::Relay;
use crate::serve::Call;

/// Interval at which a target is probed that has sent nothing.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

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
            let first = self.runs.borrow().first().cloned();
            let Some(first) = first else {
                continue;
            };
            if self.relay.probe_for_end(first.key, first.address).await {
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
