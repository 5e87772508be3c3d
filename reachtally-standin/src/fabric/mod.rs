//! A deterministic simulation of daemons, engines, services and a log on a virtual clock.
//!
//! It fakes the core's interfaces for failure tests and experiments. All decisions are made by the
//! shipped core, and nothing depends on sockets, threads or real time. Events at the same instant
//! are handled in the order in which they were scheduled, so a run depends on its input only.

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

use self::queue::{Queue, ScheduledEvent};

pub use self::engine::{Behaviour, FakeEngine};
pub use self::log::FakeLog;
pub use self::node::{CallerResponse, End, Node};
pub use self::service::FakeService;

/// One-way latency of every link.
const LINK_LATENCY: Duration = Duration::from_micros(500);
/// Random seed of the first daemon; each further daemon uses the next number.
const SEED: u64 = 1;

/// A simulated fleet of daemons with their engines, services and log.
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
    /// The simulated log.
    pub log: FakeLog,
    /// Daemons that are partitioned from all other daemons.
    pub partitioned_daemons: BTreeSet<usize>,
    /// Orders sent so far: the daemon, the URL of the engine, the fencing token and the order.
    pub orders: Vec<(usize, String, u64, Order)>,
    domains: Vec<String>,
    queue: Queue,
}

impl Fabric {
    /// Creates a fabric of `daemons` daemons without declarations.
    pub fn new(daemons: usize, limits: &Limits) -> Self {
        let node = |index| Node::new(Incarnation(index as u64 + 1), SEED + index as u64, limits);
        let mut fabric = Fabric {
            now: Instant::ZERO,
            nodes: (0..daemons).map(node).collect(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            log: FakeLog::default(),
            partitioned_daemons: BTreeSet::new(),
            orders: Vec::new(),
            domains: Vec::new(),
            queue: Queue::default(),
        };
        for daemon in 0..daemons {
            fabric.handle(daemon, Event::ClaimsCaughtUp);
        }
        fabric
    }

    /// Publishes objects. Every daemon that reaches the log applies them immediately.
    pub fn declare(&mut self, objects: Vec<Object>) {
        let edits = self.log.folded().edits(objects);
        self.publish(edits);
    }

    /// Publishes edits as one operation.
    pub fn publish(&mut self, edits: Vec<Edit>) {
        let operation = Operation {
            id: format!("operation-{}", self.log.folded().next()),
            actor: "test".to_owned(),
            edits,
        };
        self.log.publish(operation);
        self.schedule_log_reads();
        self.run_until(self.now);
    }

    /// Sets or clears the drain flag of a target.
    pub fn drain(&mut self, kind: Kind, name: &str, drained: bool) {
        let base = self.log.folded().revision(kind, name);
        self.publish(vec![Edit {
            kind,
            name: name.to_owned(),
            base,
            change: EditChange::Drain(drained),
        }]);
    }

    /// Returns the configuration that results from the log.
    pub fn config(&self) -> &Config {
        self.log.folded()
    }

    /// Delivers a live list of box names and leaving flags to every daemon.
    pub fn set_live_list(&mut self, boxes: &[(&str, bool)]) {
        let statuses = boxes.iter().map(|(name, leaving)| BoxStatus {
            name: (*name).to_owned(),
            leaving: *leaving,
            peer: None,
        });
        let statuses: Vec<BoxStatus> = statuses.collect();
        for daemon in 0..self.nodes.len() {
            self.handle(daemon, Event::LiveListRead(statuses.clone()));
        }
    }

    /// Submits a request to a daemon.
    pub fn ask(&mut self, daemon: usize, request: NewRequest) -> RequestKey {
        let key = self.nodes[daemon].ask(request, self.now);
        self.run_effects(daemon);
        key
    }

    /// Passes an event to a daemon and applies the resulting effects.
    pub fn handle(&mut self, daemon: usize, event: Event) {
        self.nodes[daemon].handle(event, self.now);
        self.run_effects(daemon);
    }

    /// Replaces a daemon by a new incarnation that reads the log from the start.
    pub fn restart(&mut self, daemon: usize, incarnation: u64, limits: &Limits) {
        self.nodes[daemon] = Node::new(Incarnation(incarnation), incarnation, limits);
        self.queue.forget(daemon);
        self.schedule_log_reads();
        self.handle(daemon, Event::ClaimsCaughtUp);
        self.run_until(self.now);
    }

    /// Suspends a daemon until `until`; events that arrive meanwhile are delivered then.
    pub fn pause(&mut self, daemon: usize, until: Instant) {
        self.nodes[daemon].paused_until = until;
    }

    /// Runs the simulation until `until`.
    pub fn run_until(&mut self, until: Instant) {
        while let Some(at) = self.next_event_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.step();
        }
        self.now = self.now.max(until);
    }

