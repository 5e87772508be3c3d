//! The box that hands a request over.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use hyper::{Response, StatusCode, Version};
use reachtally_core::forward::handoff::HandoffPeers;
use reachtally_core::life::NeverStarted;
use reachtally_framing::Framing;
use reachtally_protocol::handoff::{Head, Message, Offer, Refusal, Request};
use tokio::time::timeout;

use crate::answer::{Body, BodyTruncated, EndedBy, ExactLength};
use crate::attempts::Attempts;
use crate::exchange::SendFailure;
use crate::handoff::{Link, decode_headers, encode_headers, link, receive, receive_within, send};
use crate::relay::Relay;
use crate::serve::Call;
use crate::target;

/// Upper bound on the bytes of a frame beside its body, target and headers.
const FRAME_OVERHEAD: usize = 256;
/// Upper bound on the bytes that encoding adds to a header.
const HEADER_OVERHEAD: usize = 16;
/// Maximum number of boxes that are asked to take over one request.
const MAX_ASKED: usize = 4;
/// Time within which a box must accept a connection and answer an offer.
const OFFER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time without a sign of life after which a box is given up, if the request may be repeated. Several heartbeats long.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// The response to a request that another box has taken over.
pub(crate) struct Handoff {
    /// Head and body. The body fails if the other box breaks off or falls silent.
    pub response: Response<Body>,
    /// Number of sends that may have run, as last stated by the other box.
    pub possible_runs: Rc<Cell<u32>>,
}

/// An open connection to the box at `ip`.
struct OpenLink {
    link: Link,
    ip: IpAddr,
}

/// Counts a request as running at another box until it is dropped.
struct RunningGuard {
    relay: Rc<Relay>,
    ip: IpAddr,
}

