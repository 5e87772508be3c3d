//! The steward of a failure domain: it holds the lease, confirms what the domain serves by, and
//! gives orders to targets.
//!
//! Orders are level-triggered: what is declared against what a target reports, given again until
//! both agree. A target that does not check fences gets orders only while the lease is held with
//! [`ORDER_MARGIN`] to spare; one that checks them can also be ordered on a lapsed lease, since it
//! refuses an outdated fence itself.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::declare::{Kind, Object};
use crate::effect::{Effect, Effects};
use crate::event::Read;
use crate::ids::{Incarnation, TargetKey};
use crate::lease::{DomainRecord, LEASE, LEASE_MARGIN, RENEW_INTERVAL};
use crate::time::Instant;
use crate::world::{Timer, World};

/// Time between two rounds of the steward.
pub const STEWARD_INTERVAL: Duration = Duration::from_secs(1);
/// Lease time that must be left for an order to a target that does not check fences. Longer than an
/// order takes to arrive or fail.
pub const ORDER_MARGIN: Duration = Duration::from_secs(2);
/// Engines asked in one round, so that the steward's cost does not grow with its domain.
const REPORTS_PER_ROUND: usize = 4;
/// Time after which the first in rank takes a lease that nobody renews; each later rank waits longer.
const RANK_WAIT: Duration = Duration::from_secs(2);
/// Time a target must be idle, by its own report, after the whole domain has confirmed its drain.
/// Longer than a step that was chosen before the drain can be on its way.
pub const STOP_QUIET: Duration = Duration::from_secs(3);

/// What a target is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Load an adapter or model version.
    Load(String),
    /// Unload it.
    Unload(String),
    /// Stop; it is drained and idle.
    Stop,
}

/// What a target reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Reported {
    /// What it holds loaded.
    pub loaded: BTreeSet<String>,
    /// Requests whose KV it holds.
    pub requests: u64,
}

/// One round: take or renew the lease, then act as the steward if it is held.
pub fn round(world: &mut World, now: Instant, out: &mut Effects) {
    world.start_timer(now + STEWARD_INTERVAL, Timer::Steward);
    if world.members.me.domain.is_empty() {
        return;
    }
    seek_lease(world, now, out);
    if !world.tenure.is_held(now, Duration::ZERO) {
        return;
    }
    confirm(world, now, out);
    for target in longest_unasked(world) {
        world.targets[target].asked_at = Some(now);
        out.push(Effect::AskReport { target });
    }
}

fn seek_lease(world: &mut World, now: Instant, out: &mut Effects) {
    let tenure = &world.tenure;
    if tenure.in_flight || now < tenure.next_at || world.stopping {
        return;
    }
    let held = tenure.is_held(now, Duration::ZERO);
    if !held && !is_free(world, now) {
        return;
    }
    let tenure = &mut world.tenure;
    let seq = tenure.sent.map_or(0, |(seq, _)| seq + 1);
    tenure.in_flight = true;
    tenure.sent = Some((seq, now));
    tenure.next_at = now + RENEW_INTERVAL;
    out.push(Effect::AppendDomain(DomainRecord::Lease {
        domain: world.members.me.domain.clone(),
        holder: world.incarnation,
        seq,
    }));
}

/// Whether the lease looks free to this daemon. Only the log decides; this keeps most of the domain
/// from asking.
fn is_free(world: &World, now: Instant) -> bool {
    let rank = world.members.rank("steward", now) as u32;
    match world.tenure.seen_at {
        None => now.elapsed() >= RANK_WAIT * rank,
        Some(seen_at) => now.since(seen_at) >= LEASE + RANK_WAIT * (rank + 1),
    }
}

/// The log answered an append of this daemon.
pub fn appended(world: &mut World) {
    world.tenure.in_flight = false;
}

/// Fold records of the stream of failure domains.
pub fn read(world: &mut World, records: &[Read<DomainRecord>], now: Instant) {
    for read in records {
        world.domains.fold(read.offset, read.at_ms, &read.record);
        if let DomainRecord::Lease {
            domain,
            holder,
            seq,
        } = &read.record
            && *domain == world.members.me.domain
        {
            lease_read(world, *holder, *seq, now);
        }
    }
}

