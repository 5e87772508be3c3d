//! Final responses: the outcome header, and the error body of each failure.

use std::time::Duration;

use reachtally_core::life::{Life, NotRun, Received, Refusal, Unknown};
use reachtally_core::request::Answer;
use rocket::http::{ContentType, Header, Status};
use rocket::request::Request;
use rocket::response::{self, Responder, Response};
use serde::Serialize;

/// Response header with the [`Outcome`] of the request.
pub const OUTCOME_HEADER: &str = "Reachtally-Outcome";
/// Response header with the id of the request.
pub const REQUEST_HEADER: &str = "Reachtally-Request";

/// Whether a request was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request was executed, and the response is complete.
    Completed,
    /// No part of the request was executed.
    NotRun,
    /// The request may have been executed.
    Unknown,
}

impl Outcome {
    /// Value of the outcome header.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Completed => "completed",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// An error in a request's body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BodyFinding {
    /// Location as a JSON pointer, or as line and column if the body is not valid JSON.
    pub place: String,
    /// Description of the error.
    pub message: String,
}

/// The `error` object in a failure's body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ErrorBody {
    /// Machine-readable code.
    pub code: &'static str,
    /// Description of the failure.
    pub message: String,
    /// Errors in the body, if the body was invalid.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<BodyFinding>,
}

/// An error response to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    status: Status,
    outcome: Outcome,
    error: ErrorBody,
    retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct FailureBody<'a> {
    error: &'a ErrorBody,
    outcome: Outcome,
}

impl Failure {
    fn not_run(status: Status, code: &'static str, message: impl Into<String>) -> Self {
        Failure {
            status,
            outcome: Outcome::NotRun,
            error: ErrorBody {
                code,
                message: message.into(),
                findings: Vec::new(),
            },
            retry_after: None,
        }
    }

    /// No key was given.
    pub fn key_missing() -> Self {
        let message = "give a key in the header Authorization: Bearer <key>";
        Failure::not_run(Status::Unauthorized, "key-missing", message)
    }

    /// The key does not belong to an account.
    pub fn key_wrong() -> Self {
        let message = "the key belongs to no account";
        Failure::not_run(Status::Unauthorized, "key-wrong", message)
    }

    /// The daemon is starting or shutting down.
    pub fn not_ready(message: &str) -> Self {
        let mut failure = Failure::not_run(Status::ServiceUnavailable, "not-ready", message);
        failure.retry_after = Some(Duration::from_secs(1));
        failure
    }

    /// The route does not exist or does not support the method.
    pub fn no_route(status: Status) -> Self {
        let message = status.reason().unwrap_or("the request can't be served");
        Failure::not_run(status, "no-route", message)
    }

    /// The body exceeds the size limit.
    pub fn body_too_long(max_bytes: u64) -> Self {
        let message = format!("the body is longer than {max_bytes} bytes");
        Failure::not_run(Status::PayloadTooLarge, "body-too-long", message)
    }

    /// The body was not complete in time.
    pub fn body_late(time: Duration) -> Self {
        let message = format!("the body was not complete within {} s", time.as_secs());
        Failure::not_run(Status::RequestTimeout, "body-late", message)
    }

    /// There is no memory for the body.
    pub fn no_memory() -> Self {
        let refused = Life::<Received>::default().refuse_not_run(Refusal::NoMemory);
        Failure::of_not_run(&refused)
    }

    /// The body could not be read to its end.
    pub fn body_truncated() -> Self {
        let message = "the body could not be read to its end";
        Failure::not_run(Status::BadRequest, "body-cut", message)
    }

    /// The body is not a valid request for the route.
    pub fn bad_body(findings: Vec<BodyFinding>) -> Self {
        let message = "the body is not a valid request; see the findings";
        let mut failure = Failure::not_run(Status::BadRequest, "bad-body", message);
        failure.error.findings = findings;
        failure
    }

    /// The idempotency key is invalid.
    pub fn bad_key(message: &str) -> Self {
        Failure::not_run(Status::BadRequest, "bad-idempotency-key", message)
    }

    /// The request was refused before it was executed.
    pub fn of_not_run(not_run: &NotRun) -> Self {
        let (status, code, message) = describe_refusal(not_run.refusal());
        let mut failure = Failure::not_run(status, code, message);
        failure.retry_after = not_run.retry_after();
        failure
    }

    /// The request's outcome is unknown.
    pub fn of_unknown(unknown: Unknown) -> Self {
        let (status, code, message) = describe_unknown(unknown);
        Failure {
            outcome: Outcome::Unknown,
            ..Failure::not_run(status, code, message)
        }
    }

