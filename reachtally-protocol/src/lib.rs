//! Messages between the daemons of a failure domain, and their framing.
//!
//! Each message is one frame: a length of four bytes, then `prost`. A connection carries one message
//! and, for a [`Message::Pull`], its answer.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use reachtally_core::event::Read;
use reachtally_core::fold::{Config, Operation};
use reachtally_core::member::MemberState;

pub mod codec;
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
}

/// The longest frame taken, in bytes. A whole configuration must fit.
pub const FRAME_MAX: usize = 32 << 20;

/// One message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Member states, the sender's own first.
    Digest(Vec<MemberState>),
    /// Configuration records in order.
    Records(Vec<Read<Operation>>),
    /// Asks for the records from this offset on.
    Pull(u64),
    /// A whole configuration.
    Snapshot(Box<Config>),
}
