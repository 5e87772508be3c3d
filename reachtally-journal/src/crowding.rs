//! Reports engines that received more requests than they had capacity for, with the load that the routers
//! estimated for them.

use std::collections::BTreeMap;
use std::fmt::{self, Formatter};

use crate::line::Line;
use crate::ranking::{ranked, total};

/// Maximum number of engines listed per section. The rest only count towards its total.
const ENGINES_LISTED: usize = 10;

/// Requests with a late first event that share the first engine of their chain.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LateFirstEvents {
    /// Number of requests.
    pub requests: usize,
    /// Expected time to the first event of each request, in ms.
    pub expected_ms: Vec<u64>,
    /// Actual time to the first event of each request, in ms.
    pub actual_ms: Vec<u64>,
}

/// Sends that an engine refused for lack of capacity.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Refusals {
    /// Number of refused sends.
    pub sends: usize,
    /// The engine's layer range, as logged.
    pub layers: String,
    /// For each send, the KV tokens that the sending box estimated the engine to hold, for its own requests and
    /// for those of all other boxes.
    pub estimated_tokens: Vec<u64>,
}

/// Second sends denied by the shared budget.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct BudgetDenials {
    /// Number of denials by the number of boxes that the sender assumed to share the budget.
    pub by_boxes: BTreeMap<u64, usize>,
}

/// Events of a log that point to overloaded engines.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Crowding {
    /// Late first events by the first engine of the chain.
    pub late_first_events: BTreeMap<String, LateFirstEvents>,
    /// Refused sends by the refusing engine.
    pub refusals: BTreeMap<String, Refusals>,
    /// Budget denials of all services.
    pub denials: BudgetDenials,
}

/// Collects late first events, refused sends and budget denials from a log. Lines that aren't JSON are ignored.
pub fn crowding<'a>(log: impl IntoIterator<Item = &'a str>) -> Crowding {
    let mut crowding = Crowding::default();
    for line in log.into_iter().filter_map(Line::parse) {
        match line.text("event") {
            "answered" if line.is_true("first_late") => crowding.record_late_first(&line),
            "target-refused" => crowding.record_refusal(&line),
            "budget" => crowding.record_denial(&line),
            _ => {}
        }
    }
    crowding
}

impl Crowding {
    fn record_late_first(&mut self, line: &Line) {
        let first = line.text("targets").split(',').next().unwrap_or_default();
        let late = self.late_first_events.entry(first.to_owned()).or_default();
        late.requests += 1;
        late.expected_ms.extend(line.number("expected_first_ms"));
        late.actual_ms.extend(line.number("first_ms"));
    }

    fn record_refusal(&mut self, line: &Line) {
        let refusals = self.refusals.entry(line.text("target").to_owned());
        let refusals = refusals.or_default();
        refusals.sends += 1;
        refusals.layers = line.text("layers").to_owned();
        let local_tokens = line.number("tokens");
        let remote_tokens = line.number("tokens_elsewhere");
        let estimates = local_tokens.zip(remote_tokens);
        refusals.estimated_tokens.extend(
            estimates
                .map(|(local_tokens, remote_tokens)| local_tokens.saturating_add(remote_tokens)),
        );
    }

    fn record_denial(&mut self, line: &Line) {
        let boxes = line.number("boxes").unwrap_or_default();
        *self.denials.by_boxes.entry(boxes).or_default() += 1;
    }
}

/// Returns the median, or `None` if there are no samples.
fn median(samples: &[u64]) -> Option<u64> {
    let mut sorted = samples.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied()
}

/// Formats the median, or a dash if no line had the value.
fn median_text(samples: &[u64]) -> String {
    median(samples).map_or("-".to_owned(), |value| value.to_string())
}

impl fmt::Display for Crowding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write_late_first_events(f, &self.late_first_events)?;
        write_refusals(f, &self.refusals)?;
        write_denials(f, &self.denials)
    }
}

fn write_late_first_events(
    f: &mut Formatter<'_>,
    late: &BTreeMap<String, LateFirstEvents>,
) -> fmt::Result {
    let requests = |entry: &LateFirstEvents| entry.requests;
    let all = total(late, requests);
    writeln!(f, "{all} late first events, by the first engine")?;
    for row in ranked(late, requests).iter().take(ENGINES_LISTED) {
        let (expected, actual) = (
            median_text(&row.entry.expected_ms),
            median_text(&row.entry.actual_ms),
        );
        writeln!(f, "{row}  expected {expected} ms, took {actual} ms")?;
    }
    Ok(())
}

fn write_refusals(f: &mut Formatter<'_>, refusals: &BTreeMap<String, Refusals>) -> fmt::Result {
    let sends = |entry: &Refusals| entry.sends;
    let all = total(refusals, sends);
    writeln!(f, "{all} sends refused for want of room, by engine")?;
    for row in ranked(refusals, sends).iter().take(ENGINES_LISTED) {
        let (layers, tokens) = (&row.entry.layers, median_text(&row.entry.estimated_tokens));
        writeln!(
            f,
            "{row}  layers {layers}, believed to hold {tokens} tokens"
        )?;
    }
    Ok(())
}

fn write_denials(f: &mut Formatter<'_>, denials: &BudgetDenials) -> fmt::Result {
    let all: usize = denials.by_boxes.values().sum();
    writeln!(f, "{all} second sends denied, by the boxes counted")?;
    for (boxes, count) in &denials.by_boxes {
        writeln!(f, "{count:>7}  {boxes} boxes")?;
    }
    Ok(())
}
