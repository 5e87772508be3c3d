//! A soak of several daemons and stand-ins, each a process, under faults, against the ledgers.

mod callers;
mod fleet;
mod inject;
mod judge;

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

/// Callers at the same time.
const CALLERS: u64 = 24;
/// Time after the last fault in which every request ends.
const SETTLE: Duration = Duration::from_secs(20);

/// How long, and which faults.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Seconds of load under faults
    #[bpaf(argument("N"), fallback(30))]
    seconds: u64,
    /// Seed of the load and the faults
    #[bpaf(argument("S"), fallback(1))]
    seed: u64,
}

/// Run the soak.
pub async fn run(options: Options) -> Result<Report, String> {
    let fleet = Arc::new(fleet::start().await?);
    let until = Instant::now() + Duration::from_secs(options.seconds);
    let mut load = JoinSet::new();
    for caller in 0..CALLERS {
        let rng = ChaCha8Rng::seed_from_u64(options.seed.wrapping_mul(1000) + caller);
        load.spawn(callers::call_until(fleet.clone(), until, caller, rng));
    }
    let watch = tokio::spawn(judge::watch_offsets(fleet.clone(), until));
    let rng = ChaCha8Rng::seed_from_u64(options.seed);
    let injected = inject::inject_until(&fleet, until, rng).await?;
    let mut tally = Tally::default();
    let settled = async {
        while let Some(part) = load.join_next().await {
            tally.add(part.map_err(|err| err.to_string())?);
        }
        Ok::<(), String>(())
    };
    tokio::time::timeout(SETTLE + SETTLE, settled)
        .await
        .map_err(|_| "callers were left without an answer".to_owned())??;
    let mut report = Report::default();
    report.violations.append(&mut tally.violations);
    report
        .violations
        .extend(watch.await.map_err(|err| err.to_string())?);
    judge::orders(&fleet, &tally, &mut report).await?;
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

/// The fleet as the parts of the soak share it.
type Shared = Arc<Fleet>;
