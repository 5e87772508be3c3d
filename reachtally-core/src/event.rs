//! What happened, as the daemon reports it to the core.

use crate::claim::ClaimRecord;
use crate::fold::Operation;
use crate::ids::{CallKey, RequestKey, TargetKey};
use crate::lease::DomainRecord;
use crate::life::NeverStarted;
use crate::member::MemberState;
use crate::request::Answer;
use crate::step::StepResult;
use crate::systems::gossip::PeerConfig;
use crate::systems::steward::Reported;

/// How a call to a target failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// Proven: nothing of it ran.
    NeverStarted(NeverStarted),
    /// The answer was lost or damaged after a byte may have left.
    Lost,
}

/// One record read from a stream of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read<T> {
    /// Its offset.
    pub offset: u64,
    /// When the log took it, in milliseconds of the log's own clock.
    pub at_ms: u64,
    /// Its content.
    pub record: T,
}

/// The live list's word on one box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BoxSeen {
    /// The box.
    pub name: String,
    /// Whether it is leaving.
    pub leaving: bool,
    /// For an entry box, where other daemons reach it.
    pub peer: Option<Peer>,
}

/// An entry box on the live list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its failure domain.
    pub domain: String,
    /// Where other daemons reach it.
    pub address: String,
}

/// One thing that happened.
#[derive(Debug)]
pub enum Event {
    /// A caller's stream took tokens up to this number in all.
    Drained {
        /// The request.
        request: RequestKey,
        /// Tokens taken since the last such event.
        tokens: u32,
    },
    /// A caller hung up.
    HungUp(RequestKey),
    /// An engine answered a call.
    StepsDone {
        /// The call.
        call: CallKey,
        /// Results, in any order; steps without one count as lost.
        results: Vec<StepResult>,
    },
    /// A call to an engine failed.
    StepsFailed {
        /// The call.
        call: CallKey,
        /// How.
        failure: CallFailure,
    },
    /// A move of KV ended.
    KvMoved {
        /// The request.
        request: RequestKey,
        /// The engine that was to take it.
        to: TargetKey,
        /// The positions that its KV covers there; nothing if it was not moved.
        positions: Option<u32>,
    },
    /// A service answered, or the call failed.
    Called {
        /// The request.
        request: RequestKey,
        /// The instance called.
        target: TargetKey,
        /// The answer or failure.
        result: Result<Answer, CallFailure>,
    },
    /// A probe ended.
    Probed {
        /// The target.
        target: TargetKey,
        /// Whether it answered.
        up: bool,
    },
    /// The log answered an append.
    Appended {
        /// Number of the record within this daemon run.
        seq: u64,
        /// Whether the log confirmed it; if not, it may still have taken effect.
        confirmed: bool,
    },
    /// Claim records were read, in order.
    ClaimsRead(Vec<Read<ClaimRecord>>),
    /// Records of the claim stream were lost before they were read.
    ClaimsGap,
    /// The log has come back from an older copy: claims may be gone that another daemon has acted on.
    ClaimsReturned,
    /// Every claim of the claim window is known.
    ClaimsCaughtUp,
    /// Configuration records were read, in order.
    ConfigRead(Vec<Read<Operation>>),
    /// Records of the failure domains were read, in order.
    DomainsRead(Vec<Read<DomainRecord>>),
    /// The log answered an append to the stream of failure domains, or did not.
    DomainAppended,
    /// Another daemon sent a digest.
    Digest(Vec<MemberState>),
    /// Another daemon, or a snapshot in the log, gave configuration records or a whole one.
    PeerConfig(PeerConfig),
    /// The log or a peer, asked after a pause under this number, answered; what it gave was taken.
    Revalidated(u64),
    /// A target reported itself to the steward.
    Reported {
        /// The target.
        target: TargetKey,
        /// What it reported.
        report: Reported,
    },
    /// The live list was read.
    ListRead(Vec<BoxSeen>),
    /// Admit nothing any more.
    Stop,
}
