//! What a box asks another for, and what it is told: the configuration and the targets.

use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use reachtally_core::forward::changes::Cursor;
use reachtally_core::forward::era::{Era, Generation, Position};
use reachtally_core::forward::fleet::{Born, Entry};
use reachtally_core::forward::peers::Member;
use reachtally_core::ids::Incarnation;

use crate::FRAME_MAX;
use crate::codec::Error;
use crate::generated::relay as pb;
use crate::packed;

/// Asks for what is new since what the asker holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Ask {
    /// Version of the configuration held; 0 for none.
    pub config_version: u64,
    /// How far the asker has followed the answerer's changes of targets.
    pub targets: Cursor,
    /// Position in the store up to which the asker knows the targets; the least for none.
    pub targets_end: Position,
    /// Generation of the group of boxes that the asker knows; the least for none.
    pub group_generation: Generation,
}

/// What is new.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct News {
    /// Age of the read that confirmed the configuration.
    pub confirmed_age: Option<Duration>,
    /// Age of the last read of the targets.
    pub targets_age: Option<Duration>,
    /// Position in the store up to which the targets are known.
    pub targets_end: Position,
    /// The store's era, if the answerer knows it.
    pub era: Option<Era>,
    /// How long ago the store came back into it from a copy, if the answerer knows of it.
    pub era_age: Option<Duration>,
    /// The configuration as published, packed; empty if the asker's is as new.
    pub config: Bytes,
    /// How far the changes of targets go.
    pub targets: Cursor,
    /// What changed of the targets: a packed [`TargetPage`]; empty if nothing did.
    pub page: Bytes,
    /// Generation of the group that `members` is of; the least if the asker's is as new.
    pub group_generation: Generation,
    /// The boxes of the group.
    pub members: Vec<Member>,
}

/// What changed of the targets. It is packed, since after a start a reader tells all boxes of its failure domain of
/// all targets: of 3,000 some 270 KB to each of a hundred before, worked out.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TargetPage {
    /// Whether `wrote` holds all targets.
    pub is_whole: bool,
    /// Entries that changed.
    pub wrote: Vec<Entry>,
    /// Ids among `wrote` whose entries are missing in the store, perhaps through its own fault.
    pub lapsed: Vec<String>,
    /// Ids of targets that are gone.
    pub gone: Vec<String>,
}

impl TargetPage {
    /// Its packed form.
    ///
    /// # Errors
    /// None is expected: both forms are in memory.
    pub fn pack(&self) -> std::io::Result<Bytes> {
        let message = pb::TargetPage {
            is_whole: self.is_whole,
            wrote: self.wrote.iter().map(encode_entry).collect(),
            lapsed: self.lapsed.clone(),
            gone: self.gone.clone(),
        };
        packed::pack(&message.encode_to_vec())
    }

    /// From its packed form.
    ///
    /// # Errors
    /// [`Error::Unpack`], [`Error::Decode`], or [`Error::Missing`] for an address that is none.
    pub fn unpack(page: &[u8]) -> Result<Self, Error> {
        if page.is_empty() {
            return Ok(TargetPage::default());
        }
        let unpacked = packed::unpack(page).map_err(Error::Unpack)?;
        let message = pb::TargetPage::decode(unpacked).map_err(Error::Decode)?;
        let wrote: Result<Vec<Entry>, Error> =
            message.wrote.into_iter().map(decode_entry).collect();
        Ok(TargetPage {
            is_whole: message.is_whole,
            wrote: wrote?,
            lapsed: message.lapsed,
            gone: message.gone,
        })
    }
}

/// Frames of these messages: a length of four bytes, then `prost`.
pub fn frames() -> tokio_util::codec::LengthDelimitedCodec {
    let mut builder = tokio_util::codec::LengthDelimitedCodec::builder();
    builder.max_frame_length(FRAME_MAX);
    builder.new_codec()
}

impl Ask {
    /// As the content of a frame.
    pub fn encode(&self) -> Bytes {
        let message = pb::Ask {
            config_version: self.config_version,
            targets_run: self.targets.run,
            targets_next: self.targets.next,
            targets_end: self.targets_end.offset,
            targets_era: self.targets_end.era.0,
            group_generation: self.group_generation.number,
            group_era: self.group_generation.era.0,
        };
        message.encode_to_vec().into()
    }

    /// From the content of a frame.
    ///
    /// # Errors
    /// [`Error::Decode`].
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let message = pb::Ask::decode(bytes).map_err(Error::Decode)?;
        Ok(Ask {
            config_version: message.config_version,
            targets: Cursor {
                run: message.targets_run,
                next: message.targets_next,
            },
            targets_end: position(message.targets_era, message.targets_end),
            group_generation: generation(message.group_era, message.group_generation),
        })
    }
}

impl News {
    /// As the content of a frame.
    pub fn encode(&self) -> Bytes {
        let message = pb::News {
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
            members: self.members.iter().map(encode_member).collect(),
            page: self.page.clone(),
        };
        message.encode_to_vec().into()
    }

    /// From the content of a frame.
    ///
    /// # Errors
    /// [`Error::Decode`], or [`Error::Missing`] for an address that is none.
    pub fn decode(bytes: Bytes) -> Result<Self, Error> {
        let message = pb::News::decode(bytes).map_err(Error::Decode)?;
        let members: Result<Vec<Member>, Error> =
            message.members.into_iter().map(decode_member).collect();
        Ok(News {
            // Rounded up, since a smaller age would be a promise that was not given.
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

fn encode_member(member: &Member) -> pb::Member {
    pb::Member {
        domain: member.domain.clone(),
        ip: member.ip.to_string(),
        run: member.run.0,
        link_mbps: member.link_mbps,
    }
}

fn decode_member(member: pb::Member) -> Result<Member, Error> {
    Ok(Member {
        domain: member.domain,
        ip: member.ip.parse().map_err(|_| Error::Missing("ip"))?,
        run: Incarnation(member.run),
        link_mbps: member.link_mbps,
    })
}

fn encode_entry(entry: &Entry) -> pb::Target {
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

fn decode_entry(target: pb::Target) -> Result<Entry, Error> {
    let address = target.address.parse();
    Ok(Entry {
        id: target.id.into(),
        born: (target.born > 0).then_some(Born(target.born)),
        service: target.service.into(),
        address: address.map_err(|_| Error::Missing("address"))?,
        domain: target.domain.into(),
        draining: target.draining,
        slots: target.slots,
        card: (!target.card.is_empty()).then(|| target.card.into()),
        layers: target.layers_from..target.layers_to,
    })
}