impl RunningGuard {
    fn new(relay: &Rc<Relay>, ip: IpAddr) -> Self {
        relay.handoffs.peers.borrow_mut().begin(ip);
        RunningGuard {
            relay: relay.clone(),
            ip,
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.relay.handoffs.peers.borrow_mut().end(self.ip);
    }
}

/// Hands a request over to a box that accepts it, if its targets don't accept connections from this box. `last` is the last event
/// that the caller has received. Returns `None` if no box takes it over, or if it must not run again.
pub(crate) async fn hand_over(
    relay: &Rc<Relay>,
    call: &Call,
    attempts: &mut Attempts,
    last: Option<u64>,
) -> Option<Handoff> {
    let mut asked = Vec::new();
    let mut copies = None;
    while asked.len() < MAX_ASKED && relay.needs_other_box(call) && attempts.may_run(call) {
        let ip = relay.choose_peer(&call.service_name, &asked)?;
        asked.push(ip);
        let bytes = max_frame_bytes(call);
        if copies.is_none() {
            // The frame and the buffer that it is written from are copies of the body.
            copies = Some(relay.reserve_body(2 * bytes).ok()?);
        }
        let Some(link) = offer(relay, &call.service_name, bytes, ip).await else {
            continue;
        };
        if !attempts.may_hand_over(relay, call) {
            return None;
        }
        attempts.begin_handoff(relay, call, ip);
        let possible_runs = Rc::new(Cell::new(attempts.possible_runs() + 1));
        let link = OpenLink { link, ip };
        match exchange(relay, call, attempts, link, last, &possible_runs).await {
            Ok(handoff) => return Some(handoff),
            Err(why) => {
                if let SendFailure::Lost(_) = why {
                    // The last of these sends is counted as lost below.
                    attempts.handoff_lost(possible_runs.get().saturating_sub(1));
                }
                if !attempts.failed(relay, call, why) {
                    return None;
                }
            }
        }
    }
    None
}

/// Offers a request for `service` with a frame of `bytes` to a box and records its answer. Returns the connection if it accepts.
pub(super) async fn offer(
    relay: &Relay,
    service: &Arc<str>,
    bytes: u64,
    ip: IpAddr,
) -> Option<Link> {
    let port = relay.settings.borrow().handoff_port?;
    let answer = timeout(
        OFFER_TIMEOUT,
        request_reply(relay, service, bytes, SocketAddr::new(ip, port)),
    );
    let answer = answer.await.unwrap_or_else(|_| Err("timed out".to_owned()));
    let now = relay.now();
    let mut peers = relay.handoffs.peers.borrow_mut();
    match answer {
        Ok((link, Ok(()))) => {
            peers.record_serves(ip, service, now);
            return Some(link);
        }
        Ok((_, Err(refusal))) => {
            log::debug!(event = "handoff-refused", by:% = ip, service = &**service, why:? = refusal; "another box does not take over requests");
            record_refusal(relay, &mut peers, service, ip, refusal);
        }
        Err(why) => {
            log::debug!(event = "handoff-refused", by:% = ip, service = &**service, why = &*why; "another box did not answer an offer");
            peers.record_unavailable(ip, now);
        }
    }
    None
}

fn record_refusal(
    relay: &Relay,
    peers: &mut HandoffPeers,
    service: &Arc<str>,
    ip: IpAddr,
    refusal: Refusal,
) {
    match refusal {
        Refusal::NoTarget => peers.record_refuses(ip, service, relay.now()),
        Refusal::Unavailable => peers.record_unavailable(ip, relay.now()),
        // It applies the configuration within a fraction of a second.
        Refusal::Outdated => {}
    }
}

async fn request_reply(
    relay: &Relay,
    service: &str,
    bytes: u64,
    address: SocketAddr,
) -> Result<(Link, Result<(), Refusal>), String> {
    let stream = target::dial(address, OFFER_TIMEOUT).await;
    let stream = stream.map_err(|err| err.to_string())?;
    target::set_nodelay(&stream);
    let mut link = link(stream);
    let offer = Offer {
        service: service.to_owned(),
        config_version: relay.configuration.version(),
        request_bytes: Some(bytes),
    };
    send(&mut link, Message::Offer(offer)).await?;
    match receive(&mut link).await? {
        Message::Reply(reply) => Ok((link, reply)),
        other => Err(format!("expected a reply, received {other:?}")),
    }
}

/// Sends the request to a box and waits for the head of the response. `possible_runs` is set to the number of sends that may have
/// run, as stated by that box.
async fn exchange(
    relay: &Rc<Relay>,
    call: &Call,
    attempts: &Attempts,
    link: OpenLink,
    last: Option<u64>,
    possible_runs: &Rc<Cell<u32>>,
) -> Result<Handoff, SendFailure> {
    let OpenLink { mut link, ip } = link;
    let guard = RunningGuard::new(relay, ip);
    let silence = call.route.is_repeatable().then_some(SILENCE_TIMEOUT);
    let request = request(relay, call, attempts, last);
    let head = async {
        send(&mut link, Message::Request(request)).await?;
        loop {
            match receive_within(&mut link, silence).await? {
                Message::Head(head) => return Ok::<_, String>(head),
                Message::Data(data) if data.data.is_empty() => {
                    possible_runs.set(possible_runs.get().max(data.possible_runs));
                }
                other => return Err(format!("expected a head, received {other:?}")),
            }
        }
    };
    let head = match relay.run_until(call.due, head).await {
        None => return Err(SendFailure::Late),
        Some(Err(why)) => {
            relay
                .handoffs
                .peers
                .borrow_mut()
                .record_unavailable(ip, relay.now());
            return Err(SendFailure::Lost(format!("box {ip}: {why}")));
        }
        Some(Ok(Err(refusal))) => {
            let mut peers = relay.handoffs.peers.borrow_mut();
            record_refusal(relay, &mut peers, &call.service_name, ip, refusal);
            let why = format!("box {ip}: {refusal:?}");
            return Err(SendFailure::NotRun(NeverStarted::ConnectFailed, why));
        }
        Some(Ok(Ok(head))) => head,
    };
    attempts.handoff_begun(relay, call);
    let body = body(relay.clone(), link, guard, silence, possible_runs.clone());
    let response = response(relay, call, head, body).map_err(|why| {
        log::warn!(event = "response-malformed", id = &*call.head.id, by:% = ip, why = &*why; "dropped a malformed response that another box handed back");
        relay.count(|tally| tally.responses_malformed += 1);
        SendFailure::Lost(why)
    })?;
    relay.count(|tally| tally.requests_handed_over += 1);
    Ok(Handoff {
        response,
        possible_runs: possible_runs.clone(),
    })
}

/// Returns an upper bound on the length of the frame with a request, in bytes.
fn max_frame_bytes(call: &Call) -> u64 {
    let target = call.parts.uri.path_and_query();
    let target = target.map_or(0, |target| target.as_str().len());
    let header = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + HEADER_OVERHEAD
    };
    let headers: usize = call.parts.headers.iter().map(header).sum();
    (call.body.len() + target + headers + FRAME_OVERHEAD) as u64
}

