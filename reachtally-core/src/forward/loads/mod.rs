//! What all boxes together have on the targets, as sums.
//!
//! Each box tells what it has to one box of its failure domain, the collector. The collectors tell each
//! other what the boxes that report to them have in all, and answer each report with what all others
//! have. So what a box sends and gets does not grow with the number of boxes, and every request in the
//! fleet is known to every box after two reports.
//!
//! Every message names targets with what is on them, and stands for itself: one that is lost, late or
//! doubled leaves what it names as old as it was, and what is old is forgotten. A box that changes its
//! collector says so to the one before, where it would else count for as long.

use std::time::Duration;

use crate::forward::count::DomainCount;
use crate::forward::fleet::TargetRun;
use crate::forward::limit::{DemandPart, Grants, LimitReport, PermitRequest};
use crate::forward::quarantine::Told;
use crate::ids::Incarnation;

mod collector;
mod elsewhere;
mod told;

pub use collector::Collector;
pub use elsewhere::{Elsewhere, own_report};

/// What was told is forgotten after this long: several reports in a row are lost only with their sender
/// or its links.
pub const REPORT_LIFE: Duration = Duration::from_millis(1500);
/// Targets in one message. With names of a dozen bytes, and the numbers of boxes of 13 failure domains, it fits
/// a datagram that is not split on the way. With fewer at once a large fleet takes more messages, and is known later.
pub const TARGETS_TOLD: usize = 38;
/// The same where the targets' runs tell their starts: a mark takes three bytes.
pub const MARKED_TARGETS_TOLD: usize = 35;
/// Most requests on a target that are believed of one sender; beyond any target's places.
const MOST_RUNNING: u32 = 100_000;
/// Most tokens on a target that are believed of one sender; beyond any target's memory.
const MOST_TOKENS: u32 = 100_000_000;

/// Requests on a target, of one box or of many.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Requests that take part there.
    pub running: u32,
    /// KV tokens that they hold on average while they run.
    pub tokens: u32,
    /// Prompt tokens that wait to be read there.
    pub reading: u32,
    /// How much longer the target takes than it should, if a box asked it lately.
    pub pace: Option<f64>,
    /// Boxes that found that it takes no connections.
    pub silent: u32,
}

impl Load {
    pub(super) fn is_nothing(&self) -> bool {
        *self == Load::default()
    }

    /// What is beyond reason is cut.
    pub(super) fn bounded(self) -> Self {
        Load {
            running: self.running.min(MOST_RUNNING),
            tokens: self.tokens.min(MOST_TOKENS),
            reading: self.reading.min(MOST_TOKENS),
            pace: self.pace.filter(|pace| pace.is_finite()),
            silent: self.silent.min(MOST_RUNNING),
        }
    }

    pub(super) fn add(&mut self, other: &Load) {
        self.running = self.running.saturating_add(other.running);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.reading = self.reading.saturating_add(other.reading);
        let told = self.pace.into_iter().chain(other.pace);
        self.pace = told.max_by(f64::total_cmp);
        self.silent = self.silent.saturating_add(other.silent);
    }

    /// What is left without a part. The slowest pace told stays: it is the target's own.
    pub(super) fn without(&self, part: &Load) -> Self {
        Load {
            running: self.running.saturating_sub(part.running),
            tokens: self.tokens.saturating_sub(part.tokens),
            reading: self.reading.saturating_sub(part.reading),
            pace: self.pace,
            silent: self.silent.saturating_sub(part.silent),
        }
    }
}

/// The load of one target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetLoad {
    /// The run of the target.
    pub target: TargetRun,
    /// What is on it.
    pub load: Load,
}

/// What a box has on its targets, for its collector.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Its run.
    pub run: Incarnation,
    /// Numbers its reports, so that a late one is not taken for the newest.
    pub number: u64,
    /// The targets on which it has something.
    pub loads: Vec<TargetLoad>,
}

/// What the boxes that report to one collector have on some targets, for other collectors.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// The collector's run.
    pub run: Incarnation,
    /// Its failure domain.
    pub domain: String,
    /// Boxes that report to it.
    pub boxes: u32,
    /// What they have.
    pub loads: Vec<TargetLoad>,
}

/// What all other boxes have on some targets, for a box that reported.
#[derive(Debug, Clone, PartialEq)]
pub struct Others {
    /// Boxes of each failure domain that is heard of; empty where other messages tell it.
    pub counts: Vec<DomainCount>,
    /// What they have.
    pub loads: Vec<TargetLoad>,
}

/// What boxes tell each other in datagrams.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// From a box to its collector.
    Report(Report),
    /// From a collector to another.
    Part(Part),
    /// From a collector to a box.
    Others(Others),
    /// From a box to the collector that it leaves for another: it is not to count there any more.
    Leave(Incarnation),
    /// Between a box and its collector, and between collectors: requests under which runs of targets ended.
    Suspects(Vec<Told>),
    /// Between a box and its collector, and between collectors: rate limits of targets.
    Limits(Vec<LimitReport>),
    /// From a box to its collector: asks for permits for targets with a rate limit.
    PermitRequest(PermitRequest),
    /// From a collector to a box: such permits.
    Grants(Grants),
    /// From a collector to another: the demand by which they share the limits.
    DemandPart(DemandPart),
}
