//! Messages between daemons and between boxes, with their encodings.
//!
//! A [`Message`] between the daemons of a failure domain is sent as one frame: a length of four bytes,
//! then the `prost` encoding. A connection carries one message and, for a [`Message::Pull`], its answer.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use reachtally_core::event::Read;
use reachtally_core::fold::{Config, Operation};
use reachtally_core::member::MemberState;

pub mod codec;
pub mod handoff;
pub mod limits;
pub mod link;
pub mod load;
pub mod news;
pub mod packed;
pub mod shares;
pub mod suspects;

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
mod generated {
    pub mod peer;
    pub mod relay;

    // Aliases that set these messages apart from the types that they encode.
    pub use relay::{Ask as AskMessage, News as NewsMessage};
}

/// Maximum length of an accepted frame, in bytes. A complete configuration must fit.
pub const FRAME_MAX: usize = 32 << 20;

/// A message between two daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Member states, the sender's own first.
    Digest(Vec<MemberState>),
    /// Consecutive configuration records.
    Records(Vec<Read<Operation>>),
    /// Requests the records starting at this offset.
    Pull(u64),
    /// A complete configuration.
    Snapshot(Box<Config>),
}
