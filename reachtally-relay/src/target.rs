//! Connections to targets, and the exchange of one request on them.
//!
//! A request that may not be repeated gets a new connection. So no data of an earlier response can be taken
//! for its own, and a successful connect proves that the target was listening.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use reachtally_framing::{Framing, Malformed};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::head_check::{CheckedStream, HeadCheck};

/// Connect timeout. Links take under 10 ms, and a lost SYN is retransmitted only after a second, so trying
/// another target is better than waiting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Connect timeout of probes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(80);

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// The target accepts connections.
    Accepted,
    /// The machine is up, and nothing listens on the port.
    Refused,
    /// No response, or a local failure.
    Silent,
}

/// Probes whether `address` accepts connections.
pub async fn probe(address: SocketAddr) -> Probe {
    match dial(address, PROBE_TIMEOUT).await {
        Ok(_) => Probe::Accepted,
        Err(DialError::Refused(err)) if err.kind() == ErrorKind::ConnectionRefused => {
            Probe::Refused
        }
        Err(_) => Probe::Silent,
    }
}

/// Asks the target at `address` whether it is well, at `path`. Any response shows that it reads what it is sent, also a malformed one,
/// which is returned as such: the system accepts connections for a process that is stopped.
///
/// # Errors
/// [`DialError::Silent`] if there is no response in time; otherwise see [`DialError`].
pub(crate) async fn check_reads(
    address: SocketAddr,
    path: &str,
) -> Result<Result<Response<Incoming>, Malformed>, DialError> {
    let failed =
        |err: &dyn std::fmt::Display| DialError::Refused(std::io::Error::other(err.to_string()));
    let req = Request::get(path).header(HOST, address.to_string());
    let req = req.body(Full::default()).map_err(|err| failed(&err))?;
    match tokio::time::timeout(CONNECT_TIMEOUT, send(address, req, || ())).await {
        Ok(Ok(answer)) => Ok(Ok(answer.response)),
        Ok(Err(SendError::Malformed(why))) => Ok(Err(why)),
        Ok(Err(SendError::NotConnected(why))) => Err(why),
        Ok(Err(SendError::Broken(why) | SendError::Stale(why))) => Err(failed(&why)),
        Err(_) => Err(DialError::Silent),
    }
}

/// Returns whether the machine at `address` is up and actively refuses connections.
pub(crate) async fn refuses_connections(address: SocketAddr) -> bool {
    probe(address).await == Probe::Refused
}

/// Reason for a failure to connect.
#[derive(Debug)]
pub enum DialError {
    /// The connection was refused by the remote end or failed locally.
    Refused(std::io::Error),
    /// The connection timed out: the remote end is down or partitioned, or a packet was lost.
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

/// Opens a TCP connection within `timeout`.
///
/// # Errors
/// See [`DialError`].
pub(crate) async fn dial(address: SocketAddr, timeout: Duration) -> Result<TcpStream, DialError> {
    match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(err)) => Err(DialError::Refused(err)),
        Err(_) => Err(DialError::Silent),
    }
}

/// Disables Nagle's algorithm, so that small packets are sent immediately.
pub(crate) fn set_nodelay(stream: &TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!(event = "nodelay", why:% = err; "failed to set TCP_NODELAY; small packets may be delayed");
    }
}

/// Reason for a missing response.
#[derive(Debug)]
pub enum SendError {
    /// The connect failed; no byte was sent.
    NotConnected(DialError),
    /// The connection failed; the request may have run.
    Broken(String),
    /// A reused connection failed, which says nothing about the target; the request may have run.
    Stale(String),
    /// The response is malformed; the request may have run.
    Malformed(Malformed),
}

/// Reason for a missing response on an open connection.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection failed. The error holds the request if no byte of it was sent.
    Connection(Box<TrySendError<Request<Full<Bytes>>>>),
    /// The response is malformed; the request may have run.
    Malformed(Malformed),
}

/// Task that drives a connection or reads a stream. Dropping it aborts the task, which cancels the request at
/// the remote end.
#[derive(Debug)]
pub struct Driver(pub(crate) JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Open connection to a target. It is closed when dropped.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    head_check: HeadCheck,
    _driver: Driver,
}

