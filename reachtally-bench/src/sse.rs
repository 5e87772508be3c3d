//! A client that reads a completion as a stream of events.

use std::time::{Duration, Instant};

use reqwest::Client;
use serde_json::json;

use crate::setup::{KEY, MODEL};

/// Result of reading a stream.
#[derive(Debug, Clone, Default)]
pub struct StreamResult {
    /// Time from sending the request to the first token.
    pub first_token: Duration,
    /// Number of tokens received.
    pub tokens: u32,
    /// Whether the outcome in the last event was `completed`.
    pub completed: bool,
}

/// Text that occurs in every event with a token.
const TOKEN_MARK: &[u8] = b"\"finish_reason\":null";
/// Text that occurs in the last event of a completed stream.
const COMPLETED_MARK: &[u8] = b"\"outcome\":\"completed\"";

/// Requests a stream of `max_tokens` tokens and reads it to its end.
pub async fn stream(
    client: &Client,
    callers: &str,
    prompt: &str,
    max_tokens: u32,
) -> Result<StreamResult, String> {
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
    let mut result = StreamResult::default();
    let mut pending = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|err| err.to_string())? {
        pending.extend_from_slice(&chunk);
        let complete = pending
            .iter()
            .rposition(|byte| *byte == b'\n')
            .map_or(0, |at| at + 1);
        let lines: Vec<u8> = pending.drain(..complete).collect();
        let tokens = count(&lines, TOKEN_MARK);
        if result.tokens == 0 && tokens > 0 {
            result.first_token = sent.elapsed();
        }
        result.tokens += tokens;
        result.completed |= count(&lines, COMPLETED_MARK) > 0;
    }
    Ok(result)
}

fn count(text: &[u8], mark: &[u8]) -> u32 {
    text.split(|byte| *byte == b'\n')
        .filter(|line| line.windows(mark.len()).any(|window| window == mark))
        .count() as u32
}
