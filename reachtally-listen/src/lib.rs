//! Starting and stopping an HTTP listener.
//!
//! Rocket's own signal handling and shutdown grace period are off: the program above decides when a
//! listener stops, and finishes its streams before it does.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::net::{IpAddr, SocketAddr};

use rocket::config::{Config, LogLevel, Shutdown as ShutdownConfig};
use rocket::error::ErrorKind;
use rocket::fairing::AdHoc;
use rocket::{Build, Rocket, Shutdown};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Seconds an idle connection is kept for its next request.
const KEEP_ALIVE_S: u32 = 75;

/// Where to listen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The address.
    pub ip: IpAddr,
    /// The port, 0 for any free one.
    pub port: u16,
    /// Seconds that a stop waits for answers to be written out before it closes connections.
    pub grace_s: u32,
}

impl Options {
    /// Listen on `address`, closing connections at once on a stop.
    pub fn at(address: SocketAddr) -> Self {
        Options {
            ip: address.ip(),
            port: address.port(),
            grace_s: 0,
        }
    }

    /// Listen on any free port of the loopback address.
    pub fn loopback() -> Self {
        Options::at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }
}

/// Why a listener did not start.
#[derive(Debug)]
pub enum Error {
    /// The address could not be bound.
    Bind {
        /// The address asked for.
        address: SocketAddr,
        /// The system's reason.
        cause: std::io::Error,
    },
    /// Anything else, such as two routes that collide.
    Launch(String),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Bind { address, cause } => write!(f, "can't listen on {address}: {cause}"),
            Error::Launch(cause) => write!(f, "can't start the listener: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// A running listener.
#[derive(Debug)]
pub struct Listener {
    /// The address bound.
    pub address: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

impl Listener {
    /// The base address of its routes.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Close the port and every connection, streams in flight included.
    pub async fn stop(self) {
        self.shutdown.notify();
        // An error here means that the listener's task panicked; it is gone all the same.
        self.task.await.ok();
    }

    /// Wait until the listener stops by itself.
    pub async fn stopped(self) {
        self.task.await.ok();
    }

    /// A handle that closes the listener from elsewhere.
    pub fn closer(&self) -> Shutdown {
        self.shutdown.clone()
    }
}

fn config(options: Options) -> Config {
    Config {
        address: options.ip,
        port: options.port,
        keep_alive: KEEP_ALIVE_S,
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: Default::default(),
            grace: options.grace_s,
            mercy: 0,
            force: false,
            ..Default::default()
        },
        ..Config::default()
    }
}

/// Start listening with the routes and state that `build` adds.
///
/// # Errors
/// [`Error::Bind`] if the port is in use, [`Error::Launch`] if Rocket refuses the routes.
pub async fn start<F>(options: Options, build: F) -> Result<Listener, Error>
where
    F: FnOnce(Rocket<Build>) -> Rocket<Build>,
{
    let (tx, rx) = oneshot::channel();
    let report = AdHoc::on_liftoff("report the port", move |rocket| {
        Box::pin(async move {
            // The receiver waits below; if it is gone nobody needs the port.
            tx.send((rocket.config().port, rocket.shutdown())).ok();
        })
    });
    let rocket = build(rocket::custom(config(options))).attach(report);
    let (err_tx, err_rx) = oneshot::channel();
    let task = tokio::spawn(async move {
        if let Err(err) = rocket.launch().await {
            err_tx.send(classify(&err, options)).ok();
        }
    });
    match rx.await {
        Ok((port, shutdown)) => Ok(Listener {
            address: SocketAddr::new(options.ip, port),
            shutdown,
            task,
        }),
        Err(_) => Err(err_rx
            .await
            .unwrap_or_else(|_| Error::Launch("stopped before it started".into()))),
    }
}

fn classify(err: &rocket::Error, options: Options) -> Error {
    match err.kind() {
        ErrorKind::Bind(cause) => Error::Bind {
            address: SocketAddr::new(options.ip, options.port),
            cause: std::io::Error::new(cause.kind(), cause.to_string()),
        },
        // Printing marks the error as seen; Rocket panics on one that is dropped unseen.
        other => Error::Launch(other.to_string()),
    }
}
