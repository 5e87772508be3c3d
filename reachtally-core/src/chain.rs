//! Chains: the engines that together cover a model's layers, and the choice among them.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::declare::Layers;
use crate::ids::TargetKey;
use crate::target::Target;

/// One stage of a chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stage {
    /// The engine.
    pub target: TargetKey,
    /// The layers it runs.
    pub layers: Layers,
}

/// A fault in a chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChainError {
    /// No stage at all.
    Empty,
    /// A stage begins at `found` where layer `expected` is due: a gap or an overlap.
    Discontinuous {
        /// The layer due.
        expected: u32,
        /// The layer the stage begins with.
        found: u32,
    },
    /// The last stage ends before the model does, or after.
    WrongEnd {
        /// The model's number of layers.
        expected: u32,
        /// The end of the last stage.
        found: u32,
    },
}

/// Check that `stages` covers `0..layers` in order, each layer once.
///
/// # Errors
/// The first fault found from layer 0 on.
pub fn check(stages: &[Layers], layers: u32) -> Result<(), ChainError> {
    if stages.is_empty() {
        return Err(ChainError::Empty);
    }
    let mut due = 0;
    for stage in stages {
        if stage.first != due || stage.end <= stage.first {
            return Err(ChainError::Discontinuous {
                expected: due,
                found: stage.first,
            });
        }
        due = stage.end;
    }
    if due != layers {
        return Err(ChainError::WrongEnd {
            expected: layers,
            found: due,
        });
    }
    Ok(())
}

/// Random share by which an engine's cost is varied, so that daemons which see the same figures
/// don't all choose the same engine.
const JITTER: f64 = 0.1;
/// Engines of one range that are looked at, drawn at random. A few suffice to avoid the bad ones; to
/// look at all would cost in proportion to the fleet and send every daemon to the same best one.
const SAMPLE_SIZE: usize = 4;

/// The engines of a model that hold the same layers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// The layers.
    pub layers: Layers,
    /// The engines.
    pub members: Vec<TargetKey>,
}

/// Sort engines into groups, by first layer.
pub fn group(engines: &[TargetKey], targets: &SlotMap<TargetKey, Target>) -> Vec<Group> {
    let mut by_layers: BTreeMap<Layers, Vec<TargetKey>> = BTreeMap::new();
    for &key in engines {
        if let Some((_, layers, _)) = targets.get(key).and_then(Target::engine) {
            by_layers.entry(layers).or_default().push(key);
        }
    }
    let groups = by_layers.into_iter();
    groups
        .map(|(layers, members)| Group { layers, members })
        .collect()
}

/// The groups of a model; none for a model without engines.
pub fn groups_of<'a>(by_model: &'a BTreeMap<String, Vec<Group>>, model: &str) -> &'a [Group] {
    by_model.get(model).map_or(&[], Vec::as_slice)
}

type Candidate<'a> = (TargetKey, &'a Target);

/// Up to [`SAMPLE_SIZE`] engines that `usable` lets pass, at random; from all of the group if the draw has
/// none.
fn sample_candidates<'a>(
    group: &Group,
    targets: &'a SlotMap<TargetKey, Target>,
    usable: impl Fn(TargetKey, &Target) -> bool,
    rng: &mut ChaCha8Rng,
) -> Vec<Candidate<'a>> {
    let usable_target = |key: TargetKey| {
        let target = targets.get(key)?;
        usable(key, target).then_some((key, target))
    };
    let members = &group.members;
    if members.len() > SAMPLE_SIZE {
        let sampled = (0..SAMPLE_SIZE).map(|_| members[rng.random_range(0..members.len())]);
        let sampled: Vec<Candidate<'a>> = sampled.filter_map(usable_target).collect();
        if !sampled.is_empty() {
            return sampled;
        }
    }
    members.iter().copied().filter_map(usable_target).collect()
}

