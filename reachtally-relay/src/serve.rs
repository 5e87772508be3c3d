//! One request of a caller: judged by the configuration, then forwarded.

use std::cell::OnceCell;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use reachtally_core::Instant;
use reachtally_core::forward::fingerprint::{Fingerprint, Identity};
use reachtally_core::forward::routes::{
    Account, CallerLimits, Denied, Route, Service, Shape, Table, Urgency,
};
use reachtally_core::life::{GivenUp, Life, Received, Refusal};

use crate::answer::{self, AnswerTo, Body};
use crate::relay::Relay;
use crate::wire::CallHead;
use crate::{stream, whole};

/// Longest time held where the caller names none.
const LONGEST_HELD: Duration = Duration::from_secs(60);

/// A request that the configuration allows, read whole.
pub(crate) struct Call {
    /// The caller's head.
    pub parts: Parts,
    /// Its decoded part.
    pub head: CallHead,
    /// Its body.
    pub body: Bytes,
    /// Its route.
    pub route: Arc<Route>,
    /// The caller's account.
    pub account: Option<Arc<str>>,
    /// How urgent it is among the requests for its service.
    pub urgency: Urgency,
    /// Its priority for targets, 0 is the most urgent.
    pub priority: u8,
    /// Name of the service it goes to.
    pub service_name: Arc<str>,
    /// The service it goes to.
    pub service: Service,
    /// When it arrived.
    pub arrived: Instant,
    /// When its final answer is due, at the latest.
    pub due: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// A well-spread number of the request.
    pub draw: u64,
    /// Made when it is first needed.
    fingerprint: OnceCell<Fingerprint>,
}

impl Call {
    /// What makes this request and its caller's next attempt the same one.
    pub fn fingerprint(&self) -> Fingerprint {
        let path = self.parts.uri.path_and_query();
        let identity = || Identity {
            method: self.parts.method.as_str(),
            host: host(&self.parts).unwrap_or_default(),
            path: path.map_or("/", |path| path.as_str()),
            account: self.account.as_deref(),
            body: &self.body,
        };
        *self
            .fingerprint
            .get_or_init(|| Fingerprint::of(&identity()))
    }

    /// What the caller has left of its time.
    pub fn left(&self, relay: &Relay) -> Duration {
        self.deadline.since(relay.now())
    }
}

