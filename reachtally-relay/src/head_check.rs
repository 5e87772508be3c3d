//! Checks on what is read of a connection before the head of a response is complete.
//!
//! The HTTP library limits the size of one head, but not the number of interim responses before it, and it accepts lines that end with a
//! single LF.

use std::cell::RefCell;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use reachtally_framing::{HeadScanner, Malformed};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes that are read until the head of a response is complete. The last read may hold the begin of its body.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// The head that is expected on a connection, if any.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadCheck(Rc<RefCell<State>>);

#[derive(Debug, Default)]
struct State {
    expected: Option<ExpectedHead>,
    malformed: Option<Malformed>,
}

#[derive(Debug)]
struct ExpectedHead {
    /// The number of bytes that may still be read.
    left: usize,
    scanner: HeadScanner,
}

impl HeadCheck {
    /// Checks what is read from now on.
    pub fn expect_head(&self) {
        self.0.borrow_mut().expected = Some(ExpectedHead {
            left: MAX_HEAD_BYTES,
            scanner: HeadScanner::default(),
        });
    }

    /// Ends the checks.
    pub fn head_complete(&self) {
        self.0.borrow_mut().expected = None;
    }

    /// Returns why the head that failed the checks is malformed, if it is.
    pub fn take_malformed(&self) -> Option<Malformed> {
        self.0.borrow_mut().malformed.take()
    }

    fn record(&self, bytes: &[u8]) -> Result<()> {
        let mut state = self.0.borrow_mut();
        let Some(head) = &mut state.expected else {
            return Ok(());
        };
        let checked = match head.left.checked_sub(bytes.len()) {
            Some(left) => {
                head.left = left;
                head.scanner.scan(bytes)
            }
            None => Err(Malformed::TooLong(MAX_HEAD_BYTES)),
        };
        checked.map_err(|why| {
            state.malformed = Some(why.clone());
            Error::new(ErrorKind::InvalidData, why)
        })
    }
}

/// A connection to a target.
pub(crate) struct CheckedStream {
    pub stream: TcpStream,
    pub check: HeadCheck,
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = &buf.filled()[before..];
        polled.map(|polled| polled.and_then(|()| self.check.record(read)))
    }
}

impl AsyncWrite for CheckedStream {
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
