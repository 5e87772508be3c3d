//! Fingerprints that identify repeated requests, and the parts of prompts that requests share.
//!
//! A caller that retries sends the same request with a new id, and possibly to another box. Path,
//! account and body stay the same, so that boxes of any version recognize the request.

use sha2::{Digest, Sha256};

use crate::forward::prompt::PartId;

/// Length of a fingerprint in bytes: long enough to rule out accidental and deliberate collisions.
pub const FINGERPRINT_BYTES: usize = 16;
/// Separates these digests from those of other uses and of later versions of this scheme.
const PURPOSE: &[u8] = b"reachtally request fingerprint 1";

/// The same for parts of prompts.
const PART_PURPOSE: &[u8] = b"reachtally prompt part fingerprint 1";

/// The fields of a request that identify it. The request id and the last event id are not included,
/// because they differ between attempts.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// The method.
    pub method: &'a str,
    /// The host as sent by the caller; compared case-insensitively.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The caller's account, if any: requests of different accounts are never the same.
    pub account: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}

/// Digest that identifies a request, or a part of a prompt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub [u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(request: &RequestIdentity<'_>) -> Self {
        let host = request.host.to_ascii_lowercase();
        let account = request.account.unwrap_or_default();
        let mut hasher = Sha256::new_with_prefix(PURPOSE);
        hasher.update([u8::from(request.account.is_some())]);
        for field in [request.method, &host, request.path, account] {
            // The length prefix separates a field from the next one.
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        hasher.update(request.body);
        Fingerprint::from_hasher(hasher)
    }

    /// Computes the fingerprint of a part of a prompt, which is the same for all accounts and services.
    pub fn of_part(part: &PartId) -> Self {
        let mut hasher = Sha256::new_with_prefix(PART_PURPOSE);
        hasher.update(part.as_str());
        Fingerprint::from_hasher(hasher)
    }

    fn from_hasher(hasher: Sha256) -> Self {
        let digest = hasher.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Fingerprint(bytes)
    }
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl std::fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Fingerprint({self})")
    }
}
