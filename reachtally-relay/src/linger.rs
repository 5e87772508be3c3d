//! Reads on after a response that was sent before the end of its request, so that the caller can read it.
//!
//! If a connection is closed with unread data, the system resets it, and the caller's system then discards a response that the caller
//! has not read yet.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::Sleep;

/// Time for which data is discarded.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Number of bytes that are discarded.
const LINGER_BYTES: usize = 4 * 1024 * 1024;
/// Number of bytes of one read.
const READ_BYTES: usize = 8 * 1024;

/// Discards what a caller still sends, after the connection was shut down for writing.
#[derive(Debug, Default)]
pub(crate) struct Linger {
    end: Option<Pin<Box<Sleep>>>,
    discarded: usize,
}

impl Linger {
    /// Discards data until the caller closes the connection, or until a limit is reached.
    pub fn poll(
        &mut self,
        cx: &mut Context<'_>,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> Poll<()> {
        let begin = || Box::pin(tokio::time::sleep(LINGER_TIME));
        let end = self.end.get_or_insert_with(begin);
        if end.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut bytes = [0; READ_BYTES];
        while self.discarded < LINGER_BYTES {
            let mut buf = ReadBuf::new(&mut bytes);
            match Pin::new(&mut *stream).poll_read(cx, &mut buf) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    self.discarded += buf.filled().len();
                }
                // The connection has ended.
                Poll::Ready(_) => break,
            }
        }
        Poll::Ready(())
    }
}
