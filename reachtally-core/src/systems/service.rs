//! Calls to plain services: instance selection and retries.

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

/// Delay before a retry, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 10..60;
/// Maximum number of retries of one call.
const MAX_RETRIES: u32 = 2;

/// Send the call to the instance with the fewest running calls, excluding instances that already
/// failed this request.
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
    let failed_instances = &world.requests[request].failed_instances;
    world
        .instances
        .get(service)?
        .iter()
        .filter(|key| !failed_instances.contains(key))
        .filter_map(|key| world.targets.get(*key).map(|target| (*key, target)))
        .filter(|(_, target)| target.takes_work())
        .min_by_key(|(_, target)| target.running)
        .map(|(key, _)| key)
}

/// Handle the response of a service, or a failed call.
pub fn call_done(
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

/// Retry the call if it did not run or may be repeated; otherwise its outcome is unknown.
fn failed(
    world: &mut World,
    request: RequestKey,
    target: TargetKey,
    failure: CallFailure,
    now: Instant,
    out: &mut Effects,
) {
    finish::detach_from_targets(world, request);
    let req = &mut world.requests[request];
    if let CallFailure::NeverStarted(proof) = failure {
        req.state = req.state.take().map(|state| state.never_started(proof));
    }
    let may_repeat = req.repeatable || !req.is_dispatched();
    req.failed_instances.push(target);
    req.retries += 1;
    if may_repeat && req.retries <= MAX_RETRIES && take_retry(world) {
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

/// Retry a call that never started immediately. A call whose answer was lost is retried after a
/// short random delay, so that calls which failed together are not retried together.
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
    let wait = world.rng.random_range(RETRY_DELAY_MS);
    let at = now + Duration::from_millis(wait);
    world.start_timer(at, Timer::Retry(request));
}

/// Handle the end of a retry delay.
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
