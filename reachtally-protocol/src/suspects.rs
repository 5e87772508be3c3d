//! Requests that targets ended under, as boxes tell each other of them and as they are kept.

use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use reachtally_core::forward::fingerprint::Fingerprint;
use reachtally_core::forward::quarantine::{AccountDigest, End, RunDigest, Told};

use crate::generated::relay;

/// Why what is told of a request can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectError {
    /// It is no message of this kind.
    Malformed(prost::DecodeError),
    /// Its fingerprint has this many bytes.
    Fingerprint(usize),
}

impl std::fmt::Display for SuspectError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SuspectError::Malformed(err) => write!(f, "malformed: {err}"),
            SuspectError::Fingerprint(bytes) => write!(f, "a fingerprint of {bytes} bytes"),
        }
    }
}

/// Encode what is kept of a request until `expires`, a time of day since the Unix epoch.
pub fn encode_kept(told: &Told, expires: Duration) -> Bytes {
    let kept = relay::KeptSuspect {
        suspect: Some(suspect_to_wire(told)),
        expires_s: expires.as_secs(),
    };
    kept.encode_to_vec().into()
}

/// Decode what is kept of a request, at the time of day `now`. Its life is over if the time has passed.
///
/// # Errors
/// What is wrong with it.
pub fn decode_kept(bytes: &[u8], now: Duration) -> Result<Told, SuspectError> {
    let kept = relay::KeptSuspect::decode(bytes).map_err(SuspectError::Malformed)?;
    let told = suspect_from_wire(kept.suspect.unwrap_or_default())?;
    let expires = Duration::from_secs(kept.expires_s);
    Ok(Told {
        life: expires.saturating_sub(now),
        ..told
    })
}

pub(crate) fn to_wire(told: &[Told]) -> relay::Suspects {
    relay::Suspects {
        suspects: told.iter().map(suspect_to_wire).collect(),
    }
}

pub(crate) fn from_wire(message: relay::Suspects) -> Result<Vec<Told>, SuspectError> {
    let each = message.suspects.into_iter();
    each.map(suspect_from_wire).collect()
}

fn suspect_to_wire(told: &Told) -> relay::Suspect {
    let end = |end: &End| relay::RunEnd {
        run: end.run.0,
        had_begun: end.had_begun,
        is_acquitted: end.is_acquitted,
    };
    relay::Suspect {
        fingerprint: Bytes::copy_from_slice(&told.fingerprint.0),
        account: told.account.0,
        life_s: told.life.as_secs() as u32,
        ends: told.ends.iter().map(end).collect(),
    }
}

fn suspect_from_wire(suspect: relay::Suspect) -> Result<Told, SuspectError> {
    let end = |end: relay::RunEnd| End {
        run: RunDigest(end.run),
        had_begun: end.had_begun,
        is_acquitted: end.is_acquitted,
    };
    let bytes = suspect.fingerprint.as_ref().try_into();
    let bytes = bytes.map_err(|_| SuspectError::Fingerprint(suspect.fingerprint.len()))?;
    Ok(Told {
        fingerprint: Fingerprint(bytes),
        account: AccountDigest(suspect.account),
        life: Duration::from_secs(u64::from(suspect.life_s)),
        ends: suspect.ends.into_iter().map(end).collect(),
    })
}
