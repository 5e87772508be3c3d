//! The steward of a failure domain, that is, the holder of the domain's lease. It confirms the
//! configuration offset that the domain serves and sends orders to targets.
//!
//! Orders are level-triggered: the declared state is compared with the state a target reports, and
//! the order is repeated until both agree. A target that does not check fences receives orders only
//! while the lease is held with [`ORDER_MARGIN`] to spare. A target that checks fences rejects an
//! outdated fence itself, so it may also receive orders after the lease has expired.

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
/// Remaining lease time required to send an order to a target that does not check fences. Longer
/// than an order takes to arrive or fail.
pub const ORDER_MARGIN: Duration = Duration::from_secs(2);
/// Number of engines polled per round, so that the steward's cost does not grow with its domain.
const REPORTS_PER_ROUND: usize = 4;
/// Delay before the first-ranked member takes a lease that is not renewed. Each subsequent rank
/// waits this much longer.
const RANK_WAIT: Duration = Duration::from_secs(2);
/// Time a target must report itself idle after the whole domain has confirmed its drain. Longer
/// than a step chosen before the drain can be in flight.
pub const STOP_IDLE_TIME: Duration = Duration::from_secs(3);

/// An order to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Load an adapter or model version.
    Load(String),
    /// Unload an adapter or model version.
    Unload(String),
    /// Stop; the target is drained and idle.
    Stop,
}

/// State reported by a target.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TargetReport {
    /// Adapters and model versions that are loaded.
    pub loaded: BTreeSet<String>,
    /// Number of requests whose KV the target holds.
    pub requests: u64,
}

/// Run one round: acquire or renew the lease, and act as the steward if it is held.
pub fn round(world: &mut World, now: Instant, out: &mut Effects) {
    world.start_timer(now + STEWARD_INTERVAL, Timer::Steward);
    if world.members.me.domain.is_empty() {
        return;
    }
    try_acquire_lease(world, now, out);
    if !world.local_lease.is_held(now, Duration::ZERO) {
        return;
    }
    confirm(world, now, out);
    for target in least_recently_polled(world) {
        world.targets[target].polled_at = Some(now);
        out.push(Effect::RequestReport { target });
    }
}

fn try_acquire_lease(world: &mut World, now: Instant, out: &mut Effects) {
    let local_lease = &world.local_lease;
    if local_lease.in_flight || now < local_lease.next_at || world.stopping {
        return;
    }
    let held = local_lease.is_held(now, Duration::ZERO);
    if !held && !may_be_free(world, now) {
        return;
    }
    let local_lease = &mut world.local_lease;
    let seq = local_lease.sent.map_or(0, |(seq, _)| seq + 1);
    local_lease.in_flight = true;
    local_lease.sent = Some((seq, now));
    local_lease.next_at = now + RENEW_INTERVAL;
    out.push(Effect::AppendDomain(DomainRecord::Lease {
        domain: world.members.me.domain.clone(),
        holder: world.incarnation,
        seq,
    }));
}

/// Return whether the lease appears to be free. Only the log decides; this check keeps most members
/// of the domain from trying to acquire it.
fn may_be_free(world: &World, now: Instant) -> bool {
    let rank = world.members.rank("steward", now) as u32;
    match world.local_lease.seen_at {
        None => now.elapsed() >= RANK_WAIT * rank,
        Some(seen_at) => now.since(seen_at) >= LEASE + RANK_WAIT * (rank + 1),
    }
}

/// Handle the log's response to an append.
pub fn appended(world: &mut World) {
    world.local_lease.in_flight = false;
}

/// Fold records of the failure domain stream.
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

/// Handle an attempt by any daemon to acquire or renew the lease of this domain. The daemon's own
/// renewal counts from the time that append was sent; a record of an earlier append that is read
/// late is ignored.
fn lease_read(world: &mut World, holder: Incarnation, seq: u64, now: Instant) {
    let lease = world.domains.get(&world.members.me.domain).lease;
    if lease.is_none_or(|lease| lease.holder != holder) {
        return;
    }
    world.local_lease.seen_at = Some(now);
    if holder != world.incarnation {
        world.local_lease.held_until = None;
    } else if let Some((sent, sent_at)) = world.local_lease.sent
        && sent == seq
    {
        world.local_lease.held_until = Some(sent_at + (LEASE - LEASE_MARGIN));
    }
}

/// Append the configuration offset that every live box of the domain serves, if it has advanced.
fn confirm(world: &mut World, now: Instant, out: &mut Effects) {
    let domain = world.members.me.domain.clone();
    let lowest = world
        .members
        .min_config_offset(now)
        .min(world.config.next());
    if lowest <= world.domains.get(&domain).confirmed || lowest <= world.confirm_sent_offset {
        return;
    }
    world.confirm_sent_offset = lowest;
    out.push(Effect::AppendDomain(DomainRecord::Confirm {
        domain,
        holder: world.incarnation,
        config_next: lowest,
    }));
}

/// Return the engines of this domain that were polled least recently.
fn least_recently_polled(world: &World) -> Vec<TargetKey> {
    let own = &world.members.me.domain;
    let engines = world.targets.iter();
    let engines = engines.filter(|(_, target)| target.engine().is_some() && target.domain == *own);
    let mut by_time: Vec<_> = engines
        .map(|(key, target)| (target.polled_at, key))
        .collect();
    by_time.sort_unstable();
    by_time.truncate(REPORTS_PER_ROUND);
    by_time.into_iter().map(|(_, key)| key).collect()
}

/// Handle a target's report by sending the next order it needs.
pub fn reported(
    world: &mut World,
    key: TargetKey,
    report: &TargetReport,
    now: Instant,
    out: &mut Effects,
) {
    let Some(order) = next_order(world, key, report, now) else {
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
    if !target.checks_fence && !world.local_lease.is_held(now, margin) {
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

/// Return the next order that brings a target closer to its declared state.
fn next_order(
    world: &mut World,
    key: TargetKey,
    report: &TargetReport,
    now: Instant,
) -> Option<Order> {
    let target = world.targets.get(key)?;
    let (model, _, _) = target.engine()?;
    let entry = world.config.get(Kind::Engine, &target.name)?;
    if entry.stopped {
        let revision = entry.revision;
        return stop_if_idle(world, key, revision, report, now);
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

/// Stop a target once every live box of the domain serves its drain and the target has since
/// reported itself idle for [`STOP_IDLE_TIME`].
fn stop_if_idle(
    world: &mut World,
    key: TargetKey,
    revision: u64,
    report: &TargetReport,
    now: Instant,
) -> Option<Order> {
    let confirmed = world.members.min_config_offset(now) >= revision;
    let target = world.targets.get_mut(key)?;
    if !confirmed || report.requests > 0 || target.running > 0 {
        target.idle_since = None;
        return None;
    }
    let since = *target.idle_since.get_or_insert(now);
    (now.since(since) >= STOP_IDLE_TIME).then_some(Order::Stop)
}
