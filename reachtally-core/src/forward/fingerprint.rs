//! What makes two requests the same one.
//!
//! A caller that comes back sends the same request under a new id, and perhaps to another box. Its path, account and
//! body stay, so that all boxes, of whatever version, can tell that it is the same.

use sha2::{Digest, Sha256};

/// Bytes of a fingerprint: no two requests share one by chance, and nobody can make two that do.
pub const FINGERPRINT_BYTES: usize = 16;
/// Keeps these digests apart from those of other uses, and of a later way to make them.
const PURPOSE: &[u8] = b"reachtally request fingerprint 1";

/// What of a request counts. Its id and the last event that the caller has do not: they differ between its attempts.
#[derive(Debug, Clone, Copy)]
pub struct Identity<'a> {
    /// The method.
    pub method: &'a str,
    /// The host, as the caller names it; case does not count.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The caller's account, if it has one: requests of two accounts are never the same.
    pub account: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}

/// A digest of what makes a request the same one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub [u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(request: &Identity<'_>) -> Self {
        let host = request.host.to_ascii_lowercase();
        let account = request.account.unwrap_or_default();
        let mut hasher = Sha256::new_with_prefix(PURPOSE);
        hasher.update([u8::from(request.account.is_some())]);
        for field in [request.method, &host, request.path, account] {
            // The length keeps a field's end apart from the next one's beginning.
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        hasher.update(request.body);
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
