//! Why there is no path, for the log.

use std::collections::BTreeMap;

use super::{Candidate, Circumstance, Need, Trust, is_usable};
use crate::forward::cost::LayerModel;
use crate::forward::fleet::{Engine, EngineKey, Fleet};

/// Failure domains without a path, by what they lack. One that lacks several things counts as the first of
/// them here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Shortage {
    /// Some layer is held by no engine.
    pub gap: u32,
    /// Some layer is held only by engines that are dead, leaving, avoided or held off.
    pub unusable: u32,
    /// Some layer is held only by engines that have no room.
    pub full: u32,
    /// The first layer is held only by engines that this box backs off from, or that have no room.
    pub backing_off: u32,
    /// The first layer is held only by engines whose rate limit is used up, that this box backs off from, or that have no room.
    pub limited: u32,
}

impl std::fmt::Display for Shortage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Shortage {
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

/// How well a failure domain can run a layer, worst first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Supply {
    Gap,
    Unusable,
    Full,
    BackingOff,
    Limited,
    There,
}

/// What keeps each failure domain from running a request.
pub fn shortage(
    fleet: &Fleet,
    service: &str,
    model: &LayerModel,
    need: Need,
    cx: &Circumstance<'_>,
) -> Shortage {
    let layers = model.layers as usize;
    let mut by_domain: BTreeMap<&str, Vec<Supply>> = BTreeMap::new();
    for (key, engine) in fleet.of_service(service) {
        let supplies = by_domain
            .entry(&engine.entry.domain)
            .or_insert_with(|| vec![Supply::Gap; layers]);
        let (first, other) = supply(key, engine, model, need, cx);
        for layer in engine.entry.layers.clone() {
            let offered = if layer == 0 { first } else { other };
            if let Some(best) = supplies.get_mut(layer as usize) {
                *best = offered.max(*best);
            }
        }
    }
    let mut found = Shortage::default();
    for supplies in by_domain.values() {
        match supplies.iter().min() {
            Some(Supply::Gap) => found.gap += 1,
            Some(Supply::Unusable) => found.unusable += 1,
            Some(Supply::Full) => found.full += 1,
            Some(Supply::BackingOff) => found.backing_off += 1,
            Some(Supply::Limited) => found.limited += 1,
            Some(Supply::There) | None => {}
        }
    }
    found
}

/// How well an engine can run the model's first layer, which takes one of its places, and any other.
fn supply(
    key: EngineKey,
    engine: &Engine,
    model: &LayerModel,
    need: Need,
    cx: &Circumstance<'_>,
) -> (Supply, Supply) {
    if !is_usable(key, engine, cx, Trust::Any) {
        return (Supply::Unusable, Supply::Unusable);
    }
    match Candidate::new(key, engine, model, need, cx) {
        None => (Supply::Full, Supply::Full),
        Some(candidate) if candidate.takes_more => (Supply::There, Supply::There),
        Some(_) if engine.notice.is_backing_off(cx.now) => (Supply::BackingOff, Supply::There),
        Some(_) if cx.lacks_permit(engine) => (Supply::Limited, Supply::There),
        Some(_) => (Supply::Full, Supply::There),
    }
}
