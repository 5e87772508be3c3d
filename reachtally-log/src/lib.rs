//! The platform's services as the router uses them: the append-only log and the live list.
//!
//! Each is a trait with one HTTP adapter; [`memory`] holds the log's behaviour for stand-ins and
//! tests.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::future::Future;

use reachtally_core::event::BoxStatus;
use serde::{Deserialize, Serialize};
use serde_json::Value;

pub mod http;
pub mod memory;

/// The stream that carries the configuration operators publish.
pub const CONFIG_STREAM: &str = "config";
/// The stream of claims and outcomes.
pub const CLAIMS_STREAM: &str = "claims";

/// The stream of leases and confirmations of the failure domains.
pub const DOMAINS_STREAM: &str = "domains";
/// The stream of configuration snapshots.
pub const SNAPSHOTS_STREAM: &str = "snapshots";

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its offset, from 0 without gaps.
    pub offset: u64,
    /// When the log took it, in milliseconds of the log's clock.
    pub at_ms: u64,
    /// Its content.
    pub data: Value,
}

/// What one read of a stream yields.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Page {
    /// The first offset that the log still keeps.
    pub first: u64,
    /// The offset that the next record appended will get.
    pub end: u64,
    /// Records from the offset asked for on.
    pub records: Vec<Record>,
    /// How often the log has come back from an older copy. Offsets of before say nothing then.
    #[serde(default)]
    pub returns: u64,
}

/// Why an append was not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendError {
    /// The log said that it did not take the record.
    Refused,
    /// The answer was lost; the record may have been taken, or may be yet.
    Lost,
}

/// Why a read yielded nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unavailable;

/// The append-only log service.
pub trait Log {
    /// Append to `stream`; yields the record's offset.
    fn append(
        &self,
        stream: &str,
        data: Value,
    ) -> impl Future<Output = Result<u64, AppendError>> + Send;

    /// Read `stream` from `from` on, waiting up to `wait_ms` for the first record.
    fn read(
        &self,
        stream: &str,
        from: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Page, Unavailable>> + Send;
}

/// The live list.
pub trait LiveList {
    /// The boxes it shows; it lags.
    fn boxes(&self) -> impl Future<Output = Result<Vec<BoxStatus>, Unavailable>> + Send;
}
