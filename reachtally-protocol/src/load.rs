//! Loads that boxes tell each other: one `prost` message in a datagram.

use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use reachtally_core::forward::count::DomainCount;
use reachtally_core::forward::fleet::{RunMark, TargetRun};
use reachtally_core::forward::loads::{
    Load, Message, Others, Part, QueueReport, Report, ReportPage, TargetLoad,
};
use reachtally_core::ids::Incarnation;

use crate::generated::relay::{self, load_message::Kind};
use crate::limits;
use crate::shares;
use crate::suspects::{self, SuspectError};

/// Most bytes of a message; a datagram of this size is not split on usual links.
pub const MESSAGE_MAX: usize = 1400;
/// Bytes kept for the heads of the datagram and of the message within it, which take two to three each.
pub(crate) const HEADS: usize = 8;

/// Step in which the age of a stated queue is encoded.
const QUEUE_AGE_STEP: Duration = Duration::from_millis(125);
/// Number of such steps that are told apart; older queues have expired.
const QUEUE_AGES: u32 = 8;
/// Upper bound on the waiting requests of a queue; queues of targets are a hundred times shorter.
const MOST_WAITING: u32 = 100_000;

/// Why a datagram does not decode.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadError {
    /// It is no message of this kind.
    Malformed(prost::DecodeError),
    /// It holds nothing that this version knows.
    Unknown,
    /// It tells of a request in a way that names none.
    Suspect(SuspectError),
}

impl std::fmt::Display for LoadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LoadError::Malformed(err) => write!(f, "malformed: {err}"),
            LoadError::Suspect(err) => err.fmt(f),
            LoadError::Unknown => f.write_str("of a kind that is not known"),
        }
    }
}

/// Encode a message. Loads that do not fit are left out.
pub fn encode(message: &Message) -> Bytes {
    let kind = match message {
        Message::Report(report) => Kind::Report(report_to_wire(report)),
        Message::Part(part) => Kind::Part(part_to_wire(part)),
        Message::Others(others) => Kind::Others(others_to_wire(others)),
        Message::Suspects(told) => Kind::Suspects(suspects::to_wire(told)),
        Message::Limits(told) => Kind::Limits(limits::limits_to_wire(told)),
        Message::PermitRequest(req) => Kind::PermitRequest(limits::request_to_wire(req)),
        Message::Grants(grants) => Kind::Grants(limits::grants_to_wire(grants)),
        Message::DemandPart(part) => Kind::DemandPart(limits::part_to_wire(part)),
        Message::AccountRates(rates) => Kind::AccountRates(shares::rates_to_wire(rates)),
        Message::AccountShares(told) => Kind::AccountShares(shares::shares_to_wire(told)),
        Message::Leave(run) => Kind::Leave(relay::LoadLeave { run: run.0 }),
    };
    relay::LoadMessage { kind: Some(kind) }
        .encode_to_vec()
        .into()
}

/// Encodes a message in as many datagrams as it takes. Loads of collectors stand for themselves, so each datagram with some of
/// them is complete; other messages take one.
pub fn datagrams(message: &Message) -> Vec<Bytes> {
    match message {
        Message::Part(part) => {
            let head = part_to_wire(&without_loads(part)).encoded_len();
            let chunks = chunks_that_fit(&part.loads, head).into_iter();
            let each = chunks.map(|loads| Part {
                loads: loads.to_vec(),
                ..without_loads(part)
            });
            each.map(|part| encode(&Message::Part(part))).collect()
        }
        Message::Others(others) => {
            let counts = counts_to_wire(&others.counts);
            let head = relay::LoadOthers {
                loads: Vec::new(),
                counts,
            };
            let chunks = chunks_that_fit(&others.loads, head.encoded_len()).into_iter();
            let each = chunks.enumerate().map(|(number, loads)| Others {
                counts: match number {
                    0 => others.counts.clone(),
                    _ => Vec::new(),
                },
                loads: loads.to_vec(),
            });
            each.map(|others| encode(&Message::Others(others)))
                .collect()
        }
        _ => vec![encode(message)],
    }
}

fn without_loads(part: &Part) -> Part {
    Part {
        run: part.run,
        domain: part.domain.clone(),
        boxes: part.boxes,
        loads: Vec::new(),
    }
}

/// Splits loads so that each chunk fits beside a message of `head` bytes; no loads are one chunk. A load that fits no datagram by
/// itself is a chunk of its own, which the encoder leaves out.
fn chunks_that_fit(loads: &[TargetLoad], head: usize) -> Vec<&[TargetLoad]> {
    let mut chunks = Vec::new();
    let mut left = loads;
    while chunks.is_empty() || !left.is_empty() {
        let fitting = loads_that_fit(left, head).len().max(1);
        let (first, rest) = left.split_at(fitting.min(left.len()));
        chunks.push(first);
        left = rest;
    }
    chunks
}

/// Splits a report into pages that fit a datagram each; an empty report has one page.
pub fn pages(report: &Report) -> Vec<ReportPage> {
    let page = |index, count, loads: &[TargetLoad]| ReportPage {
        run: report.run,
        number: report.number,
        index,
        count,
        loads: loads.to_vec(),
    };
    // The pages fit with any index and count.
    let head = report_to_wire(&page(u32::MAX, u32::MAX, &[])).encoded_len();
    let chunks = chunks_that_fit(&report.loads, head);
    let count = chunks.len() as u32;
    let numbered = (0..).zip(chunks);
    numbered
        .map(|(index, loads)| page(index, count, loads))
        .collect()
}

