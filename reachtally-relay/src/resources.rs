//! Limits of this box, and how much of each is in use.
//!
//! A box that is short of one resource shows it elsewhere: without processor time, connections and memory pile up. The run queue
//! tells them apart, since work that is ready to run waits there only for the processor.

use std::cell::Cell;
use std::os::fd::RawFd;
use std::rc::Rc;
use std::time::Duration;

use reachtally_body::{Charge, NoMemory};
use reachtally_core::Instant;
use reachtally_core::forward::bodies::{self, BodyLimits, OtherUse};
use reachtally_core::forward::overload::{self, RunQueue};
use tokio::runtime::Handle;
use tokio::time::{MissedTickBehavior, interval_at};

use crate::occupied::ConnectionGuard;
use crate::relay::Relay;

/// Interval at which the use of resources is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Fraction of a limit from which its use is logged.
const LOGGED_FRACTION: f64 = 0.8;
/// Run-queue delay from which the use of resources is logged.
const LOGGED_DELAY: Duration = Duration::from_millis(20);
/// Number of times that a measurement passes the run queue: as often as an event of a stream does, which is read, decoded, and written
/// to its caller by tasks of their own.
const PROBE_TURNS: u32 = 4;
/// Minimum time between the starts of two measurements, each of which makes the runtime poll for I/O a few times.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which a connection waits for a request until it may give way to a new one. A caller sends its first request at once.
const MIN_WAIT: Duration = Duration::from_secs(1);
/// Bits per byte.
const BITS: f64 = 8.0;
/// Bits per second of 1 Mbit/s.
const MBIT: f64 = 1e6;

/// Resources in use, averaged over the last sampling interval where they are rates.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResourceUsage {
    /// Fraction of the time in which the runtime had work, also while the system did not let it run. At 1, work waits.
    pub busy: f64,
    /// Resident memory in bytes.
    pub memory: u64,
    /// Descriptor number of the connection that was accepted last. The kernel assigns the lowest free number, so this many are in use.
    pub descriptors: u32,
    /// Data sent to callers in Mbit/s.
    pub sent_mbps: f64,
}

/// Shortest and longest delay in the run queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DelayRange {
    /// Shortest delay.
    pub min: Duration,
    /// Longest delay.
    pub max: Duration,
}

/// State of the resource monitor.
#[derive(Debug, Default)]
pub struct Resources {
    usage: Cell<ResourceUsage>,
    last_descriptor: Cell<RawFd>,
    sent_bytes: Cell<u64>,
    delays: Cell<Option<DelayRange>>,
    queue: Cell<RunQueue>,
    /// Whether a measurement of the run queue is under way.
    is_probing: Cell<bool>,
    /// When the last measurement began.
    probed_at: Cell<Option<Instant>>,
    /// Requests refused for their bodies in the current sampling interval.
    refused_bodies: Cell<u32>,
}

impl Relay {
    /// Measures how long work that is ready now waits in the run queue, unless a measurement is under way.
    pub(crate) fn probe_run_queue(self: &Rc<Self>) {
        let from = self.now();
        let probed_at = self.resources.probed_at.get();
        let is_due = probed_at.is_none_or(|at| from.since(at) >= MIN_PROBE_INTERVAL);
        if !is_due || self.resources.is_probing.replace(true) {
            return;
        }
        self.resources.probed_at.set(Some(from));
        let relay = self.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..PROBE_TURNS {
                // The runtime polls for I/O before it resumes a task that yielded, and then resumes it after all others that are
                // ready.
                tokio::task::yield_now().await;
            }
            let now = relay.now();
            let delay = now.since(from);
            relay.resources.record_delay(delay, now);
            relay.times.run_queue.observe(delay.as_secs_f64());
            relay.resources.is_probing.set(false);
        });
    }

    /// Returns whether open connections alone use up what the box can carry.
    pub(crate) fn must_close_connections(&self) -> bool {
        self.is_full() || self.resources.queue.get().is_long_standing(self.now())
    }

    /// Returns whether open connections take all memory or all descriptors that callers may use.
    pub(crate) fn is_full(&self) -> bool {
        let settings = self.settings.borrow();
        let descriptors = u32::try_from(self.resources.last_descriptor.get()).unwrap_or_default();
        let limit = settings
            .max_descriptors
            .map(overload::max_caller_descriptors);
        let max_connections =
            bodies::max_connections(settings.memory, self.bodies.bytes(), self.read_ahead());
        self.lifecycle.open() >= max_connections || limit.is_some_and(|limit| descriptors >= limit)
    }

    /// Returns the bounds of the memory for bodies.
    pub(crate) fn body_limits(&self) -> BodyLimits {
        let other = OtherUse {
            connections: self.lifecycle.open(),
            read_ahead: self.read_ahead(),
        };
        BodyLimits::new(self.settings.borrow().memory, other)
    }

    /// Reserves memory for a body of `bytes` that is complete.
    ///
    /// # Errors
    /// [`NoMemory`] if there is none.
    pub(crate) fn reserve_body(&self, bytes: u64) -> Result<Charge, NoMemory> {
        Charge::reserve(&self.bodies, bytes, self.body_limits(), self.now())
    }

    /// Returns whether the box has more work than it can carry.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.resources.queue.get().is_standing(self.now())
    }

    /// Returns whether the box has room for a new connection, or can make some.
    pub(crate) fn has_room(&self) -> bool {
        !self.is_full() || self.callers.can_evict(MIN_WAIT)
    }

    /// Counts a new connection of a caller as open, unless the box should not take it. If the box is full, another one gives way.
    pub(crate) fn take_connection(self: &Rc<Self>) -> Option<ConnectionGuard> {
        if self.is_full() && !self.callers.evict(MIN_WAIT) {
            return None;
        }
        let mut queue = self.resources.queue.get();
        let is_taken = queue.take_connection(self.now());
        self.resources.queue.set(queue);
        is_taken.then(|| self.connection())
    }
}

