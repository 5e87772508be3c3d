//! The settings of one daemon.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use reachtally_core::Limits;

use crate::finding::Findings;
use crate::keys;
use crate::reader::{At, Reader};

/// What an operator may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Ask what is running.
    Read,
    /// Also load, drain, promote and stop.
    Operate,
    /// Also declare objects and force.
    Admin,
}

impl std::str::FromStr for Role {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "read" => Ok(Role::Read),
            "operate" => Ok(Role::Operate),
            "admin" => Ok(Role::Admin),
            _ => Err(()),
        }
    }
}

/// An operator with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    /// The name the audit trail shows.
    pub name: String,
    /// What the operator may do.
    pub role: Role,
    /// SHA-256 of the key, lower-case hex.
    pub hash: String,
}

/// The settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The name of its box.
    pub box_name: String,
    /// The failure domain of its box.
    pub domain: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where other daemons of the failure domain connect; without it the daemon takes no part in
    /// membership and never becomes the steward.
    pub peer: Option<SocketAddr>,
    /// Base address of the platform's log.
    pub log: String,
    /// Base address of the platform's live list.
    pub list: String,
    /// Where metrics go, as StatsD over UDP; nowhere if not set.
    pub statsd: Option<SocketAddr>,
    /// The operators.
    pub operator_keys: Vec<Operator>,
    /// The longest body of a caller's request, in bytes.
    pub body_bytes: u64,
    /// How long a caller's request may take.
    pub patience: Duration,
    /// How long a stop waits in readiness `false` before it refuses new work, so that the balancer
    /// sees it.
    pub stop_notice: Duration,
    /// Bounds of the core.
    pub limits: Limits,
}

const FIELDS: [&str; 10] = [
    "box",
    "domain",
    "callers",
    "operators",
    "peer",
    "log",
    "list",
    "statsd",
    "operator_keys",
    "limits",
];

const LIMIT_FIELDS: [&str; 14] = [
    "body_bytes",
    "patience_s",
    "stop_notice_ms",
    "replay_mib",
    "caller_window",
    "calls_per_engine",
    "span_calls_per_engine",
    "steps_per_call",
    "append_interval_ms",
    "claim_window_s",
    "replacement_wait_ms",
    "standby_positions",
    "kv_bytes",
    "link_mbytes_s",
];

/// Default of `callers`.
pub const CALLERS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7070);
/// Default of `operators`.
pub const OPERATORS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7071);
/// Default of `limits.body_bytes`.
pub const BODY_BYTES: u64 = 1 << 20;
/// Default of `limits.patience_s`.
pub const PATIENCE: Duration = Duration::from_secs(120);
/// Default of `limits.stop_notice_ms`.
pub const STOP_NOTICE: Duration = Duration::from_millis(1000);

const ADDRESS_MEND: &str = "give IP:PORT";

/// Read settings from `text`, the content of `file`.
///
/// # Errors
/// All findings with their places.
pub fn parse(file: &str, text: &str) -> Result<Settings, Findings> {
    let mut reader = Reader::new(file);
    let Some(document) = reader.load(text) else {
        return reader.finish(None);
    };
    let settings = read(&mut reader, &At::top(&document));
    reader.finish(settings)
}

fn read(reader: &mut Reader<'_>, top: &At<'_, '_>) -> Option<Settings> {
    if !reader.fields(top, &FIELDS) {
        return None;
    }
    let box_name = required_text(reader, top, "box");
    let domain = required_text(reader, top, "domain");
    let callers = address(reader, top, "callers", CALLERS);
    let operators = address(reader, top, "operators", OPERATORS);
    let log = required_url(reader, top, "log");
    let list = required_url(reader, top, "list");
    let statsd = top
        .get("statsd")
        .and_then(|at| reader.parsed(&at, ADDRESS_MEND));
    let peer = top
        .get("peer")
        .and_then(|at| reader.parsed(&at, ADDRESS_MEND));
    let operator_keys = top
        .get("operator_keys")
        .map(|at| read_operators(reader, &at))
        .unwrap_or_default();
    let bounds = read_bounds(reader, top);
    Some(Settings {
        box_name: box_name?,
        domain: domain?,
        callers: callers?,
        operators: operators?,
        peer,
        log: log?,
        list: list?,
        statsd,
        operator_keys,
        body_bytes: bounds.body_bytes,
        patience: bounds.patience,
        stop_notice: bounds.stop_notice,
        limits: bounds.limits,
    })
}

/// What the field `limits` holds.
struct Bounds {
    body_bytes: u64,
    patience: Duration,
    stop_notice: Duration,
    limits: Limits,
}

