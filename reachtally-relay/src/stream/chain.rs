//! Reading the events of one chain of engines.

use std::cell::RefCell;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use reachtally_core::Instant;
use reachtally_core::forward::fleet::EngineKey;
use reachtally_core::forward::path::{Part, Path};
use reachtally_core::forward::quarantine::{PROOF_TIME, START_EVENTS};
use reachtally_core::forward::read_ahead::EngineStall;
use reachtally_core::forward::stall::EventGaps;
use tokio::sync::watch;

use crate::attempts::Attempts;
use crate::events::Splitter;
use crate::exchange::{Recipient, TargetBody};
use crate::interruptions::{AnswerProgress, AssignedRuns, UnconfirmedAnswer};
use crate::occupied::RequestGuard;
use crate::quarantine::Completion;
use crate::relay::Relay;
use crate::serve::Call;
use crate::stream::repair::{self, Outcome, Repair};
use crate::stream::send;
use crate::target::Connection;

/// Added to the time after which a chain is first checked, since it may still process other prompts.
pub(super) const FIRST_EVENT_MARGIN: Duration = Duration::from_millis(350);
/// Gap between events, as a multiple of the expected gap, from which the engines of a stream are suspected to be slow.
const SLOW_GAP_FACTOR: f64 = 2.0;
/// Minimum gap that counts as slow. Shorter gaps meet the objectives of every route and are common under load.
const MIN_SLOW_GAP: Duration = Duration::from_millis(150);
/// One in this many requests that succeed in time is logged. The sample depends on the id, so that all boxes log the same requests.
const SUCCESS_LOG_SAMPLING: u64 = 16;

/// A chain that is producing a stream.
pub(super) struct RunningChain {
    body: TargetBody,
    /// Dropping the connection cancels the request; it is reused after a complete answer.
    connection: Option<Connection>,
    occupied: RequestGuard,
    /// The engine that received the request and sends the answer.
    first: Recipient,
    /// Estimated gap between events: the expected one, updated by the observed ones.
    gaps: EventGaps,
    timing: Timing,
    /// Time at which the head of the answer arrived.
    begun_at: Instant,
    /// Whether only the end of the connection ends the answer.
    is_unframed: bool,
    /// Number of whole events that arrived.
    whole_events: u64,
    /// Whether these engines have shown that the parts of the prompt do not crash them.
    is_proven: bool,
    backpressure: EngineStall,
    /// Time of the last event, or when waiting for the first one started.
    waiting_since: Instant,
    /// When to check the engines if no event arrives.
    check_at: Instant,
    /// The targets that restarted, or were found dead or unreachable, most recently.
    runs_ended: watch::Receiver<Vec<EngineKey>>,
    /// Changes when a request is quarantined.
    quarantine_changes: watch::Receiver<u64>,
    /// The runs that have the request.
    runs: RefCell<AssignedRuns>,
    /// The path along which the engines forward the request, if it has one.
    path: Option<Path>,
    /// Number of events that the caller received before this chain.
    events_before: u64,
    /// Number of ordered repairs of the path.
    repairs: u32,
    /// The pending repair.
    repair: Option<Repair>,
}

/// Expected and observed timing of a chain.
#[derive(Debug, Clone, Copy)]
pub(super) struct Timing {
    pub started_at: Instant,
    expected_first: Duration,
    expected_gap: Duration,
    first: Option<Duration>,
    longest_gap: Duration,
    events: u32,
    /// Time of the last event before a repair.
    repair_pause_from: Option<Instant>,
}

impl Timing {
    pub fn new(started_at: Instant, expected_first: Duration, expected_gap: Duration) -> Self {
        Timing {
            started_at,
            expected_first,
            expected_gap,
            first: None,
            longest_gap: Duration::ZERO,
            events: 0,
            repair_pause_from: None,
        }
    }

