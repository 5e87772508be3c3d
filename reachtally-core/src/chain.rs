//! Chains of engines that together cover the layers of a model, and how a chain is chosen.

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

/// An invalid chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChainError {
    /// The chain has no stages.
    Empty,
    /// A stage starts at layer `found` instead of `expected`, which leaves a gap or an overlap.
    Discontinuous {
        /// The expected first layer.
        expected: u32,
        /// The actual first layer.
        found: u32,
    },
    /// The last stage ends before or after the last layer of the model.
    WrongEnd {
        /// The number of layers of the model.
        expected: u32,
        /// The end of the last stage.
        found: u32,
    },
}

/// Check that `stages` covers `0..layers` in order and exactly once.
///
/// # Errors
/// Returns the first fault, scanning from layer 0.
pub fn check(stages: &[Layers], layers: u32) -> Result<(), ChainError> {
    if stages.is_empty() {
        return Err(ChainError::Empty);
    }
    let mut next_layer = 0;
    for stage in stages {
        if stage.first != next_layer || stage.end <= stage.first {
            return Err(ChainError::Discontinuous {
                expected: next_layer,
                found: stage.first,
            });
        }
        next_layer = stage.end;
    }
    if next_layer != layers {
        return Err(ChainError::WrongEnd {
            expected: layers,
            found: next_layer,
        });
    }
    Ok(())
}

/// Fraction by which the cost of an engine is randomly varied, so that daemons with the same
/// measurements do not all choose the same engine.
const JITTER: f64 = 0.1;
/// Number of engines sampled at random per layer range. A few suffice to avoid slow engines;
/// evaluating all of them would take time proportional to the fleet and would send every daemon to
/// the same best engine.
const SAMPLE_SIZE: usize = 4;

/// The engines of a model that hold the same layer range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// The layers.
    pub layers: Layers,
    /// The engines.
    pub members: Vec<TargetKey>,
}

/// Group engines by layer range, sorted by first layer.
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

/// Return the groups of a model, which are empty for a model without engines.
pub fn groups_for_model<'a>(
    by_model: &'a BTreeMap<String, Vec<Group>>,
    model: &str,
) -> &'a [Group] {
    by_model.get(model).map_or(&[], Vec::as_slice)
}

type Candidate<'a> = (TargetKey, &'a Target);

/// Sample up to [`SAMPLE_SIZE`] engines that satisfy `usable`. Falls back to all usable engines of
/// the group if none was sampled.
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

/// Return the cheapest candidate and its cost, which is the predicted time of one decode step in
/// seconds at the engine's current load. Engines without measurements are assigned the mean of the
/// measured ones, so that a new engine receives its share of the work.
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

/// Error returned when no chain could be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChainUnavailable {
    /// The live engines do not cover the layers.
    Uncovered,
    /// The live engines cover the layers, but every engine of some range is full.
    Full,
}

/// Choose a low-cost chain over `0..layers` by a shortest-path search over layer boundaries, where
/// the cost of a group is that of the cheapest engine in a small sample. The running time depends
/// on the number of groups, not of engines.
///
/// # Errors
/// [`ChainUnavailable`] if the engines that take work do not cover the layers, or are full.
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
        let cost_so_far = match best[group.layers.first as usize] {
            _ if group.layers.first == 0 => 0.0,
            Some((cost, _)) => cost,
            None => continue,
        };
        let candidates = sample_candidates(group, targets, &usable, rng);
        let Some((cost, target)) = cheapest(&candidates, rng) else {
            continue;
        };
        let end = &mut best[group.layers.end as usize];
        if end.is_none_or(|(least, _)| cost_so_far + cost < least) {
            let layers = group.layers;
            *end = Some((cost_so_far + cost, Stage { target, layers }));
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

/// Choose a low-cost engine other than `excluded` that holds exactly `layers`. Full engines are
/// included, since running requests take precedence over new ones.
pub fn replacement(
    groups: &[Group],
    targets: &SlotMap<TargetKey, Target>,
    layers: Layers,
    excluded: TargetKey,
    rng: &mut ChaCha8Rng,
) -> Option<TargetKey> {
    let group = groups.iter().find(|group| group.layers == layers)?;
    let usable = |key: TargetKey, target: &Target| key != excluded && target.takes_work();
    let candidates = sample_candidates(group, targets, usable, rng);
    cheapest(&candidates, rng).map(|(_, target)| target)
}
