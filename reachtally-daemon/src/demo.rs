//! A complete session against embedded stand-ins in which a stage fails midway.

use std::collections::BTreeMap;
use std::io::Write;

use error_stack::{Report, ResultExt};
use reachtally_standin::engine::{Fault, Ledger, model};
use reachtally_standin::verify::{Accepted, verify};
use serde_json::{Value, json};

use crate::actor::{Answer, Query};
use crate::ended::{AcceptedRun, Ended};
use crate::standalone::{self, CALLER_KEY, LAYERS, MODEL, Standalone};

/// Number of requested tokens.
const TOKENS: u32 = 48;
/// Number of tokens after which the stage fails.
const FAIL_AFTER: usize = 20;
/// Name prefix of the engines of the stage that fails.
const FAILING_STAGE: &str = "engine-1";
const PROMPT: &str = "draft a service report for screw unit seven";

/// Why the session failed.
#[derive(Debug)]
pub enum DemoError {
    /// The stand-ins or the daemon did not start.
    Start,
    /// The request could not be sent, or its response was incomplete.
    Request,
    /// The response differs from the output of the model on a single engine.
    WrongAnswer,
    /// The engines' ledgers do not show exactly one execution of each layer per token.
    Ledger,
    /// No stage was shifted, so the session demonstrates nothing.
    NoShift,
}

impl std::fmt::Display for DemoError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            DemoError::Start => "the session could not be set up",
            DemoError::Request => "the request failed",
            DemoError::WrongAnswer => "the answer is not the model's",
            DemoError::Ledger => "the engines' ledgers contradict the lineage",
            DemoError::NoShift => "no stage was shifted",
        })
    }
}

impl std::error::Error for DemoError {}

/// Runs the session and prints it.
///
/// # Errors
/// [`DemoError`] if the response or the ledgers are wrong.
pub async fn demo() -> Result<(), Report<DemoError>> {
    let setup = standalone::standalone(standalone::Options::default())
        .await
        .change_context(DemoError::Start)?;
    println!(
        "entry box on http://{}, {} engines",
        setup.daemon.callers(),
        setup.engines.len()
    );
    println!("prompt: {PROMPT}");
    let text = stream(&setup).await?;
    check_answer(&text)?;
    let ended = last_ended(&setup).await?;
    check_ledgers(&setup, &ended)?;
    setup.daemon.stop().await;
    println!("stopped; no request was cut off");
    Ok(())
}

/// Sends the request, prints the response as it streams, and kills an engine of the stage midway.
async fn stream(setup: &Standalone) -> Result<String, Report<DemoError>> {
    let body = json!({"model": MODEL, "prompt": PROMPT, "max_tokens": TOKENS, "stream": true});
    let url = format!("http://{}/v1/completions", setup.daemon.callers());
    let client = reqwest::Client::new();
    let req = client.post(url).bearer_auth(CALLER_KEY).json(&body);
    let mut response = req.send().await.change_context(DemoError::Request)?;
    let mut parser = SseParser::default();
    let mut text = String::new();
    let mut tokens = 0;
    while let Some(chunk) = response.chunk().await.change_context(DemoError::Request)? {
        for token in parser.push(&chunk) {
            tokens += 1;
            text.push_str(&token);
            print!("{token}");
            std::io::stdout().flush().ok();
            if tokens == FAIL_AFTER {
                kill_serving_engine(setup);
            }
        }
    }
    println!();
    println!("outcome: {}", parser.outcome.as_deref().unwrap_or("none"));
    Ok(text)
}

/// Kills the engine of the failing stage that serves the request.
fn kill_serving_engine(setup: &Standalone) {
    let serving = setup
        .engines
        .iter()
        .find(|(name, engine)| name.starts_with(FAILING_STAGE) && engine.requests_held() > 0);
    if let Some((name, engine)) = serving {
        println!();
        println!("[{name} dies]");
        engine.fault(Fault::Die);
    }
}

fn check_answer(text: &str) -> Result<(), Report<DemoError>> {
    let expected: String = model::reference(LAYERS, "", PROMPT, TOKENS)
        .into_iter()
        .map(|token| token.text)
        .collect();
    if text == expected {
        println!("answer: the same as the model computed in one place");
        return Ok(());
    }
    Err(Report::new(DemoError::WrongAnswer).attach(format!("expected {expected:?}, got {text:?}")))
}

async fn last_ended(setup: &Standalone) -> Result<Ended, Report<DemoError>> {
    match setup.daemon.query(Query::Ended).await {
        Some(Answer::Ended(mut ended)) => ended.pop(),
        _ => None,
    }
    .ok_or_else(|| Report::new(DemoError::Request))
}

fn to_accepted(run: &AcceptedRun) -> Accepted {
    Accepted {
        target: run.target.clone(),
        layers: run.layers,
        from: run.from,
        end: run.end,
        attempt: run.attempt,
    }
}

fn check_ledgers(setup: &Standalone, ended: &Ended) -> Result<(), Report<DemoError>> {
    for run in &ended.accepted {
        println!(
            "positions {:>2}..{:<2} layers {:>5}  attempt {}  {}",
            run.from,
            run.end,
            run.layers.to_string(),
            run.attempt,
            run.target
        );
    }
    let ledgers: BTreeMap<String, Ledger> = setup
        .engines
        .iter()
        .map(|(name, engine)| (name.clone(), engine.ledger()))
        .collect();
    let positions = ended.positions();
    let accepted: Vec<Accepted> = ended.accepted.iter().map(to_accepted).collect();
    let violations = verify(ended.id, LAYERS, positions, &accepted, &ledgers);
    if !violations.is_empty() {
        return Err(Report::new(DemoError::Ledger).attach(format!("{violations:?}")));
    }
    println!("ledger: each of {LAYERS} layers ran once for each of {positions} positions");
    if ended.attempts < 2 {
        return Err(Report::new(DemoError::NoShift));
    }
    println!("stages shifted: {}", ended.attempts - 1);
    Ok(())
}

/// Incremental parser for server-sent events.
#[derive(Default)]
struct SseParser {
    buf: String,
    outcome: Option<String>,
}

impl SseParser {
    /// Appends bytes and returns the texts of the events that are now complete.
    fn push(&mut self, bytes: &[u8]) -> Vec<String> {
        self.buf.push_str(&String::from_utf8_lossy(bytes));
        let mut texts = Vec::new();
        while let Some((event, rest)) = self.buf.split_once("\n\n") {
            let data = event.lines().find_map(|line| line.strip_prefix("data: "));
            let value: Value = data
                .and_then(|data| serde_json::from_str(data).ok())
                .unwrap_or_default();
            if let Some(outcome) = value["outcome"].as_str() {
                self.outcome = Some(outcome.to_owned());
            }
            if let Some(text) = value["choices"][0]["text"].as_str()
                && !text.is_empty()
            {
                texts.push(text.to_owned());
            }
            self.buf = rest.to_owned();
        }
        texts
    }
}
