//! Sending the steps that are ready, those of one engine together.

use crate::effect::{Effect, Effects};
use crate::ids::{CallKey, RequestId, RequestKey, TargetKey};
use crate::request::Awaited;
use crate::step::{Batch, Step};
use crate::systems::shift;
use crate::target::Health;
use crate::time::Instant;
use crate::world::{Call, Sent, Timer, World};

/// Send to every engine that something became ready for.
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

/// Move the requests whose next step waits for a suspected engine.
fn move_ready(world: &mut World, key: TargetKey, now: Instant, out: &mut Effects) {
    let ready = std::mem::take(&mut world.targets[key].ready);
    for request in ready {
        shift::lost(world, request, now, out);
    }
}

/// Send what is ready. A span goes in a call of its own, so that no token waits for another
/// request's prompt; single positions share calls, of which a bounded number is outstanding, so
/// that steps which become ready meanwhile go together.
fn send_ready(world: &mut World, key: TargetKey, now: Instant, out: &mut Effects) {
    let ready = std::mem::take(&mut world.targets[key].ready);
    let mut singles = Vec::new();
    for request in ready {
        match awaited_positions(world, request, key) {
            Some(1) => singles.push(request),
            Some(_) => send(world, key, &[request], false, now, out),
            None => {}
        }
    }
    let mut rest = singles.as_slice();
    while !rest.is_empty() && world.targets[key].calls < world.limits.calls_per_engine {
        let (now_sent, later) = rest.split_at(rest.len().min(world.limits.steps_per_call));
        send(world, key, now_sent, true, now, out);
        rest = later;
    }
    world.targets[key].ready.extend(rest);
    if !world.targets[key].releases.is_empty() {
        send(world, key, &[], true, now, out);
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
    decode: bool,
    now: Instant,
    out: &mut Effects,
) {
    let call = world.calls.insert(Call {
        target: key,
        steps: Vec::with_capacity(requests.len()),
        sent_at: now,
        decode,
    });
    let mut batch = Batch {
        steps: Vec::with_capacity(requests.len()),
        releases: std::mem::take(&mut world.targets[key].releases),
    };
    let mut span = 1;
    for &request in requests {
        if let Some((step, positions)) = take_step(world, request, call) {
            world.calls[call].steps.push(Sent { request, positions });
            span = span.max(positions);
            batch.steps.push(step);
        }
    }
    let target = &mut world.targets[key];
    target.calls += u32::from(decode);
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

/// The step that `request` awaits, and the positions it is expected to take.
fn take_step(world: &mut World, request: RequestKey, call: CallKey) -> Option<(Step, u32)> {
    let id = RequestId::new(world.incarnation, request);
    let running = world.requests.get_mut(request)?.running()?;
    let attempt = running.attempt;
    let awaited = running.awaited.as_mut()?;
    let restore_to = running.accepted[awaited.stage];
    let input = awaited.input.take()?;
    awaited.call = Some(call);
    let expected = expected_positions(awaited, &input);
    let step = Step {
        request: id,
        attempt,
        from: awaited.from,
        positions: awaited.positions,
        restore_to,
        outputs_from: awaited.outputs_from,
        input,
    };
    Some((step, expected))
}

/// A prompt takes at most as many positions as it has bytes.
fn expected_positions(awaited: &Awaited, input: &crate::step::Input) -> u32 {
    match input {
        crate::step::Input::Tokens { text, .. } if awaited.positions == 0 => text.len() as u32,
        _ => awaited.positions,
    }
}
