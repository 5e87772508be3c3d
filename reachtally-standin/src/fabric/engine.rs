//! An engine on the virtual clock.

use std::time::Duration;

use reachtally_core::Event;
use reachtally_core::event::CallFailure;
use reachtally_core::ids::CallKey;
use reachtally_core::step::Batch;

use crate::engine::{Options, State, positions};

/// What becomes of the next answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// The steps run, and the call fails.
    Lose,
    /// The steps run, and nothing is ever answered.
    Silent,
    /// The results come twice in one answer.
    Double,
    /// The answer comes so much later.
    Late(Duration),
    /// The call is refused as not run.
    Refuse,
}

/// An answer on its way to a daemon.
pub(super) struct EngineAnswer {
    pub daemon: usize,
    pub after: Duration,
    pub event: Event,
}

#[derive(Debug)]
struct Job {
    daemon: usize,
    call: CallKey,
    batch: Batch,
}

/// An engine that batches continuously.
#[derive(Debug)]
pub struct FakeEngine {
    /// What it holds and ran.
    pub state: State,
    /// Whether it is gone: no connection comes about, and what runs is lost.
    pub dead: bool,
    /// Factor on every iteration's time.
    pub slow: f64,
    options: Options,
    behaviours: Vec<Behaviour>,
    waiting: Vec<Job>,
    running: Vec<Job>,
}

impl FakeEngine {
    /// An engine that holds nothing yet.
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

    /// Let its next answers, each in turn, be as given.
    pub fn behave(&mut self, behaviours: &[Behaviour]) {
        self.behaviours = behaviours.iter().rev().copied().collect();
    }

    /// Come back after a death, with nothing held.
    pub fn revive(&mut self) {
        *self = FakeEngine::new(self.options);
    }

    pub(super) fn answers(&self) -> bool {
        !self.dead
    }

    pub(super) fn take_refusal(&mut self) -> bool {
        let refuses = self.behaviours.last() == Some(&Behaviour::Refuse);
        if refuses {
            self.behaviours.pop();
        }
        refuses
    }

    /// Take a call; yields the time of the iteration that this starts, if the engine was idle.
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

    /// End an iteration; yields its answers and the time of the next one.
    pub(super) fn end_iteration(&mut self) -> (Vec<EngineAnswer>, Option<Duration>) {
        let mut answers = Vec::new();
        for job in std::mem::take(&mut self.running) {
            if self.dead {
                answers.push(lost(&job, Duration::ZERO));
                continue;
            }
            let (daemon, call) = (job.daemon, job.call);
            let behaviour = self.take_behaviour(&job.batch);
            let failed = lost(&job, Duration::ZERO);
            let mut results = self.state.run(job.batch);
            let mut after = Duration::ZERO;
            match behaviour {
                Some(Behaviour::Silent) => continue,
                Some(Behaviour::Lose) => {
                    answers.push(failed);
                    continue;
                }
                Some(Behaviour::Double) => results.extend(results.clone()),
                Some(Behaviour::Late(time)) => after = time,
                Some(Behaviour::Refuse) | None => {}
            }
            answers.push(EngineAnswer {
                daemon,
                after,
                event: Event::StepsDone { call, results },
            });
        }
        let next = (!self.waiting.is_empty()).then(|| self.start_iteration());
        (answers, next)
    }

    /// The behaviour of an answer to steps; calls that only release keep theirs.
    fn take_behaviour(&mut self, batch: &Batch) -> Option<Behaviour> {
        if batch.steps.is_empty() {
            return None;
        }
        self.behaviours.pop()
    }
}

fn lost(job: &Job, after: Duration) -> EngineAnswer {
    let (call, failure) = (job.call, CallFailure::Lost);
    EngineAnswer {
        daemon: job.daemon,
        after,
        event: Event::StepsFailed { call, failure },
    }
}
