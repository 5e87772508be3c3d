//! The callers' listener: accepts connections, bounds heads and rest, and closes them when stopping.

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
use reachtally_core::forward::read_ahead::CUT_AFTER;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::accept;
use crate::answer::{AnswerTo, Body, CutShort};
use crate::lifecycle::Stage;
use crate::relay::Relay;
use crate::serve;
use crate::target;
use crate::unread::Unread;

/// Bounds until a configuration is known.
const HEADER_BYTES: usize = 16 * 1024;
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The least buffer that the HTTP library takes.
const LEAST_BUFFER: usize = 8 * 1024;
/// Added to the time that callers may rest, so that a request sent at the last moment is still read.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// Bytes that the system buffers for each caller; it sets aside twice as much. Left to itself it buffers megabytes, which are
/// not read ahead by any rule.
const SEND_BUFFER: usize = 64 * 1024;

/// Serve callers until the process ends.
pub async fn run(relay: Rc<Relay>, listener: TcpListener) {
    let serve = |stream, _| connection(relay.clone(), stream);
    accept::each(listener, "callers", serve).await;
}

/// What a caller's connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The next request.
    Rest,
    /// The rest of a head.
    Head,
    /// The answer.
    Busy,
}

/// Phase of a connection and since when.
#[derive(Debug)]
struct Watch {
    phase: Cell<(Phase, Instant)>,
    /// The request whose answer was begun last.
    answer_to: RefCell<Option<AnswerTo>>,
    /// Whether the connection ends with a reset.
    is_reset: Cell<bool>,
}

impl Watch {
    fn enter(&self, phase: Phase) {
        self.phase.set((phase, Instant::now()));
    }
}

async fn connection(relay: Rc<Relay>, stream: TcpStream) {
    let _open = relay.connection();
    target::send_at_once(&stream);
    if let Err(err) = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER) {
        log::debug!(event = "send-buffer", why:% = err; "the system decides what it buffers for a caller");
    }
    let limits = relay.configuration.table().and_then(|table| table.limits);
    let header_bytes = limits.map_or(HEADER_BYTES, |limits| limits.header_bytes);
    let header_timeout = limits.map_or(HEADER_TIMEOUT, |limits| limits.header_timeout);
    let idle_timeout = limits.map_or(IDLE_TIMEOUT, |limits| limits.idle_timeout) + IDLE_SLACK;
    let watch = Rc::new(Watch {
        phase: Cell::new((Phase::Head, Instant::now())),
        answer_to: RefCell::default(),
        is_reset: Cell::default(),
    });
    let io = TokioIo::new(Watched {
        stream,
        watch: watch.clone(),
        relay: relay.clone(),
        unread: Unread::default(),
    });
    let service = service_fn({
        let relay = relay.clone();
        let watch = watch.clone();
        move |req| served(relay.clone(), watch.clone(), req)
    });
    let connection = http1::Builder::new()
        .max_buf_size(header_bytes.max(LEAST_BUFFER))
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let mut stage = relay.lifecycle.stage();
    // A connection that came late gets its refusal, which closes it.
    let mut closing = relay.lifecycle.is_closing();
    loop {
        let (phase, since) = watch.phase.get();
        let due = match phase {
            Phase::Rest => since + idle_timeout,
            Phase::Head => since + header_timeout,
            Phase::Busy => Instant::now() + idle_timeout,
        };
        tokio::select! {
            _ = &mut connection => return,
            () = tokio::time::sleep_until(due) => {
                let (now_phase, now_since) = watch.phase.get();
                if (now_phase, now_since) != (phase, since) || phase == Phase::Busy {
                    continue;
                }
                if phase == Phase::Head || closing {
                    return;
                }
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            changed = stage.wait_for(|stage| *stage == Stage::Closing), if !closing => {
                drop(changed);
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

async fn served(
    relay: Rc<Relay>,
    watch: Rc<Watch>,
    req: Request<Incoming>,
) -> Result<Response<Answering>, Infallible> {
    watch.enter(Phase::Busy);
    let is_unframed = req.version() < Version::HTTP_11;
    let mut response = serve::handle(relay, req).await;
    let answer_to = response.extensions_mut().remove::<AnswerTo>();
    watch.answer_to.replace(answer_to);
    Ok(response.map(|body| Answering {
        body,
        watch,
        is_unframed,
    }))
}

/// The body of an answer; the connection rests again once it is written or dropped.
struct Answering {
    body: Body,
    watch: Rc<Watch>,
    /// Whether it may end with its connection alone, as for callers of HTTP/1.0.
    is_unframed: bool,
}

impl HttpBody for Answering {
    type Data = bytes::Bytes;
    type Error = CutShort;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let polled = self.body.as_mut().poll_frame(cx);
        if self.is_unframed && matches!(polled, Poll::Ready(Some(Err(CutShort)))) {
            self.watch.is_reset.set(true);
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

impl Drop for Answering {
    fn drop(&mut self) {
        self.watch.enter(Phase::Rest);
    }
}

/// A connection that notes when the first byte of a head arrives, and ends where the caller takes nothing for too long.
struct Watched {
    stream: TcpStream,
    watch: Rc<Watch>,
    relay: Rc<Relay>,
    unread: Unread,
}

impl Watched {
    /// What a write of `buf` came to, or the end of the connection.
    fn judge(
        &mut self,
        cx: &mut Context<'_>,
        buf: &[u8],
        written: Poll<std::io::Result<usize>>,
    ) -> Poll<std::io::Result<usize>> {
        let Some(waited) = self.unread.note(cx, &written) else {
            return written;
        };
        // The system wakes a writer only once a third of its buffer is free. A caller that took less has taken something.
        if let Ok(count) = SockRef::from(&self.stream).send(buf) {
            self.unread = Unread::default();
            return Poll::Ready(Ok(count));
        }
        if waited < CUT_AFTER {
            return written;
        }
        self.relay.count(|tally| tally.readers_cut += 1);
        let answer_to = self.watch.answer_to.borrow();
        let id = answer_to.as_ref().map_or("", |AnswerTo(id)| id);
        log::info!(event = "slow-reader", id = id, why = "it takes nothing", waited_ms = waited.as_millis() as u64, held = self.relay.read_ahead(); "a caller does not read its answer and is cut off");
        // Frees what the system holds for the caller.
        self.watch.is_reset.set(true);
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }
}

impl Drop for Watched {
    /// A reset can't be taken for the end of an answer without a length.
    fn drop(&mut self) {
        if !self.watch.is_reset.get() {
            return;
        }
        if let Err(err) = self.stream.set_zero_linger() {
            log::debug!(event = "linger", why:% = err; "a connection is closed in order");
        }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before && self.watch.phase.get().0 == Phase::Rest {
            self.watch.enter(Phase::Head);
        }
        polled
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.judge(cx, buf, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        let buf = bufs.iter().find(|buf| !buf.is_empty());
        self.judge(cx, buf.map_or(&[], |buf| buf), written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
