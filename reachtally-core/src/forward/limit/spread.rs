//! What a box reports of limits to others, and what it takes in.

use std::time::Duration;

use super::{LimitReport, LimitedTarget, ServiceDemand, StatedLimit};
use crate::forward::fleet::{Engine, Fleet};
use crate::time::Instant;

/// How long a change is repeated with each report, since datagrams are lost.
const CHANGE_REPEATED: Duration = Duration::from_millis(700);
/// How long the end of a limit is part of the pages that repair what was lost.
const END_REPEATED: Duration = Duration::from_secs(10);

fn report(engine: &Engine, stated: StatedLimit, now: Instant) -> LimitReport {
    LimitReport {
        target: engine.entry.run(),
        limit: stated.limit,
        age: now.since(stated.at),
    }
}

/// Limits that changed lately, the newest first; `most` at most.
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

/// Page `number` of all limits, `most` on each; counted round and round.
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

/// Takes in what another box reported of a limit; yields whether the limit changed.
pub fn hear(fleet: &mut Fleet, report: &LimitReport, now: Instant) -> bool {
    let at = now.before(report.age);
    let limit = report.limit;
    let mut is_changed = false;
    fleet.note(&report.target, now, |notice| {
        is_changed = notice.state_limit(StatedLimit { limit, at }, now);
    });
    is_changed
}

/// Notes with each demand how many permits are held for its service.
pub fn note_held(demands: &mut [ServiceDemand], fleet: &Fleet, now: Instant) {
    for demand in demands {
        let targets = fleet.of_service(&demand.service);
        demand.held = targets.map(|(_, engine)| engine.permits.held(now)).sum();
    }
}

/// Targets for which permits are issued.
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
