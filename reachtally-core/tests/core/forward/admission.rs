//! Tests of admission by rank: the verdict, the queue, retries, and the requests served per rank under overload.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reachtally_core::Instant;
use reachtally_core::forward::admission::{
    Bounds, Class, Conditions, MAX_RESERVED, MAX_RETRY_AFTER, Mix, Offer, OverbookingLimit, Pace,
    Pacer, Queue, QueueFull, QueuePosition, QueuedRequest, REACTION, Rank, RefusedRequests,
    RetrySchedule, Running, Standing, Verdict, admit, instance_offer, patience, reserve,
};
use reachtally_core::forward::fingerprint::{FINGERPRINT_BYTES, Fingerprint};
use reachtally_core::forward::fleet::EngineKey;
use reachtally_core::forward::select::Instance;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(after: u64) -> Instant {
    Instant::from_elapsed(ms(after))
}

fn class(rank: u8) -> Class {
    Class {
        rank: Rank(rank),
        standing: Standing::Within,
        is_resumed: false,
        is_retry: false,
    }
}

/// A service with a total number of slots that ten boxes share.
struct Service {
    slots: usize,
    /// Mean service time of a request, from when it gets a slot.
    held: Duration,
    objective: Duration,
    /// Whether instances queue requests beyond their slots, as instances of plain services do.
    is_plain: bool,
}

/// Engines with streams that last several seconds.
const STREAMS: Service = Service {
    slots: 600,
    held: Duration::from_millis(3_000),
    objective: Duration::from_millis(500),
    is_plain: false,
};
/// Instances of a plain service.
const PLAIN: Service = Service {
    slots: 120,
    held: Duration::from_millis(60),
    objective: Duration::from_millis(200),
    is_plain: true,
};
const BOXES: usize = 10;
/// Interval of load reports. A report is applied one interval later.
const REPORT_MS: u64 = 200;
const STEP_MS: u64 = 2;
const SIMULATED_MS: u64 = 20_000;
/// Start of measurement; before it, the service is still filling up.
const MEASURED_FROM_MS: u64 = 5_000;
/// Start of measurement after a burst: by then refused callers have retried, and the requests that they delayed have
/// ended.
const SETTLED_FROM_MS: u64 = 16_000;

#[derive(Clone, Copy)]
struct Request {
    rank: u8,
    arrived: u64,
    is_retry: bool,
    number: u64,
}

struct SimulatedBox {
    /// Requests of this box that run or wait at the service.
    own: usize,
    /// Requests of the other boxes, as last reported.
    others: usize,
    mix: Mix,
    pacer: Pacer,
    schedule: RetrySchedule,
    queue: Queue<Request>,
    waiting: Vec<(QueuePosition, Request)>,
}

/// Measured result of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    offered: [u32; 3],
    in_time: [u32; 3],
    /// Refusals while at least a twentieth of the slots was free.
    refused_with_free_slots: u32,
    /// Mean fraction of the slots in use.
    used: f64,
}

impl Outcome {
    fn share(&self, rank: usize) -> f64 {
        f64::from(self.in_time[rank]) / f64::from(self.offered[rank])
    }
}

struct Simulation<'a> {
    service: &'a Service,
    has_admission: bool,
    measured_from: u64,
    rng: ChaCha8Rng,
    boxes: Vec<SimulatedBox>,
    running: BinaryHeap<Reverse<(u64, usize)>>,
    waiting: VecDeque<(Request, usize)>,
    returns: BinaryHeap<Reverse<(u64, u64, u8, usize)>>,
    outcome: Outcome,
    count: u64,
}

