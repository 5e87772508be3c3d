//! Messages by which a box hands a request over to another box.
//!
//! A connection carries one request: an [`Offer`], a [`Message::Reply`], and if it accepts a [`Request`], which is answered
//! with a [`Head`], any number of [`Data`] and [`Message::End`].

use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;

use crate::codec::Error;
use crate::generated::relay as pb;
use crate::generated::relay::handoff_message::Kind;

/// Why a box does not take over a request, which it has not run then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No target of the service can serve it, as far as the box knows.
    NoTarget,
    /// The box holds an older configuration than the one that allowed the request.
    Outdated,
    /// The box is stopping, starting, overloaded, or has not confirmed its configuration.
    Unavailable,
}

/// Asks a box whether it takes over a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// The service of the request.
    pub service: String,
    /// Version of the configuration that allowed the request.
    pub config_version: u64,
    /// Upper bound on the length of the frame with the request, in bytes. `None` from boxes that do not state it.
    pub request_bytes: Option<u64>,
}

/// A header of a request or a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name.
    pub name: String,
    /// Value.
    pub value: Bytes,
}

/// The request as the caller sent it, and what is left of its limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
    /// Time until the caller stops waiting.
    pub deadline: Duration,
    /// Time until the response is due.
    pub due: Duration,
    /// Id of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Number of earlier sends that may have run.
    pub possible_runs: u32,
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
}

/// Part of the body of a response; empty if it only shows that the box is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Data {
    /// Bytes of the body.
    pub data: Bytes,
    /// Number of sends that may have run so far, including those before the handoff.
    pub possible_runs: u32,
}

/// The content of one frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// See [`Offer`].
    Offer(Offer),
    /// Accepts or refuses an offer.
    Reply(Result<(), Refusal>),
    /// See [`Request`].
    Request(Request),
    /// The head of the response, or why the request did not run after all.
    Head(Result<Head, Refusal>),
    /// See [`Data`].
    Data(Data),
    /// The regular end of the body.
    End,
}

impl Message {
    /// Encodes the content of a frame.
    pub fn encode(self) -> Bytes {
        let kind = match self {
            Message::Offer(offer) => Kind::Offer(pb::HandoffOffer {
                service: offer.service,
                config_version: offer.config_version,
                request_bytes: offer.request_bytes,
            }),
            Message::Reply(reply) => Kind::Reply(pb::HandoffReply {
                refusal: refusal_to_wire(reply.err()),
            }),
            Message::Request(request) => Kind::Request(pb::HandoffRequest {
                method: request.method,
                target: request.target,
                headers: headers_to_wire(request.headers),
                body: request.body,
                deadline_ms: request.deadline.as_millis() as u64,
                due_ms: request.due.as_millis() as u64,
                last_event: request.last_event,
                possible_runs: request.possible_runs,
            }),
            Message::Head(Ok(head)) => Kind::Head(pb::HandoffHead {
                status: head.status.into(),
                headers: headers_to_wire(head.headers),
                refusal: refusal_to_wire(None),
            }),
            Message::Head(Err(refusal)) => Kind::Head(pb::HandoffHead {
                refusal: refusal_to_wire(Some(refusal)),
                ..pb::HandoffHead::default()
            }),
            Message::Data(data) => Kind::Data(pb::HandoffData {
                data: data.data,
                possible_runs: data.possible_runs,
            }),
            Message::End => Kind::End(pb::HandoffEnd {}),
        };
        let message = pb::HandoffMessage { kind: Some(kind) };
        message.encode_to_vec().into()
    }

    /// Decodes the content of a frame.
    ///
    /// # Errors
    /// [`Error::Decode`], or [`Error::Missing`] for a message without content or with an invalid status.
    pub fn decode(frame: Bytes) -> Result<Self, Error> {
        let message = pb::HandoffMessage::decode(frame).map_err(Error::Decode)?;
        Ok(match message.kind.ok_or(Error::Missing("kind"))? {
            Kind::Offer(offer) => Message::Offer(Offer {
                service: offer.service,
                config_version: offer.config_version,
                request_bytes: offer.request_bytes,
            }),
            Kind::Reply(reply) => Message::Reply(refusal_from_wire(reply.refusal)),
            Kind::Request(request) => Message::Request(Request {
                method: request.method,
                target: request.target,
                headers: headers_from_wire(request.headers),
                body: request.body,
                deadline: Duration::from_millis(request.deadline_ms),
                due: Duration::from_millis(request.due_ms),
                last_event: request.last_event,
                possible_runs: request.possible_runs,
            }),
            Kind::Head(head) => Message::Head(match refusal_from_wire(head.refusal) {
                Err(refusal) => Err(refusal),
                Ok(()) => Ok(Head {
                    status: u16::try_from(head.status).map_err(|_| Error::Missing("status"))?,
                    headers: headers_from_wire(head.headers),
                }),
            }),
            Kind::Data(data) => Message::Data(Data {
                data: data.data,
                possible_runs: data.possible_runs,
            }),
            Kind::End(pb::HandoffEnd {}) => Message::End,
        })
    }
}

fn refusal_to_wire(refusal: Option<Refusal>) -> i32 {
    let refusal = match refusal {
        None => pb::HandoffRefusal::None,
        Some(Refusal::NoTarget) => pb::HandoffRefusal::NoTarget,
        Some(Refusal::Outdated) => pb::HandoffRefusal::Outdated,
        Some(Refusal::Unavailable) => pb::HandoffRefusal::Unavailable,
    };
    refusal.into()
}

/// Decodes a refusal. An unknown one, of a later version, counts as [`Refusal::Unavailable`].
fn refusal_from_wire(refusal: i32) -> Result<(), Refusal> {
    match pb::HandoffRefusal::try_from(refusal) {
        Ok(pb::HandoffRefusal::None) => Ok(()),
        Ok(pb::HandoffRefusal::NoTarget) => Err(Refusal::NoTarget),
        Ok(pb::HandoffRefusal::Outdated) => Err(Refusal::Outdated),
        Ok(pb::HandoffRefusal::Unavailable) | Err(_) => Err(Refusal::Unavailable),
    }
}

fn headers_to_wire(headers: Vec<Header>) -> Vec<pb::HandoffHeader> {
    let to_wire = |header: Header| pb::HandoffHeader {
        name: header.name,
        value: header.value,
    };
    headers.into_iter().map(to_wire).collect()
}

fn headers_from_wire(headers: Vec<pb::HandoffHeader>) -> Vec<Header> {
    let from_wire = |header: pb::HandoffHeader| Header {
        name: header.name,
        value: header.value,
    };
    headers.into_iter().map(from_wire).collect()
}
