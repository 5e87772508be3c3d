//! Typed keys of the tables and the identities that leave this process.

use serde::{Deserialize, Serialize};
use slotmap::{Key, KeyData, new_key_type};

new_key_type! {
    /// Row of a target in [`World::targets`](crate::World).
    pub struct TargetKey;
    /// Row of a client account in [`World::accounts`](crate::World).
    pub struct AccountKey;
    /// Row of a request in [`World::requests`](crate::World).
    pub struct RequestKey;
    /// Row of an outstanding call to an engine in [`World::calls`](crate::World).
    pub struct CallKey;
}

/// The random identity of one run of a daemon; a restarted daemon has another one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// The identity of a request outside the process that serves it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The daemon run that serves the request.
    pub incarnation: Incarnation,
    /// The request's row, as the integer form of its [`RequestKey`].
    pub seq: u64,
}

impl RequestId {
    /// The identity of row `key` in the daemon run `incarnation`.
    pub fn new(incarnation: Incarnation, key: RequestKey) -> Self {
        RequestId {
            incarnation,
            seq: key.data().as_ffi(),
        }
    }

    /// The row this identity names in its own daemon.
    pub fn key(self) -> RequestKey {
        RequestKey::from(KeyData::from_ffi(self.seq))
    }
}

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:x}-{:x}", self.incarnation.0, self.seq)
    }
}
