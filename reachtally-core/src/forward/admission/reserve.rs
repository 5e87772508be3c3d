//! The part of the capacity that is kept for more urgent requests.

use super::{Class, Conditions, Standing};

/// Most of the capacity that is kept for more urgent requests. More would leave capacity unused under a load that is mostly less urgent.
pub const MOST_RESERVED: f64 = 0.3;

/// Returns the fraction of the capacity that more urgent requests take up within the reaction time: until then this box does not hear
/// that they came. 0 for the most urgent class, and where nothing more urgent came lately.
pub fn reserve(class: Class, cx: &Conditions<'_>) -> f64 {
    let ranks = cx.mix.len().saturating_sub(1);
    let position = match class.standing {
        // The mix of a service without a place for the rank has nothing on it either.
        Standing::Within => usize::from(class.rank.0).min(ranks),
        Standing::Beyond => ranks,
    };
    let more_urgent: f64 = cx.mix[..position].iter().copied().map(fraction).sum();
    let renewed = cx.reaction.as_secs_f64() / cx.held_s();
    (renewed * more_urgent.min(1.0)).min(MOST_RESERVED)
}

/// A fraction, whatever the number.
fn fraction(number: f64) -> f64 {
    match number.is_nan() {
        true => 0.0,
        false => number.clamp(0.0, 1.0),
    }
}