fn required_text(reader: &mut Reader<'_>, top: &At<'_, '_>, name: &str) -> Option<String> {
    let at = reader.required(top, name)?;
    reader.text(&at)
}

/// An address, or `default` where none is given.
fn address(
    reader: &mut Reader<'_>,
    top: &At<'_, '_>,
    name: &str,
    default: SocketAddr,
) -> Option<SocketAddr> {
    match top.get(name) {
        Some(at) => reader.parsed(&at, ADDRESS_MEND),
        None => Some(default),
    }
}

fn required_url(reader: &mut Reader<'_>, top: &At<'_, '_>, name: &str) -> Option<String> {
    let at = reader.required(top, name)?;
    reader.url(&at)
}

fn read_operators(reader: &mut Reader<'_>, at: &At<'_, '_>) -> Vec<Operator> {
    let items = reader.items(at);
    items
        .iter()
        .filter_map(|item| read_operator(reader, item))
        .collect()
}

fn read_operator(reader: &mut Reader<'_>, at: &At<'_, '_>) -> Option<Operator> {
    if !reader.fields(at, &["name", "role", "hash"]) {
        return None;
    }
    let name = required_text(reader, at, "name");
    let role = reader
        .required(at, "role")
        .and_then(|at| reader.parsed(&at, "give read, operate or admin"));
    let hash = reader
        .required(at, "hash")
        .and_then(|at| key_hash(reader, &at));
    Some(Operator {
        name: name?,
        role: role?,
        hash: hash?,
    })
}

/// The hash of a key.
pub(crate) fn key_hash(reader: &mut Reader<'_>, at: &At<'_, '_>) -> Option<String> {
    let text = reader.text(at)?;
    if keys::is_hash(&text) {
        return Some(text);
    }
    let mend = "give the key's SHA-256 as 64 lower-case hex digits (reachtally hash-key)";
    reader.report(at, "not the hash of a key", mend);
    None
}

fn read_bounds(reader: &mut Reader<'_>, top: &At<'_, '_>) -> Bounds {
    let mut bounds = Bounds {
        body_bytes: BODY_BYTES,
        patience: PATIENCE,
        stop_notice: STOP_NOTICE,
        limits: Limits::default(),
    };
    if let Some(at) = top.get("limits")
        && reader.fields(&at, &LIMIT_FIELDS)
    {
        read_limits(reader, &at, &mut bounds);
    }
    bounds
}

fn read_limits(reader: &mut Reader<'_>, at: &At<'_, '_>, bounds: &mut Bounds) {
    let mut number = |name: &str, least: u64, most: u64| -> Option<u64> {
        let field = at.get(name)?;
        reader.number(&field, least, most)
    };
    let limits = &mut bounds.limits;
    if let Some(bytes) = number("body_bytes", 1, 64 << 20) {
        bounds.body_bytes = bytes;
    }
    if let Some(seconds) = number("patience_s", 1, 3600) {
        bounds.patience = Duration::from_secs(seconds);
    }
    if let Some(ms) = number("stop_notice_ms", 0, 60_000) {
        bounds.stop_notice = Duration::from_millis(ms);
    }
    if let Some(mib) = number("replay_mib", 0, 1 << 16) {
        limits.replay_bytes = (mib as usize) << 20;
    }
    if let Some(tokens) = number("caller_window", 1, 1 << 16) {
        limits.caller_window = tokens as u32;
    }
    if let Some(calls) = number("calls_per_engine", 1, 1024) {
        limits.calls_per_engine = calls as u32;
    }
    if let Some(calls) = number("span_calls_per_engine", 1, 1024) {
        limits.span_calls_per_engine = calls as u32;
    }
    if let Some(steps) = number("steps_per_call", 1, 1 << 16) {
        limits.steps_per_call = steps as usize;
    }
    if let Some(ms) = number("append_interval_ms", 1, 10_000) {
        limits.append_interval = Duration::from_millis(ms);
    }
    if let Some(seconds) = number("claim_window_s", 1, 7 * 86_400) {
        limits.claim_window = Duration::from_secs(seconds);
    }
    if let Some(ms) = number("replacement_wait_ms", 0, 600_000) {
        limits.replacement_wait = Duration::from_millis(ms);
    }
    if let Some(bytes) = number("kv_bytes", 1, 1 << 24) {
        limits.kv_bytes = bytes as u32;
    }
    if let Some(mbytes) = number("link_mbytes_s", 1, 1 << 20) {
        limits.link_rate = mbytes as f64 * 1e6;
    }
    if let Some(positions) = number("standby_positions", 0, 1 << 16) {
        limits.standby_positions = positions as u32;
    }
}
