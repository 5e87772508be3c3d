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
}

impl std::fmt::Display for Shortage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Shortage {
            gap,
            unusable,
            full,
        } = self;
        write!(f, "gap {gap}, unusable {unusable}, full {full}")
    }
}

/// How well a failure domain can run a layer, worst first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Supply {
    Gap,
    Unusable,
    Full,
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
    let mut by_domain: BTreeMap<&str, Vec<(EngineKey, &Engine)>> = BTreeMap::new();
    for (key, engine) in fleet.of_service(service) {
        let engines = by_domain.entry(&engine.entry.domain).or_default();
        engines.push((key, engine));
    }
    let mut found = Shortage::default();
    for engines in by_domain.values() {
        let of_layer = |layer: u32| {
            let holders = engines
                .iter()
                .filter(|(_, engine)| engine.entry.layers.contains(&layer));
            let supplies =
                holders.map(|(key, engine)| supply(*key, engine, layer, model, need, cx));
            supplies.max().unwrap_or(Supply::Gap)
        };
        match (0..model.layers).map(of_layer).min() {
            Some(Supply::Gap) => found.gap += 1,
            Some(Supply::Unusable) => found.unusable += 1,
            Some(Supply::Full) => found.full += 1,
            Some(Supply::There) | None => {}
        }
    }
    found
}

fn supply(
    key: EngineKey,
    engine: &Engine,
    layer: u32,
    model: &LayerModel,
    need: Need,
    cx: &Circumstance<'_>,
) -> Supply {
    if !is_usable(key, engine, cx, Trust::Any) {
        return Supply::Unusable;
    }
    match Candidate::new(key, engine, model, need, cx) {
        Some(candidate) if layer > 0 || candidate.takes_more => Supply::There,
        _ => Supply::Full,
    }
}
