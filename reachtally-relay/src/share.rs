//! The configuration and the targets from other boxes.
//!
//! One box of each failure domain reads the store, and the others ask it. Calls to the store then grow
//! with the failure domains and not with the boxes, and a box that the store turns away goes on with
//! what a box that reaches it tells. A box whose source fails reads the store itself at once.
//!
//! How old a confirmation is counts from when the question was *sent*, less the age that the answer
//! tells; so neither a slow answer nor a pause of this process makes it look newer than it is.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use reachtally_core::Instant;
use reachtally_core::forward::changes::{Cursor, Since};
use reachtally_core::forward::fleet::Engine;
use reachtally_core::ids::Incarnation;
use reachtally_protocol::news::{Ask, News, frames};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::accept;
use crate::relay::Relay;
use crate::store::Member;
use crate::target;

/// How long a question waits for something new.
const ANSWER_WAIT: Duration = Duration::from_millis(400);
/// Time for an answer beside that wait; boxes are a millisecond apart.
const ANSWER_SLACK: Duration = Duration::from_millis(300);
/// A box whose confirmation is older than this is no good source. Reads of the store wait for half a
/// second, and each confirms as of its beginning, so ages up to a second are usual. With the wait for
/// an answer it is 1.6 s until a box reads the store itself, less than the two in which a change must
/// be in force.
const SOUND_AGE: Duration = Duration::from_millis(1200);
/// The same for its targets, which are read every 0.4 s. A box must not bring back a target that another
/// has seen leave.
const SOUND_TARGETS_AGE: Duration = Duration::from_millis(1500);
/// How long after the start a source may know no configuration: boxes may start before the first one
/// is published.
const FIRST_CONFIGURATION: Duration = Duration::from_secs(4);
/// How long a source that failed is left alone: longer than the group takes to notice that it is gone.
const AVOID_SOURCE: Duration = Duration::from_secs(5);
/// The same while this box does not reach the store either: then the reader is the first to know of its
/// return, and asking it costs no call.
const ASK_AGAIN: Duration = Duration::from_millis(500);
/// Time between two looks while this box reads the store itself.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// A connection for questions is closed when nothing was asked for this long.
const IDLE: Duration = Duration::from_secs(10);

type Link = Framed<TcpStream, LengthDelimitedCodec>;

/// Answer other boxes' questions until the process ends.
pub async fn serve(relay: Rc<Relay>, listener: TcpListener, run: Incarnation) {
    let serve = |stream, from| {
        let relay = relay.clone();
        async move {
            if let Err(why) = answer_all(&relay, stream, run).await {
                log::debug!(event = "peer-connection", from:% = from, why = &*why; "a box's connection ended");
            }
        }
    };
    accept::each(listener, "boxes", serve).await;
}

async fn answer_all(relay: &Relay, stream: TcpStream, run: Incarnation) -> Result<(), String> {
    let mut link = Framed::new(stream, frames());
    loop {
        let frame = timeout(IDLE, link.next())
            .await
            .map_err(|err| err.to_string())?;
        let Some(frame) = frame else {
            return Ok(());
        };
        let frame = frame.map_err(|err| err.to_string())?;
        let ask = Ask::decode(&frame).map_err(|err| err.to_string())?;
        let news = answer(relay, &ask, run).await;
        link.send(news.encode())
            .await
            .map_err(|err| err.to_string())?;
    }
}

/// Wait until there is something new, but not longer than [`ANSWER_WAIT`].
async fn answer(relay: &Relay, ask: &Ask, run: Incarnation) -> News {
    let mut changed = relay.news();
    let waiting = async { while !is_news(relay, ask, run) && changed.changed().await.is_ok() {} };
    // Running out of time is an answer as good as any: nothing is new.
    let _ = timeout(ANSWER_WAIT, waiting).await;
    news(relay, ask, run)
}

