//! Client for the operators' API of an entry box.

use std::process::ExitCode;
use std::time::Duration;

use reachtally_command::{CommandResponse, ErrorResponse, Published};
use reachtally_core::declare::Object;
use reqwest::{RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;

/// Timeout of a call. Publishing waits until the log has accepted the record and the entry box has applied it.
const TIMEOUT: Duration = Duration::from_secs(30);

/// An error of the command-line tool. Each variant has its own exit code.
#[derive(Debug)]
pub enum CliError {
    /// The command line, a file or the command is invalid; nothing was sent.
    Usage(String),
    /// The entry box can't be reached.
    Unreachable(String),
    /// The entry box refused the call.
    Refused(String),
}

impl CliError {
    /// Returns 2 for a usage error, 3 if the entry box can't be reached and 4 if it refused the call.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CliError::Usage(_) => 2,
            CliError::Unreachable(_) => 3,
            CliError::Refused(_) => 4,
        })
    }
}

impl std::fmt::Display for CliError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CliError::Usage(message) | CliError::Refused(message) => f.write_str(message),
            CliError::Unreachable(message) => write!(f, "can't reach the entry box: {message}"),
        }
    }
}

impl std::error::Error for CliError {}

/// A client for one entry box.
pub struct Client {
    http: reqwest::Client,
    url: String,
    key: String,
}

impl Client {
    /// Creates a client for the entry box whose operators' listener is at `url`.
    pub fn new(url: String, key: String) -> Self {
        Client {
            http: reqwest::Client::new(),
            url,
            key,
        }
    }

    /// Runs a command.
    pub async fn command(&self, command: &str) -> Result<CommandResponse, CliError> {
        let url = format!("{}/v1/commands", self.url);
        self.call(self.http.post(url).body(command.to_owned()))
            .await
    }

    /// Publishes declarations.
    pub async fn apply(&self, objects: &[Object]) -> Result<Published, CliError> {
        let url = format!("{}/v1/apply", self.url);
        self.call(self.http.post(url).json(objects)).await
    }

    async fn call<T: DeserializeOwned>(&self, req: RequestBuilder) -> Result<T, CliError> {
        let req = req.bearer_auth(&self.key).timeout(TIMEOUT);
        let response = req
            .send()
            .await
            .map_err(|err| CliError::Unreachable(err.to_string()))?;
        let status = response.status();
        if status == StatusCode::UNAUTHORIZED {
            let message = "the key belongs to no operator; give --key or REACHTALLY_KEY";
            return Err(CliError::Refused(message.to_owned()));
        }
        if !status.is_success() {
            let error = response.json::<ErrorResponse>().await;
            let message = error.map_or_else(|_| status.to_string(), |error| error.message);
            return Err(CliError::Refused(message));
        }
        response
            .json()
            .await
            .map_err(|err| CliError::Unreachable(err.to_string()))
    }
}