/// The cheapest of the candidates with its cost: the predicted time of one decode step, in seconds,
/// with what runs there. The mean of the measured ones stands in for engines that have not been
/// measured, so that a new one gets its part of the work.
fn cheapest(candidates: &[Candidate<'_>], rng: &mut ChaCha8Rng) -> Option<(f64, TargetKey)> {
    let measured = candidates
        .iter()
        .filter(|(_, target)| target.latency.is_measured());
    let times: Vec<f64> = measured.map(|(_, target)| step_time(target)).collect();
    let mean = (!times.is_empty()).then(|| times.iter().sum::<f64>() / times.len() as f64);
    let mut best: Option<(f64, TargetKey)> = None;
    for (key, target) in candidates {
        let step = match mean {
            Some(mean) if !target.latency.is_measured() => mean,
            _ => step_time(target),
        };
        let slots = target.engine().map_or(1, |(_, _, slots)| slots.max(1));
        let load = f64::from(target.running + 1) / f64::from(slots);
        let cost = step * (1.0 + load) * (1.0 + JITTER * rng.random::<f64>());
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, *key));
        }
    }
    best
}

fn step_time(target: &Target) -> f64 {
    target.latency.expected(1).as_secs_f64()
}

/// Why no chain could be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChainUnavailable {
    /// Live engines don't cover the layers.
    Uncovered,
    /// They do, but none of some range has a free slot.
    Full,
}

/// Choose a cheap chain over `0..layers`: the shortest path over layer boundaries, each group giving
/// the cheapest of a few of its engines. The work grows with the number of groups, not of engines.
///
/// # Errors
/// [`ChainUnavailable`] if the engines that take work don't cover the layers.
pub fn choose(
    groups: &[Group],
    targets: &SlotMap<TargetKey, Target>,
    layers: u32,
    rng: &mut ChaCha8Rng,
) -> Result<Vec<Stage>, ChainUnavailable> {
    let free = |_: TargetKey, target: &Target| target.takes_work() && target.has_slot();
    if let Some(stages) = shortest_path(groups, targets, layers, free, rng) {
        return Ok(stages);
    }
    let any = |_: TargetKey, target: &Target| target.takes_work();
    match shortest_path(groups, targets, layers, any, rng) {
        Some(_) => Err(ChainUnavailable::Full),
        None => Err(ChainUnavailable::Uncovered),
    }
}

fn shortest_path(
    groups: &[Group],
    targets: &SlotMap<TargetKey, Target>,
    layers: u32,
    usable: impl Fn(TargetKey, &Target) -> bool,
    rng: &mut ChaCha8Rng,
) -> Option<Vec<Stage>> {
    let mut best: Vec<Option<(f64, Stage)>> = vec![None; layers as usize + 1];
    for group in groups.iter().filter(|group| group.layers.end <= layers) {
        let reached = match best[group.layers.first as usize] {
            _ if group.layers.first == 0 => 0.0,
            Some((cost, _)) => cost,
            None => continue,
        };
        let candidates = sample_candidates(group, targets, &usable, rng);
        let Some((cost, target)) = cheapest(&candidates, rng) else {
            continue;
        };
        let end = &mut best[group.layers.end as usize];
        if end.is_none_or(|(least, _)| reached + cost < least) {
            let layers = group.layers;
            *end = Some((reached + cost, Stage { target, layers }));
        }
    }
    reconstruct_path(&best, layers)
}

fn reconstruct_path(best: &[Option<(f64, Stage)>], layers: u32) -> Option<Vec<Stage>> {
    let mut stages = Vec::new();
    let mut end = layers;
    while end > 0 {
        let (_, stage) = best[end as usize]?;
        stages.push(stage);
        end = stage.layers.first;
    }
    stages.reverse();
    Some(stages)
}

/// Choose another engine than `not` with exactly the range `layers`, a cheap one. A full engine is
/// taken too: a request under way goes before a new one.
pub fn replacement(
    groups: &[Group],
    targets: &SlotMap<TargetKey, Target>,
    layers: Layers,
    not: TargetKey,
    rng: &mut ChaCha8Rng,
) -> Option<TargetKey> {
    let group = groups.iter().find(|group| group.layers == layers)?;
    let usable = |key: TargetKey, target: &Target| key != not && target.takes_work();
    let candidates = sample_candidates(group, targets, usable, rng);
    cheapest(&candidates, rng).map(|(_, target)| target)
}