impl Simulation<'_> {
    fn offer(&self, at: usize) -> Offer {
        let known = (self.boxes[at].own + self.boxes[at].others + 1) as f64;
        let used = known / self.service.slots as f64;
        match self.service.is_plain {
            true => {
                let engine = EngineKey::default();
                let found = Instance { engine, used };
                instance_offer(&found, self.service.held, self.service.objective)
            }
            false => Offer {
                used,
                first: self.service.held.mul_f64((used - 1.0).max(0.0)),
            },
        }
    }

    fn verdict(
        &mut self,
        at: usize,
        req: &Request,
        order: Option<&QueuePosition>,
        now: u64,
    ) -> Verdict {
        let class = Class {
            is_retry: req.is_retry,
            ..class(req.rank)
        };
        let offer = self.offer(at);
        let each = &mut self.boxes[at];
        let running = Running {
            own: each.own as f64,
            all: (each.own + each.others) as f64,
            boxes: BOXES as u32,
        };
        let ahead = each.queue.ahead("s", usize::from(req.rank), order);
        let pace = each.pacer.update_pace(
            offer.used,
            running,
            REACTION,
            Instant::from_elapsed(ms(now)),
        );
        let cx = Conditions {
            pace,
            ahead,
            held: self.service.held,
            reaction: REACTION,
            mix: &self.boxes[at].mix.fractions(),
            objective: self.service.objective,
            waited: ms(now - req.arrived),
        };
        match self.has_admission {
            true => admit(class, Some(offer), &cx),
            false => Verdict::Admit,
        }
    }

    fn arrive(&mut self, rank: u8, at: usize, is_retry: bool, now: u64) {
        self.count += 1;
        let req = Request {
            rank,
            arrived: now,
            is_retry,
            number: self.count,
        };
        if !is_retry && now > self.measured_from {
            self.outcome.offered[usize::from(rank)] += 1;
        }
        self.boxes[at].pacer.offered(Instant::from_elapsed(ms(now)));
        let mix = &mut self.boxes[at].mix;
        mix.count(usize::from(rank), 4, Instant::from_elapsed(ms(now)));
        match self.verdict(at, &req, None, now) {
            Verdict::Admit => self.send(at, req, now),
            Verdict::Wait(_) => self.wait(at, req, now),
            Verdict::Refuse(retry) => self.refuse(at, &req, retry.after, now),
        }
    }

    fn wait(&mut self, at: usize, req: Request, now: u64) {
        let queued_request = QueuedRequest {
            service: "s".into(),
            is_resumed: false,
            position: usize::from(req.rank),
            account: None,
            deadline: Instant::from_elapsed(ms(now + 10_000)),
            bytes: 1000,
        };
        match self.boxes[at].queue.join(queued_request, req) {
            Ok((order, replaced)) => {
                self.boxes[at].waiting.push((order, req));
                for other in replaced {
                    self.boxes[at]
                        .waiting
                        .retain(|(_, each)| each.number != other.number);
                    self.refuse(at, &other, Duration::ZERO, now);
                }
            }
            Err(_) => self.refuse(at, &req, Duration::ZERO, now),
        }
    }

    fn refuse(&mut self, at: usize, req: &Request, drain: Duration, now: u64) {
        let each = &mut self.boxes[at];
        let time = Instant::from_elapsed(ms(now));
        let rate = each.mix.admitted_rate(time);
        let draw = self.rng.random();
        let left = ms(15_000);
        let after = each
            .schedule
            .next(drain, rate, left, draw, time)
            .as_millis() as u64;
        let is_free = (self.running.len() as f64) < 0.95 * self.service.slots as f64;
        self.outcome.refused_with_free_slots += u32::from(now > self.measured_from && is_free);
        // Callers retry once.
        if req.is_retry {
            return;
        }
        self.returns
            .push(Reverse((now + after, req.number, req.rank, at)));
    }

    fn send(&mut self, at: usize, req: Request, now: u64) {
        self.boxes[at].own += 1;
        self.boxes[at].pacer.admitted();
        let time = Instant::from_elapsed(ms(now));
        self.boxes[at].mix.count_admitted(time);
        self.waiting.push_back((req, at));
    }

    /// Retries the queued requests of a box in order and sends those that are admitted.
    fn retry_queued(&mut self, at: usize, now: u64) {
        self.boxes[at].waiting.sort_by_key(|(order, _)| *order);
        for (order, req) in self.boxes[at].waiting.clone() {
            let over = req.arrived + patience(self.service.objective).as_millis() as u64;
            let is_admitted = self.verdict(at, &req, Some(&order), now) == Verdict::Admit;
            if now < over && !is_admitted {
                continue;
            }
            self.boxes[at].queue.leave(&order);
            self.boxes[at].waiting.retain(|(each, _)| *each != order);
            match now < over {
                true => self.send(at, req, now),
                false => self.refuse(at, &req, Duration::ZERO, now),
            }
        }
    }

    /// Ends finished requests and gives free slots to the requests that wait at the service.
    fn serve(&mut self, now: u64) {
        while let Some(&Reverse((end, at))) = self.running.peek()
            && end <= now
        {
            self.running.pop();
            self.boxes[at].own -= 1;
            self.boxes[at].pacer.ended(Instant::from_elapsed(ms(now)));
            self.retry_queued(at, now);
        }
        while self.running.len() < self.service.slots
            && let Some((req, at)) = self.waiting.pop_front()
        {
            let part = -(1.0 - self.rng.random::<f64>()).ln();
            let runs = self.service.held.mul_f64(part).as_millis() as u64;
            self.running.push(Reverse((now + runs.max(1), at)));
            let answered = now - req.arrived + if self.service.is_plain { runs } else { 0 };
            let is_late = ms(answered) > self.service.objective;
            if now > self.measured_from && !is_late {
                self.outcome.in_time[usize::from(req.rank)] += 1;
            }
        }
    }

    fn report(&mut self, reported: &mut Vec<usize>) {
        let all: usize = reported.iter().sum();
        for (each, own) in self.boxes.iter_mut().zip(reported.iter()) {
            each.others = all - own;
        }
        *reported = self.boxes.iter().map(|each| each.own).collect();
    }
}

