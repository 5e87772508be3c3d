//! Daemons' worlds, engines, services and a log in one thread on a virtual clock.
//!
//! A small fake at the core's interfaces, for tests of failures and for experiments: the decisions
//! are the shipped core, unchanged, and nothing depends on sockets, threads or real time. Events at
//! the same instant happen in the order they were scheduled, so a run is a function of its input.

mod domains;
mod engine;
mod log;
mod node;
mod queue;
mod service;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use reachtally_core::declare::{Kind, Object};
use reachtally_core::event::{BoxStatus, CallFailure};
use reachtally_core::fold::{Config, Edit, EditChange, Operation};
use reachtally_core::ids::{CallKey, RequestKey, TargetKey};
use reachtally_core::life::NeverStarted;
use reachtally_core::request::{NewRequest, ServiceCall};
use reachtally_core::step::Batch;
use reachtally_core::systems::gossip::PeerConfig;
use reachtally_core::systems::steward::Order;
use reachtally_core::{Effect, Event, Incarnation, Instant, Limits};

use self::queue::{Happening, Queue};

pub use self::engine::{Behaviour, FakeEngine};
pub use self::log::FakeLog;
pub use self::node::{Answered, End, Node};
pub use self::service::FakeService;

/// Time that a message takes on any link, one way.
const LINK: Duration = Duration::from_micros(500);
/// Seed of the first daemon's random choices; the next ones count up.
const SEED: u64 = 1;

/// Daemons and what is around them.
#[derive(Debug)]
pub struct Fabric {
    /// The virtual clock.
    pub now: Instant,
    /// The daemons.
    pub nodes: Vec<Node>,
    /// The engines by base address.
    pub engines: BTreeMap<String, FakeEngine>,
    /// The service instances by base address.
    pub services: BTreeMap<String, FakeService>,
    /// The log.
    pub log: FakeLog,
    /// Daemons that no other daemon reaches.
    pub cut_peers: BTreeSet<usize>,
    /// Orders given: by which daemon, to which engine, with which fence.
    pub orders: Vec<(usize, String, u64, Order)>,
    domains: Vec<String>,
    queue: Queue,
}

impl Fabric {
    /// A fabric with so many daemons and nothing declared.
    pub fn new(daemons: usize, limits: &Limits) -> Self {
        let node = |index| Node::new(Incarnation(index as u64 + 1), SEED + index as u64, limits);
        let mut fabric = Fabric {
            now: Instant::ZERO,
            nodes: (0..daemons).map(node).collect(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            log: FakeLog::default(),
            cut_peers: BTreeSet::new(),
            orders: Vec::new(),
            domains: Vec::new(),
            queue: Queue::default(),
        };
        for daemon in 0..daemons {
            fabric.handle(daemon, Event::ClaimsCaughtUp);
        }
        fabric
    }

    /// Publish objects; every daemon that is not cut off folds them at once.
    pub fn declare(&mut self, objects: Vec<Object>) {
        let edits = self.log.folded().edits(objects);
        self.publish(edits);
    }

    /// Publish edits as one operation.
    pub fn publish(&mut self, edits: Vec<Edit>) {
        let operation = Operation {
            id: format!("operation-{}", self.log.folded().next()),
            actor: "test".to_owned(),
            edits,
        };
        self.log.publish(operation);
        self.spread();
        self.run_until(self.now);
    }

    /// Drain a target, or undo it.
    pub fn drain(&mut self, kind: Kind, name: &str, drained: bool) {
        let base = self.log.folded().revision(kind, name);
        self.publish(vec![Edit {
            kind,
            name: name.to_owned(),
            base,
            change: EditChange::Drain(drained),
        }]);
    }

    /// The configuration that the log holds.
    pub fn config(&self) -> &Config {
        self.log.folded()
    }

    /// Show this live list to every daemon.
    pub fn show_list(&mut self, boxes: &[(&str, bool)]) {
        let seen = boxes.iter().map(|(name, leaving)| BoxStatus {
            name: (*name).to_owned(),
            leaving: *leaving,
            peer: None,
        });
        let seen: Vec<BoxStatus> = seen.collect();
        for daemon in 0..self.nodes.len() {
            self.handle(daemon, Event::LiveListRead(seen.clone()));
        }
    }

    /// A caller asks a daemon.
    pub fn ask(&mut self, daemon: usize, ask: NewRequest) -> RequestKey {
        let key = self.nodes[daemon].ask(ask, self.now);
        self.settle(daemon);
        key
    }

    /// Tell a daemon of something that happened.
    pub fn handle(&mut self, daemon: usize, event: Event) {
        self.nodes[daemon].handle(event, self.now);
        self.settle(daemon);
    }

    /// Replace a daemon by a new run of it that has read the log anew.
    pub fn restart(&mut self, daemon: usize, incarnation: u64, limits: &Limits) {
        self.nodes[daemon] = Node::new(Incarnation(incarnation), incarnation, limits);
        self.queue.forget(daemon);
        self.spread();
        self.handle(daemon, Event::ClaimsCaughtUp);
        self.run_until(self.now);
    }

    /// Let a daemon do nothing until `until`; what it is told meanwhile reaches it then.
    pub fn pause(&mut self, daemon: usize, until: Instant) {
        self.nodes[daemon].paused_until = until;
    }

    /// Run until the clock shows `until`.
    pub fn run_until(&mut self, until: Instant) {
        while let Some(at) = self.next_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.step();
        }
        self.now = self.now.max(until);
    }

