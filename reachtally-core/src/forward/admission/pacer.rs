//! Paces the admission of requests to a service that is nearly full.
//!
//! A box does not know what other boxes have admitted since their last reports. If all boxes
//! admitted every request until outdated numbers show the limit as reached, together they would
//! exceed it by far and then admit nothing. Near the limit, each box therefore admits at a rate:
//! the rate at which its own requests would end at full utilization, plus its share of the free
//! capacity spread over the age of the load information.

use std::time::Duration;

use super::{MAX_GROWTH, Rate};
use crate::time::Instant;

/// Time for which unused permits accumulate. Shorter bursts are admitted as they arrive.
const BURST_WINDOW: Duration = Duration::from_millis(100);
/// Minimum utilization assumed; keeps rates finite for idle services.
const MIN_UTILIZATION: f64 = 0.05;
/// Maximum ratio by which the rate of ending requests is scaled up to full utilization. Rates are
/// means over a second, while the utilization is more recent.
const MAX_SCALING: f64 = 2.0;

/// Maximum ratio of offered requests to the pace; keeps it finite if nothing may be admitted.
const MAX_DEMAND: f64 = 1e6;
/// Maximum number of running requests assumed; keeps rates finite for implausible inputs.
const MAX_RUNNING: f64 = 1e9;

/// Requests of a service that run or wait at its targets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Running {
    /// Requests of this box.
    pub own: f64,
    /// Estimated requests of all boxes.
    pub all: f64,
    /// Number of boxes, at least 1.
    pub boxes: u32,
}

/// State of the pacer when a request is to be admitted near the limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Fill level of the token bucket, from 1 (full) down to -1 (the most urgent requests have
    /// borrowed a full bucket).
    pub level: f64,
    /// Ratio of requests offered to this box to those that it may admit.
    pub demand: f64,
    /// Fraction of the capacity by which utilization grows within the reaction time if everything
    /// offered is admitted.
    pub growth: f64,
    /// Requests that may be admitted per second.
    pub rate: f64,
    /// Size of the token bucket, in requests.
    pub burst: f64,
}

/// Paces the requests of a box for one service with a token bucket.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pacer {
    offered: Rate,
    ended: Rate,
    /// Number of requests that may be admitted now.
    tokens: f64,
    /// Requests per second that may be admitted, as of the last update.
    rate: f64,
    at: Instant,
}

impl Pacer {
    /// Records an offered request.
    pub fn offered(&mut self, now: Instant) {
        self.offered.count(now);
    }

    /// Records a request that ended at its targets.
    pub fn ended(&mut self, now: Instant) {
        self.ended.count(now);
    }

    /// Records an admitted request.
    pub fn admitted(&mut self) {
        // The lower bound is one token below the level at which the most urgent requests are
        // admitted, so that no request is admitted for less than a whole token.
        self.tokens = (self.tokens - 1.0).max(-self.burst() - 1.0);
    }

    /// Updates the token bucket and returns the pace at `now`, given the estimated utilization
    /// `used`.
    pub fn update_pace(
        &mut self,
        used: f64,
        running: Running,
        reaction: Duration,
        now: Instant,
    ) -> Pace {
        let used = if used.is_nan() { 1.0 } else { used }.clamp(MIN_UTILIZATION, 2.0);
        let equal_share = running.all / f64::from(running.boxes.max(1));
        // This box's share of the capacity, in requests.
        let capacity = running.own.max(equal_share).clamp(1.0, MAX_RUNNING) / used;
        let reaction_s = reaction.as_secs_f64().max(0.001);
        let ended = self.ended.at(now);
        let offered = self.offered.at(now);
        // Without this term, requests shorter than the reaction time would be limited to the rate
        // of a temporary lull.
        let at_full_use = (ended / used.min(1.0)).min(ended * MAX_SCALING);
        self.rate = (at_full_use + (1.0 - used) * capacity / reaction_s).max(0.0);
        let elapsed = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let burst = self.burst();
        // Rates vary randomly by about the square root of the count; retries of a few refused
        // requests add as much.
        let growth = (offered - ended - offered.sqrt()).max(0.0) * reaction_s / capacity;
        // Requests admitted while capacity is free do not reduce later permits.
        let is_free = used <= 1.0 - growth.min(MAX_GROWTH);
        self.tokens = match is_free {
            true => burst,
            false => (self.tokens + elapsed * self.rate).clamp(-burst - 1.0, burst),
        };
        Pace {
            level: self.tokens / burst,
            demand: (offered / self.rate.max(f64::MIN_POSITIVE)).min(MAX_DEMAND),
            growth,
            rate: self.rate,
            burst,
        }
    }

    fn burst(&self) -> f64 {
        1.0 + self.rate * BURST_WINDOW.as_secs_f64()
    }
}
