//! Exchange of rate limits with other boxes.

use std::time::Duration;

use super::{LimitReport, LimitedTarget, ServiceDemand, StatedLimit};
use crate::forward::fleet::{Engine, Fleet};
use crate::time::Instant;

/// Time for which each report repeats a change, since datagrams may be lost.
const CHANGE_REPEAT_TIME: Duration = Duration::from_millis(700);
/// Time for which the pages of all limits include a limit that has ended.
const END_REPEAT_TIME: Duration = Duration::from_secs(10);

fn report(engine: &Engine, stated: StatedLimit, now: Instant) -> LimitReport {
    LimitReport {
        target: engine.entry.run(),
        limit: stated.limit,
        age: now.since(stated.at),
    }
}

/// Returns at most `max` limits that changed recently, newest first.
pub fn changes(fleet: &Fleet, max: usize, now: Instant) -> Vec<LimitReport> {
    let stated = fleet.stated_limits();
    let mut changed: Vec<_> = stated
        .filter(|(_, _, changed_at)| now.since(*changed_at) < CHANGE_REPEAT_TIME)
        .collect();
    changed.sort_by_key(|(_, _, changed_at)| std::cmp::Reverse(*changed_at));
    changed.truncate(max);
    let each = changed.into_iter();
    each.map(|(engine, stated, _)| report(engine, stated, now))
        .collect()
}

/// Returns page `number`, modulo the number of pages, of all limits, with `max` limits per page.
pub fn page(fleet: &Fleet, number: u64, max: usize, now: Instant) -> Vec<LimitReport> {
    let stated = fleet.stated_limits();
    let held: Vec<_> = stated
        .filter(|(_, stated, changed_at)| {
            stated.limit.is_some() || now.since(*changed_at) < END_REPEAT_TIME
        })
        .collect();
    let pages = held.len().div_ceil(max).max(1);
    let skipped = (number % pages as u64) as usize * max;
    let page = held.into_iter().skip(skipped).take(max);
    page.map(|(engine, stated, _)| report(engine, stated, now))
        .collect()
}

/// Applies the report of another box. Returns whether the limit changed.
pub fn apply(fleet: &mut Fleet, report: &LimitReport, now: Instant) -> bool {
    let at = now.before(report.age);
    let limit = report.limit;
    let mut is_changed = false;
    fleet.update_notice(&report.target, at, |notice| {
        is_changed = notice.state_limit(StatedLimit { limit, at }, now);
    });
    is_changed
}

/// Sets the number of unused permits in each demand.
pub fn set_held_permits(demands: &mut [ServiceDemand], fleet: &Fleet, now: Instant) {
    for demand in demands {
        let targets = fleet.of_service(&demand.service);
        demand.held = targets.map(|(_, engine)| engine.permits.held(now)).sum();
    }
}

/// Returns the targets for which permits are allocated.
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
