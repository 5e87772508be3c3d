//! Send ready steps to engines, batching the steps of each engine.

use crate::effect::{Effect, Effects};
use crate::ids::{CallKey, RequestId, RequestKey, TargetKey};
use crate::step::{Batch, Input, Step};
use crate::systems::{failover, relocate};
use crate::target::Health;
use crate::time::Instant;
use crate::world::{Call, Load, SentStep, StepPurpose, Timer, World};

/// Dispatch for every target marked dirty.
pub fn run(world: &mut World, now: Instant, out: &mut Effects) {
    while let Some(key) = world.dirty.pop() {
        let Some(target) = world.targets.get_mut(key) else {
            continue;
        };
        target.dirty = false;
        if target.health == Health::Up {
            send_ready(world, key, now, out);
        } else {
            move_ready(world, key, now, out);
        }
    }
}

/// Fail over the requests whose next step is queued at a suspected engine.
fn move_ready(world: &mut World, key: TargetKey, now: Instant, out: &mut Effects) {
    let ready = std::mem::take(&mut world.targets[key].ready);
    for request in ready {
        failover::replace_stage(world, request, now, out);
    }
}

/// Send the queued steps. A span gets a call of its own so that single-token steps do not wait for
/// another request's prompt; single positions share calls. The number of outstanding calls of each
/// kind is bounded, and steps that become ready meanwhile wait and are batched.
fn send_ready(world: &mut World, key: TargetKey, now: Instant, out: &mut Effects) {
    let ready = std::mem::take(&mut world.targets[key].ready);
    let mut singles = Vec::new();
    let mut waiting = Vec::new();
    for request in ready {
        if relocate::try_start(world, request, key, now, out) {
            continue;
        }
        match awaited_positions(world, request, key) {
            Some(1) => singles.push(request),
            Some(_) if has_room(world, key, Load::Span) => {
                send(world, key, &[request], Load::Span, now, out);
            }
            Some(_) => waiting.push(request),
            None => {}
        }
    }
    let mut rest = singles.as_slice();
    while !rest.is_empty() && has_room(world, key, Load::Singles) {
        let (now_sent, later) = rest.split_at(rest.len().min(world.limits.steps_per_call));
        send(world, key, now_sent, Load::Singles, now, out);
        rest = later;
    }
    world.targets[key].ready.extend(waiting);
    world.targets[key].ready.extend(rest);
    if !world.targets[key].releases.is_empty() && has_room(world, key, Load::Singles) {
        send(world, key, &[], Load::Singles, now, out);
    }
}

fn has_room(world: &World, key: TargetKey, load: Load) -> bool {
    let target = &world.targets[key];
    match load {
        Load::Singles => target.calls < world.limits.calls_per_engine,
        Load::Span => target.span_calls < world.limits.span_calls_per_engine,
    }
}

fn awaited_positions(world: &World, request: RequestKey, target: TargetKey) -> Option<u32> {
    let crate::request::Progress::Running(running) = &world.requests.get(request)?.progress else {
        return None;
    };
    let awaited = running.awaited.as_ref()?;
    let here = running.chain[awaited.stage].target == target && awaited.input.is_some();
    here.then_some(awaited.positions)
}

fn send(
    world: &mut World,
    key: TargetKey,
    requests: &[RequestKey],
    load: Load,
    now: Instant,
    out: &mut Effects,
) {
    let call = world.calls.insert(Call {
        target: key,
        steps: Vec::with_capacity(requests.len()),
        sent_at: now,
        load,
    });
    let mut batch = Batch {
        steps: Vec::with_capacity(requests.len()),
        releases: std::mem::take(&mut world.targets[key].releases),
    };
    let mut span = 1;
    for &request in requests {
        if let Some(step) = take_step(world, request, call) {
            let positions = step.positions;
            world.calls[call].steps.push(SentStep {
                request,
                positions,
                purpose: StepPurpose::Forward,
            });
            span = span.max(max_positions(&step));
            batch.steps.push(step);
        }
    }
    let target = &mut world.targets[key];
    *target.outstanding(load) += 1;
    let due = now + target.latency.timeout(span);
    world.counters.engine_calls += 1;
    world.counters.engine_steps += batch.steps.len() as u64;
    world.start_timer(due, Timer::Call(call));
    out.push(Effect::Steps {
        call,
        target: key,
        batch,
    });
}

/// Take the awaited step of `request` and assign it to `call`.
fn take_step(world: &mut World, request: RequestKey, call: CallKey) -> Option<Step> {
    let id = RequestId::new(world.incarnation, request);
    let running = world.requests.get_mut(request)?.running()?;
    let attempt = running.attempt;
    let (adapter, priority) = (running.adapter.clone(), running.priority);
    let awaited = running.awaited.as_mut()?;
    let restore_to = running.accepted[awaited.stage];
    let input = awaited.input.take()?;
    awaited.call = Some(call);
    Some(Step {
        request: id,
        attempt,
        from: awaited.from,
        positions: awaited.positions,
        restore_to,
        outputs_from: awaited.outputs_from,
        adapter,
        priority,
        input,
    })
}

/// Return an upper bound on the positions of a step: a prompt has at most one position for each
/// byte of text.
fn max_positions(step: &Step) -> u32 {
    match &step.input {
        Input::Tokens { text, tokens } if step.positions == 0 => (text.len() + tokens.len()) as u32,
        _ => step.positions,
    }
}
