//! Callers that send completions and orders, and retry orders through other boxes.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use reachtally_standin::engine::model;
use reqwest::Response;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::SharedFleet;
use super::fleet::{LAYERS, ManagedProcess};
use crate::setup::{KEY, MODEL};

/// Attempts per order, all with the same idempotency key.
const MAX_ATTEMPTS: u32 = 3;
/// Timeout of an attempt; longer than the daemons' patience.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(40);

/// Outcome of an attempt, as the caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order ran and was answered.
    Completed,
    /// The order did not run.
    NotRun,
    /// The order may have run, or the connection broke.
    Unknown,
}

/// Counts of one or several callers.
#[derive(Debug, Default)]
pub struct Tally {
    /// Outcomes of all attempts of each order, by idempotency key.
    pub orders: BTreeMap<String, Vec<OrderOutcome>>,
    /// Violated guarantees, one message each.
    pub violations: Vec<String>,
    completions: u64,
    completed: u64,
    not_run: u64,
    unknown: u64,
    cut_by_crash: u64,
    unreached: u64,
}

impl Tally {
    /// Adds the counts of another caller.
    pub fn add(&mut self, other: Tally) {
        self.orders.extend(other.orders);
        self.violations.extend(other.violations);
        self.completions += other.completions;
        self.completed += other.completed;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.cut_by_crash += other.cut_by_crash;
        self.unreached += other.unreached;
    }

    /// Returns the counts with their labels.
    pub fn counts(&self) -> [(&'static str, u64); 7] {
        [
            ("completions asked", self.completions),
            ("completions completed and compared", self.completed),
            ("completions not run", self.not_run),
            ("completions unknown", self.unknown),
            (
                "completions cut by their entry box's death",
                self.cut_by_crash,
            ),
            ("completions whose entry box was down", self.unreached),
            ("orders", self.orders.len() as u64),
        ]
    }
}

/// Sends requests until a time.
pub async fn call_until(
    fleet: SharedFleet,
    until: Instant,
    caller: u64,
    mut rng: ChaCha8Rng,
) -> Tally {
    let mut tally = Tally::default();
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        if rng.random_range(0..2) == 0 {
            let at = rng.random_range(0..fleet.daemons.len());
            let tokens = rng.random_range(5..60);
            let prompt = format!("request {number} of caller {caller}");
            completion(&fleet, &fleet.daemons[at], &prompt, tokens, &mut tally).await;
        } else {
            order(&fleet, format!("{caller}-{number}"), &mut rng, &mut tally).await;
        }
    }
    tally
}

async fn completion(
    fleet: &SharedFleet,
    daemon: &ManagedProcess,
    prompt: &str,
    tokens: u32,
    tally: &mut Tally,
) {
    tally.completions += 1;
    let (before, was_down) = (daemon.disturbances(), daemon.is_down());
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": true});
    let req = fleet.client.post(format!("{}/v1/completions", daemon.url));
    let sent = req
        .bearer_auth(KEY)
        .json(&body)
        .timeout(ATTEMPT_TIMEOUT)
        .send()
        .await;
    let answer = match sent {
        Ok(response) => read(response).await,
        Err(err) if err.is_connect() => {
            tally.unreached += 1;
            return;
        }
        Err(_) => Answer::default(),
    };
    let disturbed = daemon.disturbances() != before || was_down || daemon.is_down();
    match answer.outcome.as_deref() {
        Some("completed") => {
            tally.completed += 1;
            let expected: String = model::reference(LAYERS, "", prompt, tokens)
                .into_iter()
                .map(|token| token.text)
                .collect();
            if answer.text != expected {
                tally.violations.push(format!(
                    "{prompt}: the answer differs from the reference model"
                ));
            }
        }
        Some("not-run") => {
            tally.not_run += 1;
            if !answer.text.is_empty() {
                tally.violations.push(format!(
                    "{prompt}: reported as not run, but tokens were received"
                ));
            }
        }
        Some(_) => tally.unknown += 1,
        None if disturbed => tally.cut_by_crash += 1,
        None => tally
            .violations
            .push(format!("{prompt}: the stream ended without an outcome")),
    }
}

#[derive(Default)]
struct Answer {
    text: String,
    outcome: Option<String>,
}

/// Reads a stream to its end, or a refusal.
async fn read(mut response: Response) -> Answer {
    let header = response.headers().get("reachtally-outcome");
    let mut answer = Answer {
        text: String::new(),
        outcome: header
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
    };
    let mut pending = String::new();
    while let Ok(Some(chunk)) = response.chunk().await {
        pending.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((line, after)) = pending.split_once('\n') {
            parse_line(line, &mut answer);
            pending = after.to_owned();
        }
    }
    answer
}

fn parse_line(line: &str, answer: &mut Answer) {
    let Some(data) = line.strip_prefix("data: ") else {
        return;
    };
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    if let Some(outcome) = value["outcome"].as_str() {
        answer.outcome = Some(outcome.to_owned());
    }
    answer
        .text
        .push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
}

/// Sends an order, and retries through random boxes until it completes.
async fn order(fleet: &SharedFleet, key: String, rng: &mut ChaCha8Rng, tally: &mut Tally) {
    let mut outcomes = Vec::new();
    for _ in 0..MAX_ATTEMPTS {
        let at = rng.random_range(0..fleet.daemons.len());
        let answer = attempt_order(fleet, &fleet.daemons[at], &key).await;
        outcomes.push(answer);
        if answer == OrderOutcome::Completed {
            break;
        }
    }
    tally.orders.insert(key, outcomes);
}

async fn attempt_order(fleet: &SharedFleet, daemon: &ManagedProcess, key: &str) -> OrderOutcome {
    let req = fleet
        .client
        .post(format!("{}/services/orders/new", daemon.url));
    let req = req
        .bearer_auth(KEY)
        .header("Idempotency-Key", key)
        .body("ten pallets");
    let Ok(response) = req.timeout(ATTEMPT_TIMEOUT).send().await else {
        return OrderOutcome::Unknown;
    };
    let outcome = response.headers().get("reachtally-outcome");
    match outcome.and_then(|value| value.to_str().ok()) {
        Some("completed") => OrderOutcome::Completed,
        Some("not-run") => OrderOutcome::NotRun,
        _ => OrderOutcome::Unknown,
    }
}
