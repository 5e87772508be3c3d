//! Traces one request through the logs of several boxes.

use serde_json::Value;

use crate::line::Line;

/// How long before the request's first line state events are included, in milliseconds. The state that a
/// box acts on is usually a few seconds old.
const CONTEXT_MS: u64 = 5_000;
/// Events that change a box's view of targets, dependencies or configuration. They are shown as context
/// of the request's own lines.
const STATE_EVENTS: [&str; 16] = [
    "config",
    "config-confirmed",
    "reads-store",
    "domain",
    "lost-dependency",
    "regained",
    "ready",
    "source-lost",
    "steward",
    "target",
    "targets",
    "target-back",
    "target-dead",
    "target-failed",
    "target-gone",
    "dropped",
];
/// Fields left out of the details: they have their own column or are not relevant here.
const OMITTED_FIELDS: [&str; 7] = ["t", "up", "box", "level", "event", "id", "msg"];

/// Why a request can't be explained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No line has the request's id: it succeeded and was not sampled, or the logs cover another period.
    NotFound {
        /// Number of lines read.
        lines: usize,
        /// Number of lines that could not be decoded as JSON.
        malformed: usize,
    },
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Error::NotFound { lines, malformed } = self;
        write!(
            f,
            "no line of {lines} names the request ({malformed} were no JSON)"
        )
    }
}

impl std::error::Error for Error {}

fn is_state_event(line: &Line) -> bool {
    STATE_EVENTS.contains(&line.text("event"))
}

/// Returns the log lines of the request `id` in chronological order, together with state events of the
/// boxes that handled it.
///
/// # Errors
/// [`Error::NotFound`] if no line has this id.
pub fn explain<'a>(log: impl IntoIterator<Item = &'a str>, id: &str) -> Result<String, Error> {
    let mut lines = Vec::new();
    let mut read = 0;
    let mut malformed = 0;
    for text in log {
        read += 1;
        match Line::parse(text) {
            Some(line) => lines.push(line),
            None => malformed += 1,
        }
    }
    lines.sort_by_key(|line| line.time_ms);
    let is_own = |line: &&Line| line.text("id") == id;
    let times: Vec<u64> = lines
        .iter()
        .filter(is_own)
        .map(|line| line.time_ms)
        .collect();
    let (Some(first), Some(last)) = (times.first(), times.last()) else {
        return Err(Error::NotFound {
            lines: read,
            malformed,
        });
    };
    let boxes: Vec<&str> = lines
        .iter()
        .filter(is_own)
        .map(|line| line.text("box"))
        .collect();
    let during = first.saturating_sub(CONTEXT_MS)..=*last;
    let selected = lines.iter().filter(|line| {
        let is_context = is_state_event(line) && boxes.contains(&line.text("box"));
        is_own(line) || (is_context && during.contains(&line.time_ms))
    });
    Ok(selected.map(|line| render(line, *first, id)).collect())
}

fn render(line: &Line, first: u64, id: &str) -> String {
    let offset = line.time_ms as i64 - first as i64;
    let mark = if line.text("id") == id { '*' } else { ' ' };
    let details = line
        .fields
        .iter()
        .filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()));
    let details: Vec<String> = details
        .map(|(name, value)| format!("{name}={}", value_text(value)))
        .collect();
    format!(
        "{mark} {offset:>+7} ms  {:<16} {:<14} {}  [{}]\n",
        line.text("box"),
        line.text("event"),
        line.text("msg"),
        details.join(" ")
    )
}

fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
