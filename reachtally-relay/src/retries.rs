//! The sends of a request, from when they are written until their targets have read them, and what retries take from the budget.
//!
//! A target that is silent, such as a stopped process, leaves what is sent to it in the queues of its machine and reads it when it goes
//! on, also if the connection has been closed meanwhile. Only a response shows that it has read a request.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::{EngineKey, TargetRun};

use crate::relay::Relay;
use crate::second_sends::Allowance;
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

/// Whether the target of a send has read it.
#[derive(Debug, Clone, Copy)]
enum Reading {
    /// Nothing was written to a connection.
    NotWritten,
    /// Written at this time, and a response is awaited.
    Awaited(Instant),
    /// The request ended before a response.
    Dropped,
    /// Given up without a response at this time, at the latest.
    GivenUp(Instant),
    /// A response arrived at this time.
    Read(Instant),
}

/// A send of a request.
#[derive(Debug)]
pub(crate) struct SendProgress {
    /// Number of the send of its request, from 1.
    number: usize,
    /// Why it is needed; `None` for the first send that can reach a target.
    cause: Option<RetryCause>,
    targets: String,
    /// The target that receives it; `None` for a handoff.
    target: Option<(EngineKey, TargetRun)>,
    /// Pays for it, if it is a retry that this box takes from its budget.
    allowance: RefCell<Option<Allowance>>,
    /// The send before it, if that was given up without a response and may arrive later than this one.
    before: Option<Rc<SendProgress>>,
    reading: Cell<Reading>,
}

impl SendProgress {
    /// Returns the progress of send `number`, to the target in row `key`.
    pub fn new(
        relay: &Relay,
        number: usize,
        cause: Option<RetryCause>,
        targets: String,
        key: Option<EngineKey>,
    ) -> Self {
        let fleet = relay.fleet.borrow();
        let run = |key| Some((key, fleet.get(key)?.entry.run()));
        SendProgress {
            number,
            cause,
            targets,
            target: key.and_then(run),
            allowance: RefCell::default(),
            before: None,
            reading: Cell::new(Reading::NotWritten),
        }
    }

    /// Adds the allowance that pays for the send.
    pub fn paid_by(self, allowance: Option<Allowance>) -> Self {
        self.allowance.replace(allowance);
        self
    }

    /// Adds the send before it. It counts only if it may still arrive.
    pub fn after(self, before: Option<Rc<SendProgress>>) -> Self {
        let before = before.filter(|before| before.is_unread());
        SendProgress { before, ..self }
    }

    /// Returns whether it is a retry.
    pub fn is_retry(&self) -> bool {
        self.cause.is_some()
    }

    /// Returns the allowance of a send that can't arrive any more, or was not written.
    pub fn take_allowance(&self) -> Option<Allowance> {
        self.allowance.take()
    }

    /// Returns whether it was written, and no response shows that its target has read it.
    pub fn is_unread(&self) -> bool {
        !matches!(self.reading.get(), Reading::NotWritten | Reading::Read(_))
    }

    /// Records that the request is now written to an open connection. Another one follows if that one turns out to be closed.
    pub fn written(self: &Rc<Self>, relay: &Relay, call: &Call) {
        let now = relay.now();
        let before = self.reading.replace(Reading::Awaited(now));
        let Some(cause) = self.cause.filter(|_| matches!(before, Reading::NotWritten)) else {
            return;
        };
        relay.count(|tally| tally.retries_written += 1);
        let ms = |time: Duration| time.as_millis() as u64;
        let allowance = self.allowance.borrow();
        let age = allowance.as_ref().map(|taken| now.since(taken.taken_at));
        if let Some(age) = age {
            relay.times.allowance_age.observe(age.as_secs_f64());
            relay.second_sends.await_read(self);
        }
        let left_taken = allowance.as_ref().map(|taken| ms(taken.left));
        let from = if age.is_some() { "own" } else { "handoff" };
        let counted = relay.retries_counted(&call.service_name);
        log::info!(event = "retry", id = &*call.head.id, service = &*call.service_name, send = self.number, cause:? = cause, targets = &*self.targets, allowance = from, allowance_ms:? = age.map(ms), left_taken_ms:? = left_taken, left_ms = ms(call.left(relay)), counted = counted; "a request is sent again");
    }

    /// Records that nothing was written after all. Returns the allowance, which may pay for another send.
    pub fn not_written(&self) -> Option<Allowance> {
        self.reading.set(Reading::NotWritten);
        self.take_allowance()
    }

    /// Records that the target has read the request, as its response shows.
    pub fn read(&self, relay: &Relay, call: &Call) {
        let now = relay.now();
        let Reading::Awaited(written_at) = self.reading.replace(Reading::Read(now)) else {
            return;
        };
        if self.cause.is_none() {
            return;
        }
        let waited = now.since(written_at);
        relay.count(|tally| tally.retries_read += 1);
        relay.times.retry_read.observe(waited.as_secs_f64());
        log::info!(event = "retry-read", id = &*call.head.id, send = self.number, written_ms = waited.as_millis() as u64, left_ms = call.left(relay).as_millis() as u64; "the target of a retry has read it");
    }

    /// Records that the send is given up without a response. Its target may still read it.
    pub fn give_up(&self, relay: &Relay, call: &Call) {
        let Reading::Awaited(written_at) = self.reading.get() else {
            return;
        };
        let now = relay.now();
        self.reading.set(Reading::GivenUp(now));
        let waited = now.since(written_at);
        relay.count(|tally| tally.sends_unread += 1);
        log::info!(event = "send-unread", id = &*call.head.id, send = self.number, is_retry = self.cause.is_some(), targets = &*self.targets, written_ms = waited.as_millis() as u64; "no response shows that the target has read the request");
    }

    /// Returns the time after which neither this send nor the one before it can arrive, if that is known.
    pub fn arrived_by(&self, relay: &Relay) -> Option<Instant> {
        let before = match &self.before {
            Some(before) => before.own_arrival(relay)?,
            None => Instant::ZERO,
        };
        Some(self.own_arrival(relay)?.max(before))
    }

    fn own_arrival(&self, relay: &Relay) -> Option<Instant> {
        match self.reading.get() {
            Reading::NotWritten => Some(Instant::ZERO),
            Reading::Awaited(_) => None,
            Reading::Dropped => {
                self.reading.set(Reading::GivenUp(relay.now()));
                None
            }
            Reading::GivenUp(at) => self.answered_since(relay, at),
            Reading::Read(at) => Some(at),
        }
    }

    /// Returns when the target answered anything after `at`: it has then read what was in its queues. A run that ended reads nothing more.
    fn answered_since(&self, relay: &Relay, at: Instant) -> Option<Instant> {
        let Some((key, run)) = &self.target else {
            return Some(at);
        };
        match relay.fleet.borrow().get(*key) {
            Some(engine) if engine.entry.run() == *run => {
                engine.responded_at.filter(|answered| *answered > at)
            }
            _ => Some(relay.now()),
        }
    }
}

/// The last send of a request. When dropped, the send is given up unless its target has read it.
pub(crate) struct CurrentSend(pub Rc<SendProgress>);

impl Drop for CurrentSend {
    fn drop(&mut self) {
        if let Reading::Awaited(_) = self.0.reading.get() {
            self.0.reading.set(Reading::Dropped);
        }
    }
}
