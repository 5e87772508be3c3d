//! The part of the capacity that is kept for more urgent requests.

use super::{Class, Conditions, Standing};

/// Most of the capacity that is kept for more urgent requests. More would leave capacity unused under a load that is mostly less urgent.
pub const MOST_RESERVED: f64 = 0.3;

/// Returns the fraction of the capacity that more urgent requests take up within the reaction time: until then this box does not hear
/// that they came. 0 for the most urgent class, and where nothing more urgent came lately.
pub fn reserve(class: Class, cx: &Conditions<'_>) -> f64 {
    let renewed = cx.reaction.as_secs_f64() / cx.held_s();
    (renewed * more_urgent(class, cx)).min(MOST_RESERVED)
}

/// Returns the level of [`Pace`](super::Pace) from which a request of this class is admitted near the limit: what more urgent requests
/// want of the pace stays there for them. The most urgent ones may take some in advance, which the others then go without.
pub(super) fn level_needed(class: Class, cx: &Conditions<'_>) -> f64 {
    2.0 * wanted_before(class, cx) - 1.0
}

/// The fraction of the pace that more urgent requests want.
pub(super) fn wanted_before(class: Class, cx: &Conditions<'_>) -> f64 {
    let more_urgent = more_urgent(class, cx);
    match more_urgent > 0.0 {
        // The lesser of a number and 1 is a number.
        true => (more_urgent * cx.pace.demand.max(0.0)).min(1.0),
        // Also where nothing may be admitted, which no part of makes a number.
        false => 0.0,
    }
}

/// The fraction of the recent requests that is more urgent. For a request that returns as it was told, halfway to that of the next more
/// urgent rank: with the whole of it, less urgent requests that return would have as much of the capacity as the most urgent.
fn more_urgent(class: Class, cx: &Conditions<'_>) -> f64 {
    let ranks = cx.mix.len().saturating_sub(1);
    let position = match class.standing {
        // The mix of a service without a place for the rank has nothing on it either.
        Standing::Within => usize::from(class.rank.0).min(ranks),
        Standing::Beyond => ranks,
    };
    let before = |position: usize| -> f64 {
        let each = cx.mix[..position].iter().copied();
        each.map(fraction).sum::<f64>().min(1.0)
    };
    // A flood beyond its account's share gains nothing by returning.
    match class.is_return && class.standing == Standing::Within {
        true => (before(position) + before(position.saturating_sub(1))) / 2.0,
        false => before(position),
    }
}

/// A fraction, whatever the number.
fn fraction(number: f64) -> f64 {
    match number.is_nan() {
        true => 0.0,
        false => number.clamp(0.0, 1.0),
    }
}
