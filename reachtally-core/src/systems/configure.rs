//! Apply configuration records and the live list of boxes to the tables.

use std::collections::BTreeMap;

use crate::chain;
use crate::declare::{Kind, Object};
use crate::effect::{Change, Effect, Effects};
use crate::event::{BoxStatus, Read};
use crate::fold::{Config, Operation, Verdict};
use crate::ids::TargetKey;
use crate::systems::{failover, gossip};
use crate::target::{Role, Target};
use crate::time::Instant;
use crate::world::{Account, World};

/// Fold configuration records, then reconcile the tables once for the whole batch.
pub fn read(world: &mut World, records: &[Read<Operation>], now: Instant, out: &mut Effects) {
    let mut changed = false;
    let mut folded = Vec::new();
    for read in records {
        match world.config.fold(read.offset, &read.record) {
            Ok(None) => {}
            Ok(Some(verdict)) => {
                world.counters.config_folded += 1;
                changed |= verdict == Verdict::Applied;
                folded.push(read.clone());
                world.counters.config_conflicts +=
                    u64::from(matches!(verdict, Verdict::Conflict { .. }));
                out.push(Effect::Changed(Change::Config {
                    offset: read.offset,
                    operation: read.record.id.clone(),
                    actor: read.record.actor.clone(),
                    verdict,
                }));
            }
            Err(err) => {
                out.push(Effect::Changed(Change::ConfigGap(err)));
                break;
            }
        }
    }
    if !folded.is_empty() {
        gossip::push(world, folded, now, out);
        snapshot_if_due(world, now, out);
    }
    if changed {
        reconcile(world);
        failover::retry_parked(world, now, out);
    }
}

/// Replace the configuration with `config` if `config` has folded more records.
pub fn adopt(world: &mut World, config: Config, now: Instant, out: &mut Effects) {
    if world.config.adopt(config) {
        world.recent_records.clear();
        world.last_snapshot_offset = world.config.next();
        reconcile(world);
        failover::retry_parked(world, now, out);
    }
}

/// Number of folded records between two snapshots; far lower than the number of records the log
/// retains.
pub const SNAPSHOT_INTERVAL: u64 = 200;

/// Write a snapshot if one is due and this daemon ranks first in its failure domain. Snapshots
/// depend only on the records, so it is harmless if several domains write the same one.
fn snapshot_if_due(world: &mut World, now: Instant, out: &mut Effects) {
    let next = world.config.next();
    let due = next >= world.last_snapshot_offset + SNAPSHOT_INTERVAL;
    if due && world.members.rank("snapshot", now) == 0 {
        out.push(Effect::WriteSnapshot(Box::new(world.config.clone())));
        world.last_snapshot_offset = next;
    }
}

/// Apply the live list of boxes. A box missing from the list counts as leaving: it receives no new
/// work, and requests running there continue until a call fails.
pub fn list_read(world: &mut World, boxes: &[BoxStatus], now: Instant, out: &mut Effects) {
    let own = &world.members.me.domain;
    let peers = boxes.iter().filter_map(|seen| seen.peer.as_ref());
    let seeds = peers
        .filter(|peer| peer.domain == *own)
        .map(|peer| peer.address.clone());
    let seeds = seeds.collect();
    world.members.set_seeds(seeds);
    let boxes = boxes.iter().map(|seen| (seen.name.clone(), seen.leaving));
    world.boxes = Some(boxes.collect());
    for (_, target) in &mut world.targets {
        target.leaving = is_leaving(world.boxes.as_ref(), &target.box_name);
    }
    failover::retry_parked(world, now, out);
}

fn is_leaving(boxes: Option<&BTreeMap<String, bool>>, name: &str) -> bool {
    if name.is_empty() {
        return false;
    }
    boxes.is_some_and(|boxes| boxes.get(name).copied().unwrap_or(true))
}

fn reconcile(world: &mut World) {
    reconcile_targets(world);
    reconcile_accounts(world);
    rebuild_indexes(world);
}

