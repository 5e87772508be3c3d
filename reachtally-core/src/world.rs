//! The tables, and the entry points that run the systems over them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::chain::{self, Group};
use crate::claim::{Claims, Outbox, Waiting};
use crate::counters::Counters;
use crate::effect::Effects;
use crate::event::{Event, Read};
use crate::fold::{Config, Operation};
use crate::ids::{AccountKey, CallKey, Incarnation, RequestKey, TargetKey};
use crate::lease::{Domains, Tenure};
use crate::member::{MemberState, Members};
use crate::request::{Ask, Progress, Request, Running};
use crate::retry::Budget;
use crate::systems;
use crate::target::{Health, Target};
use crate::time::Instant;

/// Bounds that the daemon's settings give.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Bytes of stage inputs kept for replay, over all requests.
    pub replay_bytes: usize,
    /// Tokens that a caller's stream may hold before its request pauses.
    pub caller_window: u32,
    /// Calls with single positions outstanding at one engine.
    pub calls_per_engine: u32,
    /// Calls with a span, such as a prompt, outstanding at one engine.
    pub span_calls_per_engine: u32,
    /// Steps in one call.
    pub steps_per_call: usize,
    /// Time between two appends of claims.
    pub append_interval: Duration,
    /// How long a claim is remembered, by the log's clock. Shorter than the log's retention.
    pub claim_window: Duration,
    /// How long a request waits for its claim before it is refused as not run.
    pub claim_wait: Duration,
    /// How long a running request waits for an engine to replace a lost stage.
    pub replacement_wait: Duration,
    /// Accepted positions after which a stage's standby is brought up; 0 for no standbys.
    pub standby_positions: u32,
    /// Bytes of KV assumed for each layer and position.
    pub kv_bytes: u32,
    /// Bytes a second assumed on the link to an engine.
    pub link_rate: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            replay_bytes: 16 << 20,
            caller_window: 64,
            calls_per_engine: 4,
            span_calls_per_engine: 16,
            steps_per_call: 256,
            append_interval: Duration::from_millis(50),
            claim_window: Duration::from_secs(3600),
            claim_wait: Duration::from_secs(5),
            replacement_wait: Duration::from_secs(10),
            standby_positions: 64,
            kv_bytes: 4096,
            link_rate: 100e6,
        }
    }
}

/// One step within an outstanding call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    /// The request.
    pub request: RequestKey,
    /// Number of positions, 0 while only the engine knows it.
    pub positions: u32,
    /// What the step is for.
    pub purpose: Purpose,
}

/// What a step is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The request goes on with its result.
    Forward,
    /// The standby of `stage` is to cover the positions below `end`.
    Standby {
        /// Index of the stage.
        stage: usize,
        /// One past the last position.
        end: u32,
    },
}

/// What a call to an engine carries; each kind has a bound of its own on calls outstanding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    /// Single positions of any number of requests, or releases only.
    Singles,
    /// A span of one request.
    Span,
}

/// A call to an engine that has not been answered.
#[derive(Debug)]
pub struct Call {
    /// The engine.
    pub target: TargetKey,
    /// The steps sent.
    pub steps: Vec<Sent>,
    /// When it was sent.
    pub sent_at: Instant,
    /// Whether it carries single positions or a span.
    pub load: Load,
}

/// A client account's row.
#[derive(Debug)]
pub struct Account {
    /// What was declared.
    pub declared: crate::declare::Account,
    /// Requests running or waiting.
    pub running: u32,
}

/// What a timer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A call counts as lost.
    Call(CallKey),
    /// A request's deadline.
    Deadline(RequestKey),
    /// A request has waited long enough for its claim.
    ClaimWait(RequestKey),
    /// A request has waited long enough for a replacement.
    Replacement(RequestKey),
    /// A suspected target is to be probed.
    Probe(TargetKey),
    /// A service call is to be sent again.
    Retry(RequestKey),
    /// Claims may be appended.
    Append,
    /// A digest is to be sent.
    Gossip,
    /// A round of the steward.
    Steward,
}

