//! Starts a standalone daemon and records sessions as text.

use std::time::Duration;

use reachtally_core::Incarnation;
use reachtally_daemon::Identity;
use reachtally_daemon::standalone::{CALLER_KEY, Options, Standalone, standalone};
use reachtally_standin::engine::StepTime;
use reqwest::{Client, RequestBuilder, Response};

/// Response headers included in a recorded session.
const SHOWN_HEADERS: [&str; 4] = [
    "content-type",
    "reachtally-outcome",
    "reachtally-request",
    "retry-after",
];

/// Starts a daemon with a fixed identity and engines that take `base` per iteration.
pub async fn start(base: Duration) -> Standalone {
    disable_rocket_logs();
    let options = Options {
        step_time: StepTime {
            base,
            per_layer: Duration::ZERO,
        },
        identity: Identity {
            incarnation: Incarnation(1),
            seed: 1,
        },
        ..Options::default()
    };
    standalone(options).await.expect("everything starts")
}

/// Installs a logger that discards Rocket's output. Without a logger, Rocket installs its own and logs
/// every request.
pub fn disable_rocket_logs() {
    let mut logger = env_logger::builder();
    logger
        .is_test(true)
        .filter_module("rocket", log::LevelFilter::Off);
    // Another test in this process may have installed it already.
    logger.try_init().ok();
}

pub fn url(setup: &Standalone, path: &str) -> String {
    format!("http://{}{path}", setup.daemon.callers())
}

pub fn post(setup: &Standalone, path: &str, body: &str) -> RequestBuilder {
    let req = Client::new().post(url(setup, path));
    req.bearer_auth(CALLER_KEY).body(body.to_owned())
}

/// Sends a request and records the session.
pub async fn session(title: &str, req: RequestBuilder) -> String {
    let response = req.send().await.expect("the daemon answers");
    format!("# {title}\n{}", format_response(response).await)
}

pub async fn format_response(response: Response) -> String {
    let mut text = format!("{}\n", response.status());
    for name in SHOWN_HEADERS {
        if let Some(value) = response.headers().get(name) {
            text += &format!("{name}: {}\n", value.to_str().expect("plain text"));
        }
    }
    let body = response.text().await.expect("the body is whole");
    format!("{text}\n{body}\n")
}
