//! Keys of callers and operators: stored as hashes, compared in constant time.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Length of a key's hash in hexadecimal digits.
pub const HASH_DIGITS: usize = 64;

/// SHA-256 of a key, lower-case hex.
pub fn hash(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Whether `hash` is one of `hashes`. The time taken does not tell which, or how much of it fits.
pub fn matches<'a>(hash: &str, hashes: impl IntoIterator<Item = &'a str>) -> bool {
    let hit = hashes
        .into_iter()
        .fold(subtle::Choice::from(0), |hit, known| {
            hit | known.as_bytes().ct_eq(hash.as_bytes())
        });
    hit.into()
}

/// Whether a text looks like a hash made by [`hash`].
pub fn is_hash(text: &str) -> bool {
    let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == HASH_DIGITS && text.bytes().all(digit)
}