    /// The failure's body as JSON.
    pub fn body(&self) -> String {
        let body = FailureBody {
            error: &self.error,
            outcome: self.outcome,
        };
        // A body of strings always serializes.
        serde_json::to_string(&body).unwrap_or_default()
    }
}

fn describe_refusal(refusal: &Refusal) -> (Status, &'static str, &'static str) {
    match refusal {
        Refusal::UnknownAccount => (
            Status::Unauthorized,
            "unknown-account",
            "the account is not declared any more",
        ),
        Refusal::UnknownModel => (
            Status::NotFound,
            "unknown-model",
            "no such model is declared",
        ),
        Refusal::UnknownService => (
            Status::NotFound,
            "unknown-service",
            "no such service is declared",
        ),
        Refusal::NotAllowed => (
            Status::Forbidden,
            "not-allowed",
            "the account may not use this model or service",
        ),
        Refusal::AccountLimit => (
            Status::TooManyRequests,
            "account-limit",
            "the account has as many requests running as it may",
        ),
        Refusal::NoTarget => (
            Status::ServiceUnavailable,
            "no-target",
            "nothing that is up can serve the request",
        ),
        Refusal::Busy => (Status::ServiceUnavailable, "busy", "every engine is full"),
        Refusal::Stopping => (
            Status::ServiceUnavailable,
            "stopping",
            "this entry box is stopping; another one serves the request",
        ),
        Refusal::Paused => (
            Status::ServiceUnavailable,
            "paused",
            "this entry box was paused and compares its configuration first",
        ),
        Refusal::KeyReused => (
            Status::UnprocessableEntity,
            "key-reused",
            "the idempotency key belongs to another request",
        ),
        Refusal::ClaimUnconfirmed => (
            Status::ServiceUnavailable,
            "claim-unconfirmed",
            "the platform's log could not confirm that the request is the first of its key",
        ),
        Refusal::Deadline => (
            Status::GatewayTimeout,
            "deadline",
            "the deadline passed before the request was sent anywhere",
        ),
        Refusal::NeverStarted => (
            Status::ServiceUnavailable,
            "never-started",
            "every target refused the request before it started",
        ),
        Refusal::Shed => (
            Status::ServiceUnavailable,
            "shed",
            "there is no room for requests of this rank",
        ),
        Refusal::NoMemory => (
            Status::ServiceUnavailable,
            "no-memory",
            "there is no memory for the body",
        ),
        Refusal::Quarantined => (
            Status::UnprocessableEntity,
            "quarantined",
            "engines that began to run the request ended, one after the other",
        ),
    }
}

fn describe_unknown(unknown: Unknown) -> (Status, &'static str, &'static str) {
    match unknown {
        Unknown::AnswerLost => (
            Status::BadGateway,
            "answer-lost",
            "the request was sent, and its answer was lost",
        ),
        Unknown::Deadline => (
            Status::GatewayTimeout,
            "deadline",
            "the deadline passed while the request ran",
        ),
        Unknown::EnginesLost => (
            Status::BadGateway,
            "engines-lost",
            "one engine after the other was lost under the same step of it",
        ),
        Unknown::NoReplacement => (
            Status::BadGateway,
            "no-replacement",
            "a stage was lost while the request ran, and no engine could take its place",
        ),
        Unknown::OwnedElsewhere => (
            Status::Conflict,
            "owned-elsewhere",
            "a request with this key was taken before, and its outcome is not known",
        ),
    }
}

impl<'r> Responder<'r, 'static> for Failure {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'static> {
        let body = self.body();
        let mut response = Response::build();
        response
            .status(self.status)
            .header(ContentType::JSON)
            .header(Header::new(OUTCOME_HEADER, self.outcome.name()))
            .sized_body(body.len(), std::io::Cursor::new(body));
        if let Some(wait) = self.retry_after {
            response.header(Header::new(
                "Retry-After",
                wait.as_secs().max(1).to_string(),
            ));
        }
        response.ok()
    }
}

/// A complete response with its outcome.
pub struct CompleteAnswer {
    /// Id of the request.
    pub id: String,
    /// Status, content type and body.
    pub answer: Answer,
}

impl<'r> Responder<'r, 'static> for CompleteAnswer {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'static> {
        let body = self.answer.body;
        let mut response = Response::build();
        response
            .status(Status::new(self.answer.status))
            .header(Header::new(OUTCOME_HEADER, Outcome::Completed.name()))
            .header(Header::new(REQUEST_HEADER, self.id))
            .sized_body(body.len(), std::io::Cursor::new(body));
        if let Some(content_type) = self.answer.content_type {
            response.header(Header::new("Content-Type", content_type));
        }
        response.ok()
    }
}
