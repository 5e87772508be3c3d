//! When targets that this box backs off from can serve again.

use std::collections::BTreeSet;

use crate::forward::fleet::Fleet;
use crate::time::Instant;

/// Most ends of back-off that are considered; each may cost a search over all engines, for a request that is refused.
const MOST_LOOKS: usize = 8;

/// Returns the first end of a back-off at which a request for `service` can be served, as far as is known: `can_serve` tells it for
/// a time. `None` if back-off is not what keeps it from being served.
pub fn served_after_back_off(
    fleet: &Fleet,
    service: &str,
    now: Instant,
    can_serve: impl Fn(Instant) -> bool,
) -> Option<Instant> {
    let targets = fleet.of_service(service);
    let ends: BTreeSet<Instant> = targets
        .filter_map(|(_, engine)| engine.notice.backs_off_until(now))
        .collect();
    if ends.is_empty() || can_serve(now) {
        return None;
    }
    let mut soonest = ends.into_iter().take(MOST_LOOKS);
    soonest.find(|end| can_serve(*end))
}
