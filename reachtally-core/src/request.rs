//! Rows of the request table.

use std::time::Duration;

use bytes::Bytes;

use crate::chain::Stage;
use crate::ids::{AccountKey, CallKey, TargetKey};
use crate::life::State;
use crate::lineage::Lineage;
use crate::restore::ReplayBuffer;
use crate::step::Input;
use crate::time::Instant;

/// What a caller asks for, as the caller's adapter hands it over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// The account's name.
    pub account: String,
    /// The work itself.
    pub work: Work,
    /// The key that marks a request which may not be repeated.
    pub idempotency_key: Option<String>,
    /// How long the caller waits.
    pub patience: Duration,
}

/// The work a caller asks for.
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
    /// The prompt's text.
    pub prompt: String,
    /// The most tokens to generate.
    pub max_tokens: u32,
}

/// A call to a plain service, passed on as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// The service's name.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query behind the service's base address, without a leading slash.
    pub path: String,
    /// The body's media type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// A service's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The body's media type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// The step that a request waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Awaited {
    /// Index of the stage in the chain.
    pub stage: usize,
    /// First position of the span.
    pub from: u32,
    /// First position whose output is wanted.
    pub outputs_from: u32,
    /// Number of positions, 0 while only the engine knows it.
    pub positions: u32,
    /// Input, until it is sent.
    pub input: Option<Input>,
    /// The call that carries it, once it is sent.
    pub call: Option<CallKey>,
}

/// An engine that follows a stage's KV.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standby {
    /// The engine.
    pub target: TargetKey,
    /// Positions that its KV covers.
    pub covered: u32,
    /// The call that brings it up, while one is outstanding.
    pub call: Option<CallKey>,
}

/// A move of a stage's KV from one engine to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moving {
    /// Index of the stage.
    pub stage: usize,
    /// The engine that takes it.
    pub to: TargetKey,
}

/// A completion under way.
#[derive(Debug)]
pub struct Running {
    /// The stages.
    pub chain: Vec<Stage>,
    /// The model that runs.
    pub model: String,
    /// The adapter it runs with, empty for none.
    pub adapter: String,
    /// Priority of its steps.
    pub priority: u32,
    /// The attempt of the steps now sent.
    pub attempt: u32,
    /// The step waited for; nothing while the request waits for its caller or a replacement.
    pub awaited: Option<Awaited>,
    /// Positions accepted from each stage.
    pub accepted: Vec<u32>,
    /// Inputs kept for each stage; the first stage's are `tokens` and the prompt.
    pub replay_buffers: Vec<ReplayBuffer>,
    /// Positions that the prompt takes, once the first stage told.
    pub prompt_positions: u32,
    /// Tokens generated and accepted.
    pub tokens: Vec<u32>,
    /// Text generated, kept only where the outcome is to be recorded.
    pub text: String,
    /// Tokens handed to the caller's stream and not drained yet.
    pub unconsumed: u32,
    /// What was accepted.
    pub lineage: Lineage,
    /// Whether it waits for an engine to take a lost stage's place.
    pub parked: bool,
    /// The standby of each stage.
    pub standbys: Vec<Option<Standby>>,
    /// Whether its lost stage waits for the answer of its standby.
    pub waits_for_standby: bool,
    /// Calls lost in a row without an accepted step between.
    pub calls_lost: u32,
    /// The move of a stage that is under way; the stage's step is held back meanwhile.
    pub moving: Option<Moving>,
}

impl Running {
    /// The position from which inputs must be sent so that KV up to `covered` is continued. The
    /// first stage's prompt can only be sent whole.
    pub fn restore_start(&self, stage: usize, covered: u32) -> u32 {
        if stage == 0 && covered < self.prompt_positions {
            0
        } else {
            covered
        }
    }

    /// The inputs of a stage for positions `from..end`, if they are kept. For the first stage, `from`
    /// is 0 or behind the prompt.
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

/// How far a request has come.
#[derive(Debug)]
pub enum Progress {
    /// Waiting for its claim, or for dispatch.
    Waiting,
    /// A completion on its chain.
    Running(Box<Running>),
    /// A service call at an instance.
    Calling {
        /// The instance.
        target: TargetKey,
    },
}

/// One request.
#[derive(Debug)]
pub struct Request {
    /// The account.
    pub account: AccountKey,
    /// The work.
    pub work: Work,
    /// The key of a request that may not be repeated.
    pub key: Option<String>,
    /// Whether it may be run again when its fate is unknown.
    pub repeatable: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The life cycle; `None` only while a system moves it on.
    pub state: Option<State>,
    /// How far it has come.
    pub progress: Progress,
    /// Times it was sent again.
    pub retries: u32,
    /// Service instances that have failed it and are not used again for it.
    pub tried: Vec<TargetKey>,
}

impl Request {
    /// The running completion, if it is one.
    pub fn running(&mut self) -> Option<&mut Running> {
        match &mut self.progress {
            Progress::Running(running) => Some(running),
            _ => None,
        }
    }

    /// Whether a target may have seen a byte of it.
    pub fn is_dispatched(&self) -> bool {
        self.state.as_ref().is_some_and(State::is_dispatched)
    }
}
