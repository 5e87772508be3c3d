//! Questions to other boxes.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use reachtally_core::Instant;
use reachtally_core::forward::changes::Cursor;
use reachtally_core::forward::fleet::{Entry, Evidence};
use reachtally_core::forward::readers::{Origin, View};
use reachtally_core::ids::Incarnation;
use reachtally_protocol::news::{Ask, News, TargetPage, frames};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use crate::relay::Relay;
use crate::share::{ANSWER_SLACK, ANSWER_WAIT, Link, is_sound};
use crate::target;

/// How long after the start a source may know no configuration: boxes may start before the first one
/// is published.
const FIRST_CONFIGURATION: Duration = Duration::from_secs(4);
/// The same for a seed while the group is not known: it may be cut off from the store.
const FIRST_FROM_SEED: Duration = Duration::from_secs(2);
/// How long a source that failed is left alone: longer than the group takes to notice that it is gone.
const AVOID_SOURCE: Duration = Duration::from_secs(5);
/// The same where a source may be of use again soon.
const ASK_AGAIN: Duration = Duration::from_millis(500);
/// The same while this box has just started: others start too, at different moments.
const ASK_AGAIN_AT_START: Duration = Duration::from_millis(100);
/// The same for one that knows nothing new, where this box does not read the store: as long as it takes to ask
/// half a dozen others.
const STALE_AGAIN: Duration = Duration::from_secs(2);
/// Time between two looks for a source while there is none.
const NOWHERE_INTERVAL: Duration = Duration::from_millis(100);
/// Least time between two questions, so that a box is not told each of a storm of configurations.
const ASK_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two looks while this box reads the store itself.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait at the start for the group of boxes, which tells whom to ask. It is known after one call
/// to the store, or not at all while the store is away.
const GROUP_WAIT: Duration = Duration::from_millis(600);
/// Time between two looks meanwhile: a call to the store takes a few ms.
const GROUP_LOOK: Duration = Duration::from_millis(25);
/// Time at the start in which some seed must accept a connection. Seeds may start at the same time as this box, or be gone.
const SEED_WAIT: Duration = Duration::from_millis(120);
/// Time between two attempts to connect to a seed meanwhile.
const SEED_AGAIN: Duration = Duration::from_millis(20);
/// Time for which a box reads the store itself whose seeds did not accept a connection: for one read of each kind.
const FIRST_READS: Duration = Duration::from_millis(60);

/// A box that is asked.
struct Source {
    ip: IpAddr,
    link: Link,
    targets: Cursor,
}

/// Why a box is no source.
enum AskError {
    /// It did not answer.
    Silent(String),
    /// It answered, but knows nothing new enough.
    Stale(String),
}

impl std::fmt::Display for AskError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            AskError::Silent(why) | AskError::Stale(why) => f.write_str(why),
        }
    }
}

/// A box that was asked in vain.
struct Avoided {
    ip: IpAddr,
    is_stale: bool,
    until: Instant,
}

/// Ask other boxes, or let this one read the store itself, until the process ends.
pub async fn ask(relay: Rc<Relay>, port: u16, run: Incarnation) {
    let mut avoid: Vec<Avoided> = Vec::new();
    let mut is_lost = false;
    wait_for_group(&relay).await;
    let mut source = first_seed(&relay, port).await;
    let first_seed = source.as_ref().map(|source| source.ip);
    loop {
        drop_expired(&relay, &mut avoid);
        let ip = match origin(&relay, run, &avoid, first_seed) {
            Origin::Box(ip) => ip,
            Origin::Store => {
                relay.set_direct(true);
                source = None;
                sleep(LOOK_INTERVAL).await;
                continue;
            }
            Origin::Nowhere => {
                relay.set_direct(false);
                sleep(NOWHERE_INTERVAL).await;
                continue;
            }
        };
        let kept = source.take().filter(|source| source.ip == ip);
        match ask_once(&relay, kept, SocketAddr::new(ip, port)).await {
            Ok(answered) => {
                relay.set_direct(false);
                source = Some(answered);
                is_lost = false;
                sleep(ASK_INTERVAL).await;
            }
            Err(why) => {
                note_lost(ip, &why, is_lost);
                is_lost = true;
                avoid.push(avoided(&relay, ip, &why));
            }
        }
    }
}

