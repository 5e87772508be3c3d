//! Requests for updates of the configuration, the targets and the group of boxes, and the answers to them.

use std::net::IpAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use prost::Message as _;
use reachtally_core::forward::changes::Cursor;
use reachtally_core::forward::era::{Era, Generation, Position};
use reachtally_core::forward::fleet::{Entry, StartTime};
use reachtally_core::forward::peers::Member;
use reachtally_core::ids::Incarnation;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::FRAME_MAX;
use crate::codec::Error;
use crate::generated::{self, relay as pb};
use crate::packed;

/// Requests updates relative to the state that the requesting box holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UpdateRequest {
    /// Version of the held configuration; 0 for none.
    pub config_version: u64,
    /// How far the requesting box has applied the target changes of the answering box.
    pub targets: Cursor,
    /// Store position up to which the requesting box knows the targets; the least one for none.
    pub targets_end: Position,
    /// Generation of the held group membership; the least one for none.
    pub group_generation: Generation,
    /// Address of the requesting box, if it names it.
    pub ip: Option<IpAddr>,
}

/// The state that is newer than what the requesting box holds.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Update {
    /// Age of the read that last confirmed the configuration, when the request arrived; zero if it is later.
    pub confirmed_age: Option<Duration>,
    /// Age of the last read of the targets, when the request arrived; zero if it is later.
    pub targets_age: Option<Duration>,
    /// Store position up to which the answering box knows the targets.
    pub targets_end: Position,
    /// The current store epoch, if the answering box knows it.
    pub era: Option<Era>,
    /// Time since the store entered this epoch by being restored from a copy, if the answering box knows it.
    pub era_age: Option<Duration>,
    /// The published configuration, compressed; empty if the requesting box already holds it.
    pub config: Bytes,
    /// Position in the target changes of the answering box after `page` is applied.
    pub targets: Cursor,
    /// A compressed [`TargetPage`]; empty if no target changed.
    pub page: Bytes,
    /// Generation of the group membership in `members`; the least one if the requesting box already holds it.
    pub group_generation: Generation,
    /// The members of the group.
    pub members: Vec<Member>,
}

/// Changes of the targets. Sent compressed, since at a start one box sends all targets to every box of its failure domain:
/// uncompressed, 3,000 targets come to about 270 KB for each of a hundred boxes.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TargetPage {
    /// Whether `wrote` lists all targets rather than only the changed ones.
    pub is_whole: bool,
    /// New and changed entries.
    pub wrote: Vec<Entry>,
    /// Ids in `wrote` whose entries have disappeared from the store, possibly through a fault of the store.
    pub lapsed: Vec<String>,
    /// Ids of removed targets.
    pub gone: Vec<String>,
}

impl TargetPage {
    /// Encodes and compresses the page.
    ///
    /// # Errors
    /// Not expected to fail, since input and output are in memory.
    pub fn compress(&self) -> std::io::Result<Bytes> {
        let message = pb::TargetPage {
            is_whole: self.is_whole,
            wrote: self.wrote.iter().map(entry_to_wire).collect(),
            lapsed: self.lapsed.clone(),
            gone: self.gone.clone(),
        };
        packed::compress(&message.encode_to_vec())
    }

    /// Decompresses and decodes a page.
    ///
    /// # Errors
    /// [`Error::Unpack`], [`Error::Decode`], or [`Error::Missing`] for an invalid address.
    pub fn decompress(page: &[u8]) -> Result<Self, Error> {
        if page.is_empty() {
            return Ok(TargetPage::default());
        }
        let unpacked = packed::decompress(page).map_err(Error::Unpack)?;
        let message = pb::TargetPage::decode(unpacked).map_err(Error::Decode)?;
        let wrote: Result<Vec<Entry>, Error> =
            message.wrote.into_iter().map(entry_from_wire).collect();
        Ok(TargetPage {
            is_whole: message.is_whole,
            wrote: wrote?,
            lapsed: message.lapsed,
            gone: message.gone,
        })
    }
}

/// Codec of the frames of these messages: a length of four bytes, then the `prost` encoding.
///
/// The buffer of a frame is allocated as soon as its length is known. A peer may announce more than it sends, so whoever knows what
/// comes next limits it.
#[derive(Debug)]
pub struct Frames {
    received: LengthDelimitedCodec,
    sent: LengthDelimitedCodec,
}

/// Returns a codec for frames of up to [`FRAME_MAX`] bytes.
pub fn frames() -> Frames {
    let codec = || {
        let mut builder = LengthDelimitedCodec::builder();
        builder.max_frame_length(FRAME_MAX);
        builder.new_codec()
    };
    Frames {
        received: codec(),
        sent: codec(),
    }
}

impl Frames {
    /// Limits the frames that are received from now on to `bytes`.
    pub fn set_max_received(&mut self, bytes: usize) {
        self.received.set_max_frame_length(bytes);
    }
}

impl Decoder for Frames {
    type Item = BytesMut;
    type Error = std::io::Error;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<BytesMut>, std::io::Error> {
        self.received.decode(buf)
    }
}

impl Encoder<Bytes> for Frames {
    type Error = std::io::Error;

    fn encode(&mut self, frame: Bytes, buf: &mut BytesMut) -> Result<(), std::io::Error> {
        self.sent.encode(frame, buf)
    }
}

