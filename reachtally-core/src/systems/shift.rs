//! Moving a running request off a lost stage, and restoring that stage's KV.

use slotmap::Key;

use crate::chain;
use crate::effect::{Change, Effect, Effects};
use crate::event::CallFailure;
use crate::ids::{CallKey, RequestId, RequestKey, TargetKey};
use crate::latency::Latency;
use crate::life::{NeverStarted, Refusal, Unknown};
use crate::request::{Awaited, Progress, Running, Standby, Work};
use crate::restore::{Estimate, Way};
use crate::step::Release;
use crate::systems::{accept, finish, health, standby, start};
use crate::target::Target;
use crate::time::Instant;
use crate::world::{Timer, World};

/// Engines that may be lost in a row under one step of a request. Guards the others, and what runs there, from a request that crashes
/// whatever runs it; a step that is lost at three for other reasons is rare.
const CALLS_LOST_MAX: u32 = 3;

/// A call to an engine failed: suspect the engine, and move the requests that waited for the call.
pub fn call_failed(
    world: &mut World,
    call: CallKey,
    failure: CallFailure,
    now: Instant,
    out: &mut Effects,
) {
    let Some(failed) = world.calls.remove(call) else {
        return;
    };
    world.counters.engine_calls_failed += 1;
    if let Some(target) = world.targets.get_mut(failed.target) {
        *target.outstanding(failed.load) -= 1;
    }
    health::suspect(world, failed.target, now, out);
    if let Some(sent) = accept::standby_step(&failed) {
        standby::answered(world, call, sent, None, now, out);
    }
    for sent in failed.steps {
        if !accept::awaits_call(world, sent.request, call) {
            continue;
        }
        match failure {
            CallFailure::NeverStarted(proof) => {
                never_started(world, sent.request, proof, now, out);
            }
            CallFailure::Lost => call_lost(world, sent.request, now, out),
        }
    }
    world.mark_dirty(failed.target);
}

/// The awaited step never started. If nothing of the request ever ran it starts anew on another
/// chain, or is refused as not run; else its stage moves.
pub fn never_started(
    world: &mut World,
    request: RequestKey,
    proof: NeverStarted,
    now: Instant,
    out: &mut Effects,
) {
    let Some(req) = world.requests.get_mut(request) else {
        return;
    };
    let untouched = req
        .running()
        .is_some_and(|running| running.attempt == 1 && running.accepted.iter().all(|n| *n == 0));
    if !untouched {
        return lost(world, request, now, out);
    }
    req.state = req.state.take().map(|state| state.never_started(proof));
    finish::leave_targets(world, request);
    start::start(world, request, now, out);
}

/// The call that carried the awaited step is lost. The request may be why engines end, so it gets only so many of them for one step.
fn call_lost(world: &mut World, request: RequestKey, now: Instant, out: &mut Effects) {
    let Some(running) = world.running(request) else {
        return;
    };
    running.calls_lost += 1;
    if running.calls_lost >= CALLS_LOST_MAX {
        world.counters.requests_engines_lost += 1;
        return finish::end_unknown(world, request, Unknown::EnginesLost, out);
    }
    lost(world, request, now, out);
}

/// The awaited step is lost: another engine takes the stage.
pub fn lost(world: &mut World, request: RequestKey, now: Instant, out: &mut Effects) {
    let Some(running) = world.running(request) else {
        return;
    };
    let Some(stage) = running.awaited.as_ref().map(|awaited| awaited.stage) else {
        return;
    };
    let not = running.chain[stage].target;
    restore(world, request, not, now, out);
}

/// Put the awaited stage on the best engine other than `not` and restore its KV there; wait for an
/// engine if none can take it.
pub fn restore(
    world: &mut World,
    request: RequestKey,
    not: TargetKey,
    now: Instant,
    out: &mut Effects,
) {
    let Some(req) = world.requests.get(request) else {
        return;
    };
    let Progress::Running(running) = &req.progress else {
        return;
    };
    let Some(stage) = running.awaited.as_ref().map(|awaited| awaited.stage) else {
        return;
    };
    let layers = running.chain[stage].layers;
    let groups = chain::groups_of(&world.engines, &running.model);
    if let Some(standby) = usable_standby(world, running, stage, not) {
        return take_standby(world, request, stage, &standby, now, out);
    }
    match chain::replacement(groups, &world.targets, layers, not, &mut world.rng) {
        Some(target) => place(world, request, stage, target, Prepared::NOT, now, out),
        None => park(world, request, now),
    }
}

