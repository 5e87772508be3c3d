//! Reasons why no path exists, for logging.

use std::collections::BTreeMap;

use super::{Candidate, Filter, Requirements, SelectionContext, is_usable};
use crate::forward::cost::LayerModel;
use crate::forward::fleet::{Engine, EngineKey, Fleet};

/// Numbers of failure domains without a path, by reason. A domain with several reasons counts under
/// the first of them in field order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct NoPathReasons {
    /// No engine holds some layer.
    pub gap: u32,
    /// Some layer is held only by engines that are dead, leaving, excluded or temporarily
    /// suspended.
    pub unusable: u32,
    /// Some layer is held only by engines without free capacity.
    pub full: u32,
    /// The first layer is held only by engines that are in back-off or have no free capacity.
    pub backing_off: u32,
    /// The first layer is held only by engines that have exhausted their rate limit, are in
    /// back-off or have no free capacity.
    pub limited: u32,
}

impl std::fmt::Display for NoPathReasons {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let NoPathReasons {
            gap,
            unusable,
            full,
            backing_off,
            limited,
        } = self;
        write!(
            f,
            "gap {gap}, unusable {unusable}, full {full}, resting {backing_off}, limited {limited}"
        )
    }
}

/// Whether a failure domain can run a layer, worst first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Status {
    Gap,
    Unusable,
    Full,
    BackingOff,
    Limited,
    Available,
}

/// Returns why failure domains cannot run a request.
pub fn no_path_reasons(
    fleet: &Fleet,
    service: &str,
    model: &LayerModel,
    need: Requirements,
    cx: &SelectionContext<'_>,
) -> NoPathReasons {
    let layers = model.layers as usize;
    let mut by_domain: BTreeMap<&str, Vec<Status>> = BTreeMap::new();
    for (key, engine) in fleet.of_service(service) {
        let by_layer = by_domain
            .entry(&engine.entry.domain)
            .or_insert_with(|| vec![Status::Gap; layers]);
        let (first, other) = status(key, engine, model, need, cx);
        for layer in engine.entry.layers.clone() {
            let offered = if layer == 0 { first } else { other };
            if let Some(best) = by_layer.get_mut(layer as usize) {
                *best = offered.max(*best);
            }
        }
    }
    let mut found = NoPathReasons::default();
    for by_layer in by_domain.values() {
        match by_layer.iter().min() {
            Some(Status::Gap) => found.gap += 1,
            Some(Status::Unusable) => found.unusable += 1,
            Some(Status::Full) => found.full += 1,
            Some(Status::BackingOff) => found.backing_off += 1,
            Some(Status::Limited) => found.limited += 1,
            Some(Status::Available) | None => {}
        }
    }
    found
}

/// Returns the availability of an engine for the model's first layer, which occupies one of its
/// slots, and for any other layer.
fn status(
    key: EngineKey,
    engine: &Engine,
    model: &LayerModel,
    need: Requirements,
    cx: &SelectionContext<'_>,
) -> (Status, Status) {
    if !is_usable(key, engine, cx, Filter::Any) {
        return (Status::Unusable, Status::Unusable);
    }
    match Candidate::new(key, engine, model, need, cx) {
        None => (Status::Full, Status::Full),
        Some(candidate) if candidate.accepts_requests => (Status::Available, Status::Available),
        Some(_) if engine.notice.is_backing_off(cx.now) => (Status::BackingOff, Status::Available),
        Some(_) if cx.lacks_permit(engine) => (Status::Limited, Status::Available),
        Some(_) => (Status::Full, Status::Available),
    }
}
