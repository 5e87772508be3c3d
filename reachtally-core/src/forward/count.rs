//! Number of boxes per failure domain, as reported to this box.
//!
//! An underestimate is dangerous, because every box takes its share of common budgets. So the boxes
//! of a failure domain that is no longer reported count for some time, a decrease takes effect only
//! after a delay, and a failure domain that exists but was not reported counts like the largest
//! one.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Instant;

/// How long a failure domain counts after its last report: if it is cut off, its boxes keep using
/// their share.
const DOMAIN_TTL: Duration = Duration::from_secs(30);
/// How long a decrease must be reported before it takes effect: twice the lifetime of a report. A
/// newly selected collector lacks reporters for about half that lifetime.
const DECREASE_DELAY: Duration = Duration::from_secs(3);

/// The number of boxes in a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainCount {
    /// The failure domain.
    pub domain: String,
    /// Number of its boxes.
    pub boxes: u32,
}

/// The known state of a failure domain.
#[derive(Debug, Clone, Copy)]
struct DomainState {
    boxes: u32,
    /// When this number of boxes was last reported.
    confirmed_at: Instant,
    /// When the failure domain was last reported.
    reported_at: Instant,
}

/// Box counts per failure domain that are in effect at this box.
#[derive(Debug, Default)]
pub struct BoxCount(BTreeMap<String, DomainState>);

impl BoxCount {
    /// Receives the count of a failure domain.
    pub fn receive(&mut self, reported: &DomainCount, now: Instant) {
        let new = DomainState {
            boxes: reported.boxes,
            confirmed_at: now,
            reported_at: now,
        };
        match self.0.get_mut(&reported.domain) {
            Some(known)
                if reported.boxes < known.boxes
                    && now.since(known.confirmed_at) < DECREASE_DELAY =>
            {
                known.reported_at = now;
            }
            Some(known) => *known = new,
            None => {
                self.0.insert(reported.domain.clone(), new);
            }
        }
    }

    /// Removes failure domains without recent reports.
    pub fn remove_expired(&mut self, now: Instant) {
        self.0
            .retain(|_, known| now.since(known.reported_at) < DOMAIN_TTL);
    }

    /// Returns the number of boxes in all `domains` failure domains (0 if unknown); `None` before
    /// the first count.
    ///
    /// Counting unreported failure domains protects the shared budget if boxes restart in a failure
    /// domain that is cut off, or if one is cut off for longer than `DOMAIN_TTL`; the boxes there
    /// would otherwise take everyone's share.
    pub fn boxes(&self, domains: usize) -> Option<u32> {
        let counts = || self.0.values().map(|known| known.boxes);
        let largest = counts().max()?;
        let unreported = domains.saturating_sub(self.0.len()) as u32;
        let reported = counts().fold(0, u32::saturating_add);
        Some(reported.saturating_add(unreported.saturating_mul(largest)))
    }
}