/// The stage's standby, if it takes work and has begun to follow.
fn usable_standby(
    world: &World,
    running: &Running,
    stage: usize,
    not: TargetKey,
) -> Option<Standby> {
    let standby = running.standbys[stage].clone()?;
    let up = world
        .targets
        .get(standby.target)
        .is_some_and(Target::takes_work);
    (up && standby.target != not && (standby.covered > 0 || standby.call.is_some()))
        .then_some(standby)
}

/// Put the stage on its standby. While a span is on its way there the standby's KV is not known, so
/// the request waits for that answer; the call has a time-out of its own.
fn take_standby(
    world: &mut World,
    request: RequestKey,
    stage: usize,
    standby: &Standby,
    now: Instant,
    out: &mut Effects,
) {
    let Some(running) = world.requests[request].running() else {
        return;
    };
    if standby.call.is_some() {
        running.waits_for_standby = true;
        if let Some(awaited) = &mut running.awaited {
            awaited.call = None;
            awaited.input = None;
        }
        return;
    }
    running.standbys[stage] = None;
    world.targets[standby.target].running -= 1;
    let prepared = Prepared {
        covered: standby.covered,
        way: Way::Standby,
    };
    place(world, request, stage, standby.target, prepared, now, out);
}

fn park(world: &mut World, request: RequestKey, now: Instant) {
    let deadline = now + world.limits.replacement_wait;
    let Some(running) = world.requests[request].running() else {
        return;
    };
    if running.parked {
        return;
    }
    running.parked = true;
    if let Some(awaited) = &mut running.awaited {
        awaited.call = None;
        awaited.input = None;
    }
    world.parked.push(request);
    world.start_timer(deadline, Timer::Replacement(request));
}

/// Try again to place every request that waits for an engine.
pub fn retry_parked(world: &mut World, now: Instant, out: &mut Effects) {
    for request in std::mem::take(&mut world.parked) {
        let Some(running) = world.running(request) else {
            continue;
        };
        running.parked = false;
        restore(world, request, TargetKey::null(), now, out);
    }
}

/// A parked request has waited long enough.
pub fn replacement_wait_over(world: &mut World, request: RequestKey, out: &mut Effects) {
    let parked = world.running(request).is_some_and(|running| running.parked);
    if parked {
        finish::end_unknown(world, request, Unknown::NoReplacement, out);
    }
}

/// Engines refused the request's steps too often, or for good.
pub fn give_up_refused(world: &mut World, request: RequestKey, out: &mut Effects) {
    let refusal = Refusal::NeverStarted;
    finish::give_up(world, request, refusal, Unknown::NoReplacement, out);
}

/// What the engine that takes a stage holds of it already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prepared {
    /// Positions that its KV covers.
    pub covered: u32,
    /// How it came by them.
    pub way: Way,
}

impl Prepared {
    /// Nothing.
    pub const NOT: Prepared = Prepared {
        covered: 0,
        way: Way::Replay,
    };
}

/// Put a stage on `target` and await its step there.
pub fn place(
    world: &mut World,
    request: RequestKey,
    stage: usize,
    target: TargetKey,
    prepared: Prepared,
    now: Instant,
    out: &mut Effects,
) {
    let way = choose_way(world, request, stage, target, prepared);
    let id = RequestId::new(world.incarnation, request);
    let Some(running) = world.requests[request].running() else {
        return;
    };
    let old = std::mem::replace(&mut running.chain[stage].target, target);
    let release = Release {
        request: id,
        attempt: running.attempt,
    };
    running.attempt += 1;
    let (awaited, freed) = match way {
        Way::Standby | Way::Import => (replay(running, stage, prepared.covered), 0),
        Way::Replay => (replay(running, stage, 0), 0),
        Way::Prefill => prefill(running),
    };
    let first = awaited.stage;
    let position = running.accepted[stage];
    running.awaited = Some(awaited);
    world.kept_bytes -= freed;
    fill_input(world, request, way);
    count(world, way);
    move_running(world, old, target, release);
    let (from, to) = (name(world, old), name(world, target));
    out.push(Effect::Changed(Change::StageShifted {
        request,
        from,
        to,
        way,
        position,
    }));
    if let Some(running) = world.requests[request].running() {
        let target = running.chain[first].target;
        accept::queue(world, request, target, now, out);
    }
}

