//! Tables for operator queries.

use std::collections::VecDeque;

use reachtally_command::{Subject, Table};
use reachtally_core::declare::{Kind, Object};
use reachtally_core::target::{Health, Role, Target};
use reachtally_core::{Instant, World};

use crate::ended::Ended;

/// Builds the table for a subject.
pub fn show(world: &World, ended: &VecDeque<Ended>, subject: Subject, now: Instant) -> Table {
    match subject {
        Subject::Targets => targets(world),
        Subject::Boxes => boxes(world),
        Subject::Models => models(world),
        Subject::Accounts => accounts(world),
        Subject::Requests => requests(ended),
        Subject::Config => config(world),
        Subject::Domains => domains(world, now),
        Subject::Members => members(world, now),
    }
}

fn targets(world: &World) -> Table {
    let columns = [
        "target", "box", "serves", "layers", "state", "running", "calls",
    ];
    let mut table = Table::new(&columns);
    let mut rows: Vec<&Target> = world.targets.values().collect();
    rows.sort_by(|a, b| a.name.cmp(&b.name));
    for target in rows {
        let (serves, layers) = match &target.role {
            Role::Engine { model, layers, .. } => (model.clone(), layers.to_string()),
            Role::Service { service } => (service.clone(), "-".to_owned()),
        };
        table.push(vec![
            target.name.clone(),
            or_dash(&target.box_name),
            serves,
            layers,
            state(target).to_owned(),
            target.running.to_string(),
            target.calls.to_string(),
        ]);
    }
    table
}

/// Replaces an empty text by a dash.
fn or_dash(text: &str) -> String {
    if text.is_empty() {
        "-".to_owned()
    } else {
        text.to_owned()
    }
}

fn state(target: &Target) -> &'static str {
    match target.health {
        Health::Suspect { .. } => "suspect",
        Health::Up if target.drained => "drained",
        Health::Up if target.leaving => "leaving",
        Health::Up => "up",
    }
}

fn boxes(world: &World) -> Table {
    let mut table = Table::new(&["box", "state"]);
    for (name, leaving) in world.boxes() {
        let state = if leaving { "leaving" } else { "live" };
        table.push(vec![name.to_owned(), state.to_owned()]);
    }
    table
}

fn domains(world: &World, now: Instant) -> Table {
    let columns = ["domain", "steward", "fence", "confirmed", "behind", "here"];
    let mut table = Table::new(&columns);
    for (name, state) in world.domains().iter() {
        let (steward, fence) = match state.lease {
            Some(lease) => (format!("{:x}", lease.holder.0), lease.fence.to_string()),
            None => (or_dash(""), or_dash("")),
        };
        let behind = world.config.next().saturating_sub(state.confirmed);
        let own = world.me().domain == name && world.is_steward(now);
        table.push(vec![
            name.to_owned(),
            steward,
            fence,
            state.confirmed.to_string(),
            behind.to_string(),
            if own {
                "steward".to_owned()
            } else {
                or_dash("")
            },
        ]);
    }
    table
}

fn members(world: &World, now: Instant) -> Table {
    let mut table = Table::new(&["box", "address", "config", "state"]);
    let me = world.me();
    for member in std::iter::once(me).chain(world.live_members(now)) {
        let state = if member.stopping { "stopping" } else { "live" };
        table.push(vec![
            member.box_name.clone(),
            or_dash(&member.address),
            member.config_next.to_string(),
            state.to_owned(),
        ]);
    }
    table
}

fn models(world: &World) -> Table {
    let mut table = Table::new(&["model", "layers", "revision"]);
    for (name, entry) in world.config.of(Kind::Model) {
        if let Object::Model(model) = &entry.object {
            let (layers, revision) = (model.layers.to_string(), entry.revision.to_string());
            table.push(vec![name.to_owned(), layers, revision]);
        }
    }
    table
}

fn accounts(world: &World) -> Table {
    let mut table = Table::new(&["account", "running", "max_running", "models", "services"]);
    for (name, entry) in world.config.of(Kind::Account) {
        if let Object::Account(account) = &entry.object {
            table.push(vec![
                name.to_owned(),
                world.running_requests(name).to_string(),
                account.max_running.to_string(),
                or_dash(&account.models.join(",")),
                or_dash(&account.services.join(",")),
            ]);
        }
    }
    table
}

fn requests(ended: &VecDeque<Ended>) -> Table {
    let columns = ["request", "outcome", "prompt", "generated", "attempts"];
    let mut table = Table::new(&columns);
    for request in ended {
        table.push(vec![
            request.id.to_string(),
            request.outcome.to_owned(),
            request.prompt_tokens.to_string(),
            request.completion_tokens.to_string(),
            request.attempts.to_string(),
        ]);
    }
    table
}

fn config(world: &World) -> Table {
    let mut table = Table::new(&["figure", "value"]);
    let folded = world.config.next();
    table.push(vec!["config_records".to_owned(), folded.to_string()]);
    let known = world.claims_known();
    table.push(vec!["claims_known".to_owned(), known.to_string()]);
    for (name, value) in world.counters.each() {
        table.push(vec![name.to_owned(), value.to_string()]);
    }
    table
}