/// Simulates a constant demand of `times` the capacity, split by rank into `parts`.
fn play(service: &Service, times: f64, parts: [f64; 3], has_admission: bool) -> Outcome {
    simulate_varying(service, |_| times, parts, has_admission, MEASURED_FROM_MS)
}

/// Simulates a demand that changes over time (in ms).
fn simulate_varying(
    service: &Service,
    times: impl Fn(u64) -> f64,
    parts: [f64; 3],
    has_admission: bool,
    measured_from: u64,
) -> Outcome {
    let new_box = || SimulatedBox {
        own: 0,
        others: 0,
        mix: Mix::default(),
        pacer: Pacer::default(),
        schedule: RetrySchedule::default(),
        queue: Queue::new(Bounds {
            count: 64,
            bytes: 1 << 24,
        }),
        waiting: Vec::new(),
    };
    let mut play = Simulation {
        service,
        has_admission,
        measured_from,
        rng: ChaCha8Rng::seed_from_u64(7),
        boxes: (0..BOXES).map(|_| new_box()).collect(),
        running: BinaryHeap::new(),
        waiting: VecDeque::new(),
        returns: BinaryHeap::new(),
        outcome: Outcome::default(),
        count: 0,
    };
    let capacity = service.slots as f64 / service.held.as_secs_f64();
    let mut reported = vec![0; BOXES];
    let mut samples = 0;
    for now in (0..SIMULATED_MS).step_by(STEP_MS as usize) {
        play.serve(now);
        if now % REPORT_MS == 0 {
            play.report(&mut reported);
            (0..BOXES).for_each(|at| play.retry_queued(at, now));
        }
        while let Some(&Reverse((due, _, rank, at))) = play.returns.peek()
            && due <= now
        {
            play.returns.pop();
            play.arrive(rank, at, true, now);
        }
        for (rank, part) in parts.iter().enumerate() {
            let mut rate = capacity * times(now) * part * STEP_MS as f64 / 1000.0;
            while rate > 0.0 {
                if play.rng.random::<f64>() < rate {
                    let at = play.rng.random_range(0..BOXES);
                    play.arrive(rank as u8, at, false, now);
                }
                rate -= 1.0;
            }
        }
        if now > play.measured_from {
            samples += 1;
            play.outcome.used += play.running.len() as f64 / service.slots as f64;
        }
    }
    play.outcome.used /= f64::from(samples);
    play.outcome
}

const MIXED: [f64; 3] = [0.2, 0.3, 0.5];
const MOSTLY_LEAST: [f64; 3] = [0.05, 0.05, 0.9];

