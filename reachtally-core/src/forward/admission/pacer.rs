//! The rate at which a box may admit requests to a service that is nearly full.
//!
//! What others have admitted since their last reports is not known. Boxes that all admit whatever comes while a limit is not
//! reached, by numbers that old, go far beyond it together and then admit nothing. So near the limit each box admits at a rate: as many
//! as would end of its own at full use, and its part of what is still free, spread over the time after which it hears of the others.

use std::time::Duration;

use super::{MOST_GROWTH, Rate};
use crate::time::Instant;

/// Time for which unused permission is kept: bursts that are shorter are admitted as they come.
const KEPT: Duration = Duration::from_millis(100);
/// Least part of the capacity that counts as in use; keeps rates finite where nothing is.
const LEAST_USED: f64 = 0.05;
/// Most by which more requests end at full use than do now, as far as the pace goes: rates are means over a second, use is newer.
const MOST_SCALED: f64 = 2.0;

/// Most that is offered in parts of the pace; keeps it finite where nothing may be admitted.
const MOST_DEMAND: f64 = 1e6;
/// Most requests that count; keeps rates finite where numbers are without reason.
const MOST_RUNNING: f64 = 1e9;

/// Requests for a service that run or wait at its targets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Running {
    /// Those of this box.
    pub own: f64,
    /// Those of all boxes, as believed.
    pub all: f64,
    /// Boxes, at least 1.
    pub boxes: u32,
}

/// How a box is placed to admit requests near the limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// What may be admitted at once, from 1 (all that is kept) down to -1 (the most urgent requests have taken as much in advance).
    pub level: f64,
    /// Requests offered to this box in parts of what it may admit.
    pub demand: f64,
    /// Part of the capacity by which use grows within the reaction time if all that is offered is admitted.
    pub growth: f64,
    /// Requests that may be admitted a second.
    pub rate: f64,
    /// Requests that a level of 1 stands for.
    pub kept: f64,
}

/// Paces the requests of a box for one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pacer {
    offered: Rate,
    ended: Rate,
    /// Requests that may be admitted now.
    tokens: f64,
    /// Requests that may be admitted a second, as of the last look.
    rate: f64,
    at: Instant,
}

impl Pacer {
    /// Counts a request that a caller has.
    pub fn offered(&mut self, now: Instant) {
        self.offered.count(now);
    }

    /// Counts a request that has ended at its targets.
    pub fn ended(&mut self, now: Instant) {
        self.ended.count(now);
    }

    /// Counts a request that is admitted.
    pub fn admitted(&mut self) {
        // Below what admits the most urgent, so that no request is admitted for less than a whole token.
        self.tokens = (self.tokens - 1.0).max(-self.kept() - 1.0);
    }

    /// The pace at `now`, where `used` of the capacity is believed to be in use.
    pub fn look(&mut self, used: f64, running: Running, reaction: Duration, now: Instant) -> Pace {
        let used = if used.is_nan() { 1.0 } else { used }.clamp(LEAST_USED, 2.0);
        let even = running.all / f64::from(running.boxes.max(1));
        // This box's part of the capacity, in requests.
        let part = running.own.max(even).clamp(1.0, MOST_RUNNING) / used;
        let reaction_s = reaction.as_secs_f64().max(0.001);
        let ended = self.ended.at(now);
        let offered = self.offered.at(now);
        // Without this, requests that are shorter than the reaction time would be held at the rate of a passing lull.
        let at_full_use = (ended / used.min(1.0)).min(ended * MOST_SCALED);
        self.rate = (at_full_use + (1.0 - used) * part / reaction_s).max(0.0);
        let passed = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let kept = self.kept();
        // Chance makes rates differ by as much as the root of a count, and returns of a few refused requests as well.
        let growth = (offered - ended - offered.sqrt()).max(0.0) * reaction_s / part;
        // What is admitted while capacity is free takes nothing from what may be admitted later.
        let is_free = used <= 1.0 - growth.min(MOST_GROWTH);
        self.tokens = match is_free {
            true => kept,
            false => (self.tokens + passed * self.rate).clamp(-kept - 1.0, kept),
        };
        Pace {
            level: self.tokens / kept,
            demand: (offered / self.rate.max(f64::MIN_POSITIVE)).min(MOST_DEMAND),
            growth,
            rate: self.rate,
            kept,
        }
    }

    fn kept(&self) -> f64 {
        1.0 + self.rate * KEPT.as_secs_f64()
    }
}
