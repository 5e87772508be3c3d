//! Selects the engines of a layered model, or the instance of a plain service, that serve a
//! request.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::forward::cost::LayerModel;
use crate::forward::fleet::{Engine, EngineKey, Fleet};
use crate::forward::path::Path;
use crate::time::Instant;

mod back_off;
mod candidate;
mod judge;
mod no_path_reasons;
mod repair;
mod ways;

pub use back_off::earliest_after_back_off;
pub use no_path_reasons::{NoPathReasons, no_path_reasons};
pub use repair::repair;

use candidate::{Candidate, unit_hash};
use judge::{best_path, meets_objectives_with_margin};
use ways::FoundPath;

/// Latency that a hop between engines of the same failure domain adds to a token, in ms. Links
/// there take less than a millisecond, and queueing at the engine adds as much again.
pub(super) const HOP_MS: f64 = 0.5;
/// Latency that a hop between failure domains adds to a token, in ms.
pub(super) const REMOTE_HOP_MS: f64 = 2.0;
/// Factor on the cost of chains in the local failure domain. A remote chain must be cheaper than
/// that to be preferred, so that requests stay local.
const LOCAL_COST_FACTOR: f64 = 0.9;
/// Utilization of a local path, in parts of its engines' KV capacity, below which other failure
/// domains are not searched. The local domain then has room for four times its load.
const MAX_LOCAL_UTILIZATION: f64 = 0.25;
/// Number of equally loaded local instances of a plain service from which requests stay local. With
/// fewer, boxes that have the same view of the loads would pile up on the same instances.
const MIN_LOCAL_INSTANCES: usize = 4;
/// Fraction of the engines that a request considers first, sampled per request. A box does not know
/// what other boxes have sent since their last report, and boxes with the same view would all fill
/// the cheapest chain.
const SAMPLE_FRACTION: f64 = 0.5;
/// Utilization from which an engine may be full by now. Sampled engines above it are used only if
/// no engine is below it.
const NEARLY_FULL: f64 = 0.65;
/// Decorrelates the sampling of engines from the jitter of their prices.
const SAMPLE_SALT: u64 = 0xA5A5_5A5A_C3C3_3C3C;

/// Latency objectives of an answer, in ms.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LatencyObjectives {
    /// Time to the first event.
    pub first_ms: Option<f64>,
    /// Time between two events.
    pub gap_ms: Option<f64>,
}

/// Resource requirements and latency objectives of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Requirements {
    /// Prompt tokens.
    pub prompt: f64,
    /// Expected answer tokens.
    pub answer: f64,
    /// Latency objectives of its answer.
    pub objectives: LatencyObjectives,
}

impl Requirements {
    /// Mean number of KV tokens that the request occupies while it runs, since its answer grows
    /// from zero. Many requests at different points of their answers occupy the sum of these means,
    /// not of their final sizes.
    pub fn held(&self) -> f64 {
        self.prompt + self.answer / 2.0
    }
}

/// Whether selection respects the rate limits that targets announce.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limits {
    /// A target with a rate limit is used only with a permit.
    Enforced,
    /// Permits are assumed to be available.
    Ignored,
}

/// Inputs of a selection other than the fleet.
#[derive(Debug, Clone, Copy)]
pub struct SelectionContext<'a> {
    /// The current time.
    pub now: Instant,
    /// The failure domain of this box.
    pub home: &'a str,
    /// Engines to exclude.
    pub avoid: &'a [EngineKey],
    /// Mean duration of recent requests.
    pub held: Duration,
    /// Number of boxes that select engines, including this one.
    pub boxes: u32,
    /// Ratio of the estimated load of all boxes to the load reported so far. It exceeds 1 while
    /// some boxes have not reported yet; those are assumed to have the same load as the others.
    pub load_scale: f64,
    /// Uniformly distributed number drawn for the request, so that boxes with the same view choose
    /// differently.
    pub draw: u64,
    /// Whether rate limits apply.
    pub limits: Limits,
}

impl SelectionContext<'_> {
    /// Whether back-off or a rate limit prevents this box from sending to a target.
    fn is_send_blocked(&self, engine: &Engine) -> bool {
        engine.notice.is_backing_off(self.now) || self.lacks_permit(engine)
    }

    /// Whether a rate limit prevents this box from sending to a target.
    fn lacks_permit(&self, engine: &Engine) -> bool {
        self.limits == Limits::Enforced && engine.lacks_permit(self.now)
    }
}

/// Fraction of the connections that other boxes leave free which one box may use. Other boxes may
/// take some before they hear of this one's.
const SPARE_CONNECTION_FRACTION: f64 = 0.5;

