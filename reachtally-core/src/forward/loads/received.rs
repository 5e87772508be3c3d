//! Loads that were received, with their age.

use std::collections::HashMap;

use super::{Load, REPORT_LIFE, TargetLoad};
use crate::forward::fleet::TargetRun;
use crate::time::Instant;

/// The last load received of each target, and when.
#[derive(Debug, Default)]
pub(super) struct Received(HashMap<TargetRun, (Load, Instant)>);

impl Received {
    pub fn hear(&mut self, loads: Vec<TargetLoad>, now: Instant) {
        let loads = loads.into_iter().map(|told| (told.target, told.load));
        self.0
            .extend(loads.map(|(target, load)| (target, (load.bounded(), now))));
    }

    pub fn remove_expired(&mut self, now: Instant) {
        self.0.retain(|_, (_, at)| now.since(*at) < REPORT_LIFE);
    }

    /// Returns the loads as of `now`.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = (&TargetRun, Load)> {
        let each = self.0.iter();
        each.map(move |(target, (load, at))| (target, load.aged(now.since(*at))))
    }
}
