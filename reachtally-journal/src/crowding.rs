//! Which engines more requests came to than they had room for, and what was believed of them.

use std::collections::BTreeMap;
use std::fmt::{self, Formatter};

use crate::line::Line;

/// Engines that are listed of each kind; the others only count.
const ENGINES_LISTED: usize = 10;

/// Requests whose first event was late, by the first engine of their chain.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LateFirsts {
    /// How many.
    pub requests: usize,
    /// Expected times to the first event, in ms.
    pub expected_ms: Vec<u64>,
    /// Times that it took, in ms.
    pub took_ms: Vec<u64>,
}

/// Sends that an engine refused for want of room.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Refusals {
    /// How many.
    pub sends: usize,
    /// The layers that it held, as text.
    pub layers: String,
    /// KV tokens that the box which sent it believed to be held there, by this box and by all others.
    pub believed_tokens: Vec<u64>,
}

/// Second sends that the shared budget forbade.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Denials {
    /// By the number of boxes that was believed to share the budget.
    pub by_boxes: BTreeMap<u64, usize>,
}

/// Where requests crowded.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Crowding {
    /// By the first engine.
    pub late_firsts: BTreeMap<String, LateFirsts>,
    /// By the engine that refused.
    pub refusals: BTreeMap<String, Refusals>,
    /// Of all services.
    pub denials: Denials,
}

/// Find where the requests of a log crowded. Lines that are no JSON count for nothing.
pub fn crowding<'a>(log: impl IntoIterator<Item = &'a str>) -> Crowding {
    let mut crowding = Crowding::default();
    for line in log.into_iter().filter_map(Line::parse) {
        match line.text("event") {
            "answered" if line.is_true("first_late") => crowding.late_first(&line),
            "target-refused" => crowding.refusal(&line),
            "budget" => crowding.denial(&line),
            _ => {}
        }
    }
    crowding
}

impl Crowding {
    fn late_first(&mut self, line: &Line) {
        let first = line.text("targets").split(',').next().unwrap_or_default();
        let late = self.late_firsts.entry(first.to_owned()).or_default();
        late.requests += 1;
        late.expected_ms.extend(line.number("expected_first_ms"));
        late.took_ms.extend(line.number("first_ms"));
    }

    fn refusal(&mut self, line: &Line) {
        let refusals = self.refusals.entry(line.text("target").to_owned());
        let refusals = refusals.or_default();
        refusals.sends += 1;
        refusals.layers = line.text("layers").to_owned();
        let here = line.number("tokens");
        let elsewhere = line.number("tokens_elsewhere");
        let believed = here.zip(elsewhere);
        refusals
            .believed_tokens
            .extend(believed.map(|(here, elsewhere)| here.saturating_add(elsewhere)));
    }

    fn denial(&mut self, line: &Line) {
        let boxes = line.number("boxes").unwrap_or_default();
        *self.denials.by_boxes.entry(boxes).or_default() += 1;
    }
}

/// The median; `None` of nothing.
fn median(figures: &[u64]) -> Option<u64> {
    let mut sorted = figures.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied()
}

/// A median as text; a dash where no line told the figure.
fn shown(figures: &[u64]) -> String {
    median(figures).map_or("-".to_owned(), |figure| figure.to_string())
}

/// The entries with the highest counts, each with its share of all in a hundred.
fn busiest<T>(
    by_engine: &BTreeMap<String, T>,
    count: impl Fn(&T) -> usize,
) -> Vec<(&str, &T, usize, f64)> {
    let all: usize = by_engine.values().map(&count).sum();
    let share = |count: usize| count as f64 * 100.0 / all.max(1) as f64;
    let counted = by_engine.iter().map(|(id, of)| (&**id, of, count(of)));
    let mut rows: Vec<(&str, &T, usize, f64)> = counted
        .map(|(id, of, count)| (id, of, count, share(count)))
        .collect();
    rows.sort_by(|a, b| b.2.cmp(&a.2).then(a.0.cmp(b.0)));
    rows.truncate(ENGINES_LISTED);
    rows
}

impl fmt::Display for Crowding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write_late_firsts(f, &self.late_firsts)?;
        write_refusals(f, &self.refusals)?;
        write_denials(f, &self.denials)
    }
}

fn write_late_firsts(f: &mut Formatter<'_>, late: &BTreeMap<String, LateFirsts>) -> fmt::Result {
    let requests = |of: &LateFirsts| of.requests;
    let all: usize = late.values().map(requests).sum();
    writeln!(f, "{all} late first events, by the first engine")?;
    for (id, of, count, share) in busiest(late, requests) {
        let (expected, took) = (shown(&of.expected_ms), shown(&of.took_ms));
        writeln!(
            f,
            "{count:>7}  {share:>5.1}%  {id}  expected {expected} ms, took {took} ms"
        )?;
    }
    Ok(())
}

fn write_refusals(f: &mut Formatter<'_>, refusals: &BTreeMap<String, Refusals>) -> fmt::Result {
    let sends = |of: &Refusals| of.sends;
    let all: usize = refusals.values().map(sends).sum();
    writeln!(f, "{all} sends refused for want of room, by engine")?;
    for (id, of, count, share) in busiest(refusals, sends) {
        let (layers, tokens) = (&of.layers, shown(&of.believed_tokens));
        writeln!(
            f,
            "{count:>7}  {share:>5.1}%  {id}  layers {layers}, believed to hold {tokens} tokens"
        )?;
    }
    Ok(())
}

fn write_denials(f: &mut Formatter<'_>, denials: &Denials) -> fmt::Result {
    let all: usize = denials.by_boxes.values().sum();
    writeln!(f, "{all} second sends denied, by the boxes counted")?;
    for (boxes, count) in &denials.by_boxes {
        writeln!(f, "{count:>7}  {boxes} boxes")?;
    }
    Ok(())
}
