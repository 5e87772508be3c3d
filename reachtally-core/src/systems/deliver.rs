//! Continue a request after a token: run the next position, finish, or pause while the buffer to
//! the caller is full.

use crate::effect::{Completed, CompletionEnd, Effects, Finish};
use crate::ids::RequestKey;
use crate::request::{Awaited, Progress, Work};
use crate::step::Input;
use crate::systems::finish;
use crate::world::World;

/// Continue after a token was delivered. `stop` is set if the model ended its answer.
pub fn continue_after_token(world: &mut World, request: RequestKey, stop: bool, out: &mut Effects) {
    let req = &world.requests[request];
    let Progress::Running(running) = &req.progress else {
        return;
    };
    let max = match &req.work {
        Work::Completion(completion) => completion.max_tokens,
        Work::Service(_) => 0,
    };
    if stop || running.tokens.len() as u32 >= max {
        return complete(world, request, stop, out);
    }
    if running.unconsumed < world.limits.caller_window {
        continue_at_first_stage(world, request);
    }
}

/// Handle tokens consumed by the caller, and resume the request if it was paused by backpressure.
pub fn resume(world: &mut World, request: RequestKey, tokens: u32) {
    let window = world.limits.caller_window;
    let Some(running) = world.running(request) else {
        return;
    };
    running.unconsumed = running.unconsumed.saturating_sub(tokens);
    let paused = running.awaited.is_none() && !running.tokens.is_empty();
    if paused && running.unconsumed < window {
        continue_at_first_stage(world, request);
    }
}

fn continue_at_first_stage(world: &mut World, request: RequestKey) {
    let Some(running) = world.requests[request].running() else {
        return;
    };
    let Some(&token) = running.tokens.last() else {
        return;
    };
    let from = running.prompt_positions + running.tokens.len() as u32 - 1;
    running.awaited = Some(Awaited {
        stage: 0,
        from,
        outputs_from: from,
        positions: 1,
        input: Some(Input::Tokens {
            text: String::new(),
            tokens: vec![token],
        }),
        call: None,
    });
    let target = running.chain[0].target;
    if let Some(row) = world.targets.get_mut(target) {
        row.ready.push_back(request);
    }
    world.mark_dirty(target);
}

fn complete(world: &mut World, request: RequestKey, stopped: bool, out: &mut Effects) {
    let Some(running) = world.requests[request].running() else {
        return;
    };
    let end = CompletionEnd {
        prompt_tokens: running.prompt_positions,
        completion_tokens: running.tokens.len() as u32,
        stopped,
        lineage: std::mem::take(&mut running.lineage),
        attempts: running.attempt,
    };
    finish::finish(
        world,
        request,
        Finish::Completed(Completed::Completion(end)),
        out,
    );
}
