//! The loads of other boxes as known to this box, and the report of its own.

use std::collections::HashSet;

use super::received::ReceivedLoads;
use super::{Load, Others, QueueReport, Report, TargetLoad};
use crate::forward::count::BoxCount;
use crate::forward::fleet::{Engine, Fleet, StatedQueue, TargetRun};
use crate::ids::Incarnation;
use crate::time::Instant;

/// The reported loads of other boxes.
#[derive(Debug, Default)]
pub struct RemoteLoads {
    received: ReceivedLoads,
    count: BoxCount,
    /// Number of failure domains in the last message with box counts.
    domains: usize,
}

impl RemoteLoads {
    /// Receives a message of a collector and updates the targets.
    pub fn receive(&mut self, others: Others, fleet: &mut Fleet, now: Instant) {
        for reported in &others.loads {
            set_remote_load(fleet, &reported.target, &reported.load.bounded(), now);
        }
        for reported in &others.counts {
            self.count.receive(reported, now);
        }
        if !others.counts.is_empty() {
            self.domains = others.counts.len();
        }
        self.received.update(others.loads, now);
    }

    /// Removes expired loads, also from the targets.
    pub fn remove_expired(&mut self, fleet: &mut Fleet, now: Instant) {
        self.received.remove_expired(now);
        self.count.remove_expired(now);
        fleet.clear_remote();
        for (target, load) in self.received.iter(now) {
            set_remote_load(fleet, target, &load, now);
        }
    }

    /// Number of failure domains whose requests are included in the loads; 0 before the first
    /// count.
    pub fn reported_domains(&self) -> usize {
        self.domains
    }

    /// Returns the number of boxes in all `domains` failure domains, including this one; `None`
    /// before the first count. See [`BoxCount::boxes`].
    pub fn boxes(&self, domains: usize) -> Option<u32> {
        self.count.boxes(domains)
    }
}

/// Sets the remote load of a target.
fn set_remote_load(fleet: &mut Fleet, target: &TargetRun, load: &Load, now: Instant) {
    if let Some(engine) = fleet.find_run(target).and_then(|key| fleet.get_mut(key)) {
        engine.remote_running = f64::from(load.running);
        engine.remote_tokens = f64::from(load.tokens);
        engine.remote_prefill = f64::from(load.reading);
        engine.remote_slowdown = load.pace;
        engine.remote_unresponsive = load.silent;
        if let Some(queue) = load.queue {
            engine.queues.report(StatedQueue {
                waiting: queue.waiting,
                at: now.before(queue.age),
            });
        }
    }
}

/// Returns the report of this box's loads.
///
/// Targets that accept no connections are reported as unresponsive only if the box reaches another
/// target of their service. Otherwise it may be the box that is cut off.
pub fn own_report(run: Incarnation, number: u64, fleet: &Fleet, now: Instant) -> Report {
    let reached: HashSet<&str> = fleet
        .iter()
        .filter(|(_, engine)| !engine.is_leaving() && !engine.health.is_dead())
        .map(|(_, engine)| &*engine.entry.service)
        .collect();
    let is_unresponsive = |engine: &Engine| {
        engine.health.is_individually_unresponsive() && reached.contains(&*engine.entry.service)
    };
    let load = |engine: &Engine| Load {
        running: engine.running,
        tokens: engine.tokens as u32,
        reading: engine.reading as u32,
        pace: engine.own_slowdown(now),
        silent: u32::from(is_unresponsive(engine)),
        queue: engine.queues.own(now).map(|stated| QueueReport {
            waiting: stated.waiting,
            age: now.since(stated.at),
        }),
    };
    let loads = fleet.iter().map(|(_, engine)| TargetLoad {
        target: engine.entry.run(),
        load: load(engine),
    });
    Report {
        run,
        number,
        loads: loads.filter(|reported| !reported.load.is_zero()).collect(),
    }
}
