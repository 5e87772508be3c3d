//! Answers to other boxes' questions.

use std::rc::Rc;

use futures::{SinkExt, StreamExt};
use reachtally_core::forward::changes::{Cursor, Since};
use reachtally_core::forward::fleet::Engine;
use reachtally_core::ids::Incarnation;
use reachtally_protocol::news::{Ask, News, frames};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use crate::accept;
use crate::relay::Relay;
use crate::share::{ANSWER_WAIT, is_sound};

/// A connection for questions is closed when nothing was asked for this long.
const IDLE: Duration = Duration::from_secs(10);
/// Time between two looks whether this box holds what others may be told.
const SOUND_LOOK: Duration = Duration::from_millis(30);

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

/// Wait until there is something new that others may be told, but not longer than [`ANSWER_WAIT`]. A box
/// that has just begun to read the store itself, since the reader before it failed, needs a moment.
async fn answer(relay: &Relay, ask: &Ask, run: Incarnation) -> News {
    let mut changed = relay.news();
    let waiting = async {
        while relay.config().is_some() && !is_sound(relay) {
            sleep(SOUND_LOOK).await;
        }
        while !is_news(relay, ask, run) && changed.changed().await.is_ok() {}
    };
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
    version > ask.config_version
        || (ask.targets != targets && !is_behind)
        || relay.group_generation() > ask.group_generation
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
    let generation = relay.group_generation();
    if generation > ask.group_generation {
        news.group_generation = generation;
        news.members = relay.members.borrow().clone();
    }
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
