//! Encoding of the messages that boxes exchange in datagrams: one `prost` message in each.

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

/// Maximum length of a message in bytes; a datagram of this size is not fragmented on usual links.
pub const MESSAGE_MAX: usize = 1400;
/// Bytes reserved for the tags and lengths of the datagram and of the message within it, which take two to three each.
pub(crate) const FRAMING_BYTES: usize = 8;

/// Resolution in which the age of a queue report is encoded.
const QUEUE_AGE_STEP: Duration = Duration::from_millis(125);
/// Number of distinct encoded ages; older queue reports have expired.
const QUEUE_AGE_STEPS: u32 = 8;
/// Upper bound on the encoded queue length; queues of targets are a hundred times shorter.
const MAX_WAITING: u32 = 100_000;

/// Why a datagram could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadError {
    /// The bytes are not a valid message.
    Malformed(prost::DecodeError),
    /// The message is of a kind that this version does not know.
    Unknown,
    /// A suspect request within the message is invalid.
    Suspect(SuspectError),
}

impl std::fmt::Display for LoadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LoadError::Malformed(err) => write!(f, "malformed message: {err}"),
            LoadError::Suspect(err) => err.fmt(f),
            LoadError::Unknown => f.write_str("unknown message kind"),
        }
    }
}

/// Encodes a message. Loads that do not fit into the datagram are omitted.
pub fn encode(message: &Message) -> Bytes {
    let kind = match message {
        Message::Report(report) => Kind::Report(report_to_wire(report)),
        Message::Part(part) => Kind::Part(part_to_wire(part)),
        Message::Others(others) => Kind::Others(others_to_wire(others)),
        Message::Suspects(suspects) => Kind::Suspects(suspects::to_wire(suspects)),
        Message::Limits(limits) => Kind::Limits(limits::limits_to_wire(limits)),
        Message::PermitRequest(req) => Kind::PermitRequest(limits::request_to_wire(req)),
        Message::Grants(grants) => Kind::Grants(limits::grants_to_wire(grants)),
        Message::DemandPart(part) => Kind::DemandPart(limits::part_to_wire(part)),
        Message::AccountRates(rates) => Kind::AccountRates(shares::rates_to_wire(rates)),
        Message::AccountShares(shares) => Kind::AccountShares(shares::shares_to_wire(shares)),
        Message::Leave(run) => Kind::Leave(relay::LoadLeave { run: run.0 }),
    };
    relay::LoadMessage { kind: Some(kind) }
        .encode_to_vec()
        .into()
}