    fn record_event(&mut self, now: Instant, since: Instant) {
        let since = self.repair_pause_from.take().unwrap_or(since);
        match self.first {
            None => self.first = Some(now.since(self.started_at)),
            Some(_) => self.longest_gap = self.longest_gap.max(now.since(since)),
        }
        self.events += 1;
    }

    /// Records the timing of a complete stream in metrics and the log.
    fn record(&self, relay: &Relay, call: &Call, engines: &[EngineKey], is_unframed: bool) {
        let first = self.first.unwrap_or_default();
        let took = relay.now().since(self.started_at);
        relay.record_run_time(took);
        relay.times.first_event.observe(first.as_secs_f64());
        relay
            .times
            .longest_gap
            .observe(self.longest_gap.as_secs_f64());
        relay.times.answer.observe(took.as_secs_f64());
        let is_first_late = first > call.route.objective;
        let gap_objective = call.route.gap_objective();
        let is_gap_late = gap_objective.is_some_and(|gap| self.longest_gap > gap);
        let is_late = is_first_late || is_gap_late;
        if !is_late && !call.draw.is_multiple_of(SUCCESS_LOG_SAMPLING) {
            return;
        }
        let gaps = self.events.saturating_sub(1).max(1);
        let ms = |time: Duration| time.as_millis() as u64;
        log::info!(
            event = "answered", id = &*call.head.id, parts = engines.len(),
            first_ms = ms(first), expected_first_ms = ms(self.expected_first),
            gap_ms = ms(took.saturating_sub(first) / gaps), expected_gap_ms = ms(self.expected_gap),
            longest_ms = ms(self.longest_gap), events = self.events, took_ms = ms(took), late = is_late, first_late = is_first_late,
            unframed = is_unframed, targets = &*engine_names(relay, engines);
            "stream completed"
        );
    }
}

/// Why a chain stopped.
pub(super) enum StopReason {
    /// The stream is complete.
    Complete,
    /// The engines broke off the stream.
    Interrupted(String),
    /// The engines broke off the stream, possibly because the caller read too slowly.
    InterruptedUnread(String),
    /// These engines of the chain are dead.
    Dead(Vec<EngineKey>),
    /// The deadline of the request has passed.
    DeadlineExceeded,
    /// The request was quarantined.
    Quarantined,
    /// The box that took over the request broke off or fell silent, after this number of sends that may have run.
    BoxLost(u32),
}

impl RunningChain {
    /// Creates a chain from the received head of its answer.
    pub fn new(
        body: TargetBody,
        connection: Connection,
        occupied: RequestGuard,
        first: Recipient,
        timing: Timing,
        is_unframed: bool,
        relay: &Relay,
    ) -> Self {
        let now = relay.now();
        let mut running = RunningChain {
            body,
            connection: Some(connection),
            occupied,
            first,
            gaps: EventGaps::expected(timing.expected_gap),
            timing,
            begun_at: now,
            is_unframed,
            whole_events: 0,
            is_proven: false,
            backpressure: EngineStall::default(),
            waiting_since: now,
            check_at: now,
            runs_ended: relay.runs_ended(),
            quarantine_changes: relay.stopped(),
            runs: RefCell::default(),
            path: None,
            events_before: 0,
            repairs: 0,
            repair: None,
        };
        running.wait_from(now);
        running
    }

    /// Sets the path along which the engines forward the request, their runs, the event `last` after which the chain starts, and the
    /// number of repairs of the path so far.
    pub fn set_path(
        &mut self,
        path: Option<Path>,
        runs: AssignedRuns,
        last: Option<u64>,
        repairs: u32,
    ) {
        self.path = path;
        self.runs = RefCell::new(runs);
        self.repairs = repairs;
        self.events_before = last.unwrap_or(0);
    }

    /// Returns the engines of the chain.
    pub fn engines(&self) -> &[EngineKey] {
        self.occupied.engines()
    }

    /// Returns the number of events that the chain has yielded.
    pub fn events(&self) -> u32 {
        self.timing.events
    }

