//! Keys of callers and operators. They are stored as hashes and compared in constant time.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Length of a key hash in hexadecimal digits.
pub const HASH_DIGITS: usize = 64;

/// Returns the SHA-256 of a key in lower-case hex.
pub fn hash(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns whether `hash` is one of `hashes`. The comparison time reveals neither which one matches nor the
/// length of a common prefix.
pub fn matches<'a>(hash: &str, hashes: impl IntoIterator<Item = &'a str>) -> bool {
    let matched = hashes
        .into_iter()
        .fold(subtle::Choice::from(0), |matched, known| {
            matched | known.as_bytes().ct_eq(hash.as_bytes())
        });
    matched.into()
}

/// Returns whether `text` has the format of a hash returned by [`hash`].
pub fn is_hash(text: &str) -> bool {
    let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == HASH_DIGITS && text.bytes().all(digit)
}
