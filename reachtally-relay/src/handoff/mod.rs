//! Handoff of requests to other boxes.
//!
//! A box that does not reach the targets of a service offers a request to a box of its failure domain, or else of another one. The
//! other box answers for itself, so no box relies on what a third one concludes from its links. Once it has accepted, it gets the
//! request as the caller sent it, authorizes and routes it by its own configuration, which is at least as new, and sends it to its
//! own targets. It never hands the request on.
//!
//! Until the request is sent, the offer proves that it did not run. Afterwards only a refusal by the other box proves that; if that
//! box falls silent, the request may have run. A box shows that it is alive at least every [`HEARTBEAT_INTERVAL`]. Closing the
//! connection cancels the request.

mod send;
mod serve;
mod watch;

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use rand::seq::SliceRandom;
use reachtally_core::forward::handoff::{Candidate, HandoffPeers};
use reachtally_core::forward::reach::service_reach;
use reachtally_protocol::handoff::{Header, Message};
use reachtally_protocol::news::{Frames, frames};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::relay::Relay;
use crate::serve::Call;

pub(crate) use send::{Handoff, hand_over};
pub use serve::serve;
pub use watch::watch;

/// Interval at which a box that runs a request for another one shows that it is alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// A connection between two boxes that carries one request.
type Link = Framed<TcpStream, Frames>;

fn link(stream: TcpStream) -> Link {
    Framed::new(stream, frames())
}

/// State of the handoffs from and to this box.
#[derive(Debug, Default)]
pub(crate) struct HandoffState {
    /// Boxes that were asked to take over requests.
    peers: RefCell<HandoffPeers>,
    /// Number of requests that this box runs for others.
    taken: Cell<u32>,
    /// Services that no target within reach of this box can serve, as of the last check.
    unserved: RefCell<Vec<Arc<str>>>,
}

impl HandoffState {
    fn is_unserved(&self, service: &str) -> bool {
        let unserved = self.unserved.borrow();
        unserved.iter().any(|name| &**name == service)
    }
}

impl Relay {
    /// Returns whether another box may be asked to take over a request.
    pub(crate) fn may_hand_over(&self, call: &Call) -> bool {
        self.needs_other_box(call) && self.choose_peer(&call.service_name, &[]).is_some()
    }

    /// Returns whether some target of a request accepts no connections from this box, which may hand the request over.
    fn needs_other_box(&self, call: &Call) -> bool {
        !call.is_handoff && self.misses_targets(&call.service_name)
    }

    /// Returns whether some service is served by other boxes only.
    pub(crate) fn is_cut_off(&self) -> bool {
        let unserved = self.handoffs.unserved.borrow();
        let peers = self.handoffs.peers.borrow();
        let now = self.now();
        unserved
            .iter()
            .any(|service| self.misses_targets(service) && peers.is_served_elsewhere(service, now))
    }

    /// Returns the number of requests that this box has handed over and that are running.
    pub fn handed_over(&self) -> u32 {
        self.handoffs.peers.borrow().running()
    }

    /// Returns the number of requests that this box runs for others.
    pub fn taken_over(&self) -> u32 {
        self.handoffs.taken.get()
    }

    /// Returns whether some target of a service accepts no connections from this box.
    pub(crate) fn misses_targets(&self, service: &str) -> bool {
        service_reach(&self.fleet.borrow(), service).unresponsive > 0
    }

    fn choose_peer(&self, service: &str, asked: &[IpAddr]) -> Option<IpAddr> {
        self.settings.borrow().handoff_port?;
        let peers = self.handoffs.peers.borrow();
        peers.choose(self.candidates(), service, asked, self.now())
    }

    /// Returns the other boxes that this one knows, in random order.
    fn candidates(&self) -> Vec<Candidate> {
        let settings = self.settings.borrow();
        let mut found: Vec<Candidate> = Vec::new();
        let mut add = |ip: IpAddr, is_local| {
            if ip != settings.ip && found.iter().all(|known| known.ip != ip) {
                found.push(Candidate { ip, is_local });
            }
        };
        for member in self.members.borrow().iter() {
            add(member.ip, member.domain == settings.domain);
        }
        let requesters = self.requesters.borrow();
        let others = requesters.iter().chain(&settings.seeds);
        others.for_each(|ip| add(*ip, false));
        found.shuffle(&mut rand::rng());
        found
    }
}

async fn send(
    link: &mut (impl SinkExt<Bytes, Error = std::io::Error> + Unpin),
    message: Message,
) -> Result<(), String> {
    link.send(message.encode())
        .await
        .map_err(|err| err.to_string())
}

async fn receive(link: &mut Link) -> Result<Message, String> {
    receive_within(link, None).await
}

/// Receives the next message; fails after `limit` without one.
async fn receive_within(link: &mut Link, limit: Option<Duration>) -> Result<Message, String> {
    receive_held(link, limit, BytesMut::freeze).await
}

/// Receives the next message like [`receive_within`]. Its fields share the bytes that `hold` makes of the frame.
async fn receive_held(
    link: &mut Link,
    limit: Option<Duration>,
    hold: impl FnOnce(BytesMut) -> Bytes,
) -> Result<Message, String> {
    let next = match limit {
        None => link.next().await,
        Some(limit) => timeout(limit, link.next())
            .await
            .map_err(|_| format!("no message within {limit:?}"))?,
    };
    let frame = next.ok_or("connection closed")?;
    let frame = frame.map_err(|err| err.to_string())?;
    Message::decode(hold(frame)).map_err(|err| err.to_string())
}

fn encode_headers(headers: &HeaderMap) -> Vec<Header> {
    let encode = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    headers.iter().map(encode).collect()
}

fn decode_headers(headers: Vec<Header>) -> Result<HeaderMap, String> {
    let mut decoded = HeaderMap::with_capacity(headers.len());
    for Header { name, value } in headers {
        let invalid = || format!("invalid header {name}");
        let key = HeaderName::from_bytes(name.as_bytes()).map_err(|_| invalid())?;
        let value = HeaderValue::from_maybe_shared(value).map_err(|_| invalid())?;
        decoded.append(key, value);
    }
    Ok(decoded)
}
