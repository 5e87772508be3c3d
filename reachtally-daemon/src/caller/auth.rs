//! Authentication of callers.

use reachtally_core::declare::Account;
use rocket::http::Status;
use rocket::outcome::IntoOutcome;
use rocket::request::{FromRequest, Outcome, Request};

use crate::caller::Shared;
use crate::caller::answer::Failure;

/// Prefix of the `Authorization` header.
const SCHEME: &str = "Bearer ";

/// A caller with a valid key.
pub struct Caller {
    /// Its account.
    pub account: Account,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Caller {
    type Error = Failure;

    async fn from_request(req: &'r Request<'_>) -> Outcome<Self, Failure> {
        identify(req).or_error(Status::Unauthorized)
    }
}

fn identify(req: &Request<'_>) -> Result<Caller, Failure> {
    let shared = req.rocket().state::<Shared>();
    let shared = shared.ok_or_else(|| Failure::not_ready("the daemon is starting"))?;
    let header = req.headers().get_one("Authorization");
    let key = header
        .and_then(|value| value.strip_prefix(SCHEME))
        .ok_or_else(Failure::key_missing)?;
    let view = shared.view.borrow();
    let account = view.account_for_key(key).ok_or_else(Failure::key_wrong)?;
    Ok(Caller {
        account: account.clone(),
    })
}
