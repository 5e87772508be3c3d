//! Admission control: permissions, account limits and daemon state.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::claim::ClaimKey;
use crate::declare::{Kind, Object};
use crate::effect::{Effect, Effects, Finish};
use crate::ids::{AccountKey, RequestKey};
use crate::life::{Life, Received, Refusal, State};
use crate::request::{NewRequest, Progress, Request, Work};
use crate::systems::{claims, gossip, start};
use crate::time::Instant;
use crate::world::{Timer, World};

/// Check a new request, then start it, queue it for its claim, or refuse it.
pub fn submit(
    world: &mut World,
    request: NewRequest,
    now: Instant,
    out: &mut Effects,
) -> RequestKey {
    world.counters.requests_received += 1;
    let admission = check_admission(world, &request, now);
    let account = admission.as_ref().copied().unwrap_or_default();
    let repeatable = is_repeatable(world, &request);
    let life = Life::<Received>::default();
    let deadline = now + request.request_timeout;
    let key = world.requests.insert(Request {
        account,
        work: request.work,
        key: request.idempotency_key,
        repeatable,
        deadline,
        state: None,
        progress: Progress::Waiting,
        retries: 0,
        failed_instances: Vec::new(),
    });
    if let Err(refusal) = admission {
        refuse(world, key, life, refusal, out);
        return key;
    }
    world.requests[key].state = Some(State::Admitted(life.admit()));
    world.accounts[account].running += 1;
    world.start_timer(deadline, Timer::Deadline(key));
    match claim_key(world, key) {
        Some(claim) => claims::submit_keyed(world, key, claim, now, out),
        None => start::start(world, key, now, out),
    }
    key
}

fn refuse(
    world: &mut World,
    key: RequestKey,
    life: Life<Received>,
    refusal: Refusal,
    out: &mut Effects,
) {
    world.requests.remove(key);
    world.counters.requests_not_run += 1;
    out.push(Effect::Finish {
        request: key,
        finish: Finish::NotRun(life.refuse_not_run(refusal)),
    });
}

fn check_admission(
    world: &World,
    request: &NewRequest,
    now: Instant,
) -> Result<AccountKey, Refusal> {
    if world.stopping {
        return Err(Refusal::Stopping);
    }
    if gossip::must_revalidate(world, now) {
        return Err(Refusal::Paused);
    }
    let key = *world
        .account_by_name
        .get(&request.account)
        .ok_or(Refusal::UnknownAccount)?;
    let account = &world.accounts[key];
    match &request.work {
        Work::Completion(completion) => {
            let name = &completion.model;
            let served = world.config.served(name).ok_or(Refusal::UnknownModel)?;
            let allowed = match served.adapter {
                Some(_) => &account.declared.adapters,
                None => &account.declared.models,
            };
            if !allowed.contains(name) {
                return Err(Refusal::NotAllowed);
            }
        }
        Work::Service(call) => {
            if world.config.get(Kind::Service, &call.service).is_none() {
                return Err(Refusal::UnknownService);
            }
            if !account.declared.services.contains(&call.service) {
                return Err(Refusal::NotAllowed);
            }
        }
    }
    if account.running >= account.declared.max_running {
        return Err(Refusal::AccountLimit);
    }
    Ok(key)
}

/// Return whether the request may be run again when its outcome is unknown. If the service
/// deduplicates by idempotency key, a call that carries a key is repeatable.
fn is_repeatable(world: &World, request: &NewRequest) -> bool {
    let Work::Service(call) = &request.work else {
        return request.idempotency_key.is_none();
    };
    match world
        .config
        .get(Kind::Service, &call.service)
        .map(|entry| &entry.object)
    {
        Some(Object::Service(service)) if service.deduplicates => {
            service.repeatable || request.idempotency_key.is_some()
        }
        Some(Object::Service(service)) => service.repeatable && request.idempotency_key.is_none(),
        _ => false,
    }
}

/// Return the key to claim for a non-repeatable request that carries an idempotency key.
fn claim_key(world: &World, key: RequestKey) -> Option<ClaimKey> {
    let req = &world.requests[key];
    if req.repeatable {
        return None;
    }
    Some(ClaimKey {
        account: world.accounts[req.account].declared.name.clone(),
        key: req.key.clone()?,
    })
}

/// Hash the contents of a request, to detect a different request under the same idempotency key.
pub fn digest(work: &Work) -> u64 {
    let mut hasher = DefaultHasher::new();
    match work {
        Work::Completion(c) => {
            (0u8, &c.model, &c.prompt, c.max_tokens).hash(&mut hasher);
        }
        Work::Service(c) => {
            (1u8, &c.service, &c.method, &c.path, &c.body).hash(&mut hasher);
        }
    }
    hasher.finish()
}