fn declared_targets(world: &World) -> BTreeMap<String, (Target, bool)> {
    let mut declared = BTreeMap::new();
    for (_, entry) in world.config.of(Kind::Engine) {
        if let Object::Engine(engine) = &entry.object {
            let role = Role::Engine {
                model: engine.model.clone(),
                layers: engine.layers,
                slots: engine.slots,
            };
            let (name, url) = (engine.name.clone(), engine.url.clone());
            let mut target = Target::new(name.clone(), url, engine.box_name.clone(), role);
            target.domain = engine.domain.clone();
            target.checks_fence = engine.checks_fence;
            declared.insert(name, (target, entry.drained));
        }
    }
    for (_, entry) in world.config.of(Kind::Service) {
        if let Object::Service(service) = &entry.object {
            for (at, url) in service.urls.iter().enumerate() {
                let name = format!("{}#{at}", service.name);
                let role = Role::Service {
                    service: service.name.clone(),
                };
                let target = Target::new(name.clone(), url.clone(), String::new(), role);
                declared.insert(name, (target, entry.drained));
            }
        }
    }
    declared
}

/// Insert, update and remove target rows to match the declared configuration. A row is replaced
/// when the address, role or box of the target changed; requests on the old row then fail over as
/// if the target had died.
fn reconcile_targets(world: &mut World) {
    let declared = declared_targets(world);
    let stale: Vec<(String, TargetKey)> = world
        .target_by_name
        .iter()
        .filter(|(name, key)| !is_same(&world.targets[**key], declared.get(*name)))
        .map(|(name, key)| (name.clone(), *key))
        .collect();
    for (name, key) in stale {
        world.target_by_name.remove(&name);
        world.targets.remove(key);
    }
    for (name, (mut target, drained)) in declared {
        match world.target_by_name.get(&name) {
            Some(key) => world.targets[*key].drained = drained,
            None => {
                target.drained = drained;
                target.leaving = is_leaving(world.boxes.as_ref(), &target.box_name);
                let key = world.targets.insert(target);
                world.target_by_name.insert(name, key);
            }
        }
    }
}

fn is_same(row: &Target, declared: Option<&(Target, bool)>) -> bool {
    declared.is_some_and(|(target, _)| {
        row.url == target.url && row.role == target.role && row.box_name == target.box_name
    })
}

fn reconcile_accounts(world: &mut World) {
    let declared: Vec<crate::declare::Account> = world
        .config
        .of(Kind::Account)
        .filter_map(|(_, entry)| match &entry.object {
            Object::Account(account) => Some(account.clone()),
            _ => None,
        })
        .collect();
    let names: Vec<&str> = declared
        .iter()
        .map(|account| account.name.as_str())
        .collect();
    world
        .account_by_name
        .retain(|name, _| names.contains(&name.as_str()));
    for account in declared {
        match world.account_by_name.get(&account.name) {
            Some(key) => world.accounts[*key].declared = account,
            None => {
                let name = account.name.clone();
                let row = Account {
                    declared: account,
                    running: 0,
                };
                let key = world.accounts.insert(row);
                world.account_by_name.insert(name, key);
            }
        }
    }
}

/// Rebuild the engine groups of each model and the instance list of each service.
fn rebuild_indexes(world: &mut World) {
    let mut engines: BTreeMap<String, Vec<TargetKey>> = BTreeMap::new();
    world.instances.clear();
    for key in world.target_by_name.values() {
        match &world.targets[*key].role {
            Role::Engine { model, .. } => engines.entry(model.clone()).or_default().push(*key),
            Role::Service { service } => {
                let instances = world.instances.entry(service.clone()).or_default();
                instances.push(*key);
            }
        }
    }
    let targets = &world.targets;
    let groups = engines.into_iter();
    let groups = groups.map(|(model, engines)| (model, chain::group(&engines, targets)));
    world.engines = groups.collect();
}
