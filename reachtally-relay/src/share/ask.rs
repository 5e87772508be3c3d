//! Update requests to other boxes.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use reachtally_core::Instant;
use reachtally_core::forward::changes::Cursor;
use reachtally_core::forward::fleet::{Entry, EntrySource};
use reachtally_core::forward::readers::{GroupView, ReadSource};
use reachtally_core::forward::turns::turn;
use reachtally_core::ids::Incarnation;
use reachtally_protocol::news::{TargetPage, Update, UpdateRequest, frames};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use crate::relay::Relay;
use crate::share::overdue::{is_overdue, read_when_overdue};
use crate::share::{ANSWER_TIMEOUT_MARGIN, LONG_POLL_TIMEOUT, Link, REQUEST_INTERVAL, is_fresh};
use crate::startup::Milestone;
use crate::target;

/// Time after the start during which a source may lack a configuration, since boxes may start before the first one is published.
pub(super) const FIRST_CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after the start during which a source that confirms its configuration may lack targets. It reaches the store, and reads the list.
const FIRST_TARGETS_TIMEOUT: Duration = Duration::from_secs(8);
/// The same as [`FIRST_CONFIGURATION_TIMEOUT`] for a seed while the group is unknown. It is shorter, since the seed may be cut off from the store.
const SEED_CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(2);
/// The same as [`FIRST_CONFIGURATION_TIMEOUT`] for a box that is designated to read the store. Few are, so they may read it beside a source that only takes long.
const READER_CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Cooldown of a failed source; longer than the group needs to detect that a box is gone.
const SOURCE_COOLDOWN: Duration = Duration::from_secs(5);
/// Cooldown of a source during an outage of the store, and of a stale one while this box reads the store itself: it may become usable
/// again soon, which ends these reads.
const OUTAGE_COOLDOWN: Duration = Duration::from_millis(500);
/// Cooldown of a source shortly after the start of this box, when other boxes may be starting too.
const STARTUP_COOLDOWN: Duration = Duration::from_millis(100);
/// Cooldown of a stale source while this box does not read the store: the time it takes to try half a dozen other sources.
const STALE_COOLDOWN: Duration = Duration::from_secs(2);
/// Interval at which a source is searched for while there is none.
const NO_SOURCE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a source is searched for while this box reads the store itself.
const DIRECT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time at the start to wait for the group membership, which lists the possible sources. It is known after one call to the
/// store, or not at all during an outage of the store.
const GROUP_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which the group membership is checked meanwhile. A call to the store takes a few milliseconds.
const GROUP_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Window of the turns at the start in which boxes read the group membership if no seed has accepted a connection yet. Seeds may be
/// starting at the same time, or be gone.
const SEED_TURNS: Duration = Duration::from_millis(500);
/// Interval between connection attempts to a seed meanwhile.
const SEED_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Time that a box waits before it reads the complete list of targets from the store while another reader of its failure domain may be
/// reading it.
const READER_LIST_DELAY: Duration = Duration::from_secs(1);
/// Window of the turns, after that delay, in which boxes that are no store readers read the list.
const LIST_TURNS: Duration = Duration::from_secs(2);

/// A box from which updates are requested.
struct Source {
    ip: IpAddr,
    link: Link,
    targets: Cursor,
}

/// Why a box can't be used as a source.
enum SourceError {
    /// The box did not answer, or its answer was invalid.
    Silent(String),
    /// The box answered, but its state is not fresh enough.
    Stale(String),
}

impl std::fmt::Display for SourceError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SourceError::Silent(why) | SourceError::Stale(why) => f.write_str(why),
        }
    }
}

/// A failed source that is not used for a time.
struct Cooldown {
    ip: IpAddr,
    is_stale: bool,
    until: Instant,
}

/// Requests updates from other boxes, or lets this box read the store itself, for the lifetime of the process.
pub async fn ask(relay: Rc<Relay>, port: u16, run: Incarnation) {
    tokio::join!(
        follow_sources(&relay, port, run),
        read_when_overdue(&relay, run)
    );
}