    /// Run for a time.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    fn next_at(&self) -> Option<Instant> {
        let due = self.nodes.iter().filter_map(Node::next_due).min();
        match (self.queue.next_at(), due) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    fn step(&mut self) {
        if let Some(happening) = self.queue.pop(self.now) {
            return self.happen(happening);
        }
        for daemon in 0..self.nodes.len() {
            if self.nodes[daemon]
                .next_due()
                .is_some_and(|at| at <= self.now)
            {
                self.settle(daemon);
            }
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Told { daemon, event } => {
                let until = self.nodes[daemon].paused_until;
                if until > self.now {
                    self.queue.push(until, Happening::Told { daemon, event });
                } else {
                    self.handle(daemon, event);
                }
            }
            Happening::BatchArrives {
                daemon,
                call,
                url,
                batch,
            } => self.batch_arrives(daemon, call, &url, batch),
            Happening::IterationEnds { url } => self.iteration_ends(&url),
            Happening::CallArrives {
                daemon,
                request,
                target,
                url,
                key,
                call,
            } => self.call_arrives(daemon, request, target, &url, key, call),
            Happening::Spread => self.spread(),
        }
    }

    /// Let a daemon tick and carry its effects out.
    fn settle(&mut self, daemon: usize) {
        if self.nodes[daemon].paused_until > self.now {
            return;
        }
        for effect in self.nodes[daemon].tick(self.now) {
            self.carry_out(daemon, effect);
        }
    }

    fn tell(&mut self, daemon: usize, after: Duration, event: Event) {
        self.queue
            .push(self.now + after, Happening::Told { daemon, event });
    }