impl Resources {
    /// Returns the latest sample.
    pub fn usage(&self) -> ResourceUsage {
        self.usage.get()
    }

    /// Records the descriptor of a connection that was accepted.
    pub(crate) fn record_descriptor(&self, descriptor: RawFd) {
        self.last_descriptor.set(descriptor);
    }

    /// Counts a request that was refused for its body. Returns their number in the current sampling interval.
    pub(crate) fn count_refused_body(&self) -> u32 {
        let count = self.refused_bodies.get().saturating_add(1);
        self.refused_bodies.set(count);
        count
    }

    /// Records data sent to a caller.
    pub(crate) fn record_sent(&self, bytes: usize) {
        self.sent_bytes.set(self.sent_bytes.get() + bytes as u64);
    }

    /// Records how long work waited in the run queue, until `now`.
    fn record_delay(&self, delay: Duration, now: Instant) {
        let mut queue = self.queue.get();
        queue.record(delay, now);
        self.queue.set(queue);
        let range = self.delays.get().unwrap_or(DelayRange {
            min: delay,
            max: delay,
        });
        self.delays.set(Some(DelayRange {
            min: range.min.min(delay),
            max: range.max.max(delay),
        }));
    }
}

/// Totals at the start of a sampling interval.
struct Totals {
    at: Instant,
    busy: Duration,
    sent_bytes: u64,
}

impl Totals {
    fn now(relay: &Relay) -> Self {
        let metrics = Handle::current().metrics();
        Totals {
            at: relay.now(),
            busy: metrics.worker_total_busy_duration(0),
            sent_bytes: relay.resources.sent_bytes.get(),
        }
    }

    /// Returns the usage since `earlier`.
    fn usage_since(&self, earlier: &Totals, relay: &Relay) -> ResourceUsage {
        let seconds = self.at.since(earlier.at).as_secs_f64().max(f64::EPSILON);
        let busy = self.busy.saturating_sub(earlier.busy);
        let sent_bits = (self.sent_bytes - earlier.sent_bytes) as f64 * BITS;
        ResourceUsage {
            busy: busy.as_secs_f64() / seconds,
            memory: memory_stats::memory_stats().map_or(0, |stats| stats.physical_mem as u64),
            descriptors: u32::try_from(relay.resources.last_descriptor.get()).unwrap_or_default(),
            sent_mbps: sent_bits / seconds / MBIT,
        }
    }
}

/// Samples the use of resources until the process exits, and logs it while one of them is short.
pub async fn run(relay: Rc<Relay>) {
    if memory_stats::memory_stats().is_none() {
        log::warn!(event = "resources-unreadable"; "the memory in use can't be read; it is reported as 0");
    }
    let mut ticks = interval_at(
        tokio::time::Instant::now() + SAMPLE_INTERVAL,
        SAMPLE_INTERVAL,
    );
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut totals = Totals::now(&relay);
    let mut tally = relay.tally.get();
    loop {
        ticks.tick().await;
        relay.resources.refused_bodies.set(0);
        let next = Totals::now(&relay);
        let usage = next.usage_since(&totals, &relay);
        relay.resources.usage.set(usage);
        totals = next;
        let delays = relay.resources.delays.take();
        let before = std::mem::replace(&mut tally, relay.tally.get());
        let accepted = tally.connections_accepted - before.connections_accepted;
        let turned_away = tally.connections_turned_away - before.connections_turned_away;
        let failed = tally.accepts_failed - before.accepts_failed;
        let is_delayed = delays.is_some_and(|delays| delays.max >= LOGGED_DELAY);
        if is_delayed || failed > 0 || is_near_limit(&relay, &usage) {
            let ms = |delay: fn(&DelayRange) -> Duration| {
                delays.map(|delays| delay(&delays).as_millis() as u64)
            };
            log::info!(event = "load", queue_min_ms:? = ms(|delays| delays.min), queue_max_ms:? = ms(|delays| delays.max), busy = usage.busy, memory = usage.memory, descriptors = usage.descriptors, sent_mbps = usage.sent_mbps, open = relay.lifecycle.open(), accepted = accepted, turned_away = turned_away, failed = failed, read_ahead = relay.read_ahead(), waiting:? = relay.requests_waiting(); "the box is near a limit");
        }
    }
}

fn is_near_limit(relay: &Relay, usage: &ResourceUsage) -> bool {
    let settings = relay.settings.borrow();
    let is_near = |used: f64, limit: f64| limit > 0.0 && used >= LOGGED_FRACTION * limit;
    is_near(usage.busy, 1.0)
        || is_near(usage.memory as f64, settings.memory as f64)
        || is_near(
            usage.descriptors.into(),
            settings.max_descriptors.unwrap_or_default().into(),
        )
        || is_near(usage.sent_mbps, settings.link_mbps.into())
}
