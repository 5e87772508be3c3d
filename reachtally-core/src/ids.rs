//! Typed table keys, and the identities used outside this process.

use serde::{Deserialize, Serialize};
use slotmap::{Key, KeyData, new_key_type};

new_key_type! {
    /// Key of a target in [`World::targets`](crate::World).
    pub struct TargetKey;
    /// Key of a client account in [`World::accounts`](crate::World).
    pub struct AccountKey;
    /// Key of a request in [`World::requests`](crate::World).
    pub struct RequestKey;
    /// Key of an outstanding call to an engine in [`World::calls`](crate::World).
    pub struct CallKey;
}

/// Random identity of one run of a daemon. A restarted daemon gets a new one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Identity of a request outside the process that serves it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The daemon run that serves the request.
    pub incarnation: Incarnation,
    /// The integer form of the request's [`RequestKey`].
    pub seq: u64,
}

impl RequestId {
    /// Create the identity of request `key` in the daemon run `incarnation`.
    pub fn new(incarnation: Incarnation, key: RequestKey) -> Self {
        RequestId {
            incarnation,
            seq: key.data().as_ffi(),
        }
    }

    /// Return the key of the request in the daemon that serves it.
    pub fn key(self) -> RequestKey {
        RequestKey::from(KeyData::from_ffi(self.seq))
    }
}

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:x}-{:x}", self.incarnation.0, self.seq)
    }
}
