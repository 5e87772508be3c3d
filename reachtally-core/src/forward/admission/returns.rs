//! Refused requests that may return.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::forward::fingerprint::Fingerprint;
use crate::time::Instant;

/// Requests remembered: those that a box refuses in the longest time to return, at a thousand a second.
const MOST_REMEMBERED: usize = 4096;
/// Time for which a request is remembered after it may return. Callers that follow the time they were told come within it.
const REMEMBERED: Duration = Duration::from_secs(2);

/// Refused requests, each with the time from which it may return.
#[derive(Debug, Default)]
pub struct Returns {
    by_request: HashMap<Fingerprint, (Instant, u64)>,
    /// The same by when they are forgotten.
    by_end: BTreeMap<(Instant, u64), Fingerprint>,
    count: u64,
}

impl Returns {
    /// Notes that a request was told to return at `at`.
    pub fn tell(&mut self, request: Fingerprint, at: Instant, now: Instant) {
        self.forget(now);
        self.remove(&request);
        if self.by_request.len() >= MOST_REMEMBERED
            && let Some((_, first)) = self.by_end.pop_first()
        {
            self.by_request.remove(&first);
        }
        self.count += 1;
        self.by_request.insert(request, (at, self.count));
        self.by_end.insert((at + REMEMBERED, self.count), request);
    }

    /// Whether a request returns, not earlier than it was told. It is forgotten then: each return counts once.
    pub fn take(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.forget(now);
        let told = self.by_request.get(&request);
        let is_due = told.is_some_and(|(at, _)| *at <= now);
        if is_due {
            self.remove(&request);
        }
        is_due
    }

    /// Whether no request is remembered, so that the fingerprint of none is needed.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    fn remove(&mut self, request: &Fingerprint) {
        if let Some((at, number)) = self.by_request.remove(request) {
            self.by_end.remove(&(at + REMEMBERED, number));
        }
    }

    fn forget(&mut self, now: Instant) {
        while let Some((&(end, number), &request)) = self.by_end.first_key_value()
            && end <= now
        {
            self.by_end.remove(&(end, number));
            self.by_request.remove(&request);
        }
    }
}
