//! Events: what the daemon reports to the core.

use crate::claim::ClaimRecord;
use crate::fold::Operation;
use crate::ids::{CallKey, RequestKey, TargetKey};
use crate::lease::DomainRecord;
use crate::life::NeverStarted;
use crate::member::MemberState;
use crate::request::Answer;
use crate::step::StepResult;
use crate::systems::gossip::PeerConfig;
use crate::systems::steward::TargetReport;

/// The way a call to a target failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The call provably did not run.
    NeverStarted(NeverStarted),
    /// The answer was lost or corrupted after at least one byte may have been sent.
    Lost,
}

/// One record read from a stream of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read<T> {
    /// Its offset.
    pub offset: u64,
    /// When it was appended, in milliseconds of the log's clock.
    pub at_ms: u64,
    /// The content.
    pub record: T,
}

/// The state of one box in the live list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BoxStatus {
    /// Name of the box.
    pub name: String,
    /// Whether the box is leaving.
    pub leaving: bool,
    /// For an entry box, the address of its daemon.
    pub peer: Option<Peer>,
}

/// An entry box in the live list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The failure domain.
    pub domain: String,
    /// The address at which other daemons reach it.
    pub address: String,
}

/// An event.
#[derive(Debug)]
pub enum Event {
    /// A caller consumed tokens of its stream.
    Consumed {
        /// The request.
        request: RequestKey,
        /// Number of tokens consumed since the previous such event.
        tokens: u32,
    },
    /// A caller disconnected.
    Disconnected(RequestKey),
    /// An engine responded to a call.
    StepsDone {
        /// The call.
        call: CallKey,
        /// Results in any order; a step without a result counts as lost.
        results: Vec<StepResult>,
    },
    /// A call to an engine failed.
    StepsFailed {
        /// The call.
        call: CallKey,
        /// The failure.
        failure: CallFailure,
    },
    /// A move of KV between engines ended.
    KvMoved {
        /// The request.
        request: RequestKey,
        /// The destination engine.
        to: TargetKey,
        /// Number of positions that the KV there covers, or `None` if the move failed.
        positions: Option<u32>,
    },
    /// A call to a service completed or failed.
    ServiceCallDone {
        /// The request.
        request: RequestKey,
        /// The instance called.
        target: TargetKey,
        /// The answer or the failure.
        result: Result<Answer, CallFailure>,
    },
    /// A probe completed.
    Probed {
        /// The target.
        target: TargetKey,
        /// Whether the target responded.
        up: bool,
    },
    /// The log responded to an append, or the response was lost.
    Appended {
        /// Sequence number of the record within this daemon run.
        seq: u64,
        /// Whether the log confirmed the append. An unconfirmed append may still have taken effect.
        confirmed: bool,
    },
    /// Claim records were read, in order.
    ClaimsRead(Vec<Read<ClaimRecord>>),
    /// Records of the claim stream were lost before they were read.
    ClaimsGap,
    /// The log was restored from an older copy, so claims that another daemon has already acted on
    /// may be missing.
    ClaimLogRestored,
    /// Every claim of the claim window has been read.
    ClaimsCaughtUp,
    /// Configuration records were read, in order.
    ConfigRead(Vec<Read<Operation>>),
    /// Failure domain records were read, in order.
    DomainsRead(Vec<Read<DomainRecord>>),
    /// An append to the failure domain stream completed, whether confirmed or not.
    DomainAppended,
    /// A digest from another daemon arrived.
    Digest(Vec<MemberState>),
    /// Another daemon, or a snapshot in the log, provided configuration records or a complete
    /// configuration.
    PeerConfig(PeerConfig),
    /// The revalidation query with this nonce completed, and its result has been applied.
    Revalidated(u64),
    /// A target reported its state to the steward.
    TargetReport {
        /// The target.
        target: TargetKey,
        /// The reported state.
        report: TargetReport,
    },
    /// The live list was read.
    LiveListRead(Vec<BoxStatus>),
    /// Stop admitting requests.
    Stop,
}
