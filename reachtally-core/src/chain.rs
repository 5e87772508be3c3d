//! Chains: the engines that together cover a model's layers, and the choice among them.

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

/// Mean time that the measured ones among `engines` take for one layer, if any was measured. It
/// stands in for engines that have not been measured, so that a new one gets its part of the work.
fn layer_time(engines: &EngineList, targets: &SlotMap<TargetKey, Target>) -> Option<f64> {
    let mut sum = 0.0;
    let mut layers = 0;
    for target in engines.iter().filter_map(|key| targets.get(*key)) {
        if let Some((_, range, _)) = target.engine()
            && target.latency.is_measured()
        {
            sum += target.latency.expected(1).as_secs_f64();
            layers += range.count();
        }
    }
    (layers > 0).then(|| sum / f64::from(layers))
}

/// Predicted time of one decode step at `target`, in seconds, with what runs there.
fn cost(target: &Target, slots: u32, layer_time: Option<f64>, rng: &mut ChaCha8Rng) -> f64 {
    let layers = target.engine().map_or(0, |(_, range, _)| range.count());
    let step = match layer_time {
        Some(time) if !target.latency.is_measured() => time * f64::from(layers),
        _ => target.latency.expected(1).as_secs_f64(),
    };
    let load = f64::from(target.running + 1) / f64::from(slots.max(1));
    let jitter = 1.0 + JITTER * rng.random::<f64>();
    step * (1.0 + load) * jitter
}

/// Why no chain could be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoChain {
    /// Live engines don't cover the layers.
    Uncovered,
    /// They do, but none of some range has a free slot.
    Full,
}

/// The engines of one model, sorted by the first layer they hold.
pub type EngineList = [TargetKey];

/// Choose the cheapest chain over `0..layers` by shortest path over layer boundaries.
///
/// `engines` must be sorted by first layer. The work is linear in their number.
///
/// # Errors
/// [`NoChain`] if the engines that take work don't cover the layers.
pub fn choose(
    engines: &EngineList,
    targets: &SlotMap<TargetKey, Target>,
    layers: u32,
    rng: &mut ChaCha8Rng,
) -> Result<Vec<Stage>, NoChain> {
    match shortest(engines, targets, layers, rng, false) {
        Some(stages) => Ok(stages),
        None if shortest(engines, targets, layers, rng, true).is_some() => Err(NoChain::Full),
        None => Err(NoChain::Uncovered),
    }
}

fn shortest(
    engines: &EngineList,
    targets: &SlotMap<TargetKey, Target>,
    layers: u32,
    rng: &mut ChaCha8Rng,
    full_too: bool,
) -> Option<Vec<Stage>> {
    let layer_time = layer_time(engines, targets);
    let mut best: Vec<Option<(f64, Stage)>> = vec![None; layers as usize + 1];
    for &key in engines {
        let Some(target) = targets.get(key) else {
            continue;
        };
        let Some((_, range, slots)) = target.engine() else {
            continue;
        };
        if !target.takes_work() || range.end > layers || range.first >= range.end {
            continue;
        }
        if !full_too && target.running >= slots {
            continue;
        }
        let reached = match best[range.first as usize] {
            _ if range.first == 0 => 0.0,
            Some((cost, _)) => cost,
            None => continue,
        };
        let total = reached + cost(target, slots, layer_time, rng);
        let end = &mut best[range.end as usize];
        if end.is_none_or(|(cost, _)| total < cost) {
            let stage = Stage {
                target: key,
                layers: range,
            };
            *end = Some((total, stage));
        }
    }
    trace(&best, layers)
}

fn trace(best: &[Option<(f64, Stage)>], layers: u32) -> Option<Vec<Stage>> {
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

/// Choose another engine with exactly the range `layers`, cheapest first. A full engine is taken
/// too: a request under way goes before a new one.
pub fn replacement(
    engines: &EngineList,
    targets: &SlotMap<TargetKey, Target>,
    layers: Layers,
    not: TargetKey,
    rng: &mut ChaCha8Rng,
) -> Option<TargetKey> {
    let layer_time = layer_time(engines, targets);
    let mut best: Option<(f64, TargetKey)> = None;
    for &key in engines.iter().filter(|key| **key != not) {
        let Some(target) = targets.get(key) else {
            continue;
        };
        let Some((_, range, slots)) = target.engine() else {
            continue;
        };
        if range != layers || !target.takes_work() {
            continue;
        }
        let cost = cost(target, slots, layer_time, rng);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, key));
        }
    }
    best.map(|(_, key)| key)
}
