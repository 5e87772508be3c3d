//! Traits of the platform's store and of orders to engines, with typed results.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use reachtally_core::forward::era::Era;
use reachtally_core::forward::fingerprint::Fingerprint;
use reachtally_core::forward::fleet::{Engine, Entry};
use reachtally_core::forward::path::Path;
use reachtally_core::forward::peers::Member;
use reachtally_core::forward::placement::Move;
use reachtally_core::forward::quarantine;
use reachtally_core::forward::stewardship::OrderPermit;

use crate::wire::Statement;

/// Error of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The requested records are no longer retained.
    Gone,
    /// The store refused the call: it is busy, over its rate limit, or rejects this box.
    Refused(u16),
    /// The connection to the store failed.
    Unreachable,
    /// The response broke off. The call may have taken effect.
    Lost,
    /// No complete response arrived in time. The call may have taken effect.
    TimedOut {
        /// Time that the call was given.
        after: Duration,
        /// How far the call had come.
        phase: CallPhase,
    },
    /// The response could not be decoded.
    Malformed(String),
    /// The response arrived late and belongs to an earlier era of the store.
    Outdated,
    /// The store was restored from a backup; the requested offset belongs to an earlier era.
    EraChanged,
}

impl StoreError {
    /// Returns whether to read the newest records next, since reading cannot continue from the last position.
    pub fn needs_newest(&self) -> bool {
        matches!(self, StoreError::Gone | StoreError::Malformed(_))
    }
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Gone => f.write_str("the requested records are no longer retained"),
            StoreError::Refused(status) => write!(f, "refused with status {status}"),
            StoreError::Unreachable => f.write_str("failed to connect to the store"),
            StoreError::Lost => f.write_str("the response broke off"),
            StoreError::TimedOut { after, phase } => {
                write!(f, "no complete response within {after:?}, {phase}")
            }
            StoreError::Malformed(why) => write!(f, "malformed response: {why}"),
            StoreError::Outdated => f.write_str("late response of an earlier era"),
            StoreError::EraChanged => f.write_str("the store was restored from a backup"),
        }
    }
}

/// How far a call to the store has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPhase {
    /// The connection is being opened.
    Connecting,
    /// The request was sent; no byte of the response has arrived.
    AwaitingResponse,
    /// The head of the response and `bytes` of its body have arrived.
    ReadingBody {
        /// Bytes of the body that have arrived.
        bytes: usize,
    },
}

impl std::fmt::Display for CallPhase {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallPhase::Connecting => f.write_str("not connected"),
            CallPhase::AwaitingResponse => f.write_str("nothing received"),
            CallPhase::ReadingBody { bytes } => write!(f, "{bytes} bytes received"),
        }
    }
}

/// Number of a record. It has no order, since offsets of different eras cannot be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Offset(pub u64);

/// Result of a read.
#[derive(Debug, Clone)]
pub struct Feed<T> {
    /// Records, oldest first.
    pub items: Vec<T>,
    /// Offset at which to continue reading.
    pub next: Offset,
    /// Whether the read reached the end of the log, so that it shows the newest state as of its start.
    pub is_complete: bool,
    /// Era named in the response.
    pub era: Option<Era>,
}

/// A change to the list of targets.
#[derive(Debug, Clone)]
pub enum TargetChange {
    /// A target wrote its entry.
    Updated(Entry),
    /// A target's entry was removed.
    Gone(Arc<str>),
    /// A target's entry was overwritten by another writer and does not decode.
    Malformed(MalformedEntry),
}

/// An entry that does not decode.
#[derive(Debug, Clone)]
pub struct MalformedEntry {
    /// Id of the target.
    pub id: Arc<str>,
    /// Description of the problem.
    pub why: String,
}

/// Change to the evidence on suspect requests that is kept in the store.
#[derive(Debug, Clone, PartialEq)]
pub enum SuspectChange {
    /// Store this evidence until it expires.
    Keep(quarantine::SuspectReport),
    /// Remove the evidence on this request, which has expired.
    Drop(Fingerprint),
}

