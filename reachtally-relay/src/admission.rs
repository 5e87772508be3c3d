//! Admission control by rank: the statistics of this box and its queue of waiting requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::admission::{
    Bounds, Class, Conditions, Mix, Offer, OverbookingLimit, Pacer, Queue, QueueFull,
    QueuePosition, QueuedRequest, REACTION, Rank, RefusedRequests, Retry, RetrySchedule, Running,
    Standing, Verdict, admit, instance_offer, no_connection_offer, patience,
};
use reachtally_core::forward::routes::{Table, Urgency};
use reachtally_core::forward::select::Instance;
use tokio::sync::Notify;

use crate::relay::Relay;
use crate::serve::Call;

/// Limits of the queue of a box: 64 requests, and 16 MiB, a sixteenth of the 256 MiB working memory of a box.
const QUEUE_BOUNDS: Bounds = Bounds {
    count: 64,
    bytes: 16 * 1024 * 1024,
};
/// Maximum number of further requests that are checked after one that can't be sent yet, each time a request
/// ends. They are less urgent and can rarely be sent either, and each check searches all engines.
const MAX_FURTHER_CHECKS: u32 = 4;
/// Minimum time between two checks of the first request in the queue while nothing wakes it. The interval is
/// doubled for the second request, tripled for the third, and so on, since each check searches all engines.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Assumed run time of requests for a plain service until the first one completes.
const INITIAL_PLAIN_RUN_TIME: Duration = Duration::from_millis(100);
/// Weight of a new sample in the moving average of the run time.
const RUN_TIME_WEIGHT: f64 = 0.03;

/// Admission state of one service.
#[derive(Debug, Default)]
struct ServiceState {
    /// Version of the configuration that `urgencies` and `objective` were read from.
    version: Option<u64>,
    /// Urgencies that requests can have, the most urgent first.
    urgencies: Vec<Urgency>,
    /// Shortest objective of the routes to the service.
    objective: Option<Duration>,
    mix: Mix,
    booking: OverbookingLimit,
    pacer: Pacer,
    schedule: RetrySchedule,
    /// Average run time of requests, for plain services.
    run_time: Option<Duration>,
}

impl ServiceState {
    /// Updates the state if the configuration has a new version.
    fn update_configuration(&mut self, service: &str, table: Option<&Table>) {
        if let Some(table) = table
            && self.version != Some(table.version)
        {
            self.version = Some(table.version);
            self.urgencies = table.urgencies(service);
            self.objective = table.shortest_objective(service);
        }
    }
}

/// Wakes a waiting request.
#[derive(Debug, Default)]
struct Waiter {
    notify: Notify,
    /// Number of further requests that may be checked after this one.
    remaining_checks: Cell<u32>,
}

impl Waiter {
    fn wake(&self, remaining_checks: u32) {
        self.remaining_checks.set(remaining_checks);
        self.notify.notify_one();
    }
}

/// State of admission control. It is not persisted.
#[derive(Debug)]
pub(crate) struct Admission {
    services: RefCell<HashMap<Arc<str>, ServiceState>>,
    queue: RefCell<Queue<Rc<Waiter>>>,
    returns: RefCell<RefusedRequests>,
    /// Time at which loads of other boxes were last received.
    loads_at: Cell<Option<Instant>>,
}

impl Default for Admission {
    fn default() -> Self {
        Admission {
            services: RefCell::default(),
            queue: RefCell::new(Queue::new(QUEUE_BOUNDS)),
            returns: RefCell::default(),
            loads_at: Cell::default(),
        }
    }
}

impl Admission {
    /// Wakes the first request that waits for `service`, since a target may have capacity.
    pub fn wake(&self, service: &str) {
        if let Some(waiter) = self.queue.borrow().first(service, None) {
            waiter.wake(MAX_FURTHER_CHECKS);
        }
    }

    /// Wakes the first waiting request of each service.
    pub fn wake_all(&self) {
        let services = self.queue.borrow().services();
        services.iter().for_each(|service| self.wake(service));
    }

    /// Records that loads of other boxes were received.
    pub fn loads_received(&self, now: Instant) {
        self.loads_at.set(Some(now));
        self.wake_all();
    }

    /// Records that a request was sent to a target of `service`.
    pub fn sent(&self, service: &Arc<str>, now: Instant) {
        self.with_service(service, |state| {
            state.pacer.admitted();
            state.booking.sent(now);
        });
    }

    /// Records that an engine of `service` refused a request for lack of capacity.
    pub fn refused(&self, service: &Arc<str>, now: Instant) {
        self.with_service(service, |state| state.booking.refused(now));
    }

    /// Returns the fraction of the calculated capacity of a path that requests for `service` may book.
    pub fn booked(&self, service: &Arc<str>, now: Instant) -> f64 {
        self.with_service(service, |state| state.booking.bound(now))
    }

