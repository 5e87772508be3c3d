//! Authentication and authorization of operators.

use reachtally_config::keys;
use reachtally_config::settings::Role;
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome, Request};

use super::{Failed, Shared, failed};

/// An operator with a valid key.
pub struct Authorized {
    /// Name that is recorded in the audit trail.
    pub name: String,
    role: Role,
}

impl Authorized {
    /// Checks that the operator has at least `role`.
    ///
    /// # Errors
    /// A failure that names the required role.
    pub fn require(&self, role: Role) -> Result<(), Failed> {
        if self.role >= role {
            return Ok(());
        }
        let message = format!("{} may not do this; it needs the role {role:?}", self.name);
        Err(failed(Status::Forbidden, message))
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Authorized {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> Outcome<Self, ()> {
        match identify(req) {
            Some(operator) => Outcome::Success(operator),
            None => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}

fn identify(req: &Request<'_>) -> Option<Authorized> {
    let shared = req.rocket().state::<Shared>()?;
    let key = req
        .headers()
        .get_one("Authorization")?
        .strip_prefix("Bearer ")?;
    let hash = keys::hash(key);
    let matches = |hash: &str, known: &str| keys::matches(hash, [known]);
    let found: Vec<_> = shared
        .operators
        .iter()
        .filter(|operator| matches(&hash, &operator.hash))
        .collect();
    let operator = found.first()?;
    Some(Authorized {
        name: operator.name.clone(),
        role: operator.role,
    })
}
