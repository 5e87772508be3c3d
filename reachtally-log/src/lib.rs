//! Interfaces to the platform's services that the router uses: the append-only log and the live list.
//!
//! Each service is a trait with one HTTP adapter. [`memory`] implements the log in memory for stand-ins and
//! tests.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::future::Future;

use reachtally_core::event::BoxStatus;
use serde::{Deserialize, Serialize};
use serde_json::Value;

pub mod http;
pub mod memory;

/// The stream of configuration changes published by operators.
pub const CONFIG_STREAM: &str = "config";
/// The stream of request claims and their outcomes.
pub const CLAIMS_STREAM: &str = "claims";

/// The stream of the failure domains' leases and configuration confirmations.
pub const DOMAINS_STREAM: &str = "domains";
/// The stream of configuration snapshots.
pub const SNAPSHOTS_STREAM: &str = "snapshots";

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Offset in the stream; offsets start at 0 and have no gaps.
    pub offset: u64,
    /// When the log accepted the record, in milliseconds of the log's clock.
    pub at_ms: u64,
    /// The record's payload.
    pub data: Value,
}

/// The result of one read of a stream.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Page {
    /// The first offset that the log still retains.
    pub first: u64,
    /// The offset that the next appended record gets.
    pub end: u64,
    /// Records from the requested offset on.
    pub records: Vec<Record>,
    /// How many times the log has been restored from an older copy. Offsets read before a restore are no
    /// longer valid.
    #[serde(default)]
    pub returns: u64,
}

/// Why an append was not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendError {
    /// The record was not accepted: the log refused it or no connection could be established.
    Refused,
    /// The response was lost; the record may have been appended, or may still be.
    Lost,
}

/// The service could not be reached or did not answer a read properly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unavailable;

/// The append-only log service.
pub trait Log {
    /// Appends a record to `stream` and returns its offset.
    fn append(
        &self,
        stream: &str,
        data: Value,
    ) -> impl Future<Output = Result<u64, AppendError>> + Send;

    /// Reads `stream` from the offset `from` on, waiting up to `wait_ms` for the first record.
    fn read(
        &self,
        stream: &str,
        from: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Page, Unavailable>> + Send;
}

/// The platform's list of live boxes.
pub trait LiveList {
    /// Returns the listed boxes. The list lags behind the actual state.
    fn boxes(&self) -> impl Future<Output = Result<Vec<BoxStatus>, Unavailable>> + Send;
}
