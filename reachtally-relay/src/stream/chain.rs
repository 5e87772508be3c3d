//! Following the events of one chain.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use reachtally_core::Instant;
use reachtally_core::forward::fleet::EngineKey;
use reachtally_core::forward::path::Path;
use reachtally_core::forward::read_ahead::HeldUp;
use reachtally_core::forward::stall::Gaps;
use tokio::sync::watch;

use crate::attempts::Attempts;
use crate::events::Splitter;
use crate::exchange::Recipient;
use crate::occupied::Occupied;
use crate::relay::Relay;
use crate::serve::Call;
use crate::stream::repair::{self, Outcome, Repair};
use crate::stream::send;
use crate::target::Connection;

/// Added to the first look at a chain, which may still have other prompts to read.
pub(super) const FIRST_SLACK: Duration = Duration::from_millis(350);
/// Gaps between events, in expected ones, from which the engines of a stream are suspected to be slow.
const SLOW_GAPS: f64 = 2.0;
/// Least gap that counts: shorter ones are in time for every route, and come at load.
const LEAST_SLOW: Duration = Duration::from_millis(150);
/// Of this many successes in time, one is logged: by id, so that all boxes log the same ones.
const SUCCESSES_LOGGED: u64 = 16;

/// A chain at work on a stream.
pub(super) struct Running {
    body: Incoming,
    /// Dropping it cancels the work; it is kept after a whole answer.
    connection: Option<Connection>,
    occupied: Occupied,
    /// The engine that answers for the chain.
    first: Recipient,
    /// Time between two events, as expected and corrected by those that came.
    gaps: Gaps,
    pace: Pace,
    held_up: HeldUp,
    /// When the last event came, or when waiting began.
    since: Instant,
    /// When to look at the engines if no event comes.
    look_at: Instant,
    /// Changes when targets started again or are found dead.
    runs_ended: watch::Receiver<Vec<EngineKey>>,
    /// Tells of requests that get no more targets.
    stopped: watch::Receiver<u64>,
    /// The path that the engines hand the request on along, if it has one.
    path: Option<Path>,
    /// Events that the caller had before this chain.
    events_before: u64,
    /// Repairs of the path that were ordered.
    repairs: u32,
    /// The repair that is under way.
    repair: Option<Repair>,
}

/// What was expected of a chain, and what it did.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    pub began: Instant,
    expected_first: Duration,
    expected_gap: Duration,
    first: Option<Duration>,
    longest: Duration,
    events: u32,
    /// When the last event before a repair came.
    paused_at: Option<Instant>,
}

impl Pace {
    pub fn new(began: Instant, expected_first: Duration, expected_gap: Duration) -> Self {
        Pace {
            began,
            expected_first,
            expected_gap,
            first: None,
            longest: Duration::ZERO,
            events: 0,
            paused_at: None,
        }
    }

    fn note(&mut self, now: Instant, since: Instant) {
        let since = self.paused_at.take().unwrap_or(since);
        match self.first {
            None => self.first = Some(now.since(self.began)),
            Some(_) => self.longest = self.longest.max(now.since(since)),
        }
        self.events += 1;
    }

    /// Keep what a whole stream shows.
    fn keep(&self, relay: &Relay, call: &Call, engines: &[EngineKey]) {
        let first = self.first.unwrap_or_default();
        let took = relay.now().since(self.began);
        relay.note_held(took);
        relay.times.first_event.observe(first.as_secs_f64());
        relay.times.longest_gap.observe(self.longest.as_secs_f64());
        relay.times.answer.observe(took.as_secs_f64());
        let is_first_late = first > call.route.objective;
        let gap_objective = call.route.gap_objective();
        let is_gap_late = gap_objective.is_some_and(|gap| self.longest > gap);
        let is_late = is_first_late || is_gap_late;
        if !is_late && !call.draw.is_multiple_of(SUCCESSES_LOGGED) {
            return;
        }
        let gaps = self.events.saturating_sub(1).max(1);
        let ms = |time: Duration| time.as_millis() as u64;
        log::info!(
            event = "answered", id = &*call.head.id, parts = engines.len(),
            first_ms = ms(first), expected_first_ms = ms(self.expected_first),
            gap_ms = ms(took.saturating_sub(first) / gaps), expected_gap_ms = ms(self.expected_gap),
            longest_ms = ms(self.longest), events = self.events, took_ms = ms(took), late = is_late, first_late = is_first_late,
            targets = &*engine_names(relay, engines);
            "a stream is whole"
        );
    }
}

/// How a chain stopped.
pub(super) enum Stopped {
    /// The stream is whole.
    Whole,
    /// The engines broke off.
    Broke(String),
    /// The engines broke off, which may be since the caller read too slowly.
    Unread(String),
    /// These of its engines are dead.
    Dead(Vec<EngineKey>),
    /// The final answer is due.
    Late,
    /// The request gets no more targets.
    Quarantined,
}