/// Without admission no rank is answered in time. With it, the most urgent rank is, and no rank does worse than a
/// less urgent one.
#[test]
fn under_overload_ranks_are_served_in_order_and_capacity_is_used() {
    for service in [&STREAMS, &PLAIN] {
        let before = play(service, 1.7, MIXED, false);
        assert!(before.share(0) < 0.1, "{before:?}");
        let idle = play(service, 0.5, MIXED, true);
        for (times, parts) in [
            (1.2, MIXED),
            (1.7, MIXED),
            (2.3, MIXED),
            (4.0, MOSTLY_LEAST),
        ] {
            let outcome = play(service, times, parts, true);
            let seen = format!("{times} {parts:?}: {outcome:?}");
            assert!(outcome.share(0) >= 0.97 * idle.share(0), "{seen}");
            assert!(outcome.share(1) >= outcome.share(2) - 0.02, "{seen}");
            assert!(outcome.used >= 0.95, "{seen}");
        }
    }
}

#[test]
fn no_refusals_below_capacity() {
    for service in [&STREAMS, &PLAIN] {
        let outcome = play(service, 0.8, MIXED, true);
        assert_eq!(outcome.refused_with_free_slots, 0, "{outcome:?}");
    }
}

/// Mostly plausible numbers, with arbitrary floats (NaN, infinities) among them.
fn arbitrary_floats() -> impl Strategy<Value = f64> {
    prop_oneof![
        4 => 0.0..2.0f64,
        1 => prop::num::f64::ANY,
    ]
}

fn durations() -> impl Strategy<Value = Duration> {
    prop_oneof![
        4 => (0u64..10_000).prop_map(ms),
        1 => Just(Duration::MAX),
        1 => Just(Duration::ZERO),
    ]
}

prop_compose! {
    fn paces()(level in arbitrary_floats(), demand in arbitrary_floats(), growth in arbitrary_floats(), rate in arbitrary_floats(), burst in arbitrary_floats()) -> Pace {
        Pace { level, demand, growth, rate, burst }
    }
}

prop_compose! {
    fn offers()(used in arbitrary_floats(), first in durations()) -> Offer {
        Offer { used, first }
    }
}

