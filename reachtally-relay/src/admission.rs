//! Admission of requests by rank: what this box counts for it, and the requests that wait.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::admission::{
    Booking, Bounds, Class, Conditions, Entrant, Full, Mix, Offer, Order, Pacer, Queue, REACTION,
    Rank, Retry, Returns, Running, Schedule, Standing, Verdict, admit, instance_offer,
    no_connection_offer, patience,
};
use reachtally_core::forward::routes::{Table, Urgency};
use reachtally_core::forward::select::Instance;
use tokio::sync::Notify;

use crate::relay::Relay;
use crate::serve::Call;

/// Most that waits in a box: 64 requests, and a sixteenth of the 256 MiB of memory that a box has for its work.
const QUEUE_BOUNDS: Bounds = Bounds {
    count: 64,
    bytes: 16 * 1024 * 1024,
};
/// Requests that are looked at after one that can't be sent yet, each time that something ended. They are less urgent, so that they
/// seldom can either, and a look is a search over all engines.
const MOST_PASSES: u32 = 4;
/// Least time between two looks at the first request without news; at the second one twice as much, and so on, since a look is a search
/// over all engines.
const LEAST_LOOK: Duration = Duration::from_millis(20);
/// Time that a request of a plain service is assumed to run before the first one has ended.
const PLAIN_HELD_ASSUMED: Duration = Duration::from_millis(100);
/// Weight of a request in the running mean of that time.
const HELD_WEIGHT: f64 = 0.03;

/// What is counted of one service.
#[derive(Debug, Default)]
struct ServiceState {
    /// Version of the configuration that the urgencies are of.
    version: Option<u64>,
    /// Urgencies that requests may have, the most urgent first.
    urgencies: Vec<Urgency>,
    /// The shortest objective of its routes.
    objective: Option<Duration>,
    mix: Mix,
    booking: Booking,
    pacer: Pacer,
    schedule: Schedule,
    /// Mean time that its requests run, for plain services.
    held: Option<Duration>,
}

impl ServiceState {
    /// Takes over what a new version of the configuration tells of the service.
    fn follow(&mut self, service: &str, table: Option<&Table>) {
        if let Some(table) = table
            && self.version != Some(table.version)
        {
            self.version = Some(table.version);
            self.urgencies = table.urgencies(service);
            self.objective = table.shortest_objective(service);
        }
    }
}

/// Wakes a request that waits.
#[derive(Debug, Default)]
struct Turn {
    notify: Notify,
    /// Requests that may be looked at after it.
    passes: Cell<u32>,
}

impl Turn {
    fn wake(&self, passes: u32) {
        self.passes.set(passes);
        self.notify.notify_one();
    }
}

/// State of admission; lost with the box.
#[derive(Debug)]
pub(crate) struct Admission {
    services: RefCell<HashMap<Arc<str>, ServiceState>>,
    queue: RefCell<Queue<Rc<Turn>>>,
    returns: RefCell<Returns>,
    /// When loads of other boxes were last received.
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
    /// Wakes the first request that waits for `service`: something of the service may have room.
    pub fn wake(&self, service: &str) {
        if let Some(turn) = self.queue.borrow().first(service, None) {
            turn.wake(MOST_PASSES);
        }
    }

    /// Wakes the first request of each service.
    pub fn wake_all(&self) {
        let services = self.queue.borrow().services();
        services.iter().for_each(|service| self.wake(service));
    }

    /// Loads of other boxes were received.
    pub fn loads_received(&self, now: Instant) {
        self.loads_at.set(Some(now));
        self.wake_all();
    }

    /// A request was sent to a target of `service`.
    pub fn sent(&self, service: &Arc<str>, now: Instant) {
        self.with(service, |state| {
            state.pacer.admitted();
            state.booking.sent(now);
        });
    }

    /// An engine of `service` refused a request for want of room.
    pub fn refused(&self, service: &Arc<str>, now: Instant) {
        self.with(service, |state| state.booking.refused(now));
    }

    /// Part of the calculated room of a path that requests for `service` may book.
    pub fn booked(&self, service: &Arc<str>, now: Instant) -> f64 {
        self.with(service, |state| state.booking.bound(now))
    }

