//! Paged reports: a report of many targets takes several datagrams.

use std::collections::HashMap;

use super::{Report, ReportPage, TargetLoad};
use crate::ids::Incarnation;

/// Upper bound on the pages of one report; rejects corrupt counts.
const MAX_PAGES: u32 = 1_000;

/// Pages of one report, by index.
#[derive(Debug)]
struct Pending {
    number: u64,
    pages: Vec<Option<Vec<TargetLoad>>>,
}

/// Reassembles reports from their pages. A report with a lost page is dropped; the previous one
/// stays in effect until the next.
#[derive(Debug, Default)]
pub struct ReportAssembler(HashMap<Incarnation, Pending>);

impl ReportAssembler {
    /// Adds a page. Returns the report if it is now complete.
    pub fn add(&mut self, page: ReportPage) -> Option<Report> {
        let ReportPage { run, number, .. } = page;
        if page.count > MAX_PAGES || page.index >= page.count {
            return None;
        }
        let is_older = |pending: &Pending| pending.number > number;
        if self.0.get(&run).is_some_and(is_older) {
            return None;
        }
        let new = || Pending {
            number,
            pages: vec![None; page.count as usize],
        };
        let pending = self.0.entry(run).or_insert_with(new);
        if pending.number < number || pending.pages.len() != page.count as usize {
            *pending = new();
        }
        pending.pages[page.index as usize] = Some(page.loads);
        if pending.pages.iter().any(Option::is_none) {
            return None;
        }
        let pages = self.0.remove(&run)?.pages;
        Some(Report {
            run,
            number,
            loads: pages.into_iter().flatten().flatten().collect(),
        })
    }

    /// Retains only the pages of boxes for which `is_known` returns true.
    pub fn retain(&mut self, is_known: impl Fn(Incarnation) -> bool) {
        self.0.retain(|run, _| is_known(*run));
    }
}
