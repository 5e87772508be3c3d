//! Receives the body of a request from its caller.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Incoming};
use hyper::{Response, StatusCode};
use reachtally_body::{NoMemory, Receiving};
use reachtally_core::Instant;
use reachtally_core::forward::bodies::max_body;
use reachtally_core::forward::routes::CallerLimits;

use crate::answer::{self, Body};
use crate::relay::Relay;

/// Time without data after which a body has stopped, if the configuration sets none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum size of a body in bytes if the configuration sets none.
const BODY_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of refused bodies that are logged in each sampling interval; the counters tell of the others.
const MAX_LOGGED: u32 = 20;

/// Why a body was not received.
#[derive(Debug)]
pub(crate) enum UploadError {
    /// The body is longer than the configuration allows.
    TooLong(usize),
    /// The body is malformed, or its connection ended.
    Malformed,
    /// No data arrived for this long.
    Stopped(Duration),
    /// The body was not complete when the response was due.
    Overdue,
    /// The box has no memory for the body.
    NoMemory,
}

impl From<NoMemory> for UploadError {
    fn from(_: NoMemory) -> Self {
        UploadError::NoMemory
    }
}

impl UploadError {
    /// Returns the response; `refuse` makes that to a request which another box may serve.
    pub fn response(&self, refuse: impl FnOnce() -> Response<Body>) -> Response<Body> {
        let closing = |status, text: &str| answer::closing(status, text);
        match self {
            UploadError::TooLong(max) => closing(
                StatusCode::PAYLOAD_TOO_LARGE,
                &format!("the body is longer than {max} bytes"),
            ),
            UploadError::Malformed => closing(StatusCode::BAD_REQUEST, "the body is malformed"),
            UploadError::Stopped(idle) => closing(
                StatusCode::REQUEST_TIMEOUT,
                &format!("no data of the body arrived for {} ms", idle.as_millis()),
            ),
            UploadError::Overdue => closing(
                StatusCode::REQUEST_TIMEOUT,
                "the body was not complete when its response was due",
            ),
            UploadError::NoMemory => answer::close(refuse()),
        }
    }
}

/// Returns the size in bytes of the longest body that is allowed.
fn max_allowed(limits: Option<CallerLimits>) -> usize {
    limits.map_or(BODY_BYTES, |limits| limits.body_bytes)
}

/// Receives a body that is to be complete by `due`.
///
/// # Errors
/// See [`UploadError`]; the request has not run then.
pub(crate) async fn receive(
    relay: &Relay,
    id: &str,
    mut body: Incoming,
    limits: Option<CallerLimits>,
    due: Instant,
) -> Result<Bytes, UploadError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let max = max_allowed(limits);
    let announced = body.size_hint().exact();
    if announced.is_some_and(|bytes| bytes > max as u64) {
        return Err(UploadError::TooLong(max));
    }
    let expected = announced.unwrap_or(max as u64);
    let mut receiving = Receiving::begin(&relay.bodies, expected, relay.now());
    let collecting = collect(relay, &mut body, &mut receiving, limits);
    let collected = relay.run_until(due, collecting).await;
    match collected.unwrap_or(Err(UploadError::Overdue)) {
        Ok(()) => Ok(receiving.complete()?),
        Err(err) => {
            note_failure(relay, id, &err, receiving.received());
            Err(err)
        }
    }
}

/// Receives a body to its end.
async fn collect(
    relay: &Relay,
    body: &mut Incoming,
    receiving: &mut Receiving,
    limits: Option<CallerLimits>,
) -> Result<(), UploadError> {
    let max = max_allowed(limits);
    let idle = limits.map_or(IDLE_TIMEOUT, |limits| limits.idle_timeout);
    loop {
        let frame = tokio::select! {
            biased;
            () = receiving.evicted() => {
                relay.count(|tally| tally.bodies_evicted += 1);
                return Err(UploadError::NoMemory);
            }
            frame = tokio::time::timeout(idle, body.frame()) => frame,
        };
        let frame = match frame.map_err(|_| UploadError::Stopped(idle))? {
            Some(frame) => frame.map_err(|_| UploadError::Malformed)?,
            None => return Ok(()),
        };
        // Skip trailers.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if receiving.received() + data.len() > max {
            return Err(UploadError::TooLong(max));
        }
        receiving.push(&data, relay.body_limits(), relay.now())?;
    }
}

/// Counts and logs a body that took part in a shortage of memory or was not complete in time.
fn note_failure(relay: &Relay, id: &str, err: &UploadError, received: usize) {
    let why = match err {
        UploadError::NoMemory => {
            relay.count(|tally| tally.bodies_refused += 1);
            "no memory for the body"
        }
        UploadError::Overdue | UploadError::Stopped(_) => {
            relay.count(|tally| tally.bodies_overdue += 1);
            "the body was not complete in time"
        }
        UploadError::TooLong(_) | UploadError::Malformed => return,
    };
    if relay.resources.count_refused_body() > MAX_LOGGED {
        return;
    }
    let (usage, limits) = (relay.bodies.usage(), relay.body_limits());
    log::info!(event = "body-refused", id = id, why = why, received = received, held = usage.bytes, bodies = usage.count, incomplete = usage.incomplete, limit = limits.large, limit_small = limits.small; "refused a request whose body was not complete");
}

/// Logs that the configuration allows bodies which the box can't hold, if so.
pub(crate) fn check_limits(relay: &Relay, limits: Option<CallerLimits>) {
    let memory = relay.settings.borrow().memory;
    let max = max_body(memory);
    let allowed = max_allowed(limits);
    if allowed as u64 > max {
        log::warn!(event = "bodies-exceed-memory", body_bytes = allowed, max_bytes = max, memory = memory; "the configuration allows bodies for which this box may have no memory; it refuses them then");
    }
}