impl UpdateRequest {
    /// Encodes the content of a frame.
    pub fn encode(&self) -> Bytes {
        let message = generated::AskMessage {
            config_version: self.config_version,
            targets_run: self.targets.run,
            targets_next: self.targets.next,
            targets_end: self.targets_end.offset,
            targets_era: self.targets_end.era.0,
            group_generation: self.group_generation.number,
            group_era: self.group_generation.era.0,
            ip: self.ip.map(|ip| ip.to_string()).unwrap_or_default(),
        };
        message.encode_to_vec().into()
    }

    /// Decodes the content of a frame.
    ///
    /// # Errors
    /// [`Error::Decode`], or [`Error::Missing`] for an invalid address.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let message = generated::AskMessage::decode(bytes).map_err(Error::Decode)?;
        Ok(UpdateRequest {
            config_version: message.config_version,
            targets: Cursor {
                run: message.targets_run,
                next: message.targets_next,
            },
            targets_end: position(message.targets_era, message.targets_end),
            group_generation: generation(message.group_era, message.group_generation),
            ip: decode_optional_ip(&message.ip)?,
        })
    }
}

/// Decodes an address that may be left out.
fn decode_optional_ip(text: &str) -> Result<Option<IpAddr>, Error> {
    if text.is_empty() {
        return Ok(None);
    }
    decode_ip(text).map(Some)
}

fn decode_ip(text: &str) -> Result<IpAddr, Error> {
    text.parse().map_err(|_| Error::Missing("ip"))
}

impl Update {
    /// Encodes the content of a frame.
    pub fn encode(&self) -> Bytes {
        let message = generated::NewsMessage {
            confirmed_age_ms: self.confirmed_age.map(|age| age.as_millis() as u64),
            config: self.config.clone(),
            targets_age_ms: self.targets_age.map(|age| age.as_millis() as u64),
            targets_run: self.targets.run,
            targets_next: self.targets.next,
            targets_end: self.targets_end.offset,
            targets_era: self.targets_end.era.0,
            era: self.era.map(|era| era.0),
            era_age_ms: self.era_age.map(|age| age.as_millis() as u64),
            group_generation: self.group_generation.number,
            group_era: self.group_generation.era.0,
            members: self.members.iter().map(member_to_wire).collect(),
            page: self.page.clone(),
        };
        message.encode_to_vec().into()
    }

    /// Decodes the content of a frame.
    ///
    /// # Errors
    /// [`Error::Decode`], or [`Error::Missing`] for an invalid address.
    pub fn decode(bytes: Bytes) -> Result<Self, Error> {
        let message = generated::NewsMessage::decode(bytes).map_err(Error::Decode)?;
        let members: Result<Vec<Member>, Error> =
            message.members.into_iter().map(member_from_wire).collect();
        Ok(Update {
            // Rounds up: the state must never appear newer than it is.
            confirmed_age: message
                .confirmed_age_ms
                .map(|ms| Duration::from_millis(ms + 1)),
            targets_age: message
                .targets_age_ms
                .map(|ms| Duration::from_millis(ms + 1)),
            config: message.config,
            targets: Cursor {
                run: message.targets_run,
                next: message.targets_next,
            },
            targets_end: position(message.targets_era, message.targets_end),
            era: message.era.map(Era),
            era_age: message.era_age_ms.map(Duration::from_millis),
            page: message.page,
            group_generation: generation(message.group_era, message.group_generation),
            members: members?,
        })
    }
}

fn position(era: u64, offset: u64) -> Position {
    let era = Era(era);
    Position { era, offset }
}

fn generation(era: u64, number: u64) -> Generation {
    let era = Era(era);
    Generation { era, number }
}

fn member_to_wire(member: &Member) -> pb::Member {
    pb::Member {
        domain: member.domain.clone(),
        ip: member.ip.to_string(),
        run: member.run.0,
        link_mbps: member.link_mbps,
    }
}

fn member_from_wire(member: pb::Member) -> Result<Member, Error> {
    Ok(Member {
        domain: member.domain,
        ip: decode_ip(&member.ip)?,
        run: Incarnation(member.run),
        link_mbps: member.link_mbps,
    })
}

fn entry_to_wire(entry: &Entry) -> pb::Target {
    pb::Target {
        id: entry.id.to_string(),
        born: entry.born.map_or(0, |born| born.0),
        service: entry.service.to_string(),
        address: entry.address.to_string(),
        domain: entry.domain.to_string(),
        draining: entry.draining,
        slots: entry.slots,
        card: entry.card.as_deref().unwrap_or_default().to_owned(),
        layers_from: entry.layers.start,
        layers_to: entry.layers.end,
    }
}

fn entry_from_wire(target: pb::Target) -> Result<Entry, Error> {
    let address = target.address.parse();
    Ok(Entry {
        id: target.id.into(),
        born: (target.born > 0).then_some(StartTime(target.born)),
        service: target.service.into(),
        address: address.map_err(|_| Error::Missing("address"))?,
        domain: target.domain.into(),
        draining: target.draining,
        slots: target.slots,
        card: (!target.card.is_empty()).then(|| target.card.into()),
        layers: target.layers_from..target.layers_to,
    })
}
