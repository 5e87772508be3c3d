//! Answers to other boxes' questions.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use reachtally_core::forward::changes::{Changes, Cursor, Since};
use reachtally_core::forward::fleet::Engine;
use reachtally_core::ids::Incarnation;
use reachtally_protocol::news::{Ask, News, TargetPage, frames};
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
        loop {
            // Also a box that has just read its first configuration: without targets it would be no source.
            while relay.configuration.table().is_some() && !is_sound(relay) {
                sleep(SOUND_LOOK).await;
            }
            if is_news(relay, ask, run) || changed.changed().await.is_err() {
                return;
            }
        }
    };
    // Running out of time is an answer as good as any: nothing is new.
    let _ = timeout(ANSWER_WAIT, waiting).await;
    news(relay, ask, run)
}

fn is_news(relay: &Relay, ask: &Ask, run: Incarnation) -> bool {
    let version = relay.configuration.version();
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
    let version = relay.configuration.version();
    let is_newer = version > ask.config_version;
    let eras = relay.eras.get();
    let changes = relay.changes.borrow();
    let mut news = News {
        confirmed_age: relay.configuration.age(relay.now()),
        targets_age: relay.targets_read.get().map(|at| relay.now().since(at)),
        config: if is_newer {
            relay.configuration.published()
        } else {
            Default::default()
        },
        targets: Cursor {
            run: run.0,
            next: changes.next(),
        },
        targets_end: relay.targets_end.get(),
        era: eras.known(),
        era_age: eras.changed_at().map(|at| relay.now().since(at)),
        ..News::default()
    };
    let generation = relay.group_generation();
    if generation > ask.group_generation {
        news.group_generation = generation;
        news.members = relay.members.borrow().clone();
    }
    let mut pages = relay.pages.borrow_mut();
    match pages.page(relay, &changes, ask.targets, run) {
        Ok(page) => news.page = page,
        Err(err) => {
            log::error!(event = "page-not-packed", why:% = err; "the targets can't be told; the asker stays where it is");
            news.targets = ask.targets;
        }
    }
    news
}

/// Pages that were packed lately, by what the asker knows already. After a start, or a change that all hear of,
/// a hundred boxes ask for the same.
#[derive(Debug, Default)]
pub(crate) struct Pages {
    /// Number of the next change when they were packed.
    next: u64,
    /// By the change from which the asker is to be told.
    by_start: HashMap<Option<u64>, Bytes>,
}

impl Pages {
    fn page(
        &mut self,
        relay: &Relay,
        changes: &Changes,
        held: Cursor,
        run: Incarnation,
    ) -> std::io::Result<Bytes> {
        if self.next != changes.next() {
            self.by_start.clear();
            self.next = changes.next();
        }
        let start = changes.start(held, run.0);
        if let Some(page) = self.by_start.get(&start) {
            return Ok(page.clone());
        }
        let page = pack(relay, &changes.since(held, run.0))?;
        self.by_start.insert(start, page.clone());
        Ok(page)
    }
}

/// What changed, packed.
fn pack(relay: &Relay, since: &Since) -> std::io::Result<Bytes> {
    let fleet = relay.fleet.borrow();
    let mut page = TargetPage::default();
    match since {
        Since::Whole => {
            page.is_whole = true;
            for (_, engine) in fleet.iter() {
                show(&mut page, engine);
            }
        }
        Since::Changed(ids) if ids.is_empty() => return Ok(Bytes::new()),
        Since::Changed(ids) => {
            for id in ids {
                match fleet.find(id).and_then(|key| fleet.get(key)) {
                    Some(engine) => show(&mut page, engine),
                    None => page.gone.push(id.to_string()),
                }
            }
        }
    }
    page.pack()
}

fn show(page: &mut TargetPage, engine: &Engine) {
    page.wrote.push(engine.entry.clone());
    if engine.missing_since.is_some() {
        page.lapsed.push(engine.entry.id.to_string());
    }
}
