//! Concurrent checks of several targets.

use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

/// Time limit for the remaining targets of a check after the first answer. All targets are equally near, so only a lost packet
/// or a dead target takes longer.
pub const LAGGARD_TIMEOUT: Duration = Duration::from_millis(25);

/// Maximum number of targets of a check to which this limit applies. With more targets, the answers of live ones are spread
/// over a longer time.
const MAX_WITH_LAGGARD_TIMEOUT: usize = 32;

/// Runs checks, each of which yields a target and whether it is present, and returns the present targets. Cancels checks that
/// exceed the time limit after the first present target.
pub async fn present<K>(
    checks: impl IntoIterator<Item = impl Future<Output = (K, bool)>>,
) -> Vec<K> {
    let mut checks: FuturesUnordered<_> = checks.into_iter().collect();
    let has_timeout = checks.len() <= MAX_WITH_LAGGARD_TIMEOUT;
    let mut found = Vec::new();
    let mut until = None;
    loop {
        let next = match until {
            None => checks.next().await,
            Some(until) => tokio::time::timeout_at(until, checks.next())
                .await
                .unwrap_or(None),
        };
        let Some((target, is_present)) = next else {
            return found;
        };
        if is_present {
            found.push(target);
        }
        if is_present && has_timeout {
            until.get_or_insert_with(|| tokio::time::Instant::now() + LAGGARD_TIMEOUT);
        }
    }
}
