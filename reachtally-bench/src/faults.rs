//! Soak test of several daemons and stand-ins as processes under faults, checked against the ledgers.

mod callers;
mod checks;
mod fleet;
mod inject;

use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::report::{Goal, Report};

use self::callers::Tally;
use self::fleet::Fleet;

/// Number of concurrent callers.
const CALLERS: u64 = 24;
/// Time after the last fault within which every request ends.
const SETTLE_TIME: Duration = Duration::from_secs(20);

/// Command-line options of the soak test.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Seconds of load under faults
    #[bpaf(argument("N"), fallback(30))]
    seconds: u64,
    /// Seed of the load and the faults
    #[bpaf(argument("S"), fallback(1))]
    seed: u64,
}

/// Runs the soak test.
pub async fn run(options: Options) -> Result<Report, String> {
    let fleet = Arc::new(fleet::start().await?);
    let until = Instant::now() + Duration::from_secs(options.seconds);
    let mut load = JoinSet::new();
    for caller in 0..CALLERS {
        let rng = ChaCha8Rng::seed_from_u64(options.seed.wrapping_mul(1000) + caller);
        load.spawn(callers::call_until(fleet.clone(), until, caller, rng));
    }
    let watch = tokio::spawn(checks::watch_offsets(fleet.clone(), until));
    let rng = ChaCha8Rng::seed_from_u64(options.seed);
    let injected = inject::inject_until(&fleet, until, rng).await?;
    let mut tally = Tally::default();
    let settled = async {
        while let Some(part) = load.join_next().await {
            tally.add(part.map_err(|err| err.to_string())?);
        }
        Ok::<(), String>(())
    };
    tokio::time::timeout(SETTLE_TIME + SETTLE_TIME, settled)
        .await
        .map_err(|_| "some callers did not finish after the last fault".to_owned())??;
    let mut report = Report::default();
    report.violations.append(&mut tally.violations);
    report
        .violations
        .extend(watch.await.map_err(|err| err.to_string())?);
    checks::orders(&fleet, &tally, &mut report).await?;
    for (kind, count) in injected {
        report.add(&format!("fault: {kind}"), f64::from(count), "", Goal::None);
    }
    for (name, count) in tally.counts() {
        report.add(name, count as f64, "", Goal::None);
    }
    report.add(
        "violations",
        report.violations.len() as f64,
        "",
        Goal::AtMost(0.0),
    );
    Ok(report)
}

/// The fleet, shared by the tasks of the soak test.
type SharedFleet = Arc<Fleet>;
