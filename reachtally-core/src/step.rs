//! What an engine is asked to do for one token position or span, and what it answers.

use bytes::Bytes;

use crate::ids::RequestId;

/// The input of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// For the first stage: the prompt's text, then tokens after it. `text` is empty once the
    /// engine holds the prompt's positions.
    Tokens {
        /// Prompt text, or nothing.
        text: String,
        /// Token ids that follow the text.
        tokens: Vec<u32>,
    },
    /// For a later stage: one activation for each position, all of the same length.
    Activations(Bytes),
}

/// One stage's work for a span of positions of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The request.
    pub request: RequestId,
    /// The attempt of the lineage; an engine refuses a step of a lower attempt than it has seen.
    pub attempt: u32,
    /// Position of the first input.
    pub from: u32,
    /// Number of positions; 0 where only the engine can tell (a prompt's text).
    pub positions: u32,
    /// Positions below this one only rebuild KV; their outputs were accepted before.
    pub restore_to: u32,
    /// The outputs wanted begin at this position.
    pub outputs_from: u32,
    /// The adapter to run with, empty for none.
    pub adapter: String,
    /// Steps of a higher priority run first.
    pub priority: u32,
    /// The input.
    pub input: Input,
}

/// A request whose KV an engine may forget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Release {
    /// The request.
    pub request: RequestId,
    /// Steps of this attempt and lower ones are not to be run any more.
    pub attempt: u32,
}

/// Steps and releases that go to one engine in one call.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Batch {
    /// Steps to run.
    pub steps: Vec<Step>,
    /// Requests to forget.
    pub releases: Vec<Release>,
}

/// The output of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// One activation for each position of the span.
    Activations(Bytes),
    /// The token that follows the span, from the stage with the last layer.
    Token {
        /// Token id.
        id: u32,
        /// Its text.
        text: String,
        /// Whether the model ends its answer here.
        end: bool,
    },
}

/// Why an engine did not run a step. In each case it ran no layer of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepRefusal {
    /// The engine lacks the KV of the positions before.
    KvMissing,
    /// The engine has seen a higher attempt of the request.
    StaleAttempt,
    /// The engine takes no more work.
    Busy,
    /// The step makes no sense to the engine.
    Malformed,
}

/// An engine's answer to one step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepResult {
    /// The request.
    pub request: RequestId,
    /// The attempt of the step answered.
    pub attempt: u32,
    /// The first position whose output is given.
    pub from: u32,
    /// The number of positions whose output is given.
    pub positions: u32,
    /// The output, or why the step did not run.
    pub output: Result<Output, StepRefusal>,
}
