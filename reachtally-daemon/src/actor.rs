//! The task that owns the world: events in, effects out.

use std::collections::{HashMap, VecDeque};

use log::{info, warn};
use reachtally_clock::Clock;
use reachtally_command::Table;
use reachtally_core::counters::Counters;
use reachtally_core::effect::{Change, Finish};
use reachtally_core::ids::{RequestId, RequestKey};
use reachtally_core::request::NewRequest;
use reachtally_core::systems::gossip::PeerConfig;
use reachtally_core::{Effect, Effects, Event, Instant, World};
use reachtally_protocol::Message as Wire;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time;

use crate::ended::{Ended, describe};
use crate::perform::Performer;
use crate::view::{Readiness, View};

/// Messages taken before the world ticks.
const MESSAGES_PER_TICK: usize = 512;
/// Ended requests remembered for operators.
const ENDED_MAX: usize = 1024;

/// A part of a request's answer.
#[derive(Debug)]
pub enum Piece {
    /// A token.
    Token {
        /// Its text.
        text: String,
    },
    /// The end; nothing follows.
    End(Finish),
}

/// A request that was taken.
#[derive(Debug)]
pub struct Taken {
    /// Its row.
    pub key: RequestKey,
    /// Its identity.
    pub id: RequestId,
}

/// What the task is told.
#[derive(Debug)]
pub enum Message {
    /// A caller asks.
    NewRequest {
        /// What for.
        ask: NewRequest,
        /// Takes the answer's parts.
        pieces: mpsc::UnboundedSender<Piece>,
        /// Told the row.
        taken: oneshot::Sender<Taken>,
    },
    /// Something happened.
    Event(Event),
    /// Compute something from the world.
    Query {
        /// What to show.
        query: Query,
        /// Takes the answer.
        answer: oneshot::Sender<Answer>,
    },
    /// The daemon prepares to stop: it shows itself as not ready.
    PrepareStop,
    /// Tell when no request is left.
    WhenIdle(oneshot::Sender<()>),
}

/// Something that operators ask of the world.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Query {
    /// A table of one of the language's subjects.
    Show(reachtally_command::Subject),
    /// Requests that ended lately.
    Ended,
    /// The counters.
    Counters,
    /// The configuration.
    Config,
    /// What a daemon that has folded the records below this offset lacks.
    ConfigFor(u64),
}

/// The answer to a [`Query`].
#[derive(Debug, Clone)]
pub enum Answer {
    /// A table.
    Table(Table),
    /// Ended requests, oldest first.
    Ended(Vec<Ended>),
    /// The counters.
    Counters(Box<Counters>),
    /// The configuration.
    Config(Box<reachtally_core::fold::Config>),
    /// Records or a snapshot.
    PeerConfig(PeerConfig),
}

/// Sends messages to the task.
pub type Handle = mpsc::UnboundedSender<Message>;

/// Everything the task owns.
pub struct Actor {
    world: World,
    clock: Clock,
    rx: mpsc::UnboundedReceiver<Message>,
    performer: Performer,
    view: watch::Sender<View>,
    counters: watch::Sender<Counters>,
    reader: watch::Sender<bool>,
    callers: HashMap<RequestKey, mpsc::UnboundedSender<Piece>>,
    ended: VecDeque<Ended>,
    config_read: bool,
    stopping: bool,
    waiting_idle: Vec<oneshot::Sender<()>>,
    effects: Effects,
}

/// Where the task publishes what others watch.
pub struct Published {
    /// The view for the listeners.
    pub view: watch::Sender<View>,
    /// The counters.
    pub counters: watch::Sender<Counters>,
    /// Whether this daemon is to follow the log closely.
    pub reader: watch::Sender<bool>,
}

impl Actor {
    /// An actor over `world`, whose time is that of `clock`.
    pub fn new(
        world: World,
        clock: Clock,
        rx: mpsc::UnboundedReceiver<Message>,
        performer: Performer,
        published: Published,
    ) -> Self {
        Actor {
            world,
            clock,
            rx,
            performer,
            view: published.view,
            counters: published.counters,
            reader: published.reader,
            callers: HashMap::new(),
            ended: VecDeque::new(),
            config_read: false,
            stopping: false,
            waiting_idle: Vec::new(),
            effects: Effects::default(),
        }
    }

    /// Run until every handle is gone.
    pub async fn run(mut self) {
        let mut messages = Vec::with_capacity(MESSAGES_PER_TICK);
        loop {
            let due = self.world.next_due();
            let wake = due.map(|at| self.clock.timer(at));
            tokio::select! {
                taken = self.rx.recv_many(&mut messages, MESSAGES_PER_TICK) => {
                    if taken == 0 {
                        return;
                    }
                }
                () = sleep_until(wake) => {}
            }
            for message in messages.drain(..) {
                self.take(message);
            }
            let now = self.now();
            self.world.tick(now, &mut self.effects);
            self.perform();
            self.counters.send_replace(self.world.counters);
            self.publish_reader();
            self.tell_idle();
        }
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn take(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::NewRequest { ask, pieces, taken } => {
                let key = self.world.ask(ask, now, &mut self.effects);
                let id = RequestId::new(self.world.incarnation, key);
                self.callers.insert(key, pieces);
                // A caller that is gone already shows when its stream is dropped.
                taken.send(Taken { key, id }).ok();
                self.perform();
            }
            Message::Event(event) => {
                let configured = matches!(event, Event::ConfigRead(_) | Event::PeerConfig(_));
                let shown = matches!(event, Event::ClaimsCaughtUp | Event::ClaimsGap);
                self.world.handle(event, now, &mut self.effects);
                self.perform();
                self.config_read |= configured;
                if configured || shown {
                    self.publish_view();
                }
            }
            Message::Query { query, answer } => {
                // An operator who hung up needs no answer.
                answer.send(self.answer(&query)).ok();
            }
            Message::PrepareStop => {
                self.stopping = true;
                self.publish_view();
            }
            Message::WhenIdle(tx) => self.waiting_idle.push(tx),
        }
    }

