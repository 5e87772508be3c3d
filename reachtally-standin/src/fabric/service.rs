//! A service instance on the virtual clock.

use std::collections::BTreeMap;
use std::time::Duration;

use reachtally_core::event::CallFailure;
use reachtally_core::life::NeverStarted;
use reachtally_core::request::{Answer, ServiceCall};

use super::engine::Behaviour;

/// A service instance that counts what it ran.
#[derive(Debug)]
pub struct FakeService {
    /// Whether a connection comes about.
    pub up: bool,
    /// How often each key ran; calls without one under the empty key.
    pub runs: BTreeMap<String, u32>,
    /// Time of one call.
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
    /// Let its next answers, each in turn, be as given.
    pub fn behave(&mut self, behaviours: &[Behaviour]) {
        self.behaviours = behaviours.iter().rev().copied().collect();
    }

    /// Take a call; yields the time until its answer, if one ever comes, and the answer.
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
