//! One request on one connection to a target.
//!
//! Each request has a connection of its own. So nothing of an earlier answer can stand where the next
//! is due, no forgotten connection is used, and a connection that came about proves that the target
//! listened. It costs a handshake for each request, which is a small part of what the request is worth.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Time for a connection to come about: links take under 10 ms, and a lost opening packet is sent
/// again only after a second, so a second try elsewhere is better than waiting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for a connection that only shows whether a target is there.
const CHECK_TIMEOUT: Duration = Duration::from_millis(80);

/// Whether a target takes connections.
pub async fn is_there(address: SocketAddr) -> bool {
    dial(address, CHECK_TIMEOUT).await.is_ok()
}

/// Why no connection came about.
#[derive(Debug)]
pub enum DialError {
    /// The other end, or this system, said no.
    Refused(std::io::Error),
    /// Nobody said anything: the other end is without power or cut off, or a packet was lost.
    Silent,
}

impl std::fmt::Display for DialError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DialError::Refused(err) => err.fmt(f),
            DialError::Silent => f.write_str("timed out"),
        }
    }
}

/// Open a connection within `patience`.
///
/// # Errors
/// See [`DialError`].
pub(crate) async fn dial(address: SocketAddr, patience: Duration) -> Result<TcpStream, DialError> {
    match tokio::time::timeout(patience, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(err)) => Err(DialError::Refused(err)),
        Err(_) => Err(DialError::Silent),
    }
}

/// Let a connection send small packets at once.
pub(crate) fn send_at_once(stream: &TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!(event = "nodelay", why:% = err; "a connection waits for full packets");
    }
}

/// Why there is no answer.
#[derive(Debug)]
pub enum SendError {
    /// No connection came about; no byte was sent.
    NotConnected(DialError),
    /// The connection broke; the request may have run.
    Broken(String),
}

/// Drives a connection; dropping it closes the connection, which cancels what runs there.
#[derive(Debug)]
pub struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An answer with the connection that carries its body.
#[derive(Debug)]
pub struct Answer {
    /// Its head and body.
    pub response: Response<Incoming>,
    /// Keep it as long as the body is read.
    pub driver: Driver,
}

/// Send a request to `address` over a new connection.
///
/// # Errors
/// See [`SendError`].
pub async fn send(address: SocketAddr, req: Request<Full<Bytes>>) -> Result<Answer, SendError> {
    let (mut sender, driver) = connect(address).await?;
    let sent = sender.send_request(req).await;
    let response = sent.map_err(|err| SendError::Broken(err.to_string()))?;
    Ok(Answer { response, driver })
}

/// Open a connection to `address`.
///
/// # Errors
/// [`SendError::NotConnected`] if none came about in time.
pub async fn connect(
    address: SocketAddr,
) -> Result<(http1::SendRequest<Full<Bytes>>, Driver), SendError> {
    let dialled = dial(address, CONNECT_TIMEOUT).await;
    let stream = dialled.map_err(SendError::NotConnected)?;
    send_at_once(&stream);
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BUFFER)
        .handshake(TokioIo::new(stream));
    let (sender, connection) = handshake
        .await
        .map_err(|err| SendError::NotConnected(DialError::Refused(std::io::Error::other(err))))?;
    let driver = tokio::task::spawn_local(async move {
        if let Err(err) = connection.await {
            log::debug!(event = "target-connection", why:% = err; "a connection to a target broke");
        }
    });
    Ok((sender, Driver(driver)))
}

/// Most bytes buffered of a target's answer on each connection; a slow caller holds up only its own.
const READ_BUFFER: usize = 64 * 1024;
