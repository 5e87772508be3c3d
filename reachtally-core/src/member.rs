//! The daemons of a failure domain as one of them knows them.
//!
//! Each daemon run has a state with a heartbeat that only it raises; the state with the higher
//! heartbeat wins everywhere. A run that is not heard of for [`MEMBER_TIMEOUT`] counts as gone.
//! Ranks among the live members are hints on who does what first; nothing rests on them.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::ids::Incarnation;
use crate::time::Instant;

/// Time between two digests that a daemon sends.
pub const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a member that is not heard of counts as gone.
pub const MEMBER_TIMEOUT: Duration = Duration::from_secs(30);
/// Members in one digest, the sender among them.
pub const DIGEST_MEMBERS: usize = 16;

/// What a daemon run tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MemberState {
    /// The run.
    pub incarnation: Incarnation,
    /// Its box.
    pub box_name: String,
    /// Its failure domain.
    pub domain: String,
    /// Where other daemons reach it; empty if it takes no part.
    pub address: String,
    /// Raised by the run itself only.
    pub heartbeat: u64,
    /// The configuration offset it serves by.
    pub config_next: u64,
    /// Whether it is stopping.
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
    /// This daemon run.
    pub me: MemberState,
    others: BTreeMap<Incarnation, PeerState>,
    seeds: Vec<String>,
}

impl Members {
    /// Whether this daemon takes part.
    pub fn is_gossip_enabled(&self) -> bool {
        !self.me.address.is_empty()
    }

    /// Addresses of entry boxes of the failure domain, from the live list.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// Take states that another daemon sent. States of other failure domains are left out.
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

    /// Forget members that count as gone for long.
    pub fn remove_expired(&mut self, now: Instant) {
        self.others
            .retain(|_, known| now.since(known.seen_at) < MEMBER_TIMEOUT * 4);
    }

    /// The live members besides this one.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &MemberState> {
        let live = move |known: &&PeerState| now.since(known.seen_at) < MEMBER_TIMEOUT;
        self.others.values().filter(live).map(|known| &known.state)
    }

    /// How many live members come before this one for the job named by `salt`; 0 for the first.
    pub fn rank(&self, salt: &str, now: Instant) -> usize {
        let own = weight(self.me.incarnation, salt);
        let before =
            |state: &&MemberState| !state.stopping && weight(state.incarnation, salt) > own;
        self.live(now).filter(before).count()
    }

    /// The lowest configuration offset that any live member serves by, this one included.
    pub fn min_config_offset(&self, now: Instant) -> u64 {
        let others = self.live(now).map(|state| state.config_next);
        others.chain([self.me.config_next]).min().unwrap_or(0)
    }

    /// Up to `count` addresses of other daemons, at random: of live members, and of boxes on the
    /// live list that were never heard of.
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

    /// This daemon's state and those of some others, at random.
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

/// Rendezvous weight of a member for a job.
fn weight(incarnation: Incarnation, salt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (incarnation, salt).hash(&mut hasher);
    hasher.finish()
}
