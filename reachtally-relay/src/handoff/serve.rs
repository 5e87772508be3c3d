//! The box that takes a request over.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::SplitSink;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body as HttpBody;
use hyper::header::CONTENT_LENGTH;
use reachtally_body::NoMemory;
use reachtally_core::life;
use reachtally_protocol::FRAME_MAX;
use reachtally_protocol::handoff::{self, Data, Head, Message, Refusal};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::accept;
use crate::answer::Body;
use crate::handoff::{
    HEARTBEAT_INTERVAL, Link, decode_headers, encode_headers, link, receive_held, receive_within,
    send,
};
use crate::relay::Relay;
use crate::serve::{self, HandoffTerms};
use crate::target;

/// Time within which an offer, and after it the request, must arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a response is due at which its connection is closed.
const END_MARGIN: Duration = Duration::from_secs(1);
/// Maximum number of requests that a box runs for others. Each takes a connection to a box and one to a target.
const MAX_TAKEN: u32 = 500;
/// Maximum length of an offer in bytes.
const MAX_OFFER_BYTES: usize = 4 * 1024;
/// Maximum number of bytes of a response in one frame.
const MAX_DATA_BYTES: usize = 64 * 1024;

/// Takes over requests of other boxes for the lifetime of the process.
pub async fn serve(relay: Rc<Relay>, listener: TcpListener) {
    let open = Rc::default();
    let serve = |stream, from| {
        let relay = relay.clone();
        let open = accept::take_peer(&relay, &open)?;
        Some(async move {
            let _open = open;
            if let Err(why) = serve_connection(&relay, stream).await {
                log::debug!(event = "handoff-connection", from:% = from, why = &*why; "handoff connection failed");
            }
        })
    };
    accept::each(relay.clone(), listener, "handoffs", serve).await;
}

async fn serve_connection(relay: &Rc<Relay>, stream: TcpStream) -> Result<(), String> {
    target::set_nodelay(&stream);
    let mut link = link(stream);
    link.codec_mut().set_max_received(MAX_OFFER_BYTES);
    let offer = match receive_within(&mut link, Some(REQUEST_TIMEOUT)).await? {
        Message::Offer(offer) => offer,
        other => return Err(format!("expected an offer, received {other:?}")),
    };
    let bytes = offered_bytes(relay, &offer);
    let reserved = match refusal(relay, &offer) {
        None => relay
            .reserve_body(bytes)
            .map_err(|NoMemory| Refusal::Unavailable),
        Some(refusal) => Err(refusal),
    };
    let reply = reserved.as_ref().map(|_| ()).map_err(|refusal| *refusal);
    send(&mut link, Message::Reply(reply)).await?;
    let Ok(charge) = reserved else {
        return Ok(());
    };
    let max_frame = usize::try_from(bytes).unwrap_or(FRAME_MAX).min(FRAME_MAX);
    link.codec_mut().set_max_received(max_frame);
    let received = receive_held(&mut link, Some(REQUEST_TIMEOUT), |frame| charge.hold(frame));
    let request = match received.await? {
        Message::Request(request) => request,
        other => return Err(format!("expected a request, received {other:?}")),
    };
    // The other box sends nothing more.
    link.codec_mut().set_max_received(MAX_OFFER_BYTES);
    // Keeps the process running until the response is sent.
    let _open = relay.connection();
    let _taken = TakenGuard::new(relay);
    let limit = request.due + END_MARGIN;
    let (mut sink, mut source) = link.split();
    let answering = answer(relay, request, &mut sink);
    tokio::select! {
        biased;
        // The other box sends nothing more, so its connection has ended.
        _ = source.next() => Ok(()),
        answered = timeout(limit, answering) => answered.unwrap_or_else(|_| Err("timed out".to_owned())),
    }
}

/// Returns the size of the frame with the request, in bytes. Boxes of earlier versions don't state it.
fn offered_bytes(relay: &Relay, offer: &handoff::Offer) -> u64 {
    let limits = relay.configuration.table().and_then(|table| table.limits);
    let largest = || limits.map_or(FRAME_MAX, |limits| limits.body_bytes + limits.header_bytes);
    offer.request_bytes.unwrap_or_else(|| largest() as u64)
}

