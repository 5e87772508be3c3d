//! Non-repeatable requests: claiming a key, reading the claim back, and recording outcomes.

use crate::claim::{ClaimChange, ClaimKey, ClaimRecord, Entry, Recorded};
use crate::effect::{Completed, Effect, Effects, Finish};
use crate::event::Read;
use crate::ids::RequestKey;
use crate::life::{Refusal, State, Unknown};
use crate::request::{Answer, Request};
use crate::systems::{admit, finish, start};
use crate::time::Instant;
use crate::world::{Timer, World};

/// Return the claim key of a non-repeatable request, if it carries an idempotency key.
pub fn claim_key(world: &World, req: &Request) -> Option<ClaimKey> {
    if req.repeatable {
        return None;
    }
    let account = world.accounts.get(req.account)?;
    Some(ClaimKey {
        account: account.declared.name.clone(),
        key: req.key.clone()?,
    })
}

/// Submit a request that carries an idempotency key: answer it from a recorded outcome, attach it
/// to the request already running under that key, or claim the key.
pub fn submit_keyed(
    world: &mut World,
    request: RequestKey,
    key: ClaimKey,
    now: Instant,
    out: &mut Effects,
) {
    if !world.claims_ready {
        let refusal = Refusal::ClaimUnconfirmed;
        return finish::give_up(world, request, refusal, Unknown::OwnedElsewhere, out);
    }
    let digest = admit::digest(&world.requests[request].work);
    if let Some(claim) = world.claims.get(&key) {
        if claim.digest != digest {
            let refusal = Refusal::KeyReused;
            return finish::give_up(world, request, refusal, Unknown::OwnedElsewhere, out);
        }
        if let Some(outcome) = claim.outcome.clone() {
            return answer(world, request, &outcome, out);
        }
    }
    let claimed = world.claims.get(&key).is_some();
    let first = world.waiting.push(key.clone(), request);
    if first && !claimed {
        world.outbox.push(Entry::Claim { key, digest });
        if let Some(at) = world.outbox.due() {
            world.start_timer(at, Timer::Append);
        }
    }
    world.start_timer(now + world.limits.claim_wait, Timer::ClaimWait(request));
}

/// Append the next record if one is due.
pub fn append(world: &mut World, now: Instant, out: &mut Effects) {
    let interval = world.limits.append_interval;
    if let Some((seq, entries)) = world.outbox.take(now, interval) {
        world.counters.claim_appends += 1;
        world.counters.claim_entries += entries.len() as u64;
        out.push(Effect::Append {
            seq,
            record: ClaimRecord {
                by: world.incarnation,
                entries,
            },
        });
    }
    if let Some(at) = world.outbox.due() {
        world.start_timer(at, Timer::Append);
    }
}

/// Handle the log's response to an append.
pub fn appended(world: &mut World, seq: u64, confirmed: bool) {
    if !confirmed {
        world.counters.claim_answers_lost += 1;
    }
    let by = world.incarnation;
    world.outbox.answered(seq, confirmed, &world.claims, by);
}

/// Fold claim records read from the log.
pub fn read(world: &mut World, records: &[Read<ClaimRecord>], now: Instant, out: &mut Effects) {
    let window = world.limits.claim_window.as_millis() as u64;
    for read in records {
        world.claims.expire(read.at_ms.saturating_sub(window));
        for entry in &read.record.entries {
            let change = world.claims.fold(read.record.by, read.at_ms, entry);
            apply_change(world, change, now, out);
        }
    }
}

/// Handle a log that was restored from an older copy. Refuse new keyed requests until every claim
/// of the window is known again, and refuse those waiting for their own claim: the first claim of a
/// key in the restored log may not be the first one that was acted on.
pub fn log_restored(world: &mut World, out: &mut Effects) {
    world.claims_ready = false;
    for request in world.waiting.requests() {
        claim_wait_expired(world, request, out);
    }
}

