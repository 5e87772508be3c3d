//! Progress of this box from its start to its first served request.

use std::cell::Cell;
use std::time::Duration;

use crate::relay::Relay;

/// What a box waits for after its start. The waits overlap, and later ones may end first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Milestone {
    /// A first update from another box, or a first response to a read of the store.
    Source,
    /// A first configuration.
    Configuration,
    /// A first complete list of targets.
    Targets,
    /// A first confirmation that the configuration is the newest one.
    Confirmation,
    /// A first readiness probe that found the box ready.
    Readiness,
    /// A first request whose whole answer was passed on.
    Request,
}

impl Milestone {
    /// All milestones, in the order in which a box usually reaches them.
    pub const ALL: [Milestone; 6] = [
        Milestone::Source,
        Milestone::Configuration,
        Milestone::Targets,
        Milestone::Confirmation,
        Milestone::Readiness,
        Milestone::Request,
    ];

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Milestone::Source => "source",
            Milestone::Configuration => "configuration",
            Milestone::Targets => "targets",
            Milestone::Confirmation => "confirmation",
            Milestone::Readiness => "readiness",
            Milestone::Request => "request",
        }
    }
}

/// Name of the state in which all milestones have been reached.
pub const SERVING: &str = "none";

/// Times from the start of this box to its milestones.
#[derive(Debug, Default)]
pub struct Startup {
    reached: Cell<[Option<Duration>; Milestone::ALL.len()]>,
}

impl Startup {
    /// Returns when `milestone` was reached, as time since the start.
    pub fn reached(&self, milestone: Milestone) -> Option<Duration> {
        self.reached.get()[milestone as usize]
    }

    /// Returns the first milestone that has not been reached.
    pub fn awaited(&self) -> Option<Milestone> {
        let mut all = Milestone::ALL.into_iter();
        all.find(|milestone| self.reached(*milestone).is_none())
    }

    /// Returns the name of the first milestone that has not been reached, or [`SERVING`].
    pub fn awaited_name(&self) -> &'static str {
        self.awaited().map_or(SERVING, Milestone::name)
    }
}

impl Relay {
    /// Records that this box has reached a milestone; only the first time counts.
    pub(crate) fn reach(&self, milestone: Milestone) {
        let mut reached = self.startup.reached.get();
        let slot = &mut reached[milestone as usize];
        if slot.is_some() {
            return;
        }
        let after = self.now().elapsed();
        *slot = Some(after);
        self.startup.reached.set(reached);
        log::info!(event = "startup", reached = milestone.name(), after_ms = after.as_millis() as u64, awaits = self.startup.awaited_name(), direct = self.is_direct(); "reached a milestone of the start");
    }
}
