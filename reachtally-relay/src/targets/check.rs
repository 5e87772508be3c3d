//! Checks of several targets at once.

use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

/// Time for the other targets of a check once one has answered: they are as near, so only a lost packet or a dead target takes
/// longer.
pub const LAGGARD_TIMEOUT: Duration = Duration::from_millis(25);

/// Most targets of one check for which it counts: with more of them the answers of those that are there spread wider.
const MOST_WITH_LAGGARDS: usize = 32;

/// Runs checks, each of which yields a target and whether it is there; returns those that are. Checks that are not done in time after
/// the first target answered are given up.
pub async fn present<K>(
    checks: impl IntoIterator<Item = impl Future<Output = (K, bool)>>,
) -> Vec<K> {
    let mut checks: FuturesUnordered<_> = checks.into_iter().collect();
    let has_laggards = checks.len() <= MOST_WITH_LAGGARDS;
    let mut found = Vec::new();
    let mut until = None;
    loop {
        let next = match until {
            None => checks.next().await,
            Some(until) => tokio::time::timeout_at(until, checks.next())
                .await
                .unwrap_or(None),
        };
        let Some((target, is_there)) = next else {
            return found;
        };
        if is_there {
            found.push(target);
        }
        if is_there && has_laggards {
            until.get_or_insert_with(|| tokio::time::Instant::now() + LAGGARD_TIMEOUT);
        }
    }
}
