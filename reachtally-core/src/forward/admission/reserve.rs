//! The fraction of the capacity that is reserved for more urgent requests.

use super::{Class, Conditions, Standing};

/// Maximum fraction of the capacity reserved for more urgent requests. A higher limit would waste
/// capacity when most of the load is less urgent.
pub const MAX_RESERVED: f64 = 0.3;

/// Returns the fraction of the capacity that more urgent requests occupy within the reaction time,
/// before this box learns of those admitted elsewhere. 0 for the most urgent class, or if no more
/// urgent request arrived recently.
pub fn reserve(class: Class, cx: &Conditions<'_>) -> f64 {
    let renewed = cx.reaction.as_secs_f64() / cx.duration_s();
    (renewed * more_urgent_fraction(class, cx)).min(MAX_RESERVED)
}

/// Returns the level of [`Pace`](super::Pace) from which a request of this class is admitted near
/// the limit, so that the permits that more urgent requests need are left to them. The most urgent
/// requests may borrow permits, which the others then have to wait for.
pub(super) fn required_level(class: Class, cx: &Conditions<'_>) -> f64 {
    2.0 * more_urgent_demand(class, cx) - 1.0
}

/// Returns the fraction of the pace that more urgent requests use.
pub(super) fn more_urgent_demand(class: Class, cx: &Conditions<'_>) -> f64 {
    let more_urgent_fraction = more_urgent_fraction(class, cx);
    match more_urgent_fraction > 0.0 {
        // `f64::min` returns 1 if the demand is NaN.
        true => (more_urgent_fraction * cx.pace.demand.max(0.0)).min(1.0),
        // Also avoids NaN where the demand is infinite.
        false => 0.0,
    }
}

/// Returns the fraction of recent requests that is more urgent. For a request that is retried as
/// announced, the rank counts as halfway to the next more urgent one. With the full step, retried
/// requests would get as much of the capacity as the most urgent ones.
fn more_urgent_fraction(class: Class, cx: &Conditions<'_>) -> f64 {
    let ranks = cx.mix.len().saturating_sub(1);
    let position = match class.standing {
        // If the mix has no entry for the rank, no request of it was counted either.
        Standing::Within => usize::from(class.rank.0).min(ranks),
        Standing::Beyond => ranks,
    };
    let before = |position: usize| -> f64 {
        let each = cx.mix[..position].iter().copied();
        each.map(clamp_fraction).sum::<f64>().min(1.0)
    };
    // An account that floods beyond its share gains nothing by retrying.
    match class.is_retry && class.standing == Standing::Within {
        true => (before(position) + before(position.saturating_sub(1))) / 2.0,
        false => before(position),
    }
}

/// Clamps a number to `[0, 1]`, with 0 for NaN.
fn clamp_fraction(number: f64) -> f64 {
    match number.is_nan() {
        true => 0.0,
        false => number.clamp(0.0, 1.0),
    }
}