/// Selects a source of updates and requests them from it, again and again.
async fn follow_sources(relay: &Relay, port: u16, run: Incarnation) {
    let mut cooldowns: Vec<Cooldown> = Vec::new();
    let mut is_repeated = false;
    wait_for_group(relay).await;
    let mut source = first_seed(relay, port, run).await;
    let first_seed = source.as_ref().map(|source| source.ip);
    loop {
        if is_fresh(relay) {
            drop_expired(relay, &mut cooldowns);
        }
        let origin = origin(relay, run, &cooldowns, first_seed);
        if !matches!(origin, ReadSource::Box(_)) {
            // Without a current source, a failed one is asked again only after all others.
            drop_expired(relay, &mut cooldowns);
        }
        let ip = match origin {
            ReadSource::Box(ip) => ip,
            ReadSource::Store if relay.is_designated.get() => {
                relay.set_direct(true);
                source = None;
                sleep(DIRECT_INTERVAL).await;
                continue;
            }
            ReadSource::Store | ReadSource::Unavailable => {
                relay.set_direct(is_overdue(relay, run));
                sleep(NO_SOURCE_INTERVAL).await;
                continue;
            }
        };
        let reused = source.take().filter(|source| source.ip == ip);
        match poll_source(relay, reused, SocketAddr::new(ip, port)).await {
            Ok(answered) => {
                relay.set_direct(is_overdue(relay, run));
                source = Some(answered);
                is_repeated = false;
                sleep(REQUEST_INTERVAL).await;
            }
            Err(why) => {
                log_lost(ip, &why, is_repeated);
                is_repeated = true;
                cooldowns.push(cooldown(relay, ip, &why));
                relay.want_members();
            }
        }
    }
}

/// Waits for the group membership unless seeds are configured.
async fn wait_for_group(relay: &Relay) {
    let started_at = relay.now();
    let has_no_seeds = relay.settings.borrow().seeds.is_empty();
    while has_no_seeds
        && relay.members.borrow().is_empty()
        && relay.now().since(started_at) < GROUP_TIMEOUT
    {
        sleep(GROUP_POLL_INTERVAL).await;
    }
}

/// Connects a box that has just started to the first seed that accepts. If none does until the turn of this box, it reads the group
/// membership, which lists other sources.
async fn first_seed(relay: &Relay, port: u16, run: Incarnation) -> Option<Source> {
    let (ip, seeds) = {
        let settings = relay.settings.borrow();
        (settings.ip, settings.seeds.clone())
    };
    if seeds.is_empty() || seeds.contains(&ip) {
        return None;
    }
    let connections = seeds
        .into_iter()
        .map(|seed| Box::pin(wait_for_connection(SocketAddr::new(seed, port))));
    let connected = futures::future::select_all(connections);
    match timeout(turn(run, SEED_TURNS), connected).await {
        Ok((first, ..)) => Some(first),
        Err(_) => {
            relay.want_members();
            None
        }
    }
}

/// Retries until a box accepts a connection.
async fn wait_for_connection(address: SocketAddr) -> Source {
    loop {
        match open(address).await {
            Ok(source) => return source,
            Err(_) => sleep(SEED_RETRY_INTERVAL).await,
        }
    }
}

/// Removes expired cooldowns.
fn drop_expired(relay: &Relay, cooldowns: &mut Vec<Cooldown>) {
    let now = relay.now();
    cooldowns.retain(|cooldown| now < cooldown.until);
}

/// Returns the cooldown of a failed source. It is short during an outage of the store and while this box is young: a stale source
/// is the first to notice the recovery of the store and requests to it cost no store call, and other boxes may be starting too.
fn cooldown(relay: &Relay, ip: IpAddr, why: &SourceError) -> Cooldown {
    let is_stale = matches!(why, SourceError::Stale(_));
    let duration = if has_just_started(relay) {
        STARTUP_COOLDOWN
    } else if relay.is_store_unreachable.get() || (is_stale && relay.is_direct()) {
        OUTAGE_COOLDOWN
    } else if is_stale {
        STALE_COOLDOWN
    } else {
        SOURCE_COOLDOWN
    };
    Cooldown {
        ip,
        is_stale,
        until: relay.now() + duration,
    }
}

fn has_just_started(relay: &Relay) -> bool {
    relay.now().elapsed() < SEED_CONFIGURATION_TIMEOUT
}

