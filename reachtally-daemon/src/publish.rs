//! Publishing of operations to the configuration stream.

use reachtally_core::fold::Operation;
use reachtally_log::{AppendError, CONFIG_STREAM, Log};
use serde_json::Value;

/// Attempts to append an operation. Repeating an append whose response was lost is safe because the
/// operation's id identifies duplicates.
const MAX_ATTEMPTS: u32 = 3;

/// Appends `operation` and returns its offset.
///
/// # Errors
/// [`AppendError::Refused`] if the log appended nothing, [`AppendError::Lost`] if it may have.
pub async fn publish<L: Log>(log: &L, operation: &Operation) -> Result<u64, AppendError> {
    let data: Value = serde_json::to_value(operation).map_err(|_| AppendError::Refused)?;
    let mut result = Err(AppendError::Refused);
    let mut lost = false;
    for _ in 0..MAX_ATTEMPTS {
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
