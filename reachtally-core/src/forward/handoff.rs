//! Selection of the box that takes over a request whose targets this box does not reach.
//!
//! A box knows that another one serves a service only from that box's own recent answer. What it
//! concludes from its own links says nothing about the links of others.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Instant;

/// Time for which the statement of a box that it serves a service, or does not, counts.
const STATEMENT_TTL: Duration = Duration::from_secs(1);
/// Time after which a box counts as not serving a service that it has accepted before. Longer than
/// [`STATEMENT_TTL`], so that readiness does not change between two statements.
const SERVED_TTL: Duration = Duration::from_millis(2500);

/// A box that may take over requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Its address.
    pub ip: IpAddr,
    /// Whether it is in the failure domain of this box.
    pub is_local: bool,
}

/// What a box last stated about a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Statement {
    Serves(Instant),
    Refuses(Instant),
}

/// What is known of one box.
#[derive(Debug, Default)]
struct Row {
    /// Not asked before that time, whatever the service.
    unavailable_until: Option<Instant>,
    by_service: HashMap<Arc<str>, Statement>,
    /// Requests of this box that it is running.
    running: u32,
}

/// The boxes that were asked to take over requests.
#[derive(Debug, Default)]
pub struct HandoffPeers {
    rows: HashMap<IpAddr, Row>,
}

impl HandoffPeers {
    /// Records that a box accepted requests for `service`.
    pub fn record_serves(&mut self, ip: IpAddr, service: &Arc<str>, now: Instant) {
        let row = self.rows.entry(ip).or_default();
        row.unavailable_until = None;
        row.by_service
            .insert(service.clone(), Statement::Serves(now));
    }

    /// Records that a box has no target for `service`.
    pub fn record_refuses(&mut self, ip: IpAddr, service: &Arc<str>, now: Instant) {
        let row = self.rows.entry(ip).or_default();
        row.by_service
            .insert(service.clone(), Statement::Refuses(now));
    }

    /// Records that a box takes over no requests, or did not answer.
    pub fn record_unavailable(&mut self, ip: IpAddr, now: Instant) {
        let row = self.rows.entry(ip).or_default();
        row.unavailable_until = Some(now + STATEMENT_TTL);
        row.by_service.clear();
    }

    /// Counts a request as running at a box.
    pub fn begin(&mut self, ip: IpAddr) {
        self.rows.entry(ip).or_default().running += 1;
    }

    /// Counts a request at a box as ended.
    pub fn end(&mut self, ip: IpAddr) {
        if let Some(row) = self.rows.get_mut(&ip) {
            row.running = row.running.saturating_sub(1);
        }
    }

    /// Returns the number of requests that other boxes are running for this one.
    pub fn running(&self) -> u32 {
        self.rows.values().map(|row| row.running).sum()
    }

    /// Returns the box to ask to take over a request for `service`: one that recently accepted,
    /// else one that has not been asked; in the local failure domain, else in another one; the one
    /// that runs the fewest requests of this box.
    pub fn choose(
        &self,
        candidates: impl IntoIterator<Item = Candidate>,
        service: &str,
        asked: &[IpAddr],
        now: Instant,
    ) -> Option<IpAddr> {
        let eligible = candidates
            .into_iter()
            .filter(|candidate| !asked.contains(&candidate.ip))
            .filter(|candidate| self.may_ask(candidate.ip, service, now));
        let chosen = eligible.min_by_key(|candidate| {
            let running = self.rows.get(&candidate.ip).map_or(0, |row| row.running);
            let serves = self.serves(candidate.ip, service, now, STATEMENT_TTL);
            (!serves, !candidate.is_local, running)
        });
        chosen.map(|candidate| candidate.ip)
    }

    /// Returns whether the statement of a box about `service` has expired or was never made.
    pub fn is_unknown(&self, ip: IpAddr, service: &str, now: Instant) -> bool {
        self.may_ask(ip, service, now) && !self.serves(ip, service, now, STATEMENT_TTL)
    }

    /// Returns whether another box recently accepted requests for `service`.
    pub fn is_served_elsewhere(&self, service: &str, now: Instant) -> bool {
        let mut boxes = self.rows.keys();
        boxes.any(|ip| self.serves(*ip, service, now, SERVED_TTL))
    }

    /// Removes boxes about which nothing recent is known.
    pub fn remove_expired(&mut self, now: Instant) {
        self.rows.retain(|_, row| {
            row.unavailable_until.take_if(|until| *until <= now);
            row.by_service
                .retain(|_, statement| now.since(statement.at()) < SERVED_TTL);
            row.running > 0 || row.unavailable_until.is_some() || !row.by_service.is_empty()
        });
    }

    fn may_ask(&self, ip: IpAddr, service: &str, now: Instant) -> bool {
        let Some(row) = self.rows.get(&ip) else {
            return true;
        };
        let is_available = row.unavailable_until.is_none_or(|until| until <= now);
        let has_refused = matches!(
            row.by_service.get(service),
            Some(Statement::Refuses(at)) if now.since(*at) < STATEMENT_TTL
        );
        is_available && !has_refused
    }

    fn serves(&self, ip: IpAddr, service: &str, now: Instant, within: Duration) -> bool {
        let statement = self
            .rows
            .get(&ip)
            .and_then(|row| row.by_service.get(service));
        matches!(statement, Some(Statement::Serves(at)) if now.since(*at) < within)
    }
}

impl Statement {
    fn at(self) -> Instant {
        match self {
            Statement::Serves(at) | Statement::Refuses(at) => at,
        }
    }
}
