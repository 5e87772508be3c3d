//! A simulated engine on the virtual clock.

use std::time::Duration;

use reachtally_core::Event;
use reachtally_core::event::CallFailure;
use reachtally_core::ids::CallKey;
use reachtally_core::step::Batch;

use crate::engine::{Options, State, positions};

/// An injected fault that applies to one call of an engine or a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// The steps run, but the call fails.
    Lose,
    /// The steps run, but no response is ever sent.
    Silent,
    /// The response contains the results twice.
    Double,
    /// The response is delayed by this duration.
    Late(Duration),
    /// The call is rejected as not run.
    Refuse,
}

/// A response to a daemon, sent after `delay`.
pub(super) struct EngineAnswer {
    pub daemon: usize,
    pub delay: Duration,
    pub event: Event,
}

#[derive(Debug)]
struct Job {
    daemon: usize,
    call: CallKey,
    batch: Batch,
}

/// An engine with continuous batching.
#[derive(Debug)]
pub struct FakeEngine {
    /// KV, ledger and orders of the engine.
    pub state: State,
    /// Whether the engine has crashed: connections fail, and running calls are lost.
    pub dead: bool,
    /// Factor applied to the duration of every iteration.
    pub slow: f64,
    options: Options,
    behaviours: Vec<Behaviour>,
    waiting: Vec<Job>,
    running: Vec<Job>,
}

impl FakeEngine {
    /// Creates an engine without KV.
    pub fn new(options: Options) -> Self {
        FakeEngine {
            state: State::new(options),
            dead: false,
            slow: 1.0,
            options,
            behaviours: Vec::new(),
            waiting: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Applies one behaviour to each of the next calls, in order.
    pub fn set_behaviours(&mut self, behaviours: &[Behaviour]) {
        self.behaviours = behaviours.iter().rev().copied().collect();
    }

    /// Restarts a crashed engine without KV.
    pub fn restart_empty(&mut self) {
        *self = FakeEngine::new(self.options);
    }

    pub(super) fn is_reachable(&self) -> bool {
        !self.dead
    }

    pub(super) fn consume_refusal(&mut self) -> bool {
        let is_refused = self.behaviours.last() == Some(&Behaviour::Refuse);
        if is_refused {
            self.behaviours.pop();
        }
        is_refused
    }

    /// Queues a call. If the engine was idle, starts an iteration and returns its duration.
    pub(super) fn enqueue(
        &mut self,
        daemon: usize,
        call: CallKey,
        batch: Batch,
    ) -> Option<Duration> {
        self.waiting.push(Job {
            daemon,
            call,
            batch,
        });
        self.running.is_empty().then(|| self.start_iteration())
    }

    fn start_iteration(&mut self) -> Duration {
        self.running = std::mem::take(&mut self.waiting);
        let steps = self.running.iter().flat_map(|job| &job.batch.steps);
        let positions = steps.map(positions).sum();
        let layers = self.options.layers.count();
        let time = self.options.step_time.of(positions, layers);
        time.mul_f64(self.slow)
    }

    /// Ends an iteration. Returns its responses and, if calls wait, the next iteration's duration.
    pub(super) fn end_iteration(&mut self) -> (Vec<EngineAnswer>, Option<Duration>) {
        let mut answers = Vec::new();
        for job in std::mem::take(&mut self.running) {
            if self.dead {
                answers.push(lost_call(&job, Duration::ZERO));
                continue;
            }
            let (daemon, call) = (job.daemon, job.call);
            let behaviour = self.consume_behaviour(&job.batch);
            let failed = lost_call(&job, Duration::ZERO);
            let mut results = self.state.run(job.batch);
            let mut delay = Duration::ZERO;
            match behaviour {
                Some(Behaviour::Silent) => continue,
                Some(Behaviour::Lose) => {
                    answers.push(failed);
                    continue;
                }
                Some(Behaviour::Double) => results.extend(results.clone()),
                Some(Behaviour::Late(time)) => delay = time,
                Some(Behaviour::Refuse) | None => {}
            }
            answers.push(EngineAnswer {
                daemon,
                delay,
                event: Event::StepsDone { call, results },
            });
        }
        let next = (!self.waiting.is_empty()).then(|| self.start_iteration());
        (answers, next)
    }

    /// Removes the behaviour for a call with steps; calls that only release KV consume none.
    fn consume_behaviour(&mut self, batch: &Batch) -> Option<Behaviour> {
        if batch.steps.is_empty() {
            return None;
        }
        self.behaviours.pop()
    }
}

fn lost_call(job: &Job, delay: Duration) -> EngineAnswer {
    let (call, failure) = (job.call, CallFailure::Lost);
    EngineAnswer {
        daemon: job.daemon,
        delay,
        event: Event::StepsFailed { call, failure },
    }
}
