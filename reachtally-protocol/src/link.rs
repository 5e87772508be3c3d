//! Sending a message to another daemon.

use std::time::Duration;

use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::Message;
use crate::codec::{Codec, Error};

/// Time for a connection, a message and its answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A connection as messages.
pub type Link = Framed<TcpStream, Codec>;

/// Messages over an accepted or opened connection.
pub fn link(stream: TcpStream) -> Link {
    Framed::new(stream, Codec::default())
}

/// Send a message that has no answer.
///
/// # Errors
/// [`Error`] if the other daemon can't be reached in time.
pub async fn tell(address: &str, message: Message) -> Result<(), Error> {
    within(async {
        let mut link = link(TcpStream::connect(address).await?);
        link.send(message).await
    })
    .await
}

/// Send a message and wait for its answer.
///
/// # Errors
/// [`Error`] if the other daemon can't be reached, or closes without an answer.
pub async fn ask(address: &str, message: Message) -> Result<Message, Error> {
    within(async {
        let mut link = link(TcpStream::connect(address).await?);
        link.send(message).await?;
        link.next().await.unwrap_or(Err(Error::Missing("answer")))
    })
    .await
}

async fn within<T>(work: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let late = || Error::Io(std::io::ErrorKind::TimedOut.into());
    timeout(TIMEOUT, work).await.unwrap_or_else(|_| Err(late()))
}
