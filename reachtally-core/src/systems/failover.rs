//! Failover of running requests from a lost stage, and restoring the KV of that stage.

use slotmap::Key;

use crate::chain;
use crate::effect::{Change, Effect, Effects};
use crate::event::CallFailure;
use crate::ids::{CallKey, RequestId, RequestKey, TargetKey};
use crate::latency::Latency;
use crate::life::{NeverStarted, Refusal, Unknown};
use crate::request::{Awaited, Progress, Running, Standby, Work};
use crate::restore::{RestoreCost, RestoreMethod};
use crate::step::Release;
use crate::systems::{accept, finish, health, standby, start};
use crate::target::Target;
use crate::time::Instant;
use crate::world::{Timer, World};

/// Maximum number of engines that may be lost in a row under one step of a request. Protects the
/// remaining engines, and the requests running there, from a request that crashes every engine it
/// runs on; losing three engines under one step for other reasons is rare.
const MAX_CALLS_LOST: u32 = 3;

/// Handle a failed call to an engine: suspect the engine and fail over the requests that awaited
/// the call.
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
        standby::call_done(world, call, sent, None, now, out);
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

/// Handle an awaited step that never started. If no step of the request has run, restart it on
/// another chain or refuse it as not run; otherwise fail over its stage.
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
    let nothing_ran = req
        .running()
        .is_some_and(|running| running.attempt == 1 && running.accepted.iter().all(|n| *n == 0));
    if !nothing_ran {
        return replace_stage(world, request, now, out);
    }
    req.state = req.state.take().map(|state| state.never_started(proof));
    finish::detach_from_targets(world, request);
    start::start(world, request, now, out);
}

/// Handle the loss of the call that carried the awaited step. The request itself may be crashing
/// engines, so the number of calls lost in a row is limited.
fn call_lost(world: &mut World, request: RequestKey, now: Instant, out: &mut Effects) {
    let Some(running) = world.running(request) else {
        return;
    };
    running.calls_lost += 1;
    if running.calls_lost >= MAX_CALLS_LOST {
        world.counters.requests_engines_lost += 1;
        return finish::end_unknown(world, request, Unknown::EnginesLost, out);
    }
    replace_stage(world, request, now, out);
}

/// Handle the loss of the awaited step by moving its stage to another engine.
pub fn replace_stage(world: &mut World, request: RequestKey, now: Instant, out: &mut Effects) {
    let Some(running) = world.running(request) else {
        return;
    };
    let Some(stage) = running.awaited.as_ref().map(|awaited| awaited.stage) else {
        return;
    };
    let excluded = running.chain[stage].target;
    restore_stage(world, request, excluded, now, out);
}

/// Move the awaited stage to the best engine other than `excluded` and restore its KV there. If no
/// engine is available, park the request.
pub fn restore_stage(
    world: &mut World,
    request: RequestKey,
    excluded: TargetKey,
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
    let groups = chain::groups_for_model(&world.engines, &running.model);
    if let Some(standby) = usable_standby(world, running, stage, excluded) {
        return switch_to_standby(world, request, stage, &standby, now, out);
    }
    match chain::replacement(groups, &world.targets, layers, excluded, &mut world.rng) {
        Some(target) => place_stage(world, request, stage, target, KvCoverage::NONE, now, out),
        None => park(world, request, now),
    }
}

/// Return the standby of the stage if it takes work and has begun to replicate.
fn usable_standby(
    world: &World,
    running: &Running,
    stage: usize,
    excluded: TargetKey,
) -> Option<Standby> {
    let standby = running.standbys[stage].clone()?;
    let available = world
        .targets
        .get(standby.target)
        .is_some_and(Target::takes_work);
    (available && standby.target != excluded && (standby.covered > 0 || standby.call.is_some()))
        .then_some(standby)
}

/// Move the stage to its standby. While a span to the standby is in flight, the extent of its KV is
/// unknown, so the request waits for the response; that call has its own time-out.
fn switch_to_standby(
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
    let kv = KvCoverage {
        covered: standby.covered,
        method: RestoreMethod::Standby,
    };
    place_stage(world, request, stage, standby.target, kv, now, out);
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

/// Retry placing every parked request.
pub fn retry_parked(world: &mut World, now: Instant, out: &mut Effects) {
    for request in std::mem::take(&mut world.parked) {
        let Some(running) = world.running(request) else {
            continue;
        };
        running.parked = false;
        restore_stage(world, request, TargetKey::null(), now, out);
    }
}

/// End a request that stayed parked until its replacement wait expired.
pub fn replacement_wait_expired(world: &mut World, request: RequestKey, out: &mut Effects) {
    let parked = world.running(request).is_some_and(|running| running.parked);
    if parked {
        finish::end_unknown(world, request, Unknown::NoReplacement, out);
    }
}

/// Give up a request whose steps were refused too often or as malformed.
pub fn give_up_refused(world: &mut World, request: RequestKey, out: &mut Effects) {
    let refusal = Refusal::NeverStarted;
    finish::give_up(world, request, refusal, Unknown::NoReplacement, out);
}

/// KV that the engine taking over a stage already holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvCoverage {
    /// Number of positions covered.
    pub covered: u32,
    /// The method by which the KV got there.
    pub method: RestoreMethod,
}