    /// Records that a request which was sent to a target of `service` has ended there.
    pub fn ended(&self, service: &Arc<str>, now: Instant) {
        self.with_service(service, |state| state.pacer.ended(now));
        self.wake(service);
    }

    /// Adds a sample to the average run time of a plain service. `used` is the fraction of the instance's slots
    /// that were in use; above 1, the request queued there before it ran.
    pub fn record_run_time(&self, service: &Arc<str>, took: Duration, used: f64) {
        let ran = took.div_f64(used.max(1.0));
        let mut services = self.services.borrow_mut();
        let state = services.entry(service.clone()).or_default();
        let mean = state.run_time.unwrap_or(ran).as_secs_f64();
        let next = mean + RUN_TIME_WEIGHT * (ran.as_secs_f64() - mean);
        state.run_time = Some(Duration::from_secs_f64(next));
    }

    /// Returns the average run time of requests for a plain service.
    pub fn plain_run_time(&self, service: &str) -> Duration {
        let services = self.services.borrow();
        let run_time = services.get(service).and_then(|state| state.run_time);
        run_time.unwrap_or(INITIAL_PLAIN_RUN_TIME)
    }

    /// Applies `change` to the state of `service`.
    fn with_service<T>(
        &self,
        service: &Arc<str>,
        change: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        let mut services = self.services.borrow_mut();
        change(services.entry(service.clone()).or_default())
    }

    /// Returns the rank of `urgency` and the number of ranks of the service in the current configuration.
    fn rank(&self, service: &Arc<str>, table: Option<&Table>, urgency: Urgency) -> (Rank, usize) {
        self.with_service(service, |state| {
            state.update_configuration(service, table);
            let urgencies = &state.urgencies;
            let rank = urgencies.partition_point(|other| *other < urgency);
            let rank = u8::try_from(rank).unwrap_or(u8::MAX);
            (Rank(rank), urgencies.len())
        })
    }
}

/// Outcome of admission for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Send it to the targets that were chosen for it.
    Admitted,
    /// It has waited in the queue; choose targets again and send it.
    AdmittedLater,
    /// Refuse it; its caller may retry after this time.
    Refused(Duration),
}

/// A request with its admission class.
struct ClassifiedRequest<'a> {
    call: &'a Call,
    class: Class,
    /// Number of ranks of the service.
    ranks: usize,
}

impl ClassifiedRequest<'_> {
    fn position(&self) -> usize {
        self.class.position(self.ranks)
    }

    /// Returns the rank label for metrics.
    fn label(&self) -> String {
        match self.class.standing {
            Standing::Within => self.class.rank.0.to_string(),
            Standing::Beyond => "beyond".to_owned(),
        }
    }
}

impl Relay {
    /// Returns the number of requests that wait in this box.
    pub fn requests_waiting(&self) -> usize {
        self.admission.queue.borrow().len()
    }

    /// Returns the offer of an instance to a request for its plain service. Uses the shortest objective of the
    /// service for all requests: by their own, longer objectives, less urgent requests would fill queues in which
    /// the others miss theirs.
    pub(crate) fn instance_offer(&self, call: &Call, found: Option<Instance>) -> Offer {
        let service = &call.service_name;
        let table = self.configuration.table();
        let shortest = self.admission.with_service(service, |state| {
            state.update_configuration(service, table.as_deref());
            state.objective
        });
        let objective = shortest.unwrap_or(call.route.objective);
        let run_time = self.admission.plain_run_time(service);
        match found {
            Some(found) => instance_offer(&found, run_time, objective),
            None => no_connection_offer(run_time),
        }
    }

