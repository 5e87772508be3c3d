//! Send an admitted, and if necessary claimed, request to its first target.

use crate::chain::{self, ChainUnavailable, Stage};
use crate::declare::Layers;
use crate::effect::Effects;
use crate::ids::RequestKey;
use crate::life::{Refusal, Unknown};
use crate::lineage::Lineage;
use crate::request::{Awaited, Completion, Progress, Running, Work};
use crate::restore::ReplayBuffer;
use crate::step::Input;
use crate::systems::{finish, service};
use crate::time::Instant;
use crate::world::World;

/// Start the request on a chain or at a service instance, or give it up.
pub fn start(world: &mut World, key: RequestKey, now: Instant, out: &mut Effects) {
    let Some(req) = world.requests.get(key) else {
        return;
    };
    if req.deadline <= now {
        return finish::give_up(world, key, Refusal::Deadline, Unknown::Deadline, out);
    }
    match &req.work {
        Work::Completion(completion) => {
            let completion = completion.clone();
            start_completion(world, key, &completion, out);
        }
        Work::Service(_) => service::send(world, key, out),
    }
}

fn start_completion(
    world: &mut World,
    key: RequestKey,
    completion: &Completion,
    out: &mut Effects,
) {
    let running = match choose(world, completion) {
        Ok(running) => running,
        Err(refusal) => {
            return finish::give_up(world, key, refusal, Unknown::NoReplacement, out);
        }
    };
    for stage in &running.chain {
        world.targets[stage.target].running += 1;
    }
    let first = running.chain[0].target;
    let req = &mut world.requests[key];
    let account = world.accounts.get(req.account);
    req.progress = Progress::Running(Box::new(Running {
        priority: account.map_or(0, |account| account.declared.priority),
        ..running
    }));
    req.state = req.state.take().map(|state| state.dispatch());
    world.targets[first].ready.push_back(key);
    world.mark_dirty(first);
}

/// Choose a chain for the requested model or adapter.
fn choose(world: &mut World, completion: &Completion) -> Result<Running, Refusal> {
    let served = world.config.served(&completion.model);
    let served = served.ok_or(Refusal::UnknownModel)?;
    let (model, layers) = (served.model.name.clone(), served.model.layers);
    let adapter = served
        .adapter
        .map_or(String::new(), |adapter| adapter.name.clone());
    let groups = chain::groups_for_model(&world.engines, &model);
    match chain::choose(groups, &world.targets, layers, &mut world.rng) {
        Ok(stages) if !is_whole(&stages, layers) => Err(Refusal::NoTarget),
        Ok(stages) => Ok(new_running(stages, model, adapter, &completion.prompt)),
        Err(ChainUnavailable::Uncovered) => Err(Refusal::NoTarget),
        Err(ChainUnavailable::Full) => Err(Refusal::Busy),
    }
}

/// Verify, before any step is sent, that the stages cover every layer of the model exactly once and
/// in order.
fn is_whole(stages: &[Stage], layers: u32) -> bool {
    let ranges: Vec<Layers> = stages.iter().map(|stage| stage.layers).collect();
    chain::check(&ranges, layers).is_ok()
}

fn new_running(chain: Vec<Stage>, model: String, adapter: String, prompt: &str) -> Running {
    let stages = chain.len();
    Running {
        chain,
        model,
        adapter,
        priority: 0,
        attempt: 1,
        awaited: Some(Awaited {
            stage: 0,
            from: 0,
            outputs_from: 0,
            positions: 0,
            input: Some(Input::Tokens {
                text: prompt.to_owned(),
                tokens: Vec::new(),
            }),
            call: None,
        }),
        accepted: vec![0; stages],
        replay_buffers: vec![ReplayBuffer::default(); stages],
        prompt_positions: 0,
        tokens: Vec::new(),
        text: String::new(),
        unconsumed: 0,
        lineage: Lineage::default(),
        parked: false,
        standbys: vec![None; stages],
        waits_for_standby: false,
        calls_lost: 0,
        moving: None,
    }
}