fn is_news(relay: &Relay, ask: &Ask, run: Incarnation) -> bool {
    let version = relay.config().map_or(0, |table| table.version);
    let targets = Cursor {
        run: run.0,
        next: relay.changes.borrow().next(),
    };
    let is_behind = relay.targets_end.get() < ask.targets_end;
    version > ask.config_version || (ask.targets != targets && !is_behind)
}

fn news(relay: &Relay, ask: &Ask, run: Incarnation) -> News {
    let version = relay.config().map_or(0, |table| table.version);
    let is_newer = version > ask.config_version;
    let changes = relay.changes.borrow();
    let mut news = News {
        confirmed_age: relay.freshness.get().age(relay.now()),
        targets_age: relay.targets_read.get().map(|at| relay.now().since(at)),
        config: if is_newer {
            relay.published()
        } else {
            Default::default()
        },
        targets: Cursor {
            run: run.0,
            next: changes.next(),
        },
        targets_end: relay.targets_end.get(),
        ..News::default()
    };
    let fleet = relay.fleet.borrow();
    match changes.since(ask.targets, run.0) {
        Since::Whole => {
            news.is_whole = true;
            for (_, engine) in fleet.iter() {
                show(&mut news, engine);
            }
        }
        Since::Changed(ids) => {
            for id in ids {
                match fleet.find(&id).and_then(|key| fleet.get(key)) {
                    Some(engine) => show(&mut news, engine),
                    None => news.gone.push(id.to_string()),
                }
            }
        }
    }
    news
}

fn show(news: &mut News, engine: &Engine) {
    news.wrote.push(engine.entry.clone());
    if engine.missing_since.is_some() {
        news.lapsed.push(engine.entry.id.to_string());
    }
}

/// A box that is asked.
struct Source {
    ip: IpAddr,
    link: Link,
    targets: Cursor,
}

/// Ask other boxes, or let this one read the store itself, until the process ends.
pub async fn ask(relay: Rc<Relay>, port: u16, run: Incarnation) {
    let mut source: Option<Source> = None;
    let mut avoid: Vec<(IpAddr, Instant)> = Vec::new();
    loop {
        let now = relay.now();
        let avoid_for = match relay.store_away.get() {
            true => ASK_AGAIN,
            false => AVOID_SOURCE,
        };
        avoid.retain(|(_, at)| now.since(*at) < avoid_for);
        relay.is_reader.set(is_reader(&relay, run));
        let is_sound = relay
            .freshness
            .get()
            .age(now)
            .is_some_and(|age| age < SOUND_AGE);
        let Some(ip) = pick(&relay, run, &avoid, is_sound) else {
            relay.set_direct(true);
            source = None;
            sleep(LOOK_INTERVAL).await;
            continue;
        };
        let kept = source.take().filter(|source| source.ip == ip);
        match ask_once(&relay, kept, SocketAddr::new(ip, port)).await {
            Ok(answered) => {
                relay.set_direct(false);
                source = Some(answered);
            }
            Err(why) => {
                log::info!(event = "source-lost", from:% = ip, why = &*why; "a box is no source any more");
                relay.set_direct(true);
                avoid.push((ip, relay.now()));
            }
        }
    }
}

/// The box of a failure domain that should read the store: of those that are usable, the one with the
/// least run.
fn reader<'a>(
    members: &'a [Member],
    domain: &str,
    is_usable: impl Fn(&Member) -> bool,
) -> Option<&'a Member> {
    let home = members.iter().filter(|member| member.domain == domain);
    home.filter(|member| is_usable(member))
        .min_by_key(|member| member.run.0)
}

/// Whether this box is the reader of its failure domain.
fn is_reader(relay: &Relay, run: Incarnation) -> bool {
    let settings = relay.settings.borrow();
    let members = relay.members.borrow();
    reader(&members, &settings.domain, |_| true).is_none_or(|reader| reader.run == run)
}

