//! The relay's state, shared by its connections and loops on one thread.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use reachtally_clock::Clock;
use reachtally_core::Instant;
use reachtally_core::forward::budget::BudgetBounds;
use reachtally_core::forward::changes::Changes;
use reachtally_core::forward::era::{Era, Eras, Generation, Position};
use reachtally_core::forward::fleet::{EngineKey, Fleet};
use reachtally_core::forward::loads::RemoteLoads;
use reachtally_core::forward::peers::{self, Member};
use reachtally_core::forward::readers::View;
use reachtally_core::forward::routes::Service;
use reachtally_core::forward::select;
use reachtally_core::forward::stall::Progress;
use reachtally_core::forward::tally::Tally;
use reachtally_core::ids::Incarnation;
use reachtally_protocol::packed;
use tokio::sync::watch;

use crate::admission::Admission;
use crate::configuration::Configuration;
use crate::connections::Connections;
use crate::lifecycle::Lifecycle;
use crate::limits::LimitState;
use crate::metrics::Times;
use crate::occupied::OpenConnection;
use crate::quarantine::Suspicion;
use crate::rhythm::Rhythm;
use crate::second_sends::SecondSends;
use crate::share::Pages;
use crate::shares::ShareState;
use crate::slow_engines::SlowEngines;
use crate::stream::Pool;
use crate::targets::DomainChecks;
use crate::wire::Wire;

/// Bounds and identity of this box.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Failure domains that there are, 0 if that is not known.
    pub domains: usize,
    /// Its address.
    pub ip: IpAddr,
    /// Bandwidth of its link, in Mbit/s; 0 if it is not known.
    pub link_mbps: u32,
    /// Memory that this process may use, in bytes. A part of it is for streams that are read ahead of their callers.
    pub memory: u64,
    /// Whether the whole system starts for the first time, so that the store keeps nothing of an earlier run.
    pub is_first_start: bool,
    /// Boxes that may be asked before the group is known; they may be gone.
    pub seeds: Vec<IpAddr>,
    /// Time for which a configuration counts as the newest after it was confirmed; `None` if keys
    /// need not stop working on a box that is cut off.
    pub revoke_within: Option<Duration>,
    /// Bounds of second sends.
    pub budget: BudgetBounds,
    /// Time between SIGTERM and the end of the process.
    pub grace: Duration,
    /// Time in which a change of the configuration must be in force.
    pub apply_within: Duration,
    /// Time after which a target that is leaving must get no requests.
    pub drain_within: Duration,
}

/// The shared state.
pub struct Relay {
    /// See [`Settings`].
    pub settings: RefCell<Settings>,
    /// Encodes and decodes heads.
    pub wire: Box<dyn Wire>,
    /// The configuration in force.
    pub configuration: Configuration,
    /// How far this box is in its life.
    pub lifecycle: Lifecycle,
    /// The targets.
    pub fleet: RefCell<Fleet>,
    /// Connections to engines that may be used again.
    pub(crate) connections: Connections,
    /// Progress of engines.
    pub progress: RefCell<Progress>,
    /// The other boxes' loads.
    pub remote_loads: RefCell<RemoteLoads>,
    /// Boxes in the group.
    pub members: RefCell<Vec<Member>>,
    /// Failure domains that may be unreachable.
    pub(crate) domain_checks: DomainChecks,
    /// Generation of the group that these boxes are of.
    group_generation: Cell<Generation>,
    second_sends: SecondSends,
    held: Cell<Duration>,
    direct: watch::Sender<bool>,
    slow_engines: SlowEngines,
    /// Requests under which targets ended.
    pub(crate) suspicion: Suspicion,
    /// Rate limits of targets.
    pub(crate) limits: LimitState,
    /// Admission by rank.
    pub(crate) admission: Admission,
    /// Rates and shares of client accounts.
    pub(crate) shares: ShareState,
    /// What is read of streams ahead of their callers.
    pub(crate) read_ahead: Arc<Pool>,
    news: watch::Sender<()>,
    /// Rows of targets that were last found to have started again, or to be dead.
    pub(crate) runs_ended: watch::Sender<Vec<EngineKey>>,
    /// Whether this box is the one of its failure domain that should read the store.
    pub is_reader: Cell<bool>,
    /// When the read of the targets began that what is held goes back to.
    pub targets_read: Cell<Option<Instant>>,
    /// Position in the store up to which the targets are known; it never falls, so that neither an answer
    /// of the store nor another box sets them back. The least before the first.
    pub targets_end: Cell<Position>,
    /// The store's era, and when it came back from a copy.
    pub eras: Cell<Eras>,
    /// The last era in which the operator was seen to write a configuration.
    pub(crate) configured_in: Cell<Option<Era>>,
    /// Whether this box's own reads of the store fail.
    pub store_away: Cell<bool>,
    /// What is counted.
    pub tally: Cell<Tally>,
    /// Times of requests.
    pub times: Times,
    /// Changes of targets, for other boxes.
    pub changes: RefCell<Changes>,
    /// What was lately told of them.
    pub(crate) pages: RefCell<Pages>,
    clock: Clock,
}

