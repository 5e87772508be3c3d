//! Checks what callers were told against what ran.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::SharedFleet;
use super::callers::{OrderOutcome, Tally};
use super::fleet::ManagedProcess;
use crate::report::{Goal, Report};
use crate::setup::OPERATOR_KEY;

/// Polling interval of the daemons' configuration offsets.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Compares the outcomes that callers were told with the runs that the service counted.
pub async fn orders(fleet: &SharedFleet, tally: &Tally, report: &mut Report) -> Result<(), String> {
    let url = format!("{}/runs", fleet.orders.url);
    let response = fleet
        .client
        .get(url)
        .send()
        .await
        .map_err(|err| err.to_string())?;
    let runs: BTreeMap<String, u32> = response.json().await.map_err(|err| err.to_string())?;
    let mut kinds = [0u32; 3];
    for (key, outcomes) in &tally.orders {
        let times = runs.get(key).copied().unwrap_or(0);
        if times > 1 {
            report
                .violations
                .push(format!("order {key} ran {times} times"));
        }
        let completed = outcomes.contains(&OrderOutcome::Completed);
        let only_not_run = outcomes
            .iter()
            .all(|outcome| *outcome == OrderOutcome::NotRun);
        if completed && times == 0 {
            report
                .violations
                .push(format!("order {key} was answered but never ran"));
        }
        if only_not_run && times > 0 {
            report
                .violations
                .push(format!("order {key} was reported as not run but ran"));
        }
        kinds[match (completed, only_not_run) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        }] += 1;
    }
    let names = ["orders completed", "orders not run", "orders unknown"];
    for (name, count) in names.into_iter().zip(kinds) {
        report.add(name, f64::from(count), "", Goal::None);
    }
    let max_runs = runs.values().max().copied().unwrap_or(0);
    report.add(
        "most runs of an order",
        f64::from(max_runs),
        "",
        Goal::AtMost(1.0),
    );
    Ok(())
}

/// Checks that the configuration offset of a daemon never decreases within a run. Returns the violations.
pub async fn watch_offsets(fleet: SharedFleet, until: Instant) -> Vec<String> {
    let mut violations = Vec::new();
    let mut last_seen: Vec<(u64, u64)> = vec![(0, 0); fleet.daemons.len()];
    while Instant::now() < until {
        for (daemon, last_seen) in fleet.daemons.iter().zip(&mut last_seen) {
            let before = daemon.disturbances();
            let Some(offset) = offset(&fleet, daemon).await else {
                continue;
            };
            let same_run = last_seen.0 == before && before == daemon.disturbances();
            if same_run && offset < last_seen.1 {
                violations.push(format!(
                    "a configuration offset decreased from {} to {offset}",
                    last_seen.1
                ));
            }
            *last_seen = (before, offset);
        }
        sleep(WATCH_INTERVAL).await;
    }
    violations
}

async fn offset(fleet: &SharedFleet, daemon: &ManagedProcess) -> Option<u64> {
    let req = fleet
        .client
        .post(format!("{}/v1/commands", daemon.operators));
    let req = req
        .bearer_auth(OPERATOR_KEY)
        .body("show config")
        .timeout(WATCH_INTERVAL);
    let answer: Value = req.send().await.ok()?.json().await.ok()?;
    let rows = answer["table"]["rows"].as_array()?;
    let row = rows.iter().find(|row| row[0] == "config_records")?;
    row[1].as_str()?.parse().ok()
}
