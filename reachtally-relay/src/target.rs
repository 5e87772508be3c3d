//! One request on one connection to a target.
//!
//! A request that may not be repeated has a connection of its own. So nothing of an earlier answer can
//! stand where its own is due, and a connection that came about proves that the target listened.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
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

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// The target accepts connections.
    Accepted,
    /// Its machine is there, and nothing listens.
    Refused,
    /// No answer, or a failure of this system.
    Silent,
}

/// Opens a connection to `address` only to see whether it is accepted.
pub async fn probe(address: SocketAddr) -> Probe {
    match dial(address, CHECK_TIMEOUT).await {
        Ok(_) => Probe::Accepted,
        Err(DialError::Refused(err)) if err.kind() == ErrorKind::ConnectionRefused => {
            Probe::Refused
        }
        Err(_) => Probe::Silent,
    }
}

/// Whether nothing listens at `address` any more: a machine is there and says so.
pub(crate) async fn listens_no_more(address: SocketAddr) -> bool {
    probe(address).await == Probe::Refused
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
    /// A connection that was kept broke, which says nothing of the target; the request may have run.
    Stale(String),
}

/// Drives a connection, or the reading of a stream. Dropping it ends that, which cancels what runs at the other end.
#[derive(Debug)]
pub struct Driver(pub(crate) JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection to a target. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: Driver,
}

/// An answer with the connection that carries its body.
#[derive(Debug)]
pub struct Answer {
    /// Its head and body.
    pub response: Response<Incoming>,
    /// Keep it as long as the body is read.
    pub connection: Connection,
    /// Whether an earlier answer came over the connection.
    pub is_reused: bool,
}

impl Connection {
    /// Open a connection to `address`.
    ///
    /// # Errors
    /// [`SendError::NotConnected`] if none came about in time.
    pub async fn open(address: SocketAddr) -> Result<Connection, SendError> {
        let dialled = dial(address, CONNECT_TIMEOUT).await;
        let stream = dialled.map_err(SendError::NotConnected)?;
        send_at_once(&stream);
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|err| {
            SendError::NotConnected(DialError::Refused(std::io::Error::other(err)))
        })?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(err) = connection.await {
                log::debug!(event = "target-connection", why:% = err; "a connection to a target broke");
            }
        });
        Ok(Connection {
            address,
            sender,
            _driver: Driver(driver),
        })
    }

    /// The other end.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the last answer is over and the target has not closed the connection.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Wait until the last answer is over; false if the connection is.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Send a request.
    ///
    /// # Errors
    /// The request, if not a byte of it was sent; else why the connection broke.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Box<TrySendError<Request<Full<Bytes>>>>> {
        self.sender.try_send_request(req).await.map_err(Box::new)
    }
}

/// Send a request to `address` over a new connection.
///
/// # Errors
/// See [`SendError`].
pub async fn send(address: SocketAddr, req: Request<Full<Bytes>>) -> Result<Answer, SendError> {
    let mut connection = Connection::open(address).await?;
    let sent = connection.send(req).await;
    let response = sent.map_err(|err| SendError::Broken(err.error().to_string()))?;
    Ok(Answer {
        response,
        connection,
        is_reused: false,
    })
}

/// Send a request that may run twice over a connection that was kept, or over a new one if it is closed.
///
/// # Errors
/// See [`SendError`].
pub async fn send_again(
    mut kept: Connection,
    req: Request<Full<Bytes>>,
) -> Result<Answer, SendError> {
    match kept.send(req).await {
        Ok(response) => Ok(Answer {
            response,
            connection: kept,
            is_reused: true,
        }),
        Err(mut err) => match err.take_message() {
            Some(req) => send(kept.address, req).await,
            None => Err(SendError::Stale(err.error().to_string())),
        },
    }
}

/// Most bytes buffered of a target's answer on each connection; a slow caller holds up only its own.
const READ_BUFFER: usize = 64 * 1024;
