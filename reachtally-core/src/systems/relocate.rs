//! Moving a running request off an engine whose box is leaving, while that engine still answers: its
//! KV is exported and imported, or the stage is replayed where that is quicker.

use slotmap::Key;

use crate::chain;
use crate::effect::{Effect, Effects};
use crate::ids::{RequestId, RequestKey, TargetKey};
use crate::request::{Moving, Progress, Running, Work};
use crate::restore::{Estimate, Way};
use crate::systems::shift::{self, Prepared};
use crate::time::Instant;
use crate::world::World;

/// Tokens still to come below which a request ends where it is.
const MOVE_LEAST: u32 = 16;

/// Whether the step that `request` awaits at `from` is held back because its stage moves; starts the
/// move if there is reason and room for one.
pub fn begin(
    world: &mut World,
    request: RequestKey,
    from: TargetKey,
    now: Instant,
    out: &mut Effects,
) -> bool {
    let Some((stage, to)) = wanted(world, request, from) else {
        return false;
    };
    if is_replay_quicker(world, request, stage, to) {
        shift::restore(world, request, from, now, out);
        return true;
    }
    let id = RequestId::new(world.incarnation, request);
    world.targets[to].running += 1;
    if let Some(running) = world.requests[request].running() {
        running.moving = Some(Moving { stage, to });
    }
    out.push(Effect::MoveKv {
        request,
        id,
        from,
        to,
    });
    true
}

/// The stage to move and where to, if the box is leaving and enough is still to come.
fn wanted(world: &mut World, request: RequestKey, from: TargetKey) -> Option<(usize, TargetKey)> {
    if !world.targets.get(from)?.leaving {
        return None;
    }
    let req = world.requests.get(request)?;
    let (Progress::Running(running), Work::Completion(completion)) = (&req.progress, &req.work)
    else {
        return None;
    };
    let to_come = completion
        .max_tokens
        .saturating_sub(running.tokens.len() as u32);
    if running.moving.is_some() || running.tokens.is_empty() || to_come < MOVE_LEAST {
        return None;
    }
    let stage = running.awaited.as_ref()?.stage;
    let groups = world.engines.get(&running.model)?;
    let layers = running.chain[stage].layers;
    let to = chain::replacement(groups, &world.targets, layers, from, &mut world.rng)?;
    world.targets[to].has_slot().then_some((stage, to))
}

fn is_replay_quicker(world: &World, request: RequestKey, stage: usize, to: TargetKey) -> bool {
    let Progress::Running(running) = &world.requests[request].progress else {
        return false;
    };
    let end = running.accepted[stage];
    if stage > 0 && running.kept[stage].span(0, end).is_none() {
        return false;
    }
    let estimate = Estimate {
        positions: end,
        unit: running.kept[stage].unit(),
        link_rate: world.limits.link_rate,
        replacement: &world.targets[to].latency,
        chain: &[],
    };
    let layers = running.chain[stage].layers.count();
    estimate.replay(0) <= estimate.import(layers, world.limits.kv_bytes)
}

/// A move ended. `positions` is what the KV at the new engine covers, if it was moved.
pub fn moved(
    world: &mut World,
    request: RequestKey,
    to: TargetKey,
    positions: Option<u32>,
    now: Instant,
    out: &mut Effects,
) {
    let Some(running) = world.running(request) else {
        return;
    };
    let Some(moving) = running.moving.take_if(|moving| moving.to == to) else {
        return;
    };
    let covered = running.accepted[moving.stage];
    let whole = positions == Some(covered) && is_awaited(running, moving.stage);
    if let Some(target) = world.targets.get_mut(to) {
        target.running -= 1;
    }
    let up = world
        .targets
        .get(to)
        .is_some_and(|target| target.takes_work());
    if whole && up {
        let prepared = Prepared {
            covered,
            way: Way::Import,
        };
        shift::place(world, request, moving.stage, to, prepared, now, out);
    } else {
        shift::restore(world, request, TargetKey::null(), now, out);
    }
}

fn is_awaited(running: &Running, stage: usize) -> bool {
    running
        .awaited
        .as_ref()
        .is_some_and(|awaited| awaited.stage == stage)
}
