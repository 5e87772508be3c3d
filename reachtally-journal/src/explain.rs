//! Follows one request through the logs of several boxes.

use serde_json::Value;

use crate::line::Line;

/// Lines about targets and dependencies are shown from this long before the request's first line, in
/// milliseconds: what a box believed then is usually a few seconds old.
const BEFORE_MS: u64 = 5_000;
/// Events that change what a box believes; they are shown beside the request's own lines.
const BELIEFS: [&str; 13] = [
    "config",
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
/// Fields that have a column of their own, or say nothing here.
const SHOWN_APART: [&str; 7] = ["t", "up", "box", "level", "event", "id", "msg"];

/// Why a request can't be explained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No line names it: it was a success that was not sampled, or the logs are not those of its time.
    NotFound {
        /// Lines read.
        lines: usize,
        /// Lines that were no JSON.
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

fn is_belief(line: &Line) -> bool {
    BELIEFS.contains(&line.text("event"))
}

/// The lines that tell of the request `id`, in the order of their time, with the changes of belief of
/// the boxes that handled it.
///
/// # Errors
/// [`Error::NotFound`].
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
    lines.sort_by_key(|line| line.at);
    let own = |line: &&Line| line.text("id") == id;
    let times: Vec<u64> = lines.iter().filter(own).map(|line| line.at).collect();
    let (Some(first), Some(last)) = (times.first(), times.last()) else {
        return Err(Error::NotFound {
            lines: read,
            malformed,
        });
    };
    let boxes: Vec<&str> = lines
        .iter()
        .filter(own)
        .map(|line| line.text("box"))
        .collect();
    let during = first.saturating_sub(BEFORE_MS)..=*last;
    let shown = lines.iter().filter(|line| {
        let is_context = is_belief(line) && boxes.contains(&line.text("box"));
        own(line) || (is_context && during.contains(&line.at))
    });
    Ok(shown.map(|line| render(line, *first, id)).collect())
}

fn render(line: &Line, first: u64, id: &str) -> String {
    let offset = line.at as i64 - first as i64;
    let mark = if line.text("id") == id { '*' } else { ' ' };
    let details = line
        .fields
        .iter()
        .filter(|(name, _)| !SHOWN_APART.contains(&name.as_str()));
    let details: Vec<String> = details
        .map(|(name, value)| format!("{name}={}", plain(value)))
        .collect();
    format!(
        "{mark} {offset:>+7} ms  {:<16} {:<14} {}  [{}]\n",
        line.text("box"),
        line.text("event"),
        line.text("msg"),
        details.join(" ")
    )
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