/// Returns where to get updates from, with `first_seed` preferred to other seeds. Also records whether this box is the first
/// store reader of its failure domain.
fn origin(
    relay: &Relay,
    run: Incarnation,
    cooldowns: &[Cooldown],
    first_seed: Option<IpAddr>,
) -> ReadSource {
    let settings = relay.settings.borrow();
    let mut seeds = settings.seeds.clone();
    seeds.sort_by_key(|seed| Some(*seed) != first_seed);
    let members = relay.members.borrow();
    let (stale, silent): (Vec<&Cooldown>, Vec<&Cooldown>) =
        cooldowns.iter().partition(|cooldown| cooldown.is_stale);
    let ips = |cooldowns: Vec<&Cooldown>| -> Vec<IpAddr> {
        cooldowns.into_iter().map(|cooldown| cooldown.ip).collect()
    };
    let (stale, silent) = (ips(stale), ips(silent));
    let mut contacts = Vec::new();
    if relay.is_store_unreachable.get() {
        contacts.extend_from_slice(&relay.requesters.borrow());
        contacts.extend_from_slice(&seeds);
    }
    let view = GroupView {
        members: &members,
        home: &settings.domain,
        run,
        ip: settings.ip,
        seeds: &seeds,
        avoid: &silent,
        stale: &stale,
        contacts: &contacts,
        has_just_started: has_just_started(relay),
        is_store_current: is_fresh(relay) || is_starting(relay),
    };
    relay.is_reader.set(view.is_first());
    let is_seed = seeds.contains(&settings.ip);
    let is_designated = is_seed || view.is_reader();
    relay.is_designated.set(is_designated);
    let list_delay = if is_seed || view.is_leading_reader() {
        Duration::ZERO
    } else if is_designated {
        READER_LIST_DELAY
    } else {
        READER_LIST_DELAY + turn(run, LIST_TURNS)
    };
    relay.list_delay.set(list_delay);
    view.origin()
}

/// Whether this box reaches the store as far as it knows, and lacks a configuration or targets. Its own first reads may take long, or
/// find nothing; no box is a better source then.
fn is_starting(relay: &Relay) -> bool {
    let lacks_state = relay.configuration.table().is_none() || relay.targets_read.get().is_none();
    lacks_state && !relay.is_store_unreachable.get()
}

/// Logs the loss of a source; repeated failures are logged at debug level.
fn log_lost(from: IpAddr, why: &SourceError, is_repeated: bool) {
    match is_repeated {
        true => {
            log::debug!(event = "source-lost", from:% = from, why:% = why; "another source failed too")
        }
        false => {
            log::info!(event = "source-lost", from:% = from, why:% = why; "source lost; trying another one")
        }
    }
}

/// Requests an update from a box, over the connection `reused` or a new one, and applies it.
async fn poll_source(
    relay: &Relay,
    reused: Option<Source>,
    address: SocketAddr,
) -> Result<Source, SourceError> {
    let mut source = match reused {
        Some(source) => source,
        None => open(address).await.map_err(SourceError::Silent)?,
    };
    let started_at = relay.now();
    let response = timeout(
        LONG_POLL_TIMEOUT + ANSWER_TIMEOUT_MARGIN,
        request_update(relay, &mut source),
    );
    let answered = response.await;
    let answered = answered.unwrap_or_else(|_| Err("request timed out".to_owned()));
    let update = answered.map_err(SourceError::Silent)?;
    relay.reach(Milestone::Source);
    relay.has_peer_answered.set(true);
    apply_ageless(relay, &update).map_err(SourceError::Silent)?;
    let verdict = check_freshness(relay, &update, started_at);
    absorb(relay, &mut source, update, started_at).map_err(SourceError::Silent)?;
    verdict.map(|()| source)
}

/// Sends a request and reads the answer.
async fn request_update(relay: &Relay, source: &mut Source) -> Result<Update, String> {
    let request = UpdateRequest {
        config_version: relay.configuration.version(),
        targets: source.targets,
        targets_end: relay.targets_end.get(),
        group_generation: relay.group_generation(),
        ip: Some(relay.settings.borrow().ip),
    };
    let sent = source.link.send(request.encode()).await;
    sent.map_err(|err| err.to_string())?;
    match source.link.next().await {
        Some(Ok(frame)) => Update::decode(frame.freeze()).map_err(|err| err.to_string()),
        Some(Err(err)) => Err(err.to_string()),
        None => Err("connection closed without an answer".to_owned()),
    }
}

