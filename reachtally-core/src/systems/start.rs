//! Sending an admitted, and where needed claimed, request to its first target.

use crate::chain::{self, NoChain, Stage};
use crate::declare::{Kind, Object};
use crate::effect::Effects;
use crate::ids::RequestKey;
use crate::life::{Refusal, Unknown};
use crate::lineage::Lineage;
use crate::request::{Awaited, Completion, Progress, Running, Work};
use crate::restore::KeptInputs;
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
    let (layers, stages) = match choose(world, &completion.model) {
        Ok(chosen) => chosen,
        Err(refusal) => {
            return finish::give_up(world, key, refusal, Unknown::NoReplacement, out);
        }
    };
    for stage in &stages {
        world.targets[stage.target].running += 1;
    }
    let running = new_running(stages, layers, &completion.prompt);
    let first = running.chain[0].target;
    let req = &mut world.requests[key];
    req.progress = Progress::Running(Box::new(running));
    req.state = req.state.take().map(|state| state.dispatch());
    world.targets[first].ready.push_back(key);
    world.mark_dirty(first);
}

fn choose(world: &mut World, model: &str) -> Result<(u32, Vec<Stage>), Refusal> {
    let layers = match world
        .config
        .get(Kind::Model, model)
        .map(|entry| &entry.object)
    {
        Some(Object::Model(model)) => model.layers,
        _ => return Err(Refusal::UnknownModel),
    };
    let engines = world.engines.get(model).map_or(&[][..], Vec::as_slice);
    match chain::choose(engines, &world.targets, layers, &mut world.rng) {
        Ok(stages) => Ok((layers, stages)),
        Err(NoChain::Uncovered) => Err(Refusal::NoTarget),
        Err(NoChain::Full) => Err(Refusal::Busy),
    }
}

fn new_running(chain: Vec<Stage>, layers: u32, prompt: &str) -> Running {
    let stages = chain.len();
    Running {
        chain,
        layers,
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
        kept: vec![KeptInputs::default(); stages],
        prompt_positions: 0,
        tokens: Vec::new(),
        text: String::new(),
        undrained: 0,
        lineage: Lineage::default(),
        parked: false,
    }
}
