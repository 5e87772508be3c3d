//! Calls to an entry box's listener for operators.

use std::process::ExitCode;
use std::time::Duration;

use reachtally_command::{CommandAnswer, Problem, Published};
use reachtally_core::declare::Object;
use reqwest::{RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;

/// Time for a call; a publication waits for the log and its fold.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call failed. Each kind has an exit code of its own.
#[derive(Debug)]
pub enum Failure {
    /// The command line, a file or the command is bad; nothing was sent.
    Usage(String),
    /// The entry box can't be reached.
    Unreachable(String),
    /// The entry box refused.
    Refused(String),
}

impl Failure {
    /// 2 for usage, 3 for an entry box that can't be reached, 4 for one that refused.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Usage(_) => 2,
            Failure::Unreachable(_) => 3,
            Failure::Refused(_) => 4,
        })
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Usage(message) | Failure::Refused(message) => f.write_str(message),
            Failure::Unreachable(message) => write!(f, "can't reach the entry box: {message}"),
        }
    }
}

impl std::error::Error for Failure {}

/// An entry box.
pub struct Client {
    http: reqwest::Client,
    url: String,
    key: String,
}

impl Client {
    /// The entry box whose operators' listener is at `url`.
    pub fn new(url: String, key: String) -> Self {
        Client {
            http: reqwest::Client::new(),
            url,
            key,
        }
    }

    /// Run a command.
    pub async fn command(&self, command: &str) -> Result<CommandAnswer, Failure> {
        let url = format!("{}/v1/commands", self.url);
        self.call(self.http.post(url).body(command.to_owned()))
            .await
    }

    /// Publish declarations.
    pub async fn apply(&self, objects: &[Object]) -> Result<Published, Failure> {
        let url = format!("{}/v1/apply", self.url);
        self.call(self.http.post(url).json(objects)).await
    }

    async fn call<T: DeserializeOwned>(&self, req: RequestBuilder) -> Result<T, Failure> {
        let req = req.bearer_auth(&self.key).timeout(TIMEOUT);
        let response = req
            .send()
            .await
            .map_err(|err| Failure::Unreachable(err.to_string()))?;
        let status = response.status();
        if status == StatusCode::UNAUTHORIZED {
            let message = "the key belongs to no operator; give --key or REACHTALLY_KEY";
            return Err(Failure::Refused(message.to_owned()));
        }
        if !status.is_success() {
            let problem = response.json::<Problem>().await;
            let message = problem.map_or_else(|_| status.to_string(), |problem| problem.message);
            return Err(Failure::Refused(message));
        }
        response
            .json()
            .await
            .map_err(|err| Failure::Unreachable(err.to_string()))
    }
}
