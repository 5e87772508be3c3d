//! HTTP listener for operators.

pub mod auth;
pub mod tables;

use std::time::Duration;

use reachtally_command::{Command, CommandResponse, ErrorResponse, Published, parse};
use reachtally_config::settings::{Operator, Role};
use reachtally_core::declare::{Kind, Object};
use reachtally_core::fold::{Config, Edit, EditChange, Operation};
use reachtally_log::AppendError;
use reachtally_log::http::HttpPlatform;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, get, post, routes};
use tokio::sync::{oneshot, watch};

use crate::actor::{Answer, Handle, Message, Query};
use crate::ended::Ended;
use crate::operator::auth::Authorized;
use crate::publish;
use crate::view::View;

/// Maximum time to wait until this daemon has folded a published operation.
const FOLD_WAIT: Duration = Duration::from_secs(5);

/// State shared by the routes.
pub struct Shared {
    /// Handle of the actor.
    pub handle: Handle,
    /// The view that the actor publishes.
    pub view: watch::Receiver<View>,
    /// The operators with their roles and key hashes.
    pub operators: Vec<Operator>,
    /// Client for the platform's log.
    pub platform: HttpPlatform,
}

/// Mounts the operators' routes.
pub fn mount(rocket: Rocket<Build>, shared: Shared) -> Rocket<Build> {
    rocket
        .manage(shared)
        .mount("/v1", routes![command, apply, counters, ended])
}

/// An error response.
pub type Failed = (Status, Json<ErrorResponse>);

fn failed(status: Status, message: impl Into<String>) -> Failed {
    let message = message.into();
    (status, Json(ErrorResponse { message }))
}

#[post("/commands", data = "<text>")]
async fn command(
    text: &str,
    operator: Authorized,
    shared: &State<Shared>,
) -> Result<Json<CommandResponse>, Failed> {
    let command = parse(text).map_err(|err| failed(Status::BadRequest, err.to_string()))?;
    match command {
        Command::Show(subject) => match query(shared, Query::Show(subject)).await? {
            Answer::Table(table) => Ok(Json(CommandResponse::Table(table))),
            _ => Err(failed(Status::InternalServerError, "unexpected answer")),
        },
        Command::Drain(name) => drain(shared, &operator, &name, EditChange::Drain(true)).await,
        Command::Undrain(name) => drain(shared, &operator, &name, EditChange::Stop(false)).await,
        Command::Stop(name) => drain(shared, &operator, &name, EditChange::Stop(true)).await,
    }
}

async fn drain(
    shared: &Shared,
    operator: &Authorized,
    name: &str,
    change: EditChange,
) -> Result<Json<CommandResponse>, Failed> {
    operator.require(Role::Operate)?;
    let config = config(shared).await?;
    let kind = if config.get(Kind::Engine, name).is_some() {
        Kind::Engine
    } else if config.get(Kind::Service, name).is_some() {
        Kind::Service
    } else {
        return Err(failed(
            Status::NotFound,
            format!("no target {name:?} is declared"),
        ));
    };
    let edit = Edit {
        kind,
        name: name.to_owned(),
        base: config.revision(kind, name),
        change,
    };
    let published = publish(shared, operator, vec![edit]).await?;
    Ok(Json(CommandResponse::Published(published)))
}

#[post("/apply", data = "<objects>")]
async fn apply(
    objects: Json<Vec<Object>>,
    operator: Authorized,
    shared: &State<Shared>,
) -> Result<Json<Published>, Failed> {
    operator.require(Role::Admin)?;
    let config = config(shared).await?;
    let edits = config.edits(objects.into_inner());
    publish(shared, &operator, edits).await.map(Json)
}

async fn publish(
    shared: &Shared,
    operator: &Authorized,
    edits: Vec<Edit>,
) -> Result<Published, Failed> {
    let operation = Operation {
        id: format!("{:032x}", rand::random::<u128>()),
        actor: operator.name.clone(),
        edits,
    };
    let mut published = Published {
        operation: operation.id.clone(),
        changes: operation.edits.len(),
        offset: None,
        folded: false,
    };
    if operation.edits.is_empty() {
        return Ok(published);
    }
    let offset = publish::publish(&shared.platform, &operation)
        .await
        .map_err(append_failed)?;
    published.offset = Some(offset);
    published.folded = wait_folded(shared, offset).await;
    Ok(published)
}

fn append_failed(err: AppendError) -> Failed {
    let message = match err {
        AppendError::Refused => "the log did not take the change; nothing was published",
        AppendError::Lost => "the log's answer was lost; the change may have been published",
    };
    failed(Status::ServiceUnavailable, message)
}

/// Waits until the operation at `offset` is folded; `false` on timeout.
async fn wait_folded(shared: &Shared, offset: u64) -> bool {
    let mut view = shared.view.clone();
    let reached = view.wait_for(|view| view.config_next > offset);
    matches!(tokio::time::timeout(FOLD_WAIT, reached).await, Ok(Ok(_)))
}

async fn config(shared: &Shared) -> Result<Config, Failed> {
    match query(shared, Query::Config).await? {
        Answer::Config(config) => Ok(*config),
        _ => Err(failed(Status::InternalServerError, "unexpected answer")),
    }
}

async fn query(shared: &Shared, query: Query) -> Result<Answer, Failed> {
    let stopping = || failed(Status::ServiceUnavailable, "the daemon is stopping");
    let (tx, rx) = oneshot::channel();
    let message = Message::Query { query, answer: tx };
    shared.handle.send(message).map_err(|_| stopping())?;
    rx.await.map_err(|_| stopping())
}

#[get("/counters")]
async fn counters(
    _operator: Authorized,
    shared: &State<Shared>,
) -> Result<Json<std::collections::BTreeMap<&'static str, u64>>, Failed> {
    match query(shared, Query::Counters).await? {
        Answer::Counters(counters) => Ok(Json(counters.each().collect())),
        _ => Err(failed(Status::InternalServerError, "unexpected answer")),
    }
}

#[get("/ended")]
async fn ended(_operator: Authorized, shared: &State<Shared>) -> Result<Json<Vec<Ended>>, Failed> {
    match query(shared, Query::Ended).await? {
        Answer::Ended(ended) => Ok(Json(ended)),
        _ => Err(failed(Status::InternalServerError, "unexpected answer")),
    }
}
