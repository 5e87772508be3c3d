//! The membership of a failure domain as seen by one daemon.
//!
//! Each daemon run advertises a state with a heartbeat that only the run itself increments; the
//! state with the higher heartbeat replaces the other on every daemon. A run not heard from for
//! [`MEMBER_TIMEOUT`] counts as gone. Ranks among live members only indicate which member should
//! act first; correctness does not depend on them.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::ids::Incarnation;
use crate::time::Instant;

/// Interval between two digests sent by a daemon.
pub const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// Time since the last update after which a member counts as gone.
pub const MEMBER_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of members in one digest, including the sender.
pub const DIGEST_MEMBERS: usize = 16;

/// The state a daemon run advertises.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MemberState {
    /// The daemon run.
    pub incarnation: Incarnation,
    /// The box it runs on.
    pub box_name: String,
    /// Its failure domain.
    pub domain: String,
    /// The address at which other daemons reach it, or empty if it takes no part in gossip.
    pub address: String,
    /// Incremented only by the run itself.
    pub heartbeat: u64,
    /// The configuration offset it serves.
    pub config_next: u64,
    /// Whether the daemon is stopping.
    pub stopping: bool,
}

#[derive(Debug, Clone)]
struct PeerState {
    state: MemberState,
    seen_at: Instant,
}

/// The members of the failure domain.
#[derive(Debug, Clone, Default)]
pub struct Members {
    /// The state of this daemon run.
    pub me: MemberState,
    others: BTreeMap<Incarnation, PeerState>,
    seeds: Vec<String>,
}

impl Members {
    /// Whether this daemon takes part in gossip.
    pub fn is_gossip_enabled(&self) -> bool {
        !self.me.address.is_empty()
    }

    /// Set the addresses of entry boxes of the failure domain, as found in the live list.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// Merge states received from another daemon. States of other failure domains are ignored.
    pub fn merge(&mut self, states: Vec<MemberState>, now: Instant) {
        for state in states {
            if state.incarnation == self.me.incarnation || state.domain != self.me.domain {
                continue;
            }
            let known = self.others.get(&state.incarnation);
            if known.is_none_or(|known| known.state.heartbeat < state.heartbeat) {
                let known = PeerState {
                    seen_at: now,
                    state,
                };
                self.others.insert(known.state.incarnation, known);
            }
        }
    }

    /// Remove members that have been gone for a long time.
    pub fn remove_expired(&mut self, now: Instant) {
        self.others
            .retain(|_, known| now.since(known.seen_at) < MEMBER_TIMEOUT * 4);
    }

    /// Iterate over the live members other than this one.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &MemberState> {
        let live = move |known: &&PeerState| now.since(known.seen_at) < MEMBER_TIMEOUT;
        self.others.values().filter(live).map(|known| &known.state)
    }

    /// Return the number of live members ranked before this one for the job named `job`, so 0 for
    /// the first.
    pub fn rank(&self, job: &str, now: Instant) -> usize {
        let own = weight(self.me.incarnation, job);
        let before = |state: &&MemberState| !state.stopping && weight(state.incarnation, job) > own;
        self.live(now).filter(before).count()
    }

    /// Return the lowest configuration offset served by any live member, including this one.
    pub fn min_config_offset(&self, now: Instant) -> u64 {
        let others = self.live(now).map(|state| state.config_next);
        others.chain([self.me.config_next]).min().unwrap_or(0)
    }

    /// Return up to `count` random addresses of other daemons, chosen from the live members and
    /// from boxes of the live list that may not have been heard from yet.
    pub fn peers(&self, count: usize, now: Instant, rng: &mut ChaCha8Rng) -> Vec<String> {
        let mut addresses: Vec<&str> = self.live(now).map(|state| state.address.as_str()).collect();
        addresses.extend(self.seeds.iter().map(String::as_str));
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| !address.is_empty() && *address != self.me.address);
        let mut chosen = Vec::new();
        while chosen.len() < count && !addresses.is_empty() {
            let at = rng.random_range(0..addresses.len());
            chosen.push(addresses.swap_remove(at).to_owned());
        }
        chosen
    }

    /// Return the state of this daemon and of a random selection of other members.
    pub fn digest(&self, now: Instant, rng: &mut ChaCha8Rng) -> Vec<MemberState> {
        let mut live: Vec<&MemberState> = self.live(now).collect();
        let mut digest = vec![self.me.clone()];
        while digest.len() < DIGEST_MEMBERS && !live.is_empty() {
            let at = rng.random_range(0..live.len());
            digest.push(live.swap_remove(at).clone());
        }
        digest
    }
}

/// Rendezvous hashing weight of a member for a job.
fn weight(incarnation: Incarnation, job: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (incarnation, job).hash(&mut hasher);
    hasher.finish()
}