/// Encodes a message into as many datagrams as it needs. The loads that collectors exchange are independent of each other,
/// so each datagram is complete with a part of them; all other messages take one datagram.
pub fn datagrams(message: &Message) -> Vec<Bytes> {
    match message {
        Message::Part(part) => {
            let header = part_to_wire(&without_loads(part)).encoded_len();
            let chunks = chunks_that_fit(&part.loads, header).into_iter();
            let each = chunks.map(|loads| Part {
                loads: loads.to_vec(),
                ..without_loads(part)
            });
            each.map(|part| encode(&Message::Part(part))).collect()
        }
        Message::Others(others) => {
            let counts = counts_to_wire(&others.counts);
            let header = relay::LoadOthers {
                loads: Vec::new(),
                counts,
            };
            let chunks = chunks_that_fit(&others.loads, header.encoded_len()).into_iter();
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

/// Splits loads into chunks that fit into one datagram each, together with a message of `header` bytes; no loads yield one
/// empty chunk. A load that is too large for any datagram gets a chunk of its own, which the encoder omits.
fn chunks_that_fit(loads: &[TargetLoad], header: usize) -> Vec<&[TargetLoad]> {
    let mut chunks = Vec::new();
    let mut remaining = loads;
    while chunks.is_empty() || !remaining.is_empty() {
        let fitting = loads_that_fit(remaining, header).len().max(1);
        let (first, rest) = remaining.split_at(fitting.min(remaining.len()));
        chunks.push(first);
        remaining = rest;
    }
    chunks
}

/// Splits a report into pages that fit into one datagram each; an empty report has one page.
pub fn pages(report: &Report) -> Vec<ReportPage> {
    let page = |index, count, loads: &[TargetLoad]| ReportPage {
        run: report.run,
        number: report.number,
        index,
        count,
        loads: loads.to_vec(),
    };
    // Reserves space for the longest encodings of index and count.
    let header = report_to_wire(&page(u32::MAX, u32::MAX, &[])).encoded_len();
    let chunks = chunks_that_fit(&report.loads, header);
    let count = chunks.len() as u32;
    let numbered = (0..).zip(chunks);
    numbered
        .map(|(index, loads)| page(index, count, loads))
        .collect()
}

/// Decodes a message.
///
/// # Errors
/// [`LoadError`] if the bytes are malformed or of an unknown kind.
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
        Kind::Suspects(suspects) => suspects::from_wire(suspects)
            .map(Message::Suspects)
            .map_err(LoadError::Suspect),
        Kind::Limits(limits) => Ok(Message::Limits(limits::limits_from_wire(limits))),
        Kind::PermitRequest(req) => Ok(Message::PermitRequest(limits::request_from_wire(req))),
        Kind::Grants(grants) => Ok(Message::Grants(limits::grants_from_wire(grants))),
        Kind::DemandPart(part) => Ok(Message::DemandPart(limits::part_from_wire(part))),
        Kind::AccountRates(rates) => Ok(Message::AccountRates(shares::rates_from_wire(rates))),
        Kind::AccountShares(shares) => Ok(Message::AccountShares(shares::shares_from_wire(shares))),
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
    let to_wire = |count: &DomainCount| relay::DomainCount {
        domain: count.domain.clone(),
        boxes: count.boxes,
    };
    counts.iter().map(to_wire).collect()
}

fn counts_from_wire(counts: Vec<relay::DomainCount>) -> Vec<DomainCount> {
    let from_wire = |count: relay::DomainCount| DomainCount {
        domain: count.domain,
        boxes: count.boxes,
    };
    counts.into_iter().map(from_wire).collect()
}

/// Returns the leading loads that fit into a datagram, together with a message of `length` bytes.
fn loads_that_fit(loads: &[TargetLoad], length: usize) -> Vec<relay::TargetLoad> {
    let mut length = length + FRAMING_BYTES;
    let encoded = loads.iter().map(load_to_wire);
    let fits = |load: &relay::TargetLoad| {
        // The tag and the length of the field take two bytes.
        length += load.encoded_len() + 2;
        length <= MESSAGE_MAX
    };
    encoded.take_while(fits).collect()
}

fn load_to_wire(reported: &TargetLoad) -> relay::TargetLoad {
    let percent = |pace: f64| (pace * 100.0).round() as u32;
    relay::TargetLoad {
        target: reported.target.id.to_string(),
        run_mark: u32::from(reported.target.mark.0),
        running: reported.load.running,
        tokens: reported.load.tokens,
        pace_percent: reported.load.pace.map_or(0, percent),
        reading: reported.load.reading,
        silent: reported.load.silent,
        queue: reported.load.queue.map_or(0, queue_to_wire),
    }
}

/// Encodes a queue report as one number, since a message holds dozens of them.
fn queue_to_wire(queue: QueueReport) -> u32 {
    let age_steps = (queue.age.as_millis() / QUEUE_AGE_STEP.as_millis()) as u32;
    let waiting = queue.waiting.min(MAX_WAITING);
    1 + waiting * QUEUE_AGE_STEPS + age_steps.min(QUEUE_AGE_STEPS - 1)
}

fn queue_from_wire(number: u32) -> QueueReport {
    QueueReport {
        waiting: number / QUEUE_AGE_STEPS,
        age: QUEUE_AGE_STEP * (number % QUEUE_AGE_STEPS),
    }
}

/// Decodes the identity of a target's run.
pub(crate) fn target_run(id: String, mark: u32) -> TargetRun {
    TargetRun {
        id: id.into(),
        // An out-of-range mark belongs to no known run.
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
