//! Encoding of suspect requests, which were running on targets when these crashed: as boxes exchange them and as they are
//! persisted in the store.

use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use reachtally_core::forward::fingerprint::Fingerprint;
use reachtally_core::forward::quarantine::{
    AccountDigest, CrashRecord, RunDigest, SuspectReport, Weight,
};

use crate::generated::relay;

/// Why a suspect request could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectError {
    /// The bytes are not a valid message.
    Malformed(prost::DecodeError),
    /// The fingerprint has this unexpected number of bytes.
    Fingerprint(usize),
}

impl std::fmt::Display for SuspectError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SuspectError::Malformed(err) => write!(f, "malformed suspect request: {err}"),
            SuspectError::Fingerprint(bytes) => write!(f, "invalid fingerprint of {bytes} bytes"),
        }
    }
}

/// Encodes a suspect request to be persisted until `expires`, as time since the Unix epoch.
pub fn encode_stored(suspect: &SuspectReport, expires: Duration) -> Bytes {
    let stored = relay::KeptSuspect {
        suspect: Some(suspect_to_wire(suspect)),
        expires_s: expires.as_secs(),
    };
    stored.encode_to_vec().into()
}

/// Decodes a persisted suspect request at the time `now` since the Unix epoch. Its remaining lifetime is zero if it has
/// expired.
///
/// # Errors
/// [`SuspectError`] if the bytes are malformed or the fingerprint has the wrong length.
pub fn decode_stored(bytes: &[u8], now: Duration) -> Result<SuspectReport, SuspectError> {
    let stored = relay::KeptSuspect::decode(bytes).map_err(SuspectError::Malformed)?;
    let suspect = suspect_from_wire(stored.suspect.unwrap_or_default())?;
    let expires = Duration::from_secs(stored.expires_s);
    Ok(SuspectReport {
        life: expires.saturating_sub(now),
        ..suspect
    })
}

pub(crate) fn to_wire(suspects: &[SuspectReport]) -> relay::Suspects {
    relay::Suspects {
        suspects: suspects.iter().map(suspect_to_wire).collect(),
    }
}

pub(crate) fn from_wire(message: relay::Suspects) -> Result<Vec<SuspectReport>, SuspectError> {
    let each = message.suspects.into_iter();
    each.map(suspect_from_wire).collect()
}

fn suspect_to_wire(suspect: &SuspectReport) -> relay::Suspect {
    let end = |end: &CrashRecord| relay::RunEnd {
        run: end.run.0,
        had_begun: end.weight == Weight::Strong,
        is_acquitted: end.is_acquitted,
        is_weak: end.weight == Weight::Weak,
    };
    relay::Suspect {
        fingerprint: Bytes::copy_from_slice(&suspect.fingerprint.0),
        account: suspect.account.0,
        life_s: suspect.life.as_secs() as u32,
        ends: suspect.ends.iter().map(end).collect(),
    }
}

fn suspect_from_wire(suspect: relay::Suspect) -> Result<SuspectReport, SuspectError> {
    let end = |end: relay::RunEnd| CrashRecord {
        run: RunDigest(end.run),
        weight: match (end.had_begun, end.is_weak) {
            (true, _) => Weight::Strong,
            (false, false) => Weight::Moderate,
            (false, true) => Weight::Weak,
        },
        is_acquitted: end.is_acquitted,
    };
    let bytes = suspect.fingerprint.as_ref().try_into();
    let bytes = bytes.map_err(|_| SuspectError::Fingerprint(suspect.fingerprint.len()))?;
    Ok(SuspectReport {
        fingerprint: Fingerprint(bytes),
        account: AccountDigest(suspect.account),
        life: Duration::from_secs(u64::from(suspect.life_s)),
        ends: suspect.ends.into_iter().map(end).collect(),
    })
}
