//! Counts requests that were not served in time by their cause.

use std::collections::{BTreeMap, HashMap};

use crate::line::Line;
use crate::ranking::{ranked, total};

/// Events that can delay a request or make it fail before its final event.
const INCIDENT_EVENTS: [&str; 8] = [
    "admission",
    "no-path",
    "no-permit",
    "not-run",
    "lost",
    "stage-dead",
    "repaired",
    "broke",
];

/// Requests that were not served in time, counted by cause.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Losses {
    /// Number of requests by their outcome and the first incident before it.
    pub counts: BTreeMap<String, usize>,
}

impl std::fmt::Display for Losses {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for row in ranked(&self.counts, |count| *count) {
            writeln!(f, "{row}")?;
        }
        let all = total(&self.counts, |count| *count);
        writeln!(f, "{all:>7}  100.0%  requests that were not served in time")
    }
}

/// Counts the requests of a log that were not served in time by their outcome and first incident. Requests
/// that were served in time and lines that aren't JSON are ignored.
pub fn losses<'a>(log: impl IntoIterator<Item = &'a str>) -> Losses {
    let mut lines: Vec<Line> = log.into_iter().filter_map(Line::parse).collect();
    lines.sort_by_key(|line| line.time_ms);
    let mut first_incidents: HashMap<String, String> = HashMap::new();
    let mut losses = Losses::default();
    for line in &lines {
        let id = line.text("id");
        if id.is_empty() {
            continue;
        }
        if INCIDENT_EVENTS.contains(&line.text("event")) {
            let incident = || incident_label(line);
            first_incidents
                .entry(id.to_owned())
                .or_insert_with(incident);
            continue;
        }
        let Some(outcome) = outcome(line) else {
            continue;
        };
        let label = match first_incidents.remove(id) {
            Some(incident) => format!("{outcome}, first {incident}"),
            None => outcome,
        };
        *losses.counts.entry(label).or_default() += 1;
    }
    losses
}

fn incident_label(line: &Line) -> String {
    match line.text("event") {
        "no-path" => format!("no path ({})", line.text("lacks")),
        "admission" if line.text("verdict") == "refused" => {
            let rank = line.number("rank").unwrap_or_default();
            format!("not admitted (rank {rank})")
        }
        "admission" => "waited for room in the box".to_owned(),
        "no-permit" => "rate limits of targets".to_owned(),
        "not-run" => "turned away by an engine".to_owned(),
        "lost" => "an answer was lost".to_owned(),
        "stage-dead" => "an engine of the stream died".to_owned(),
        "repaired" => "the path of the stream was repaired".to_owned(),
        _ => "the stream broke off".to_owned(),
    }
}

/// Describes the outcome of a request that was not served in time; `None` for all other lines.
fn outcome(line: &Line) -> Option<String> {
    let why = line.text("why");
    match line.text("event") {
        "refused" | "body-refused" => Some(format!("refused ({why})")),
        "unknown" => Some(format!("failed ({why})")),
        "cut" => Some(format!("cut ({why})")),
        "slow-reader" => Some(format!("cut off as a slow reader ({why})")),
        "answered" if line.is_true("first_late") => Some("late with the first event".to_owned()),
        "answered" if line.is_true("late") => Some("late between events".to_owned()),
        _ => None,
    }
}
