//! Standby engines, which replicate the KV of a stage with a lag of a few positions, so that losing
//! the engine requires restoring only those positions.
//!
//! After every `standby_positions` tokens, the inputs of the stage since the last update are sent
//! to the standby as one span, which takes an engine little longer than a single position. Standbys
//! hold KV, so only engines with less than half of their slots in use are chosen.

use crate::chain;
use crate::effect::{Effect, Effects};
use crate::ids::{CallKey, RequestId, RequestKey, TargetKey};
use crate::request::{Progress, Running, Standby, Work};
use crate::step::{Batch, Release, Step, StepResult};
use crate::systems::{failover, finish};
use crate::target::Target;
use crate::time::Instant;
use crate::world::{Call, Load, SentStep, StepPurpose, Timer, World};

/// Count an accepted token and schedule an update of the standbys every `standby_positions` tokens.
pub fn token_accepted(world: &mut World, request: RequestKey) {
    let every = world.limits.standby_positions;
    let Some(running) = world.running(request) else {
        return;
    };
    if every > 0 && running.tokens.len().is_multiple_of(every as usize) {
        world.standby_due.push(request);
    }
}

/// Update the standbys of the requests that are due.
pub fn run(world: &mut World, now: Instant, out: &mut Effects) {
    for request in std::mem::take(&mut world.standby_due) {
        let Some(running) = world.running(request) else {
            continue;
        };
        for stage in 0..stage_count(running) {
            assign_standby(world, request, stage);
            advance_standby(world, request, stage, now, out);
        }
    }
}

fn stage_count(running: &Running) -> usize {
    running.chain.len()
}

/// Return whether a new standby could be sent the inputs of the stage from the start.
fn can_start(running: &Running, stage: usize) -> bool {
    stage == 0
        || running.replay_buffers[stage]
            .span(0, running.accepted[stage])
            .is_some()
}

fn is_idle(target: &Target) -> bool {
    target
        .engine()
        .is_some_and(|(_, _, slots)| (target.running + 1) * 2 <= slots)
}

/// Assign a standby to a stage that has none, if a sufficiently idle engine exists.
fn assign_standby(world: &mut World, request: RequestKey, stage: usize) {
    let Some(Progress::Running(running)) = world.requests.get(request).map(|req| &req.progress)
    else {
        return;
    };
    if running.standbys[stage].is_some() || !can_start(running, stage) {
        return;
    }
    let serving = running.chain[stage];
    let groups = chain::groups_for_model(&world.engines, &running.model);
    let (targets, rng) = (&world.targets, &mut world.rng);
    let found = chain::replacement(groups, targets, serving.layers, serving.target, rng);
    let Some(target) = found.filter(|key| is_idle(&world.targets[*key])) else {
        return;
    };
    world.targets[target].running += 1;
    if let Some(running) = world.requests[request].running() {
        running.standbys[stage] = Some(Standby {
            target,
            covered: 0,
            call: None,
        });
    }
}

/// Send the standby the inputs accumulated since its last update.
fn advance_standby(
    world: &mut World,
    request: RequestKey,
    stage: usize,
    now: Instant,
    out: &mut Effects,
) {
    let Some((target, step)) = next_step(world, request, stage) else {
        return;
    };
    let Some(row) = world.targets.get_mut(target).filter(|row| row.takes_work()) else {
        return drop_standby(world, request, stage);
    };
    if row.span_calls >= world.limits.span_calls_per_engine {
        return;
    }
    row.span_calls += 1;
    let end = step.from + step.positions;
    let due = now + row.latency.timeout(step.positions);
    let call = world.calls.insert(Call {
        target,
        steps: vec![SentStep {
            request,
            positions: step.positions,
            purpose: StepPurpose::Standby { stage, end },
        }],
        sent_at: now,
        load: Load::Span,
    });
    if let Some(running) = world.requests[request].running()
        && let Some(standby) = &mut running.standbys[stage]
    {
        standby.call = Some(call);
    }
    world.counters.standby_spans += 1;
    world.start_timer(due, Timer::Call(call));
    out.push(Effect::Steps {
        call,
        target,
        batch: Batch {
            steps: vec![step],
            releases: Vec::new(),
        },
    });
}

fn next_step(world: &World, request: RequestKey, stage: usize) -> Option<(TargetKey, Step)> {
    let req = world.requests.get(request)?;
    let (Progress::Running(running), Work::Completion(completion)) = (&req.progress, &req.work)
    else {
        return None;
    };
    let standby = running.standbys[stage].as_ref()?;
    let end = running.accepted[stage];
    if standby.call.is_some() || standby.covered >= end {
        return None;
    }
    let from = running.restore_start(stage, standby.covered);
    let input = running.stage_input(stage, from, end, &completion.prompt)?;
    let step = Step {
        request: RequestId::new(world.incarnation, request),
        attempt: running.attempt,
        from,
        positions: end - from,
        restore_to: end,
        outputs_from: end - 1,
        adapter: running.adapter.clone(),
        priority: 0,
        input,
    };
    Some((standby.target, step))
}

/// Handle the response of a standby, or its absence: extend its coverage or drop it. A stage that
/// waits for the standby is then restored.
pub fn call_done(
    world: &mut World,
    call: CallKey,
    sent: SentStep,
    result: Option<&StepResult>,
    now: Instant,
    out: &mut Effects,
) {
    let StepPurpose::Standby { stage, end } = sent.purpose else {
        return;
    };
    let Some(running) = world.running(sent.request) else {
        return;
    };
    let Some(standby) = running.standbys[stage]
        .as_mut()
        .filter(|s| s.call == Some(call))
    else {
        return;
    };
    standby.call = None;
    if result.is_some_and(|result| result.output.is_ok()) {
        standby.covered = end;
    } else {
        drop_standby(world, sent.request, stage);
    }
    let Some(running) = world.requests[sent.request].running() else {
        return;
    };
    if running.waits_for_standby {
        running.waits_for_standby = false;
        failover::replace_stage(world, sent.request, now, out);
    }
}

/// Drop a standby and release its KV.
pub fn drop_standby(world: &mut World, request: RequestKey, stage: usize) {
    let id = RequestId::new(world.incarnation, request);
    let Some(running) = world.running(request) else {
        return;
    };
    let attempt = running.attempt;
    if let Some(standby) = running.standbys[stage].take() {
        let release = Release {
            request: id,
            attempt,
        };
        finish::release_stage(world, standby.target, release);
    }
}
