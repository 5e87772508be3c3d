//! Starts and stops HTTP listeners.
//!
//! Rocket's signal handling is disabled, and on shutdown it waits no longer than [`Options::grace_s`]: the
//! calling program decides when a listener stops, and finishes its streams first.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::net::{IpAddr, SocketAddr};

use rocket::config::{Config, LogLevel, Shutdown as ShutdownConfig};
use rocket::error::ErrorKind;
use rocket::fairing::AdHoc;
use rocket::{Build, Rocket, Shutdown};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// How long an idle connection is kept open, in seconds.
const KEEP_ALIVE_S: u32 = 75;

/// The address to listen on, and how to shut down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The IP address to bind.
    pub ip: IpAddr,
    /// The port to bind; 0 selects a free port.
    pub port: u16,
    /// How long a shutdown waits for responses to be written before it closes connections, in seconds.
    pub grace_s: u32,
}

impl Options {
    /// Options to listen on `address` and to close connections immediately on shutdown.
    pub fn at(address: SocketAddr) -> Self {
        Options {
            ip: address.ip(),
            port: address.port(),
            grace_s: 0,
        }
    }

    /// Options to listen on a free port of the loopback address.
    pub fn loopback() -> Self {
        Options::at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }
}

/// An error that prevented a listener from starting.
#[derive(Debug)]
pub enum Error {
    /// The address could not be bound.
    Bind {
        /// The requested address.
        address: SocketAddr,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// Any other error, such as colliding routes.
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
    /// The bound address.
    pub address: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

impl Listener {
    /// Returns the base URL of the routes.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Closes the port and all connections, including streams in flight.
    pub async fn stop(self) {
        self.shutdown.notify();
        // An error means that the listener's task panicked; it has ended in either case.
        self.task.await.ok();
    }

    /// Waits until the listener stops without being asked to.
    pub async fn stopped(self) {
        self.task.await.ok();
    }

    /// Returns a handle that shuts the listener down from another task.
    pub fn shutdown_handle(&self) -> Shutdown {
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

/// Starts a listener with the routes and state that `build` adds.
///
/// # Errors
/// [`Error::Bind`] if the address can't be bound, [`Error::Launch`] if Rocket fails to launch, for example
/// because routes collide.
pub async fn start<F>(options: Options, build: F) -> Result<Listener, Error>
where
    F: FnOnce(Rocket<Build>) -> Rocket<Build>,
{
    let (started_tx, started_rx) = oneshot::channel();
    let report_start = AdHoc::on_liftoff("report the port", move |rocket| {
        Box::pin(async move {
            // Fails only if the caller has dropped its future and no longer needs the port.
            started_tx
                .send((rocket.config().port, rocket.shutdown()))
                .ok();
        })
    });
    let rocket = build(rocket::custom(config(options))).attach(report_start);
    let (err_tx, err_rx) = oneshot::channel();
    let task = tokio::spawn(async move {
        if let Err(err) = rocket.launch().await {
            err_tx.send(launch_error(&err, options)).ok();
        }
    });
    match started_rx.await {
        Ok((port, shutdown)) => Ok(Listener {
            address: SocketAddr::new(options.ip, port),
            shutdown,
            task,
        }),
        Err(_) => Err(err_rx
            .await
            .unwrap_or_else(|_| Error::Launch("the listener stopped before it was ready".into()))),
    }
}

fn launch_error(err: &rocket::Error, options: Options) -> Error {
    match err.kind() {
        ErrorKind::Bind(cause) => Error::Bind {
            address: SocketAddr::new(options.ip, options.port),
            cause: std::io::Error::new(cause.kind(), cause.to_string()),
        },
        // Formatting marks the error as handled; Rocket panics when an unhandled error is dropped.
        other => Error::Launch(other.to_string()),
    }
}
