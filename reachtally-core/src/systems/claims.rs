//! Requests that may not be repeated: claim, read-back, recorded outcomes.

use crate::claim::{ClaimKey, ClaimRecord, Entry, Folded, Recorded};
use crate::effect::{Completed, Effect, Effects, Finish};
use crate::event::Read;
use crate::ids::RequestKey;
use crate::life::{Refusal, State, Unknown};
use crate::request::{Answer, Request};
use crate::systems::{admit, finish, start};
use crate::time::Instant;
use crate::world::{Timer, World};

/// The claim key of a request that may not be repeated, if it carries a key.
pub fn key_of(world: &World, req: &Request) -> Option<ClaimKey> {
    if req.repeatable {
        return None;
    }
    let account = world.accounts.get(req.account)?;
    Some(ClaimKey {
        account: account.declared.name.clone(),
        key: req.key.clone()?,
    })
}

/// A request with a key arrives: answer it from the record, attach it to the one that runs, or
/// claim its key.
pub fn enter(
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

/// The log answered an append.
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
            let folded = world.claims.fold(read.record.by, read.at_ms, entry);
            react(world, folded, now, out);
        }
    }
}

/// The log has come back from an older copy. No key is taken until every claim of the window is known again, and what waits for a
/// claim of its own is refused: the first claim of a key in the log may not be the first that was acted on.
pub fn returned(world: &mut World, out: &mut Effects) {
    world.claims_ready = false;
    for request in world.waiting.requests() {
        wait_over(world, request, out);
    }
}

fn react(world: &mut World, folded: Folded, now: Instant, out: &mut Effects) {
    match folded {
        Folded::Owned(key) => owned(world, &key, now, out),
        Folded::Released(key) => released(world, &key),
        Folded::Ended(key) => {
            if let Some(outcome) = world
                .claims
                .get(&key)
                .and_then(|claim| claim.outcome.clone())
            {
                answer_followers(world, &key, &outcome, out);
            }
        }
        Folded::Nothing => {}
    }
}

/// A key is owned now: by us, so the first request that waits runs; or by another daemon run.
fn owned(world: &mut World, key: &ClaimKey, now: Instant, out: &mut Effects) {
    let Some(claim) = world.claims.get(key) else {
        return;
    };
    let digest = claim.digest;
    if claim.owner != world.incarnation {
        return refuse_other_bodies(world, key, digest, out);
    }
    match world.waiting.first(key) {
        Some(request) if admit::digest(&world.requests[request].work) == digest => {
            run(world, request, now, out);
        }
        _ => world.outbox.push(Entry::Release { key: key.clone() }),
    }
}

fn run(world: &mut World, request: RequestKey, now: Instant, out: &mut Effects) {
    let req = &mut world.requests[request];
    req.state = req.state.take().map(|state| match state {
        State::Admitted(life) => State::Claimed(life.claim()),
        other => other,
    });
    start::start(world, request, now, out);
}

fn refuse_other_bodies(world: &mut World, key: &ClaimKey, digest: u64, out: &mut Effects) {
    for request in world.waiting.all(key) {
        if admit::digest(&world.requests[request].work) != digest {
            let refusal = Refusal::KeyReused;
            finish::give_up(world, request, refusal, Unknown::OwnedElsewhere, out);
        }
    }
}

/// A key was given back: a request that waits for it may claim it anew.
fn released(world: &mut World, key: &ClaimKey) {
    let Some(request) = world.waiting.first(key) else {
        return;
    };
    let digest = admit::digest(&world.requests[request].work);
    world.outbox.push(Entry::Claim {
        key: key.clone(),
        digest,
    });
}

/// The owning request ended without having run: give the key back. Requests that wait for the same
/// key claim it anew once the release is folded.
pub fn hand_on(world: &mut World, key: &ClaimKey) {
    world.outbox.push(Entry::Release { key: key.clone() });
}

/// Give a recorded outcome to every request that waits for the key.
pub fn answer_followers(world: &mut World, key: &ClaimKey, outcome: &Recorded, out: &mut Effects) {
    for request in world.waiting.take(key) {
        let ours = world
            .requests
            .get(request)
            .is_some_and(|req| !req.is_dispatched());
        if ours {
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

/// A request has waited long enough for its claim. While the log shows no owner it did not run;
/// under another owner its outcome is unknown.
pub fn wait_over(world: &mut World, request: RequestKey, out: &mut Effects) {
    let Some(req) = world.requests.get(request) else {
        return;
    };
    if req.is_dispatched() {
        return;
    }
    let Some(key) = key_of(world, req) else {
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
