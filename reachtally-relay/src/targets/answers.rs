//! Answers and failures of targets.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::{EngineKey, TargetRun};

use crate::relay::Relay;
use crate::wire::{LimitHeader, Statement};

impl Relay {
    /// Counts a failure of a target.
    pub fn target_failed(&self, key: EngineKey, why: &str) {
        let mut fleet = self.fleet.borrow_mut();
        let Some(engine) = fleet.get(key) else {
            return;
        };
        log::info!(event = "target-failed", target = &*engine.entry.id, address:% = engine.entry.address, why = why; "target failed; it is in cooldown");
        fleet.record_failure(key, self.now());
        self.count(|tally| tally.target_failures += 1);
    }

    /// Excludes a target that contradicted its entry until the entry changes.
    pub fn target_contradicted(&self, key: EngineKey) {
        let now = self.now();
        if let Some(engine) = self.fleet.borrow_mut().get_mut(key) {
            log::info!(event = "target-contradicted", target = &*engine.entry.id, address:% = engine.entry.address, layers:? = engine.entry.layers; "target contradicted its entry; it is excluded until the entry changes");
            engine.health.mark_contradicted(now);
        }
    }

    /// Records that a target refused a request because it is at capacity.
    pub fn target_refused(&self, key: EngineKey) {
        let now = self.now();
        if let Some(engine) = self.fleet.borrow_mut().get_mut(key) {
            log::info!(event = "target-refused", target = &*engine.entry.id, layers:? = engine.entry.layers, running = engine.running, elsewhere = engine.remote_running as u64, tokens = engine.tokens as u64, tokens_elsewhere = engine.remote_tokens as u64; "target refused a request: at capacity");
            engine.health.refused(now);
        }
    }

    /// Records that a target does not read what it is sent. It gets the same cooldown as one that is at capacity.
    pub fn target_unread(&self, key: EngineKey) {
        let now = self.now();
        if let Some(engine) = self.fleet.borrow_mut().get_mut(key) {
            engine.health.refused(now);
        }
    }

    /// Applies what a target states about itself in the answer to a request that was sent to `run` at `asked_at`.
    pub fn apply_statement(&self, run: &TargetRun, statement: Statement, asked_at: Instant) {
        if let Some(back_off) = statement.back_off {
            self.target_requests_back_off(run, back_off, asked_at);
        }
        if statement.is_leaving {
            self.target_leaves(run, asked_at);
        }
        match statement.limit {
            LimitHeader::Named(limit) => self.target_limits(run, limit),
            LimitHeader::Absent | LimitHeader::Malformed => {}
        }
    }

    /// Marks a target as leaving. This box sends it no more requests, whatever its entry says.
    fn target_leaves(&self, run: &TargetRun, asked_at: Instant) {
        let mut is_new = false;
        self.fleet
            .borrow_mut()
            .update_notice(run, asked_at, |notice| {
                is_new = !notice.is_leaving();
                notice.leave(asked_at);
            });
        if is_new {
            log::info!(event = "target-leaves", target = &*run.id; "target announced in an answer that it is leaving");
        }
    }

    /// Starts a back-off that a target requested from this box.
    fn target_requests_back_off(&self, run: &TargetRun, back_off: Duration, asked_at: Instant) {
        let now = self.now();
        self.count(|tally| tally.rests_asked += 1);
        log::info!(event = "target-rests", target = &*run.id, rest_ms = back_off.as_millis() as u64; "target requested a back-off; no requests are sent to it until then");
        let mut fleet = self.fleet.borrow_mut();
        fleet.update_notice(run, asked_at, |notice| {
            notice.back_off(now + back_off, asked_at);
        });
    }

    /// Counts a send to a target during a requested back-off.
    pub(crate) fn count_in_back_off(&self, key: EngineKey) {
        let fleet = self.fleet.borrow();
        let now = self.now();
        if fleet
            .get(key)
            .is_some_and(|engine| engine.notice.is_backing_off(now))
        {
            self.count(|tally| tally.sends_in_rest += 1);
        }
    }
}
