//! Fleet-wide loads of the targets.
//!
//! Each box reports its loads to one box of its failure domain, the collector. Collectors exchange
//! the sums of their reports and answer each report with the loads of all other boxes. The traffic
//! of a box therefore does not grow with the number of boxes, and every box knows every request in
//! the fleet after two reports.
//!
//! Messages carry absolute values, so that lost, delayed or duplicated ones do no harm; loads
//! expire unless they are received again. A box that changes its collector sends [`Message::Leave`]
//! to the previous one, which would otherwise count it until its report expires.

use std::time::Duration;

use crate::forward::count::DomainCount;
use crate::forward::fleet::{QUEUE_TTL, RunMark, TargetRun};
use crate::forward::limit::{DemandPart, Grants, LimitReport, PermitRequest};
use crate::forward::quarantine::SuspectReport;
use crate::forward::shares::{AccountRates, AccountShares};
use crate::ids::Incarnation;

mod collector;
mod pages;
mod received;
mod remote;

pub use collector::Collector;
pub use pages::ReportAssembler;
pub use remote::{RemoteLoads, own_report};

/// Time after which a report expires. Several reports in a row are lost only if the sender or its
/// links fail.
pub const REPORT_TTL: Duration = Duration::from_millis(1500);
/// Targets per message. With names of a dozen bytes and the box counts of 13 failure domains, the
/// message fits a datagram that is not fragmented. With fewer, a large fleet needs more messages
/// and is known later.
pub const TARGETS_PER_MESSAGE: usize = 38;
/// Targets per message if their runs report start times: a mark takes three bytes.
pub const MARKED_TARGETS_PER_MESSAGE: usize = 35;
/// Upper bound on the running requests that one sender can report per target; rejects corrupt
/// reports.
const MAX_RUNNING: u32 = 100_000;
/// Upper bound on the tokens that one sender can report per target; rejects corrupt reports.
const MAX_TOKENS: u32 = 100_000_000;

/// Load of a target caused by one or more boxes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Running requests that the target takes part in.
    pub running: u32,
    /// KV tokens that these requests hold on average while they run.
    pub tokens: u32,
    /// Prompt tokens that wait to be prefilled there.
    pub reading: u32,
    /// The slowdown factor of the target, if a box asked it recently.
    pub pace: Option<f64>,
    /// Number of boxes to which it accepts no connections.
    pub silent: u32,
    /// The most recent queue length that it stated.
    pub queue: Option<QueueReport>,
}

/// The queue length that a target stated to some box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueReport {
    /// Number of queued requests.
    pub waiting: u32,
    /// Time since the answer was received.
    pub age: Duration,
}

impl Load {
    pub(super) fn is_zero(&self) -> bool {
        *self == Load::default()
    }

    /// Clamps the values to their upper bounds.
    pub(super) fn bounded(self) -> Self {
        Load {
            running: self.running.min(MAX_RUNNING),
            tokens: self.tokens.min(MAX_TOKENS),
            reading: self.reading.min(MAX_TOKENS),
            pace: self.pace.filter(|pace| pace.is_finite()),
            silent: self.silent.min(MAX_RUNNING),
            queue: self.queue.filter(|queue| queue.age < QUEUE_TTL),
        }
    }

    /// Returns the load as it will be after `passed`.
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
        let slowdowns = self.pace.into_iter().chain(other.pace);
        self.pace = slowdowns.max_by(f64::total_cmp);
        self.silent = self.silent.saturating_add(other.silent);
        let stated = self.queue.into_iter().chain(other.queue);
        self.queue = stated.min_by_key(|queue| queue.age);
    }

    /// Subtracts the contribution of some boxes. The slowdown factor and the queue remain, because
    /// they describe the target itself.
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
    /// Its load.
    pub load: Load,
}

/// The loads of a box, for its collector.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The run of the box.
    pub run: Incarnation,
    /// Sequence number; a delayed report is not mistaken for the newest one.
    pub number: u64,
    /// The targets with a load.
    pub loads: Vec<TargetLoad>,
}

/// A part of a report that fits a datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct ReportPage {
    /// The run of the box.
    pub run: Incarnation,
    /// Sequence number of the report.
    pub number: u64,
    /// Index among the pages of the report, from 0.
    pub index: u32,
    /// Number of pages of the report, at least 1.
    pub count: u32,
    /// Some of the targets with a load.
    pub loads: Vec<TargetLoad>,
}

/// Returns the number of targets that fit a message: fewer if their runs report start times.
fn targets_in_message(loads: &[TargetLoad]) -> usize {
    let is_marked = |reported: &TargetLoad| reported.target.mark != RunMark::default();
    match loads.iter().any(is_marked) {
        true => MARKED_TARGETS_PER_MESSAGE,
        false => TARGETS_PER_MESSAGE,
    }
}

/// Sums of the reports to one collector for some targets, for other collectors.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// The run of the collector.
    pub run: Incarnation,
    /// The failure domain of the collector.
    pub domain: String,
    /// Number of boxes that report to it.
    pub boxes: u32,
    /// The sums.
    pub loads: Vec<TargetLoad>,
}

/// Loads of all other boxes on some targets, in answer to a report.
#[derive(Debug, Clone, PartialEq)]
pub struct Others {
    /// Number of boxes in each known failure domain; empty if another message of the same answer
    /// carries them.
    pub counts: Vec<DomainCount>,
    /// The loads.
    pub loads: Vec<TargetLoad>,
}

/// Datagrams between boxes.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// From a box to its collector.
    Report(ReportPage),
    /// From one collector to another.
    Part(Part),
    /// From a collector to a box.
    Others(Others),
    /// From a box to its previous collector, which must no longer count it.
    Leave(Incarnation),
    /// Between a box and its collector, and between collectors: requests under which targets
    /// crashed.
    Suspects(Vec<SuspectReport>),
    /// Between a box and its collector, and between collectors: rate limits of targets.
    Limits(Vec<LimitReport>),
    /// From a box to its collector: requests permits for targets with a rate limit.
    PermitRequest(PermitRequest),
    /// From a collector to a box: permits.
    Grants(Grants),
    /// From one collector to another: the demand that determines their shares of the limits.
    DemandPart(DemandPart),
    /// From a box to its collector, and between collectors: request rates of client accounts in
    /// contended services.
    AccountRates(AccountRates),
    /// From a collector to a box: the shares of client accounts.
    AccountShares(AccountShares),
}
