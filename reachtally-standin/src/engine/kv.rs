//! KV of the requests that an engine serves, and the released attempts that it must not run again.

use std::collections::{HashMap, VecDeque};

use reachtally_core::ids::RequestId;
use serde::{Deserialize, Serialize};

/// Maximum number of requests whose released attempts are kept; the oldest are dropped.
const MAX_RELEASED: usize = 65_536;

/// KV of one request, represented by a digest for each layer.
#[derive(Debug, Clone)]
pub(super) struct Kv {
    pub attempt: u32,
    pub positions: u32,
    pub digests: Vec<u64>,
}

/// KV of one request in its export format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Number of covered positions.
    pub positions: u32,
    /// KV digest of each layer.
    pub digests: Vec<u64>,
}

/// KV of all requests of an engine.
#[derive(Debug, Default)]
pub(super) struct KvStore {
    by_request: HashMap<RequestId, Kv>,
    released: HashMap<RequestId, u32>,
    released_order: VecDeque<RequestId>,
}

impl KvStore {
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    pub fn contains(&self, request: RequestId) -> bool {
        self.by_request.contains_key(&request)
    }

    /// Returns whether `attempt` or a later one was released, or a later one was seen.
    pub fn is_stale(&self, request: RequestId, attempt: u32) -> bool {
        let released = self
            .released
            .get(&request)
            .is_some_and(|highest| attempt <= *highest);
        let seen = self
            .by_request
            .get(&request)
            .is_some_and(|kv| attempt < kv.attempt);
        released || seen
    }

    /// Returns the KV of a request and inserts empty KV if there is none.
    pub fn entry(&mut self, request: RequestId, layers: u32) -> &mut Kv {
        self.by_request.entry(request).or_insert_with(|| Kv {
            attempt: 0,
            positions: 0,
            digests: vec![0; layers as usize],
        })
    }

    pub fn export(&self, request: RequestId) -> Option<KvExport> {
        let kv = self.by_request.get(&request)?;
        Some(KvExport {
            positions: kv.positions,
            digests: kv.digests.clone(),
        })
    }

    pub fn import(&mut self, request: RequestId, export: KvExport) {
        let kv = self.entry(request, export.digests.len() as u32);
        kv.positions = export.positions;
        kv.digests = export.digests;
    }

    pub fn release(&mut self, request: RequestId, attempt: u32) {
        if self
            .by_request
            .get(&request)
            .is_some_and(|kv| kv.attempt <= attempt)
        {
            self.by_request.remove(&request);
        }
        if self.released.insert(request, attempt).is_none() {
            self.released_order.push_back(request);
        }
        if self.released_order.len() > MAX_RELEASED
            && let Some(oldest) = self.released_order.pop_front()
        {
            self.released.remove(&oldest);
        }
    }
}