impl Running {
    /// A chain whose answer's head has come.
    pub fn new(
        body: Incoming,
        connection: Connection,
        occupied: Occupied,
        first: Recipient,
        pace: Pace,
        relay: &Relay,
    ) -> Self {
        let now = relay.now();
        let mut running = Running {
            body,
            connection: Some(connection),
            occupied,
            first,
            gaps: Gaps::expected(pace.expected_gap),
            pace,
            held_up: HeldUp::default(),
            since: now,
            look_at: now,
            runs_ended: relay.runs_ended(),
            stopped: relay.stopped(),
            path: None,
            events_before: 0,
            repairs: 0,
            repair: None,
        };
        running.wait_from(now);
        running
    }

    /// The engines hand the request on along `path`, which was repaired so often, and begin after the event `last`.
    pub fn follow(&mut self, path: Option<Path>, last: Option<u64>, repairs: u32) {
        self.path = path;
        self.repairs = repairs;
        self.events_before = last.unwrap_or(0);
    }

    /// The chain's engines.
    pub fn engines(&self) -> &[EngineKey] {
        self.occupied.engines()
    }

    /// The engine that answers for the chain.
    pub fn first(&self) -> &Recipient {
        &self.first
    }

    /// Events that the chain has yielded.
    pub fn events(&self) -> u32 {
        self.pace.events
    }

    /// The runs of its engines, for the log.
    pub fn names(&self, relay: &Relay) -> String {
        engine_names(relay, self.engines())
    }

    /// Begin to wait for an event, with time for other prompts that the engines read first.
    pub fn wait_from(&mut self, now: Instant) {
        self.since = now;
        self.look_at = now + self.gaps.overdue_after() + FIRST_SLACK;
    }

    /// Reading stopped at `from`, since the caller took nothing, and goes on at `now`.
    pub fn paused(&mut self, from: Instant, now: Instant) {
        if self.held_up.paused(now.since(from)) {
            self.wait_from(now);
        }
    }