/// How far a verdict is from admitting.
fn severity(verdict: Verdict) -> u8 {
    match verdict {
        Verdict::Admit => 0,
        Verdict::Wait(_) => 1,
        Verdict::Refuse(_) => 2,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(12), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn more_urgent_rank_never_gets_a_worse_verdict(
        used in 0.0..3.0f64, level in -1.5..1.5f64, demand in prop_oneof![9 => 0.0..5.0f64, 1 => Just(f64::INFINITY)], growth in 0.0..2.0f64, rate in 0.0..50.0f64,
        mix in prop::collection::vec(0.0..1.0f64, 4), held in 1u64..5_000, waited in 0u64..500, ahead in 0usize..5, is_retry: bool,
    ) {
        let cx = Conditions {
            held: ms(held),
            reaction: REACTION,
            mix: &mix,
            objective: ms(500),
            waited: ms(waited),
            pace: Pace { level, demand, growth, rate, burst: 1.0 + rate * 0.1 },
            ahead,
        };
        let offer = Some(Offer { used, first: ms(100) });
        let beyond = Class { standing: Standing::Beyond, ..class(0) };
        let classes = [class(0), class(1), class(2), beyond];
        let verdicts = classes.map(|class| severity(admit(Class { is_retry, ..class }, offer, &cx)));
        prop_assert!(verdicts.is_sorted(), "{verdicts:?}");
        // Less urgent ranks leave the most urgent one its burst allowance, even while nothing may be admitted.
        prop_assert!(verdicts[0] == 0 || level < -1.0 || ahead > 0);
        // A retry does no worse than a first attempt, and no better than the next more urgent rank.
        let of = |rank, is_retry| severity(admit(Class { is_retry, ..class(rank) }, offer, &cx));
        for rank in 1..3 {
            prop_assert!((of(rank - 1, false)..=of(rank, false)).contains(&of(rank, true)));
        }
    }

    #[test]
    fn utilization_below_the_limit_always_admits(part in 0.0..1.0f64, mix in prop::collection::vec(0.0..1.0f64, 3), held in durations(), rank in 0u8..3) {
        let pace = Pace { level: -2.0, demand: 9.0, growth: 0.0, rate: 0.0, burst: 1.0 };
        let cx = Conditions { held, reaction: REACTION, mix: &mix, objective: ms(500), waited: ms(10), pace, ahead: 9 };
        let used = part * (1.0 - reserve(class(rank), &cx));
        let offer = Offer { used, first: Duration::MAX };
        prop_assert_eq!(admit(class(rank), Some(offer), &cx), Verdict::Admit);
        prop_assert!(reserve(class(rank), &cx) <= MAX_RESERVED);
        prop_assert_eq!(reserve(class(0), &cx), 0.0);
    }

    #[test]
    fn arbitrary_numbers_cause_no_panic_and_stay_within_bounds(
        offer in prop::option::of(offers()), mix in prop::collection::vec(arbitrary_floats(), 0..5), held in durations(), reaction in durations(),
        objective in durations(), waited in durations(), pace in paces(), ahead: usize, rank: u8, is_retry: bool, is_resumed: bool,
        slots_used in arbitrary_floats(), own in arbitrary_floats(), all in arbitrary_floats(), boxes: u32,
    ) {
        let cx = Conditions { held, reaction, mix: &mix, objective, waited, pace, ahead };
        let class = Class { is_retry, is_resumed, ..class(rank) };
        match admit(class, offer, &cx) {
            Verdict::Admit => {}
            Verdict::Wait(left) => prop_assert!(left <= patience(objective)),
            Verdict::Refuse(retry) => prop_assert!(!is_resumed && retry.after <= ms(60_000)),
        }
        let found = Instance { engine: EngineKey::default(), used: slots_used };
        instance_offer(&found, held, objective);
        let mut pacer = Pacer::default();
        let paced = pacer.update_pace(slots_used, Running { own, all, boxes }, reaction, at(5));
        pacer.admitted();
        prop_assert!(paced.burst >= 1.0 && paced.burst.is_finite(), "{paced:?}");
        let after = RetrySchedule::default().next(held, paced.rate, objective, 7, at(5));
        prop_assert!(after <= MAX_RETRY_AFTER);
    }
}

fn queued_request(position: usize, account: &str, deadline: u64) -> QueuedRequest {
    QueuedRequest {
        service: "s".into(),
        is_resumed: false,
        position,
        account: Some(account.into()),
        deadline: at(deadline),
        bytes: 100,
    }
}

/// Payloads of the queued requests, in queue order.
fn drain_in_order(mut queue: Queue<&'static str>, orders: &[QueuePosition]) -> Vec<&'static str> {
    let mut sorted = orders.to_vec();
    sorted.sort();
    sorted
        .iter()
        .filter_map(|order| queue.leave(order))
        .collect()
}

#[test]
fn queue_orders_by_resumed_streams_then_rank_then_account_then_deadline() {
    let mut queue = Queue::new(Bounds {
        count: 9,
        bytes: 10_000,
    });
    let resumed = QueuedRequest {
        is_resumed: true,
        ..queued_request(1, "a", 900)
    };
    let joined = [
        (queued_request(1, "a", 100), "less urgent"),
        (queued_request(0, "a", 500), "first of a"),
        (queued_request(0, "a", 400), "second of a"),
        (queued_request(0, "b", 600), "first of b"),
        (queued_request(0, "c", 300), "first of c, due sooner"),
        (resumed, "resumed"),
    ];
    let join = |(req, name)| queue.join(req, name).expect("the queue has room").0;
    let orders: Vec<QueuePosition> = joined.into_iter().map(join).collect();
    let expected = [
        "resumed",
        "first of c, due sooner",
        "first of a",
        "first of b",
        "second of a",
        "less urgent",
    ];
    assert_eq!(drain_in_order(queue, &orders), expected);
}

#[test]
fn full_queue_accepts_only_requests_ahead_of_its_last() {
    let mut queue = Queue::new(Bounds {
        count: 2,
        bytes: 250,
    });
    queue
        .join(queued_request(1, "a", 100), "a")
        .expect("the queue is empty");
    let (last, _) = queue
        .join(queued_request(2, "b", 100), "b")
        .expect("the queue has room");
    assert_eq!(queue.join(queued_request(2, "c", 200), "c"), Err(QueueFull));
    let (_, replaced) = queue
        .join(queued_request(0, "d", 900), "d")
        .expect("a more urgent request replaces the last one");
    assert_eq!(replaced, ["b"]);
    assert!(!queue.has(&last));
    let large = QueuedRequest {
        bytes: 200,
        ..queued_request(0, "e", 1)
    };
    let (_, replaced) = queue
        .join(large, "e")
        .expect("the request is ahead of all others");
    assert_eq!(replaced, ["a", "d"]);
    assert_eq!((queue.len(), queue.bytes()), (1, 200));
    let huge = QueuedRequest {
        bytes: 251,
        ..queued_request(0, "f", 0)
    };
    assert_eq!(queue.join(huge, "f"), Err(QueueFull));
}

#[test]
fn retries_are_spaced_and_fall_within_a_third_of_the_time_left() {
    let mut schedule = RetrySchedule::default();
    let mut next = |draw| schedule.next(ms(100), 50.0, ms(6_000), draw, at(1_000));
    let first: Vec<u128> = (0..3).map(|draw| next(draw).as_millis()).collect();
    assert_eq!(first, [120, 140, 160]);
    let mut late: Vec<u128> = (0..1_000).map(|draw| next(draw).as_millis()).collect();
    late.sort();
    let most = late.windows(100).map(|window| window[99] - window[0]).min();
    assert!(most >= Some(90), "100 callers retry within {most:?} ms");
    assert!(late.last() <= Some(&2_000));
}

#[test]
fn request_counts_as_retry_once_and_not_before_retry_after() {
    let request = |number| Fingerprint([number; FINGERPRINT_BYTES]);
    let mut returns = RefusedRequests::default();
    returns.tell(request(1), at(500), at(0));
    returns.tell(request(2), at(500), at(0));
    assert!(!returns.take(request(1), at(499)));
    assert!(returns.take(request(1), at(500)));
    assert!(!returns.take(request(1), at(501)));
    assert!(
        !returns.take(request(2), at(10_000)),
        "the entry has expired"
    );
    assert!(returns.is_empty());
}

/// Guards against counting retries of refused callers as continuing demand: refusals would then cause further
/// refusals.
#[test]
fn no_refusals_with_free_capacity_after_a_burst() {
    for service in [&STREAMS, &PLAIN] {
        let (mut offered, mut refused) = (0, 0);
        for burst in [2.0, 3.0, 4.0] {
            let is_burst = |now| (2_000..6_000).contains(&now);
            let times = |now| if is_burst(now) { burst } else { 0.8 };
            let outcome = simulate_varying(service, times, MIXED, true, SETTLED_FROM_MS);
            offered += outcome.offered.iter().sum::<u32>();
            refused += outcome.refused_with_free_slots;
        }
        assert!(refused * 1000 <= offered, "{refused} of {offered}");
    }
}

/// The bound after `seconds` of 20 sends a second, of which one in `refused_of` is refused.
fn bound_after(booking: &mut OverbookingLimit, from_ms: u64, seconds: u64, refused_of: u64) -> f64 {
    let sends = (0..seconds * 20).map(|number| (number, at(from_ms + number * 50)));
    for (number, now) in sends {
        booking.sent(now);
        if number % refused_of == 0 {
            booking.refused(now);
        }
    }
    booking.bound(at(from_ms + seconds * 1000))
}

#[test]
fn overbooking_falls_while_engines_refuse_and_recovers_afterwards() {
    let mut booking = OverbookingLimit::default();
    let most = booking.bound(at(0));
    assert!(most > 1.2, "{most}");
    assert_eq!(bound_after(&mut booking, 0, 5, 50), most);
    let some = bound_after(&mut booking, 5_000, 3, 6);
    assert!(some > 1.0 && some < most, "{some}");
    assert_eq!(bound_after(&mut booking, 8_000, 3, 2), 1.0);
    assert_eq!(bound_after(&mut booking, 11_000, 6, 1_000), most);
}

#[test]
fn single_refusal_on_an_idle_box_barely_lowers_overbooking() {
    let mut booking = OverbookingLimit::default();
    let most = booking.bound(at(0));
    booking.sent(at(0));
    booking.refused(at(0));
    assert!(booking.bound(at(0)) > 0.8 * most);
}
