//! Answers and failures of targets.

use std::time::Duration;

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
        log::info!(event = "target-failed", target = &*engine.entry.id, address:% = engine.entry.address, why = why; "hold off a target");
        fleet.failed(key, self.now());
        self.count(|tally| tally.target_failures += 1);
    }

    /// Excludes a target that does not hold what its entry says, until the entry changes.
    pub fn target_contradicted(&self, key: EngineKey) {
        let now = self.now();
        if let Some(engine) = self.fleet.borrow_mut().get_mut(key) {
            log::info!(event = "target-contradicted", target = &*engine.entry.id, address:% = engine.entry.address, layers:? = engine.entry.layers; "a target does not hold what its entry says");
            engine.health.contradicted(now);
        }
    }

    /// Notes that a target refused a request because it is full.
    pub fn target_refused(&self, key: EngineKey) {
        let now = self.now();
        if let Some(engine) = self.fleet.borrow_mut().get_mut(key) {
            log::info!(event = "target-refused", target = &*engine.entry.id, layers:? = engine.entry.layers, running = engine.running, elsewhere = engine.remote_running as u64, tokens = engine.tokens as u64, tokens_elsewhere = engine.remote_tokens as u64; "a target has no room");
            engine.health.refused(now);
        }
    }

    /// Applies what a target says of itself in an answer.
    pub fn target_said(&self, run: &TargetRun, said: Statement) {
        if let Some(back_off) = said.back_off {
            self.target_asks_for_back_off(run, back_off);
        }
        if said.is_leaving {
            self.target_leaves(run);
        }
        match said.limit {
            LimitHeader::Named(limit) => self.target_limits(run, limit),
            LimitHeader::Absent | LimitHeader::Malformed => {}
        }
    }

    /// Marks a target as leaving: it gets nothing more from this box, whatever its entry says.
    fn target_leaves(&self, run: &TargetRun) {
        let mut is_new = false;
        self.fleet.borrow_mut().note(run, self.now(), |notice| {
            is_new = !notice.is_leaving();
            notice.leave();
        });
        if is_new {
            log::info!(event = "target-leaves", target = &*run.id; "a target said in an answer that it leaves");
        }
    }

    /// A target asks this box to back off for a time.
    fn target_asks_for_back_off(&self, run: &TargetRun, back_off: Duration) {
        let now = self.now();
        self.count(|tally| tally.rests_asked += 1);
        log::info!(event = "target-rests", target = &*run.id, rest_ms = back_off.as_millis() as u64; "a target wants nothing from this box for a time");
        let mut fleet = self.fleet.borrow_mut();
        fleet.note(run, now, |notice| notice.back_off(now + back_off));
    }

    /// Counts a send to a target that this box should back off from.
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
