//! Received loads and their age.

use std::collections::HashMap;

use super::{Load, REPORT_TTL, TargetLoad};
use crate::forward::fleet::TargetRun;
use crate::time::Instant;

/// The last received load of each target, with the time of receipt.
#[derive(Debug, Default)]
pub(super) struct ReceivedLoads(HashMap<TargetRun, (Load, Instant)>);

impl ReceivedLoads {
    pub fn update(&mut self, loads: Vec<TargetLoad>, now: Instant) {
        let loads = loads
            .into_iter()
            .map(|reported| (reported.target, reported.load));
        self.0
            .extend(loads.map(|(target, load)| (target, (load.bounded(), now))));
    }

    pub fn remove_expired(&mut self, now: Instant) {
        self.0.retain(|_, (_, at)| now.since(*at) < REPORT_TTL);
    }

    /// Returns the loads as of `now`.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = (&TargetRun, Load)> {
        let each = self.0.iter();
        each.map(move |(target, (load, at))| (target, load.aged(now.since(*at))))
    }
}
