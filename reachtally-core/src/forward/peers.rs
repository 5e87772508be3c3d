//! What the other boxes have on the targets, as they last told.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::forward::fleet::{Engine, Fleet};
use crate::ids::Incarnation;
use crate::time::Instant;

/// A box that has told nothing for this long is taken to have nothing on the targets: several reports
/// in a row are lost only with the box or its links.
pub const REPORT_LIFE: Duration = Duration::from_millis(1500);

/// Most boxes that one heard stands for; before the first reports nothing is known.
const MOST_UNHEARD: f64 = 4.0;

/// A box in the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its failure domain.
    pub domain: String,
    /// Its address.
    pub ip: IpAddr,
    /// Its run.
    pub run: Incarnation,
    /// Bandwidth of its link, in Mbit/s; 0 if it is not known.
    pub link_mbps: u32,
}

/// Requests of a box on one target.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerLoad {
    /// The run of the target.
    pub target: Arc<str>,
    /// Requests that take part there.
    pub running: u32,
    /// KV tokens that they hold on average while they run.
    pub tokens: u32,
    /// How much longer the target takes than it should, if the box asked it lately.
    pub pace: Option<f64>,
}

/// What a box tells of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerReport {
    /// Its run.
    pub run: Incarnation,
    /// Numbers its reports, so that a late one is not taken for the newest.
    pub number: u64,
    /// What it has on its targets.
    pub loads: Vec<PeerLoad>,
}

#[derive(Debug)]
struct Peer {
    number: u64,
    heard: Instant,
    loads: Vec<PeerLoad>,
}

/// The other boxes.
#[derive(Debug, Default)]
pub struct Peers {
    by_run: HashMap<Incarnation, Peer>,
}

impl Peers {
    /// Take in a report.
    pub fn hear(&mut self, report: PeerReport, now: Instant) {
        let known = self.by_run.get(&report.run);
        if known.is_some_and(|peer| peer.number >= report.number) {
            return;
        }
        let peer = Peer {
            number: report.number,
            heard: now,
            loads: report.loads,
        };
        self.by_run.insert(report.run, peer);
    }

    /// Forget boxes that have told nothing for [`REPORT_LIFE`], and sum up the others on the targets.
    pub fn sum_up(&mut self, fleet: &mut Fleet, now: Instant) {
        self.by_run
            .retain(|_, peer| now.since(peer.heard) < REPORT_LIFE);
        fleet.clear_elsewhere();
        for load in self.by_run.values().flat_map(|peer| &peer.loads) {
            let Some(engine) = fleet.find(&load.target).and_then(|key| fleet.get_mut(key)) else {
                continue;
            };
            engine.running_elsewhere += f64::from(load.running);
            engine.tokens_elsewhere += f64::from(load.tokens);
            let told = engine.pace_elsewhere.into_iter().chain(load.pace);
            engine.pace_elsewhere = told.max_by(f64::total_cmp);
        }
    }

    /// Boxes for each one that tells its load, of `boxes` boxes with this one.
    pub fn unheard(&self, boxes: u32) -> f64 {
        let others = f64::from(boxes.saturating_sub(1));
        (others / self.by_run.len().max(1) as f64).clamp(1.0, MOST_UNHEARD)
    }
}

/// What this box tells of itself.
pub fn own_report(run: Incarnation, number: u64, fleet: &Fleet, now: Instant) -> PeerReport {
    let is_told = |engine: &Engine| engine.running > 0 || engine.own_pace(now).is_some();
    let loads = fleet.iter().filter(|(_, engine)| is_told(engine));
    let loads = loads.map(|(_, engine)| PeerLoad {
        target: engine.entry.id.clone(),
        running: engine.running,
        tokens: engine.tokens as u32,
        pace: engine.own_pace(now),
    });
    PeerReport {
        run,
        number,
        loads: loads.collect(),
    }
}