/// Applies the parts of an update that are valid at any age: the store epoch, and a configuration newer than the held one.
fn apply_ageless(relay: &Relay, update: &Update) -> Result<(), String> {
    if let Some(era) = update.era {
        relay.merge_era(era, update.era_age);
    }
    if !update.config.is_empty() {
        relay.publish_packed(&update.config)?;
    }
    Ok(())
}

/// Checks whether a source is recent enough to be followed. It may lack a configuration while the first one may still be published, and
/// targets while it may be reading its first list.
fn check_freshness(
    relay: &Relay,
    update: &Update,
    requested_at: Instant,
) -> Result<(), SourceError> {
    let stale = |why: String| Err(SourceError::Stale(why));
    let rhythm = relay.rhythm();
    let waited = relay.now().since(requested_at);
    match update.confirmed_age.map(|age| age + waited) {
        None if requested_at.elapsed() > first_configuration_timeout(relay) => {
            return stale("source has no configuration".to_owned());
        }
        Some(age) if age > rhythm.max_source_age => {
            let ms = age.as_millis();
            return stale(format!("configuration was last confirmed {ms} ms ago"));
        }
        _ => {}
    }
    match update.targets_age.map(|age| age + waited) {
        None if requested_at.elapsed() > FIRST_TARGETS_TIMEOUT => {
            stale("source has read no targets".to_owned())
        }
        Some(age) if age > rhythm.max_source_targets_age => {
            stale(format!("targets were last read {} ms ago", age.as_millis()))
        }
        _ => Ok(()),
    }
}

/// Returns the time after the start during which a source may lack a configuration.
fn first_configuration_timeout(relay: &Relay) -> Duration {
    if relay.is_designated.get() {
        READER_CONFIGURATION_TIMEOUT
    } else if relay.members.borrow().is_empty() {
        SEED_CONFIGURATION_TIMEOUT
    } else {
        FIRST_CONFIGURATION_TIMEOUT
    }
}

/// Takes over what a source knows, with its age, also from a stale source: nothing that is older than the held state replaces it.
fn absorb(
    relay: &Relay,
    source: &mut Source,
    update: Update,
    requested_at: Instant,
) -> Result<(), String> {
    let Some(targets_age) = update.targets_age else {
        // Targets that the source has never read may have left.
        relay.set_members(update.members, update.group_generation);
        return Ok(());
    };
    let (confirmed_age, end) = (update.confirmed_age, update.targets_end);
    if apply(relay, source, update)? {
        relay.record_targets_read(requested_at.before(targets_age), end);
    }
    if let Some(age) = confirmed_age {
        let confirmed = requested_at.before(age);
        relay.configuration.confirm_by(source.ip, confirmed);
        relay.reach(Milestone::Confirmation);
    }
    Ok(())
}

/// Applies an update; returns whether its targets were applied. Targets as of an earlier store position than the held ones are
/// ignored, since they would restore targets that have left.
fn apply(relay: &Relay, source: &mut Source, update: Update) -> Result<bool, String> {
    relay.set_members(update.members, update.group_generation);
    if update.targets_end < relay.targets_end.get() {
        log::debug!(event = "source-behind", from:% = source.ip, end:? = update.targets_end, held:? = relay.targets_end.get(); "ignored the targets of a source: older than the held ones");
        return Ok(false);
    }
    let page = TargetPage::decompress(&update.page).map_err(|err| err.to_string())?;
    source.targets = update.targets;
    if page.is_whole {
        relay.replace_targets(page.wrote, false);
    } else {
        let evidence_of = |entry: &Entry| match page.lapsed.iter().any(|id| **id == *entry.id) {
            true => EntrySource::Listed,
            false => EntrySource::Written,
        };
        let shown = page.wrote.into_iter().map(|entry| {
            let evidence = evidence_of(&entry);
            (entry, evidence)
        });
        relay.update_targets(shown.collect());
        for id in page.gone {
            relay.target_gone(&id, false);
        }
    }
    for id in page.lapsed {
        relay.mark_missing(&id);
    }
    Ok(true)
}

async fn open(address: SocketAddr) -> Result<Source, String> {
    let connected = target::dial(address, ANSWER_TIMEOUT_MARGIN).await;
    let stream = connected.map_err(|err| err.to_string())?;
    target::set_nodelay(&stream);
    Ok(Source {
        ip: address.ip(),
        link: Framed::new(stream, frames()),
        targets: Cursor::default(),
    })
}
