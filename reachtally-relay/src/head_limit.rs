//! A limit on what is read of a connection before the head of a response is complete.
//!
//! The HTTP library limits the size of one head, but not the number of interim responses before it.

use std::cell::Cell;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes that are read until the head of a response is complete. The last read may hold the begin of its body.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// The number of bytes that may still be read; `None` without limit.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadLimit(Rc<Cell<Option<usize>>>);

impl HeadLimit {
    /// Limits what is read from now on.
    pub fn expect_head(&self) {
        self.0.set(Some(MAX_HEAD_BYTES));
    }

    /// Removes the limit.
    pub fn head_complete(&self) {
        self.0.set(None);
    }

    fn record(&self, count: usize) -> Result<()> {
        let Some(left) = self.0.get() else {
            return Ok(());
        };
        let left = left.checked_sub(count).ok_or_else(|| {
            let why = format!("no response within {MAX_HEAD_BYTES} bytes");
            Error::new(ErrorKind::InvalidData, why)
        })?;
        self.0.set(Some(left));
        Ok(())
    }
}

/// A connection to a target.
pub(crate) struct LimitedStream {
    pub stream: TcpStream,
    pub limit: HeadLimit,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let count = buf.filled().len() - before;
        polled.map(|read| read.and_then(|()| self.limit.record(count)))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
