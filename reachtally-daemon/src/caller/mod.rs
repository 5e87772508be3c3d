//! The listener for callers.

pub mod answer;
pub mod auth;
pub mod body;
pub mod completions;
pub mod services;
pub mod stream;

use rocket::fairing::AdHoc;
use rocket::http::{ContentType, Header, StatusClass};
use rocket::response::Response;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, catch, catchers, get, routes};
use serde::Serialize;
use tokio::sync::watch;

use crate::actor::Handle;
use crate::caller::answer::{Failure, OUTCOME_HEADER, Outcome};
use crate::caller::auth::Caller;
use crate::view::{Readiness, View};
use std::time::Duration;

/// What the routes share.
pub struct Shared {
    /// The actor.
    pub handle: Handle,
    /// What the actor publishes.
    pub view: watch::Receiver<View>,
    /// The longest body, in bytes.
    pub body_bytes: u64,
    /// How long a request may take.
    pub patience: Duration,
    /// Streams whose end has not been handed to the connection yet.
    pub open: OpenStreams,
}

/// Counts the answers that are being written.
#[derive(Debug, Clone)]
pub struct OpenStreams(watch::Sender<usize>);

impl Default for OpenStreams {
    fn default() -> Self {
        OpenStreams(watch::Sender::new(0))
    }
}

impl OpenStreams {
    /// Count one more until the guard is dropped.
    pub fn enter(&self) -> OpenStream {
        self.0.send_modify(|open| *open += 1);
        OpenStream(self.0.clone())
    }

    /// Wait until no answer is being written.
    pub async fn drained(&self) {
        let mut rx = self.0.subscribe();
        // The sender is `self`, so the wait can't fail.
        rx.wait_for(|open| *open == 0).await.ok();
    }
}

/// One answer being written.
#[derive(Debug)]
pub struct OpenStream(watch::Sender<usize>);

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.send_modify(|open| *open -= 1);
    }
}

/// Add the callers' routes.
pub fn mount(rocket: Rocket<Build>, shared: Shared) -> Rocket<Build> {
    rocket
        .manage(shared)
        .mount("/health", routes![live, ready])
        .mount("/v1", routes![completions::text, completions::chat, models])
        .mount("/services", services::routes())
        .register("/", catchers![other])
        .attach(AdHoc::on_response("outcome", |_, response| {
            Box::pin(async move { add_outcome(response) })
        }))
}

/// Every answer carries an outcome. A stream does so in its last event; what sets none itself is an
/// answer of the daemon's own, complete if it succeeded.
fn add_outcome(response: &mut Response<'_>) {
    let streams = response.content_type() == Some(ContentType::EventStream);
    if streams || response.headers().contains(OUTCOME_HEADER) {
        return;
    }
    let outcome = match response.status().class() {
        StatusClass::Success => Outcome::Completed,
        _ => Outcome::NotRun,
    };
    response.set_header(Header::new(OUTCOME_HEADER, outcome.name()));
}

#[get("/live")]
fn live() -> &'static str {
    "live"
}

#[get("/ready")]
fn ready(shared: &State<Shared>) -> Result<&'static str, Failure> {
    match shared.view.borrow().readiness {
        Readiness::Ready => Ok("ready"),
        Readiness::NoConfig => Err(Failure::not_ready("no configuration has been read yet")),
        Readiness::Stopping => Err(Failure::not_ready("the daemon is stopping")),
    }
}

#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[get("/models")]
fn models(caller: Result<Caller, Failure>) -> Result<Json<ModelList>, Failure> {
    let caller = caller?;
    let names = caller.account.models.iter().chain(&caller.account.adapters);
    let entry = |id: &String| ModelEntry {
        id: id.clone(),
        object: "model",
    };
    Ok(Json(ModelList {
        object: "list",
        data: names.map(entry).collect(),
    }))
}

#[catch(default)]
fn other(status: rocket::http::Status, _: &rocket::Request<'_>) -> Failure {
    Failure::no_route(status)
}
