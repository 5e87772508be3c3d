//! Publishing operations to the configuration stream.

use reachtally_core::fold::Operation;
use reachtally_log::{AppendError, CONFIG_STREAM, Log};
use serde_json::Value;

/// Times an append with a lost answer is repeated; the operation's id makes that harmless.
const TRIES: u32 = 3;

/// Append `operation`; yields its offset.
///
/// # Errors
/// [`AppendError::Refused`] if the log took nothing, [`AppendError::Lost`] if it may have.
pub async fn publish<L: Log>(log: &L, operation: &Operation) -> Result<u64, AppendError> {
    let data: Value = serde_json::to_value(operation).map_err(|_| AppendError::Refused)?;
    let mut result = Err(AppendError::Refused);
    let mut lost = false;
    for _ in 0..TRIES {
        result = log.append(CONFIG_STREAM, data.clone()).await;
        match result {
            Ok(_) => break,
            Err(AppendError::Lost) => lost = true,
            Err(AppendError::Refused) => {}
        }
    }
    match result {
        Err(_) if lost => Err(AppendError::Lost),
        other => other,
    }
}
