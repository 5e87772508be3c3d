//! Refused requests that are expected to be retried.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::forward::fingerprint::Fingerprint;
use crate::time::Instant;

/// Maximum number of refused requests remembered. Covers those that a box refuses within the
/// longest retry time at a rate of a thousand per second.
const MAX_REMEMBERED: usize = 4096;
/// Time for which a request is remembered after it may be retried. Callers that respect the
/// announced time retry within it.
const RETENTION: Duration = Duration::from_secs(2);

/// Refused requests, each with the time from which it may be retried.
#[derive(Debug, Default)]
pub struct RefusedRequests {
    by_request: HashMap<Fingerprint, (Instant, u64)>,
    /// The same requests by expiry time.
    by_expiry: BTreeMap<(Instant, u64), Fingerprint>,
    count: u64,
}

impl RefusedRequests {
    /// Records that the caller of a request was told to retry at `at`.
    pub fn tell(&mut self, request: Fingerprint, at: Instant, now: Instant) {
        self.remove_expired(now);
        self.remove(&request);
        if self.by_request.len() >= MAX_REMEMBERED
            && let Some((_, first)) = self.by_expiry.pop_first()
        {
            self.by_request.remove(&first);
        }
        self.count += 1;
        self.by_request.insert(request, (at, self.count));
        self.by_expiry.insert((at + RETENTION, self.count), request);
    }

    /// Returns whether a request is retried no earlier than announced. The request is then removed,
    /// so that it counts as a retry only once.
    pub fn take(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.remove_expired(now);
        let retry = self.by_request.get(&request);
        let is_due = retry.is_some_and(|(at, _)| *at <= now);
        if is_due {
            self.remove(&request);
        }
        is_due
    }

    /// Whether no request is remembered, so that computing fingerprints can be skipped.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    fn remove(&mut self, request: &Fingerprint) {
        if let Some((at, number)) = self.by_request.remove(request) {
            self.by_expiry.remove(&(at + RETENTION, number));
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((&(end, number), &request)) = self.by_expiry.first_key_value()
            && end <= now
        {
            self.by_expiry.remove(&(end, number));
            self.by_request.remove(&request);
        }
    }
}
