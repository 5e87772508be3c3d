//! Admission: whether a request is sent now, waits in this box, or is refused, by its rank and the use of what would serve it.
//!
//! Trunk reservation: a request is admitted while the believed use of its best path or instance leaves room for what more urgent requests
//! take up until this box hears of others again. So less urgent requests are refused first, and the most urgent are refused only where
//! nothing serves them in time. Each box decides alone, from the loads that it holds anyway.

use std::time::Duration;

mod mix;
mod offer;
mod queue;
mod reserve;
mod returns;
mod schedule;

pub use mix::Mix;
pub use offer::{instance_offer, path_offer};
pub use queue::{Bounds, Entrant, Full, Order, Queue};
pub use reserve::{MOST_RESERVED, reserve};
pub use returns::Returns;
pub use schedule::{LATEST_RETURN, Schedule};

/// Age of what a box believes of the requests of others: two reports, of 0.2 s each, and their ways.
pub const REACTION: Duration = Duration::from_millis(500);
/// Part of a request's objective, counted from its arrival, for which it waits in a box at most. The other half is for its answer.
pub const WAIT_PART: f64 = 0.5;
/// Longest time that an excess is taken to drain in; keeps times finite where numbers are without reason.
const LONGEST_DRAIN: Duration = Duration::from_secs(60);
/// Least mean duration of requests, so that rates stay finite.
const LEAST_HELD: Duration = Duration::from_millis(1);

/// Position of a request's priority among the priorities that the configuration has for its service; 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(pub u8);

/// Whether a request is within its account's share of a contended service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The account takes no more than its share.
    Within,
    /// The account takes more, and this is one of the requests beyond.
    Beyond,
}

/// What admission distinguishes requests by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Class {
    /// Its rank.
    pub rank: Rank,
    /// Its standing. `Beyond` is less urgent than all ranks.
    pub standing: Standing,
    /// Whether its caller has had a part of the answer.
    pub is_resumed: bool,
}

impl Class {
    /// Position among the classes of a service, the most urgent first: its ranks, then requests beyond their account's share.
    pub fn position(self, ranks: usize) -> usize {
        match self.standing {
            Standing::Within => usize::from(self.rank.0).min(ranks.saturating_sub(1)),
            Standing::Beyond => ranks,
        }
    }

    /// The class of a request that returns not earlier than it was told: the next more urgent rank. A request beyond its account's
    /// share stays so, or a flood would gain by returning.
    pub fn returned(self) -> Self {
        Class {
            rank: Rank(self.rank.0.saturating_sub(1)),
            ..self
        }
    }
}

/// What the best known path or instance offers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// Largest fraction of any engine's room or slots in use, including this request, as believed. May exceed 1.
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
    /// Time in which the excess drains to the limit of the request's class.
    pub after: Duration,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent.
    Admit,
    /// It waits; the excess is expected to drain in this time.
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
    let reserved = reserve(class, cx);
    let excess = offer.used - (1.0 - reserved);
    // A use that is no number says nothing against a path that was found.
    if excess.is_nan() || excess <= 0.0 {
        return Verdict::Admit;
    }
    // Use beyond 1 takes from nobody more urgent here; it only has to be served in time.
    if reserved <= 0.0 && cx.waited.saturating_add(offer.first) <= cx.objective {
        return Verdict::Admit;
    }
    let drain = drain(excess, cx);
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

/// Time in which an excess of use drains: in the mean duration of requests all that now run have ended.
fn drain(excess: f64, cx: &Conditions<'_>) -> Duration {
    let seconds = excess * cx.held_s();
    let most = LONGEST_DRAIN.as_secs_f64();
    Duration::from_secs_f64(seconds.clamp(0.0, most))
}
