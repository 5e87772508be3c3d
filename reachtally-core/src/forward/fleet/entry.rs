//! What a target says of itself.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::forward::cost::Layers;

/// A target as its own entry describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Identity of this run of the target.
    pub id: Arc<str>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it takes no new work because it is leaving.
    pub draining: bool,
    /// Requests it runs at once.
    pub slots: u32,
    /// Its kind of card, if it runs a layered model.
    pub card: Option<Arc<str>>,
    /// Layers it holds.
    pub layers: Layers,
}

/// How an entry became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// It stands in a list, and may have been written long ago.
    Listed,
    /// The target wrote it a moment ago.
    Written,
}
