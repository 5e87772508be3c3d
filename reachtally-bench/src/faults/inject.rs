//! Fault injection: kills, pauses, lost and duplicated answers, outages, partitions and racing operators.

use std::collections::BTreeMap;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use reachtally_config::keys;
use reachtally_core::declare::{Account, Object};
use serde_json::json;
use tokio::time::{Instant, sleep};

use super::SharedFleet;
use super::fleet::{ManagedProcess, list_box, set_partitioned};
use crate::setup::OPERATOR_KEY;

/// Time between two faults, in ms.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 200..900;

/// Injects faults until a time and returns their number by kind. All processes run again when it returns.
pub async fn inject_until(
    fleet: &SharedFleet,
    until: Instant,
    mut rng: ChaCha8Rng,
) -> Result<BTreeMap<&'static str, u32>, String> {
    let mut counts = BTreeMap::new();
    while Instant::now() < until {
        let kind = inject_one(fleet, &mut rng).await?;
        *counts.entry(kind).or_default() += 1;
        sleep(Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS))).await;
    }
    fleet.log.fault(&fleet.client, &json!({})).await;
    Ok(counts)
}

fn random<'a>(of: &'a [ManagedProcess], rng: &mut ChaCha8Rng) -> &'a ManagedProcess {
    &of[rng.random_range(0..of.len())]
}

/// Injects a random fault, reverts it if it is temporary, and returns its label.
async fn inject_one(fleet: &SharedFleet, rng: &mut ChaCha8Rng) -> Result<&'static str, String> {
    let client = &fleet.client;
    let time = Duration::from_millis(rng.random_range(500..3000));
    let engine = random(&fleet.engines, rng);
    let daemon = random(&fleet.daemons, rng);
    let count = rng.random_range(1..4);
    Ok(match rng.random_range(0..14) {
        0 => {
            engine.kill();
            sleep(time).await;
            engine.start()?;
            "engine dies and comes back empty"
        }
        1 => {
            engine.signal(Signal::SIGSTOP);
            sleep(time).await;
            engine.signal(Signal::SIGCONT);
            "engine frozen"
        }
        2 => {
            engine.fault(client, &json!({"lose_answers": count})).await;
            "engine's answers lost"
        }
        3 => {
            engine
                .fault(client, &json!({"double_answers": count}))
                .await;
            "engine's answers doubled"
        }
        4 => {
            engine.fault(client, &json!({"refuse": count})).await;
            "engine refuses"
        }
        5 => {
            engine.fault(client, &json!({"slow": 4.0})).await;
            sleep(time).await;
            engine.fault(client, &json!({"slow": 1.0})).await;
            "engine slow"
        }
        6 => {
            daemon.kill();
            sleep(time / 4).await;
            daemon.start()?;
            "entry box dies and is replaced"
        }
        7 => {
            daemon.signal(Signal::SIGSTOP);
            sleep(time * 2).await;
            daemon.signal(Signal::SIGCONT);
            "entry box frozen"
        }
        8 => {
            fleet.log.fault(client, &json!({"down": true})).await;
            sleep(time).await;
            fleet.log.fault(client, &json!({})).await;
            "log down"
        }
        9 => {
            fleet.log.fault(client, &json!({"lose_answers": 5})).await;
            "log's answers lost"
        }
        10 => {
            fleet
                .orders
                .fault(client, &json!({"lose_answers": count}))
                .await;
            "service's answers lost"
        }
        11 => {
            let name = format!("t{}{}", rng.random_range(0..3), rng.random_range(0..2));
            list_box(fleet, &name, true).await?;
            sleep(time).await;
            list_box(fleet, &name, false).await?;
            "box leaving, and back"
        }
        12 => {
            let domain = rng.random_range(0..fleet.log_urls.len());
            set_partitioned(fleet, domain, true).await?;
            sleep(time * 2).await;
            set_partitioned(fleet, domain, false).await?;
            "failure domain cut off from the log"
        }
        _ => {
            let other = random(&fleet.daemons, rng);
            let max = rng.random_range(1..1000);
            tokio::join!(apply(fleet, daemon, max), apply(fleet, other, max + 1));
            "operators race"
        }
    })
}

/// Publishes an unused account. Errors are ignored, since the log and the daemon may be in any state.
async fn apply(fleet: &SharedFleet, daemon: &ManagedProcess, max_running: u32) {
    let account = Object::Account(Account {
        name: "raced".to_owned(),
        key_hashes: vec![keys::hash("raced")],
        models: Vec::new(),
        adapters: Vec::new(),
        services: Vec::new(),
        max_running,
        priority: 0,
    });
    let req = fleet.client.post(format!("{}/v1/apply", daemon.operators));
    let req = req.bearer_auth(OPERATOR_KEY).json(&vec![account]);
    req.timeout(Duration::from_secs(8)).send().await.ok();
}
