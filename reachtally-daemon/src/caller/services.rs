//! `/services/<name>/<path>`: calls passed on to plain services.

use reachtally_core::effect::{Completed, Finish};
use reachtally_core::request::{NewRequest, ServiceCall, Work};
use rocket::data::Data;
use rocket::http::Method;
use rocket::request::Request;
use rocket::route::{Handler, Outcome, Route};

use crate::caller::Shared;
use crate::caller::answer::{Failure, Whole};
use crate::caller::auth::Caller;
use crate::caller::body;
use crate::caller::completions::{IdempotencyKey, failure};
use crate::caller::stream as pieces;

/// The prefix under which services are mounted.
const PREFIX: &str = "/services/";

/// One route for each method.
pub fn routes() -> Vec<Route> {
    [
        Method::Get,
        Method::Post,
        Method::Put,
        Method::Delete,
        Method::Patch,
    ]
    .into_iter()
    .map(|method| Route::new(method, "/<path..>", PassOn))
    .collect()
}

#[derive(Clone)]
struct PassOn;

#[rocket::async_trait]
impl Handler for PassOn {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        match pass_on(req, data).await {
            Ok(whole) => Outcome::from(req, whole),
            Err(failure) => Outcome::from(req, failure),
        }
    }
}

async fn pass_on(req: &Request<'_>, data: Data<'_>) -> Result<Whole, Failure> {
    let caller = match req.guard::<Result<Caller, Failure>>().await {
        rocket::request::Outcome::Success(caller) => caller?,
        _ => return Err(Failure::key_missing()),
    };
    let key = match req.guard::<IdempotencyKey>().await {
        rocket::request::Outcome::Success(key) => key.checked()?,
        _ => None,
    };
    let shared = req.rocket().state::<Shared>();
    let shared = shared.ok_or_else(|| Failure::not_ready("the daemon is starting"))?;
    let (service, path) = split(req);
    let call = ServiceCall {
        service,
        method: req.method().as_str().to_owned(),
        path,
        content_type: req.content_type().map(ToString::to_string),
        body: body::read(data, shared.body_bytes).await?.into(),
    };
    let ask = NewRequest {
        account: caller.account.name,
        work: Work::Service(call),
        idempotency_key: key,
        patience: shared.patience,
    };
    let mut pieces = pieces::ask(shared, ask).await?;
    let id = pieces.id();
    match pieces.whole().await.1 {
        Some(Finish::Completed(Completed::Service(answer) | Completed::Recorded(answer))) => {
            Ok(Whole { id, answer })
        }
        other => Err(failure(other)),
    }
}

/// The service's name, and the path and query behind it, as they came.
fn split(req: &Request<'_>) -> (String, String) {
    let path = req.uri().path().as_str();
    let rest = path.strip_prefix(PREFIX).unwrap_or_default();
    let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let path = match req.uri().query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_owned(),
    };
    (service.to_owned(), path)
}
