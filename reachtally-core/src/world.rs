//! The tables of a daemon, and the entry points that run the systems over them.

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
use crate::lease::{Domains, LocalLease};
use crate::member::{MemberState, Members};
use crate::request::{NewRequest, Progress, Request, Running};
use crate::retry::RetryBudget;
use crate::systems;
use crate::target::{Health, Target};
use crate::time::Instant;

/// Limits taken from the daemon's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Maximum number of bytes of stage inputs retained for replay, over all requests.
    pub replay_bytes: usize,
    /// Number of tokens buffered for a caller above which the request pauses.
    pub caller_window: u32,
    /// Maximum number of outstanding calls with single positions per engine.
    pub calls_per_engine: u32,
    /// Maximum number of outstanding calls with a span, such as a prompt, per engine.
    pub span_calls_per_engine: u32,
    /// Maximum number of steps per call.
    pub steps_per_call: usize,
    /// Minimum time between two appends of claims.
    pub append_interval: Duration,
    /// How long a claim is remembered, by the clock of the log. Must be shorter than the log's
    /// retention.
    pub claim_window: Duration,
    /// How long a request waits for its claim before it is refused as not run.
    pub claim_wait: Duration,
    /// How long a running request waits for an engine to replace a lost stage.
    pub replacement_wait: Duration,
    /// Number of generated tokens between two updates of a stage's standby; 0 disables standbys.
    pub standby_positions: u32,
    /// Assumed size of the KV of one layer and position, in bytes.
    pub kv_bytes: u32,
    /// Assumed bandwidth of the link to an engine, in bytes per second.
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

/// A step within an outstanding call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentStep {
    /// The request.
    pub request: RequestKey,
    /// Number of positions, or 0 if only the engine can determine it.
    pub positions: u32,
    /// The purpose of the step.
    pub purpose: StepPurpose,
}

/// The purpose of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepPurpose {
    /// Advance the request.
    Forward,
    /// Extend the KV of the standby of `stage` to the positions below `end`.
    Standby {
        /// Index of the stage.
        stage: usize,
        /// One past the last position.
        end: u32,
    },
}

/// The kind of payload of a call to an engine. The number of outstanding calls is limited
/// separately for each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    /// Single positions of any number of requests, or only releases.
    Singles,
    /// A span of positions of one request.
    Span,
}

/// A call to an engine that has not been answered yet.
#[derive(Debug)]
pub struct Call {
    /// The engine.
    pub target: TargetKey,
    /// The steps in the call.
    pub steps: Vec<SentStep>,
    /// When the call was sent.
    pub sent_at: Instant,
    /// Whether the call carries single positions or a span.
    pub load: Load,
}

/// A row of the account table.
#[derive(Debug)]
pub struct Account {
    /// The declared account.
    pub declared: crate::declare::Account,
    /// Number of requests that are running or waiting.
    pub running: u32,
}

/// The purpose of a timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Time-out of a call.
    Call(CallKey),
    /// Deadline of a request.
    Deadline(RequestKey),
    /// Time-out of a request's wait for its claim.
    ClaimWait(RequestKey),
    /// Time-out of a request's wait for a replacement engine.
    Replacement(RequestKey),
    /// Next probe of a suspected target.
    Probe(TargetKey),
    /// Next retry of a service call.
    Retry(RequestKey),
    /// Next append of claims.
    Append,
    /// Next gossip digest.
    Gossip,
    /// Next round of the steward.
    Steward,
}

/// State that decisions on requests depend on. See [`World::decision_state`].
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

