//! End requests: send the final answer and remove the request from every table.

use crate::claim::{Entry, Recorded};
use crate::effect::{Completed, Effect, Effects, Finish};
use crate::ids::{RequestId, RequestKey, TargetKey};
use crate::life::{GivenUp, Refusal, Unknown};
use crate::request::{Answer, Progress, Request, Running};
use crate::restore::ReplayBuffer;
use crate::step::Release;
use crate::systems::claims;
use crate::world::World;

/// Handle a caller's disconnect: abandon the request and cancel its steps on every stage.
pub fn disconnected(world: &mut World, request: RequestKey, out: &mut Effects) {
    if world.requests.contains_key(request) {
        finish(world, request, Finish::Abandoned, out);
    }
}

/// Give up a request: refused as not run if its state proves that, otherwise with an unknown
/// outcome.
pub fn give_up(
    world: &mut World,
    request: RequestKey,
    refusal: Refusal,
    unknown: Unknown,
    out: &mut Effects,
) {
    let Some(req) = world.requests.get_mut(request) else {
        return;
    };
    let Some(state) = req.state.take() else {
        return;
    };
    let finish_as = match state.give_up(refusal, unknown) {
        GivenUp::NotRun(not_run) => Finish::NotRun(not_run),
        GivenUp::Unknown(unknown) => Finish::Unknown(unknown),
    };
    finish(world, request, finish_as, out);
}

/// End a dispatched request with an unknown outcome.
pub fn end_unknown(world: &mut World, request: RequestKey, unknown: Unknown, out: &mut Effects) {
    finish(world, request, Finish::Unknown(unknown), out);
}

/// Remove a request from every table and send its caller the final answer.
pub fn finish(world: &mut World, request: RequestKey, end: Finish, out: &mut Effects) {
    let detached = detach_from_targets(world, request);
    let Some(req) = world.requests.remove(request) else {
        return;
    };
    if let Some(account) = world.accounts.get_mut(req.account) {
        account.running -= 1;
    }
    count(world, &end);
    let text = detached.map(|running| running.text);
    settle_claim(world, request, &req, text, &end, out);
    out.push(Effect::Finish {
        request,
        finish: end,
    });
}

fn count(world: &mut World, end: &Finish) {
    match end {
        Finish::Completed(_) => {
            world.counters.requests_completed += 1;
            world.budget.succeeded();
        }
        Finish::NotRun(_) => world.counters.requests_not_run += 1,
        Finish::Unknown(_) => world.counters.requests_unknown += 1,
        Finish::Abandoned => world.counters.requests_abandoned += 1,
    }
}

/// Record the outcome of a request that owns its claim, or release the claim if the request never
/// ran.
fn settle_claim(
    world: &mut World,
    request: RequestKey,
    req: &Request,
    text: Option<String>,
    end: &Finish,
    out: &mut Effects,
) {
    let Some(key) = claims::claim_key(world, req) else {
        return;
    };
    let was_first = world.waiting.first(&key) == Some(request);
    world.waiting.remove(&key, request);
    let owned = world
        .claims
        .get(&key)
        .is_some_and(|claim| claim.owner == world.incarnation && claim.outcome.is_none());
    if !was_first || !owned {
        return;
    }
    match outcome(req, text, end) {
        Some(outcome) => {
            world.outbox.push(Entry::Outcome {
                key: key.clone(),
                outcome: outcome.clone(),
            });
            claims::answer_waiting(world, &key, &outcome, out);
        }
        None => claims::release_claim(world, &key),
    }
}

/// Return the outcome to record, where `text` is the text of a completion, or `None` if the request
/// never ran.
fn outcome(req: &Request, text: Option<String>, end: &Finish) -> Option<Recorded> {
    match end {
        Finish::NotRun(_) => None,
        Finish::Completed(Completed::Service(answer)) => Some(Recorded::of(answer)),
        Finish::Completed(Completed::Completion(_)) => Some(Recorded::of(&Answer {
            status: 200,
            content_type: Some("text/plain".to_owned()),
            body: text.unwrap_or_default().into(),
        })),
        Finish::Completed(Completed::Recorded(_)) => None,
        Finish::Unknown(_) => Some(Recorded::Unknown),
        Finish::Abandoned if !req.is_dispatched() => None,
        Finish::Abandoned => Some(Recorded::Unknown),
    }
}

/// Detach a request from its targets, either to dispatch it again or to end it, and schedule the
/// release of its KV there. Return the run it was detached from, if it was running.
pub fn detach_from_targets(world: &mut World, request: RequestKey) -> Option<Box<Running>> {
    let id = RequestId::new(world.incarnation, request);
    let req = world.requests.get_mut(request)?;
    match std::mem::replace(&mut req.progress, Progress::Waiting) {
        Progress::Waiting => None,
        Progress::Calling { target } => {
            if let Some(row) = world.targets.get_mut(target) {
                row.running -= 1;
            }
            None
        }
        Progress::Running(mut running) => {
            world.replay_buffer_bytes -= running
                .replay_buffers
                .iter_mut()
                .map(ReplayBuffer::reset)
                .sum::<usize>();
            let release = Release {
                request: id,
                attempt: running.attempt,
            };
            let standbys = running
                .standbys
                .iter()
                .flatten()
                .map(|standby| standby.target);
            let moving = running.moving.iter().map(|moving| moving.to);
            let standbys = standbys.chain(moving);
            for target in running
                .chain
                .iter()
                .map(|stage| stage.target)
                .chain(standbys)
            {
                release_stage(world, target, release);
            }
            Some(running)
        }
    }
}

/// Remove a request from one stage and schedule the release of its KV there.
pub fn release_stage(world: &mut World, target: TargetKey, release: Release) {
    if let Some(row) = world.targets.get_mut(target) {
        row.running -= 1;
        row.releases.push(release);
    }
    world.mark_dirty(target);
}