    /// Returns the time since the engines began to answer.
    pub fn begun_for(&self, relay: &Relay) -> Duration {
        relay.now().since(self.begun_at)
    }

    /// Returns the ids of the engines, for the log.
    pub fn engine_names(&self, relay: &Relay) -> String {
        engine_names(relay, self.engines())
    }

    /// Returns the parts of the path, each with the layers that its engine holds by now if they differ, and why the engine takes no
    /// requests, if so; for the log.
    pub fn describe_engines(&self, relay: &Relay) -> String {
        let fleet = relay.fleet.borrow();
        let parts = self.path.as_ref().map_or(&[][..], |path| path.parts());
        let describe = |part: &Part| {
            let Some(engine) = fleet.get(part.engine) else {
                return "removed".to_owned();
            };
            let (layers, held) = (&part.layers, &engine.entry.layers);
            let holds = held.contains(&layers.start) && held.end >= layers.end;
            let held = if holds {
                String::new()
            } else {
                format!(" holds {held:?}")
            };
            let absence = engine.absence();
            let absence = absence.map(|absence| format!(" {}", absence.describe(relay.now())));
            format!(
                "{}={layers:?}{held}{}",
                engine.entry.id,
                absence.unwrap_or_default()
            )
        };
        parts
            .iter()
            .map(describe)
            .collect::<Vec<String>>()
            .join(", ")
    }

    /// Starts to wait for an event, with extra time for other prompts that the engines process first.
    pub fn wait_from(&mut self, now: Instant) {
        self.waiting_since = now;
        self.check_at = now + self.gaps.silence_timeout() + FIRST_EVENT_MARGIN;
    }

    /// Records that reading was paused from `from` until `now`, since the caller took nothing.
    pub fn paused(&mut self, from: Instant, now: Instant) {
        if self.backpressure.paused(now.since(from)) {
            self.wait_from(now);
        }
    }

