//! Listener for callers: accepts connections, enforces header and idle timeouts, and closes connections on
//! shutdown.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io::ErrorKind;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::TokioIo;
use reachtally_core::forward::read_ahead::SLOW_READER_TIMEOUT;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::accept;
use crate::answer::{AnswerTo, Body, BodyTruncated, BodyUnread, EndedBy};
use crate::interruptions;
use crate::lifecycle::Stage;
use crate::linger::Linger;
use crate::occupied::ConnectionGuard;
use crate::open::{OpenConnection, Wait};
use crate::relay::Relay;
use crate::serve::{self, RequestNumber};
use crate::target;
use crate::unread::BlockedWrite;

/// Default limits until a configuration is known.
const HEADER_BYTES: usize = 16 * 1024;
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum buffer size that hyper accepts.
const MIN_BUFFER: usize = 8 * 1024;
/// Added to the idle timeout so that a request sent at the last moment is still read.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// Size of the kernel's send buffer for each caller; the kernel reserves twice as much. By default, it
/// buffers megabytes, which the limits on reading ahead do not cover.
const SEND_BUFFER: usize = 64 * 1024;

/// Serves callers until the process exits.
pub async fn run(relay: Rc<Relay>, listener: TcpListener) {
    // A request whose connection is closed unread is known not to have run, and its caller can try another box at once.
    let serve = |stream, _| {
        let open = relay.take_connection()?;
        Some(connection(relay.clone(), stream, open))
    };
    let accepting = accept::each(relay.clone(), listener, "callers", serve);
    tokio::join!(accepting, interruptions::watch(&relay));
}

/// What a connection is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The next request.
    Idle,
    /// The remainder of a request head.
    Head,
    /// The response.
    Busy,
}

/// State of a connection.
#[derive(Debug)]
struct ConnectionState {
    /// Entry among the open connections, which decides whether this one gives way to others.
    open: OpenConnection,
    /// Current phase and its start time.
    phase: Cell<(Phase, Instant)>,
    /// Request whose response was started last.
    answer_to: RefCell<Option<AnswerTo>>,
    /// Whether to close the connection with a reset.
    is_reset: Cell<bool>,
    /// Whether a request was answered before its body was read to the end.
    is_body_unread: Cell<bool>,
    /// Number of requests received so far.
    requests: Cell<u32>,
    /// Set while a response is in progress.
    progress: Cell<Option<ResponseProgress>>,
}

/// How far a response has come.
#[derive(Debug, Clone, Copy)]
struct ResponseProgress {
    /// When its head was complete.
    started_at: Instant,
    /// Bytes of the body that were passed to the connection.
    sent_bytes: usize,
}

impl ConnectionState {
    fn enter(&self, phase: Phase) {
        self.phase.set((phase, Instant::now()));
        self.open.set_wait(match phase {
            Phase::Idle => Some(Wait::Next),
            Phase::Head => Some(Wait::Head),
            Phase::Busy => None,
        });
    }
}