/// How many connections a box may use to an instance of a plain service.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimit {
    /// Connections that the box may use whatever other boxes do.
    pub share: u32,
    /// Connections that the instance accepts from all boxes, if the loads of the others are known.
    pub total: Option<u32>,
}

impl ConnectionLimit {
    /// No limit.
    pub const NONE: ConnectionLimit = ConnectionLimit::fixed(u32::MAX);

    /// Creates a limit that does not depend on other boxes.
    pub const fn fixed(share: u32) -> Self {
        ConnectionLimit { share, total: None }
    }

    /// Returns the limit for one instance. A box with most of the callers may use more than its share
    /// while others use less.
    fn of(self, engine: &Engine) -> u32 {
        let others = remote_requests(engine);
        let spare = self.total.map_or(0.0, |total| f64::from(total) - others);
        self.share.max((spare * SPARE_CONNECTION_FRACTION) as u32)
    }
}

/// A path with its expected latency and utilization.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The selected path.
    pub path: Path,
    /// Expected time per token.
    pub token: Duration,
    /// Expected time to the first token.
    pub first: Duration,
    /// Highest utilization of KV capacity or slots among the engines, including this request. KV
    /// capacity may be overbooked, so the value can exceed 1. Load of boxes that have not reported
    /// yet is excluded.
    pub used: f64,
}

/// An instance of a plain service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Instance {
    /// The row of the instance.
    pub engine: EngineKey,
    /// Requests at the instance relative to its slots, including this one, by the last known load.
    /// Above 1, some requests are queued.
    pub used: f64,
}

/// Engines that a selection considers, strictest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Filter {
    /// Healthy engines that are sampled for the request, all in one failure domain.
    Sampled,
    /// Engines without a recent failure whose entry is present.
    Healthy,
    /// Engines that are neither leaving nor dead, that hold the layers of their entry and are not
    /// known to be full.
    Any,
}

/// Returns a low-cost path, or `None` if no usable engine holds some layer.
pub fn path(
    fleet: &Fleet,
    service: &str,
    model: &LayerModel,
    need: Requirements,
    cx: &SelectionContext<'_>,
) -> Option<Choice> {
    if let Some(local) = local_path(fleet, service, model, need, cx) {
        return local.into_choice(model);
    }
    let cheapest = |filter| cheapest_path(fleet, service, model, need, cx, filter);
    // All engines are searched only if the sample has no suitable path, since the search time grows
    // with the number of engines.
    let sampled = match cheapest(Filter::Sampled) {
        Some(found) if found.totals.utilization < NEARLY_FULL => return found.into_choice(model),
        found => found,
    };
    let Some(healthy) = cheapest(Filter::Healthy) else {
        return cheapest(Filter::Any)?.into_choice(model);
    };
    let all_nearly_full = healthy.totals.utilization >= NEARLY_FULL;
    sampled
        .filter(|_| all_nearly_full)
        .unwrap_or(healthy)
        .into_choice(model)
}

/// Returns a path over sampled engines of the local failure domain if they have enough spare
/// capacity and meet the latency objectives with a margin. Requests that cross failure domains fail
/// with the link between the domains, and searching all domains takes longer.
fn local_path(
    fleet: &Fleet,
    service: &str,
    model: &LayerModel,
    need: Requirements,
    cx: &SelectionContext<'_>,
) -> Option<FoundPath> {
    let local_engines = fleet
        .of_service(service)
        .filter(|(_, engine)| &*engine.entry.domain == cx.home);
    let candidates: Vec<Candidate<'_>> = local_engines
        .filter_map(|row| candidate(row, model, need, cx, Filter::Sampled))
        .collect();
    let (_, found) = best_path(&candidates, model, HOP_MS, need.objectives)?;
    let is_sufficient = found.totals.utilization < MAX_LOCAL_UTILIZATION
        && meets_objectives_with_margin(&found.totals, model, need.objectives);
    is_sufficient.then_some(found)
}

/// Returns the cheapest path among the engines that pass the filter.
fn cheapest_path(
    fleet: &Fleet,
    service: &str,
    model: &LayerModel,
    need: Requirements,
    cx: &SelectionContext<'_>,
    filter: Filter,
) -> Option<FoundPath> {
    let mut by_domain: BTreeMap<&str, Vec<Candidate<'_>>> = BTreeMap::new();
    let targets = fleet.of_service(service);
    for candidate in targets.filter_map(|row| candidate(row, model, need, cx, filter)) {
        by_domain
            .entry(&candidate.engine.entry.domain)
            .or_default()
            .push(candidate);
    }
    let per_domain = by_domain.iter().filter_map(|(domain, candidates)| {
        let (cost, found) = best_path(candidates, model, HOP_MS, need.objectives)?;
        let factor = if *domain == cx.home {
            LOCAL_COST_FACTOR
        } else {
            1.0
        };
        Some((cost * factor, found))
    });
    let cheapest = per_domain.min_by(|a, b| a.0.total_cmp(&b.0));
    if cheapest.is_some() || filter == Filter::Sampled {
        return cheapest.map(|(_, found)| found);
    }
    let all: Vec<Candidate<'_>> = by_domain.into_values().flatten().collect();
    best_path(&all, model, REMOTE_HOP_MS, need.objectives).map(|(_, found)| found)
}

