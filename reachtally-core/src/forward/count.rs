//! How many boxes there are, by failure domain, as far as a box is told.
//!
//! Too small a number is the dangerous side: every box takes a share of what all share. So a domain that is not
//! heard of any more keeps its boxes for a while, a number that falls is believed only once it has held, and a domain
//! that is there but was not heard of counts like the largest.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Instant;

/// How long a failure domain counts that is not heard of: one that is cut off goes on making use of its share.
const DOMAIN_LIFE: Duration = Duration::from_secs(30);
/// How long a domain's smaller number must be told before it is believed: twice the life of a report. A collector
/// that was just chosen lacks reporters for about half of that life.
const FALL_SETTLED: Duration = Duration::from_secs(3);

/// Boxes of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainCount {
    /// The failure domain.
    pub domain: String,
    /// Its boxes.
    pub boxes: u32,
}

/// What is held of one domain.
#[derive(Debug, Clone, Copy)]
struct Held {
    boxes: u32,
    /// When so many were last told of.
    reached: Instant,
    /// When the domain was last told of.
    heard: Instant,
}

/// The numbers of boxes that a box believes.
#[derive(Debug, Default)]
pub struct BoxCount(BTreeMap<String, Held>);

impl BoxCount {
    /// Take in what was told of a domain.
    pub fn hear(&mut self, told: &DomainCount, now: Instant) {
        let new = Held {
            boxes: told.boxes,
            reached: now,
            heard: now,
        };
        match self.0.get_mut(&told.domain) {
            Some(held) if told.boxes < held.boxes && now.since(held.reached) < FALL_SETTLED => {
                held.heard = now;
            }
            Some(held) => *held = new,
            None => {
                self.0.insert(told.domain.clone(), new);
            }
        }
    }

    /// Forget domains that were not told of for long.
    pub fn remove_expired(&mut self, now: Instant) {
        self.0.retain(|_, held| now.since(held.heard) < DOMAIN_LIFE);
    }

    /// Boxes in all `domains` failure domains that there are, 0 if that is not known; `None` before the first count.
    ///
    /// Guards the shared budget where boxes start again in a domain that is cut off, or one is cut off for longer than
    /// it counts: they would take the share of all others.
    pub fn boxes(&self, domains: usize) -> Option<u32> {
        let counts = || self.0.values().map(|held| held.boxes);
        let largest = counts().max()?;
        let unheard = domains.saturating_sub(self.0.len()) as u32;
        let heard = counts().fold(0, u32::saturating_add);
        Some(heard.saturating_add(unheard.saturating_mul(largest)))
    }
}