/// Longest time between two looks whether a request is due.
const LOOK_AT_TIME: Duration = Duration::from_secs(1);
/// Time that a request is assumed to run before the first one has ended.
const HELD_ASSUMED: Duration = Duration::from_secs(3);
/// Weight of a request in the running mean of that time.
const HELD_WEIGHT: f64 = 0.03;
/// Least mean, in seconds, so that rates stay finite.
const LEAST_HELD: f64 = 0.2;
/// Boxes assumed before the first count: a small share of the budget is the safe side.
const BOXES_ASSUMED: u32 = 64;
/// Time after the start for which a smaller count is not believed: others start too, and a collector first
/// hears only itself.
const COUNT_SETTLED: Duration = Duration::from_secs(4);

impl Relay {
    /// A relay that knows no configuration and no targets yet, on the runtime's clock alone.
    pub fn new(settings: Settings, wire: Box<dyn Wire>) -> Self {
        Relay::with_clock(settings, wire, Clock::of_runtime())
    }

    /// The same on this clock.
    pub fn with_clock(settings: Settings, wire: Box<dyn Wire>, clock: Clock) -> Self {
        Relay {
            settings: RefCell::new(settings),
            wire,
            configuration: Configuration::default(),
            lifecycle: Lifecycle::default(),
            fleet: RefCell::default(),
            connections: Connections::default(),
            progress: RefCell::default(),
            remote_loads: RefCell::default(),
            members: RefCell::default(),
            domain_checks: DomainChecks::default(),
            group_generation: Cell::default(),
            second_sends: SecondSends::default(),
            held: Cell::new(HELD_ASSUMED),
            direct: watch::Sender::new(false),
            slow_engines: SlowEngines::default(),
            suspicion: Suspicion::default(),
            limits: LimitState::default(),
            admission: Admission::default(),
            shares: ShareState::default(),
            read_ahead: Arc::default(),
            news: watch::Sender::new(()),
            runs_ended: watch::Sender::default(),
            is_reader: Cell::new(true),
            targets_read: Cell::default(),
            targets_end: Cell::default(),
            eras: Cell::default(),
            configured_in: Cell::default(),
            store_away: Cell::default(),
            tally: Cell::default(),
            times: Times::default(),
            changes: RefCell::default(),
            pages: RefCell::default(),
            clock,
        }
    }

    /// How often the store is read, and how old what others tell may be.
    pub fn rhythm(&self) -> Rhythm {
        Rhythm::of(&self.settings.borrow())
    }

    /// The time for decisions.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The runtime's form of `at`, for timers.
    pub fn timer(&self, at: Instant) -> tokio::time::Instant {
        self.clock.timer(at)
    }

    /// What `work` yields, if that is before `due`. It looks at the time now and then, since a timer leaves out what the machine
    /// is suspended for.
    pub(crate) async fn until_due<T>(
        &self,
        due: Instant,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let mut work = std::pin::pin!(work);
        loop {
            let look_at = due.min(self.now() + LOOK_AT_TIME);
            match tokio::time::timeout_at(self.timer(look_at), &mut work).await {
                Ok(done) => return Some(done),
                Err(_) if self.now() >= due => return None,
                Err(_) => {}
            }
        }
    }

    /// Put a configuration in force as it was published, unless the one held is as new.
    ///
    /// # Errors
    /// What is wrong with it; the one held stays.
    pub fn publish(&self, raw: &Bytes) -> Result<(), String> {
        self.publish_with(raw, || packed::pack(raw))
    }

    /// The same for a configuration in its packed form, as other boxes pass it on.
    ///
    /// # Errors
    /// What is wrong with it; the one held stays.
    pub fn publish_packed(&self, packed: &Bytes) -> Result<(), String> {
        let raw = packed::unpack(packed).map_err(|err| err.to_string())?;
        self.publish_with(&raw, || Ok(packed.clone()))
    }

