//! Membership and the spread of the configuration inside a failure domain.

use std::time::Duration;

use crate::effect::{Effect, Effects};
use crate::event::Read;
use crate::fold::{Config, Operation};
use crate::member::{GOSSIP_INTERVAL, MemberState};
use crate::systems::configure;
use crate::time::Instant;
use crate::world::{Timer, World};

/// Peers that newly folded records are pushed to.
const PUSH_FANOUT: usize = 3;
/// Records kept for peers that lack some.
const RECENT_MAX: usize = 512;
/// Members of a failure domain that follow the log closely; the others hear from them.
pub const READERS: usize = 3;
/// A tick that comes so much later than the last one means that the daemon was paused.
pub const PAUSED_AFTER: Duration = Duration::from_secs(4);
/// How long a daemon that was paused waits for the log or a peer before it goes on with what it has.
pub const REVALIDATE_WAIT: Duration = Duration::from_secs(2);

/// A configuration from a peer or from a snapshot in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerConfig {
    /// Records in order.
    Records(Vec<Read<Operation>>),
    /// A whole configuration.
    Snapshot(Box<Config>),
}

/// Take part in the failure domain as `me`.
pub fn join(world: &mut World, me: MemberState, now: Instant) {
    world.members.me = MemberState {
        incarnation: world.incarnation,
        ..me
    };
    world.start_timer(now, Timer::Gossip);
}

/// Send a digest to one peer, and start the next round.
pub fn round(world: &mut World, now: Instant, out: &mut Effects) {
    world.start_timer(now + GOSSIP_INTERVAL, Timer::Gossip);
    let config_next = world.config.next();
    let me = &mut world.members.me;
    me.heartbeat += 1;
    me.config_next = config_next;
    me.stopping = world.stopping;
    world.members.forget(now);
    world.reader = world.members.rank("reader", now) < READERS;
    if !world.members.takes_part() {
        return;
    }
    for to in world.members.peers(1, now, &mut world.rng) {
        let members = world.members.digest(now, &mut world.rng);
        out.push(Effect::Gossip { to, members });
    }
}

/// A digest arrived: learn of members, and ask for records if its sender has more.
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

/// Records or a snapshot came from a peer or the log.
pub fn peer_config(world: &mut World, config: PeerConfig, now: Instant, out: &mut Effects) {
    match config {
        PeerConfig::Records(records) => configure::read(world, &records, now, out),
        PeerConfig::Snapshot(config) => configure::adopt(world, *config, now, out),
    }
}

/// What a peer that has folded records below `next` lacks.
pub fn config_for(world: &World, next: u64) -> PeerConfig {
    let first = world.recent.front().map(|read| read.offset);
    if first.is_some_and(|first| first <= next) {
        let lacking = world.recent.iter().filter(|read| read.offset >= next);
        return PeerConfig::Records(lacking.cloned().collect());
    }
    PeerConfig::Snapshot(Box::new(world.config.clone()))
}

/// Newly folded records go on to some peers at once; digests reach the rest.
pub fn push(world: &mut World, records: Vec<Read<Operation>>, now: Instant, out: &mut Effects) {
    for to in world.members.peers(PUSH_FANOUT, now, &mut world.rng) {
        out.push(Effect::PushConfig {
            to,
            records: records.clone(),
        });
    }
    world.recent.extend(records);
    while world.recent.len() > RECENT_MAX {
        world.recent.pop_front();
    }
}

/// Something reaches the daemon: if the last time is far too long ago, it was paused, the configuration
/// in force may be old, and nothing is admitted until it was compared. What arrived during the pause
/// proves nothing, so only the answer to a question asked after it counts.
pub fn notice_pause(world: &mut World, now: Instant, out: &mut Effects) {
    let late = now.since(world.last_tick);
    world.last_tick = now;
    if !world.members.takes_part() || late <= PAUSED_AFTER {
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

/// A comparison that is under way.
#[derive(Debug, Clone, Copy)]
pub struct Revalidation {
    nonce: u64,
    until: Instant,
}

/// The configuration was compared with the log or a peer, as asked under `nonce`.
pub fn revalidated(world: &mut World, nonce: u64) {
    world.revalidation = world.revalidation.filter(|asked| asked.nonce != nonce);
}

/// Whether the configuration in force must be compared before anything is admitted.
pub fn must_revalidate(world: &World, now: Instant) -> bool {
    world.revalidation.is_some_and(|asked| now < asked.until)
}