    fn publish_view(&mut self) {
        let readiness = if self.stopping {
            Readiness::Stopping
        } else if self.config_read {
            Readiness::Ready
        } else {
            Readiness::NoConfig
        };
        self.view.send_replace(View::of(&self.world, readiness));
    }

    fn publish_reader(&mut self) {
        let reader = self.world.is_reader();
        self.reader
            .send_if_modified(|known| std::mem::replace(known, reader) != reader);
    }

    fn tell_idle(&mut self) {
        if self.waiting_idle.is_empty() || !self.world.is_idle() {
            return;
        }
        for tx in self.waiting_idle.drain(..) {
            tx.send(()).ok();
        }
    }

    fn perform(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain() {
            self.perform_one(effect);
        }
        self.effects = effects;
    }

    fn perform_one(&mut self, effect: Effect) {
        match effect {
            Effect::Deliver { request, text, .. } => {
                if let Some(pieces) = self.callers.get(&request) {
                    // A stream that is gone sends a hang-up of its own.
                    pieces.send(Piece::Token { text }).ok();
                }
            }
            Effect::Finish { request, finish } => self.end(request, finish),
            Effect::Changed(change) => log_change(&change),
            Effect::Steps {
                call,
                target,
                batch,
            } => {
                let url = self.url(target);
                self.performer.steps(call, url, batch);
            }
            Effect::Call {
                request,
                target,
                call,
                key,
            } => {
                let url = self.url(target);
                self.performer.call(request, target, url, call, key);
            }
            Effect::MoveKv {
                request,
                id,
                from,
                to,
            } => {
                let urls = (self.url(from), self.url(to));
                self.performer.move_kv(request, id, to, urls);
            }
            Effect::Probe { target } => {
                let url = self.url(target);
                self.performer.probe(target, url);
            }
            Effect::Append { seq, record } => self.performer.append(seq, &record),
            Effect::Gossip { to, members } => {
                self.performer.send_message(to, Wire::Digest(members))
            }
            Effect::PushConfig { to, records } => {
                self.performer.send_message(to, Wire::Records(records))
            }
            Effect::PullConfig { from, next } => self.performer.pull(from, next),
            Effect::Revalidate { nonce, next, peers } => {
                self.performer.revalidate(nonce, next, peers);
            }
            Effect::AppendDomain(record) => self.performer.append_domain(&record),
            Effect::WriteSnapshot(config) => self.performer.write_snapshot(&config),
            Effect::RequestReport { target } => {
                let url = self.url(target);
                self.performer.ask_report(target, url);
            }
            Effect::Order {
                target,
                fence,
                order,
            } => {
                let row = self.world.targets.get(target);
                let name = row.map_or("", |row| row.name.as_str());
                info!(target_name = name, fence, order:? = order; "order given");
                let url = self.url(target);
                self.performer.order(url, fence, order);
            }
        }
    }

    fn url(&self, target: reachtally_core::TargetKey) -> String {
        let row = self.world.targets.get(target);
        row.map_or_else(String::new, |row| row.url.clone())
    }

    fn end(&mut self, request: RequestKey, finish: Finish) {
        let id = RequestId::new(self.world.incarnation, request);
        let ended = describe(&self.world, id, &finish);
        if self.ended.len() == ENDED_MAX {
            self.ended.pop_front();
        }
        self.ended.push_back(ended);
        if let Some(pieces) = self.callers.remove(&request) {
            pieces.send(Piece::End(finish)).ok();
        }
    }

    fn answer(&self, query: &Query) -> Answer {
        match query {
            Query::Show(subject) => Answer::Table(crate::operator::tables::show(
                &self.world,
                &self.ended,
                *subject,
                self.now(),
            )),
            Query::Ended => Answer::Ended(self.ended.iter().cloned().collect()),
            Query::Counters => Answer::Counters(Box::new(self.world.counters)),
            Query::ConfigFor(next) => Answer::PeerConfig(self.world.config_for(*next)),
            Query::Config => Answer::Config(Box::new(self.world.config.clone())),
        }
    }
}

async fn sleep_until(wake: Option<time::Instant>) {
    match wake {
        Some(wake) => time::sleep_until(wake).await,
        None => std::future::pending().await,
    }
}

fn log_change(change: &Change) {
    match change {
        Change::TargetSuspect(name) => warn!(target_name = name.as_str(); "target suspected"),
        Change::TargetUp(name) => info!(target_name = name.as_str(); "target answers again"),
        Change::StageMoved {
            from,
            to,
            way,
            position,
            ..
        } => info!(from = from.as_str(), to = to.as_str(), way:? = way, position; "stage shifted"),
        Change::Config {
            offset,
            operation,
            actor,
            verdict,
        } => info!(
            offset, operation = operation.as_str(), actor = actor.as_str(), verdict:? = verdict;
            "configuration operation folded"
        ),
        Change::ConfigGap(err) => warn!(error:% = err; "configuration gap"),
    }
}
