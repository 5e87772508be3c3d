//! Health checks: suspect targets after failed calls and probe them until they respond.

use crate::effect::{Change, Effect, Effects};
use crate::ids::TargetKey;
use crate::systems::failover;
use crate::target::Health;
use crate::time::Instant;
use crate::world::{Timer, World};

/// Mark a target as suspect. It receives no new work until a probe succeeds.
pub fn suspect(world: &mut World, key: TargetKey, now: Instant, out: &mut Effects) {
    let Some(target) = world.targets.get_mut(key) else {
        return;
    };
    let Some(probe_at) = target.suspect(now) else {
        return;
    };
    out.push(Effect::Changed(Change::TargetSuspect(target.name.clone())));
    world.start_timer(probe_at, Timer::Probe(key));
    world.mark_dirty(key);
}

/// Probe a target if it is still suspect.
pub fn probe(world: &World, key: TargetKey, out: &mut Effects) {
    let suspected = world
        .targets
        .get(key)
        .is_some_and(|target| target.health != Health::Up);
    if suspected {
        out.push(Effect::Probe { target: key });
    }
}

/// Handle the result of a probe.
pub fn probed(world: &mut World, key: TargetKey, up: bool, now: Instant, out: &mut Effects) {
    let Some(target) = world.targets.get_mut(key) else {
        return;
    };
    if !up {
        if let Some(probe_at) = target.probe_failed(now) {
            world.start_timer(probe_at, Timer::Probe(key));
        }
        return;
    }
    if target.health == Health::Up {
        return;
    }
    target.health = Health::Up;
    out.push(Effect::Changed(Change::TargetUp(target.name.clone())));
    world.mark_dirty(key);
    failover::retry_parked(world, now, out);
}
