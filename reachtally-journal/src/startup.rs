//! Reports how boxes proceed from their start to their first served request.

use std::collections::BTreeMap;

use crate::line::Line;

/// Milestones of a start, in the order in which a box usually reaches them.
const MILESTONES: [&str; 6] = [
    "source",
    "configuration",
    "targets",
    "confirmation",
    "readiness",
    "request",
];
/// Time between two rows of the timeline, in milliseconds.
const ROW_MS: u64 = 1000;

/// The last start of each box in a log.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Startups {
    boxes: BTreeMap<String, BoxStart>,
    /// Time of the last line, in Unix milliseconds.
    end_ms: u64,
}

/// A start of a box, in Unix milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct BoxStart {
    started_ms: u64,
    reached_ms: [Option<u64>; MILESTONES.len()],
}

impl BoxStart {
    /// Returns the index of the first milestone that the box had not reached at a time.
    fn awaited_at(&self, time_ms: u64) -> usize {
        let is_awaited = |reached: &Option<u64>| reached.is_none_or(|at| at > time_ms);
        let first = self.reached_ms.iter().position(is_awaited);
        first.unwrap_or(MILESTONES.len())
    }
}

/// Collects the last start of each box from the lines of a log. Lines that aren't JSON are ignored.
pub fn startups<'a>(log: impl IntoIterator<Item = &'a str>) -> Startups {
    let mut startups = Startups::default();
    for line in log.into_iter().filter_map(Line::parse) {
        startups.end_ms = startups.end_ms.max(line.time_ms);
        let name = line.text("box").to_owned();
        match line.text("event") {
            "start" => {
                let start = BoxStart {
                    started_ms: line.time_ms,
                    ..BoxStart::default()
                };
                startups.boxes.insert(name, start);
            }
            "startup" => {
                let reached = line.text("reached");
                let index = MILESTONES.iter().position(|known| *known == reached);
                if let Some(start) = startups.boxes.get_mut(&name)
                    && let Some(index) = index
                {
                    start.reached_ms[index] = Some(line.time_ms);
                }
            }
            _ => {}
        }
    }
    startups
}

impl std::fmt::Display for Startups {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "reached        boxes  median ms  longest ms  box")?;
        for (index, milestone) in MILESTONES.iter().enumerate() {
            self.write_milestone(f, index, milestone)?;
        }
        self.write_timeline(f)
    }
}

impl Startups {
    fn write_milestone(
        &self,
        f: &mut std::fmt::Formatter<'_>,
        index: usize,
        milestone: &str,
    ) -> std::fmt::Result {
        let took = self.boxes.iter().filter_map(|(name, start)| {
            let reached = start.reached_ms[index]?;
            Some((reached.saturating_sub(start.started_ms), name))
        });
        let mut took: Vec<(u64, &String)> = took.collect();
        took.sort_unstable();
        let count = format!("{}/{}", took.len(), self.boxes.len());
        let (Some((median, _)), Some((longest, slowest))) = (took.get(took.len() / 2), took.last())
        else {
            return writeln!(f, "{milestone:<13} {count:>6}");
        };
        writeln!(
            f,
            "{milestone:<13} {count:>6}  {median:>9}  {longest:>10}  {slowest}"
        )
    }

    /// Writes the number of boxes that await each milestone, from the first of these starts on, until nothing changes any more.
    fn write_timeline(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Some(first_ms) = self.boxes.values().map(|start| start.started_ms).min() else {
            return Ok(());
        };
        let reached = self.boxes.values().flat_map(|start| start.reached_ms);
        let last_ms = reached.flatten().max().unwrap_or(self.end_ms);
        writeln!(f, "boxes that await, by ms since the first start")?;
        write!(f, "{:>7}", "ms")?;
        for milestone in MILESTONES {
            write!(f, "  {milestone:>13}")?;
        }
        writeln!(f, "  {:>13}", "none")?;
        let mut time_ms = first_ms;
        loop {
            let mut counts = [0; MILESTONES.len() + 1];
            let started = self
                .boxes
                .values()
                .filter(|start| start.started_ms <= time_ms);
            for start in started {
                counts[start.awaited_at(time_ms)] += 1;
            }
            write!(f, "{:>7}", time_ms - first_ms)?;
            for count in counts {
                write!(f, "  {count:>13}")?;
            }
            writeln!(f)?;
            if time_ms >= last_ms {
                return Ok(());
            }
            time_ms += ROW_MS;
        }
    }
}
