//! Loads of all boxes together on the targets, as sums.
//!
//! Each box reports its loads to one box of its failure domain, the collector. Collectors exchange the sums of their
//! reports, and answer each report with the loads of all other boxes. So the traffic of a box does not grow with the number of
//! boxes, and every request in the fleet is known to every box after two reports.
//!
//! Messages carry absolute figures, so that one that is lost, late or duplicated does no harm; loads expire if they are not
//! received again. A box that changes its collector announces it to the one before, where it would count until its report
//! expires.

use std::time::Duration;

use crate::forward::count::DomainCount;
use crate::forward::fleet::{QUEUE_TTL, RunMark, TargetRun};
use crate::forward::limit::{DemandPart, Grants, LimitReport, PermitRequest};
use crate::forward::quarantine::Told;
use crate::forward::shares::{AccountRates, AccountShares};
use crate::ids::Incarnation;

mod collector;
mod pages;
mod received;
mod remote;

pub use collector::Collector;
pub use pages::Assembler;
pub use remote::{RemoteLoads, own_report};

/// Time after which a report expires: several in a row are lost only with their sender or its links.
pub const REPORT_LIFE: Duration = Duration::from_millis(1500);
/// Targets in one message. With names of a dozen bytes, and the numbers of boxes of 13 failure domains, it fits
/// a datagram that is not split on the way. With fewer at once a large fleet takes more messages, and is known later.
pub const TARGETS_TOLD: usize = 38;
/// The same where the targets' runs tell their starts: a mark takes three bytes.
pub const MARKED_TARGETS_TOLD: usize = 35;
/// Upper bound on the running requests that one sender can report per target; rejects corrupt reports.
const MOST_RUNNING: u32 = 100_000;
/// Upper bound on the tokens that one sender can report per target; rejects corrupt reports.
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
    /// The newest queue that it stated.
    pub queue: Option<QueueReport>,
}

/// Requests that wait at a target, as it stated to some box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueReport {
    /// How many.
    pub waiting: u32,
    /// Time since its answer was received.
    pub age: Duration,
}

impl Load {
    pub(super) fn is_nothing(&self) -> bool {
        *self == Load::default()
    }

    /// Cuts figures to their upper bounds.
    pub(super) fn bounded(self) -> Self {
        Load {
            running: self.running.min(MOST_RUNNING),
            tokens: self.tokens.min(MOST_TOKENS),
            reading: self.reading.min(MOST_TOKENS),
            pace: self.pace.filter(|pace| pace.is_finite()),
            silent: self.silent.min(MOST_RUNNING),
            queue: self.queue.filter(|queue| queue.age < QUEUE_TTL),
        }
    }

    /// Returns the load as of `passed` later.
    pub(super) fn aged(self, passed: Duration) -> Self {
        let queue = self.queue.map(|queue| QueueReport {
            age: queue.age + passed,
            ..queue
        });
        Load {
            queue: queue.filter(|queue| queue.age < QUEUE_TTL),
            ..self
        }
    }

    pub(super) fn add(&mut self, other: &Load) {
        self.running = self.running.saturating_add(other.running);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.reading = self.reading.saturating_add(other.reading);
        let told = self.pace.into_iter().chain(other.pace);
        self.pace = told.max_by(f64::total_cmp);
        self.silent = self.silent.saturating_add(other.silent);
        let stated = self.queue.into_iter().chain(other.queue);
        self.queue = stated.min_by_key(|queue| queue.age);
    }

    /// Subtracts a part. The slowest pace and the queue stay: they are the target's own.
    pub(super) fn without(&self, part: &Load) -> Self {
        Load {
            running: self.running.saturating_sub(part.running),
            tokens: self.tokens.saturating_sub(part.tokens),
            reading: self.reading.saturating_sub(part.reading),
            pace: self.pace,
            silent: self.silent.saturating_sub(part.silent),
            queue: self.queue,
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

/// Loads of a box, for its collector.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Its run.
    pub run: Incarnation,
    /// Numbers its reports, so that a late one is not taken for the newest.
    pub number: u64,
    /// The targets with a load.
    pub loads: Vec<TargetLoad>,
}

/// Part of a report that fits a datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct ReportPage {
    /// The run of the box.
    pub run: Incarnation,
    /// Number of the report.
    pub number: u64,
    /// Position among the pages of the report, from 0.
    pub index: u32,
    /// Pages of the report, at least 1.
    pub count: u32,
    /// Some of the targets with a load.
    pub loads: Vec<TargetLoad>,
}

/// Number of targets that fit one message: fewer where their runs tell their starts.
fn targets_in_message(loads: &[TargetLoad]) -> usize {
    let is_marked = |told: &TargetLoad| told.target.mark != RunMark::default();
    match loads.iter().any(is_marked) {
        true => MARKED_TARGETS_TOLD,
        false => TARGETS_TOLD,
    }
}

/// Sums of the reports to one collector for some targets, for other collectors.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// The collector's run.
    pub run: Incarnation,
    /// Its failure domain.
    pub domain: String,
    /// Boxes that report to it.
    pub boxes: u32,
    /// The loads.
    pub loads: Vec<TargetLoad>,
}

/// Loads of all other boxes on some targets, in answer to a report.
#[derive(Debug, Clone, PartialEq)]
pub struct Others {
    /// Boxes of each known failure domain; empty where another message of the answer carries them.
    pub counts: Vec<DomainCount>,
    /// The loads.
    pub loads: Vec<TargetLoad>,
}

/// Datagrams between boxes.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// From a box to its collector.
    Report(ReportPage),
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
    /// From a box to its collector, and between collectors: rates of client accounts in contended services.
    AccountRates(AccountRates),
    /// From a collector to a box: the shares of client accounts.
    AccountShares(AccountShares),
}
