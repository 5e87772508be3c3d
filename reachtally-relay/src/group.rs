//! Membership of this box in the group of boxes, and the steward role.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::era::Generation;
use reachtally_core::forward::readers::GroupView;
use reachtally_core::forward::stewardship::{FencingToken, Stewardship};
use reachtally_core::ids::Incarnation;
use tokio::time::sleep;

use crate::follow::Dependency;
use crate::relay::Relay;
use crate::store::Store;

/// Time after which a member leaves the group unless it joins again.
const MEMBER_TTL: Duration = Duration::from_secs(3);
/// Time between two joins of a member.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);
/// Number of joins with a new generation after which a box that reads the store counts the members. Changes
/// of the group mostly come several in a row, and a new box gets its assignment only once the others have
/// joined again.
const JOINS_UNTIL_COUNT_DIRECT: u32 = 2;
/// The same for a box that reads from another box, which normally sends it the members before that.
const JOINS_UNTIL_COUNT_INDIRECT: u32 = 5;

/// Delay of the first join times the link bandwidth in Mbit/s. A box with 200 Mbit/s waits half a second. One
/// with 20 Mbit/s waits until the group has expired earlier runs of boxes with faster links and lists their
/// current runs.
const DELAY_TIMES_MBPS: Duration = Duration::from_secs(100);
/// Approximate maximum of this delay.
const MAX_DELAY: Duration = Duration::from_secs(6);
/// Minimum fraction of the delay that a box waits; jitter adds up to one half.
const MIN_DELAY_FRACTION: f64 = 0.9;
/// Assumed link bandwidth in Mbit/s if the settings contain none.
const ASSUMED_LINK_MBPS: u32 = 200;
/// Number of different delays of boxes with the same bandwidth.
const DELAY_STEPS: u64 = 1024;

/// Minimum time between two counts of the members by a box that waits for faster boxes and finds no source.
const WANTED_COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Subtracted from the time that the steward role is held, to allow for clock drift and orders in flight. It
/// only avoids refused orders: engines that check fencing tokens are safe without it.
const STEWARD_MARGIN: Duration = Duration::from_millis(700);

/// Steward role of this box, shared by the task that acquires it and those that use it.
pub type StewardRole = Rc<RefCell<Stewardship>>;

/// Keeps this box in the group while it is needed there, and counts the members if no other box does.
///
/// A few boxes of each failure domain are members. The other boxes do not load the store: they receive their
/// data from members, and join when some of these are missing.
pub async fn run<S: Store>(relay: Rc<Relay>, store: S, role: StewardRole, run: Incarnation) {
    wait_for_faster_boxes(&relay, &store, run).await;
    let mut membership = GroupMembership {
        relay,
        store,
        role,
        run,
        is_member: false,
        generation: Generation::default(),
        joins_since_change: 0,
        dependency: Dependency::new("group"),
    };
    // At startup every missing box joins, later each with a probability.
    let mut draw = 0.0;
    while !membership.relay.lifecycle.is_leaving() {
        let should_join = membership.should_join(draw).await;
        draw = rand::random();
        membership.set_member(should_join);
        let has_lost_role = membership.is_member && membership.join().await;
        // The group assigns the role to another box only once this one has joined with the new generation.
        // Joining at once avoids a second without a steward at each change of the group.
        if !has_lost_role {
            sleep(JOIN_INTERVAL).await;
        }
    }
    membership.role.borrow_mut().revoke();
}

/// Waits until boxes with faster links have joined, then reads the members.
async fn wait_for_faster_boxes<S: Store>(relay: &Relay, store: &S, run: Incarnation) {
    let delay = {
        let settings = relay.settings.borrow();
        match settings.seeds.contains(&settings.ip) {
            true => Duration::ZERO,
            false => start_delay(settings.link_mbps, run),
        }
    };
    tokio::select! {
        () = sleep(delay) => {}
        () = count_until_readers_are_missing(relay, store, run) => {}
    }
    count_first(relay, store).await;
}

/// Reads the members whenever the search for a source wants them and none are known, until a count shows that this failure domain lacks
/// readers: then there are no faster boxes to wait for.
async fn count_until_readers_are_missing<S: Store>(relay: &Relay, store: &S, run: Incarnation) {
    loop {
        relay.members_wanted.notified().await;
        count_first(relay, store).await;
        if relay.with_view(run, &[], |view| view.missing_readers() > 0) {
            return;
        }
        sleep(WANTED_COUNT_INTERVAL).await;
    }
}

/// Reads the members if none are known.
async fn count_first<S: Store>(relay: &Relay, store: &S) {
    if relay.members.borrow().is_empty() {
        count_boxes(relay, store, Generation::default(), true).await;
    }
}