    /// Decides whether to admit a request whose first choice of targets offers `first`. While the request waits,
    /// `current_offer` returns what a new choice would offer.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        call: &Call,
        first: Offer,
        current_offer: impl Fn() -> Option<Offer>,
    ) -> Decision {
        let Some(mut request) = self.classify(call) else {
            return Decision::Admitted;
        };
        self.times
            .by_rank
            .offered
            .get_or_create(&rank_label(&request))
            .inc();
        if self.is_retry(call) {
            request.class.is_retry = true;
        }
        match self.evaluate(&request, first, None) {
            Verdict::Admit => {
                self.count_admitted(&request);
                Decision::Admitted
            }
            Verdict::Refuse(retry) => self.refuse(&request, first, retry),
            Verdict::Wait(drain) => self.wait(&request, first, drain, current_offer).await,
        }
    }

    /// Counts a request and classifies it. Returns `None` if it is not subject to admission control: if its
    /// service has one rank and its account is within its share, or if it is quarantined.
    fn classify<'a>(&self, call: &'a Call) -> Option<ClassifiedRequest<'a>> {
        let now = self.now();
        let service = &call.service_name;
        let table = self.configuration.table();
        let (rank, ranks) = self.admission.rank(service, table.as_deref(), call.urgency);
        let class = Class {
            rank,
            standing: self.standing(service, call.account.as_deref(), call.draw, now),
            is_resumed: call.head.last_event.is_some(),
            is_retry: false,
        };
        let request = ClassifiedRequest { call, class, ranks };
        let classes = request.ranks + 1;
        let is_active = ranks > 1 || class.standing == Standing::Beyond;
        self.admission.with_service(service, |state| {
            state.mix.count(request.position(), classes, now);
            state.pacer.offered(now);
            if !is_active {
                state.mix.count_admitted(now);
            }
        });
        // Quarantined requests are refused regardless of capacity.
        (is_active && !self.is_quarantined(call)).then_some(request)
    }

    /// Returns whether this box refused the request before and the caller retries no earlier than it was asked to.
    fn is_retry(&self, call: &Call) -> bool {
        let mut returns = self.admission.returns.borrow_mut();
        !returns.is_empty() && returns.take(call.fingerprint(), self.now())
    }

    /// Evaluates a request against the current offer. `order` is its position in the queue if it waits.
    fn evaluate(
        &self,
        request: &ClassifiedRequest<'_>,
        offer: Offer,
        order: Option<&QueuePosition>,
    ) -> Verdict {
        let call = request.call;
        let service = &call.service_name;
        let now = self.now();
        let running = self.running(service);
        let (mix, pace) = self.admission.with_service(service, |state| {
            let pace = state.pacer.update_pace(offer.used, running, REACTION, now);
            (state.mix.fractions(), pace)
        });
        let queue = self.admission.queue.borrow();
        let cx = Conditions {
            held: self.mean_run_time(call),
            reaction: REACTION,
            mix: &mix,
            objective: call.route.objective,
            waited: now.since(call.arrived),
            pace,
            ahead: queue.ahead(service, request.position(), order),
        };
        admit(request.class, Some(offer), &cx)
    }

    /// Returns the number of requests that run for a service, counted at the targets they are sent to.
    fn running(&self, service: &str) -> Running {
        let now = self.now();
        let fleet = self.fleet.borrow();
        let targets = fleet.of_service(service).map(|(_, engine)| engine);
        let mut running = Running {
            own: 0.0,
            all: 0.0,
            boxes: self.boxes(),
        };
        for engine in targets.filter(|engine| engine.is_entry_point()) {
            let own = f64::from(engine.running);
            running.own += own;
            running.all += own + engine.remote_running.max(engine.recent_remote_running(now));
        }
        running
    }

    /// Returns the average run time of requests for the call's service.
    fn mean_run_time(&self, call: &Call) -> Duration {
        match call.service.model {
            Some(_) => self.held(),
            None => self.admission.plain_run_time(&call.service_name),
        }
    }

    fn count_admitted(&self, request: &ClassifiedRequest<'_>) {
        let now = self.now();
        self.admission
            .with_service(&request.call.service_name, |state| {
                state.mix.count_admitted(now);
            });
        let by_rank = &self.times.by_rank;
        by_rank.admitted.get_or_create(&rank_label(request)).inc();
    }

    /// Refuses a request and schedules its caller's retry.
    fn refuse(&self, request: &ClassifiedRequest<'_>, offer: Offer, retry: Retry) -> Decision {
        let now = self.now();
        let call = request.call;
        let left = call.left(self);
        let after = self.admission.with_service(&call.service_name, |state| {
            let rate = state.mix.admitted_rate(now);
            let schedule = &mut state.schedule;
            schedule.next(retry.after, rate, left, call.draw, now)
        });
        let mut returns = self.admission.returns.borrow_mut();
        returns.tell(call.fingerprint(), now + after, now);
        drop(returns);
        self.note_contended(&call.service_name, now);
        self.count(|tally| tally.requests_shed += 1);
        let by_rank = &self.times.by_rank;
        by_rank.shed.get_or_create(&rank_label(request)).inc();
        self.log_decision(request, offer, Some(after), "refused");
        Decision::Refused(after)
    }

    /// Queues a request until it is admitted, its time runs out, or a more urgent request takes its slot.
    async fn wait(
        self: &Rc<Self>,
        request: &ClassifiedRequest<'_>,
        mut offer: Offer,
        mut drain: Duration,
        current_offer: impl Fn() -> Option<Offer>,
    ) -> Decision {
        let call = request.call;
        let until = call.due.min(call.arrived + patience(call.route.objective));
        let Ok(slot) = QueueSlot::join(self, request) else {
            return self.refuse(request, offer, Retry { after: drain });
        };
        self.note_contended(&call.service_name, self.now());
        self.count(|tally| tally.requests_queued += 1);
        let by_rank = &self.times.by_rank;
        by_rank.queued.get_or_create(&rank_label(request)).inc();
        loop {
            let check_at = until.min(self.now() + drain.max(slot.min_check_interval()));
            self.run_until(check_at, slot.waiter.notify.notified())
                .await;
            // The time may have run out while the machine was suspended.
            if self.now() >= until || !slot.is_held() {
                return self.refuse(request, offer, Retry { after: drain });
            }
            // Without an offer, keep waiting: capacity may return before the time runs out.
            if let Some(found) = current_offer() {
                offer = found;
                match self.evaluate(request, offer, Some(&slot.order)) {
                    Verdict::Admit => break,
                    // Estimates vary, so a request that already waits is not refused before its time runs out.
                    Verdict::Wait(left) | Verdict::Refuse(Retry { after: left }) => drain = left,
                }
            }
            slot.wake_following();
        }
        // The next request is checked only after this one is counted on its engines, since this task does not
        // yield in between.
        drop(slot);
        self.count_admitted(request);
        let waited = self.now().since(call.arrived).as_secs_f64();
        let by_rank = &self.times.by_rank;
        by_rank
            .wait
            .get_or_create(&rank_label(request))
            .observe(waited);
        self.log_decision(request, offer, None, "admitted");
        Decision::AdmittedLater
    }

    fn log_decision(
        &self,
        request: &ClassifiedRequest<'_>,
        offer: Offer,
        retry: Option<Duration>,
        verdict: &'static str,
    ) {
        let ClassifiedRequest { call, class, .. } = request;
        let now = self.now();
        let ms = |time: Duration| time.as_millis() as u64;
        let age = self.admission.loads_at.get().map(|at| ms(now.since(at)));
        let used = (offer.used * 1000.0).round() / 1000.0;
        log::info!(
            event = "admission", id = &*call.head.id, service = &*call.service_name, rank = class.rank.0, standing:? = class.standing,
            account = call.account.as_deref().unwrap_or_default(), returns = class.is_retry, used = used, age_ms:? = age, first_ms = ms(offer.first),
            waited_ms = ms(now.since(call.arrived)), retry_ms:? = retry.map(ms), verdict = verdict;
            "request waited for capacity or was refused"
        );
    }
}

