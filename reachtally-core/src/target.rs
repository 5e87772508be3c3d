//! Rows of the target table: engines and service instances as this daemon sees them.

use std::collections::VecDeque;
use std::time::Duration;

use crate::declare::Layers;
use crate::ids::RequestKey;
use crate::latency::Latency;
use crate::step::Release;
use crate::time::Instant;
use crate::world::Load;

/// First wait before a suspected target is probed.
const PROBE_FIRST: Duration = Duration::from_millis(200);
/// Longest wait between probes.
const PROBE_CAP: Duration = Duration::from_secs(5);

/// Whether a target gets work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It answers.
    Up,
    /// A call to it failed; it gets no new work until a probe succeeds.
    Suspect {
        /// When it is probed next.
        probe_at: Instant,
        /// The wait before the probe after that.
        backoff: Duration,
    },
}

/// What distinguishes engines from service instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// An engine with a layer range of a model.
    Engine {
        /// The model's name.
        model: String,
        /// The range it holds.
        layers: Layers,
        /// Requests it can decode at the same time.
        slots: u32,
    },
    /// An instance of a plain service.
    Service {
        /// The service's name.
        service: String,
    },
}

/// One target.
#[derive(Debug)]
pub struct Target {
    /// Unique name; for a service instance, `service#index`.
    pub name: String,
    /// Base address.
    pub url: String,
    /// The box it runs on, as the live list names it; empty for services.
    pub box_name: String,
    /// The failure domain of that box; empty for services.
    pub domain: String,
    /// Whether it refuses orders that carry an outdated fence.
    pub checks_fence: bool,
    /// Engine or service instance.
    pub role: Role,
    /// When the steward last asked it for a report.
    pub polled_at: Option<Instant>,
    /// Since when it has reported itself idle with its drain confirmed.
    pub idle_since: Option<Instant>,
    /// Whether it answers.
    pub health: Health,
    /// Whether an operator drained it.
    pub drained: bool,
    /// Whether the live list shows its box as leaving or no longer at all.
    pub leaving: bool,
    /// Requests of this daemon whose chain includes it, or calls to it.
    pub running: u32,
    /// Calls outstanding that carry single positions.
    pub calls: u32,
    /// Calls outstanding that carry a span.
    pub span_calls: u32,
    /// Requests whose next step waits to be sent to it.
    pub ready: VecDeque<RequestKey>,
    /// Releases that go with the next call.
    pub releases: Vec<Release>,
    /// Step times.
    pub latency: Latency,
    /// Whether it is in the dispatch list already.
    pub dirty: bool,
}

impl Target {
    /// A target that is assumed to answer.
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

    /// Whether it may be chosen for new work.
    pub fn takes_work(&self) -> bool {
        self.health == Health::Up && !self.drained && !self.leaving
    }

    /// Whether an engine can hold another request.
    pub fn has_slot(&self) -> bool {
        self.engine()
            .is_some_and(|(_, _, slots)| self.running < slots)
    }

    /// Calls outstanding of one kind.
    pub fn outstanding(&mut self, load: Load) -> &mut u32 {
        match load {
            Load::Singles => &mut self.calls,
            Load::Span => &mut self.span_calls,
        }
    }

    /// The model and range it serves, if it is an engine.
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

    /// Suspect it; returns when to probe it, or nothing if it was suspected already.
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

    /// A probe failed; returns when to probe it again.
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
