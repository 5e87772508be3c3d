//! How far requests may book the calculated room of paths, learned from what engines refuse.
//!
//! Engines know their room exactly, a box only calculates it. Where nothing is refused, booking beyond the room serves more callers, since
//! first engines queue the excess for a moment. Where engines refuse, each refused send costs a retry whatever the rank of its request, so
//! that admission has to begin earlier.

use super::Rate;
use crate::time::Instant;

/// Part of the calculated room that may be booked where engines refuse little.
const MOST_BOOKED: f64 = 1.25;
/// The same where engines refuse much.
const LEAST_BOOKED: f64 = 1.0;
/// Fraction of refused sends up to which the most is booked.
const TOLERATED: f64 = 0.05;
/// Fraction of refused sends from which the least is booked.
const EXCESSIVE: f64 = 0.3;
/// Sends without a refusal that count beside the recent ones, so that a single refusal says little.
const PRIOR_SENDS: f64 = 3.0;

/// Recent sends to the engines of a service, and how many of them were refused for want of room.
#[derive(Debug, Clone, Copy, Default)]
pub struct Booking {
    sent: Rate,
    refused: Rate,
}

impl Booking {
    /// Counts a send.
    pub fn sent(&mut self, now: Instant) {
        self.sent.count(now);
    }

    /// Counts a send that an engine refused for want of room.
    pub fn refused(&mut self, now: Instant) {
        self.refused.count(now);
    }

    /// Part of the calculated room of a path that may be booked.
    pub fn bound(&self, now: Instant) -> f64 {
        let refused = self.refused.at(now) / (self.sent.at(now) + PRIOR_SENDS);
        let excess = (refused - TOLERATED) / (EXCESSIVE - TOLERATED);
        MOST_BOOKED - (MOST_BOOKED - LEAST_BOOKED) * excess.clamp(0.0, 1.0)
    }
}
