//! What retries took from the budget, and when they were written to their targets and read there.

use std::cell::Cell;
use std::time::Duration;

use reachtally_core::Instant;

use crate::relay::Relay;
use crate::serve::Call;

/// Why a request is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryCause {
    /// The last target proved that the request did not run.
    Refused,
    /// The last send yielded no response.
    Lost,
    /// The last target answered with a server error.
    Failure,
    /// The stream was interrupted, or its engines are dead.
    Interrupted,
}

/// A retry that the budget of its service allowed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Allowance {
    /// When it was taken from the budget.
    pub taken_at: Instant,
    /// Time until the caller's deadline then.
    pub left: Duration,
}

/// Terms of a send that is a retry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Retry {
    pub cause: RetryCause,
    /// `None` if the box that handed the request over took the allowance.
    pub allowance: Option<Allowance>,
}

/// A send from its start until its target has read it.
#[derive(Debug)]
pub(crate) struct SendProgress {
    /// Number of the send of its request, from 1.
    number: usize,
    /// `None` for the first send that can reach a target.
    retry: Option<Retry>,
    targets: String,
    written_at: Cell<Option<Instant>>,
    is_read: Cell<bool>,
}

impl SendProgress {
    pub fn new(number: usize, retry: Option<Retry>, targets: String) -> Self {
        SendProgress {
            number,
            retry,
            targets,
            written_at: Cell::default(),
            is_read: Cell::default(),
        }
    }

    /// Records that the request is now written to an open connection. Another one follows if the first has closed before.
    pub fn written(&self, relay: &Relay, call: &Call) {
        let now = relay.now();
        let is_first_write = self.written_at.replace(Some(now)).is_none();
        let Some(retry) = self.retry.filter(|_| is_first_write) else {
            return;
        };
        relay.count(|tally| tally.retries_written += 1);
        let ms = |time: Duration| time.as_millis() as u64;
        let age = retry.allowance.map(|taken| now.since(taken.taken_at));
        if let Some(age) = age {
            relay.times.allowance_age.observe(age.as_secs_f64());
        }
        let left_taken = retry.allowance.map(|taken| ms(taken.left));
        let counted = relay.retries_counted(&call.service_name);
        log::info!(event = "retry", id = &*call.head.id, service = &*call.service_name, send = self.number, cause:? = retry.cause, targets = &*self.targets, allowance = if retry.allowance.is_some() { "own" } else { "handoff" }, allowance_ms:? = age.map(ms), left_taken_ms:? = left_taken, left_ms = ms(call.left(relay)), counted = counted; "a request is sent again");
    }

    /// Records that the target has read the request, as its response shows.
    pub fn read(&self, relay: &Relay, call: &Call) {
        let is_read = self.is_read.replace(true);
        let (Some(written_at), Some(_), false) = (self.written_at.get(), self.retry, is_read)
        else {
            return;
        };
        let waited = relay.now().since(written_at);
        relay.count(|tally| tally.retries_read += 1);
        relay.times.retry_read.observe(waited.as_secs_f64());
        log::info!(event = "retry-read", id = &*call.head.id, send = self.number, written_ms = waited.as_millis() as u64, left_ms = call.left(relay).as_millis() as u64; "the target of a retry has read it");
    }

    /// Records that the send is given up without a response. Its target may still read it.
    pub fn unread(&self, relay: &Relay, call: &Call) {
        let Some(written_at) = self.written_at.get().filter(|_| !self.is_read.get()) else {
            return;
        };
        let waited = relay.now().since(written_at);
        relay.count(|tally| tally.sends_unread += 1);
        log::info!(event = "send-unread", id = &*call.head.id, send = self.number, is_retry = self.retry.is_some(), targets = &*self.targets, written_ms = waited.as_millis() as u64; "no response shows that the target has read the request");
    }
}
