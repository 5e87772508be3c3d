//! The target table: engines and service instances as seen by this daemon.

use std::collections::VecDeque;
use std::time::Duration;

use crate::declare::Layers;
use crate::ids::RequestKey;
use crate::latency::Latency;
use crate::step::Release;
use crate::time::Instant;
use crate::world::Load;

/// Delay before the first probe of a suspected target.
const PROBE_FIRST: Duration = Duration::from_millis(200);
/// Maximum delay between probes.
const PROBE_CAP: Duration = Duration::from_secs(5);

/// The health of a target, which determines whether it receives new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The target responds.
    Up,
    /// A call to the target failed. It receives no new work until a probe succeeds.
    Suspect {
        /// Time of the next probe.
        probe_at: Instant,
        /// Delay between the next probe and the one after it.
        backoff: Duration,
    },
}

/// The type of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// An engine that holds a layer range of a model.
    Engine {
        /// Name of the model.
        model: String,
        /// The layer range.
        layers: Layers,
        /// Number of requests it can decode concurrently.
        slots: u32,
    },
    /// An instance of a plain service.
    Service {
        /// Name of the service.
        service: String,
    },
}

/// A row of the target table.
#[derive(Debug)]
pub struct Target {
    /// Unique name; for a service instance, `service#index`.
    pub name: String,
    /// Base address.
    pub url: String,
    /// The box it runs on, by its name in the live list; empty for services.
    pub box_name: String,
    /// The failure domain of that box; empty for services.
    pub domain: String,
    /// Whether it rejects orders with an outdated fence.
    pub checks_fence: bool,
    /// Whether it is an engine or a service instance.
    pub role: Role,
    /// When the steward last requested a report.
    pub polled_at: Option<Instant>,
    /// Time since which the target has reported itself idle, with its drain confirmed.
    pub idle_since: Option<Instant>,
    /// The health.
    pub health: Health,
    /// Whether an operator drained the target.
    pub drained: bool,
    /// Whether its box is leaving according to the live list, or is missing from it.
    pub leaving: bool,
    /// Number of requests of this daemon whose chain includes the engine, or of calls to the
    /// service instance.
    pub running: u32,
    /// Number of outstanding calls with single positions.
    pub calls: u32,
    /// Number of outstanding calls with a span.
    pub span_calls: u32,
    /// Requests whose next step is queued for this target.
    pub ready: VecDeque<RequestKey>,
    /// Releases to send with the next call.
    pub releases: Vec<Release>,
    /// Estimated step times.
    pub latency: Latency,
    /// Whether the target is already queued for dispatch.
    pub dirty: bool,
}

impl Target {
    /// Create a target that is assumed to be up.
    pub fn new(name: String, url: String, box_name: String, role: Role) -> Self {
        Target {
            name,
            url,
            box_name,
            domain: String::new(),
            checks_fence: false,
            role,
            polled_at: None,
            idle_since: None,
            health: Health::Up,
            drained: false,
            leaving: false,
            running: 0,
            calls: 0,
            span_calls: 0,
            ready: VecDeque::new(),
            releases: Vec::new(),
            latency: Latency::default(),
            dirty: false,
        }
    }

    /// Whether the target may be chosen for new work.
    pub fn takes_work(&self) -> bool {
        self.health == Health::Up && !self.drained && !self.leaving
    }

    /// Whether an engine has a free slot.
    pub fn has_slot(&self) -> bool {
        self.engine()
            .is_some_and(|(_, _, slots)| self.running < slots)
    }

    /// Number of outstanding calls of one kind.
    pub fn outstanding(&mut self, load: Load) -> &mut u32 {
        match load {
            Load::Singles => &mut self.calls,
            Load::Span => &mut self.span_calls,
        }
    }

    /// The model, layer range and number of slots of an engine; `None` for a service instance.
    pub fn engine(&self) -> Option<(&str, Layers, u32)> {
        match &self.role {
            Role::Engine {
                model,
                layers,
                slots,
            } => Some((model, *layers, *slots)),
            Role::Service { .. } => None,
        }
    }

    /// Mark the target as suspect. Returns the time of its first probe, or `None` if it was suspect
    /// already.
    pub fn suspect(&mut self, now: Instant) -> Option<Instant> {
        if self.health != Health::Up {
            return None;
        }
        let probe_at = now + PROBE_FIRST;
        self.health = Health::Suspect {
            probe_at,
            backoff: PROBE_FIRST * 2,
        };
        Some(probe_at)
    }

    /// Handle a failed probe. Returns the time of the next one.
    pub fn probe_failed(&mut self, now: Instant) -> Option<Instant> {
        let Health::Suspect { backoff, .. } = self.health else {
            return None;
        };
        let probe_at = now + backoff;
        self.health = Health::Suspect {
            probe_at,
            backoff: (backoff * 2).min(PROBE_CAP),
        };
        Some(probe_at)
    }
}