    /// The next whole events that the caller lacks, or how the chain stopped.
    pub async fn next(
        &mut self,
        relay: &Relay,
        call: &Call,
        attempts: &Attempts,
        splitter: &mut Splitter,
    ) -> Result<Bytes, Stopped> {
        loop {
            let asked = relay.now();
            let until = relay.timer(call.due.min(self.look_at));
            let has_events = self.events() > 0;
            let frame = tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                told = repair::answered(&mut self.repair) => {
                    self.judge_repair(relay, call, attempts, told)?;
                    continue;
                }
                // The sender lives as long as the relay. A stream whose engine started again gets no more of it.
                Ok(()) = self.runs_ended.changed() => {
                    self.held_up.waited(relay.now().since(asked));
                    self.leave_ended(relay, call, attempts)?;
                    continue;
                }
                () = relay.until_quarantined(call, &mut self.stopped), if !has_events => {
                    return Err(Stopped::Quarantined);
                }
                () = tokio::time::sleep_until(until) => {
                    self.held_up.waited(relay.now().since(asked));
                    self.look(relay, call, attempts).await?;
                    continue;
                }
            };
            self.held_up.waited(relay.now().since(asked));
            let Some(frame) = frame else {
                return Err(self.ended(relay, call, splitter));
            };
            let frame = frame.map_err(|err| self.broke(err.to_string()))?;
            // Trailers say nothing of the events.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.note(relay);
            let events = splitter.push(&data);
            let events = events.map_err(|_| Stopped::Broke("an event does not end".to_owned()))?;
            if !events.is_empty() {
                return Ok(events);
            }
        }
    }

    fn broke(&self, why: String) -> Stopped {
        match self.held_up.is_unread() {
            true => Stopped::Unread(why),
            false => Stopped::Broke(why),
        }
    }

    /// Targets started again: leave them at once if this stream ran there and can go on elsewhere.
    fn leave_ended(
        &mut self,
        relay: &Relay,
        call: &Call,
        attempts: &Attempts,
    ) -> Result<(), Stopped> {
        let lost: Vec<EngineKey> = {
            let ended = self.runs_ended.borrow();
            let engines = self.engines().iter().copied();
            engines.filter(|key| ended.contains(key)).collect()
        };
        // Its own next event is not due yet: what a check found may be a lost packet.
        if relay.now() < self.since + self.gaps.due_after() && !relay.have_ended(&lost) {
            return Ok(());
        }
        if lost.is_empty() || self.begin_repair(relay, call, attempts, &lost) {
            return Ok(());
        }
        if send::may_go_elsewhere(relay, call, attempts, &lost) {
            return Err(Stopped::Dead(lost));
        }
        Ok(())
    }

    /// Whether the path is repaired without the engines `dead`; their order is given if none is under way.
    fn begin_repair(
        &mut self,
        relay: &Relay,
        call: &Call,
        attempts: &Attempts,
        dead: &[EngineKey],
    ) -> bool {
        if self.repair.is_none() && repair::may_repair(relay, call, self.repairs, self.events()) {
            let events = self.events_before + u64::from(self.events());
            let path = self.path.as_ref();
            self.repair = path.and_then(|path| {
                Repair::begin(relay, call, attempts, &self.first, path, events, dead)
            });
            self.repairs += u32::from(self.repair.is_some());
        }
        if self.repair.is_some() {
            self.look_at = relay.now() + repair::LONGEST;
        }
        self.repair.is_some()
    }

    /// The first engine answered to the order under way, or did not.
    fn judge_repair(
        &mut self,
        relay: &Relay,
        call: &Call,
        attempts: &Attempts,
        told: repair::Told,
    ) -> Result<(), Stopped> {
        let Some(repair) = self.repair.take() else {
            return Ok(());
        };
        let now = relay.now();
        let silent_for = now.since(self.since);
        match repair.judge(relay, call, &self.first, told, silent_for) {
            Outcome::Again(repair) => {
                self.repair = Some(repair);
                self.look_at = now + repair::LONGEST;
            }
            Outcome::Repaired(done) => {
                self.pace.paused_at.get_or_insert(self.since);
                self.occupied.move_to(done.choice.path.engines(), done.read);
                self.path = Some(done.choice.path);
                self.wait_from(now);
                self.look_at = self.look_at + done.choice.first;
            }
            Outcome::Failed(dead) => {
                if send::may_go_elsewhere(relay, call, attempts, &dead) {
                    return Err(Stopped::Dead(dead));
                }
                self.look_at = now + self.gaps.overdue_after();
            }
        }
        Ok(())
    }

    /// No event came in time: is the final answer due, or are engines dead?
    async fn look(
        &mut self,
        relay: &Relay,
        call: &Call,
        attempts: &Attempts,
    ) -> Result<(), Stopped> {
        if relay.now() >= call.due {
            return Err(Stopped::Late);
        }
        let overdue_at = self.since + self.gaps.overdue_after();
        let dead = match relay.now() < overdue_at {
            true => {
                let silent = relay.silent_on_all_streams(self.engines(), self.gaps.due_after());
                relay.find_dead(&silent).await
            }
            false => dead_of_silent(relay, self.engines(), self.gaps.overdue_after()).await,
        };
        if !dead.is_empty() && self.begin_repair(relay, call, attempts, &dead) {
            return Ok(());
        }
        if !dead.is_empty() && send::may_go_elsewhere(relay, call, attempts, &dead) {
            return Err(Stopped::Dead(dead));
        }
        let now = relay.now();
        self.look_at = match now < overdue_at {
            true => overdue_at,
            false => now + self.gaps.overdue_after(),
        };
        Ok(())
    }

    /// Bytes of the stream came.
    fn note(&mut self, relay: &Relay) {
        let now = relay.now();
        self.occupied.end_reading();
        self.pace.note(now, self.since);
        let gap = now.since(self.since);
        self.since = now;
        self.look_at = now + self.gaps.overdue_after();
        // What piled up while the caller did not read says nothing of the engines' pace, or whether they still run.
        if self.held_up.is_behind() {
            return;
        }
        relay.progress.borrow_mut().note(self.engines(), now);
        if gap > LEAST_SLOW && gap > self.pace.expected_gap.mul_f64(SLOW_GAPS) {
            relay.note_slow(self.engines());
        }
        self.gaps.note(gap);
        self.look_at = now + self.gaps.due_after();
    }

    /// The body has ended in order. A part of an event shows that the engine did not mean to.
    fn ended(&mut self, relay: &Relay, call: &Call, splitter: &Splitter) -> Stopped {
        if splitter.has_part() {
            return self.broke("it ended within an event".to_owned());
        }
        self.pace.keep(relay, call, self.engines());
        relay.answered_whole(call);
        if let Some(connection) = self.connection.take() {
            relay.connections.keep(connection, relay.now());
        }
        Stopped::Whole
    }
}

/// The runs of engines, for the log.
pub(super) fn engine_names(relay: &Relay, engines: &[EngineKey]) -> String {
    let fleet = relay.fleet.borrow();
    let name = |key: &EngineKey| fleet.get(*key).map_or("gone", |engine| &*engine.entry.id);
    engines.iter().map(name).collect::<Vec<&str>>().join(",")
}

/// Engines of a chain without an event for `silence`, over any stream, that take no connections. Counted
/// from now: what passed an engine after this stream's last event says nothing once it has died, and counted from that event
/// one stream of each box would leave it, while the others stand still until their callers give up. Where one is known to be
/// dead already, the others stand still for it and are not asked, which saves their connections.
pub(super) async fn dead_of_silent(
    relay: &Relay,
    engines: &[EngineKey],
    silence: Duration,
) -> Vec<EngineKey> {
    let known = relay.known_dead(engines);
    if !known.is_empty() {
        return known;
    }
    let since = relay.now().before(silence);
    let silent = relay.progress.borrow().silent_since(engines, since);
    relay.find_dead(&silent).await
}
