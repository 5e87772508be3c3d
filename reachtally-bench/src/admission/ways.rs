//! Admission policies and the per-box state that they need.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::admission::{
    Bounds, Class, Conditions, Mix, Offer, OverbookingLimit, Pacer, Queue, QueuePosition, REACTION,
    Retry, RetrySchedule, Running, Verdict, admit,
};
use reachtally_core::forward::budget::SharedRetryBudget;

use super::scenario::{OBJECTIVES_US, RANKS};
use crate::choice::engines::SERVICE;

/// Bounds of a box's queue, as in the relay. The simulation has no bodies, so their bytes are unbounded.
const QUEUE_BOUNDS: Bounds = Bounds {
    count: 64,
    bytes: usize::MAX,
};
/// Initial estimate of a request's duration in s, and the weight of a sample in its moving average; both as in the relay.
const INITIAL_DURATION_S: f64 = 3.0;
const DURATION_WEIGHT: f64 = 0.03;
/// `Retry-After` of refusals that no retry schedule covers.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Target utilization of the engines' KV capacity for admission probabilities.
const TARGET_UTILIZATION: f64 = 0.95;
/// Time in s over which the probabilities correct a deviation from the target: two reports and two answers.
const CORRECTION_TIME_S: f64 = 1.0;

/// Number of classes: one per rank, and one for requests beyond their account's share.
pub const CLASSES: usize = RANKS + 1;

/// An admission policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Sends every request; path selection alone.
    None,
    /// Each box reserves capacity for more urgent ranks; the shipped policy.
    Reserve,
    /// Collectors compute an admission probability for each rank.
    Probability,
    /// Sends every request that fits, whatever its rank, and drops the rest. With a single box, which has complete
    /// knowledge, this is the most that path selection gets out of the engines.
    Fits,
}

impl Policy {
    /// The policies to compare.
    pub const ALL: [Policy; 3] = [Policy::None, Policy::Reserve, Policy::Probability];
}

impl std::fmt::Display for Policy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Policy::None => "none",
            Policy::Reserve => "reserve",
            Policy::Probability => "probability",
            Policy::Fits => "fits",
        })
    }
}

/// Admission state of one box.
pub struct AdmissionState {
    /// Moving average of request durations, in s.
    mean_duration_s: f64,
    /// Recent requests per class.
    pub mix: Mix,
    /// Limits the admission rate near saturation.
    pub pacer: Pacer,
    /// How far paths may be overbooked.
    pub booking: OverbookingLimit,
    /// Retry times given to refused requests.
    schedule: RetrySchedule,
    /// Waiting requests, by request number.
    pub queue: Queue<usize>,
    /// Budget of repeated sends, shared by all boxes.
    pub budget: SharedRetryBudget,
    /// Requests per class since the last report.
    pub offered: [f64; CLASSES],
    /// Admission probability per class, as last received.
    pub probability: [f64; CLASSES],
}

impl AdmissionState {
    /// Creates the state of a box that has just started.
    pub fn new() -> Self {
        AdmissionState {
            mean_duration_s: INITIAL_DURATION_S,
            mix: Mix::default(),
            pacer: Pacer::default(),
            booking: OverbookingLimit::default(),
            schedule: RetrySchedule::default(),
            queue: Queue::new(QUEUE_BOUNDS),
            budget: SharedRetryBudget::default(),
            offered: [0.0; CLASSES],
            probability: [1.0; CLASSES],
        }
    }

    /// Moving average of request durations.
    pub fn mean_duration(&self) -> Duration {
        Duration::from_secs_f64(self.mean_duration_s)
    }

    /// Adds the duration of a request to the moving average.
    pub fn record_duration(&mut self, us: u64) {
        self.mean_duration_s += DURATION_WEIGHT * (us as f64 / 1e6 - self.mean_duration_s);
    }

