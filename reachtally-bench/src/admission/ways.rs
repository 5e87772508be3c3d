//! Ways to admit requests, and what each box keeps for them.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::admission::{
    Bounds, Class, Conditions, Mix, Offer, OverbookingLimit, Pacer, Queue, QueuePosition, REACTION,
    Retry, RetrySchedule, Running, Verdict, admit,
};
use reachtally_core::forward::budget::SharedRetryBudget;

use super::scenario::{OBJECTIVES_US, RANKS};
use crate::choice::engines::SERVICE;

/// Requests that wait in a box, at most, as the relay has it. Their bodies do not count here.
const QUEUE_BOUNDS: Bounds = Bounds {
    count: 64,
    bytes: usize::MAX,
};
/// Time that a request is assumed to run before one has ended, and weight of each in the running mean, as the relay has them.
const HELD_ASSUMED: f64 = 3.0;
const HELD_WEIGHT: f64 = 0.03;
/// `Retry-After` of refusals without a schedule.
const RETRY: Duration = Duration::from_secs(1);
/// Part of the engines' room that admission probabilities aim at.
const TARGET: f64 = 0.95;
/// Time in which they close the gap to it, in s: two reports and two answers.
const CLOSE: f64 = 1.0;

/// Classes: the ranks, then requests beyond their account's share.
pub const CLASSES: usize = RANKS + 1;

/// How requests are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// All are sent: today's choice alone.
    None,
    /// Each box reserves room for more urgent ranks.
    Reserve,
    /// Collectors compute a probability for each rank.
    Probability,
    /// What fits is sent, whatever its rank, and the rest is dropped: with one box, which knows all, what the choice makes of
    /// the engines at most.
    Fits,
}

impl Way {
    /// The ways that are compared.
    pub const ALL: [Way; 3] = [Way::None, Way::Reserve, Way::Probability];
}

impl std::fmt::Display for Way {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Way::None => "none",
            Way::Reserve => "reserve",
            Way::Probability => "probability",
            Way::Fits => "fits",
        })
    }
}

/// What a box keeps for admission.
pub struct Entrance {
    /// Mean duration of requests, in s.
    held: f64,
    /// Recent requests by class.
    pub mix: Mix,
    /// The rate at which it admits near the limit.
    pub pacer: Pacer,
    /// How far the room of paths is booked.
    pub booking: OverbookingLimit,
    /// Return times of refused requests.
    schedule: RetrySchedule,
    /// Requests that wait, by number.
    pub queue: Queue<usize>,
    /// Second sends.
    pub budget: SharedRetryBudget,
    /// Requests by rank since the last report.
    pub offered: [f64; CLASSES],
    /// Admission probability by rank, as last told.
    pub probability: [f64; CLASSES],
}

impl Entrance {
    /// A box that has just started.
    pub fn new() -> Self {
        Entrance {
            held: HELD_ASSUMED,
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

    /// Mean duration of requests.
    pub fn held(&self) -> Duration {
        Duration::from_secs_f64(self.held)
    }

    /// Notes how long a request ran.
    pub fn note_held(&mut self, us: u64) {
        self.held += HELD_WEIGHT * (us as f64 / 1e6 - self.held);
    }

    /// What to do with a request.
    pub fn decide(&mut self, way: Way, class: Class, offer: Option<Offer>, case: &Case) -> Verdict {
        let refuse = Verdict::Refuse(Retry { after: RETRY });
        let objective = Duration::from_micros(OBJECTIVES_US[case.rank]);
        match way {
            Way::None => offer.map_or(refuse, |_| Verdict::Admit),
            Way::Fits => match offer.is_some_and(|offer| offer.used <= 1.0) {
                true => Verdict::Admit,
                false => refuse,
            },
            Way::Reserve => {
                let used = offer.map_or(f64::INFINITY, |offer| offer.used);
                let position = class.position(RANKS);
                let cx = Conditions {
                    held: self.held(),
                    reaction: REACTION,
                    mix: &self.mix.fractions(),
                    objective,
                    waited: case.waited,
                    pace: self
                        .pacer
                        .update_pace(used, case.running, REACTION, case.now),
                    ahead: self.queue.ahead(SERVICE, position, case.place.as_ref()),
                };
                admit(class, offer, &cx)
            }
            Way::Probability => {
                let is_drawn = case.draw < self.probability[class.position(RANKS)];
                let is_in_time = offer.is_some_and(|offer| offer.first <= objective);
                match is_drawn && is_in_time {
                    true => Verdict::Admit,
                    false => refuse,
                }
            }
        }
    }

    /// Time until a refused caller that leaves after `left` may return.
    pub fn return_after(
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

/// What a request brings to a decision beside its class and offer.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    /// Its own rank, whatever class it is judged as.
    pub rank: usize,
    /// The time, and that since it came.
    pub now: Instant,
    /// See there.
    pub waited: Duration,
    /// Its place if it waits.
    pub place: Option<QueuePosition>,
    /// Requests on the engines, as its box believes.
    pub running: Running,
    /// A number from 0 to 1.
    pub draw: f64,
}

/// Computes admission probabilities in a collector.
#[derive(Debug, Clone, Default)]
pub struct Controller {
    /// Requests a second by rank that each box offers, by its number, as last told.
    pub boxes: std::collections::BTreeMap<usize, [f64; CLASSES]>,
    /// The same of the other failure domains.
    pub peers: std::collections::BTreeMap<usize, [f64; CLASSES]>,
}

impl Controller {
    /// Requests a second by rank of the boxes that report here.
    pub fn own(&self) -> [f64; CLASSES] {
        sum(self.boxes.values())
    }

    /// Probability by rank, the most urgent first: as many requests as end, and those that fill the room up to the target, of which
    /// `used` is in use and all of which holds `most` requests.
    pub fn probability(&self, used: f64, most: f64, held: f64) -> [f64; CLASSES] {
        let rate = used.min(1.0) * most / held + (TARGET - used) * most / CLOSE;
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