    fn carry_out(&mut self, daemon: usize, effect: Effect) {
        match effect {
            Effect::Steps {
                call,
                target,
                batch,
            } => {
                let url = self.nodes[daemon].url(target);
                let arrives = Happening::BatchArrives {
                    daemon,
                    call,
                    url,
                    batch,
                };
                self.queue.push(self.now + LINK, arrives);
            }
            Effect::Call {
                request,
                target,
                call,
                key,
            } => {
                let url = self.nodes[daemon].url(target);
                let arrives = Happening::CallArrives {
                    daemon,
                    request,
                    target,
                    url,
                    key,
                    call,
                };
                self.queue.push(self.now + LINK, arrives);
            }
            Effect::MoveKv {
                request,
                id,
                from,
                to,
            } => self.move_kv(daemon, request, id, (from, to)),
            Effect::Probe { target } => {
                let url = self.nodes[daemon].url(target);
                let engine = self.engines.get(&url).is_some_and(FakeEngine::answers);
                let service = self.services.get(&url).is_some_and(|service| service.up);
                let up = engine || service;
                self.tell(daemon, LINK * 2, Event::Probed { target, up });
            }
            Effect::Append { seq, record } => {
                let at_ms = self.now.elapsed().as_millis() as u64;
                let confirmed = self.log.append(daemon, at_ms, record);
                let delay = self.log.delay;
                self.tell(daemon, LINK * 2 + delay, Event::Appended { seq, confirmed });
                self.queue.push(self.now + LINK + delay, Happening::Spread);
            }
            Effect::Gossip { to, members } => {
                self.tell_peer(daemon, &to, Event::Digest(members));
            }
            Effect::PushConfig { to, records } => {
                let event = Event::PeerConfig(PeerConfig::Records(records));
                self.tell_peer(daemon, &to, event);
            }
            Effect::PullConfig { from, next } => self.pull(daemon, &from, next),
            Effect::Revalidate { nonce, peers, .. } => self.revalidate(daemon, nonce, &peers),
            Effect::AppendDomain(record) => {
                let at_ms = self.now.elapsed().as_millis() as u64;
                self.log.append_domain(daemon, at_ms, record);
                let delay = self.log.delay;
                self.tell(daemon, LINK * 2 + delay, Event::DomainAppended);
                self.queue.push(self.now + LINK + delay, Happening::Spread);
            }
            Effect::WriteSnapshot(config) => self.log.snapshots.push(*config),
            Effect::RequestReport { target } => self.ask_report(daemon, target),
            Effect::Order {
                target,
                fence,
                order,
            } => self.order(daemon, target, fence, order),
            Effect::Deliver { .. } | Effect::Finish { .. } | Effect::Changed(_) => {}
        }
    }

    /// Every daemon that reaches the log reads what it has not read yet.
    fn spread(&mut self) {
        for daemon in 0..self.nodes.len() {
            if self.log.cut.contains(&daemon) || self.log.down {
                continue;
            }
            let unread = self.log.unread(&mut self.nodes[daemon].read);
            let (config, claims, domains) = unread;
            if !domains.is_empty() {
                self.tell(daemon, Duration::ZERO, Event::DomainsRead(domains));
            }
            if !config.is_empty() {
                self.tell(daemon, Duration::ZERO, Event::ConfigRead(config));
            }
            if !claims.is_empty() {
                self.tell(daemon, Duration::ZERO, Event::ClaimsRead(claims));
            }
        }
    }

    /// The log answers again, or a daemon reaches it again.
    pub fn heal_log(&mut self) {
        self.log.down = false;
        self.log.cut.clear();
        self.spread();
    }

    fn batch_arrives(&mut self, daemon: usize, call: CallKey, url: &str, batch: Batch) {
        let Some(engine) = self.engines.get_mut(url).filter(|engine| !engine.dead) else {
            let failure = CallFailure::NeverStarted(NeverStarted::ConnectFailed);
            return self.tell(daemon, LINK, Event::StepsFailed { call, failure });
        };
        if engine.take_refusal() {
            let failure = CallFailure::NeverStarted(NeverStarted::TargetSaidSo);
            return self.tell(daemon, LINK, Event::StepsFailed { call, failure });
        }
        if let Some(ends_after) = engine.enqueue(daemon, call, batch) {
            let url = url.to_owned();
            let ends = Happening::IterationEnds { url };
            self.queue.push(self.now + ends_after, ends);
        }
    }

    fn iteration_ends(&mut self, url: &str) {
        let Some(engine) = self.engines.get_mut(url) else {
            return;
        };
        let (answers, next) = engine.end_iteration();
        if let Some(ends_after) = next {
            let url = url.to_owned();
            let ends = Happening::IterationEnds { url };
            self.queue.push(self.now + ends_after, ends);
        }
        for answer in answers {
            self.tell(answer.daemon, LINK + answer.after, answer.event);
        }
    }

    fn call_arrives(
        &mut self,
        daemon: usize,
        request: RequestKey,
        target: TargetKey,
        url: &str,
        key: Option<String>,
        call: ServiceCall,
    ) {
        let Some(service) = self.services.get_mut(url) else {
            return;
        };
        let (after, result) = service.call(key.as_deref(), &call);
        let event = Event::ServiceCallDone {
            request,
            target,
            result,
        };
        if let Some(after) = after {
            self.tell(daemon, LINK + after, event);
        }
    }
}