fn request(relay: &Relay, call: &Call, attempts: &Attempts, last: Option<u64>) -> Request {
    let target = call.parts.uri.path_and_query();
    Request {
        method: call.parts.method.to_string(),
        target: target.map_or("/", |target| target.as_str()).to_owned(),
        headers: encode_headers(&call.parts.headers),
        body: call.body.clone(),
        deadline: call.left(relay),
        due: call.due.since(relay.now()),
        last_event: last,
        possible_runs: attempts.possible_runs(),
    }
}

/// Builds the response. The connection to the caller closes after it, so that the next request may reach a box that serves it
/// directly. Boxes of earlier versions hand back responses that they have not checked.
fn response(relay: &Relay, call: &Call, head: Head, body: Body) -> Result<Response<Body>, String> {
    let status = StatusCode::from_u16(head.status).map_err(|err| err.to_string())?;
    let mut headers = decode_headers(head.headers)?;
    let framing =
        reachtally_framing::of_response(&call.parts.method, status, Version::HTTP_11, &headers)
            .map_err(|why| why.to_string())?;
    let decoded = relay.wire.answer(status.as_u16(), &headers);
    decoded.map_err(|why| why.to_string())?;
    framing.strip(&mut headers);
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    let body = match framing {
        Framing::Length(length) => Box::pin(ExactLength::new(body, length)),
        Framing::Empty | Framing::Chunked | Framing::ConnectionEnd => body,
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

fn body(
    relay: Rc<Relay>,
    mut link: Link,
    guard: RunningGuard,
    silence: Option<Duration>,
    possible_runs: Rc<Cell<u32>>,
) -> Body {
    let frames = async_stream::stream! {
        loop {
            match receive_within(&mut link, silence).await {
                Ok(Message::End) => return,
                Ok(Message::Data(data)) => {
                    possible_runs.set(possible_runs.get().max(data.possible_runs));
                    if !data.data.is_empty() {
                        yield Ok(Frame::data(data.data));
                    }
                }
                Ok(other) => {
                    log::warn!(event = "handoff-broke", by:% = guard.ip, received:? = other; "another box sent an unexpected message; its response is incomplete");
                    yield Err(BodyTruncated::new(EndedBy::OtherBox, "unexpected message"));
                    return;
                }
                Err(why) => {
                    log::info!(event = "handoff-broke", by:% = guard.ip, why = &*why; "another box broke off the response to a request that it had taken over");
                    relay.handoffs.peers.borrow_mut().record_unavailable(guard.ip, relay.now());
                    yield Err(BodyTruncated::new(EndedBy::OtherBox, why));
                    return;
                }
            }
        }
    };
    Box::pin(StreamBody::new(frames))
}