/// Somebody took or renewed the lease of this domain, or tried to. An own renewal counts from when
/// that very append was sent; an older one that shows late does not.
fn lease_read(world: &mut World, holder: Incarnation, seq: u64, now: Instant) {
    let lease = world.domains.get(&world.members.me.domain).lease;
    if lease.is_none_or(|lease| lease.holder != holder) {
        return;
    }
    world.tenure.seen_at = Some(now);
    if holder != world.incarnation {
        world.tenure.held_until = None;
    } else if let Some((sent, sent_at)) = world.tenure.sent
        && sent == seq
    {
        world.tenure.held_until = Some(sent_at + (LEASE - LEASE_MARGIN));
    }
}

/// Tell the log what every live box of the domain serves by, if that has grown.
fn confirm(world: &mut World, now: Instant, out: &mut Effects) {
    let domain = world.members.me.domain.clone();
    let lowest = world.members.lowest_config(now).min(world.config.next());
    if lowest <= world.domains.get(&domain).confirmed || lowest <= world.confirm_sent {
        return;
    }
    world.confirm_sent = lowest;
    out.push(Effect::AppendDomain(DomainRecord::Confirm {
        domain,
        holder: world.incarnation,
        config_next: lowest,
    }));
}

/// The engines of the own domain that were not asked for the longest time.
fn longest_unasked(world: &World) -> Vec<TargetKey> {
    let own = &world.members.me.domain;
    let engines = world.targets.iter();
    let engines = engines.filter(|(_, target)| target.engine().is_some() && target.domain == *own);
    let mut by_time: Vec<_> = engines
        .map(|(key, target)| (target.asked_at, key))
        .collect();
    by_time.sort_unstable();
    by_time.truncate(REPORTS_PER_ROUND);
    by_time.into_iter().map(|(_, key)| key).collect()
}

/// A target reported: order what is missing.
pub fn reported(
    world: &mut World,
    key: TargetKey,
    report: &Reported,
    now: Instant,
    out: &mut Effects,
) {
    let Some(order) = wanted(world, key, report, now) else {
        return;
    };
    let Some(target) = world.targets.get(key) else {
        return;
    };
    let margin = if target.checks_fence {
        Duration::ZERO
    } else {
        ORDER_MARGIN
    };
    let lease = world.domains.get(&world.members.me.domain).lease;
    let Some(lease) = lease.filter(|lease| lease.holder == world.incarnation) else {
        return;
    };
    if !target.checks_fence && !world.tenure.is_held(now, margin) {
        world.counters.orders_withheld += 1;
        return;
    }
    world.counters.orders_given += 1;
    out.push(Effect::Order {
        target: key,
        fence: lease.fence,
        order,
    });
}

/// The next order that brings a target to what is declared.
fn wanted(world: &mut World, key: TargetKey, report: &Reported, now: Instant) -> Option<Order> {
    let target = world.targets.get(key)?;
    let (model, _, _) = target.engine()?;
    let entry = world.config.get(Kind::Engine, &target.name)?;
    if entry.stopped {
        let revision = entry.revision;
        return stop_if_quiet(world, key, revision, report, now);
    }
    let declared = declared_adapters(world, model);
    if let Some(missing) = declared.difference(&report.loaded).next() {
        return Some(Order::Load(missing.clone()));
    }
    let surplus = report.loaded.difference(&declared).next();
    surplus.map(|name| Order::Unload(name.clone()))
}

fn declared_adapters(world: &World, model: &str) -> BTreeSet<String> {
    let adapters = world.config.of(Kind::Adapter);
    let of_model = adapters.filter_map(|(name, entry)| match &entry.object {
        Object::Adapter(adapter) if adapter.model == model => Some(name.to_owned()),
        _ => None,
    });
    of_model.collect()
}

/// Stop a target once every live box of the domain serves by its drain, and it has since reported
/// itself idle for [`STOP_QUIET`].
fn stop_if_quiet(
    world: &mut World,
    key: TargetKey,
    revision: u64,
    report: &Reported,
    now: Instant,
) -> Option<Order> {
    let confirmed = world.members.lowest_config(now) >= revision;
    let target = world.targets.get_mut(key)?;
    if !confirmed || report.requests > 0 || target.running > 0 {
        target.quiet_since = None;
        return None;
    }
    let since = *target.quiet_since.get_or_insert(now);
    (now.since(since) >= STOP_QUIET).then_some(Order::Stop)
}
