//! Process step results returned by engines: accept only the result a request awaits, then advance
//! the request to its next stage or token.

use bytes::Bytes;
use slotmap::Key;

use crate::effect::{Effect, Effects};
use crate::ids::{CallKey, RequestKey, TargetKey};
use crate::life::{NeverStarted, Unknown};
use crate::lineage::Run;
use crate::request::{Awaited, Running};
use crate::restore::ReplayBuffer;
use crate::step::{Input, Output, StepRefusal, StepResult};
use crate::systems::{deliver, failover, finish, standby};
use crate::time::Instant;
use crate::world::{Call, SentStep, StepPurpose, World};

/// Number of times engines may refuse steps of one request before the request is given up.
const MAX_REFUSALS: u32 = 8;

/// Process the results of one call. Steps of the call without a result count as lost.
pub fn steps_done(
    world: &mut World,
    call: CallKey,
    results: Vec<StepResult>,
    now: Instant,
    out: &mut Effects,
) {
    let Some(done) = world.calls.remove(call) else {
        world.counters.results_dropped += results.len() as u64;
        return;
    };
    sample_latency(world, &done, &results, now);
    if let Some(sent) = standby_step(&done) {
        standby::call_done(world, call, sent, results.first(), now, out);
        return world.mark_dirty(done.target);
    }
    for result in results {
        let request = result.request.key();
        if is_awaited(world, call, &result) {
            accept(world, request, done.target, result, now, out);
        } else {
            world.counters.results_dropped += 1;
        }
    }
    let unanswered: Vec<RequestKey> = done
        .steps
        .iter()
        .map(|sent| sent.request)
        .filter(|request| awaits_call(world, *request, call))
        .collect();
    for request in unanswered {
        failover::replace_stage(world, request, now, out);
    }
    world.mark_dirty(done.target);
}

/// Return the step if `call` went to a standby. Such a call carries no other steps.
pub fn standby_step(call: &Call) -> Option<SentStep> {
    let sent = *call.steps.first()?;
    matches!(sent.purpose, StepPurpose::Standby { .. }).then_some(sent)
}

/// Record the duration of a call as a latency sample for its longest step. The position count of a
/// prompt is known only from the result.
fn sample_latency(world: &mut World, done: &Call, results: &[StepResult], now: Instant) {
    let Some(target) = world.targets.get_mut(done.target) else {
        return;
    };
    *target.outstanding(done.load) -= 1;
    let sent = done.steps.iter().map(|sent| sent.positions);
    let run = results.iter().map(|result| result.positions);
    if let Some(longest) = sent.chain(run).max() {
        target.latency.sample(now.since(done.sent_at), longest);
    }
}

/// Return whether `request` still awaits `call`.
pub fn awaits_call(world: &World, request: RequestKey, call: CallKey) -> bool {
    let Some(req) = world.requests.get(request) else {
        return false;
    };
    match &req.progress {
        crate::request::Progress::Running(running) => running
            .awaited
            .as_ref()
            .is_some_and(|awaited| awaited.call == Some(call)),
        _ => false,
    }
}

fn is_awaited(world: &World, call: CallKey, result: &StepResult) -> bool {
    let request = result.request.key();
    if result.request.incarnation != world.incarnation || !awaits_call(world, request, call) {
        return false;
    }
    let crate::request::Progress::Running(running) = &world.requests[request].progress else {
        return false;
    };
    let Some(awaited) = &running.awaited else {
        return false;
    };
    if result.attempt != running.attempt {
        return false;
    }
    if result.output.is_err() {
        return true;
    }
    let end = result.from + result.positions;
    let full = awaited.positions == 0 || end == awaited.from + awaited.positions;
    result.from == awaited.outputs_from && full && result.positions > 0
}

fn accept(
    world: &mut World,
    request: RequestKey,
    target: TargetKey,
    result: StepResult,
    now: Instant,
    out: &mut Effects,
) {
    match result.output {
        Err(refusal) => step_refused(world, request, refusal, now, out),
        Ok(Output::Activations(activations)) => {
            let span = (result.from, result.from + result.positions);
            accept_activations(world, request, target, span, activations, now, out);
        }
        Ok(Output::Token { id, text, end }) => {
            let last = result.from + result.positions;
            accept_token(world, request, target, last, (id, text, end), out);
        }
    }
}