/// Returns the metrics label for the rank of a request.
fn rank_label(request: &ClassifiedRequest<'_>) -> crate::metrics::RankLabel {
    [("rank", request.label())]
}

/// Slot of a request in the queue. It is dropped with the request if the caller disconnects.
struct QueueSlot {
    relay: Rc<Relay>,
    service: Arc<str>,
    order: QueuePosition,
    waiter: Rc<Waiter>,
}

impl QueueSlot {
    fn join(relay: &Rc<Relay>, request: &ClassifiedRequest<'_>) -> Result<QueueSlot, QueueFull> {
        let call = request.call;
        let waiter = Rc::new(Waiter::default());
        let entrant = QueuedRequest {
            service: call.service_name.clone(),
            is_resumed: request.class.is_resumed,
            position: request.position(),
            account: call.account.clone(),
            deadline: call.deadline,
            bytes: call.body.len(),
        };
        let mut queue = relay.admission.queue.borrow_mut();
        let (order, replaced) = queue.join(entrant, waiter.clone())?;
        drop(queue);
        replaced.iter().for_each(|other| other.wake(0));
        Ok(QueueSlot {
            relay: relay.clone(),
            service: call.service_name.clone(),
            order,
            waiter,
        })
    }

    /// Returns whether no other request has taken this slot.
    fn is_held(&self) -> bool {
        self.relay.admission.queue.borrow().has(&self.order)
    }

    /// Returns the minimum time until the next check if nothing wakes the request.
    fn min_check_interval(&self) -> Duration {
        let queue = self.relay.admission.queue.borrow();
        let ahead = queue.ahead(&self.service, 0, Some(&self.order));
        MIN_CHECK_INTERVAL * (ahead as u32 + 1)
    }

    /// Wakes the next request to be checked, if any checks remain.
    fn wake_following(&self) {
        if let Some(left) = self.waiter.remaining_checks.take().checked_sub(1) {
            self.wake_next(left);
        }
    }

    fn wake_next(&self, remaining_checks: u32) {
        let queue = self.relay.admission.queue.borrow();
        if let Some(next) = queue.first(&self.service, Some(&self.order)) {
            next.wake(remaining_checks);
        }
    }
}

impl Drop for QueueSlot {
    fn drop(&mut self) {
        self.relay.admission.queue.borrow_mut().leave(&self.order);
        self.wake_next(MAX_FURTHER_CHECKS);
    }
}
