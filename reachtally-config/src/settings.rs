//! The settings of one daemon.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use reachtally_core::Limits;

use crate::finding::Findings;
use crate::keys;
use crate::reader::{Node, Reader};

/// The role of an operator. Each role includes the permissions of the ones before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// May run queries.
    Read,
    /// May also load, drain, promote and stop.
    Operate,
    /// May also declare objects and force operations.
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

/// An operator and the hash of their key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    /// Name shown in the audit trail.
    pub name: String,
    /// The operator's role.
    pub role: Role,
    /// SHA-256 of the key in lower-case hex.
    pub hash: String,
}

/// The settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the daemon's box.
    pub box_name: String,
    /// Failure domain of the daemon's box.
    pub domain: String,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address on which operators connect.
    pub operators: SocketAddr,
    /// Address on which other daemons of the failure domain connect. Without it the daemon does not take part
    /// in membership and never becomes the steward.
    pub peer: Option<SocketAddr>,
    /// Base URL of the platform's log.
    pub log: String,
    /// Base URL of the platform's live list.
    pub list: String,
    /// Address to which metrics are sent as StatsD over UDP; none are sent if it is not set.
    pub statsd: Option<SocketAddr>,
    /// The operators and their keys.
    pub operator_keys: Vec<Operator>,
    /// Maximum size of a caller's request body, in bytes.
    pub body_bytes: u64,
    /// Memory for the bodies of all callers' requests, in bytes.
    pub body_memory_bytes: u64,
    /// Maximum duration of a caller's request.
    pub request_timeout: Duration,
    /// How long the daemon reports `false` for readiness before it refuses new work on shutdown, so that the
    /// load balancer notices.
    pub stop_notice: Duration,
    /// Limits of the core.
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

const LIMIT_FIELDS: [&str; 15] = [
    "body_bytes",
    "body_memory_mib",
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
/// Default of `limits.body_memory_mib`, in bytes.
pub const BODY_MEMORY_BYTES: u64 = 64 << 20;
/// Default of `limits.patience_s`.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(120);
/// Default of `limits.stop_notice_ms`.
pub const STOP_NOTICE: Duration = Duration::from_millis(1000);

const ADDRESS_HELP: &str = "give IP:PORT";

/// Parses the settings in `text`, the content of `file`.
///
/// # Errors
/// All findings with their positions.
pub fn parse(file: &str, text: &str) -> Result<Settings, Findings> {
    let mut reader = Reader::new(file);
    let Some(document) = reader.parse_document(text) else {
        return reader.into_result(None);
    };
    let settings = read(&mut reader, &Node::root(&document));
    reader.into_result(settings)
}

fn read(reader: &mut Reader<'_>, root: &Node<'_, '_>) -> Option<Settings> {
    if !reader.check_fields(root, &FIELDS) {
        return None;
    }
    let box_name = read_text(reader, root, "box");
    let domain = read_text(reader, root, "domain");
    let callers = read_address(reader, root, "callers", CALLERS);
    let operators = read_address(reader, root, "operators", OPERATORS);
    let log = read_url(reader, root, "log");
    let list = read_url(reader, root, "list");
    let statsd = root
        .get("statsd")
        .and_then(|node| reader.parse(&node, ADDRESS_HELP));
    let peer = root
        .get("peer")
        .and_then(|node| reader.parse(&node, ADDRESS_HELP));
    let operator_keys = root
        .get("operator_keys")
        .map(|node| read_operators(reader, &node))
        .unwrap_or_default();
    let bounds = read_bounds(reader, root);
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
        body_memory_bytes: bounds.body_memory_bytes,
        request_timeout: bounds.request_timeout,
        stop_notice: bounds.stop_notice,
        limits: bounds.limits,
    })
}

/// The values of the field `limits`.
struct Bounds {
    body_bytes: u64,
    body_memory_bytes: u64,
    request_timeout: Duration,
    stop_notice: Duration,
    limits: Limits,
}

fn read_text(reader: &mut Reader<'_>, root: &Node<'_, '_>, name: &str) -> Option<String> {
    let node = reader.required(root, name)?;
    reader.text(&node)
}

/// Reads a socket address, or returns `default` if the field is missing.
fn read_address(
    reader: &mut Reader<'_>,
    root: &Node<'_, '_>,
    name: &str,
    default: SocketAddr,
) -> Option<SocketAddr> {
    match root.get(name) {
        Some(node) => reader.parse(&node, ADDRESS_HELP),
        None => Some(default),
    }
}

fn read_url(reader: &mut Reader<'_>, root: &Node<'_, '_>, name: &str) -> Option<String> {
    let node = reader.required(root, name)?;
    reader.url(&node)
}

fn read_operators(reader: &mut Reader<'_>, node: &Node<'_, '_>) -> Vec<Operator> {
    let items = reader.sequence(node);
    items
        .iter()
        .filter_map(|item| read_operator(reader, item))
        .collect()
}

fn read_operator(reader: &mut Reader<'_>, node: &Node<'_, '_>) -> Option<Operator> {
    if !reader.check_fields(node, &["name", "role", "hash"]) {
        return None;
    }
    let name = read_text(reader, node, "name");
    let role = reader
        .required(node, "role")
        .and_then(|node| reader.parse(&node, "give read, operate or admin"));
    let hash = reader
        .required(node, "hash")
        .and_then(|node| read_key_hash(reader, &node));
    Some(Operator {
        name: name?,
        role: role?,
        hash: hash?,
    })
}

/// Reads the hash of a key.
pub(crate) fn read_key_hash(reader: &mut Reader<'_>, node: &Node<'_, '_>) -> Option<String> {
    let text = reader.text(node)?;
    if keys::is_hash(&text) {
        return Some(text);
    }
    let help = "give the key's SHA-256 as 64 lower-case hex digits (reachtally hash-key)";
    reader.report(node, "not the hash of a key", help);
    None
}

fn read_bounds(reader: &mut Reader<'_>, root: &Node<'_, '_>) -> Bounds {
    let mut bounds = Bounds {
        body_bytes: BODY_BYTES,
        body_memory_bytes: BODY_MEMORY_BYTES,
        request_timeout: REQUEST_TIMEOUT,
        stop_notice: STOP_NOTICE,
        limits: Limits::default(),
    };
    if let Some(node) = root.get("limits")
        && reader.check_fields(&node, &LIMIT_FIELDS)
    {
        read_limits(reader, &node, &mut bounds);
    }
    bounds
}

fn read_limits(reader: &mut Reader<'_>, node: &Node<'_, '_>, bounds: &mut Bounds) {
    let mut number = |name: &str, min: u64, max: u64| -> Option<u64> {
        let field = node.get(name)?;
        reader.number(&field, min, max)
    };
    let limits = &mut bounds.limits;
    if let Some(bytes) = number("body_bytes", 1, 64 << 20) {
        bounds.body_bytes = bytes;
    }
    if let Some(mib) = number("body_memory_mib", 1, 1 << 16) {
        bounds.body_memory_bytes = mib << 20;
    }
    if let Some(seconds) = number("patience_s", 1, 3600) {
        bounds.request_timeout = Duration::from_secs(seconds);
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