/// The box to ask: the reader, or where it fails the next one in its place. The reader asks others only
/// while its own reads fail.
fn pick(
    relay: &Relay,
    run: Incarnation,
    avoid: &[(IpAddr, Instant)],
    is_sound: bool,
) -> Option<IpAddr> {
    let settings = relay.settings.borrow();
    let members = relay.members.borrow();
    let is_usable =
        |member: &Member| member.run == run || avoid.iter().all(|(other, _)| *other != member.ip);
    let reader = reader(&members, &settings.domain, is_usable)?;
    if reader.run != run {
        return Some(reader.ip);
    }
    if is_sound {
        return None;
    }
    let others = members
        .iter()
        .filter(|member| member.run != run && is_usable(member));
    others
        .min_by_key(|member| (member.domain != settings.domain, member.run.0))
        .map(|member| member.ip)
}

async fn ask_once(
    relay: &Relay,
    kept: Option<Source>,
    address: SocketAddr,
) -> Result<Source, String> {
    let mut source = match kept {
        Some(source) => source,
        None => open(address).await?,
    };
    let began = relay.now();
    let ask = Ask {
        config_version: relay.config().map_or(0, |table| table.version),
        targets: source.targets,
        targets_end: relay.targets_end.get(),
    };
    let asking = async {
        source
            .link
            .send(ask.encode())
            .await
            .map_err(|err| err.to_string())?;
        match source.link.next().await {
            Some(Ok(frame)) => News::decode(frame.freeze()).map_err(|err| err.to_string()),
            Some(Err(err)) => Err(err.to_string()),
            None => Err("the connection was closed".to_owned()),
        }
    };
    let answered = timeout(ANSWER_WAIT + ANSWER_SLACK, asking).await;
    let news = answered.map_err(|_| "no answer in time".to_owned())??;
    let Some(age) = news.confirmed_age else {
        if began.elapsed() > FIRST_CONFIGURATION {
            return Err("it knows no configuration".to_owned());
        }
        take(relay, &mut source, news)?;
        return Ok(source);
    };
    if age > SOUND_AGE {
        return Err(format!(
            "its configuration was confirmed {} ms ago",
            age.as_millis()
        ));
    }
    let targets_age = news.targets_age.ok_or("it has read no targets")?;
    if targets_age > SOUND_TARGETS_AGE {
        return Err(format!(
            "its targets were read {} ms ago",
            targets_age.as_millis()
        ));
    }
    let end = news.targets_end;
    if take(relay, &mut source, news)? {
        let read = began.elapsed().saturating_sub(targets_age);
        relay.targets_are_of(Instant::from_elapsed(read), end);
    }
    let confirmed = began.elapsed().saturating_sub(age);
    relay.confirm(Instant::from_elapsed(confirmed));
    Ok(source)
}

/// Take in what a box told; yields whether its targets were taken. Those of a box that knows the store's
/// list only up to an earlier offset are not: they would bring back targets that have left.
fn take(relay: &Relay, source: &mut Source, news: News) -> Result<bool, String> {
    if !news.config.is_empty() {
        relay.publish(&news.config)?;
    }
    if news.targets_end < relay.targets_end.get() {
        log::debug!(event = "source-behind", from:% = source.ip, end = news.targets_end, held = relay.targets_end.get(); "a box's targets are older than those held");
        return Ok(false);
    }
    source.targets = news.targets;
    if news.is_whole {
        relay.replace_targets(news.wrote, false);
    } else {
        for entry in news.wrote {
            relay.target_wrote(entry);
        }
        for id in news.gone {
            relay.target_gone(&id, false);
        }
    }
    for id in news.lapsed {
        relay.target_lapsed(&id);
    }
    Ok(true)
}

async fn open(address: SocketAddr) -> Result<Source, String> {
    let stream = target::dial(address, ANSWER_SLACK).await?;
    target::send_at_once(&stream);
    Ok(Source {
        ip: address.ip(),
        link: Framed::new(stream, frames()),
        targets: Cursor::default(),
    })
}