    /// Runs the simulation for `time`.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    fn next_event_at(&self) -> Option<Instant> {
        let next_due = self.nodes.iter().filter_map(Node::next_due).min();
        match (self.queue.next_at(), next_due) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    fn step(&mut self) {
        if let Some(scheduled) = self.queue.pop(self.now) {
            return self.handle_scheduled(scheduled);
        }
        for daemon in 0..self.nodes.len() {
            if self.nodes[daemon]
                .next_due()
                .is_some_and(|at| at <= self.now)
            {
                self.run_effects(daemon);
            }
        }
    }

    fn handle_scheduled(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Deliver { daemon, event } => {
                let until = self.nodes[daemon].paused_until;
                if until > self.now {
                    self.queue
                        .push(until, ScheduledEvent::Deliver { daemon, event });
                } else {
                    self.handle(daemon, event);
                }
            }
            ScheduledEvent::BatchArrives {
                daemon,
                call,
                url,
                batch,
            } => self.batch_arrives(daemon, call, &url, batch),
            ScheduledEvent::IterationEnds { url } => self.iteration_ends(&url),
            ScheduledEvent::CallArrives {
                daemon,
                request,
                target,
                url,
                key,
                call,
            } => self.call_arrives(daemon, request, target, &url, key, call),
            ScheduledEvent::LogRead => self.schedule_log_reads(),
        }
    }

    /// Ticks a daemon and applies the effects, unless it is suspended.
    fn run_effects(&mut self, daemon: usize) {
        if self.nodes[daemon].paused_until > self.now {
            return;
        }
        for effect in self.nodes[daemon].tick(self.now) {
            self.apply_effect(daemon, effect);
        }
    }

    fn schedule_event(&mut self, daemon: usize, delay: Duration, event: Event) {
        self.queue
            .push(self.now + delay, ScheduledEvent::Deliver { daemon, event });
    }

    fn apply_effect(&mut self, daemon: usize, effect: Effect) {
        match effect {
            Effect::Steps {
                call,
                target,
                batch,
            } => {
                let url = self.nodes[daemon].url(target);
                let arrival = ScheduledEvent::BatchArrives {
                    daemon,
                    call,
                    url,
                    batch,
                };
                self.queue.push(self.now + LINK_LATENCY, arrival);
            }
            Effect::Call {
                request,
                target,
                call,
                key,
            } => {
                let url = self.nodes[daemon].url(target);
                let arrival = ScheduledEvent::CallArrives {
                    daemon,
                    request,
                    target,
                    url,
                    key,
                    call,
                };
                self.queue.push(self.now + LINK_LATENCY, arrival);
            }
            Effect::MoveKv {
                request,
                id,
                from,
                to,
            } => self.transfer_kv(daemon, request, id, (from, to)),
            Effect::Probe { target } => {
                let url = self.nodes[daemon].url(target);
                let engine_up = self.engines.get(&url).is_some_and(FakeEngine::is_reachable);
                let service_up = self.services.get(&url).is_some_and(|service| service.up);
                let up = engine_up || service_up;
                self.schedule_event(daemon, LINK_LATENCY * 2, Event::Probed { target, up });
            }
            Effect::Append { seq, record } => {
                let at_ms = self.now.elapsed().as_millis() as u64;
                let confirmed = self.log.append(daemon, at_ms, record);
                let delay = self.log.delay;
                self.schedule_event(
                    daemon,
                    LINK_LATENCY * 2 + delay,
                    Event::Appended { seq, confirmed },
                );
                self.queue
                    .push(self.now + LINK_LATENCY + delay, ScheduledEvent::LogRead);
            }
            Effect::Gossip { to, members } => {
                self.send_to_peer(daemon, &to, Event::Digest(members));
            }
            Effect::PushConfig { to, records } => {
                let event = Event::PeerConfig(PeerConfig::Records(records));
                self.send_to_peer(daemon, &to, event);
            }
            Effect::PullConfig { from, next } => self.pull_config(daemon, &from, next),
            Effect::Revalidate { nonce, peers, .. } => self.revalidate(daemon, nonce, &peers),
            Effect::AppendDomain(record) => {
                let at_ms = self.now.elapsed().as_millis() as u64;
                self.log.append_domain(daemon, at_ms, record);
                let delay = self.log.delay;
                self.schedule_event(daemon, LINK_LATENCY * 2 + delay, Event::DomainAppended);
                self.queue
                    .push(self.now + LINK_LATENCY + delay, ScheduledEvent::LogRead);
            }
            Effect::WriteSnapshot(config) => self.log.snapshots.push(*config),
            Effect::RequestReport { target } => self.request_report(daemon, target),
            Effect::Order {
                target,
                fence,
                order,
            } => self.order(daemon, target, fence, order),
            Effect::Deliver { .. } | Effect::Finish { .. } | Effect::Changed(_) => {}
        }
    }

    /// Schedules the delivery of unread records to every daemon that reaches the log.
    fn schedule_log_reads(&mut self) {
        for daemon in 0..self.nodes.len() {
            if self.log.cut.contains(&daemon) || self.log.down {
                continue;
            }
            let unread = self.log.unread(&mut self.nodes[daemon].read);
            let (config, claims, domains) = unread;
            if !domains.is_empty() {
                self.schedule_event(daemon, Duration::ZERO, Event::DomainsRead(domains));
            }
            if !config.is_empty() {
                self.schedule_event(daemon, Duration::ZERO, Event::ConfigRead(config));
            }
            if !claims.is_empty() {
                self.schedule_event(daemon, Duration::ZERO, Event::ClaimsRead(claims));
            }
        }
    }

    /// Ends outages of the log and partitions from it, and delivers unread records.
    pub fn reconnect_log(&mut self) {
        self.log.down = false;
        self.log.cut.clear();
        self.schedule_log_reads();
    }

    fn batch_arrives(&mut self, daemon: usize, call: CallKey, url: &str, batch: Batch) {
        let Some(engine) = self.engines.get_mut(url).filter(|engine| !engine.dead) else {
            let failure = CallFailure::NeverStarted(NeverStarted::ConnectFailed);
            return self.schedule_event(daemon, LINK_LATENCY, Event::StepsFailed { call, failure });
        };
        if engine.consume_refusal() {
            let failure = CallFailure::NeverStarted(NeverStarted::TargetSaidSo);
            return self.schedule_event(daemon, LINK_LATENCY, Event::StepsFailed { call, failure });
        }
        if let Some(ends_after) = engine.enqueue(daemon, call, batch) {
            let url = url.to_owned();
            let iteration_end = ScheduledEvent::IterationEnds { url };
            self.queue.push(self.now + ends_after, iteration_end);
        }
    }

    fn iteration_ends(&mut self, url: &str) {
        let Some(engine) = self.engines.get_mut(url) else {
            return;
        };
        let (answers, next) = engine.end_iteration();
        if let Some(ends_after) = next {
            let url = url.to_owned();
            let iteration_end = ScheduledEvent::IterationEnds { url };
            self.queue.push(self.now + ends_after, iteration_end);
        }
        for answer in answers {
            self.schedule_event(answer.daemon, LINK_LATENCY + answer.delay, answer.event);
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
        let (delay, result) = service.call(key.as_deref(), &call);
        let event = Event::ServiceCallDone {
            request,
            target,
            result,
        };
        if let Some(delay) = delay {
            self.schedule_event(daemon, LINK_LATENCY + delay, event);
        }
    }
}
