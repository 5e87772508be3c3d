//! Connections to other daemons.

use std::time::Duration;

use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::Message;
use crate::codec::{Codec, Error};

/// Timeout of a connection, including the message and its answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A connection that carries messages.
pub type Link = Framed<TcpStream, Codec>;

/// Wraps an accepted or opened connection.
pub fn link(stream: TcpStream) -> Link {
    Framed::new(stream, Codec::default())
}

/// Sends a message that has no answer.
///
/// # Errors
/// [`Error`] if the message can't be sent within the timeout.
pub async fn send_message(address: &str, message: Message) -> Result<(), Error> {
    with_timeout(async {
        let mut link = link(TcpStream::connect(address).await?);
        link.send(message).await
    })
    .await
}

/// Sends a message and waits for its answer.
///
/// # Errors
/// [`Error`] if no answer arrives within the timeout, or the other daemon closes the connection without one.
pub async fn request(address: &str, message: Message) -> Result<Message, Error> {
    with_timeout(async {
        let mut link = link(TcpStream::connect(address).await?);
        link.send(message).await?;
        link.next().await.unwrap_or(Err(Error::Missing("answer")))
    })
    .await
}

async fn with_timeout<T>(operation: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let timed_out = || Error::Io(std::io::ErrorKind::TimedOut.into());
    timeout(TIMEOUT, operation)
        .await
        .unwrap_or_else(|_| Err(timed_out()))
}