/// Wait for the group, unless there are others to ask.
async fn wait_for_group(relay: &Relay) {
    let began = relay.now();
    let is_alone = relay.settings.borrow().seeds.is_empty();
    while is_alone && relay.members.borrow().is_empty() && relay.now().since(began) < GROUP_WAIT {
        sleep(GROUP_LOOK).await;
    }
}

/// The first seed that accepts a connection of a box that has just started. Where none does, the box reads the store once.
async fn first_seed(relay: &Relay, port: u16) -> Option<Source> {
    let (ip, seeds) = {
        let settings = relay.settings.borrow();
        (settings.ip, settings.seeds.clone())
    };
    if seeds.is_empty() || seeds.contains(&ip) {
        return None;
    }
    let accepting = seeds
        .into_iter()
        .map(|seed| Box::pin(accepting(SocketAddr::new(seed, port))));
    match timeout(SEED_WAIT, futures::future::select_all(accepting)).await {
        Ok((first, ..)) => Some(first),
        Err(_) => {
            relay.set_direct(true);
            sleep(FIRST_READS).await;
            None
        }
    }
}

/// Waits until a box accepts a connection.
async fn accepting(address: SocketAddr) -> Source {
    loop {
        match open(address).await {
            Ok(source) => return source,
            Err(_) => sleep(SEED_AGAIN).await,
        }
    }
}

/// Forget failures that are long enough ago.
fn drop_expired(relay: &Relay, avoid: &mut Vec<Avoided>) {
    let now = relay.now();
    avoid.retain(|avoided| now < avoided.until);
}

/// A box that was asked in vain, and how long it is left alone. One that is stale is the first to know of the
/// store's return, and asking it costs no call; while this box is young, others start too.
fn avoided(relay: &Relay, ip: IpAddr, why: &AskError) -> Avoided {
    let is_stale = matches!(why, AskError::Stale(_));
    let avoid_for = if is_young(relay) {
        ASK_AGAIN_AT_START
    } else if relay.store_away.get() {
        ASK_AGAIN
    } else if is_stale && !relay.is_direct() {
        STALE_AGAIN
    } else {
        AVOID_SOURCE
    };
    Avoided {
        ip,
        is_stale,
        until: relay.now() + avoid_for,
    }
}

fn is_young(relay: &Relay) -> bool {
    relay.now().elapsed() < FIRST_FROM_SEED
}

/// Where to look next, `first_seed` before other seeds; also notes whether this box is the first reader.
fn origin(
    relay: &Relay,
    run: Incarnation,
    avoid: &[Avoided],
    first_seed: Option<IpAddr>,
) -> Origin {
    let settings = relay.settings.borrow();
    let mut seeds = settings.seeds.clone();
    seeds.sort_by_key(|seed| Some(*seed) != first_seed);
    let members = relay.members.borrow();
    let (stale, silent): (Vec<&Avoided>, Vec<&Avoided>) =
        avoid.iter().partition(|avoided| avoided.is_stale);
    let ips = |avoided: Vec<&Avoided>| -> Vec<IpAddr> {
        avoided.into_iter().map(|avoided| avoided.ip).collect()
    };
    let (stale, silent) = (ips(stale), ips(silent));
    let view = View {
        members: &members,
        home: &settings.domain,
        run,
        ip: settings.ip,
        seeds: &seeds,
        avoid: &silent,
        stale: &stale,
        is_young: is_young(relay),
        is_sound: is_sound(relay),
    };
    relay.is_reader.set(view.is_first());
    view.origin()
}

/// The first failure of several in a row is logged as a change of state.
fn note_lost(from: IpAddr, why: &AskError, is_lost: bool) {
    match is_lost {
        true => {
            log::debug!(event = "source-lost", from:% = from, why:% = why; "another box is no source either")
        }
        false => {
            log::info!(event = "source-lost", from:% = from, why:% = why; "a box is no source any more")
        }
    }
}