/// Membership of this box in the group of boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Membership {
    /// Increases with each change of the group within an era.
    pub generation: u64,
    /// Era named in the response.
    pub era: Option<Era>,
    /// Whether this box holds the steward role.
    pub is_steward: bool,
}

/// Store of the platform.
pub trait Store {
    /// Reads the newest configuration as published, if there is one.
    fn config(&self) -> impl Future<Output = Result<Feed<Bytes>, StoreError>>;

    /// Reads the configurations from `offset` on; waits up to `wait` for the first.
    fn config_from(
        &self,
        offset: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Feed<Bytes>, StoreError>>;

    /// Reads the entries of all targets. The result contains no [`TargetChange::Gone`].
    fn targets(&self) -> impl Future<Output = Result<Feed<TargetChange>, StoreError>>;

    /// Reads the target changes from `offset` on, without waiting.
    fn targets_from(
        &self,
        offset: Offset,
    ) -> impl Future<Output = Result<Feed<TargetChange>, StoreError>>;

    /// Reads the stored evidence on suspect requests, including expired evidence.
    fn suspects(&self) -> impl Future<Output = Result<Vec<quarantine::SuspectReport>, StoreError>>;

    /// Changes the stored evidence on suspect requests.
    fn change_suspects(
        &self,
        changes: &[SuspectChange],
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Joins the group of boxes or renews the membership, for `ttl`.
    fn join(
        &self,
        ttl: Duration,
        generation: u64,
    ) -> impl Future<Output = Result<Membership, StoreError>>;

    /// Reads the members of the group, including this box.
    fn members(&self) -> impl Future<Output = Result<Vec<Member>, StoreError>>;
}

/// Response of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine has begun to execute the order.
    Begun,
    /// The engine already holds the layers.
    Holds,
    /// The order does not match the engine's state, or another order preceded it.
    Conflict,
    /// The engine has seen a higher fencing token: another box has become the steward.
    Superseded,
    /// No order was sent, since the engine is executing another one.
    Occupied,
    /// No order was sent, since the engine is leaving or asks for back-off.
    Unwilling,
    /// The engine refused the order for another reason.
    Refused(u16),
    /// No response; the order may still be executed, also later.
    Lost,
}

/// Result of a query or an order, with the engine's statement about itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineReply<T> {
    /// Result of the query or order.
    pub answer: T,
    /// Statement of the engine about itself.
    pub statement: Statement,
}

/// Orders to engines, and queries of their state.
pub trait Orders {
    /// Orders an engine to hold the layers of `placed`. The engine refuses if another order reaches it in between,
    /// or if it has received one with a higher fencing token.
    fn place(
        &self,
        engine: &Engine,
        placed: &Move,
        permit: OrderPermit,
    ) -> impl Future<Output = EngineReply<OrderAnswer>>;

    /// Queries the slowdown factor of an engine, 1 if it runs normally; `None` if the engine does not report it.
    fn pace(&self, engine: &Engine) -> impl Future<Output = EngineReply<Option<f64>>>;
}

/// Response of the first engine of a path to the order to repair the path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepairAnswer {
    /// The request continues over the new path within the same response.
    Begun,
    /// Part of the new path is missing or has no capacity: the one on the engine at this address, if it was named.
    Conflict(Option<SocketAddr>),
    /// The engine refused for another reason; it may not know the request or the order.
    Refused(u16),
    /// No response; the repair may still be executed, also later.
    Lost,
}

/// Future of the response to an order to repair a path.
pub type RepairFuture = Pin<Box<dyn Future<Output = EngineReply<RepairAnswer>>>>;

/// Orders to repair the path of a running request. They do not count as sends, since no engine runs anything
/// twice for them.
pub trait Repair {
    /// Orders the engine at `first` to continue its running request `id` over `path`, whose first part is unchanged.
    fn repair(&self, first: SocketAddr, id: &str, path: &Path) -> RepairFuture;
}
