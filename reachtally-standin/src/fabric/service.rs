//! A simulated service instance on the virtual clock.

use std::collections::BTreeMap;
use std::time::Duration;

use reachtally_core::event::CallFailure;
use reachtally_core::life::NeverStarted;
use reachtally_core::request::{Answer, ServiceCall};

use super::engine::Behaviour;

/// A service instance that counts its calls.
#[derive(Debug)]
pub struct FakeService {
    /// Whether connections succeed.
    pub up: bool,
    /// Calls run per idempotency key; calls without a key count under the empty key.
    pub runs: BTreeMap<String, u32>,
    /// Duration of one call.
    pub time: Duration,
    behaviours: Vec<Behaviour>,
}

impl Default for FakeService {
    fn default() -> Self {
        FakeService {
            up: true,
            runs: BTreeMap::new(),
            time: Duration::from_millis(2),
            behaviours: Vec::new(),
        }
    }
}

impl FakeService {
    /// Applies one behaviour to each of the next calls, in order.
    pub fn set_behaviours(&mut self, behaviours: &[Behaviour]) {
        self.behaviours = behaviours.iter().rev().copied().collect();
    }

    /// Runs a call. Returns the response and its delay, which is `None` if it is never sent.
    pub(super) fn call(
        &mut self,
        key: Option<&str>,
        call: &ServiceCall,
    ) -> (Option<Duration>, Result<Answer, CallFailure>) {
        if !self.up {
            let failure = CallFailure::NeverStarted(NeverStarted::ConnectFailed);
            return (Some(Duration::ZERO), Err(failure));
        }
        let behaviour = self.behaviours.pop();
        if behaviour == Some(Behaviour::Refuse) {
            let failure = CallFailure::NeverStarted(NeverStarted::TargetSaidSo);
            return (Some(Duration::ZERO), Err(failure));
        }
        *self
            .runs
            .entry(key.unwrap_or_default().to_owned())
            .or_default() += 1;
        let answer = Ok(Answer {
            status: 200,
            content_type: Some("text/plain".to_owned()),
            body: format!("done {}", call.path).into(),
        });
        match behaviour {
            Some(Behaviour::Lose) => (Some(self.time), Err(CallFailure::Lost)),
            Some(Behaviour::Silent) => (None, answer),
            Some(Behaviour::Late(time)) => (Some(self.time + time), answer),
            Some(Behaviour::Double | Behaviour::Refuse) | None => (Some(self.time), answer),
        }
    }
}