    /// A request that was sent to a target of `service` has ended there.
    pub fn ended(&self, service: &Arc<str>, now: Instant) {
        self.with(service, |state| state.pacer.ended(now));
        self.wake(service);
    }

    /// Notes how long a request of a plain service ran, where `used` of the instance's slots were in use: beyond 1 it waited there for
    /// others first.
    pub fn note_held(&self, service: &Arc<str>, took: Duration, used: f64) {
        let ran = took.div_f64(used.max(1.0));
        let mut services = self.services.borrow_mut();
        let state = services.entry(service.clone()).or_default();
        let mean = state.held.unwrap_or(ran).as_secs_f64();
        let next = mean + HELD_WEIGHT * (ran.as_secs_f64() - mean);
        state.held = Some(Duration::from_secs_f64(next));
    }

    /// Mean time that requests of a plain service run.
    pub fn plain_held(&self, service: &str) -> Duration {
        let services = self.services.borrow();
        let held = services.get(service).and_then(|state| state.held);
        held.unwrap_or(PLAIN_HELD_ASSUMED)
    }

    /// Applies `change` to the state of a service.
    fn with<T>(&self, service: &Arc<str>, change: impl FnOnce(&mut ServiceState) -> T) -> T {
        let mut services = self.services.borrow_mut();
        change(services.entry(service.clone()).or_default())
    }

    /// The rank of an urgency, and the number of ranks of the service, by the configuration in force.
    fn rank(&self, service: &Arc<str>, table: Option<&Table>, urgency: Urgency) -> (Rank, usize) {
        self.with(service, |state| {
            state.follow(service, table);
            let urgencies = &state.urgencies;
            let rank = urgencies.partition_point(|other| *other < urgency);
            let rank = u8::try_from(rank).unwrap_or(u8::MAX);
            (Rank(rank), urgencies.len())
        })
    }
}

/// What was decided on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decision {
    /// It is sent to what was chosen for it.
    Admitted,
    /// It has waited and is sent, to what has room now.
    AdmittedLater,
    /// It is refused; its caller may return after this time.
    Refused(Duration),
}

/// A request with its class.
struct Case<'a> {
    call: &'a Call,
    class: Class,
    /// Number of ranks of its service.
    ranks: usize,
}

impl Case<'_> {
    fn position(&self) -> usize {
        self.class.position(self.ranks)
    }

    /// Its rank for metrics.
    fn label(&self) -> String {
        match self.class.standing {
            Standing::Within => self.class.rank.0.to_string(),
            Standing::Beyond => "beyond".to_owned(),
        }
    }
}

impl Relay {
    /// Number of requests that wait in this box.
    pub fn requests_waiting(&self) -> usize {
        self.admission.queue.borrow().len()
    }

    /// What an instance offers to a request for its plain service. The shortest objective of the service counts for all of its requests: by
    /// their own, less urgent ones with more time would fill the queues in which the others are late.
    pub(crate) fn instance_offer(&self, call: &Call, found: Option<Instance>) -> Offer {
        let service = &call.service_name;
        let table = self.configuration.table();
        let shortest = self.admission.with(service, |state| {
            state.follow(service, table.as_deref());
            state.objective
        });
        let objective = shortest.unwrap_or(call.route.objective);
        let held = self.admission.plain_held(service);
        match found {
            Some(found) => instance_offer(&found, held, objective),
            None => no_connection_offer(held),
        }
    }

