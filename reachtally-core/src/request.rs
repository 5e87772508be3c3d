//! The request table.

use std::time::Duration;

use bytes::Bytes;

use crate::chain::Stage;
use crate::ids::{AccountKey, CallKey, TargetKey};
use crate::life::State;
use crate::lineage::Lineage;
use crate::restore::ReplayBuffer;
use crate::step::Input;
use crate::time::Instant;

/// A request as submitted by the adapter that received it from the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewRequest {
    /// Name of the account.
    pub account: String,
    /// The requested work.
    pub work: Work,
    /// The idempotency key, if any. It marks a completion, or a call to a service that does not
    /// deduplicate, as non-repeatable.
    pub idempotency_key: Option<String>,
    /// How long the caller is willing to wait.
    pub request_timeout: Duration,
}

/// The work of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// A completion by a model.
    Completion(Completion),
    /// A call to a plain service.
    Service(ServiceCall),
}

/// A completion by a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The name of a model or adapter.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// A call to a plain service, forwarded unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query relative to the service's base address, without a leading slash.
    pub path: String,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// The response of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// The step a request awaits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Awaited {
    /// Index of the stage in the chain.
    pub stage: usize,
    /// First position of the span.
    pub from: u32,
    /// First position whose output is required.
    pub outputs_from: u32,
    /// Number of positions, or 0 if only the engine can determine it.
    pub positions: u32,
    /// The input, until the step is sent.
    pub input: Option<Input>,
    /// The call that carries the step, once it is sent.
    pub call: Option<CallKey>,
}

/// An engine that replicates the KV of a stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standby {
    /// The engine.
    pub target: TargetKey,
    /// Number of positions its KV covers.
    pub covered: u32,
    /// The outstanding call that updates it, if any.
    pub call: Option<CallKey>,
}

/// A move of the KV of a stage to another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moving {
    /// Index of the stage.
    pub stage: usize,
    /// The destination engine.
    pub to: TargetKey,
}

/// A running completion.
#[derive(Debug)]
pub struct Running {
    /// The stages of its chain.
    pub chain: Vec<Stage>,
    /// The model.
    pub model: String,
    /// The adapter, or empty for none.
    pub adapter: String,
    /// Priority of its steps.
    pub priority: u32,
    /// The current attempt, carried by every step sent.
    pub attempt: u32,
    /// The awaited step, or `None` while the request waits for its caller to consume tokens.
    pub awaited: Option<Awaited>,
    /// Number of positions accepted from each stage.
    pub accepted: Vec<u32>,
    /// The replay buffer of each stage. The inputs of the first stage are rebuilt from the prompt
    /// and `tokens` instead.
    pub replay_buffers: Vec<ReplayBuffer>,
    /// Number of positions of the prompt, or 0 until the first stage has reported it.
    pub prompt_positions: u32,
    /// The tokens generated and accepted so far.
    pub tokens: Vec<u32>,
    /// The generated text, stored only if the outcome is to be recorded.
    pub text: String,
    /// Number of tokens delivered to the caller's stream but not yet consumed.
    pub unconsumed: u32,
    /// The results accepted so far.
    pub lineage: Lineage,
    /// Whether the request waits for an engine to replace a lost stage.
    pub parked: bool,
    /// The standby of each stage.
    pub standbys: Vec<Option<Standby>>,
    /// Whether a lost stage waits for the response of its standby.
    pub waits_for_standby: bool,
    /// Number of calls lost in a row since the last accepted step.
    pub calls_lost: u32,
    /// The move in progress, if any, during which the stage's step is held back.
    pub moving: Option<Moving>,
}

impl Running {
    /// Return the position from which inputs must be sent to extend KV that covers `covered`
    /// positions. The prompt of the first stage can only be sent as a whole.
    pub fn restore_start(&self, stage: usize, covered: u32) -> u32 {
        if stage == 0 && covered < self.prompt_positions {
            0
        } else {
            covered
        }
    }

    /// Return the inputs of a stage for the positions `from..end`, if they are available. For the
    /// first stage, `from` must be 0 or lie after the prompt.
    pub fn stage_input(&self, stage: usize, from: u32, end: u32, prompt: &str) -> Option<Input> {
        if stage > 0 {
            let bytes = self.replay_buffers[stage].span(from, end)?;
            return Some(Input::Activations(Bytes::copy_from_slice(bytes)));
        }
        let text = if from == 0 { prompt } else { "" };
        let first = from.saturating_sub(self.prompt_positions) as usize;
        let last = end.saturating_sub(self.prompt_positions) as usize;
        Some(Input::Tokens {
            text: text.to_owned(),
            tokens: self.tokens.get(first..last)?.to_vec(),
        })
    }
}

/// The progress of a request.
#[derive(Debug)]
pub enum Progress {
    /// Waiting for its claim or for dispatch.
    Waiting,
    /// A completion running on its chain.
    Running(Box<Running>),
    /// A call running at a service instance.
    Calling {
        /// The instance.
        target: TargetKey,
    },
}

/// A row of the request table.
#[derive(Debug)]
pub struct Request {
    /// The account.
    pub account: AccountKey,
    /// The work.
    pub work: Work,
    /// The idempotency key, if any.
    pub key: Option<String>,
    /// Whether the request may be run again when its outcome is unknown.
    pub repeatable: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The life cycle state; `None` only during a transition.
    pub state: Option<State>,
    /// The progress.
    pub progress: Progress,
    /// Number of retries.
    pub retries: u32,
    /// Service instances that failed the request, which are excluded from retries.
    pub failed_instances: Vec<TargetKey>,
}

impl Request {
    /// Return the running completion, if the request is one.
    pub fn running(&mut self) -> Option<&mut Running> {
        match &mut self.progress {
            Progress::Running(running) => Some(running),
            _ => None,
        }
    }

    /// Whether a target may have received at least one byte of the request.
    pub fn is_dispatched(&self) -> bool {
        self.state.as_ref().is_some_and(State::is_dispatched)
    }
}