/// The tables of one daemon.
#[derive(Debug)]
pub struct World {
    /// Limits from the settings.
    pub limits: Limits,
    /// Identity of this daemon run.
    pub incarnation: Incarnation,
    /// Counters exported as metrics.
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
    pub(crate) recent_records: VecDeque<Read<Operation>>,
    pub(crate) last_snapshot_offset: u64,
    pub(crate) domains: Domains,
    pub(crate) local_lease: LocalLease,
    pub(crate) confirm_sent_offset: u64,
    pub(crate) last_tick: Instant,
    pub(crate) revalidation: Option<systems::gossip::Revalidation>,
    pub(crate) dirty: Vec<TargetKey>,
    pub(crate) parked: Vec<RequestKey>,
    pub(crate) standby_due: Vec<RequestKey>,
    pub(crate) replay_buffer_bytes: usize,
    pub(crate) budget: RetryBudget,
    pub(crate) stopping: bool,
    pub(crate) rng: ChaCha8Rng,
    timers: BinaryHeap<Reverse<(Instant, Timer)>>,
}

impl World {
    /// Create an empty world for one daemon run. `seed` seeds every random choice.
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
            recent_records: VecDeque::new(),
            last_snapshot_offset: 0,
            domains: Domains::default(),
            local_lease: LocalLease::default(),
            confirm_sent_offset: 0,
            last_tick: Instant::ZERO,
            revalidation: None,
            dirty: Vec::new(),
            parked: Vec::new(),
            standby_due: Vec::new(),
            replay_buffer_bytes: 0,
            budget: RetryBudget::default(),
            stopping: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
            timers: BinaryHeap::new(),
        }
    }

    /// Submit a new request. The returned key identifies the request in all effects, including a
    /// refusal already pushed to `out`.
    pub fn ask(&mut self, request: NewRequest, now: Instant, out: &mut Effects) -> RequestKey {
        systems::gossip::detect_pause(self, now, out);
        systems::admit::submit(self, request, now, out)
    }

    /// Process one event.
    pub fn handle(&mut self, event: Event, now: Instant, out: &mut Effects) {
        systems::gossip::detect_pause(self, now, out);
        match event {
            Event::Consumed { request, tokens } => systems::deliver::resume(self, request, tokens),
            Event::Disconnected(request) => systems::finish::disconnected(self, request, out),
            Event::StepsDone { call, results } => {
                systems::accept::steps_done(self, call, results, now, out);
            }
            Event::StepsFailed { call, failure } => {
                systems::failover::call_failed(self, call, failure, now, out);
            }
            Event::ServiceCallDone {
                request,
                target,
                result,
            } => systems::service::call_done(self, request, target, result, now, out),
            Event::KvMoved {
                request,
                to,
                positions,
            } => systems::relocate::kv_moved(self, request, to, positions, now, out),
            Event::Probed { target, up } => systems::health::probed(self, target, up, now, out),
            Event::Appended { seq, confirmed } => systems::claims::appended(self, seq, confirmed),
            Event::ClaimsRead(records) => systems::claims::read(self, &records, now, out),
            Event::ClaimsGap => self.claims_ready = false,
            Event::ClaimLogRestored => systems::claims::log_restored(self, out),
            Event::ClaimsCaughtUp => self.claims_ready = true,
            Event::ConfigRead(records) => systems::configure::read(self, &records, now, out),
            Event::Revalidated(nonce) => systems::gossip::revalidated(self, nonce),
            Event::DomainsRead(records) => systems::steward::read(self, &records, now),
            Event::DomainAppended => systems::steward::appended(self),
            Event::Digest(members) => systems::gossip::digest(self, members, now, out),
            Event::PeerConfig(config) => systems::gossip::peer_config(self, config, now, out),
            Event::TargetReport { target, report } => {
                systems::steward::reported(self, target, &report, now, out);
            }
            Event::LiveListRead(boxes) => systems::configure::list_read(self, &boxes, now, out),
            Event::Stop => self.stopping = true,
        }
    }

    /// Return the engines of the chain that a request for `model` would be assigned now.
    pub fn choose_chain(&mut self, model: &str) -> Option<Vec<TargetKey>> {
        let layers = self.config.served(model)?.model.layers;
        let engines = self.engines.get(model)?;
        let chosen = chain::choose(engines, &self.targets, layers, &mut self.rng).ok()?;
        Some(chosen.into_iter().map(|stage| stage.target).collect())
    }

    /// Join the failure domain as `me`, and start competing for its lease.
    pub fn join(&mut self, me: MemberState, now: Instant) {
        systems::gossip::join(self, me, now);
        self.start_timer(now, Timer::Steward);
    }

    /// Run everything that is due: expired timers, then appends, then dispatch.
    pub fn tick(&mut self, now: Instant, out: &mut Effects) {
        systems::gossip::detect_pause(self, now, out);
        while let Some(timer) = self.pop_due(now) {
            systems::timers::fire(self, timer, now, out);
        }
        systems::claims::append(self, now, out);
        systems::standby::run(self, now, out);
        systems::dispatch::run(self, now, out);
    }

    /// Return the time at which the next timer expires.
    pub fn next_due(&self) -> Option<Instant> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Iterate over the other live daemons of the failure domain.
    pub fn live_members(&self, now: Instant) -> impl Iterator<Item = &MemberState> {
        self.members.live(now)
    }

    /// The state of this daemon as advertised by gossip.
    pub fn me(&self) -> &MemberState {
        &self.members.me
    }

    /// Whether this daemon should tail the log closely, as of the last gossip round.
    pub fn is_reader(&self) -> bool {
        self.reader
    }

    /// Return the records, or a snapshot, that a peer needs after folding the records below `next`.
    pub fn config_for(&self, next: u64) -> systems::gossip::PeerConfig {
        systems::gossip::config_for(self, next)
    }

    /// The state of all failure domains as recorded in the log.
    pub fn domains(&self) -> &Domains {
        &self.domains
    }

    /// Whether this daemon currently holds the lease of its failure domain.
    pub fn is_steward(&self, now: Instant) -> bool {
        self.local_lease.is_held(now, Duration::ZERO)
    }

    /// Whether there are no requests.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of bytes of stage inputs retained for replay.
    pub fn replay_buffer_bytes(&self) -> usize {
        self.replay_buffer_bytes
    }

    /// Number of keys known from the claim stream.
    pub fn claims_known(&self) -> usize {
        self.claims.len()
    }

    /// Name of the engine that serves a stage of a running request.
    pub fn serving(&self, request: RequestKey, stage: usize) -> Option<&str> {
        let Progress::Running(running) = &self.requests.get(request)?.progress else {
            return None;
        };
        let target = running.chain.get(stage)?.target;
        Some(self.targets.get(target)?.name.as_str())
    }

    /// The call and the attempt that a running request awaits.
    pub fn awaited_call(&self, request: RequestKey) -> Option<(CallKey, u32)> {
        let Progress::Running(running) = &self.requests.get(request)?.progress else {
            return None;
        };
        let call = running.awaited.as_ref()?.call?;
        Some((call, running.attempt))
    }

    /// The state that future decisions on requests depend on, for comparing states in a model
    /// checker. Excludes counters, latency estimates and the state of the random number generator.
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

    /// Look up a target by name.
    pub fn target_named(&self, name: &str) -> Option<TargetKey> {
        self.target_by_name.get(name).copied()
    }

    /// Whether every claim of the claim window is known, so that keyed requests are accepted.
    pub fn claims_ready(&self) -> bool {
        self.claims_ready
    }

    /// Iterate over the boxes of the live list and whether each is leaving. Empty until the list
    /// has been read.
    pub fn boxes(&self) -> impl Iterator<Item = (&str, bool)> {
        let boxes = self.boxes.iter().flatten();
        boxes.map(|(name, leaving)| (name.as_str(), *leaving))
    }

    /// Number of running or waiting requests of the account `name`.
    pub fn running_requests(&self, name: &str) -> u32 {
        let key = self.account_by_name.get(name);
        key.map_or(0, |key| self.accounts[*key].running)
    }

    /// Return a running completion.
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
