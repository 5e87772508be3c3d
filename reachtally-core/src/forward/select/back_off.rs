//! When targets in back-off become available again.

use std::collections::BTreeSet;

use crate::forward::fleet::Fleet;
use crate::time::Instant;

/// Maximum number of back-off ends that are checked. Each check may search all engines, only to
/// compute the retry time of a refused request.
const MAX_CHECKS: usize = 8;

/// Returns the earliest end of a back-off at which a request for `service` can be served, according
/// to `can_serve`. Returns `None` if the request is not blocked by back-off.
pub fn earliest_after_back_off(
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
    let mut soonest = ends.into_iter().take(MAX_CHECKS);
    soonest.find(|end| can_serve(*end))
}