    /// Decides on a request at its first choice, which offers `first`; while it waits, `look` tells what a choice would offer.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        call: &Call,
        first: Offer,
        look: impl Fn() -> Option<Offer>,
    ) -> Decision {
        let Some(mut case) = self.case(call) else {
            return Decision::Admitted;
        };
        self.times
            .by_rank
            .offered
            .get_or_create(&rank_label(&case))
            .inc();
        if self.is_return(call) {
            case.class.is_return = true;
        }
        match self.judge(&case, first, None) {
            Verdict::Admit => {
                self.count_admitted(&case);
                Decision::Admitted
            }
            Verdict::Refuse(retry) => self.refuse(&case, first, retry),
            Verdict::Wait(drain) => self.wait(&case, first, drain, look).await,
        }
    }

    /// Counts a request and classifies it; `None` if admission does not concern it: its service has one rank and the account takes no
    /// more than its share.
    fn case<'a>(&self, call: &'a Call) -> Option<Case<'a>> {
        let now = self.now();
        let service = &call.service_name;
        let table = self.configuration.table();
        let (rank, ranks) = self.admission.rank(service, table.as_deref(), call.urgency);
        let class = Class {
            rank,
            standing: self.standing(service, call.account.as_deref(), call.draw, now),
            is_resumed: call.head.last_event.is_some(),
            is_return: false,
        };
        let case = Case { call, class, ranks };
        let classes = case.ranks + 1;
        let is_active = ranks > 1 || class.standing == Standing::Beyond;
        self.admission.with(service, |state| {
            state.mix.count(case.position(), classes, now);
            state.pacer.offered(now);
            if !is_active {
                state.mix.count_admitted(now);
            }
        });
        // What is quarantined is refused whatever room there is.
        (is_active && !self.is_quarantined(call)).then_some(case)
    }

    /// Whether this box refused the request before, and it comes back no earlier than it was told.
    fn is_return(&self, call: &Call) -> bool {
        let mut returns = self.admission.returns.borrow_mut();
        !returns.is_empty() && returns.take(call.fingerprint(), self.now())
    }

    /// Judges a request by what it is offered now; `order` is its place if it waits.
    fn judge(&self, case: &Case<'_>, offer: Offer, order: Option<&Order>) -> Verdict {
        let call = case.call;
        let service = &call.service_name;
        let now = self.now();
        let running = self.running(service);
        let (mix, pace) = self.admission.with(service, |state| {
            let pace = state.pacer.look(offer.used, running, REACTION, now);
            (state.mix.fractions(), pace)
        });
        let queue = self.admission.queue.borrow();
        let cx = Conditions {
            held: self.held_of(call),
            reaction: REACTION,
            mix: &mix,
            objective: call.route.objective,
            waited: now.since(call.arrived),
            pace,
            ahead: queue.ahead(service, case.position(), order),
        };
        admit(case.class, Some(offer), &cx)
    }

    /// Requests for a service, by the targets that they are sent to.
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
            running.all += own + engine.remote_running.max(engine.others_told_lately(now));
        }
        running
    }

    /// Mean time that requests of the call's service run.
    fn held_of(&self, call: &Call) -> Duration {
        match call.service.model {
            Some(_) => self.held(),
            None => self.admission.plain_held(&call.service_name),
        }
    }

    fn count_admitted(&self, case: &Case<'_>) {
        let now = self.now();
        self.admission.with(&case.call.service_name, |state| {
            state.mix.count_admitted(now);
        });
        let by_rank = &self.times.by_rank;
        by_rank.admitted.get_or_create(&rank_label(case)).inc();
    }

    /// Refuses a request, and tells its caller when to return.
    fn refuse(&self, case: &Case<'_>, offer: Offer, retry: Retry) -> Decision {
        let now = self.now();
        let call = case.call;
        let left = call.left(self);
        let after = self.admission.with(&call.service_name, |state| {
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
        by_rank.shed.get_or_create(&rank_label(case)).inc();
        self.log_decision(case, offer, Some(after), "refused");
        Decision::Refused(after)
    }

    /// Lets a request wait until it is admitted, its time is over, or requests before it need its place.
    async fn wait(
        self: &Rc<Self>,
        case: &Case<'_>,
        mut offer: Offer,
        mut drain: Duration,
        look: impl Fn() -> Option<Offer>,
    ) -> Decision {
        let call = case.call;
        let until = call.due.min(call.arrived + patience(call.route.objective));
        let Ok(place) = Place::join(self, case) else {
            return self.refuse(case, offer, Retry { after: drain });
        };
        self.note_contended(&call.service_name, self.now());
        self.count(|tally| tally.requests_queued += 1);
        let by_rank = &self.times.by_rank;
        by_rank.queued.get_or_create(&rank_label(case)).inc();
        loop {
            let look_at = until.min(self.now() + drain.max(place.least_look()));
            self.until_due(look_at, place.turn.notify.notified()).await;
            // Its time may have passed while the machine was suspended.
            if self.now() >= until || !place.is_held() {
                return self.refuse(case, offer, Retry { after: drain });
            }
            // What nothing serves at present may have room again before its time is over.
            if let Some(found) = look() {
                offer = found;
                match self.judge(case, offer, Some(&place.order)) {
                    Verdict::Admit => break,
                    // Estimates vary, and it has waited already: it stays until its time is over.
                    Verdict::Wait(left) | Verdict::Refuse(Retry { after: left }) => drain = left,
                }
            }
            place.pass_on();
        }
        // The next one looks after this request is counted on its engines: both happen before this task pauses.
        drop(place);
        self.count_admitted(case);
        let waited = self.now().since(call.arrived).as_secs_f64();
        let by_rank = &self.times.by_rank;
        by_rank
            .wait
            .get_or_create(&rank_label(case))
            .observe(waited);
        self.log_decision(case, offer, None, "admitted");
        Decision::AdmittedLater
    }

    fn log_decision(
        &self,
        case: &Case<'_>,
        offer: Offer,
        retry: Option<Duration>,
        verdict: &'static str,
    ) {
        let Case { call, class, .. } = case;
        let now = self.now();
        let ms = |time: Duration| time.as_millis() as u64;
        let age = self.admission.loads_at.get().map(|at| ms(now.since(at)));
        let used = (offer.used * 1000.0).round() / 1000.0;
        log::info!(
            event = "admission", id = &*call.head.id, service = &*call.service_name, rank = class.rank.0, standing:? = class.standing,
            account = call.account.as_deref().unwrap_or_default(), returns = class.is_return, used = used, age_ms:? = age, first_ms = ms(offer.first),
            waited_ms = ms(now.since(call.arrived)), retry_ms:? = retry.map(ms), verdict = verdict;
            "a request waited for room or was refused for want of it"
        );
    }
}

/// The rank of a request, as metrics name it.
fn rank_label(case: &Case<'_>) -> crate::metrics::RankLabel {
    [("rank", case.label())]
}

/// A request's place in the queue. A caller that disconnects drops it with its request.
struct Place {
    relay: Rc<Relay>,
    service: Arc<str>,
    order: Order,
    turn: Rc<Turn>,
}

impl Place {
    fn join(relay: &Rc<Relay>, case: &Case<'_>) -> Result<Place, Full> {
        let call = case.call;
        let turn = Rc::new(Turn::default());
        let entrant = Entrant {
            service: call.service_name.clone(),
            is_resumed: case.class.is_resumed,
            position: case.position(),
            account: call.account.clone(),
            deadline: call.deadline,
            bytes: call.body.len(),
        };
        let mut queue = relay.admission.queue.borrow_mut();
        let (order, replaced) = queue.join(entrant, turn.clone())?;
        drop(queue);
        replaced.iter().for_each(|other| other.wake(0));
        Ok(Place {
            relay: relay.clone(),
            service: call.service_name.clone(),
            order,
            turn,
        })
    }

    /// Whether no other request took it.
    fn is_held(&self) -> bool {
        self.relay.admission.queue.borrow().has(&self.order)
    }

    /// Least time until the next look without news.
    fn least_look(&self) -> Duration {
        let queue = self.relay.admission.queue.borrow();
        let ahead = queue.ahead(&self.service, 0, Some(&self.order));
        LEAST_LOOK * (ahead as u32 + 1)
    }

    /// Lets the next request be looked at, if some still may.
    fn pass_on(&self) {
        if let Some(left) = self.turn.passes.take().checked_sub(1) {
            self.wake_next(left);
        }
    }

    fn wake_next(&self, passes: u32) {
        let queue = self.relay.admission.queue.borrow();
        if let Some(next) = queue.first(&self.service, Some(&self.order)) {
            next.wake(passes);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.relay.admission.queue.borrow_mut().leave(&self.order);
        self.wake_next(MOST_PASSES);
    }
}