    fn publish_with(
        &self,
        raw: &Bytes,
        packed: impl FnOnce() -> std::io::Result<Bytes>,
    ) -> Result<(), String> {
        let table = self.wire.config(raw)?;
        if self.configuration.replace(table, packed)? {
            self.count(|tally| tally.configurations_applied += 1);
            self.touched();
        }
        Ok(())
    }

    /// Whether this box reads the store itself.
    pub fn set_direct(&self, direct: bool) {
        let is_news = self
            .direct
            .send_if_modified(|held| std::mem::replace(held, direct) != direct);
        if is_news {
            log::info!(event = "reads-store", direct = direct; "where the configuration and the targets come from changed");
        }
    }

    /// Wait until this box reads the store itself, which it does not before [`Relay::set_direct`] says so.
    pub async fn until_direct(&self) {
        let mut direct = self.direct.subscribe();
        // The sender lives as long as this value, so the wait ends only when it is so.
        if direct.wait_for(|direct| *direct).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Whether this box reads the store itself at present.
    pub fn is_direct(&self) -> bool {
        *self.direct.borrow()
    }

    /// Generation of the group that the boxes known are of; the least before the first count.
    pub fn group_generation(&self) -> Generation {
        self.group_generation.get()
    }

    /// Take over a first count, which may lack boxes that have just started. It only tells whom to ask.
    pub fn set_first_members(&self, members: Vec<Member>) {
        if self.members.borrow().is_empty() {
            self.members.replace(members);
        }
    }

    /// Take over the boxes of the group as of `generation`, unless those known are as new.
    pub fn set_members(&self, members: Vec<Member>, generation: Generation) {
        if generation <= self.group_generation.get() {
            return;
        }
        self.group_generation.set(generation);
        let before = self.members.replace(members).len();
        let boxes = self.members.borrow().len();
        if before != boxes {
            log::info!(event = "boxes", boxes = boxes, before = before, generation = generation.number, era = generation.era.0; "the number of boxes changed");
        }
        self.touched();
    }

    /// Look at the group as run `run` of this box sees it, without the boxes to `avoid`.
    pub(crate) fn look<T>(
        &self,
        run: Incarnation,
        avoid: &[IpAddr],
        look: impl FnOnce(&View<'_>) -> T,
    ) -> T {
        let members = self.members.borrow();
        self.look_at(&members, run, avoid, look)
    }

    /// The same for a list of members that is not the one held.
    pub(crate) fn look_at<T>(
        &self,
        members: &[Member],
        run: Incarnation,
        avoid: &[IpAddr],
        look: impl FnOnce(&View<'_>) -> T,
    ) -> T {
        let settings = self.settings.borrow();
        look(&View {
            members,
            home: &settings.domain,
            run,
            ip: settings.ip,
            seeds: &settings.seeds,
            avoid,
            stale: &[],
            is_young: false,
            is_sound: true,
        })
    }

    /// Engines that may be slow: a stream over them is.
    pub fn note_slow(&self, engines: &[EngineKey]) {
        self.slow_engines.add(engines);
    }

    /// Engines that may be slow, for the one who asks them.
    pub fn slow_engines(&self) -> SlowEngines {
        self.slow_engines.clone()
    }

    /// Follow the changes that other boxes must hear of.
    pub fn news(&self) -> watch::Receiver<()> {
        self.news.subscribe()
    }

    pub(crate) fn touched(&self) {
        self.news.send_replace(());
    }

    /// Count something.
    pub fn count(&self, count: impl FnOnce(&mut Tally)) {
        let mut tally = self.tally.get();
        count(&mut tally);
        self.tally.set(tally);
    }

    /// Note that the targets are those of a read which began at `began` and went up to `end`.
    pub fn targets_are_of(&self, began: Instant, end: Position) {
        self.targets_read
            .set(self.targets_read.get().max(Some(began)));
        self.targets_end.set(self.targets_end.get().max(end));
    }

    /// Whether keyed requests may be judged by the configuration held.
    pub fn is_fresh(&self) -> bool {
        let within = self.settings.borrow().revoke_within;
        self.configuration.is_fresh(self.now(), within)
    }

    /// Number of boxes that share the budget. Until a count is known, many are assumed: a small share is
    /// the safe side.
    pub fn boxes(&self) -> u32 {
        let domains = self.settings.borrow().domains;
        let counted = self.remote_loads.borrow().boxes(domains);
        let members = self.members.borrow().len() as u32;
        let is_settled = self.is_count_settled();
        let least = match counted {
            Some(_) if is_settled => 1,
            _ => BOXES_ASSUMED,
        };
        counted.unwrap_or_default().max(members).max(least)
    }

    /// This box's part of the connections that an instance of a plain service accepts from all boxes together.
    pub(crate) fn most_connections(&self, service: &Service) -> u32 {
        (service.max_connections / self.boxes()).max(1)
    }

    /// Whether this box has run long enough for what it is told of others to be all of it.
    fn is_count_settled(&self) -> bool {
        self.now().elapsed() >= COUNT_SETTLED
    }

    /// What all boxes have on the targets, in parts of what this one is told. Guards the second after all boxes
    /// start, when each knows of its own requests only and engines refuse what is one too many. Only after the start: later a
    /// domain that is not heard of is cut off, and so are its boxes from the targets here.
    fn unheard(&self) -> f64 {
        if self.is_count_settled() {
            return 1.0;
        }
        let heard = self.remote_loads.borrow().domains_heard();
        if heard == 0 {
            return f64::from(BOXES_ASSUMED);
        }
        let domains = peers::domains(&self.members.borrow()).len();
        (domains as f64 / heard as f64).max(1.0)
    }

    /// Count a request for a service's budget.
    pub fn count_first(&self, service: &Arc<str>) {
        let bounds = self.settings.borrow().budget;
        self.second_sends.first(service, self.now(), &bounds);
        self.limits.count(service, self.now());
    }

    /// Take a second send from a service's budget.
    pub fn take_second(&self, service: &Arc<str>) -> bool {
        let bounds = self.settings.borrow().budget;
        let boxes = self.boxes();
        let taken = self.second_sends.take(service, self.now(), &bounds, boxes);
        self.count(|tally| match taken {
            true => tally.second_sends += 1,
            false => tally.second_sends_denied += 1,
        });
        taken
    }

    /// Mean time that requests ran on their engines.
    pub(crate) fn held(&self) -> Duration {
        self.held.get()
    }

    /// Note how long a request ran on its engines.
    pub fn note_held(&self, held: Duration) {
        let mean = self.held.get().as_secs_f64();
        let next = mean + HELD_WEIGHT * (held.as_secs_f64() - mean);
        self.held.set(Duration::from_secs_f64(next.max(LEAST_HELD)));
    }

    /// What choices take into account, with `settings` for the home domain.
    pub fn circumstance<'a>(
        &self,
        settings: &'a Settings,
        avoid: &'a [EngineKey],
        draw: u64,
    ) -> select::Circumstance<'a> {
        select::Circumstance {
            now: self.now(),
            home: &settings.domain,
            avoid,
            held: self.held.get(),
            boxes: self.boxes(),
            unheard: self.unheard(),
            draw,
            limits: select::Limits::Enforced,
        }
    }

    /// Returns the time until targets of `service` that this box backs off from can serve a request, where that alone keeps it from
    /// being served; `can_serve` tells whether it can, at the time of the circumstance that it gets.
    pub(crate) fn back_off_left(
        &self,
        service: &str,
        draw: u64,
        can_serve: impl Fn(&Fleet, &select::Circumstance<'_>) -> bool,
    ) -> Option<Duration> {
        let settings = self.settings.borrow();
        let fleet = self.fleet.borrow();
        let cx = self.circumstance(&settings, &[], draw);
        let limits = select::Limits::Ignored;
        let can_serve = |now| can_serve(&fleet, &select::Circumstance { now, limits, ..cx });
        let end = select::served_after_back_off(&fleet, service, cx.now, can_serve)?;
        Some(end.since(cx.now))
    }

    /// Whether some target could take a request now.
    pub fn can_serve(&self) -> bool {
        let Some(table) = self.configuration.table() else {
            return false;
        };
        let settings = self.settings.borrow();
        let fleet = self.fleet.borrow();
        let cx = select::Circumstance {
            limits: select::Limits::Ignored,
            ..self.circumstance(&settings, &[], 0)
        };
        table
            .services
            .iter()
            .any(|(name, service)| match &service.model {
                Some(model) => {
                    let need = select::Need {
                        prompt: 1.0,
                        answer: 1.0,
                        aim: select::Aim::default(),
                    };
                    select::path(&fleet, name, model, need, &cx).is_some()
                }
                None => select::instance(&fleet, name, service.max_connections, &cx).is_some(),
            })
    }

    /// Bytes that are read of streams and not taken by their callers yet.
    pub fn read_ahead(&self) -> usize {
        self.read_ahead.held()
    }

    /// Count a caller's connection while the guard lives.
    pub fn connection(self: &Rc<Self>) -> OpenConnection {
        OpenConnection::new(self)
    }
}