    /// Returns the next complete events that the caller has not received, or why the chain stopped.
    pub async fn next(
        &mut self,
        relay: &Relay,
        call: &Call,
        attempts: &Attempts,
        splitter: &mut Splitter,
    ) -> Result<Bytes, StopReason> {
        loop {
            let started_at = relay.now();
            let until = relay.timer(call.due.min(self.check_at));
            let has_just_begun = self.whole_events <= START_EVENTS;
            let frame = tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                answer = repair::wait_for_answer(&mut self.repair) => {
                    self.finish_repair(relay, call, attempts, answer)?;
                    continue;
                }
                // The sender lives as long as the relay. An engine that restarted sends no more events of this stream.
                Ok(()) = self.runs_ended.changed() => {
                    self.backpressure.waited(relay.now().since(started_at));
                    self.leave_ended_runs(relay, call, attempts)?;
                    continue;
                }
                () = relay.until_quarantined(call, &mut self.quarantine_changes), if has_just_begun => {
                    return Err(StopReason::Quarantined);
                }
                () = tokio::time::sleep_until(until) => {
                    self.backpressure.waited(relay.now().since(started_at));
                    self.check_overdue(relay, call, attempts).await?;
                    continue;
                }
            };
            self.backpressure.waited(relay.now().since(started_at));
            let Some(frame) = frame else {
                return Err(self.finish(relay, call, splitter));
            };
            let frame = frame.map_err(|err| self.interrupted(err.to_string()))?;
            // Trailers carry no events.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.handle_data(relay);
            let events_before = splitter.events();
            let events = splitter.push(&data);
            let events =
                events.map_err(|_| StopReason::Interrupted("event too long".to_owned()))?;
            self.whole_events += splitter.events() - events_before;
            if self.begun_for(relay) >= PROOF_TIME {
                self.prove(relay, call, Completion::Progress);
            }
            if !events.is_empty() {
                return Ok(events);
            }
        }
    }

    fn interrupted(&self, why: String) -> StopReason {
        match self.backpressure.is_unread() {
            true => StopReason::InterruptedUnread(why),
            false => StopReason::Interrupted(why),
        }
    }

    /// Handles targets whose runs ended. Leaves the chain immediately if it includes one of them and the stream can continue elsewhere.
    fn leave_ended_runs(
        &mut self,
        relay: &Relay,
        call: &Call,
        attempts: &Attempts,
    ) -> Result<(), StopReason> {
        let lost: Vec<EngineKey> = {
            let ended = self.runs_ended.borrow();
            let engines = self.engines().iter().copied();
            engines.filter(|key| ended.contains(key)).collect()
        };
        // The next event of this stream is not due yet, and the failed check of another stream may be due to a lost packet.
        if relay.now() < self.waiting_since + self.gaps.shared_silence_timeout()
            && !relay.have_ended(&lost)
        {
            return Ok(());
        }
        if lost.is_empty() {
            return Ok(());
        }
        let is_repairing = self.start_repair(relay, call, attempts, &lost);
        if !is_repairing && send::can_reroute(relay, call, attempts, &lost) {
            return Err(StopReason::Dead(lost));
        }
        self.register_interruption(relay, call);
        Ok(())
    }

    /// Orders a repair of the path without the engines `dead` unless one is pending; returns whether one is.
    fn start_repair(
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
                Repair::start(relay, call, attempts, &self.first, path, events, dead)
            });
            self.repairs += u32::from(self.repair.is_some());
        }
        if self.repair.is_some() {
            self.check_at = relay.now() + repair::MAX_DURATION;
        }
        self.repair.is_some()
    }

    /// Handles the answer to the pending repair order, or its timeout.
    fn finish_repair(
        &mut self,
        relay: &Relay,
        call: &Call,
        attempts: &Attempts,
        answer: repair::Answer,
    ) -> Result<(), StopReason> {
        let Some(repair) = self.repair.take() else {
            return Ok(());
        };
        let now = relay.now();
        let silent_for = now.since(self.waiting_since);
        match repair.finish(relay, call, &self.first, answer, silent_for) {
            Outcome::Retry(repair) => {
                self.repair = Some(repair);
                self.check_at = now + repair::MAX_DURATION;
            }
            Outcome::Repaired(accepted) => {
                self.timing
                    .repair_pause_from
                    .get_or_insert(self.waiting_since);
                let engines = accepted.choice.path.engines();
                self.runs.borrow_mut().move_to(relay, &engines);
                self.occupied.move_to(engines, accepted.read);
                self.path = Some(accepted.choice.path);
                self.wait_from(now);
                self.check_at = self.check_at + accepted.choice.first;
            }
            Outcome::Failed(dead) => {
                if send::can_reroute(relay, call, attempts, &dead) {
                    return Err(StopReason::Dead(dead));
                }
                self.check_at = now + self.gaps.silence_timeout();
            }
        }
        Ok(())
    }

    /// Checks the deadline and the engines after no event arrived in time.
    async fn check_overdue(
        &mut self,
        relay: &Relay,
        call: &Call,
        attempts: &Attempts,
    ) -> Result<(), StopReason> {
        if relay.now() >= call.due {
            return Err(StopReason::DeadlineExceeded);
        }
        let overdue_at = self.waiting_since + self.gaps.silence_timeout();
        let dead = match relay.now() < overdue_at {
            true => {
                let silent =
                    relay.silent_on_all_streams(self.engines(), self.gaps.shared_silence_timeout());
                relay.find_dead(&silent).await
            }
            false => {
                find_dead_among_silent(relay, self.engines(), self.gaps.silence_timeout()).await
            }
        };
        if !dead.is_empty() {
            // A quarantined request is not repaired.
            self.check_interruption(relay, call).await;
            if self.start_repair(relay, call, attempts, &dead) {
                return Ok(());
            }
            if send::can_reroute(relay, call, attempts, &dead) {
                return Err(StopReason::Dead(dead));
            }
        }
        let now = relay.now();
        self.check_at = match now < overdue_at {
            true => overdue_at,
            false => now + self.gaps.silence_timeout(),
        };
        Ok(())
    }

    /// Updates the timing and the progress of the engines after data arrived.
    fn handle_data(&mut self, relay: &Relay) {
        let now = relay.now();
        self.occupied.end_prefill();
        self.timing.record_event(now, self.waiting_since);
        let gap = now.since(self.waiting_since);
        self.waiting_since = now;
        self.check_at = now + self.gaps.silence_timeout();
        // Data that accumulated while the caller did not read shows neither the speed of the engines nor whether they still run.
        if self.backpressure.is_behind() {
            return;
        }
        relay.progress.borrow_mut().note(self.engines(), now);
        relay.note_response(self.first.key);
        if gap > MIN_SLOW_GAP && gap > self.timing.expected_gap.mul_f64(SLOW_GAP_FACTOR) {
            relay.note_slow(self.engines());
        }
        self.gaps.note(gap);
        self.check_at = now + self.gaps.shared_silence_timeout();
    }

    /// Returns how far the answer is.
    fn progress(&self) -> AnswerProgress {
        AnswerProgress {
            head_at: Some(self.begun_at),
            events: self.whole_events,
        }
    }

    /// Handles that the engines interrupted the stream: one of them may have crashed under it.
    pub async fn check_interruption(&self, relay: &Relay, call: &Call) {
        relay.interrupted(call, &self.runs, self.progress()).await;
    }

    /// Registers that the engines interrupted the stream, without a check of them.
    pub fn register_interruption(&self, relay: &Relay, call: &Call) {
        relay.register_interruption(call, &self.runs, self.progress());
    }

    /// Records that the parts of the prompt do not crash engines, if these have written enough.
    fn prove(&mut self, relay: &Relay, call: &Call, by: Completion) {
        if !self.is_proven && self.whole_events > START_EVENTS {
            self.is_proven = true;
            relay.record_proof(call, self.begun_at, by);
        }
    }

    /// Handles the regular end of the body. An incomplete last event shows that the engine did not end the stream intentionally.
    fn finish(&mut self, relay: &Relay, call: &Call, splitter: &Splitter) -> StopReason {
        if splitter.has_partial_event() {
            return self.interrupted("answer ended within an event".to_owned());
        }
        if self.is_unframed && splitter.last().is_none() {
            return self.interrupted("answer ended before its first event".to_owned());
        }
        self.timing
            .record(relay, call, self.engines(), self.is_unframed);
        if self.is_unframed {
            let answer = UnconfirmedAnswer {
                began: self.begun_at,
                proves_parts: self.whole_events > START_EVENTS,
            };
            relay.completed_unframed(call, &mut self.runs.borrow_mut(), self.progress(), answer);
        } else {
            relay.record_completion(call, Completion::Whole);
            self.prove(relay, call, Completion::Whole);
        }
        if let Some(connection) = self.connection.take() {
            relay.connections.keep(connection, relay.now());
        }
        StopReason::Complete
    }
}

/// Returns the ids of engines, for the log.
pub(super) fn engine_names(relay: &Relay, engines: &[EngineKey]) -> String {
    let fleet = relay.fleet.borrow();
    let name = |key: &EngineKey| fleet.get(*key).map_or("gone", |engine| &*engine.entry.id);
    engines.iter().map(name).collect::<Vec<&str>>().join(",")
}

/// Returns those engines of a chain that had no event for `silence`, over any stream, and that do not accept connections.
///
/// The silence counts back from now rather than from this stream's last event: events that passed an engine after that event mean
/// nothing once it has died. Counted from that event, only one stream of each box would leave the engine, while the others stall
/// until their callers give up. If an engine is already known to be dead, the others are silent because of it and are not probed,
/// which saves connections.
pub(super) async fn find_dead_among_silent(
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
