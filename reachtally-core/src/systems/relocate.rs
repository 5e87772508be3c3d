//! Move running requests off engines whose box is leaving but which still respond. The KV is
//! exported and imported, or the stage is replayed where that is faster.

use slotmap::Key;

use crate::chain;
use crate::effect::{Effect, Effects};
use crate::ids::{RequestId, RequestKey, TargetKey};
use crate::request::{Moving, Progress, Running, Work};
use crate::restore::{RestoreCost, RestoreMethod};
use crate::systems::failover::{self, KvCoverage};
use crate::time::Instant;
use crate::world::World;

/// A request with fewer tokens left to generate than this is not moved.
const MIN_TOKENS_TO_MOVE: u32 = 16;

/// Start moving the stage that `request` awaits at `from` if its box is leaving and a replacement
/// has a free slot. Return whether the step is held back because of the move.
pub fn try_start(
    world: &mut World,
    request: RequestKey,
    from: TargetKey,
    now: Instant,
    out: &mut Effects,
) -> bool {
    let Some((stage, to)) = choose_move(world, request, from) else {
        return false;
    };
    if is_replay_faster(world, request, stage, to) {
        failover::restore_stage(world, request, from, now, out);
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

/// Return the stage to move and its new target, if the box is leaving and enough tokens remain.
fn choose_move(
    world: &mut World,
    request: RequestKey,
    from: TargetKey,
) -> Option<(usize, TargetKey)> {
    if !world.targets.get(from)?.leaving {
        return None;
    }
    let req = world.requests.get(request)?;
    let (Progress::Running(running), Work::Completion(completion)) = (&req.progress, &req.work)
    else {
        return None;
    };
    let remaining_tokens = completion
        .max_tokens
        .saturating_sub(running.tokens.len() as u32);
    if running.moving.is_some()
        || running.tokens.is_empty()
        || remaining_tokens < MIN_TOKENS_TO_MOVE
    {
        return None;
    }
    let stage = running.awaited.as_ref()?.stage;
    let groups = world.engines.get(&running.model)?;
    let layers = running.chain[stage].layers;
    let to = chain::replacement(groups, &world.targets, layers, from, &mut world.rng)?;
    world.targets[to].has_slot().then_some((stage, to))
}

fn is_replay_faster(world: &World, request: RequestKey, stage: usize, to: TargetKey) -> bool {
    let Progress::Running(running) = &world.requests[request].progress else {
        return false;
    };
    let end = running.accepted[stage];
    if stage > 0 && running.replay_buffers[stage].span(0, end).is_none() {
        return false;
    }
    let estimate = RestoreCost {
        positions: end,
        activation_len: running.replay_buffers[stage].activation_len(),
        link_rate: world.limits.link_rate,
        replacement: &world.targets[to].latency,
        chain: &[],
    };
    let layers = running.chain[stage].layers.count();
    estimate.replay(0) <= estimate.import(layers, world.limits.kv_bytes)
}

/// Handle the end of a move. `positions` is the number of positions the KV at the new engine
/// covers, or `None` if the move failed.
pub fn kv_moved(
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
    let complete = positions == Some(covered) && is_awaited(running, moving.stage);
    if let Some(target) = world.targets.get_mut(to) {
        target.running -= 1;
    }
    let available = world
        .targets
        .get(to)
        .is_some_and(|target| target.takes_work());
    if complete && available {
        let kv = KvCoverage {
            covered,
            method: RestoreMethod::Import,
        };
        failover::place_stage(world, request, moving.stage, to, kv, now, out);
    } else {
        failover::restore_stage(world, request, TargetKey::null(), now, out);
    }
}

fn is_awaited(running: &Running, stage: usize) -> bool {
    running
        .awaited
        .as_ref()
        .is_some_and(|awaited| awaited.stage == stage)
}
