//! Steps, which an engine runs for one position or a span of positions, and their results.

use bytes::Bytes;

use crate::ids::RequestId;

/// The input of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Input of the first stage: the text of the prompt, followed by tokens. `text` is empty once
    /// the engine holds the positions of the prompt.
    Tokens {
        /// The prompt, or empty.
        text: String,
        /// Token ids that follow the text.
        tokens: Vec<u32>,
    },
    /// Input of a later stage: one activation per position, all of the same size.
    Activations(Bytes),
}

/// The work of one stage for a span of positions of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The request.
    pub request: RequestId,
    /// Attempt of the lineage. An engine refuses steps of a lower attempt than it has already seen.
    pub attempt: u32,
    /// Position of the first input.
    pub from: u32,
    /// Number of positions, or 0 if only the engine can determine it (for the text of a prompt).
    pub positions: u32,
    /// Positions below this one only rebuild KV; their outputs have already been accepted.
    pub restore_to: u32,
    /// First position whose output is required.
    pub outputs_from: u32,
    /// The adapter, or empty for none.
    pub adapter: String,
    /// Steps of higher priority run first.
    pub priority: u32,
    /// The input.
    pub input: Input,
}

/// A request whose KV an engine may release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Release {
    /// The request.
    pub request: RequestId,
    /// Steps of this and lower attempts must no longer be run.
    pub attempt: u32,
}

/// The steps and releases sent to one engine in one call.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Batch {
    /// Steps to run.
    pub steps: Vec<Step>,
    /// Requests whose KV may be released.
    pub releases: Vec<Release>,
}

/// The output of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// One activation for each position of the span.
    Activations(Bytes),
    /// The token that follows the span, returned by the stage with the last layer.
    Token {
        /// Token id.
        id: u32,
        /// Text of the token.
        text: String,
        /// Whether the model ends the answer with this token.
        end: bool,
    },
}

/// Reason why an engine did not run a step. In every case it ran no layer of the step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepRefusal {
    /// The engine does not hold the KV of the preceding positions.
    KvMissing,
    /// The engine has already seen a higher attempt of the request.
    StaleAttempt,
    /// The engine is at capacity.
    Busy,
    /// The engine cannot interpret the step.
    Malformed,
}

/// The result of one step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepResult {
    /// The request.
    pub request: RequestId,
    /// Attempt of the step.
    pub attempt: u32,
    /// First position with an output.
    pub from: u32,
    /// Number of positions with an output.
    pub positions: u32,
    /// The output, or the reason why the step did not run.
    pub output: Result<Output, StepRefusal>,
}