/// Returns why this box does not take over requests like the offered one, if so.
fn refusal(relay: &Relay, offer: &handoff::Offer) -> Option<Refusal> {
    let can_take = !relay.is_overloaded() && relay.handoffs.taken.get() < MAX_TAKEN;
    if !can_take || relay.lifecycle.is_leaving() || !relay.is_fresh() {
        return Some(Refusal::Unavailable);
    }
    if relay.configuration.version() < offer.config_version {
        return Some(Refusal::Outdated);
    }
    let is_unserved = relay.handoffs.is_unserved(&offer.service);
    is_unserved.then_some(Refusal::NoTarget)
}

/// Counts a request as taken over until it is dropped.
struct TakenGuard<'a>(&'a Relay);

impl<'a> TakenGuard<'a> {
    fn new(relay: &'a Relay) -> Self {
        let taken = &relay.handoffs.taken;
        taken.set(taken.get() + 1);
        relay.count(|tally| tally.requests_taken_over += 1);
        TakenGuard(relay)
    }
}

impl Drop for TakenGuard<'_> {
    fn drop(&mut self) {
        let taken = &self.0.handoffs.taken;
        taken.set(taken.get() - 1);
    }
}

type Sink = SplitSink<Link, Bytes>;

/// Runs a request and sends the response.
async fn answer(
    relay: &Rc<Relay>,
    request: handoff::Request,
    sink: &mut Sink,
) -> Result<(), String> {
    let possible_runs = Rc::new(Cell::new(request.possible_runs));
    let alive = |data| {
        let possible_runs = possible_runs.get();
        Message::Data(Data {
            data,
            possible_runs,
        })
    };
    let terms = HandoffTerms {
        deadline: request.deadline,
        due: request.due,
        last_event: request.last_event,
        possible_runs: possible_runs.clone(),
    };
    let mut handling = pin!(serve::handle_handoff(relay, http_request(request)?, terms));
    let response = loop {
        tokio::select! {
            biased;
            response = &mut handling => break response,
            () = sleep(HEARTBEAT_INTERVAL) => send(sink, alive(Bytes::new())).await?,
        }
    };
    let refusal = response.extensions().get().and_then(proven_refusal);
    if let Some(refusal) = refusal {
        return send(sink, Message::Head(Err(refusal))).await;
    }
    let mut body = send_head(response, sink).await?;
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = sleep(HEARTBEAT_INTERVAL) => {
                send(sink, alive(Bytes::new())).await?;
                continue;
            }
        };
        let Some(frame) = frame else {
            return send(sink, Message::End).await;
        };
        // Trailers are not passed on.
        let data = frame.map_err(|err| err.to_string())?.into_data();
        let mut data = data.unwrap_or_default();
        while !data.is_empty() {
            let part = data.split_to(data.len().min(MAX_DATA_BYTES));
            send(sink, alive(part)).await?;
        }
    }
}

/// Returns why another box may try the request, given this box's own refusal. Refusals on behalf of the service, such as for lack of
/// capacity, are final, and so is one after a send.
fn proven_refusal(refusal: &life::Refusal) -> Option<Refusal> {
    match refusal {
        life::Refusal::NoTarget => Some(Refusal::NoTarget),
        life::Refusal::Stopping | life::Refusal::Paused => Some(Refusal::Unavailable),
        _ => None,
    }
}

fn http_request(request: handoff::Request) -> Result<hyper::Request<Bytes>, String> {
    let mut req = hyper::Request::builder()
        .method(request.method.as_str())
        .uri(request.target)
        .body(request.body)
        .map_err(|err| err.to_string())?;
    *req.headers_mut() = decode_headers(request.headers)?;
    Ok(req)
}

async fn send_head(response: Response<Body>, sink: &mut Sink) -> Result<Body, String> {
    let (mut parts, body) = response.into_parts();
    if let Some(length @ 1..) = body.size_hint().exact() {
        parts.headers.insert(CONTENT_LENGTH, length.into());
    }
    let head = Head {
        status: parts.status.as_u16(),
        headers: encode_headers(&parts.headers),
    };
    send(sink, Message::Head(Ok(head))).await?;
    Ok(body)
}