/// Returns an engine with its cost for the request if it passes the filter and has enough KV
/// capacity.
fn candidate<'a>(
    (key, engine): (EngineKey, &'a Engine),
    model: &LayerModel,
    need: Requirements,
    cx: &SelectionContext<'_>,
    filter: Filter,
) -> Option<Candidate<'a>> {
    if !is_usable(key, engine, cx, filter) {
        return None;
    }
    Candidate::new(key, engine, model, need, cx)
}

fn is_usable(key: EngineKey, engine: &Engine, cx: &SelectionContext<'_>, filter: Filter) -> bool {
    let health = &engine.health;
    let is_unavailable = engine.is_leaving() || health.is_dead() || health.is_contradicted(cx.now);
    // A full engine would refuse an immediate retry, and each refused send is charged to the shared
    // retry budget.
    if is_unavailable || health.is_full(cx.now) || cx.avoid.contains(&key) {
        return false;
    }
    let is_suspect = health.is_cooling_down(cx.now)
        || engine.missing_since.is_some()
        || engine.is_reported_unresponsive();
    match filter {
        Filter::Sampled => !is_suspect && unit_hash(cx.draw ^ SAMPLE_SALT, key) < SAMPLE_FRACTION,
        Filter::Healthy => !is_suspect,
        Filter::Any => true,
    }
}

/// Returns the instance of a plain service with the least load per slot. Among equally loaded ones,
/// local instances are preferred if there are several, and the request's random number breaks ties.
pub fn instance(
    fleet: &Fleet,
    service: &str,
    connections: ConnectionLimit,
    cx: &SelectionContext<'_>,
) -> Option<Instance> {
    least_loaded_instance(fleet, service, connections, cx, Filter::Healthy)
        .or_else(|| least_loaded_instance(fleet, service, connections, cx, Filter::Any))
}

/// Returns the requests of other boxes at an instance, as these or the instance reported them.
fn remote_requests(engine: &Engine) -> f64 {
    engine.remote_running.max(engine.reported_remote_running)
}

fn least_loaded_instance(
    fleet: &Fleet,
    service: &str,
    connections: ConnectionLimit,
    cx: &SelectionContext<'_>,
    filter: Filter,
) -> Option<Instance> {
    let load = |engine: &Engine| {
        let running = f64::from(engine.running) + remote_requests(engine);
        running / f64::from(engine.entry.slots.max(1))
    };
    let usable: Vec<(EngineKey, &Engine)> = fleet
        .of_service(service)
        .filter(|(key, engine)| is_usable(*key, engine, cx, filter))
        .filter(|(_, engine)| !cx.is_send_blocked(engine))
        .filter(|(_, engine)| engine.running < connections.of(engine))
        .collect();
    let min_load = usable
        .iter()
        .map(|(_, engine)| load(engine))
        .min_by(f64::total_cmp)?;
    let least_loaded: Vec<&(EngineKey, &Engine)> = usable
        .iter()
        .filter(|(_, engine)| load(engine) <= min_load + f64::EPSILON)
        .collect();
    let is_local = |(_, engine): &(EngineKey, &Engine)| &*engine.entry.domain == cx.home;
    let local_count = least_loaded.iter().filter(|each| is_local(each)).count();
    let preferred: Vec<EngineKey> = least_loaded
        .into_iter()
        .filter(|each| local_count < MIN_LOCAL_INSTANCES || is_local(each))
        .map(|(key, _)| *key)
        .collect();
    let key = preferred.get(cx.draw as usize % preferred.len()).copied()?;
    Some(Instance {
        engine: key,
        used: slots_used(fleet.get(key)?, cx.now),
    })
}

/// Returns the load of an instance per slot, including one more request. The load that an instance
/// reported in an answer counts only while it is recent: otherwise a high value that no new answer
/// corrects would divert requests permanently.
fn slots_used(engine: &Engine, now: Instant) -> f64 {
    let others = engine.remote_running.max(engine.recent_remote_running(now));
    let running = f64::from(engine.running) + others + 1.0;
    running / f64::from(engine.entry.slots.max(1))
}
