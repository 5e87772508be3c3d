//! Calls to plain services: choice of the instance, and what may be sent again.

use std::time::Duration;

use rand::RngExt;

use crate::effect::{Completed, Effect, Effects, Finish};
use crate::event::CallFailure;
use crate::ids::{RequestKey, TargetKey};
use crate::life::{Refusal, Unknown};
use crate::request::{Answer, Progress, Work};
use crate::systems::{finish, health};
use crate::time::Instant;
use crate::world::{Timer, World};

/// Milliseconds that a call waits before it is sent again.
const RETRY_WAIT_MS: std::ops::Range<u64> = 10..60;
/// Times one call is sent again.
const RETRIES_MAX: u32 = 2;

/// Send the call to the instance with the fewest calls that has not failed it.
pub fn send(world: &mut World, request: RequestKey, out: &mut Effects) {
    let Some(req) = world.requests.get(request) else {
        return;
    };
    let Work::Service(call) = &req.work else {
        return;
    };
    let (call, key) = (call.clone(), req.key.clone());
    let Some(target) = choose(world, request, &call.service) else {
        let refusal = if req.retries > 0 {
            Refusal::NeverStarted
        } else {
            Refusal::NoTarget
        };
        return finish::give_up(world, request, refusal, Unknown::AnswerLost, out);
    };
    world.targets[target].running += 1;
    world.counters.service_calls += 1;
    let req = &mut world.requests[request];
    req.progress = Progress::Calling { target };
    req.state = req.state.take().map(|state| state.dispatch());
    out.push(Effect::Call {
        request,
        target,
        call,
        key,
    });
}

fn choose(world: &World, request: RequestKey, service: &str) -> Option<TargetKey> {
    let tried = &world.requests[request].tried;
    world
        .instances
        .get(service)?
        .iter()
        .filter(|key| !tried.contains(key))
        .filter_map(|key| world.targets.get(*key).map(|target| (*key, target)))
        .filter(|(_, target)| target.takes_work())
        .min_by_key(|(_, target)| target.running)
        .map(|(key, _)| key)
}

/// A service answered, or the call to it failed.
pub fn called(
    world: &mut World,
    request: RequestKey,
    target: TargetKey,
    result: Result<Answer, CallFailure>,
    now: Instant,
    out: &mut Effects,
) {
    let awaited = world.requests.get(request).is_some_and(
        |req| matches!(req.progress, Progress::Calling { target: at, .. } if at == target),
    );
    if !awaited {
        world.counters.results_dropped += 1;
        return;
    }
    match result {
        Ok(answer) => {
            let completed = Completed::Service(answer);
            finish::finish(world, request, Finish::Completed(completed), out);
        }
        Err(failure) => {
            if matches!(failure, CallFailure::Lost)
                || failure == CallFailure::NeverStarted(crate::life::NeverStarted::ConnectFailed)
            {
                health::suspect(world, target, now, out);
            }
            failed(world, request, target, failure, now, out);
        }
    }
}

/// Send the call again if nothing of it ran, or if it may be repeated; else its outcome is unknown.
fn failed(
    world: &mut World,
    request: RequestKey,
    target: TargetKey,
    failure: CallFailure,
    now: Instant,
    out: &mut Effects,
) {
    finish::leave_targets(world, request);
    let req = &mut world.requests[request];
    if let CallFailure::NeverStarted(proof) = failure {
        req.state = req.state.take().map(|state| state.never_started(proof));
    }
    let may_repeat = req.repeatable || !req.is_dispatched();
    req.tried.push(target);
    req.retries += 1;
    if may_repeat && req.retries <= RETRIES_MAX && take_retry(world) {
        world.counters.service_retries += 1;
        return send_again(world, request, failure, now, out);
    }
    finish::give_up(
        world,
        request,
        Refusal::NeverStarted,
        Unknown::AnswerLost,
        out,
    );
}

/// A call that never started goes on at once. One whose answer was lost waits a little, a different
/// time each, so that calls which failed together don't come back together.
fn send_again(
    world: &mut World,
    request: RequestKey,
    failure: CallFailure,
    now: Instant,
    out: &mut Effects,
) {
    if matches!(failure, CallFailure::NeverStarted(_)) {
        return send(world, request, out);
    }
    let wait = world.rng.random_range(RETRY_WAIT_MS);
    let at = now + Duration::from_millis(wait);
    world.start_timer(at, Timer::Retry(request));
}

/// A call has waited for its retry.
pub fn retry(world: &mut World, request: RequestKey, out: &mut Effects) {
    let waits = world
        .requests
        .get(request)
        .is_some_and(|req| matches!(req.progress, Progress::Waiting));
    if waits {
        send(world, request, out);
    }
}

fn take_retry(world: &mut World) -> bool {
    let granted = world.budget.take();
    if !granted {
        world.counters.retries_denied += 1;
    }
    granted
}
