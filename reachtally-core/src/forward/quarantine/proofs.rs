//! Parts of prompts that targets wrote on for a while, and that therefore do not crash targets.

use std::collections::HashMap;
use std::time::Duration;

use crate::forward::fingerprint::Fingerprint;
use crate::time::Instant;

/// How long a proof protects a part. A part may begin to crash targets when these are updated.
pub const PROOF_TTL: Duration = Duration::from_secs(10);
/// Maximum number of proofs; beyond it the oldest is dropped.
pub const MAX_PROOFS: usize = 4096;

/// When the answers began that prove parts to be sound.
#[derive(Debug, Default)]
pub(super) struct Proofs {
    began: HashMap<Fingerprint, Instant>,
}

impl Proofs {
    /// Records an answer that began at `began`.
    pub fn record(&mut self, part: Fingerprint, began: Instant) {
        if self.began.len() >= MAX_PROOFS && !self.began.contains_key(&part) {
            let oldest = self.began.iter().min_by_key(|(_, began)| **began);
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.began.remove(&oldest);
            }
        }
        let known = self.began.entry(part).or_insert(began);
        *known = began.max(*known);
    }

    /// Whether a part has a proof that is recent enough.
    pub fn holds(&self, part: Fingerprint, now: Instant) -> bool {
        let began = self.began.get(&part);
        began.is_some_and(|began| now < *began + PROOF_TTL)
    }

    /// Removes proofs that no longer protect their parts.
    pub fn remove_expired(&mut self, now: Instant) {
        self.began.retain(|_, began| now < *began + PROOF_TTL);
    }
}
