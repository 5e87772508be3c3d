//! The HTTP adapter for engines and services.
//!
//! What each failure proves about whether the call ran:
//!
//! | failure | proves |
//! |---|---|
//! | no connection was established | the call did not run |
//! | response with `reachtally-outcome: not-run` | the call did not run |
//! | reset or timeout on an established connection | nothing |
//! | status 5xx without that header | nothing |
//! | truncated response, or one that can't be decoded | nothing |
//! | response with a malformed head, whatever it states | nothing |

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use reachtally_core::event::CallFailure;
use reachtally_core::ids::RequestId;
use reachtally_core::life::NeverStarted;
use reachtally_core::request::{Answer, ServiceCall};
use reachtally_core::step::{Batch, StepResult};
use reachtally_core::systems::steward::{Order, TargetReport};
use reqwest::header::{CONTENT_TYPE, HeaderMap};
use reqwest::{Client, Method, RequestBuilder, Response};

use crate::order::{OrderBody, ReportBody};
use crate::{
    Engines, HEALTH_PATH, KEY_HEADER, KV_PATH, KvTransfer, NOT_RUN, ORDERS_PATH, OUTCOME_HEADER,
    Orders, POSITIONS_HEADER, Probe, REPORT_PATH, STEPS_PATH, Services, wire,
};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept. This is shorter than the targets' own timeout, so that a call is rarely
/// sent on a connection that the target is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a health check, a report or an order.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a KV export and of a KV import, each.
const KV_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a service's response body in bytes. The response is buffered completely, because its outcome
/// is sent in a header.
pub const ANSWER_BYTES_MAX: usize = 4 << 20;
/// Maximum size of an engine's response to steps in bytes.
pub const STEPS_BYTES_MAX: usize = 64 << 20;
/// Maximum size of a report in bytes.
pub const REPORT_BYTES_MAX: usize = 1 << 20;
/// Maximum size of exported KV in bytes.
pub const KV_BYTES_MAX: usize = 256 << 20;

/// Client for targets over HTTP.
#[derive(Debug, Clone)]
pub struct HttpTargets {
    client: Client,
}

impl HttpTargets {
    /// Creates a client with its own connection pool.
    ///
    /// # Errors
    /// An error of `reqwest` if the HTTP client can't be built.
    pub fn new() -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .tcp_nodelay(true)
            .no_proxy()
            .build()?;
        Ok(HttpTargets { client })
    }
}

/// Classifies an error of sending a request: only a failed connection proves that the call did not run.
fn transport_failure(err: &reqwest::Error) -> CallFailure {
    if err.is_connect() {
        CallFailure::NeverStarted(NeverStarted::ConnectFailed)
    } else {
        CallFailure::Lost
    }
}

/// Sends a request. Only a response whose head allows one framing is returned.
async fn send(req: RequestBuilder) -> Result<Response, CallFailure> {
    let (client, req) = req.build_split();
    let req = req.map_err(|err| transport_failure(&err))?;
    let method = req.method().clone();
    let response = client.execute(req).await;
    let response = response.map_err(|err| transport_failure(&err))?;
    let framing = reachtally_framing::of_response(
        &method,
        response.status(),
        response.version(),
        response.headers(),
    );
    match framing {
        Ok(_) => Ok(response),
        Err(why) => {
            log::warn!(event = "response-malformed", url:% = response.url(), why:% = why; "dropped a malformed response");
            Err(CallFailure::Lost)
        }
    }
}

/// Classifies a response by its status and headers; `None` if they indicate neither a call that did not run nor
/// a server error.
fn response_failure(response: &Response) -> Option<CallFailure> {
    let outcome = response.headers().get(OUTCOME_HEADER);
    if outcome.is_some_and(|value| value == NOT_RUN) {
        return Some(CallFailure::NeverStarted(NeverStarted::TargetSaidSo));
    }
    response
        .status()
        .is_server_error()
        .then_some(CallFailure::Lost)
}