fn count(world: &mut World, way: Way) {
    world.counters.stages_shifted += 1;
    match way {
        Way::Import => world.counters.restored_by_import += 1,
        Way::Standby => world.counters.restored_from_standby += 1,
        Way::Replay => world.counters.restored_by_replay += 1,
        Way::Prefill => world.counters.restored_by_prefill += 1,
    }
}

fn name(world: &World, target: TargetKey) -> String {
    world
        .targets
        .get(target)
        .map_or_else(String::new, |target| target.name.clone())
}

fn move_running(world: &mut World, old: TargetKey, new: TargetKey, release: Release) {
    if old == new {
        return;
    }
    finish::leave_stage(world, old, release);
    world.targets[new].running += 1;
}

fn choose_way(
    world: &World,
    request: RequestKey,
    stage: usize,
    target: TargetKey,
    prepared: Prepared,
) -> Way {
    let Progress::Running(running) = &world.requests[request].progress else {
        return Way::Prefill;
    };
    let Some(awaited) = &running.awaited else {
        return Way::Prefill;
    };
    let end = awaited.from + awaited.positions;
    let from = running.restorable_from(stage, prepared.covered);
    let possible = stage == 0 || running.kept[stage].span(from, end).is_some();
    let replacement = &world.targets[target].latency;
    let chain: Vec<&Latency> = running
        .chain
        .iter()
        .enumerate()
        .map(|(at, s)| if at == stage { target } else { s.target })
        .filter_map(|key| world.targets.get(key))
        .map(|row| &row.latency)
        .collect();
    let estimate = Estimate {
        positions: end,
        unit: running.kept[stage].unit(),
        link_rate: world.limits.link_rate,
        replacement,
        chain: &chain,
    };
    match estimate.choose(possible, prepared.covered) {
        Way::Standby => prepared.way,
        way => way,
    }
}

/// Await the same span again, from a position such that the KV before it is rebuilt; `covered`
/// positions are there already.
fn replay(running: &Running, stage: usize, covered: u32) -> Awaited {
    let awaited = running.awaited.as_ref();
    let (from, positions) = awaited.map_or((0, 0), |awaited| (awaited.from, awaited.positions));
    let outputs_from = awaited.map_or(0, |awaited| awaited.outputs_from);
    let restore_from = running.restorable_from(stage, covered);
    Awaited {
        stage,
        from: restore_from,
        outputs_from,
        positions: match positions {
            0 => 0,
            positions => from + positions - restore_from,
        },
        input: None,
        call: None,
    }
}

/// Await all positions so far from the first stage on. Returns the bytes of kept inputs freed.
fn prefill(running: &mut Running) -> (Awaited, usize) {
    let freed = running.kept.iter_mut().map(|kept| kept.reset()).sum();
    let tokens = running.tokens.len() as u32;
    let awaited = Awaited {
        stage: 0,
        from: 0,
        outputs_from: 0,
        positions: match running.prompt_positions {
            0 => 0,
            prompt => prompt + tokens,
        },
        input: None,
        call: None,
    };
    (awaited, freed)
}

/// Give the awaited step its input from what is kept.
fn fill_input(world: &mut World, request: RequestKey, way: Way) {
    let req = &mut world.requests[request];
    let prompt = match &req.work {
        Work::Completion(completion) => completion.prompt.clone(),
        Work::Service(_) => return,
    };
    let Some(running) = req.running() else {
        return;
    };
    let Some((stage, from, end)) = running.awaited.as_ref().map(|awaited| {
        (
            awaited.stage,
            awaited.from,
            awaited.from + awaited.positions,
        )
    }) else {
        return;
    };
    let input = running.stage_input(stage, from, end, &prompt);
    debug_assert!(input.is_some() || way == Way::Prefill);
    if let Some(awaited) = &mut running.awaited {
        awaited.input = input;
    }
}
