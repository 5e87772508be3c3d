//! Answers to update requests of other boxes.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use reachtally_core::Instant;
use reachtally_core::forward::changes::{ChangeLog, Cursor, Delta};
use reachtally_core::forward::fleet::Engine;
use reachtally_core::ids::Incarnation;
use reachtally_protocol::news::{TargetPage, Update, UpdateRequest, frames};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use crate::accept;
use crate::relay::Relay;
use crate::share::{LONG_POLL_TIMEOUT, is_fresh};

/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length of a request for updates, in bytes; it names a few versions and an address.
const MAX_REQUEST_BYTES: usize = 4 * 1024;
/// Interval at which a waiting request checks whether the state of this box is fresh enough to be sent.
const FRESHNESS_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Answers update requests of other boxes for the lifetime of the process.
pub async fn serve(relay: Rc<Relay>, listener: TcpListener, run: Incarnation) {
    let open = Rc::default();
    let serve = |stream, from| {
        let relay = relay.clone();
        let open = accept::take_peer(&relay, &open)?;
        Some(async move {
            let _open = open;
            if let Err(why) = serve_connection(&relay, stream, run).await {
                log::debug!(event = "peer-connection", from:% = from, why = &*why; "connection of another box failed");
            }
        })
    };
    accept::each(relay.clone(), listener, "boxes", serve).await;
}

async fn serve_connection(
    relay: &Relay,
    stream: TcpStream,
    run: Incarnation,
) -> Result<(), String> {
    let mut link = Framed::new(stream, frames());
    link.codec_mut().set_max_received(MAX_REQUEST_BYTES);
    loop {
        let frame = timeout(IDLE_TIMEOUT, link.next())
            .await
            .map_err(|err| err.to_string())?;
        let Some(frame) = frame else {
            return Ok(());
        };
        let frame = frame.map_err(|err| err.to_string())?;
        let request = UpdateRequest::decode(&frame).map_err(|err| err.to_string())?;
        if let Some(ip) = request.ip {
            relay.note_requester(ip);
        }
        let update = answer(relay, &request, run).await;
        link.send(update.encode())
            .await
            .map_err(|err| err.to_string())?;
    }
}

/// Waits at most [`LONG_POLL_TIMEOUT`] for an update that is fresh enough to be sent, and returns the current state. A box that
/// has just taken over as store reader needs a moment until its state is fresh.
async fn answer(relay: &Relay, request: &UpdateRequest, run: Incarnation) -> Update {
    let received_at = relay.now();
    let mut changes = relay.news();
    let update_ready = async {
        loop {
            // This also covers a box that has read its first configuration but no targets yet, and so can't be a source.
            while relay.configuration.table().is_some() && !is_fresh(relay) {
                sleep(FRESHNESS_POLL_INTERVAL).await;
            }
            if has_update(relay, request, run) || changes.changed().await.is_err() {
                return;
            }
        }
    };
    // On a timeout, the answer states that nothing changed.
    let _ = timeout(LONG_POLL_TIMEOUT, update_ready).await;
    current_update(relay, request, run, received_at)
}

fn has_update(relay: &Relay, request: &UpdateRequest, run: Incarnation) -> bool {
    let version = relay.configuration.version();
    let targets = Cursor {
        run: run.0,
        next: relay.changes.borrow().next(),
    };
    let is_behind = relay.targets_end.get() < request.targets_end;
    version > request.config_version
        || (request.targets != targets && !is_behind)
        || relay.group_generation() > request.group_generation
}

/// Returns the current state, with ages as of `received_at`, when the request arrived.
fn current_update(
    relay: &Relay,
    request: &UpdateRequest,
    run: Incarnation,
    received_at: Instant,
) -> Update {
    let version = relay.configuration.version();
    let is_newer = version > request.config_version;
    let eras = relay.eras.get();
    let changes = relay.changes.borrow();
    let mut update = Update {
        confirmed_age: relay.configuration.age(received_at),
        targets_age: relay.targets_read.get().map(|at| received_at.since(at)),
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
        ..Update::default()
    };
    let generation = relay.group_generation();
    if generation > request.group_generation {
        update.group_generation = generation;
        update.members = relay.members.borrow().clone();
    }
    // During an outage of the store all boxes know the same. The changes since an unknown position would be the complete list.
    let is_known = request.targets_end >= relay.targets_end.get();
    if is_known && !is_fresh(relay) {
        update.targets = request.targets;
        return update;
    }
    let mut pages = relay.pages.borrow_mut();
    match pages.page(relay, &changes, request.targets, run) {
        Ok(page) => update.page = page,
        Err(err) => {
            log::error!(event = "page-not-packed", why:% = err; "failed to compress the target changes; the requesting box keeps its position");
            update.targets = request.targets;
        }
    }
    update
}

/// Cache of compressed pages, by the position of the requesting box. After a start, or a change that affects all boxes, a hundred
/// boxes request the same page.
#[derive(Debug, Default)]
pub(crate) struct PageCache {
    /// Number of the next change when the pages were built.
    next: u64,
    /// Pages by the change at which they start.
    by_start: HashMap<Option<u64>, Bytes>,
}

impl PageCache {
    fn page(
        &mut self,
        relay: &Relay,
        changes: &ChangeLog,
        known: Cursor,
        run: Incarnation,
    ) -> std::io::Result<Bytes> {
        if self.next != changes.next() {
            self.by_start.clear();
            self.next = changes.next();
        }
        let start = changes.start(known, run.0);
        if let Some(page) = self.by_start.get(&start) {
            return Ok(page.clone());
        }
        let page = build_page(relay, &changes.since(known, run.0))?;
        self.by_start.insert(start, page.clone());
        Ok(page)
    }
}

/// Builds the compressed page of the given changes.
fn build_page(relay: &Relay, since: &Delta) -> std::io::Result<Bytes> {
    let fleet = relay.fleet.borrow();
    let mut page = TargetPage::default();
    match since {
        Delta::Whole => {
            page.is_whole = true;
            for (_, engine) in fleet.iter() {
                add_entry(&mut page, engine);
            }
        }
        Delta::Changed(ids) if ids.is_empty() => return Ok(Bytes::new()),
        Delta::Changed(ids) => {
            for id in ids {
                match fleet.find(id).and_then(|key| fleet.get(key)) {
                    Some(engine) => add_entry(&mut page, engine),
                    None => page.gone.push(id.to_string()),
                }
            }
        }
    }
    page.compress()
}

fn add_entry(page: &mut TargetPage, engine: &Engine) {
    page.wrote.push(engine.entry.clone());
    if engine.missing_since.is_some() {
        page.lapsed.push(engine.entry.id.to_string());
    }
}
