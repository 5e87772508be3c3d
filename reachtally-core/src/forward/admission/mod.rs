//! Admission control: decides by rank and utilization whether a request is sent now, queued in this
//! box, or refused.
//!
//! This is trunk reservation: a request is admitted while the estimated utilization of its best
//! path or instance leaves room for what more urgent requests occupy until the next load reports of
//! other boxes arrive. Less urgent requests are therefore refused first, and the most urgent ones
//! only if nothing serves them in time. Each box decides alone, from the load reports that it
//! receives anyway.

use std::time::Duration;

use crate::forward::rate::MeanRate;

mod booking;
mod mix;
mod offer;
mod pacer;
mod queue;
mod reserve;
mod returns;
mod schedule;

pub use booking::OverbookingLimit;
pub use mix::Mix;
pub use offer::{instance_offer, no_connection_offer, path_offer};
pub use pacer::{Pace, Pacer, Running};
pub use queue::{Bounds, Queue, QueueFull, QueuePosition, QueuedRequest};
pub use reserve::{MAX_RESERVED, reserve};
use reserve::{more_urgent_demand, required_level};
pub use returns::RefusedRequests;
pub use schedule::{MAX_RETRY_AFTER, RetrySchedule};

pub use crate::forward::shares::Standing;

/// Age of a box's information about requests of other boxes: two reports, 0.2 s apart, and their
/// transmission.
pub const REACTION: Duration = Duration::from_millis(500);
/// Maximum fraction of a request's objective, counted from its arrival, that it waits in a box. The
/// other half is left for its answer.
pub const MAX_WAIT_FRACTION: f64 = 0.5;
/// Time constant of the decay of past events, in ms. Rates follow a step in demand after two time
/// constants, the time in which the system must be stable again.
const TIME_CONSTANT_MS: u64 = 1000;
/// Mean rate of recent events.
type Rate = MeanRate<TIME_CONSTANT_MS>;
/// Maximum time in which excess load is assumed to drain; keeps times finite for implausible
/// inputs.
const MAX_DRAIN: Duration = Duration::from_secs(60);
/// Maximum fraction of the capacity that is left free before pacing applies. At lower utilization,
/// requests that the pace refuses would still find capacity.
const MAX_GROWTH: f64 = 0.5;
/// Minimum mean duration of requests; keeps rates finite.
const MIN_DURATION: Duration = Duration::from_millis(1);

/// Index of a request's priority among the priorities configured for its service; 0 is the most
/// urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(pub u8);

/// The properties by which admission distinguishes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Class {
    /// The rank of the request.
    pub rank: Rank,
    /// Whether the request is within the share of its account. `Beyond` is less urgent than all
    /// ranks.
    pub standing: Standing,
    /// Whether the caller has already received part of the answer.
    pub is_resumed: bool,
    /// Whether this box refused the request before and it is retried no earlier than announced.
    pub is_retry: bool,
}

impl Class {
    /// Returns the index among the classes of a service, most urgent first: the ranks, then
    /// requests beyond the share of their account.
    pub fn position(self, ranks: usize) -> usize {
        match self.standing {
            Standing::Within => usize::from(self.rank.0).min(ranks.saturating_sub(1)),
            Standing::Beyond => ranks,
        }
    }
}

/// Utilization and latency of the best known path or instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// Highest estimated utilization of any engine's KV capacity or slots, including this request.
    /// May exceed 1; infinite if nothing can be sent before a running request ends.
    pub used: f64,
    /// Expected time to the first event, or to the answer of a plain service.
    pub first: Duration,
}

/// Inputs of the admission of one request, other than its class and offer.
#[derive(Debug, Clone, Copy)]
pub struct Conditions<'a> {
    /// Mean duration of the service's requests.
    pub held: Duration,
    /// Age of the information about requests of other boxes.
    pub reaction: Duration,
    /// Fractions of recent requests by class, indexed by [`Class::position`].
    pub mix: &'a [f64],
    /// Time from arrival by which the answer must begin.
    pub objective: Duration,
    /// Time since arrival.
    pub waited: Duration,
    /// The pace at which this box admits requests near the limit.
    pub pace: Pace,
    /// Number of requests of the service queued in this box before this one.
    pub ahead: usize,
}

impl Conditions<'_> {
    /// Returns the mean duration of requests in seconds, finite and above zero.
    fn duration_s(&self) -> f64 {
        self.held.max(MIN_DURATION).as_secs_f64()
    }
}

/// When the caller of a refused request may retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retry {
    /// Time until there is probably capacity for a request of its class.
    pub after: Duration,
}

/// The admission decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request is sent.
    Admit,
    /// The request is queued; there is probably capacity for it after this time.
    Wait(Duration),
    /// The request is refused without having run.
    Refuse(Retry),
}

/// Decides on a request. Without an offer, no known target serves the request and it is refused.
pub fn admit(class: Class, offer: Option<Offer>, cx: &Conditions<'_>) -> Verdict {
    if class.is_resumed {
        return Verdict::Admit;
    }
    let Some(offer) = offer else {
        let after = cx.held.min(MAX_DRAIN);
        return Verdict::Refuse(Retry { after });
    };
    let growth = cx.pace.growth.clamp(0.0, MAX_GROWTH);
    let reserved = reserve(class, cx).max(growth);
    let excess = offer.used - (1.0 - reserved);
    // A NaN utilization is no reason to refuse, since a path was found.
    if excess.is_nan() || excess <= 0.0 {
        return Verdict::Admit;
    }
    if excess.is_finite() && missing_permits(class, cx) <= 0.0 {
        return Verdict::Admit;
    }
    let drain = drain(class, cx);
    let patience = patience(cx.objective).saturating_sub(cx.waited);
    match drain <= patience {
        true => Verdict::Wait(drain),
        false => Verdict::Refuse(Retry { after: drain }),
    }
}

/// Returns the maximum time from its arrival that a request with this objective is queued in a box.
pub fn patience(objective: Duration) -> Duration {
    // `Duration::MAX` stands for no objective; half of it is still a valid duration.
    objective.mul_f64(MAX_WAIT_FRACTION)
}

/// Returns the number of permits missing until the pacer admits a request of this class after those
/// queued before it.
fn missing_permits(class: Class, cx: &Conditions<'_>) -> f64 {
    let Pace { level, burst, .. } = cx.pace;
    (required_level(class, cx) - level) * burst + cx.ahead as f64
}

/// Returns the time until the pacer admits a request of this class, from the rate that more urgent
/// requests leave.
fn drain(class: Class, cx: &Conditions<'_>) -> Duration {
    // Even if no request has ended recently, one of those running will end within their mean
    // duration.
    let rate = cx.pace.rate.max(1.0 / cx.duration_s());
    let left = rate * (1.0 - more_urgent_demand(class, cx));
    let seconds = missing_permits(class, cx) / left;
    let most = MAX_DRAIN.as_secs_f64();
    // If more urgent requests take the whole rate, no such time exists.
    match left > 0.0 && seconds.is_finite() {
        true => Duration::from_secs_f64(seconds.clamp(0.0, most)),
        false => MAX_DRAIN,
    }
}
