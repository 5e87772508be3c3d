//! What a box knows of the others, and what it reports of itself.

use super::told::Told;
use super::{Load, Others, Report, TargetLoad};
use crate::forward::count::BoxCount;
use crate::forward::fleet::{Engine, Fleet, TargetRun};
use crate::ids::Incarnation;
use crate::time::Instant;

/// What a box knows of the other boxes' requests.
#[derive(Debug, Default)]
pub struct Elsewhere {
    told: Told,
    count: BoxCount,
    /// Failure domains that the last message with counts told of.
    heard: usize,
}

impl Elsewhere {
    /// Take in what a collector told, and put it on the targets.
    pub fn hear(&mut self, others: Others, fleet: &mut Fleet, now: Instant) {
        for told in &others.loads {
            put(fleet, &told.target, &told.load.bounded());
        }
        for told in &others.counts {
            self.count.hear(told, now);
        }
        if !others.counts.is_empty() {
            self.heard = others.counts.len();
        }
        self.told.hear(others.loads, now);
    }

    /// Forget what is old, also on the targets.
    pub fn forget_old(&mut self, fleet: &mut Fleet, now: Instant) {
        self.told.forget_old(now);
        self.count.forget_old(now);
        fleet.clear_elsewhere();
        for (target, load) in self.told.iter() {
            put(fleet, target, load);
        }
    }

    /// Failure domains whose requests are in what was told; 0 before the first count.
    pub fn domains_heard(&self) -> usize {
        self.heard
    }

    /// Boxes in all `domains` failure domains, this one included; `None` before the first count. See [`BoxCount::boxes`].
    pub fn boxes(&self, domains: usize) -> Option<u32> {
        self.count.boxes(domains)
    }
}

/// Note on a target what other boxes have there.
fn put(fleet: &mut Fleet, target: &TargetRun, load: &Load) {
    if let Some(engine) = fleet.find_run(target).and_then(|key| fleet.get_mut(key)) {
        engine.running_elsewhere = f64::from(load.running);
        engine.tokens_elsewhere = f64::from(load.tokens);
        engine.reading_elsewhere = f64::from(load.reading);
        engine.pace_elsewhere = load.pace;
        engine.silent_elsewhere = load.silent;
    }
}

/// What this box has on its targets.
pub fn own_report(run: Incarnation, number: u64, fleet: &Fleet, now: Instant) -> Report {
    let load = |engine: &Engine| Load {
        running: engine.running,
        tokens: engine.tokens as u32,
        reading: engine.reading as u32,
        pace: engine.own_pace(now),
        silent: u32::from(engine.health.is_silent()),
    };
    let loads = fleet.iter().map(|(_, engine)| TargetLoad {
        target: engine.entry.run(),
        load: load(engine),
    });
    Report {
        run,
        number,
        loads: loads.filter(|told| !told.load.is_nothing()).collect(),
    }
}
