//! Reporting limits to other boxes, and applying their reports.

use std::time::Duration;

use super::{LimitReport, LimitedTarget, ServiceDemand, StatedLimit};
use crate::forward::fleet::{Engine, Fleet};
use crate::time::Instant;

/// Time for which a change is repeated with each report, since datagrams are lost.
const CHANGE_REPEATED: Duration = Duration::from_millis(700);
/// Time for which the end of a limit stays in the pages of all limits.
const END_REPEATED: Duration = Duration::from_secs(10);

fn report(engine: &Engine, stated: StatedLimit, now: Instant) -> LimitReport {
    LimitReport {
        target: engine.entry.run(),
        limit: stated.limit,
        age: now.since(stated.at),
    }
}

/// Returns the limits that changed lately, the newest first, at most `most`.
pub fn changes(fleet: &Fleet, most: usize, now: Instant) -> Vec<LimitReport> {
    let stated = fleet.stated_limits();
    let mut changed: Vec<_> = stated
        .filter(|(_, _, changed_at)| now.since(*changed_at) < CHANGE_REPEATED)
        .collect();
    changed.sort_by_key(|(_, _, changed_at)| std::cmp::Reverse(*changed_at));
    changed.truncate(most);
    let each = changed.into_iter();
    each.map(|(engine, stated, _)| report(engine, stated, now))
        .collect()
}

/// Returns page `number` of all limits, wrapping around, with `most` limits each.
pub fn page(fleet: &Fleet, number: u64, most: usize, now: Instant) -> Vec<LimitReport> {
    let stated = fleet.stated_limits();
    let held: Vec<_> = stated
        .filter(|(_, stated, changed_at)| {
            stated.limit.is_some() || now.since(*changed_at) < END_REPEATED
        })
        .collect();
    let pages = held.len().div_ceil(most).max(1);
    let skipped = (number % pages as u64) as usize * most;
    let page = held.into_iter().skip(skipped).take(most);
    page.map(|(engine, stated, _)| report(engine, stated, now))
        .collect()
}

/// Applies the report of another box; returns whether the limit changed.
pub fn apply(fleet: &mut Fleet, report: &LimitReport, now: Instant) -> bool {
    let at = now.before(report.age);
    let limit = report.limit;
    let mut is_changed = false;
    fleet.note(&report.target, now, |notice| {
        is_changed = notice.state_limit(StatedLimit { limit, at }, now);
    });
    is_changed
}

/// Sets the number of unused permits in each demand.
pub fn note_held(demands: &mut [ServiceDemand], fleet: &Fleet, now: Instant) {
    for demand in demands {
        let targets = fleet.of_service(&demand.service);
        demand.held = targets.map(|(_, engine)| engine.permits.held(now)).sum();
    }
}

/// Returns the targets for which permits are issued.
pub fn limited_targets(fleet: &Fleet) -> Vec<LimitedTarget> {
    let stated = fleet.stated_limits();
    let limited = stated.filter_map(|(engine, stated, _)| {
        let limit = stated.limit?;
        engine.is_entry_point().then(|| LimitedTarget {
            target: engine.entry.run(),
            service: engine.entry.service.clone(),
            limit,
        })
    });
    limited.collect()
}