/// Serves a connection, which counts as open until `_open` is dropped.
async fn connection(relay: Rc<Relay>, stream: TcpStream, _open: ConnectionGuard) {
    target::set_nodelay(&stream);
    if let Err(err) = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER) {
        log::debug!(event = "send-buffer", why:% = err; "failed to set the send buffer size; using the system default");
    }
    let limits = relay.configuration.table().and_then(|table| table.limits);
    let header_bytes = limits.map_or(HEADER_BYTES, |limits| limits.header_bytes);
    let header_timeout = limits.map_or(HEADER_TIMEOUT, |limits| limits.header_timeout);
    let idle_timeout = limits.map_or(IDLE_TIMEOUT, |limits| limits.idle_timeout) + IDLE_SLACK;
    let state = Rc::new(ConnectionState {
        open: relay.callers.add(),
        phase: Cell::new((Phase::Head, Instant::now())),
        answer_to: RefCell::default(),
        is_reset: Cell::default(),
        is_body_unread: Cell::default(),
        requests: Cell::default(),
        progress: Cell::default(),
    });
    let io = TokioIo::new(MonitoredStream {
        stream,
        state: state.clone(),
        relay: relay.clone(),
        blocked_write: BlockedWrite::default(),
        linger: Linger::default(),
    });
    let service = service_fn({
        let relay = relay.clone();
        let state = state.clone();
        move |req| handle(relay.clone(), state.clone(), req)
    });
    let connection = http1::Builder::new()
        .max_buf_size(header_bytes.max(MIN_BUFFER))
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let mut stage = relay.lifecycle.stage();
    // A connection accepted during shutdown receives a refusal, which closes it.
    let mut closing = relay.lifecycle.is_closing();
    let mut is_ending = false;
    loop {
        let (phase, since) = state.phase.get();
        let due = match phase {
            // The library closes the connection once the rest of the response is written; a blocked write has a timeout of its own.
            Phase::Idle if closing => Instant::now() + idle_timeout,
            Phase::Idle => since + idle_timeout,
            Phase::Head => since + header_timeout,
            Phase::Busy => Instant::now() + idle_timeout,
        };
        tokio::select! {
            // A request that has arrived is read before a timer that has expired closes the connection.
            biased;
            ended = &mut connection => {
                if let Err(err) = ended && state.phase.get().0 == Phase::Busy {
                    log_closed(&relay, &state, &err.to_string());
                }
                return;
            }
            () = tokio::time::sleep_until(due) => {
                let (now_phase, now_since) = state.phase.get();
                let is_waited_for = phase == Phase::Busy || (phase == Phase::Idle && closing);
                if (now_phase, now_since) != (phase, since) || is_waited_for {
                    continue;
                }
                if phase == Phase::Head {
                    return;
                }
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = state.open.evicted() => {
                relay.count(|tally| tally.connections_evicted += 1);
                return;
            }
            changed = stage.wait_for(|stage| *stage >= Stage::Closing), if !closing => {
                drop(changed);
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = relay.lifecycle.until(Stage::Ending), if !is_ending => {
                is_ending = true;
                let why = BodyTruncated::new(EndedBy::Shutdown, "the grace period ends");
                log_unfinished(&relay, &state, &why);
            }
        }
    }
}

/// Logs that the response in progress, if there is one, ends before it is complete.
fn log_unfinished(relay: &Relay, state: &ConnectionState, why: &BodyTruncated) {
    let Some(progress) = state.progress.get() else {
        return;
    };
    relay.count_truncated(why.by);
    let answer_to = state.answer_to.borrow();
    let id = answer_to.as_ref().map_or("", |AnswerTo(id)| id);
    let after_ms = progress.started_at.elapsed().as_millis() as u64;
    log::info!(event = "unfinished", id = id, by:? = why.by, why = &*why.why, bytes = progress.sent_bytes, after_ms = after_ms; "response ended before it was complete");
}

/// Logs that a connection ended while its request was in progress.
fn log_closed(relay: &Relay, state: &ConnectionState, why: &str) {
    let answer_to = state.answer_to.borrow();
    let last = answer_to.as_ref().map_or("", |AnswerTo(id)| id);
    log::info!(event = "connection-closed", why = why, number = state.requests.get(), last_answered = last, leaving = relay.lifecycle.is_leaving(); "a caller's connection ended while its request was in progress");
}

async fn handle(
    relay: Rc<Relay>,
    state: Rc<ConnectionState>,
    mut req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    state.enter(Phase::Busy);
    relay.probe_run_queue();
    let number = state.requests.get().saturating_add(1);
    state.requests.set(number);
    req.extensions_mut().insert(RequestNumber(number));
    let ends_with_connection = req.version() < Version::HTTP_11;
    let mut response = serve::handle(relay.clone(), req).await;
    if response.extensions_mut().remove::<BodyUnread>().is_some() {
        state.is_body_unread.set(true);
    }
    let answer_to = response.extensions_mut().remove::<AnswerTo>();
    state.answer_to.replace(answer_to);
    state.progress.set(Some(ResponseProgress {
        started_at: Instant::now(),
        sent_bytes: 0,
    }));
    Ok(response.map(|body| ResponseBody {
        body,
        relay,
        state,
        ends_with_connection,
    }))
}

/// Body of a response. The connection becomes idle when it is dropped.
struct ResponseBody {
    body: Body,
    relay: Rc<Relay>,
    state: Rc<ConnectionState>,
    /// Whether only the end of the connection may mark the end of the body, as with HTTP/1.0.
    ends_with_connection: bool,
}

impl ResponseBody {
    fn record_sent(&self, bytes: usize) {
        let progress = self.state.progress.get();
        self.state
            .progress
            .set(progress.map(|progress| ResponseProgress {
                sent_bytes: progress.sent_bytes + bytes,
                ..progress
            }));
    }
}

impl HttpBody for ResponseBody {
    type Data = bytes::Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let polled = self.body.as_mut().poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(frame))) => {
                self.record_sent(frame.data_ref().map_or(0, |data| data.len()));
            }
            Poll::Ready(Some(Err(why))) => {
                log_unfinished(&self.relay, &self.state, why);
                if self.ends_with_connection {
                    self.state.is_reset.set(true);
                }
            }
            Poll::Ready(None) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.state.progress.set(None);
        self.state.enter(Phase::Idle);
    }
}