    /// Decides whether to admit, queue or refuse a request.
    pub fn decide(
        &mut self,
        policy: Policy,
        class: Class,
        offer: Option<Offer>,
        inputs: &DecisionInputs,
    ) -> Verdict {
        let refuse = Verdict::Refuse(Retry {
            after: DEFAULT_RETRY_AFTER,
        });
        let objective = Duration::from_micros(OBJECTIVES_US[inputs.rank]);
        match policy {
            Policy::None => offer.map_or(refuse, |_| Verdict::Admit),
            Policy::Fits => match offer.is_some_and(|offer| offer.used <= 1.0) {
                true => Verdict::Admit,
                false => refuse,
            },
            Policy::Reserve => {
                let used = offer.map_or(f64::INFINITY, |offer| offer.used);
                let position = class.position(RANKS);
                let cx = Conditions {
                    held: self.mean_duration(),
                    reaction: REACTION,
                    mix: &self.mix.fractions(),
                    objective,
                    waited: inputs.waited,
                    pace: self
                        .pacer
                        .update_pace(used, inputs.running, REACTION, inputs.now),
                    ahead: self
                        .queue
                        .ahead(SERVICE, position, inputs.queue_position.as_ref()),
                };
                admit(class, offer, &cx)
            }
            Policy::Probability => {
                let is_drawn = inputs.draw < self.probability[class.position(RANKS)];
                let is_in_time = offer.is_some_and(|offer| offer.first <= objective);
                match is_drawn && is_in_time {
                    true => Verdict::Admit,
                    false => refuse,
                }
            }
        }
    }

    /// Returns the time after which a refused caller may retry; the caller gives up after `left`.
    pub fn retry_after(
        &mut self,
        drain: Duration,
        left: Duration,
        draw: u64,
        now: Instant,
    ) -> Duration {
        let rate = self.mix.admitted_rate(now);
        self.schedule.next(drain, rate, left, draw, now)
    }
}

/// The inputs of an admission decision beside class and offer.
#[derive(Debug, Clone, Copy)]
pub struct DecisionInputs {
    /// Rank of the request, which its class may differ from.
    pub rank: usize,
    /// Current time.
    pub now: Instant,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Queue position of a waiting request.
    pub queue_position: Option<QueuePosition>,
    /// Requests on the engines, as known to its box.
    pub running: Running,
    /// Random number from 0 to 1, drawn once for each request.
    pub draw: f64,
}

/// Computes the admission probabilities in a collector.
#[derive(Debug, Clone, Default)]
pub struct Controller {
    /// Offered requests per second and class of each box, by box number, as last received.
    pub boxes: std::collections::BTreeMap<usize, [f64; CLASSES]>,
    /// Offered requests per second and class of each other failure domain, as last received.
    pub peers: std::collections::BTreeMap<usize, [f64; CLASSES]>,
}

impl Controller {
    /// Offered requests per second and class of all boxes that report to this collector.
    pub fn own(&self) -> [f64; CLASSES] {
        sum(self.boxes.values())
    }

    /// Returns the admission probability per class. The admitted rate replaces the requests that end and moves the utilization
    /// from `used` to the target; classes get it in order of urgency. `capacity` is the number of requests that the engines
    /// hold, `duration_s` the mean duration of a request.
    pub fn probability(&self, used: f64, capacity: f64, duration_s: f64) -> [f64; CLASSES] {
        let rate = used.min(1.0) * capacity / duration_s
            + (TARGET_UTILIZATION - used) * capacity / CORRECTION_TIME_S;
        let mut left = rate.max(0.0);
        let offered = sum([self.own(), sum(self.peers.values())].iter());
        offered.map(|offered| {
            let admitted = left.min(offered);
            left -= admitted;
            if offered > 0.0 {
                admitted / offered
            } else {
                1.0
            }
        })
    }
}

fn sum<'a>(rates: impl Iterator<Item = &'a [f64; CLASSES]>) -> [f64; CLASSES] {
    rates.fold([0.0; CLASSES], |sum, rate| {
        std::array::from_fn(|class| sum[class] + rate[class])
    })
}
