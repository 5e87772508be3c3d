//! Receiving response bodies, within limits of time and size.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use reachtally_core::Instant;
use tokio::time::{Sleep, sleep_until};

use crate::answer::{self, Body, BodyTruncated, EndedBy};
use crate::relay::Relay;
use crate::target::Driver;

/// Responses up to this size are buffered completely before they are passed on, so that a request whose
/// response breaks off can be sent again.
const MAX_BUFFERED_BYTES: u64 = 256 * 1024;

/// Why a response was not received.
pub(crate) enum ReceiveError {
    /// It was due before enough of it had arrived.
    Late,
    /// It broke off.
    Broken(String),
}

/// Receives the body of a response that is due at `due`; returns it with whether it is complete. Bodies of up to
/// [`MAX_BUFFERED_BYTES`] are buffered until they are; larger ones end when they are due. `keep` is dropped with the body.
///
/// # Errors
/// See [`ReceiveError`].
pub(crate) async fn receive<B>(
    relay: &Relay,
    due: Instant,
    mut body: B,
    keep: impl Sized + 'static,
) -> Result<(Body, bool), ReceiveError>
where
    B: HttpBody<Data = Bytes> + Unpin + 'static,
    B::Error: std::fmt::Display,
{
    let is_buffered = |bytes: u64| bytes <= MAX_BUFFERED_BYTES;
    let mut buffered = BytesMut::new();
    if body.size_hint().exact().is_none_or(is_buffered) {
        // A response without a length may turn out to be larger.
        while is_buffered(buffered.len() as u64) {
            let Some(frame) = relay.run_until(due, body.frame()).await else {
                return Err(ReceiveError::Late);
            };
            let Some(frame) = frame else {
                return Ok((answer::whole(buffered), true));
            };
            let frame = frame.map_err(|err| ReceiveError::Broken(err.to_string()))?;
            // Ignores trailers.
            buffered.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        }
    }
    let due = relay.timer(due);
    let rest = Rc::new(RefCell::new(Some((body, keep))));
    let expired = rest.clone();
    let expiry = tokio::task::spawn_local(async move {
        sleep_until(due).await;
        expired.take();
    });
    let passed_on = PassedOn {
        buffered: (!buffered.is_empty()).then(|| buffered.freeze()),
        rest,
        due: Box::pin(sleep_until(due)),
        _expiry: Driver(expiry),
    };
    Ok((Box::pin(passed_on), false))
}

/// A body that is passed on as it arrives, until it is due.
struct PassedOn<B, K> {
    buffered: Option<Bytes>,
    /// What is kept with the body is released with it.
    rest: Rc<RefCell<Option<(B, K)>>>,
    due: Pin<Box<Sleep>>,
    /// Drops the rest when it is due, also while the caller takes nothing and the body is not polled.
    _expiry: Driver,
}

impl<B, K> HttpBody for PassedOn<B, K>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTruncated>>> {
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        // Checked first, since a body without end is always ready.
        let is_due = self.due.as_mut().poll(cx).is_ready();
        let mut rest = self.rest.borrow_mut();
        let Some((body, _)) = rest.as_mut().filter(|_| !is_due) else {
            let why = BodyTruncated::new(EndedBy::Deadline, "deadline exceeded");
            return Poll::Ready(Some(Err(why)));
        };
        let polled = Pin::new(body).poll_frame(cx);
        let broken = |err: B::Error| BodyTruncated::new(EndedBy::Target, err.to_string());
        polled.map(|frame| frame.map(|frame| frame.map_err(broken)))
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.borrow();
        rest.as_ref()
            .map_or_else(SizeHint::default, |(body, _)| body.size_hint())
    }
}