/// Stream that detects the first byte of a request head, and closes the connection if the caller stops
/// reading.
struct MonitoredStream {
    stream: TcpStream,
    state: Rc<ConnectionState>,
    relay: Rc<Relay>,
    blocked_write: BlockedWrite,
    linger: Linger,
}

impl MonitoredStream {
    /// Checks the result of writing `buf`, and fails if the caller has stopped reading.
    fn check_write(
        &mut self,
        cx: &mut Context<'_>,
        buf: &[u8],
        written: Poll<std::io::Result<usize>>,
    ) -> Poll<std::io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = written {
            self.relay.resources.record_sent(count);
        }
        let waited = self.blocked_write.record(cx, &written);
        if written.is_pending() {
            // The rest of a response must not be lost.
            self.state.open.set_wait(None);
        } else if self.state.phase.get().0 == Phase::Idle {
            self.state.open.set_wait(Some(Wait::Next));
        }
        let Some(waited) = waited else {
            return written;
        };
        // The kernel wakes a writer only once a third of its buffer is free. A caller that has read less than
        // that has still made progress.
        if let Ok(count) = SockRef::from(&self.stream).send(buf) {
            self.blocked_write = BlockedWrite::default();
            self.relay.resources.record_sent(count);
            return Poll::Ready(Ok(count));
        }
        if waited < SLOW_READER_TIMEOUT {
            return written;
        }
        self.relay.count(|tally| tally.readers_cut += 1);
        let answer_to = self.state.answer_to.borrow();
        let id = answer_to.as_ref().map_or("", |AnswerTo(id)| id);
        log::info!(event = "slow-reader", id = id, why = "it takes nothing", waited_ms = waited.as_millis() as u64, held = self.relay.read_ahead(); "disconnected a caller that does not read its response");
        // A reset frees the kernel's send buffer.
        self.state.is_reset.set(true);
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }
}

impl Drop for MonitoredStream {
    /// Resets the connection if requested. Unlike an orderly close, a reset cannot be mistaken for the end of a
    /// response without a length.
    fn drop(&mut self) {
        if !self.state.is_reset.get() {
            return;
        }
        if let Err(err) = self.stream.set_zero_linger() {
            log::debug!(event = "linger", why:% = err; "failed to set SO_LINGER; closing the connection without a reset");
        }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before && self.state.phase.get().0 == Phase::Idle {
            self.state.enter(Phase::Head);
        }
        polled
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_write(cx, buf, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        let buf = bufs.iter().find(|buf| !buf.is_empty());
        self.check_write(cx, buf.map_or(&[], |buf| buf), written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        let shut = Pin::new(&mut self.stream).poll_shutdown(cx);
        if !self.state.is_body_unread.get() || self.relay.is_full() {
            return shut;
        }
        std::task::ready!(shut)?;
        let this = &mut *self;
        this.linger.poll(cx, &mut this.stream).map(Ok)
    }
}
