//! What a choice offers to a request.

use std::time::Duration;

use super::{LEAST_HELD, Offer};
use crate::forward::select::{Choice, Instance};

/// Most rounds of requests at an instance of a plain service, those that it runs included, as far as admission goes. The
/// load of an instance is known from its last answer only, so more would be counted on numbers that are long outdated.
const MOST_ROUNDS: f64 = 2.0;
/// Part of the objective that fits the rounds: requests run longer than the mean, and loads are outdated when they are known.
const WAIT_SHARE: f64 = 0.33;
/// Longest time expected; keeps times finite where numbers are without reason.
const LONGEST_FIRST: Duration = Duration::from_secs(3600);

/// The offer of a path, of whose calculated room the part `booked` may be booked: its use in parts of that.
pub fn path_offer(choice: &Choice, booked: f64) -> Offer {
    Offer {
        used: choice.used / booked,
        first: choice.first,
    }
}

/// The offer of an instance of a plain service, where requests take `held` on average once they run. Its slots are not all of its
/// capacity: it queues requests, and as many rounds of them as fit a third of `objective`, the shortest of the service, are answered in
/// time.
pub fn instance_offer(instance: &Instance, held: Duration, objective: Duration) -> Offer {
    let held_s = held.max(LEAST_HELD).as_secs_f64();
    let rounds = WAIT_SHARE * objective.as_secs_f64() / held_s;
    // The larger of a number and 0 is a number.
    let in_use = instance.used.max(0.0);
    let first_s = (held_s * in_use.max(1.0)).min(LONGEST_FIRST.as_secs_f64());
    Offer {
        used: in_use / rounds.clamp(1.0, MOST_ROUNDS),
        first: Duration::from_secs_f64(first_s),
    }
}

/// The offer of instances to which this box has all of its part of the connections in use, where requests take `held` on average.
pub fn no_connection_offer(held: Duration) -> Offer {
    Offer {
        used: f64::INFINITY,
        first: held.min(LONGEST_FIRST).saturating_mul(2),
    }
}