/// See [`World::decision_state`].
#[derive(Debug)]
#[allow(dead_code, reason = "read by its Debug text only")]
pub struct DecisionState<'a> {
    requests: Vec<(RequestKey, &'a Request)>,
    calls: Vec<(CallKey, &'a Call)>,
    claims: &'a Claims,
    outbox: &'a Outbox,
    waiting: &'a Waiting,
    parked: &'a [RequestKey],
    health: Vec<Health>,
}

/// All tables of one daemon.
#[derive(Debug)]
pub struct World {
    /// Bounds.
    pub limits: Limits,
    /// This daemon run.
    pub incarnation: Incarnation,
    /// What was counted.
    pub counters: Counters,
    /// Engines and service instances.
    pub targets: SlotMap<TargetKey, Target>,
    /// Requests that have not ended.
    pub requests: SlotMap<RequestKey, Request>,
    /// Calls outstanding at engines.
    pub calls: SlotMap<CallKey, Call>,
    /// Client accounts.
    pub accounts: SlotMap<AccountKey, Account>,
    /// The declared configuration.
    pub config: Config,
    pub(crate) target_by_name: BTreeMap<String, TargetKey>,
    pub(crate) account_by_name: BTreeMap<String, AccountKey>,
    pub(crate) engines: BTreeMap<String, Vec<Group>>,
    pub(crate) instances: BTreeMap<String, Vec<TargetKey>>,
    pub(crate) boxes: Option<BTreeMap<String, bool>>,
    pub(crate) claims: Claims,
    pub(crate) claims_ready: bool,
    pub(crate) outbox: Outbox,
    pub(crate) waiting: Waiting,
    pub(crate) members: Members,
    pub(crate) reader: bool,
    pub(crate) recent: VecDeque<Read<Operation>>,
    pub(crate) snapshot_next: u64,
    pub(crate) domains: Domains,
    pub(crate) tenure: Tenure,
    pub(crate) confirm_sent: u64,
    pub(crate) last_tick: Instant,
    pub(crate) revalidation: Option<systems::gossip::Revalidation>,
    pub(crate) dirty: Vec<TargetKey>,
    pub(crate) parked: Vec<RequestKey>,
    pub(crate) standby_due: Vec<RequestKey>,
    pub(crate) kept_bytes: usize,
    pub(crate) budget: Budget,
    pub(crate) stopping: bool,
    pub(crate) rng: ChaCha8Rng,
    timers: BinaryHeap<Reverse<(Instant, Timer)>>,
}

impl World {
    /// An empty world for one daemon run; `seed` drives every random choice.
    pub fn new(incarnation: Incarnation, seed: u64, limits: Limits) -> Self {
        World {
            limits,
            incarnation,
            counters: Counters::default(),
            targets: SlotMap::with_key(),
            requests: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            accounts: SlotMap::with_key(),
            config: Config::default(),
            target_by_name: BTreeMap::new(),
            account_by_name: BTreeMap::new(),
            engines: BTreeMap::new(),
            instances: BTreeMap::new(),
            boxes: None,
            claims: Claims::default(),
            claims_ready: false,
            outbox: Outbox::default(),
            waiting: Waiting::default(),
            members: Members::default(),
            reader: true,
            recent: VecDeque::new(),
            snapshot_next: 0,
            domains: Domains::default(),
            tenure: Tenure::default(),
            confirm_sent: 0,
            last_tick: Instant::ZERO,
            revalidation: None,
            dirty: Vec::new(),
            parked: Vec::new(),
            standby_due: Vec::new(),
            kept_bytes: 0,
            budget: Budget::default(),
            stopping: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
            timers: BinaryHeap::new(),
        }
    }

    /// A caller asks. The row returned names the request in all effects, also in a refusal that
    /// `out` holds already.
    pub fn ask(&mut self, ask: Ask, now: Instant, out: &mut Effects) -> RequestKey {
        systems::gossip::notice_pause(self, now, out);
        systems::admit::ask(self, ask, now, out)
    }

    /// Take one event.
    pub fn handle(&mut self, event: Event, now: Instant, out: &mut Effects) {
        systems::gossip::notice_pause(self, now, out);
        match event {
            Event::Drained { request, tokens } => systems::deliver::drained(self, request, tokens),
            Event::HungUp(request) => systems::finish::hung_up(self, request, out),
            Event::StepsDone { call, results } => {
                systems::accept::steps_done(self, call, results, now, out);
            }
            Event::StepsFailed { call, failure } => {
                systems::shift::call_failed(self, call, failure, now, out);
            }
            Event::Called {
                request,
                target,
                result,
            } => systems::service::called(self, request, target, result, now, out),
            Event::KvMoved {
                request,
                to,
                positions,
            } => systems::relocate::moved(self, request, to, positions, now, out),
            Event::Probed { target, up } => systems::health::probed(self, target, up, now, out),
            Event::Appended { seq, confirmed } => systems::claims::appended(self, seq, confirmed),
            Event::ClaimsRead(records) => systems::claims::read(self, &records, now, out),
            Event::ClaimsGap => self.claims_ready = false,
            Event::ClaimsReturned => systems::claims::returned(self, out),
            Event::ClaimsCaughtUp => self.claims_ready = true,
            Event::ConfigRead(records) => systems::configure::read(self, &records, now, out),
            Event::Revalidated(nonce) => systems::gossip::revalidated(self, nonce),
            Event::DomainsRead(records) => systems::steward::read(self, &records, now),
            Event::DomainAppended => systems::steward::appended(self),
            Event::Digest(members) => systems::gossip::digest(self, members, now, out),
            Event::PeerConfig(config) => systems::gossip::peer_config(self, config, now, out),
            Event::Reported { target, report } => {
                systems::steward::reported(self, target, &report, now, out);
            }
            Event::ListRead(boxes) => systems::configure::list_read(self, &boxes, now, out),
            Event::Stop => self.stopping = true,
        }
    }

    /// The chain that a request for `model` would get now, as the engines' rows.
    pub fn choose_chain(&mut self, model: &str) -> Option<Vec<TargetKey>> {
        let layers = self.config.served(model)?.model.layers;
        let engines = self.engines.get(model)?;
        let chosen = chain::choose(engines, &self.targets, layers, &mut self.rng).ok()?;
        Some(chosen.into_iter().map(|stage| stage.target).collect())
    }

    /// Take part in the failure domain, as this member and, at times, as its steward.
    pub fn join(&mut self, me: MemberState, now: Instant) {
        systems::gossip::join(self, me, now);
        self.start_timer(now, Timer::Steward);
    }

    /// Run what is due: timers, then appends, then dispatch.
    pub fn tick(&mut self, now: Instant, out: &mut Effects) {
        systems::gossip::notice_pause(self, now, out);
        while let Some(timer) = self.pop_due(now) {
            systems::timers::fire(self, timer, now, out);
        }
        systems::claims::append(self, now, out);
        systems::standby::run(self, now, out);
        systems::dispatch::run(self, now, out);
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Instant> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// The other daemons of the failure domain that are live.
    pub fn live_members(&self, now: Instant) -> impl Iterator<Item = &MemberState> {
        self.members.live(now)
    }

    /// What this daemon tells of itself.
    pub fn me(&self) -> &MemberState {
        &self.members.me
    }

    /// Whether this daemon is to follow the log closely, as of the last round of gossip.
    pub fn is_reader(&self) -> bool {
        self.reader
    }

    /// What a daemon that has folded the configuration records below `next` lacks.
    pub fn config_for(&self, next: u64) -> systems::gossip::PeerConfig {
        systems::gossip::config_for(self, next)
    }

    /// What the log says of the failure domains.
    pub fn domains(&self) -> &Domains {
        &self.domains
    }

    /// Whether this daemon is the steward of its domain now.
    pub fn is_steward(&self, now: Instant) -> bool {
        self.tenure.is_held(now, Duration::ZERO)
    }

    /// Whether no request is left.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Bytes of stage inputs kept for replay.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Keys known from the claim stream.
    pub fn claims_known(&self) -> usize {
        self.claims.len()
    }

    /// The engine that serves a stage of a running request.
    pub fn serving(&self, request: RequestKey, stage: usize) -> Option<&str> {
        let Progress::Running(running) = &self.requests.get(request)?.progress else {
            return None;
        };
        let target = running.chain.get(stage)?.target;
        Some(self.targets.get(target)?.name.as_str())
    }

    /// The call and attempt that a running request awaits.
    pub fn awaited_call(&self, request: RequestKey) -> Option<(CallKey, u32)> {
        let Progress::Running(running) = &self.requests.get(request)?.progress else {
            return None;
        };
        let call = running.awaited.as_ref()?.call?;
        Some((call, running.attempt))
    }

    /// What the future decisions on requests depend on, for comparing states in a model check.
    /// Counters, estimates of time and the generator's state are left out.
    pub fn decision_state(&self) -> DecisionState<'_> {
        DecisionState {
            requests: self.requests.iter().collect(),
            calls: self.calls.iter().collect(),
            claims: &self.claims,
            outbox: &self.outbox,
            waiting: &self.waiting,
            parked: &self.parked,
            health: self.targets.values().map(|target| target.health).collect(),
        }
    }

    /// The row of the target called `name`.
    pub fn target_named(&self, name: &str) -> Option<TargetKey> {
        self.target_by_name.get(name).copied()
    }

    /// Whether every claim of the claim window is known, so that keyed requests are taken.
    pub fn claims_ready(&self) -> bool {
        self.claims_ready
    }

    /// The boxes of the live list and whether each is leaving; none before it was read.
    pub fn boxes(&self) -> impl Iterator<Item = (&str, bool)> {
        let boxes = self.boxes.iter().flatten();
        boxes.map(|(name, leaving)| (name.as_str(), *leaving))
    }

    /// Requests that the account called `name` has running or waiting.
    pub fn running_of(&self, name: &str) -> u32 {
        let key = self.account_by_name.get(name);
        key.map_or(0, |key| self.accounts[*key].running)
    }

    /// A running completion.
    pub(crate) fn running(&mut self, request: RequestKey) -> Option<&mut Running> {
        self.requests.get_mut(request)?.running()
    }

    pub(crate) fn start_timer(&mut self, at: Instant, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }

    pub(crate) fn mark_dirty(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key)
            && !target.dirty
        {
            target.dirty = true;
            self.dirty.push(key);
        }
    }

    fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        let Reverse((at, _)) = self.timers.peek()?;
        if *at > now {
            return None;
        }
        self.timers.pop().map(|Reverse((_, timer))| timer)
    }
}
