//! Learns from refusals how far requests may overbook the estimated KV capacity of paths.
//!
//! Engines know their free capacity exactly, while a box only estimates it. If engines refuse
//! nothing, overbooking serves more callers, since first engines queue the excess briefly. If
//! engines refuse requests, each refused send costs a retry regardless of the rank of its request,
//! so admission control must start earlier.

use super::Rate;
use crate::time::Instant;

/// Maximum utilization of the estimated capacity, used while engines refuse little.
const MAX_UTILIZATION: f64 = 1.25;
/// Maximum utilization of the estimated capacity while engines refuse much.
const MIN_UTILIZATION: f64 = 1.0;
/// Fraction of refused sends up to which overbooking is not reduced.
const TOLERATED_REFUSALS: f64 = 0.05;
/// Fraction of refused sends from which nothing is overbooked.
const EXCESSIVE_REFUSALS: f64 = 0.3;
/// Number of accepted sends added to the recent ones as a prior, so that a single refusal has
/// little effect.
const PRIOR_SENDS: f64 = 3.0;

/// Rate of recent sends to the engines of a service, and of those refused for lack of capacity.
#[derive(Debug, Clone, Copy, Default)]
pub struct OverbookingLimit {
    sent: Rate,
    refused: Rate,
}

impl OverbookingLimit {
    /// Records a send.
    pub fn sent(&mut self, now: Instant) {
        self.sent.count(now);
    }

    /// Records a send that an engine refused for lack of capacity.
    pub fn refused(&mut self, now: Instant) {
        self.refused.count(now);
    }

    /// Returns the maximum utilization of the estimated capacity of a path.
    pub fn bound(&self, now: Instant) -> f64 {
        let refused = self.refused.at(now) / (self.sent.at(now) + PRIOR_SENDS);
        let excess = (refused - TOLERATED_REFUSALS) / (EXCESSIVE_REFUSALS - TOLERATED_REFUSALS);
        MAX_UTILIZATION - (MAX_UTILIZATION - MIN_UTILIZATION) * excess.clamp(0.0, 1.0)
    }
}
