//! Admission: whether a request is sent now, waits in this box, or is refused, by its rank and the use of what would serve it.
//!
//! Trunk reservation: a request is admitted while the believed use of its best path or instance leaves room for what more urgent requests
//! take up until this box hears of others again. So less urgent requests are refused first, and the most urgent are refused only where
//! nothing serves them in time. Each box decides alone, from the loads that it holds anyway.

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

pub use booking::Booking;
pub use mix::Mix;
pub use offer::{instance_offer, no_connection_offer, path_offer};
pub use pacer::{Pace, Pacer, Running};
pub use queue::{Bounds, Entrant, Full, Order, Queue};
pub use reserve::{MOST_RESERVED, reserve};
use reserve::{level_needed, wanted_before};
pub use returns::Returns;
pub use schedule::{LATEST_RETURN, Schedule};

pub use crate::forward::shares::Standing;

/// Age of what a box believes of the requests of others: two reports, of 0.2 s each, and their ways.
pub const REACTION: Duration = Duration::from_millis(500);
/// Part of a request's objective, counted from its arrival, for which it waits in a box at most. The other half is for its answer.
pub const WAIT_PART: f64 = 0.5;
/// Time constant, in ms, with which earlier events count less: rates have followed a step in demand after two of them, in which the
/// system is to be steady again.
const SMOOTHING_MS: u64 = 1000;
/// Mean rate of recent events.
type Rate = MeanRate<SMOOTHING_MS>;
/// Longest time that an excess is taken to drain in; keeps times finite where numbers are without reason.
const LONGEST_DRAIN: Duration = Duration::from_secs(60);
/// Most of the capacity below which a box goes by its pace: with less in use, requests that it refused would find room.
const MOST_GROWTH: f64 = 0.5;
/// Least mean duration of requests, so that rates stay finite.
const LEAST_HELD: Duration = Duration::from_millis(1);

/// Position of a request's priority among the priorities that the configuration has for its service; 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(pub u8);

/// What admission distinguishes requests by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Class {
    /// Its rank.
    pub rank: Rank,
    /// Its standing. `Beyond` is less urgent than all ranks.
    pub standing: Standing,
    /// Whether its caller has had a part of the answer.
    pub is_resumed: bool,
    /// Whether this box refused it before, and it returns no earlier than it was told.
    pub is_return: bool,
}

impl Class {
    /// Position among the classes of a service, the most urgent first: its ranks, then requests beyond their account's share.
    pub fn position(self, ranks: usize) -> usize {
        match self.standing {
            Standing::Within => usize::from(self.rank.0).min(ranks.saturating_sub(1)),
            Standing::Beyond => ranks,
        }
    }
}

/// What the best known path or instance offers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// Largest fraction of any engine's room or slots in use, including this request, as believed. May exceed 1; infinite where nothing
    /// can be sent before something ends.
    pub used: f64,
    /// Expected time to the first event, or to the answer of a plain service.
    pub first: Duration,
}

/// Inputs of admission for one request beside its class and offer.
#[derive(Debug, Clone, Copy)]
pub struct Conditions<'a> {
    /// Mean duration of the service's requests.
    pub held: Duration,
    /// Age of what is known of other boxes' requests.
    pub reaction: Duration,
    /// Fractions of the recent requests by class, by [`Class::position`].
    pub mix: &'a [f64],
    /// Time in which the answer is to begin, from arrival.
    pub objective: Duration,
    /// Time since arrival.
    pub waited: Duration,
    /// How this box is placed to admit requests near the limit.
    pub pace: Pace,
    /// Requests of the service that wait in this box before it.
    pub ahead: usize,
}

impl Conditions<'_> {
    /// Mean duration of requests, finite and not zero, in seconds.
    fn held_s(&self) -> f64 {
        self.held.max(LEAST_HELD).as_secs_f64()
    }
}

/// When a refused caller may return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retry {
    /// Time until there is probably room for a request of its class.
    pub after: Duration,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent.
    Admit,
    /// It waits; there is probably room for it after this time.
    Wait(Duration),
    /// It is refused without having run.
    Refuse(Retry),
}

/// Decides on a request. Without an offer nothing known serves it, and it is refused.
pub fn admit(class: Class, offer: Option<Offer>, cx: &Conditions<'_>) -> Verdict {
    if class.is_resumed {
        return Verdict::Admit;
    }
    let Some(offer) = offer else {
        let after = cx.held.min(LONGEST_DRAIN);
        return Verdict::Refuse(Retry { after });
    };
    let growth = cx.pace.growth.clamp(0.0, MOST_GROWTH);
    let kept = reserve(class, cx).max(growth);
    let excess = offer.used - (1.0 - kept);
    // A use that is no number says nothing against a path that was found.
    if excess.is_nan() || excess <= 0.0 {
        return Verdict::Admit;
    }
    if excess.is_finite() && lacking(class, cx) <= 0.0 {
        return Verdict::Admit;
    }
    let drain = drain(class, cx);
    let patience = patience(cx.objective).saturating_sub(cx.waited);
    match drain <= patience {
        true => Verdict::Wait(drain),
        false => Verdict::Refuse(Retry { after: drain }),
    }
}

/// Longest time from its arrival for which a request with this objective waits in a box.
pub fn patience(objective: Duration) -> Duration {
    // The largest duration is no objective, and times a half it is still a duration.
    objective.mul_f64(WAIT_PART)
}

/// Requests that the pace lacks to admit one of this class after those that wait before it.
fn lacking(class: Class, cx: &Conditions<'_>) -> f64 {
    let Pace { level, kept, .. } = cx.pace;
    (level_needed(class, cx) - level) * kept + cx.ahead as f64
}

/// Time until the pace admits a request of this class, by what it leaves beside more urgent requests.
fn drain(class: Class, cx: &Conditions<'_>) -> Duration {
    // Also where none has ended lately, one of those that run will within their mean duration.
    let rate = cx.pace.rate.max(1.0 / cx.held_s());
    let left = rate * (1.0 - wanted_before(class, cx));
    let seconds = lacking(class, cx) / left;
    let most = LONGEST_DRAIN.as_secs_f64();
    // Where more urgent requests want all of it, there is no such time.
    match left > 0.0 && seconds.is_finite() {
        true => Duration::from_secs_f64(seconds.clamp(0.0, most)),
        false => LONGEST_DRAIN,
    }
}
