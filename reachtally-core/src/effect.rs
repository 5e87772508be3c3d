//! What the daemon is to do, as the systems decided it.

use crate::claim::ClaimRecord;
use crate::event::Read;
use crate::fold::{Config, Operation};
use crate::ids::{CallKey, RequestId, RequestKey, TargetKey};
use crate::lease::DomainRecord;
use crate::life::{NotRun, Unknown};
use crate::lineage::Lineage;
use crate::member::MemberState;
use crate::request::{Answer, ServiceCall};
use crate::step::Batch;
use crate::systems::steward::Order;

/// How a completed request ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Completed {
    /// All tokens were delivered.
    Completion(CompletionEnd),
    /// The service's answer.
    Service(Answer),
    /// The outcome another daemon run, or an earlier request with the same key, recorded.
    Recorded(Answer),
}

/// The end of a completion.
#[derive(Debug, PartialEq, Eq)]
pub struct CompletionEnd {
    /// Positions of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Whether the model ended its answer itself.
    pub stopped: bool,
    /// What was accepted from which engine.
    pub lineage: Lineage,
    /// The attempt it ended with.
    pub attempts: u32,
}

/// The end of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Finish {
    /// The caller has the whole answer.
    Completed(Completed),
    /// Nothing of it ran.
    NotRun(NotRun),
    /// It may have run.
    Unknown(Unknown),
    /// The caller hung up.
    Abandoned,
}

/// A change of state worth a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A target is suspected after a failed call.
    TargetSuspect(String),
    /// A suspected target answers again.
    TargetUp(String),
    /// A stage of a running request moved.
    StageShifted {
        /// The request's row.
        request: RequestKey,
        /// The engine left.
        from: String,
        /// The engine taken.
        to: String,
        /// How the KV is restored.
        way: crate::restore::RestoreMethod,
        /// The position at which it goes on.
        position: u32,
    },
    /// The configuration moved on.
    Config {
        /// The offset folded.
        offset: u64,
        /// The operation.
        operation: String,
        /// Who published it.
        actor: String,
        /// The verdict.
        verdict: crate::fold::Verdict,
    },
    /// Configuration records were lost.
    ConfigGap(crate::fold::FoldError),
}

/// One thing for the daemon to do.
#[derive(Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send steps to an engine.
    Steps {
        /// Names the call in the answering event.
        call: CallKey,
        /// The engine.
        target: TargetKey,
        /// What to send.
        batch: Batch,
    },
    /// Export a request's KV from one engine and import it into another.
    MoveKv {
        /// The request.
        request: RequestKey,
        /// Its identity towards engines.
        id: RequestId,
        /// The engine that holds the KV.
        from: TargetKey,
        /// The engine that takes it.
        to: TargetKey,
    },
    /// Send a call to a service instance.
    Call {
        /// The request.
        request: RequestKey,
        /// The instance.
        target: TargetKey,
        /// The call.
        call: ServiceCall,
        /// The idempotency key to pass on.
        key: Option<String>,
    },
    /// Ask a suspected target whether it answers.
    Probe {
        /// The target.
        target: TargetKey,
    },
    /// Hand a token to the caller.
    Deliver {
        /// The request.
        request: RequestKey,
        /// Index of the token in the answer, from 0, without gaps.
        index: u32,
        /// Its text.
        text: String,
    },
    /// Give the caller the final answer.
    Finish {
        /// The request.
        request: RequestKey,
        /// How it ended.
        finish: Finish,
    },
    /// Append a record to the claim stream.
    Append {
        /// Number of the record within this daemon run.
        seq: u64,
        /// The record.
        record: ClaimRecord,
    },
    /// Send a digest to another daemon.
    Gossip {
        /// Its address.
        to: String,
        /// The digest; this daemon's own state comes first.
        members: Vec<MemberState>,
    },
    /// Send configuration records to another daemon.
    PushConfig {
        /// Its address.
        to: String,
        /// The records.
        records: Vec<Read<Operation>>,
    },
    /// Ask another daemon for the configuration records from `next` on.
    PullConfig {
        /// Its address.
        from: String,
        /// The first offset lacking.
        next: u64,
    },
    /// Ask the log, or else a peer, for configuration records; then report under `nonce`.
    Revalidate {
        /// Names the question.
        nonce: u64,
        /// The first offset lacking.
        next: u64,
        /// Peers to ask if the log does not answer.
        peers: Vec<String>,
    },
    /// Append to the stream of failure domains.
    AppendDomain(DomainRecord),
    /// Append a snapshot of the configuration.
    WriteSnapshot(Box<Config>),
    /// Ask a target what it holds.
    AskReport {
        /// The target.
        target: TargetKey,
    },
    /// Give a target an order.
    Order {
        /// The target.
        target: TargetKey,
        /// The fence.
        fence: u64,
        /// The order.
        order: Order,
    },
    /// Log a change of state.
    Changed(Change),
}

/// The effects of one event or tick, in order.
#[derive(Debug, Default)]
pub struct Effects {
    list: Vec<Effect>,
}

impl Effects {
    /// Add an effect.
    pub fn push(&mut self, effect: Effect) {
        self.list.push(effect);
    }

    /// Take all effects in order.
    pub fn drain(&mut self) -> std::vec::Drain<'_, Effect> {
        self.list.drain(..)
    }

    /// The effects so far.
    pub fn list(&self) -> &[Effect] {
        &self.list
    }
}
