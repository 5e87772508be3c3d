//! Converts the result of a selection to an admission offer.

use std::time::Duration;

use super::{MIN_DURATION, Offer};
use crate::forward::select::{Choice, Instance};

/// Maximum number of rounds of requests admitted to an instance of a plain service, including the
/// running round. The load of an instance is known only from its last answer, so a higher limit
/// would rely on outdated numbers.
const MAX_ROUNDS: f64 = 2.0;
/// Fraction of the objective available for the rounds. Requests may run longer than the mean, and
/// load information is outdated when it arrives.
const ROUNDS_FRACTION: f64 = 0.33;
/// Maximum expected time; keeps times finite for implausible inputs.
const MAX_FIRST: Duration = Duration::from_secs(3600);

/// Returns the offer of a path whose estimated capacity may be used up to the fraction `booked`;
/// its utilization is relative to that.
pub fn path_offer(choice: &Choice, booked: f64) -> Offer {
    Offer {
        used: choice.used / booked,
        first: choice.first,
    }
}

/// Returns the offer of an instance of a plain service whose requests run for `held` on average.
/// Its capacity exceeds its slots: it queues requests, and as many rounds of them as fit into a
/// third of `objective`, the shortest one of the service, are answered in time.
pub fn instance_offer(instance: &Instance, held: Duration, objective: Duration) -> Offer {
    let duration_s = held.max(MIN_DURATION).as_secs_f64();
    let rounds = ROUNDS_FRACTION * objective.as_secs_f64() / duration_s;
    // Replaces NaN by 0.
    let utilization = instance.used.max(0.0);
    let first_s = (duration_s * utilization.max(1.0)).min(MAX_FIRST.as_secs_f64());
    Offer {
        used: utilization / rounds.clamp(1.0, MAX_ROUNDS),
        first: Duration::from_secs_f64(first_s),
    }
}

/// Returns the offer of instances for which this box has used up its share of the connections,
/// where requests run for `held` on average.
pub fn no_connection_offer(held: Duration) -> Offer {
    Offer {
        used: f64::INFINITY,
        first: held.min(MAX_FIRST).saturating_mul(2),
    }
}
