//! Which engines more requests came to than they had room for, and what was believed of them.

use std::collections::BTreeMap;
use std::fmt::{self, Formatter};

use crate::line::Line;
use crate::ranking::{ranked, total};

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

impl fmt::Display for Crowding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write_late_firsts(f, &self.late_firsts)?;
        write_refusals(f, &self.refusals)?;
        write_denials(f, &self.denials)
    }
}

fn write_late_firsts(f: &mut Formatter<'_>, late: &BTreeMap<String, LateFirsts>) -> fmt::Result {
    let requests = |of: &LateFirsts| of.requests;
    let all = total(late, requests);
    writeln!(f, "{all} late first events, by the first engine")?;
    for row in ranked(late, requests).iter().take(ENGINES_LISTED) {
        let (expected, took) = (shown(&row.of.expected_ms), shown(&row.of.took_ms));
        writeln!(f, "{row}  expected {expected} ms, took {took} ms")?;
    }
    Ok(())
}

fn write_refusals(f: &mut Formatter<'_>, refusals: &BTreeMap<String, Refusals>) -> fmt::Result {
    let sends = |of: &Refusals| of.sends;
    let all = total(refusals, sends);
    writeln!(f, "{all} sends refused for want of room, by engine")?;
    for row in ranked(refusals, sends).iter().take(ENGINES_LISTED) {
        let (layers, tokens) = (&row.of.layers, shown(&row.of.believed_tokens));
        writeln!(
            f,
            "{row}  layers {layers}, believed to hold {tokens} tokens"
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
