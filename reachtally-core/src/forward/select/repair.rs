//! Replaces dead engines in the path of a running request.

use std::ops::Range;

use super::candidate::Candidate;
use super::judge::best_path;
use super::{Choice, Filter, HOP_MS, REMOTE_HOP_MS, Requirements, SelectionContext, is_usable};
use crate::forward::cost::{LayerModel, Layers};
use crate::forward::fleet::{EngineKey, Fleet};
use crate::forward::path::{Part, Path};

/// Returns a replacement for `current` that avoids the engines `dead`, or `None` if there is none
/// or the first engine is dead.
///
/// Parts on other engines are retained, since the request occupies KV capacity there and its prompt
/// has been prefilled. The other layers use the cheapest engines, which prefill `need.prompt`; it
/// must include the tokens generated so far. Engines in the failure domain of the first engine are
/// preferred. The expected times of the result include the step times of retained engines.
pub fn repair(
    fleet: &Fleet,
    service: &str,
    model: &LayerModel,
    need: Requirements,
    cx: &SelectionContext<'_>,
    current: &Path,
    dead: &[EngineKey],
) -> Option<Choice> {
    let task = RepairTask {
        fleet,
        service,
        model,
        need,
        cx,
        current,
    };
    let is_alive = |part: &Part| {
        let is_excluded = dead.contains(&part.engine) || cx.avoid.contains(&part.engine);
        let engine = fleet.get(part.engine);
        !is_excluded && engine.is_some_and(|engine| !engine.health.is_dead())
    };
    let alive: Vec<bool> = current.parts().iter().map(is_alive).collect();
    if !alive[0] {
        return None;
    }
    let is_lost = |at: &usize| !alive[*at];
    let Some(first_lost) = (0..alive.len()).find(is_lost) else {
        return task.choose(&alive);
    };
    let last_lost = (0..alive.len()).rfind(is_lost)?;
    task.choose(&alive).or_else(|| {
        // An engine occurs only once in a path, so one that holds the layers of two lost parts can
        // run both only together with all parts in between.
        let outside = |at| at < first_lost || at > last_lost;
        task.choose(&(0..alive.len()).map(outside).collect::<Vec<bool>>())
    })
}

/// The inputs of a repair.
struct RepairTask<'a> {
    fleet: &'a Fleet,
    service: &'a str,
    model: &'a LayerModel,
    need: Requirements,
    cx: &'a SelectionContext<'a>,
    current: &'a Path,
}

impl RepairTask<'_> {
    /// Returns the cheapest path that keeps the `retained` parts. Healthy engines and the failure
    /// domain of the first engine are tried first.
    fn choose(&self, retained: &[bool]) -> Option<Choice> {
        let first = self.fleet.get(self.current.first().engine)?;
        let home = &*first.entry.domain;
        let attempts = [Filter::Healthy, Filter::Any]
            .into_iter()
            .flat_map(|filter| [(filter, Some(home), HOP_MS), (filter, None, REMOTE_HOP_MS)]);
        attempts.into_iter().find_map(|(filter, domain, hop_ms)| {
            let candidates = self.candidates(retained, filter, domain)?;
            let (_, found) = best_path(&candidates, self.model, hop_ms, self.need.objectives)?;
            found.into_choice(self.model)
        })
    }

    fn candidates(
        &self,
        retained: &[bool],
        filter: Filter,
        domain: Option<&str>,
    ) -> Option<Vec<Candidate<'_>>> {
        let mut candidates = Vec::new();
        let parts = self.current.parts();
        for (part, _) in parts
            .iter()
            .zip(retained)
            .filter(|(_, is_retained)| **is_retained)
        {
            let engine = self.fleet.get(part.engine)?;
            let layers = part.layers.clone();
            let (model, need, cx) = (self.model, self.need, self.cx);
            candidates.push(Candidate::retained(
                part.engine,
                engine,
                layers,
                model,
                need,
                cx,
            )?);
        }
        let gaps = gaps(parts, retained);
        for (key, engine) in self.fleet.of_service(self.service) {
            let is_other_domain = domain.is_some_and(|domain| *engine.entry.domain != *domain);
            let is_in_path = parts.iter().any(|part| part.engine == key);
            if is_other_domain || is_in_path || !is_usable(key, engine, self.cx, filter) {
                continue;
            }
            let Some(candidate) = Candidate::new(key, engine, self.model, self.need, self.cx)
            else {
                continue;
            };
            let missing = gaps.iter().map(|gap| intersect(gap, &candidate.layers));
            for layers in missing.filter(|layers| !layers.is_empty()) {
                candidates.push(Candidate {
                    layers,
                    ..candidate.clone()
                });
            }
        }
        Some(candidates)
    }
}

/// Returns the layer ranges of the parts that are not retained, with adjacent ranges merged.
fn gaps(parts: &[Part], retained: &[bool]) -> Vec<Layers> {
    let mut gaps: Vec<Layers> = Vec::new();
    for (part, _) in parts
        .iter()
        .zip(retained)
        .filter(|(_, is_retained)| !**is_retained)
    {
        match gaps.last_mut() {
            Some(last) if last.end == part.layers.start => last.end = part.layers.end,
            _ => gaps.push(part.layers.clone()),
        }
    }
    gaps
}

fn intersect(a: &Layers, b: &Layers) -> Range<u32> {
    a.start.max(b.start)..a.end.min(b.end)
}
