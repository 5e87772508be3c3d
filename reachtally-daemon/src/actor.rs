//! The task that owns the world. It applies events and executes the resulting effects.

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

/// Maximum messages handled between two ticks of the world.
const MESSAGES_PER_TICK: usize = 512;
/// Number of ended requests kept for operator queries.
const MAX_ENDED: usize = 1024;

/// An event of a request's response.
#[derive(Debug)]
pub enum ResponseEvent {
    /// A generated token.
    Token {
        /// Text of the token.
        text: String,
    },
    /// The end of the response. No events follow.
    End(Finish),
}

/// Identifies a request that the world has accepted.
#[derive(Debug)]
pub struct AcceptedRequest {
    /// Key of its row in the world.
    pub key: RequestKey,
    /// Globally unique id.
    pub id: RequestId,
}

/// A message to the actor.
#[derive(Debug)]
pub enum Message {
    /// A caller's request.
    NewRequest {
        /// The request.
        request: NewRequest,
        /// Receives the response.
        events: mpsc::UnboundedSender<ResponseEvent>,
        /// Receives the request's key and id.
        accepted: oneshot::Sender<AcceptedRequest>,
    },
    /// An event for the world.
    Event(Event),
    /// A query against the world.
    Query {
        /// The query.
        query: Query,
        /// Receives the result.
        answer: oneshot::Sender<Answer>,
    },
    /// Prepares shutdown: the daemon reports not ready.
    PrepareStop,
    /// Notifies the sender once no requests are left.
    NotifyIdle(oneshot::Sender<()>),
}

/// A query against the world.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Query {
    /// A table for a subject of the command language.
    Show(reachtally_command::Subject),
    /// Recently ended requests.
    Ended,
    /// The counters.
    Counters,
    /// The configuration.
    Config,
    /// The configuration records from this offset on, for another daemon.
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
    /// Configuration records or a snapshot.
    PeerConfig(PeerConfig),
}

/// Sends messages to the actor.
pub type Handle = mpsc::UnboundedSender<Message>;

/// The state that the task owns.
pub struct Actor {
    world: World,
    clock: Clock,
    rx: mpsc::UnboundedReceiver<Message>,
    performer: Performer,
    view: watch::Sender<View>,
    counters: watch::Sender<Counters>,
    reader: watch::Sender<bool>,
    callers: HashMap<RequestKey, mpsc::UnboundedSender<ResponseEvent>>,
    ended: VecDeque<Ended>,
    config_read: bool,
    stopping: bool,
    idle_waiters: Vec<oneshot::Sender<()>>,
    effects: Effects,
}

/// Watch channels on which the actor publishes its state.
pub struct Published {
    /// The view for the listeners.
    pub view: watch::Sender<View>,
    /// The counters.
    pub counters: watch::Sender<Counters>,
    /// Whether this daemon is a reader of its failure domain, which follows the log continuously.
    pub reader: watch::Sender<bool>,
}

impl Actor {
    /// Creates an actor that owns `world` and reads the time from `clock`.
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
            idle_waiters: Vec::new(),
            effects: Effects::default(),
        }
    }

    /// Runs until all handles are dropped.
    pub async fn run(mut self) {
        let mut messages = Vec::with_capacity(MESSAGES_PER_TICK);
        loop {
            let due = self.world.next_due();
            let wake = due.map(|at| self.clock.timer(at));
            tokio::select! {
                received = self.rx.recv_many(&mut messages, MESSAGES_PER_TICK) => {
                    if received == 0 {
                        return;
                    }
                }
                () = sleep_until(wake) => {}
            }
            for message in messages.drain(..) {
                self.handle_message(message);
            }
            let now = self.now();
            self.world.tick(now, &mut self.effects);
            self.perform();
            self.counters.send_replace(self.world.counters);
            self.publish_reader();
            self.notify_idle();
        }
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn handle_message(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::NewRequest {
                request,
                events,
                accepted,
            } => {
                let key = self.world.ask(request, now, &mut self.effects);
                let id = RequestId::new(self.world.incarnation, key);
                self.callers.insert(key, events);
                // If the caller has already disconnected, dropping its stream reports that.
                accepted.send(AcceptedRequest { key, id }).ok();
                self.perform();
            }
            Message::Event(event) => {
                let config_changed = matches!(event, Event::ConfigRead(_) | Event::PeerConfig(_));
                let claims_changed = matches!(event, Event::ClaimsCaughtUp | Event::ClaimsGap);
                self.world.handle(event, now, &mut self.effects);
                self.perform();
                self.config_read |= config_changed;
                if config_changed || claims_changed {
                    self.publish_view();
                }
            }
            Message::Query { query, answer } => {
                // The operator may have disconnected.
                answer.send(self.answer(&query)).ok();
            }
            Message::PrepareStop => {
                self.stopping = true;
                self.publish_view();
            }
            Message::NotifyIdle(tx) => self.idle_waiters.push(tx),
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
            .send_if_modified(|current| std::mem::replace(current, reader) != reader);
    }

    fn notify_idle(&mut self) {
        if self.idle_waiters.is_empty() || !self.world.is_idle() {
            return;
        }
        for tx in self.idle_waiters.drain(..) {
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
                if let Some(events) = self.callers.get(&request) {
                    // A dropped stream reports the disconnect itself.
                    events.send(ResponseEvent::Token { text }).ok();
                }
            }
            Effect::Finish { request, finish } => self.finish_request(request, finish),
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
                self.performer.transfer_kv(request, id, to, urls);
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
                self.performer.request_report(target, url);
            }
            Effect::Order {
                target,
                fence,
                order,
            } => {
                let row = self.world.targets.get(target);
                let name = row.map_or("", |row| row.name.as_str());
                info!(target_name = name, fence, order:? = order; "order sent");
                let url = self.url(target);
                self.performer.order(url, fence, order);
            }
        }
    }

    fn url(&self, target: reachtally_core::TargetKey) -> String {
        let row = self.world.targets.get(target);
        row.map_or_else(String::new, |row| row.url.clone())
    }

    fn finish_request(&mut self, request: RequestKey, finish: Finish) {
        let id = RequestId::new(self.world.incarnation, request);
        let ended = describe(&self.world, id, &finish);
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(ended);
        if let Some(events) = self.callers.remove(&request) {
            events.send(ResponseEvent::End(finish)).ok();
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
