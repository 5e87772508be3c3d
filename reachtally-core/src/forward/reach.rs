//! Which targets of a service this box reaches, compared with what other boxes report.

use crate::forward::fleet::{Engine, Fleet};

/// Numbers of targets of one service that are not leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceReach {
    /// Known targets.
    pub targets: usize,
    /// Targets that accept no connections from this box.
    pub unresponsive: usize,
    /// Targets that several other boxes report as accepting no connections.
    pub unresponsive_elsewhere: usize,
    /// Targets that accept no connections from this box but run requests of other boxes, as last
    /// reported. They are cut off from this box rather than dead.
    pub unresponsive_here_only: usize,
}

/// Returns the reach of `service`.
pub fn service_reach(fleet: &Fleet, service: &str) -> ServiceReach {
    let targets = fleet.of_service(service).map(|(_, engine)| engine);
    let mut reach = ServiceReach::default();
    for target in targets.filter(|engine| !engine.is_leaving()) {
        let is_unresponsive = target.health.is_unresponsive();
        reach.targets += 1;
        reach.unresponsive += usize::from(is_unresponsive);
        reach.unresponsive_elsewhere += usize::from(target.is_reported_unresponsive());
        reach.unresponsive_here_only += usize::from(is_unresponsive && is_in_use_elsewhere(target));
    }
    reach
}

fn is_in_use_elsewhere(target: &Engine) -> bool {
    target.remote_running > 0.0 && !target.is_reported_unresponsive()
}
