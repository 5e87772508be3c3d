//! The platform's store as the relay uses it, with typed answers.

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
use reachtally_core::forward::stewardship::Permit;

use crate::wire::Statement;

/// Why a call to the store yielded nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The records asked for are no longer kept.
    Gone,
    /// The store did nothing: it is busy, over its rate, or turns this box away.
    Refused(u16),
    /// No connection came about.
    Unreachable,
    /// No answer came in time, or it broke off; the call may have been done.
    Lost,
    /// The answer does not decode.
    Malformed(String),
    /// The answer is of an earlier era of the store, and came late.
    Outdated,
    /// The store came back from a copy: what was asked for by offset is of an earlier era.
    EraChanged,
}

impl StoreError {
    /// Whether the newest records must be read next, since there is nothing to read on from.
    pub fn needs_newest(&self) -> bool {
        matches!(self, StoreError::Gone | StoreError::Malformed(_))
    }
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Gone => f.write_str("the records are no longer kept"),
            StoreError::Refused(status) => write!(f, "refused with status {status}"),
            StoreError::Unreachable => f.write_str("no connection"),
            StoreError::Lost => f.write_str("no answer in time"),
            StoreError::Malformed(why) => write!(f, "malformed answer: {why}"),
            StoreError::Outdated => f.write_str("a late answer of an earlier era"),
            StoreError::EraChanged => f.write_str("the store came back from a copy"),
        }
    }
}

/// A number of a record, which says nothing without the era that it is of: it has no order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Offset(pub u64);

/// What a read yields.
#[derive(Debug, Clone)]
pub struct Feed<T> {
    /// Its records, oldest first.
    pub items: Vec<T>,
    /// Where to read on.
    pub next: Offset,
    /// The era that the answer names.
    pub era: Option<Era>,
}

/// A change to the list of targets.
#[derive(Debug, Clone)]
pub enum TargetChange {
    /// A target wrote its entry.
    Wrote(Entry),
    /// A target's entry is gone.
    Gone(Arc<str>),
    /// Another writer spoiled a target's entry: it names no target to use.
    Spoiled(SpoiledEntry),
}

/// An entry that does not decode.
#[derive(Debug, Clone)]
pub struct SpoiledEntry {
    /// Its target's id.
    pub id: Arc<str>,
    /// What is wrong with it.
    pub why: String,
}

/// A change to what the store keeps of requests that targets ended under.
#[derive(Debug, Clone, PartialEq)]
pub enum SuspectChange {
    /// Keep this as long as it lives.
    Keep(quarantine::Told),
    /// Its time is over.
    Drop(Fingerprint),
}

/// What this box holds in the group of boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Membership {
    /// Rises with each change of the group, within an era.
    pub generation: u64,
    /// The era that the answer names.
    pub era: Option<Era>,
    /// Whether this box holds the steward's part.
    pub is_steward: bool,
}

/// The store.
pub trait Store {
    /// The newest configuration as published, if there is one.
    fn config(&self) -> impl Future<Output = Result<Feed<Bytes>, StoreError>>;

    /// Configurations from `offset` on; waits up to `wait` for the first.
    fn config_from(
        &self,
        offset: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Feed<Bytes>, StoreError>>;

    /// All targets' entries; none is told to be gone.
    fn targets(&self) -> impl Future<Output = Result<Feed<TargetChange>, StoreError>>;

    /// Changes to the list of targets from `offset` on, without waiting.
    fn targets_from(
        &self,
        offset: Offset,
    ) -> impl Future<Output = Result<Feed<TargetChange>, StoreError>>;

    /// What is kept of requests that targets ended under, also what is over.
    fn suspects(&self) -> impl Future<Output = Result<Vec<quarantine::Told>, StoreError>>;

    /// Change what is kept of such requests.
    fn change_suspects(
        &self,
        changes: &[SuspectChange],
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Join the group of boxes, or stay in it, for `ttl`.
    fn join(
        &self,
        ttl: Duration,
        generation: u64,
    ) -> impl Future<Output = Result<Membership, StoreError>>;

    /// The boxes of the group, this one included.
    fn members(&self) -> impl Future<Output = Result<Vec<Member>, StoreError>>;
}

/// What an engine answered to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It has begun.
    Begun,
    /// It holds already.
    Holds,
    /// It does not fit the engine's state, or another order came before it.
    Conflict,
    /// The engine has seen a higher token: another box is the steward by now.
    Superseded,
    /// The engine is at work on another order, so none was given.
    Occupied,
    /// The engine leaves, or wants rest, so none was given.
    Unwilling,
    /// The engine refused it for another reason.
    Refused(u16),
    /// No answer; it may be carried out, also later.
    Lost,
}

/// What came of a question or an order, and what the engine said of itself meanwhile.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Told<T> {
    /// What came of it.
    pub answer: T,
    /// What the engine said of itself.
    pub said: Statement,
}

/// Orders to engines, and what they tell of themselves.
pub trait Orders {
    /// Let an engine hold the layers of `placed`, unless another order reaches it in between, or one with a higher token
    /// did before.
    fn place(
        &self,
        engine: &Engine,
        placed: &Move,
        permit: Permit,
    ) -> impl Future<Output = Told<OrderAnswer>>;

    /// How much longer an engine takes than it should, 1 if it is well; `None` if it does not tell.
    fn pace(&self, engine: &Engine) -> impl Future<Output = Told<Option<f64>>>;
}

/// What the first engine of a path answered to the order to repair it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepairAnswer {
    /// The request goes on over the new path within the same answer.
    Begun,
    /// A part of the new path is not there or has no room: that of the engine at this address, if it was named.
    Conflict(Option<SocketAddr>),
    /// It refused for another reason; it may not know the request or the order.
    Refused(u16),
    /// No answer; the repair may be carried out, also later.
    Lost,
}

/// The answer to an order to repair a path, once it is there.
pub type Repairing = Pin<Box<dyn Future<Output = Told<RepairAnswer>>>>;

/// Orders to repair the path of a request that is running. They are no sends: an engine runs nothing twice for one.
pub trait Repair {
    /// Lets the engine at `first` go on with its running request `id` over `path`, whose first part is the same as before.
    fn repair(&self, first: SocketAddr, id: &str, path: &Path) -> Repairing;
}
