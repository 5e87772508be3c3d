//! Membership and configuration gossip within a failure domain.

use std::time::Duration;

use crate::effect::{Effect, Effects};
use crate::event::Read;
use crate::fold::{Config, Operation};
use crate::member::{GOSSIP_INTERVAL, MemberState};
use crate::systems::configure;
use crate::time::Instant;
use crate::world::{Timer, World};

/// Number of peers that newly folded records are pushed to.
const PUSH_FANOUT: usize = 3;
/// Number of recent records retained for peers that lag behind.
const MAX_RECENT_RECORDS: usize = 512;
/// Number of members of a failure domain that tail the log closely; the others receive records
/// through gossip.
pub const READERS: usize = 3;
/// Gap between two ticks or events above which the daemon assumes it was paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(4);
/// How long a daemon that was paused waits for the log or a peer before it continues with its
/// current configuration.
pub const REVALIDATE_WAIT: Duration = Duration::from_secs(2);

/// Configuration obtained from a peer, or from a snapshot in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerConfig {
    /// Consecutive records.
    Records(Vec<Read<Operation>>),
    /// A complete configuration.
    Snapshot(Box<Config>),
}

/// Join the failure domain as `me`.
pub fn join(world: &mut World, me: MemberState, now: Instant) {
    world.members.me = MemberState {
        incarnation: world.incarnation,
        ..me
    };
    world.start_timer(now, Timer::Gossip);
}

/// Send a digest to one peer and schedule the next round.
pub fn round(world: &mut World, now: Instant, out: &mut Effects) {
    world.start_timer(now + GOSSIP_INTERVAL, Timer::Gossip);
    let config_next = world.config.next();
    let me = &mut world.members.me;
    me.heartbeat += 1;
    me.config_next = config_next;
    me.stopping = world.stopping;
    world.members.remove_expired(now);
    world.reader = world.members.rank("reader", now) < READERS;
    if !world.members.is_gossip_enabled() {
        return;
    }
    for to in world.members.peers(1, now, &mut world.rng) {
        let members = world.members.digest(now, &mut world.rng);
        out.push(Effect::Gossip { to, members });
    }
}

/// Merge a received digest, and pull configuration records if the sender has more.
pub fn digest(world: &mut World, members: Vec<MemberState>, now: Instant, out: &mut Effects) {
    let sender = members.first().cloned();
    world.members.merge(members, now);
    let Some(sender) = sender.filter(|sender| sender.domain == world.members.me.domain) else {
        return;
    };
    if sender.config_next > world.config.next() {
        out.push(Effect::PullConfig {
            from: sender.address,
            next: world.config.next(),
        });
    }
}

/// Apply records or a snapshot obtained from a peer or the log.
pub fn peer_config(world: &mut World, config: PeerConfig, now: Instant, out: &mut Effects) {
    match config {
        PeerConfig::Records(records) => configure::read(world, &records, now, out),
        PeerConfig::Snapshot(config) => configure::adopt(world, *config, now, out),
    }
}

/// Return the records, or a snapshot, that a peer needs after folding the records below `next`.
pub fn config_for(world: &World, next: u64) -> PeerConfig {
    let first = world.recent_records.front().map(|read| read.offset);
    if first.is_some_and(|first| first <= next) {
        let lacking = world
            .recent_records
            .iter()
            .filter(|read| read.offset >= next);
        return PeerConfig::Records(lacking.cloned().collect());
    }
    PeerConfig::Snapshot(Box::new(world.config.clone()))
}

/// Push newly folded records to a few peers at once; digests reach the rest.
pub fn push(world: &mut World, records: Vec<Read<Operation>>, now: Instant, out: &mut Effects) {
    for to in world.members.peers(PUSH_FANOUT, now, &mut world.rng) {
        out.push(Effect::PushConfig {
            to,
            records: records.clone(),
        });
    }
    world.recent_records.extend(records);
    while world.recent_records.len() > MAX_RECENT_RECORDS {
        world.recent_records.pop_front();
    }
}

/// Detect a pause of this process from the time since the last tick or event. After a pause the
/// configuration may be stale, so nothing is admitted until it has been revalidated. Data that
/// arrived during the pause may itself be stale, so only the response to a query sent after the
/// pause counts.
pub fn detect_pause(world: &mut World, now: Instant, out: &mut Effects) {
    let late = now.since(world.last_tick);
    world.last_tick = now;
    if !world.members.is_gossip_enabled() || late <= PAUSE_THRESHOLD {
        return;
    }
    world.counters.pauses_noticed += 1;
    let nonce = world.counters.pauses_noticed;
    world.revalidation = Some(Revalidation {
        nonce,
        until: now + REVALIDATE_WAIT,
    });
    out.push(Effect::Revalidate {
        nonce,
        next: world.config.next(),
        peers: world.members.peers(PUSH_FANOUT, now, &mut world.rng),
    });
}

/// A revalidation in progress.
#[derive(Debug, Clone, Copy)]
pub struct Revalidation {
    nonce: u64,
    until: Instant,
}

/// Handle the response to the revalidation query `nonce`.
pub fn revalidated(world: &mut World, nonce: u64) {
    world.revalidation = world.revalidation.filter(|pending| pending.nonce != nonce);
}

/// Return whether the configuration must be revalidated before anything is admitted.
pub fn must_revalidate(world: &World, now: Instant) -> bool {
    world
        .revalidation
        .is_some_and(|pending| now < pending.until)
}
