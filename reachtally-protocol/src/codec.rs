//! Encodes messages into frames and decodes frames into messages.

use bytes::{Bytes, BytesMut};
use prost::Message as _;
use reachtally_core::Incarnation;
use reachtally_core::event::Read;
use reachtally_core::fold::Operation;
use reachtally_core::member::MemberState;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::generated::peer as pb;
use crate::{FRAME_MAX, Message};

/// Why a frame could not be sent, received or decoded.
#[derive(Debug)]
pub enum Error {
    /// The connection failed, or a frame is too long.
    Io(std::io::Error),
    /// The frame is not a valid protobuf message.
    Decode(prost::DecodeError),
    /// A compressed field could not be decompressed.
    Unpack(std::io::Error),
    /// A required field is missing or invalid.
    Missing(&'static str),
    /// The JSON within a field could not be parsed or written.
    Json(serde_json::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Io(cause) => write!(f, "connection failed: {cause}"),
            Error::Decode(cause) => write!(f, "failed to decode frame: {cause}"),
            Error::Unpack(cause) => write!(f, "failed to decompress field: {cause}"),
            Error::Missing(field) => write!(f, "field {field} is missing or invalid"),
            Error::Json(cause) => write!(f, "invalid JSON in frame: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(cause: std::io::Error) -> Self {
        Error::Io(cause)
    }
}

/// Encodes and decodes messages as length-delimited frames.
#[derive(Debug)]
pub struct Codec {
    frames: LengthDelimitedCodec,
}

impl Default for Codec {
    fn default() -> Self {
        let mut builder = LengthDelimitedCodec::builder();
        builder.max_frame_length(FRAME_MAX);
        Codec {
            frames: builder.new_codec(),
        }
    }
}

impl Encoder<Message> for Codec {
    type Error = Error;

    fn encode(&mut self, message: Message, buf: &mut BytesMut) -> Result<(), Error> {
        let frame = Bytes::from(to_frame(message)?.encode_to_vec());
        self.frames.encode(frame, buf)?;
        Ok(())
    }
}

impl Decoder for Codec {
    type Item = Message;
    type Error = Error;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Message>, Error> {
        match self.frames.decode(buf)? {
            Some(frame) => from_frame(frame.freeze()).map(Some),
            None => Ok(None),
        }
    }
}

fn to_frame(message: Message) -> Result<pb::Frame, Error> {
    use pb::frame::Message as Body;
    let body = match message {
        Message::Digest(members) => Body::Digest(pb::Digest {
            members: members.into_iter().map(member_to_wire).collect(),
        }),
        Message::Records(records) => {
            let records: Result<_, Error> = records.into_iter().map(record_to_wire).collect();
            Body::Records(pb::Records { records: records? })
        }
        Message::Pull(next) => Body::Pull(pb::Pull { next }),
        Message::Snapshot(config) => Body::Snapshot(pb::Snapshot {
            config: serde_json::to_vec(&config).map_err(Error::Json)?.into(),
        }),
    };
    Ok(pb::Frame {
        message: Some(body),
    })
}

fn from_frame(frame: Bytes) -> Result<Message, Error> {
    use pb::frame::Message as Body;
    let frame = pb::Frame::decode(frame).map_err(Error::Decode)?;
    Ok(match frame.message.ok_or(Error::Missing("message"))? {
        Body::Digest(digest) => {
            Message::Digest(digest.members.into_iter().map(member_from_wire).collect())
        }
        Body::Records(records) => {
            let records: Result<_, Error> =
                records.records.into_iter().map(record_from_wire).collect();
            Message::Records(records?)
        }
        Body::Pull(pull) => Message::Pull(pull.next),
        Body::Snapshot(snapshot) => {
            let config = serde_json::from_slice(&snapshot.config).map_err(Error::Json)?;
            Message::Snapshot(Box::new(config))
        }
    })
}

fn member_to_wire(member: MemberState) -> pb::Member {
    pb::Member {
        incarnation: member.incarnation.0,
        r#box: member.box_name,
        domain: member.domain,
        address: member.address,
        heartbeat: member.heartbeat,
        config_next: member.config_next,
        stopping: member.stopping,
    }
}

fn member_from_wire(member: pb::Member) -> MemberState {
    MemberState {
        incarnation: Incarnation(member.incarnation),
        box_name: member.r#box,
        domain: member.domain,
        address: member.address,
        heartbeat: member.heartbeat,
        config_next: member.config_next,
        stopping: member.stopping,
    }
}

fn record_to_wire(read: Read<Operation>) -> Result<pb::Record, Error> {
    Ok(pb::Record {
        offset: read.offset,
        at_ms: read.at_ms,
        operation: serde_json::to_vec(&read.record)
            .map_err(Error::Json)?
            .into(),
    })
}

fn record_from_wire(record: pb::Record) -> Result<Read<Operation>, Error> {
    Ok(Read {
        offset: record.offset,
        at_ms: record.at_ms,
        record: serde_json::from_slice(&record.operation).map_err(Error::Json)?,
    })
}
