//! A streaming caller.

use std::time::{Duration, Instant};

use reqwest::Client;
use serde_json::json;

use crate::setup::{KEY, MODEL};

/// What a streaming caller saw.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// Time from sending the request to the first token.
    pub first_token: Duration,
    /// Tokens.
    pub tokens: u32,
    /// Whether the last event said `completed`.
    pub completed: bool,
}

/// The mark of an event that carries a token.
const TOKEN_MARK: &[u8] = b"\"finish_reason\":null";
/// The mark of the outcome in the last event.
const COMPLETED_MARK: &[u8] = b"\"outcome\":\"completed\"";

/// Ask for `max_tokens` tokens as a stream and read it to its end.
pub async fn stream(
    client: &Client,
    callers: &str,
    prompt: &str,
    max_tokens: u32,
) -> Result<Seen, String> {
    let body = json!({
        "model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": true
    });
    let req = client
        .post(format!("{callers}/v1/completions"))
        .bearer_auth(KEY)
        .json(&body);
    let sent = Instant::now();
    let mut response = req.send().await.map_err(|err| err.to_string())?;
    if !response.status().is_success() {
        let status = response.status();
        let text = response.text().await.unwrap_or_default();
        return Err(format!("{status}: {text}"));
    }
    let mut seen = Seen::default();
    let mut rest = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|err| err.to_string())? {
        rest.extend_from_slice(&chunk);
        let whole = rest
            .iter()
            .rposition(|byte| *byte == b'\n')
            .map_or(0, |at| at + 1);
        let lines: Vec<u8> = rest.drain(..whole).collect();
        let tokens = count(&lines, TOKEN_MARK);
        if seen.tokens == 0 && tokens > 0 {
            seen.first_token = sent.elapsed();
        }
        seen.tokens += tokens;
        seen.completed |= count(&lines, COMPLETED_MARK) > 0;
    }
    Ok(seen)
}

fn count(text: &[u8], mark: &[u8]) -> u32 {
    text.split(|byte| *byte == b'\n')
        .filter(|line| line.windows(mark.len()).any(|window| window == mark))
        .count() as u32
}