fn step_refused(
    world: &mut World,
    request: RequestKey,
    refusal: StepRefusal,
    now: Instant,
    out: &mut Effects,
) {
    let req = &mut world.requests[request];
    req.retries += 1;
    let exhausted = req.retries > MAX_REFUSALS;
    match refusal {
        _ if exhausted => failover::give_up_refused(world, request, out),
        StepRefusal::Malformed => failover::give_up_refused(world, request, out),
        StepRefusal::Busy => {
            failover::never_started(world, request, NeverStarted::TargetSaidSo, now, out);
        }
        StepRefusal::KvMissing | StepRefusal::StaleAttempt => {
            failover::restore_stage(world, request, TargetKey::null(), now, out);
        }
    }
}

/// Record positions up to `end` as accepted for the awaited stage, and return the index of that
/// stage.
fn record_accepted(running: &mut Running, target: TargetKey, end: u32) -> Option<usize> {
    let awaited = running.awaited.take()?;
    let stage = awaited.stage;
    running.calls_lost = 0;
    if stage == 0 && running.prompt_positions == 0 {
        running.prompt_positions = end;
    }
    let accepted = running.accepted[stage];
    if end > accepted {
        running.lineage.accept(Run {
            from: accepted,
            end,
            attempt: running.attempt,
            target,
            layers: running.chain[stage].layers,
        });
        running.accepted[stage] = end;
    }
    Some(stage)
}

fn accept_activations(
    world: &mut World,
    request: RequestKey,
    target: TargetKey,
    (from, end): (u32, u32),
    activations: Bytes,
    now: Instant,
    out: &mut Effects,
) {
    let Some(running) = world.requests[request].running() else {
        return;
    };
    let Some(stage) = record_accepted(running, target, end) else {
        return;
    };
    let next = stage + 1;
    if next >= running.chain.len() {
        // The last stage must return a token. This engine holds a different layer range than
        // declared.
        return finish::end_unknown(world, request, Unknown::AnswerLost, out);
    }
    world.replay_buffer_bytes += running.replay_buffers[next].push(&activations, end - from);
    running.awaited = Some(Awaited {
        stage: next,
        from,
        outputs_from: from,
        positions: end - from,
        input: Some(Input::Activations(activations)),
        call: None,
    });
    let target = running.chain[next].target;
    queue_step(world, request, target, now, out);
    shed_replay_buffers(world, request);
}

/// Queue the awaited step of `request` at `target`.
pub fn queue_step(
    world: &mut World,
    request: RequestKey,
    target: TargetKey,
    now: Instant,
    out: &mut Effects,
) {
    match world.targets.get_mut(target) {
        Some(row) => {
            row.ready.push_back(request);
            world.mark_dirty(target);
        }
        None => failover::replace_stage(world, request, now, out),
    }
}

/// Enforce the limit on replay buffers. The request whose buffer just grew first drops the
/// positions covered by its standbys, then all positions; it can still be restored by prefill.
fn shed_replay_buffers(world: &mut World, request: RequestKey) {
    let limit = world.limits.replay_bytes;
    if world.replay_buffer_bytes <= limit {
        return;
    }
    let Some(running) = world.requests[request].running() else {
        return;
    };
    let stages = running.replay_buffers.iter_mut().zip(&running.standbys);
    let covered = stages.map(|(buffer, standby)| {
        let covered = standby.as_ref().map_or(0, |standby| standby.covered);
        buffer.drop_below(covered)
    });
    let mut freed: usize = covered.sum();
    if world.replay_buffer_bytes - freed > limit {
        let all = running
            .replay_buffers
            .iter_mut()
            .map(ReplayBuffer::drop_all);
        freed += all.sum::<usize>();
    }
    world.replay_buffer_bytes -= freed;
}

fn accept_token(
    world: &mut World,
    request: RequestKey,
    target: TargetKey,
    end: u32,
    (id, text, stop): (u32, String, bool),
    out: &mut Effects,
) {
    let req = &mut world.requests[request];
    let keep_text = req.key.is_some();
    let Some(running) = req.running() else {
        return;
    };
    let Some(stage) = record_accepted(running, target, end) else {
        return;
    };
    if stage + 1 != running.chain.len() {
        return finish::end_unknown(world, request, Unknown::AnswerLost, out);
    }
    let index = running.tokens.len() as u32;
    running.tokens.push(id);
    running.unconsumed += 1;
    if keep_text {
        running.text.push_str(&text);
    }
    req.state = req.state.take().map(|state| state.stream());
    world.counters.tokens_delivered += 1;
    out.push(Effect::Deliver {
        request,
        index,
        text,
    });
    standby::token_accepted(world, request);
    deliver::continue_after_token(world, request, stop, out);
}
