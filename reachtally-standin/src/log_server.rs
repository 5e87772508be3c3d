//! An HTTP server for the append-only log, backed by [`MemoryLog`].

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use reachtally_listen::{Error, Listener};
use reachtally_log::http::Appended;
use reachtally_log::memory::{Faults, MemoryLog, Options};
use reachtally_log::{AppendError, Log, Page};
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{get, post, routes};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A running log server.
pub struct LogServer {
    listener: Listener,
    log: MemoryLog,
}

impl LogServer {
    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.listener.url()
    }

    /// Returns the log that backs the server.
    pub fn log(&self) -> &MemoryLog {
        &self.log
    }

    /// Stops the server.
    pub async fn stop(self) {
        self.listener.stop().await;
    }

    /// Waits until the server stops.
    pub async fn stopped(self) {
        self.listener.stopped().await;
    }
}

/// Starts a server for a new log.
///
/// # Errors
/// Returns an error if the address can't be bound.
pub async fn start(
    listen: reachtally_listen::Options,
    options: Options,
) -> Result<LogServer, Error> {
    entrance(listen, MemoryLog::new(options)).await
}

/// Starts another server for the same log, which can be partitioned from it independently.
///
/// # Errors
/// Returns an error if the address can't be bound.
pub async fn entrance(
    listen: reachtally_listen::Options,
    log: MemoryLog,
) -> Result<LogServer, Error> {
    let managed = log.clone();
    let listener = reachtally_listen::start(listen, |rocket| {
        rocket
            .manage(managed)
            .manage(Cut::default())
            .mount("/", routes![append, read, faults, cut])
    })
    .await?;
    Ok(LogServer { listener, log })
}

/// Whether this server is partitioned from the log.
#[derive(Debug, Default)]
struct Cut(AtomicBool);

#[post("/cut", data = "<is_cut>")]
fn cut(is_cut: Json<bool>, cut: &rocket::State<Cut>) {
    cut.0.store(is_cut.into_inner(), Ordering::SeqCst);
}

#[post("/streams/<stream>", data = "<data>")]
async fn append(
    stream: &str,
    data: Json<Value>,
    log: &rocket::State<MemoryLog>,
    cut: &rocket::State<Cut>,
) -> Result<Json<Appended>, Status> {
    if cut.0.load(Ordering::SeqCst) {
        return Err(Status::ServiceUnavailable);
    }
    match log.append(stream, data.into_inner()).await {
        Ok(offset) => Ok(Json(Appended { offset })),
        Err(AppendError::Refused) => Err(Status::TooManyRequests),
        Err(AppendError::Lost) => Err(Status::BadGateway),
    }
}

#[get("/streams/<stream>?<from>&<wait_ms>")]
async fn read(
    stream: &str,
    from: u64,
    wait_ms: Option<u64>,
    log: &rocket::State<MemoryLog>,
    cut: &rocket::State<Cut>,
) -> Result<Json<Page>, Status> {
    if cut.0.load(Ordering::SeqCst) {
        return Err(Status::ServiceUnavailable);
    }
    let page = log.read(stream, from, wait_ms.unwrap_or(0)).await;
    page.map(Json).map_err(|_| Status::ServiceUnavailable)
}

/// Request body of `POST /faults`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct FaultsBody {
    /// Whether appends and reads fail.
    #[serde(default)]
    pub down: bool,
    /// Number of next appends that are applied but whose response is lost.
    #[serde(default)]
    pub lose_answers: u32,
    /// Delay before each append or read is processed, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

#[post("/faults", data = "<body>")]
fn faults(body: Json<FaultsBody>, log: &rocket::State<MemoryLog>) {
    log.set_faults(Faults {
        down: body.down,
        lose_answers: body.lose_answers,
        delay: Duration::from_millis(body.delay_ms),
    });
}