/// Returns how long a box waits before it may join for the first time. The delay is inversely proportional to
/// the link bandwidth and differs between boxes.
fn start_delay(link_mbps: u32, run: Incarnation) -> Duration {
    let link_mbps = match link_mbps {
        0 => ASSUMED_LINK_MBPS,
        known => known,
    };
    let usual = DELAY_TIMES_MBPS / link_mbps;
    let jitter = (run.0 % DELAY_STEPS) as f64 / DELAY_STEPS as f64;
    usual
        .min(MAX_DELAY)
        .mul_f64(MIN_DELAY_FRACTION + jitter / 2.0)
}

/// Membership state of this box.
struct GroupMembership<S> {
    relay: Rc<Relay>,
    store: S,
    role: StewardRole,
    run: Incarnation,
    is_member: bool,
    generation: Generation,
    /// Joins since the generation changed without a new count of the members.
    joins_since_change: u32,
    dependency: Dependency,
}

impl<S: Store> GroupMembership<S> {
    fn with_view<T>(&self, f: impl FnOnce(&GroupView<'_>) -> T) -> T {
        self.relay.with_view(self.run, &[], f)
    }

    /// Returns whether this box should be in the group, given the known members.
    async fn should_join(&self, draw: f64) -> bool {
        if self.is_member {
            return !self.with_view(|view| view.is_surplus());
        }
        if self.with_view(|view| view.is_listed() && !view.is_surplus()) {
            return true;
        }
        let boxes = self.relay.boxes();
        let join_probability = self.with_view(|view| view.join_probability(boxes));
        join_probability > draw && self.are_readers_missing().await
    }

    /// Returns whether readers of this failure domain are missing from the member list in the store. The list
    /// known here may be some seconds old, and others may have joined since.
    async fn are_readers_missing(&self) -> bool {
        match self.store.members().await {
            Ok(members) => {
                let are_readers_missing = |view: &GroupView<'_>| view.missing_readers() > 0;
                self.relay
                    .with_view_of(&members, self.run, &[], are_readers_missing)
            }
            Err(err) => {
                log::info!(event = "census-failed", why:% = err; "failed to read the members of the group; not joining");
                false
            }
        }
    }

    fn set_member(&mut self, is_member: bool) {
        if self.is_member != is_member {
            log::info!(event = "group", member = is_member; "membership of this box in the group changed");
        }
        self.is_member = is_member;
        if !is_member {
            self.role.borrow_mut().revoke();
        }
    }

    /// Returns the last known generation, or 0 if it belongs to another era of the store.
    fn known_generation(&self) -> u64 {
        match self.generation.era == self.relay.eras.get().held() {
            true => self.generation.number,
            false => 0,
        }
    }

    /// Joins the group or renews the membership; returns whether this box just lost the steward role.
    async fn join(&mut self) -> bool {
        let began = self.relay.now();
        let known_generation = self.known_generation();
        let joined = self.store.join(MEMBER_TTL, known_generation).await;
        let dated = joined.and_then(|joined| Ok((joined, self.relay.era_of(joined.era, began)?)));
        let (membership, era) = match dated {
            Ok(dated) => dated,
            Err(err) => {
                self.dependency.record_loss(&self.relay, &err);
                return false;
            }
        };
        self.dependency.record_recovery(self.relay.now());
        let generation = Generation {
            era,
            number: membership.generation,
        };
        let has_lost_role = update_role(&self.role, membership.is_steward, generation, began);
        self.generation = generation;
        self.joins_since_change = match self.relay.group_generation() < self.generation {
            true => self.joins_since_change + 1,
            false => 0,
        };
        let is_first = self.relay.members.borrow().is_empty();
        if is_first || is_count_due(&self.relay, self.joins_since_change) {
            count_boxes(&self.relay, &self.store, self.generation, is_first).await;
        }
        has_lost_role
    }
}

/// Updates the steward role as assigned by the group; returns whether this box just lost it.
fn update_role(
    role: &StewardRole,
    is_steward: bool,
    generation: Generation,
    began: Instant,
) -> bool {
    let mut role = role.borrow_mut();
    let was_steward = role.permit(began).is_some();
    let until = began + MEMBER_TTL.saturating_sub(STEWARD_MARGIN);
    match is_steward {
        true => role.grant(FencingToken(generation), until),
        false => role.revoke(),
    }
    if was_steward != is_steward {
        log::info!(event = "steward", is_steward = is_steward, generation = generation.number, era = generation.era.0; "steward role of this box changed");
    }
    was_steward && !is_steward
}

/// Returns whether this box should count the members, `joins_since_change` joins after their generation changed.
fn is_count_due(relay: &Relay, joins_since_change: u32) -> bool {
    let min_joins = match relay.is_direct() {
        true => JOINS_UNTIL_COUNT_DIRECT,
        false => JOINS_UNTIL_COUNT_INDIRECT,
    };
    joins_since_change >= min_joins
}

async fn count_boxes<S: Store>(relay: &Relay, store: &S, generation: Generation, is_first: bool) {
    match store.members().await {
        Ok(members) if is_first => relay.set_first_members(members),
        Ok(members) => relay.set_members(members, generation),
        Err(err) => {
            log::info!(event = "census-failed", why:% = err; "failed to read the members of the group; keeping the known ones");
        }
    }
}