/// Serve a request.
pub async fn handle(relay: Rc<Relay>, req: Request<Incoming>) -> Response<Body> {
    let mut response = match accept(&relay, req).await {
        Ok(call) => {
            let id = AnswerTo(call.head.id.as_str().into());
            let mut response = forward(&relay, call).await;
            response.extensions_mut().insert(id);
            response
        }
        Err(response) => response,
    };
    if relay.lifecycle.is_leaving() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn forward(relay: &Rc<Relay>, call: Call) -> Response<Body> {
    relay.count_first(&call.service_name);
    relay.note_offered(&call.service_name, call.account.as_deref(), relay.now());
    match call.route.shape {
        Shape::Whole => whole::relay(relay, &call).await,
        Shape::Events { .. } => stream::relay(relay, call).await,
    }
}

/// Judge a request and read its body. An error is the final answer.
async fn accept(relay: &Rc<Relay>, req: Request<Incoming>) -> Result<Call, Response<Body>> {
    let arrived = relay.now();
    relay.count(|tally| tally.requests_received += 1);
    let (parts, body) = req.into_parts();
    let head = relay
        .wire
        .call(&parts.headers)
        .map_err(|bad| bad_request(&bad.0))?;
    let draw = BuildHasherDefault::<DefaultHasher>::default().hash_one(&head.id);
    let waits = head.deadline.unwrap_or(LONGEST_HELD);
    let refuse = |refusal: Refusal| {
        relay.count(|tally| tally.requests_refused += 1);
        let end = Life::<Received>::default().refuse_not_run(refusal);
        answer::given_up(&GivenUp::NotRun(end), waits, None, draw)
    };
    let Some(table) = relay.configuration.table() else {
        return Err(refuse(Refusal::Paused));
    };
    if relay.lifecycle.is_closing() {
        return Err(refuse(Refusal::Stopping));
    }
    let judged = judge(&table, &parts).ok_or_else(|| bad_request("no host"))?;
    if judged.needs_fresh() && !relay.is_fresh() {
        let age = relay.configuration.age(arrived);
        let age = age.map(|age| age.as_millis() as u64);
        log::info!(event = "refused", id = &*head.id, why = "stale", version = table.version, age_ms:? = age; "the configuration was not confirmed in time");
        return Err(refuse(Refusal::Paused));
    }
    let (route, account) = judged.allow(&table, &head).map_err(|denied| {
        log::info!(event = "denied", id = &*head.id, why:? = denied, version = table.version, path = parts.uri.path(); "the request is not allowed");
        relay.count(|tally| tally.requests_denied += 1);
        deny(denied)
    })?;
    let body = read_body(body, table.limits).await?;
    let service_name = route.service(draw).cloned();
    let service_name = service_name.ok_or_else(|| refuse(Refusal::UnknownService))?;
    let Some(service) = table.services.get(&service_name).cloned() else {
        return Err(refuse(Refusal::UnknownService));
    };
    let deadline = arrived + waits;
    let of_account = account.as_ref().and_then(|account| account.priority);
    let urgency = Urgency::new(of_account, route.priority);
    Ok(Call {
        urgency,
        priority: table.priority(&service_name, urgency),
        due: deadline.min(arrived + route.timeout),
        account: account.map(|account| account.name),
        parts,
        head,
        body,
        route,
        service_name,
        service,
        arrived,
        deadline,
        draw,
        fingerprint: OnceCell::new(),
    })
}

/// The host that a request names.
fn host(parts: &Parts) -> Option<&str> {
    let by_header = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let by_uri = parts.uri.authority().map(|authority| authority.as_str());
    by_uri.or(by_header)
}

/// The route of a request, if there is one.
struct Judged {
    route: Option<Arc<Route>>,
    has_keys: bool,
}

/// `None` if the request names no host.
fn judge(table: &Table, parts: &Parts) -> Option<Judged> {
    let host = host(parts)?;
    Some(Judged {
        route: table.find(host, parts.uri.path()).cloned(),
        has_keys: table.has_keys(),
    })
}

impl Judged {
    /// Whether the decision may depend on a key or route that has just changed.
    fn needs_fresh(&self) -> bool {
        self.has_keys && self.route.as_ref().is_none_or(|route| !route.public)
    }

    fn allow(
        self,
        table: &Table,
        head: &CallHead,
    ) -> Result<(Arc<Route>, Option<Account>), Denied> {
        let route = self.route.ok_or(Denied::NoRoute)?;
        let account = table.account(&route, head.key.as_deref())?;
        Ok((route, account))
    }
}

fn deny(denied: Denied) -> Response<Body> {
    match denied {
        Denied::NoRoute => answer::plain(StatusCode::NOT_FOUND, "no such route"),
        Denied::UnknownKey => answer::plain(StatusCode::UNAUTHORIZED, "the key is not known"),
    }
}

fn bad_request(why: &str) -> Response<Body> {
    answer::closing(StatusCode::BAD_REQUEST, why)
}

async fn read_body(
    mut body: Incoming,
    limits: Option<CallerLimits>,
) -> Result<Bytes, Response<Body>> {
    let most = limits.map_or(usize::MAX, |limits| limits.body_bytes);
    let too_large = || answer::closing(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    if body.size_hint().lower() > most as u64 {
        return Err(too_large());
    }
    let patience = limits.map_or(LONGEST_HELD, |limits| limits.idle_timeout);
    let mut held = BytesMut::new();
    loop {
        let frame = match tokio::time::timeout(patience, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(bad_request("the body is malformed")),
            Ok(None) => return Ok(held.freeze()),
            Err(_) => {
                return Err(answer::closing(
                    StatusCode::REQUEST_TIMEOUT,
                    "the body stopped",
                ));
            }
        };
        // Trailers are no part of the body.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if held.len() + data.len() > most {
            return Err(too_large());
        }
        held.extend_from_slice(&data);
    }
}
