//! A plain service that counts its calls per idempotency key.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use reachtally_listen::{Error, Listener};
use reachtally_target::{KEY_HEADER, NOT_RUN, OUTCOME_HEADER};
use rocket::data::{Data, ToByteUnit};
use rocket::http::{Header, Method, Status};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::response::{self, Responder, Response};
use rocket::route::{Handler, Route};
use rocket::serde::json::Json;
use rocket::{Shutdown, get, post, routes};

use crate::engine::{Fault, Faults};

/// Maximum request body size.
const BODY_MAX_MIB: u64 = 16;

/// Call counts and active faults of a service.
#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<String, u32>,
    total: u64,
    faults: Faults,
}

type Shared = Arc<Mutex<State>>;

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A running service server.
pub struct Service {
    listener: Listener,
    shared: Shared,
}

impl Service {
    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.listener.url()
    }

    /// Returns the number of calls run per idempotency key.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.shared).runs.clone()
    }

    /// Returns the total number of calls run.
    pub fn total(&self) -> u64 {
        lock(&self.shared).total
    }

    /// Injects a fault.
    pub fn fault(&self, fault: Fault) {
        inject(&self.shared, &self.listener.shutdown_handle(), fault);
    }

    /// Stops the server.
    pub async fn stop(self) {
        self.listener.stop().await;
    }

    /// Waits until the server stops, for example by [`Fault::Die`].
    pub async fn stopped(self) {
        self.listener.stopped().await;
    }
}

fn inject(shared: &Shared, shutdown_handle: &Shutdown, fault: Fault) {
    lock(shared).faults.set(fault);
    if fault == Fault::Die {
        shutdown_handle.clone().notify();
    }
}

/// Starts a service server.
///
/// # Errors
/// Returns an error if the address can't be bound.
pub async fn start(listen: reachtally_listen::Options) -> Result<Service, Error> {
    let shared = Shared::default();
    let managed = shared.clone();
    let listener = reachtally_listen::start(listen, |rocket| {
        rocket
            .manage(managed)
            .mount("/", routes![health, fault, runs])
            .mount("/", catch_all_routes())
    })
    .await?;
    Ok(Service { listener, shared })
}

#[get("/health")]
fn health() -> &'static str {
    "up"
}

#[post("/faults", data = "<fault>")]
fn fault(fault: Json<Fault>, shared: &rocket::State<Shared>, shutdown_handle: Shutdown) {
    inject(shared, &shutdown_handle, fault.into_inner());
}

#[get("/runs")]
fn runs(shared: &rocket::State<Shared>) -> Json<BTreeMap<String, u32>> {
    Json(lock(shared).runs.clone())
}

/// Returns the catch-all routes, one for each method.
fn catch_all_routes() -> Vec<Route> {
    const RANK: isize = 10;
    [
        Method::Get,
        Method::Post,
        Method::Put,
        Method::Delete,
        Method::Patch,
    ]
    .into_iter()
    .map(|method| Route::ranked(RANK, method, "/<path..>", RunHandler))
    .collect()
}

#[derive(Clone)]
struct RunHandler;

struct IdempotencyKey(Option<String>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for IdempotencyKey {
    type Error = std::convert::Infallible;

    async fn from_request(req: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        Outcome::Success(IdempotencyKey(
            req.headers().get_one(KEY_HEADER).map(str::to_owned),
        ))
    }
}

#[rocket::async_trait]
impl Handler for RunHandler {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> rocket::route::Outcome<'r> {
        let Some(shared) = req.rocket().state::<Shared>().cloned() else {
            return rocket::route::Outcome::Error(Status::InternalServerError);
        };
        let path: PathBuf = req.segments::<PathBuf>(0..).unwrap_or_default();
        let key = match req.guard::<IdempotencyKey>().await {
            Outcome::Success(IdempotencyKey(key)) => key,
            _ => None,
        };
        let answer = run(&shared, &path, key, data).await;
        rocket::route::Outcome::from(req, answer)
    }
}

struct ServiceAnswer(Result<String, Failure>);

enum Failure {
    NotRun,
    Lost,
}

impl<'r> Responder<'r, 'static> for ServiceAnswer {
    fn respond_to(self, req: &'r Request<'_>) -> response::Result<'static> {
        match self.0 {
            Ok(body) => body.respond_to(req),
            Err(Failure::NotRun) => Response::build()
                .status(Status::ServiceUnavailable)
                .header(Header::new(OUTCOME_HEADER, NOT_RUN))
                .ok(),
            Err(Failure::Lost) => Response::build().status(Status::BadGateway).ok(),
        }
    }
}

async fn run(
    shared: &Shared,
    path: &std::path::Path,
    key: Option<String>,
    data: Data<'_>,
) -> ServiceAnswer {
    let body = data.open(BODY_MAX_MIB.mebibytes()).into_string().await;
    let body = body.map(|body| body.into_inner()).unwrap_or_default();
    if Faults::consume(&mut lock(shared).faults.refuse) {
        return ServiceAnswer(Err(Failure::NotRun));
    }
    let pause = std::mem::take(&mut lock(shared).faults.pause);
    if pause > Duration::ZERO {
        tokio::time::sleep(pause).await;
    }
    let mut state = lock(shared);
    state.total += 1;
    let number = state.total;
    if let Some(key) = key {
        *state.runs.entry(key).or_default() += 1;
    }
    if Faults::consume(&mut state.faults.lose_answers) {
        return ServiceAnswer(Err(Failure::Lost));
    }
    ServiceAnswer(Ok(format!("{} #{number}: {body}", path.display())))
}
