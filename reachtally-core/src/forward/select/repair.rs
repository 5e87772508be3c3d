//! How the path of a running request goes on without engines that died.

use std::ops::Range;

use super::candidate::Candidate;
use super::judge::best;
use super::{Choice, Circumstance, FAR_HOP_MS, HOP_MS, Need, Trust, is_usable};
use crate::forward::cost::{LayerModel, Layers};
use crate::forward::fleet::{EngineKey, Fleet};
use crate::forward::path::{Part, Path};

/// A path in place of `current` without the engines `dead`, or `None` if there is none or the first engine is among them.
///
/// Parts of other engines stay as they are: the request has its room there and was read. The rest is the cheapest way over engines
/// that read `need.prompt`, which must include the tokens generated so far. Engines of the first engine's failure domain are
/// preferred. What is expected of the choice includes the step time of kept engines.
pub fn repair(
    fleet: &Fleet,
    service: &str,
    model: &LayerModel,
    need: Need,
    cx: &Circumstance<'_>,
    current: &Path,
    dead: &[EngineKey],
) -> Option<Choice> {
    let job = Job {
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
    let lost = |at: &usize| !alive[*at];
    let Some(first) = (0..alive.len()).find(lost) else {
        return job.choose(&alive);
    };
    let last = (0..alive.len()).rfind(lost)?;
    job.choose(&alive).or_else(|| {
        // An engine stands in a path once, so one that holds two lost parts can run them only with all between them.
        let outside = |at| at < first || at > last;
        job.choose(&(0..alive.len()).map(outside).collect::<Vec<bool>>())
    })
}

/// A path to repair.
struct Job<'a> {
    fleet: &'a Fleet,
    service: &'a str,
    model: &'a LayerModel,
    need: Need,
    cx: &'a Circumstance<'a>,
    current: &'a Path,
}

impl Job<'_> {
    /// The cheapest path with those parts that are `kept`: over the most trusted engines, at home if possible.
    fn choose(&self, kept: &[bool]) -> Option<Choice> {
        let first = self.fleet.get(self.current.first().engine)?;
        let home = &*first.entry.domain;
        let steps = [Trust::Sound, Trust::Any]
            .into_iter()
            .flat_map(|trust| [(trust, Some(home), HOP_MS), (trust, None, FAR_HOP_MS)]);
        steps.into_iter().find_map(|(trust, domain, hop_ms)| {
            let candidates = self.candidates(kept, trust, domain)?;
            let (_, found) = best(&candidates, self.model, hop_ms, self.need.aim)?;
            found.prove(self.model)
        })
    }

    fn candidates(
        &self,
        kept: &[bool],
        trust: Trust,
        domain: Option<&str>,
    ) -> Option<Vec<Candidate<'_>>> {
        let mut candidates = Vec::new();
        let parts = self.current.parts();
        for (part, _) in parts.iter().zip(kept).filter(|(_, is_kept)| **is_kept) {
            let engine = self.fleet.get(part.engine)?;
            let layers = part.layers.clone();
            let (model, need, cx) = (self.model, self.need, self.cx);
            candidates.push(Candidate::kept(
                part.engine,
                engine,
                layers,
                model,
                need,
                cx,
            )?);
        }
        let gaps = gaps(parts, kept);
        for (key, engine) in self.fleet.of_service(self.service) {
            let is_elsewhere = domain.is_some_and(|domain| *engine.entry.domain != *domain);
            let is_of_path = parts.iter().any(|part| part.engine == key);
            if is_elsewhere || is_of_path || !is_usable(key, engine, self.cx, trust) {
                continue;
            }
            let Some(candidate) = Candidate::new(key, engine, self.model, self.need, self.cx)
            else {
                continue;
            };
            let within = gaps.iter().map(|gap| overlap(gap, &candidate.layers));
            for layers in within.filter(|layers| !layers.is_empty()) {
                candidates.push(Candidate {
                    layers,
                    ..candidate.clone()
                });
            }
        }
        Some(candidates)
    }
}

/// The layers of parts that are not kept; neighbours are joined.
fn gaps(parts: &[Part], kept: &[bool]) -> Vec<Layers> {
    let mut gaps: Vec<Layers> = Vec::new();
    for (part, _) in parts.iter().zip(kept).filter(|(_, is_kept)| !**is_kept) {
        match gaps.last_mut() {
            Some(last) if last.end == part.layers.start => last.end = part.layers.end,
            _ => gaps.push(part.layers.clone()),
        }
    }
    gaps
}

fn overlap(a: &Layers, b: &Layers) -> Range<u32> {
    a.start.max(b.start)..a.end.min(b.end)
}