/// Ask a box once, over the connection `kept` or a new one, and take in what it tells.
async fn ask_once(
    relay: &Relay,
    kept: Option<Source>,
    address: SocketAddr,
) -> Result<Source, AskError> {
    let mut source = match kept {
        Some(source) => source,
        None => open(address).await.map_err(AskError::Silent)?,
    };
    let began = relay.now();
    let answering = timeout(ANSWER_WAIT + ANSWER_SLACK, exchange(relay, &mut source));
    let answered = answering.await;
    let answered = answered.unwrap_or_else(|_| Err("no answer in time".to_owned()));
    let news = answered.map_err(AskError::Silent)?;
    take_whatever_its_age(relay, &news).map_err(AskError::Silent)?;
    match ages(relay, &news, began)? {
        None => {
            take(relay, &mut source, news).map_err(AskError::Silent)?;
        }
        Some(ages) => {
            let end = news.targets_end;
            if take(relay, &mut source, news).map_err(AskError::Silent)? {
                relay.targets_are_of(before(began, ages.targets), end);
            }
            let confirmed = before(began, ages.configuration);
            relay.configuration.confirm(confirmed);
        }
    }
    Ok(source)
}

/// The moment `age` before `began`, but not before this box started.
fn before(began: Instant, age: Duration) -> Instant {
    Instant::from_elapsed(began.elapsed().saturating_sub(age))
}

/// Send a question and read the answer.
async fn exchange(relay: &Relay, source: &mut Source) -> Result<News, String> {
    let ask = Ask {
        config_version: relay.configuration.version(),
        targets: source.targets,
        targets_end: relay.targets_end.get(),
        group_generation: relay.group_generation(),
    };
    let sent = source.link.send(ask.encode()).await;
    sent.map_err(|err| err.to_string())?;
    match source.link.next().await {
        Some(Ok(frame)) => News::decode(frame.freeze()).map_err(|err| err.to_string()),
        Some(Err(err)) => Err(err.to_string()),
        None => Err("the connection was closed".to_owned()),
    }
}

/// Take in what counts however old the rest is: the store's era, and a configuration that is newer than the one held.
fn take_whatever_its_age(relay: &Relay, news: &News) -> Result<(), String> {
    if let Some(era) = news.era {
        relay.hear_era(era, news.era_age);
    }
    if !news.config.is_empty() {
        relay.publish_packed(&news.config)?;
    }
    Ok(())
}

/// How old what a box tells was when it was asked.
struct Ages {
    /// The confirmation of its configuration.
    configuration: Duration,
    /// The read of its targets.
    targets: Duration,
}

/// How old it is; `None` while the first configuration may still be to come.
fn ages(relay: &Relay, news: &News, asked: Instant) -> Result<Option<Ages>, AskError> {
    let Some(configuration) = news.confirmed_age else {
        let patience = match relay.members.borrow().is_empty() {
            true => FIRST_FROM_SEED,
            false => FIRST_CONFIGURATION,
        };
        if asked.elapsed() > patience {
            let why = "it knows no configuration".to_owned();
            return Err(AskError::Stale(why));
        }
        return Ok(None);
    };
    let rhythm = relay.rhythm();
    if configuration > rhythm.sound_age {
        let ms = configuration.as_millis();
        let why = format!("its configuration was confirmed {ms} ms ago");
        return Err(AskError::Stale(why));
    }
    let no_targets = || AskError::Stale("it has read no targets".to_owned());
    let targets = news.targets_age.ok_or_else(no_targets)?;
    if targets > rhythm.sound_targets_age {
        let ms = targets.as_millis();
        let why = format!("its targets were read {ms} ms ago");
        return Err(AskError::Stale(why));
    }
    Ok(Some(Ages {
        configuration,
        targets,
    }))
}

/// Take in what a box told; yields whether its targets were taken. Those of a box that knows the store's
/// list only up to an earlier offset are not: they would bring back targets that have left.
fn take(relay: &Relay, source: &mut Source, news: News) -> Result<bool, String> {
    relay.set_members(news.members, news.group_generation);
    if news.targets_end < relay.targets_end.get() {
        log::debug!(event = "source-behind", from:% = source.ip, end:? = news.targets_end, held:? = relay.targets_end.get(); "a box's targets are older than those held");
        return Ok(false);
    }
    let page = TargetPage::unpack(&news.page).map_err(|err| err.to_string())?;
    source.targets = news.targets;
    if page.is_whole {
        relay.replace_targets(page.wrote, false);
    } else {
        let evidence_of = |entry: &Entry| match page.lapsed.iter().any(|id| **id == *entry.id) {
            true => Evidence::Listed,
            false => Evidence::Written,
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
    let dialled = target::dial(address, ANSWER_SLACK).await;
    let stream = dialled.map_err(|err| err.to_string())?;
    target::send_at_once(&stream);
    Ok(Source {
        ip: address.ip(),
        link: Framed::new(stream, frames()),
        targets: Cursor::default(),
    })
}