/// Response whose head allows one framing only, which its headers no longer name.
#[derive(Debug)]
pub struct FramedResponse {
    /// Head and body.
    pub response: Response<Incoming>,
    /// What ends the body.
    pub framing: Framing,
}

/// Response of a target, with the connection that carries its body.
#[derive(Debug)]
pub struct Answer {
    /// Head and body. The headers do not name the framing.
    pub response: Response<Incoming>,
    /// What ends the body.
    pub framing: Framing,
    /// Connection, which must be kept while the body is read.
    pub connection: Connection,
    /// Whether the connection has carried an earlier response.
    pub is_reused: bool,
}

impl Connection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    /// [`SendError::NotConnected`] if the connect fails or times out.
    pub async fn open(address: SocketAddr) -> Result<Connection, SendError> {
        let dialled = dial(address, CONNECT_TIMEOUT).await;
        let stream = dialled.map_err(SendError::NotConnected)?;
        set_nodelay(&stream);
        let head_check = HeadCheck::default();
        let checked = CheckedStream {
            stream,
            check: head_check.clone(),
        };
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .handshake(TokioIo::new(checked));
        let (sender, connection) = handshake.await.map_err(|err| {
            SendError::NotConnected(DialError::Refused(std::io::Error::other(err)))
        })?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(err) = connection.await {
                log::debug!(event = "target-connection", why:% = err; "connection to a target failed");
            }
        });
        Ok(Connection {
            address,
            sender,
            head_check,
            _driver: Driver(driver),
        })
    }

    /// Returns the remote address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the last response is complete and the connection is still open.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the last response is complete; returns false if the connection has closed.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    fn answer(self, sent: FramedResponse, is_reused: bool) -> Answer {
        Answer {
            response: sent.response,
            framing: sent.framing,
            connection: self,
            is_reused,
        }
    }

    /// Sends a request.
    ///
    /// # Errors
    /// See [`ExchangeError`].
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<FramedResponse, ExchangeError> {
        let method = req.method().clone();
        self.head_check.expect_head();
        let sent = self.sender.try_send_request(req).await;
        self.head_check.head_complete();
        let mut response = sent.map_err(|err| self.exchange_error(err))?;
        let (status, version) = (response.status(), response.version());
        let framing = reachtally_framing::of_response(&method, status, version, response.headers());
        let framing = framing.map_err(ExchangeError::Malformed)?;
        framing.strip(response.headers_mut());
        Ok(FramedResponse { response, framing })
    }

    fn exchange_error(&self, err: TrySendError<Request<Full<Bytes>>>) -> ExchangeError {
        if let Some(why) = self.head_check.take_malformed() {
            return ExchangeError::Malformed(why);
        }
        if err.error().is_parse() {
            let why = err.error().to_string();
            return ExchangeError::Malformed(Malformed::Unparsable(why));
        }
        ExchangeError::Connection(Box::new(err))
    }
}

/// Sends a request to `address` over a new connection. Calls `on_write` once the connection is open and the request is written to it.
///
/// # Errors
/// See [`SendError`].
pub async fn send(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    on_write: impl FnOnce(),
) -> Result<Answer, SendError> {
    let mut connection = Connection::open(address).await?;
    on_write();
    match connection.send(req).await {
        Ok(sent) => Ok(connection.answer(sent, false)),
        Err(ExchangeError::Malformed(why)) => Err(SendError::Malformed(why)),
        Err(ExchangeError::Connection(err)) => Err(SendError::Broken(err.error().to_string())),
    }
}

/// Sends a repeatable request over an idle connection, or over a new one if the idle one is closed. Calls `on_write` before each write.
///
/// # Errors
/// See [`SendError`].
pub async fn send_on_idle(
    mut kept: Connection,
    req: Request<Full<Bytes>>,
    on_write: impl Fn(),
) -> Result<Answer, SendError> {
    on_write();
    match kept.send(req).await {
        Ok(sent) => Ok(kept.answer(sent, true)),
        Err(ExchangeError::Malformed(why)) => Err(SendError::Malformed(why)),
        Err(ExchangeError::Connection(mut err)) => match err.take_message() {
            Some(req) => send(kept.address, req, on_write).await,
            None => Err(SendError::Stale(err.error().to_string())),
        },
    }
}

/// Maximum number of response bytes buffered per connection. A slow caller delays only its own connection.
const READ_BUFFER: usize = 64 * 1024;