/// Decode a message.
///
/// # Errors
/// What is wrong with it.
pub fn decode(bytes: &[u8]) -> Result<Message, LoadError> {
    let decoded = relay::LoadMessage::decode(bytes).map_err(LoadError::Malformed)?;
    match decoded.kind.ok_or(LoadError::Unknown)? {
        Kind::Report(report) => Ok(Message::Report(ReportPage {
            run: Incarnation(report.run),
            number: report.number,
            index: report.page,
            count: report.pages.max(1),
            loads: loads_from_wire(report.loads),
        })),
        Kind::Part(part) => Ok(Message::Part(Part {
            run: Incarnation(part.run),
            domain: part.domain,
            boxes: part.boxes,
            loads: loads_from_wire(part.loads),
        })),
        Kind::Leave(leave) => Ok(Message::Leave(Incarnation(leave.run))),
        Kind::Suspects(told) => suspects::from_wire(told)
            .map(Message::Suspects)
            .map_err(LoadError::Suspect),
        Kind::Limits(told) => Ok(Message::Limits(limits::limits_from_wire(told))),
        Kind::PermitRequest(req) => Ok(Message::PermitRequest(limits::request_from_wire(req))),
        Kind::Grants(grants) => Ok(Message::Grants(limits::grants_from_wire(grants))),
        Kind::DemandPart(part) => Ok(Message::DemandPart(limits::part_from_wire(part))),
        Kind::AccountRates(rates) => Ok(Message::AccountRates(shares::rates_from_wire(rates))),
        Kind::AccountShares(told) => Ok(Message::AccountShares(shares::shares_from_wire(told))),
        Kind::Others(others) => Ok(Message::Others(Others {
            counts: counts_from_wire(others.counts),
            loads: loads_from_wire(others.loads),
        })),
    }
}

fn report_to_wire(report: &ReportPage) -> relay::LoadReport {
    let mut message = relay::LoadReport {
        run: report.run.0,
        number: report.number,
        page: report.index,
        pages: report.count,
        loads: Vec::new(),
    };
    message.loads = loads_that_fit(&report.loads, message.encoded_len());
    message
}

fn part_to_wire(part: &Part) -> relay::LoadPart {
    let mut message = relay::LoadPart {
        run: part.run.0,
        domain: part.domain.clone(),
        boxes: part.boxes,
        loads: Vec::new(),
    };
    message.loads = loads_that_fit(&part.loads, message.encoded_len());
    message
}

fn others_to_wire(others: &Others) -> relay::LoadOthers {
    let mut message = relay::LoadOthers {
        loads: Vec::new(),
        counts: counts_to_wire(&others.counts),
    };
    message.loads = loads_that_fit(&others.loads, message.encoded_len());
    message
}

fn counts_to_wire(counts: &[DomainCount]) -> Vec<relay::DomainCount> {
    let count = |told: &DomainCount| relay::DomainCount {
        domain: told.domain.clone(),
        boxes: told.boxes,
    };
    counts.iter().map(count).collect()
}

fn counts_from_wire(counts: Vec<relay::DomainCount>) -> Vec<DomainCount> {
    let count = |told: relay::DomainCount| DomainCount {
        domain: told.domain,
        boxes: told.boxes,
    };
    counts.into_iter().map(count).collect()
}

/// Loads that fit beside a message of `length` bytes.
fn loads_that_fit(loads: &[TargetLoad], length: usize) -> Vec<relay::TargetLoad> {
    let mut length = length + HEADS;
    let encoded = loads.iter().map(load_to_wire);
    let fits = |load: &relay::TargetLoad| {
        // The field's own head takes two bytes.
        length += load.encoded_len() + 2;
        length <= MESSAGE_MAX
    };
    encoded.take_while(fits).collect()
}

fn load_to_wire(told: &TargetLoad) -> relay::TargetLoad {
    let percent = |pace: f64| (pace * 100.0).round() as u32;
    relay::TargetLoad {
        target: told.target.id.to_string(),
        run_mark: u32::from(told.target.mark.0),
        running: told.load.running,
        tokens: told.load.tokens,
        pace_percent: told.load.pace.map_or(0, percent),
        reading: told.load.reading,
        silent: told.load.silent,
        queue: told.load.queue.map_or(0, queue_to_wire),
    }
}

/// Encodes a queue in one number, since a message holds dozens of them.
fn queue_to_wire(queue: QueueReport) -> u32 {
    let eighths = (queue.age.as_millis() / QUEUE_AGE_STEP.as_millis()) as u32;
    let waiting = queue.waiting.min(MOST_WAITING);
    1 + waiting * QUEUE_AGES + eighths.min(QUEUE_AGES - 1)
}

fn queue_from_wire(number: u32) -> QueueReport {
    QueueReport {
        waiting: number / QUEUE_AGES,
        age: QUEUE_AGE_STEP * (number % QUEUE_AGES),
    }
}

/// Decodes the run of a target.
pub(crate) fn target_run(id: String, mark: u32) -> TargetRun {
    TargetRun {
        id: id.into(),
        // A mark of more than it may have is of no run that is known.
        mark: RunMark(u16::try_from(mark).unwrap_or(u16::MAX)),
    }
}

fn loads_from_wire(loads: Vec<relay::TargetLoad>) -> Vec<TargetLoad> {
    let load = |load: relay::TargetLoad| TargetLoad {
        target: target_run(load.target, load.run_mark),
        load: Load {
            running: load.running,
            tokens: load.tokens,
            reading: load.reading,
            pace: (load.pace_percent > 0).then(|| f64::from(load.pace_percent) / 100.0),
            silent: load.silent,
            queue: load.queue.checked_sub(1).map(queue_from_wire),
        },
    };
    loads.into_iter().map(load).collect()
}