impl KvCoverage {
    /// No KV.
    pub const NONE: KvCoverage = KvCoverage {
        covered: 0,
        method: RestoreMethod::Replay,
    };
}

/// Place a stage on `target` and await its step there.
pub fn place_stage(
    world: &mut World,
    request: RequestKey,
    stage: usize,
    target: TargetKey,
    kv: KvCoverage,
    now: Instant,
    out: &mut Effects,
) {
    let way = choose_method(world, request, stage, target, kv);
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
        RestoreMethod::Standby | RestoreMethod::Import => (replay(running, stage, kv.covered), 0),
        RestoreMethod::Replay => (replay(running, stage, 0), 0),
        RestoreMethod::Prefill => prefill(running),
    };
    let first = awaited.stage;
    let position = running.accepted[stage];
    running.awaited = Some(awaited);
    world.replay_buffer_bytes -= freed;
    fill_input(world, request, way);
    count_restore(world, way);
    move_request(world, old, target, release);
    let (from, to) = (target_name(world, old), target_name(world, target));
    out.push(Effect::Changed(Change::StageMoved {
        request,
        from,
        to,
        way,
        position,
    }));
    if let Some(running) = world.requests[request].running() {
        let target = running.chain[first].target;
        accept::queue_step(world, request, target, now, out);
    }
}

fn count_restore(world: &mut World, method: RestoreMethod) {
    world.counters.stages_shifted += 1;
    match method {
        RestoreMethod::Import => world.counters.restored_by_import += 1,
        RestoreMethod::Standby => world.counters.restored_from_standby += 1,
        RestoreMethod::Replay => world.counters.restored_by_replay += 1,
        RestoreMethod::Prefill => world.counters.restored_by_prefill += 1,
    }
}

fn target_name(world: &World, target: TargetKey) -> String {
    world
        .targets
        .get(target)
        .map_or_else(String::new, |target| target.name.clone())
}

fn move_request(world: &mut World, old: TargetKey, new: TargetKey, release: Release) {
    if old == new {
        return;
    }
    finish::release_stage(world, old, release);
    world.targets[new].running += 1;
}

fn choose_method(
    world: &World,
    request: RequestKey,
    stage: usize,
    target: TargetKey,
    kv: KvCoverage,
) -> RestoreMethod {
    let Progress::Running(running) = &world.requests[request].progress else {
        return RestoreMethod::Prefill;
    };
    let Some(awaited) = &running.awaited else {
        return RestoreMethod::Prefill;
    };
    let end = awaited.from + awaited.positions;
    let from = running.restore_start(stage, kv.covered);
    let possible = stage == 0 || running.replay_buffers[stage].span(from, end).is_some();
    let replacement = &world.targets[target].latency;
    let chain: Vec<&Latency> = running
        .chain
        .iter()
        .enumerate()
        .map(|(at, s)| if at == stage { target } else { s.target })
        .filter_map(|key| world.targets.get(key))
        .map(|row| &row.latency)
        .collect();
    let estimate = RestoreCost {
        positions: end,
        activation_len: running.replay_buffers[stage].activation_len(),
        link_rate: world.limits.link_rate,
        replacement,
        chain: &chain,
    };
    match estimate.choose(possible, kv.covered) {
        RestoreMethod::Standby => kv.method,
        method => method,
    }
}

/// Await the same span again, starting early enough to rebuild the KV before it, of which `covered`
/// positions are already present.
fn replay(running: &Running, stage: usize, covered: u32) -> Awaited {
    let awaited = running.awaited.as_ref();
    let (from, positions) = awaited.map_or((0, 0), |awaited| (awaited.from, awaited.positions));
    let outputs_from = awaited.map_or(0, |awaited| awaited.outputs_from);
    let restore_from = running.restore_start(stage, covered);
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

/// Await all positions so far, starting at the first stage. Return the number of replay buffer
/// bytes freed.
fn prefill(running: &mut Running) -> (Awaited, usize) {
    let freed = running
        .replay_buffers
        .iter_mut()
        .map(|buffer| buffer.reset())
        .sum();
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

/// Set the input of the awaited step from the replay buffers, or from the prompt and tokens.
fn fill_input(world: &mut World, request: RequestKey, method: RestoreMethod) {
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
    debug_assert!(input.is_some() || method == RestoreMethod::Prefill);
    if let Some(awaited) = &mut running.awaited {
        awaited.input = input;
    }
}
