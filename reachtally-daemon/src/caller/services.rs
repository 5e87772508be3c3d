//! `/services/<name>/<path>`: calls that are forwarded to plain services.

use reachtally_core::effect::{Completed, Finish};
use reachtally_core::request::{NewRequest, ServiceCall, Work};
use rocket::data::Data;
use rocket::http::Method;
use rocket::request::Request;
use rocket::route::{Handler, Outcome, Route};

use crate::caller::Shared;
use crate::caller::answer::{CompleteAnswer, Failure};
use crate::caller::auth::Caller;
use crate::caller::body;
use crate::caller::completions::{IdempotencyKey, failure};
use crate::caller::stream;

/// The prefix under which services are mounted.
const PREFIX: &str = "/services/";

/// One route per method.
pub fn routes() -> Vec<Route> {
    [
        Method::Get,
        Method::Post,
        Method::Put,
        Method::Delete,
        Method::Patch,
    ]
    .into_iter()
    .map(|method| Route::new(method, "/<path..>", Forward))
    .collect()
}

#[derive(Clone)]
struct Forward;

#[rocket::async_trait]
impl Handler for Forward {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        match forward(req, data).await {
            Ok(response) => Outcome::from(req, response),
            Err(failure) => Outcome::from(req, failure),
        }
    }
}

async fn forward(req: &Request<'_>, data: Data<'_>) -> Result<CompleteAnswer, Failure> {
    let caller = match req.guard::<Result<Caller, Failure>>().await {
        rocket::request::Outcome::Success(caller) => caller?,
        _ => return Err(Failure::key_missing()),
    };
    let key = match req.guard::<IdempotencyKey>().await {
        rocket::request::Outcome::Success(key) => key.validated()?,
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
        body: body::read(data, shared).await?,
    };
    let request = NewRequest {
        account: caller.account.name,
        work: Work::Service(call),
        idempotency_key: key,
        request_timeout: shared.request_timeout,
    };
    let mut events = stream::submit(shared, request).await?;
    let id = events.id();
    match events.collect().await.1 {
        Some(Finish::Completed(Completed::Service(answer) | Completed::Recorded(answer))) => {
            Ok(CompleteAnswer { id, answer })
        }
        other => Err(failure(other)),
    }
}

/// Splits the URI into the service's name and the unmodified rest of path and query.
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