fn apply_change(world: &mut World, change: ClaimChange, now: Instant, out: &mut Effects) {
    match change {
        ClaimChange::Owned(key) => key_owned(world, &key, now, out),
        ClaimChange::Released(key) => key_released(world, &key),
        ClaimChange::Ended(key) => {
            if let Some(outcome) = world
                .claims
                .get(&key)
                .and_then(|claim| claim.outcome.clone())
            {
                answer_waiting(world, &key, &outcome, out);
            }
        }
        ClaimChange::Unchanged => {}
    }
}

/// Handle a newly claimed key: if this daemon run owns it, run the first waiting request; if
/// another run owns it, refuse waiting requests with a different body.
fn key_owned(world: &mut World, key: &ClaimKey, now: Instant, out: &mut Effects) {
    let Some(claim) = world.claims.get(key) else {
        return;
    };
    let digest = claim.digest;
    if claim.owner != world.incarnation {
        return refuse_mismatched(world, key, digest, out);
    }
    match world.waiting.first(key) {
        Some(request) if admit::digest(&world.requests[request].work) == digest => {
            run_claimed(world, request, now, out);
        }
        _ => world.outbox.push(Entry::Release { key: key.clone() }),
    }
}

fn run_claimed(world: &mut World, request: RequestKey, now: Instant, out: &mut Effects) {
    let req = &mut world.requests[request];
    req.state = req.state.take().map(|state| match state {
        State::Admitted(life) => State::Claimed(life.claim()),
        other => other,
    });
    start::start(world, request, now, out);
}

fn refuse_mismatched(world: &mut World, key: &ClaimKey, digest: u64, out: &mut Effects) {
    for request in world.waiting.all(key) {
        if admit::digest(&world.requests[request].work) != digest {
            let refusal = Refusal::KeyReused;
            finish::give_up(world, request, refusal, Unknown::OwnedElsewhere, out);
        }
    }
}

/// Handle a released key: the first waiting request claims it again.
fn key_released(world: &mut World, key: &ClaimKey) {
    let Some(request) = world.waiting.first(key) else {
        return;
    };
    let digest = admit::digest(&world.requests[request].work);
    world.outbox.push(Entry::Claim {
        key: key.clone(),
        digest,
    });
}

/// Release the key of a request that ended without running. Requests waiting for the same key claim
/// it again once the release has been folded.
pub fn release_claim(world: &mut World, key: &ClaimKey) {
    world.outbox.push(Entry::Release { key: key.clone() });
}

/// Answer every request that waits for the key with the recorded outcome.
pub fn answer_waiting(world: &mut World, key: &ClaimKey, outcome: &Recorded, out: &mut Effects) {
    for request in world.waiting.take(key) {
        let undispatched = world
            .requests
            .get(request)
            .is_some_and(|req| !req.is_dispatched());
        if undispatched {
            answer(world, request, outcome, out);
        }
    }
}

fn answer(world: &mut World, request: RequestKey, outcome: &Recorded, out: &mut Effects) {
    world.counters.answered_from_record += 1;
    let end = match outcome {
        Recorded::Completed {
            status,
            content_type,
            body,
        } => Finish::Completed(Completed::Recorded(Answer {
            status: *status,
            content_type: content_type.clone(),
            body: body.clone().unwrap_or_default().into(),
        })),
        Recorded::Unknown => Finish::Unknown(Unknown::OwnedElsewhere),
    };
    finish::finish(world, request, end, out);
}

/// Handle a request whose wait for its claim timed out. If the log shows no owner, the request did
/// not run; if another run owns the key, the outcome is unknown.
pub fn claim_wait_expired(world: &mut World, request: RequestKey, out: &mut Effects) {
    let Some(req) = world.requests.get(request) else {
        return;
    };
    if req.is_dispatched() {
        return;
    }
    let Some(key) = claim_key(world, req) else {
        return;
    };
    if world.claims.get(&key).is_some() {
        finish::finish(
            world,
            request,
            Finish::Unknown(Unknown::OwnedElsewhere),
            out,
        );
        world.waiting.remove(&key, request);
    } else {
        let refusal = Refusal::ClaimUnconfirmed;
        finish::give_up(world, request, refusal, Unknown::OwnedElsewhere, out);
    }
}