impl Engines for HttpTargets {
    async fn steps(&self, url: &str, batch: Batch) -> Result<Vec<StepResult>, CallFailure> {
        let req = self.client.post(format!("{url}/{STEPS_PATH}"));
        let req = req.header(CONTENT_TYPE, wire::MEDIA_TYPE);
        let response = send(req.body(wire::encode_batch(batch))).await?;
        if let Some(failure) = response_failure(&response) {
            return Err(failure);
        }
        if !response.status().is_success() {
            return Err(CallFailure::Lost);
        }
        let body = read_bounded_body(response, STEPS_BYTES_MAX).await?;
        wire::decode_results(body).map_err(|_| CallFailure::Lost)
    }
}

impl Services for HttpTargets {
    async fn call(
        &self,
        url: &str,
        call: ServiceCall,
        key: Option<String>,
    ) -> Result<Answer, CallFailure> {
        let invalid_method = CallFailure::NeverStarted(NeverStarted::ConnectFailed);
        let method = Method::from_bytes(call.method.as_bytes()).map_err(|_| invalid_method)?;
        let mut req = self.client.request(method, format!("{url}/{}", call.path));
        if let Some(content_type) = call.content_type {
            req = req.header(CONTENT_TYPE, content_type);
        }
        if let Some(key) = key {
            req = req.header(KEY_HEADER, key);
        }
        let response = send(req.body(call.body)).await?;
        if let Some(failure) = response_failure(&response) {
            return Err(failure);
        }
        let status = response.status().as_u16();
        let content_type = content_type(response.headers());
        let body = read_bounded_body(response, ANSWER_BYTES_MAX).await?;
        Ok(Answer {
            status,
            content_type,
            body,
        })
    }
}

fn content_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    Some(value.to_owned())
}

/// Reads the body of a response of at most `max` bytes.
async fn read_bounded_body(mut response: Response, max: usize) -> Result<Bytes, CallFailure> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await.map_err(|_| CallFailure::Lost)? {
        if body.len() + chunk.len() > max {
            log::warn!(event = "response-too-long", url:% = response.url(), max = max; "dropped a response of more than the maximum number of bytes");
            return Err(CallFailure::Lost);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

impl Orders for HttpTargets {
    async fn report(&self, url: &str) -> Option<TargetReport> {
        let req = self.client.get(format!("{url}/{REPORT_PATH}"));
        let response = send(req.timeout(PROBE_TIMEOUT)).await.ok()?;
        let body = read_bounded_body(response, REPORT_BYTES_MAX).await.ok()?;
        let body: ReportBody = serde_json::from_slice(&body).ok()?;
        Some(body.into())
    }

    async fn order(&self, url: &str, fence: u64, order: Order) -> bool {
        let body = OrderBody {
            fence,
            action: order.into(),
        };
        let req = self.client.post(format!("{url}/{ORDERS_PATH}")).json(&body);
        let answer = send(req.timeout(PROBE_TIMEOUT)).await;
        answer.is_ok_and(|response| response.status().is_success())
    }
}

impl KvTransfer for HttpTargets {
    async fn transfer_kv(&self, from: &str, to: &str, request: RequestId) -> Option<u32> {
        let path = format!("{KV_PATH}/{}/{}", request.incarnation.0, request.seq);
        let req = self.client.get(format!("{from}/{path}"));
        let export = send(req.timeout(KV_TIMEOUT)).await.ok()?;
        let export = export.error_for_status().ok()?;
        let positions = export.headers().get(POSITIONS_HEADER)?;
        let positions = positions.to_str().ok()?.parse().ok()?;
        let kv = read_bounded_body(export, KV_BYTES_MAX).await.ok()?;
        let req = self.client.put(format!("{to}/{path}")).body(kv);
        let import = send(req.timeout(KV_TIMEOUT)).await.ok()?;
        import.status().is_success().then_some(positions)
    }
}

impl Probe for HttpTargets {
    async fn probe(&self, url: &str) -> bool {
        let req = self.client.get(format!("{url}/{HEALTH_PATH}"));
        let answer = req.timeout(PROBE_TIMEOUT).send().await;
        answer.is_ok_and(|response| response.status().is_success())
    }
}
