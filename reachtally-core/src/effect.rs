//! Effects: actions the systems request from the daemon.

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

/// The answer of a completed request.
#[derive(Debug, PartialEq, Eq)]
pub enum Completed {
    /// All tokens were delivered.
    Completion(CompletionEnd),
    /// The response of the service.
    Service(Answer),
    /// An outcome recorded by another daemon run or by an earlier request with the same key.
    Recorded(Answer),
}

/// The end of a completion.
#[derive(Debug, PartialEq, Eq)]
pub struct CompletionEnd {
    /// Number of prompt positions.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
    /// Whether the model ended the answer itself.
    pub stopped: bool,
    /// The engines from which results were accepted.
    pub lineage: Lineage,
    /// The attempt with which the request completed.
    pub attempts: u32,
}

/// The final outcome of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Finish {
    /// The complete answer was delivered.
    Completed(Completed),
    /// The request did not run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(Unknown),
    /// The caller disconnected.
    Abandoned,
}

/// A state change that is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A target was marked as suspect after a failed call.
    TargetSuspect(String),
    /// A suspected target responded again.
    TargetUp(String),
    /// A stage of a running request moved to another engine.
    StageMoved {
        /// The request.
        request: RequestKey,
        /// The previous engine.
        from: String,
        /// The new engine.
        to: String,
        /// How the KV is restored.
        way: crate::restore::RestoreMethod,
        /// The position at which the request continues.
        position: u32,
    },
    /// A configuration operation was folded.
    Config {
        /// Offset of the record.
        offset: u64,
        /// Id of the operation.
        operation: String,
        /// The operator who published the operation.
        actor: String,
        /// The result of folding the operation.
        verdict: crate::fold::Verdict,
    },
    /// Configuration records are missing.
    ConfigGap(crate::fold::FoldError),
}

/// An action for the daemon to perform.
#[derive(Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send steps to an engine.
    Steps {
        /// Identifies the call in the resulting event.
        call: CallKey,
        /// The engine.
        target: TargetKey,
        /// The steps and releases to send.
        batch: Batch,
    },
    /// Export a request's KV from one engine and import it into another.
    MoveKv {
        /// The request.
        request: RequestKey,
        /// The request id used with engines.
        id: RequestId,
        /// The engine that holds the KV.
        from: TargetKey,
        /// The engine that receives the KV.
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
        /// The idempotency key to forward.
        key: Option<String>,
    },
    /// Probe a suspected target.
    Probe {
        /// The target.
        target: TargetKey,
    },
    /// Deliver a token to the caller.
    Deliver {
        /// The request.
        request: RequestKey,
        /// Index of the token in the answer, starting at 0 and without gaps.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// Send the caller the final answer.
    Finish {
        /// The request.
        request: RequestKey,
        /// The outcome.
        finish: Finish,
    },
    /// Append a record to the claim stream.
    Append {
        /// Sequence number of the record within this daemon run.
        seq: u64,
        /// The record.
        record: ClaimRecord,
    },
    /// Send a gossip digest to another daemon.
    Gossip {
        /// Address of the other daemon.
        to: String,
        /// The digest, starting with the state of this daemon.
        members: Vec<MemberState>,
    },
    /// Send configuration records to another daemon.
    PushConfig {
        /// Address of the other daemon.
        to: String,
        /// The records.
        records: Vec<Read<Operation>>,
    },
    /// Request the configuration records from `next` on from another daemon.
    PullConfig {
        /// Address of the other daemon.
        from: String,
        /// The first missing offset.
        next: u64,
    },
    /// Query the log, falling back to a peer, for configuration records, then report completion
    /// with `nonce`.
    Revalidate {
        /// Identifies the query.
        nonce: u64,
        /// The first missing offset.
        next: u64,
        /// Peers to query if the log does not respond.
        peers: Vec<String>,
    },
    /// Append a record to the failure domain stream.
    AppendDomain(DomainRecord),
    /// Append a snapshot of the configuration.
    WriteSnapshot(Box<Config>),
    /// Request a report of a target's state.
    RequestReport {
        /// The target.
        target: TargetKey,
    },
    /// Send an order to a target.
    Order {
        /// The target.
        target: TargetKey,
        /// Fence of the lease under which the order is given.
        fence: u64,
        /// The order.
        order: Order,
    },
    /// Log a state change.
    Changed(Change),
}

/// The effects of one event or tick, in order of creation.
#[derive(Debug, Default)]
pub struct Effects {
    list: Vec<Effect>,
}

impl Effects {
    /// Add an effect.
    pub fn push(&mut self, effect: Effect) {
        self.list.push(effect);
    }

    /// Drain all effects in order.
    pub fn drain(&mut self) -> std::vec::Drain<'_, Effect> {
        self.list.drain(..)
    }

    /// The effects collected so far.
    pub fn list(&self) -> &[Effect] {
        &self.list
    }
}
