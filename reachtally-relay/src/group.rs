//! The group of boxes: who is in it, who is the steward, and when this box joins.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::era::Generation;
use reachtally_core::forward::readers::View;
use reachtally_core::forward::stewardship::{Stewardship, Token};
use reachtally_core::ids::Incarnation;
use tokio::time::sleep;

use crate::follow::Dependency;
use crate::relay::Relay;
use crate::store::Store;

/// How long a box stays in the group without a word.
const MEMBER_TTL: Duration = Duration::from_secs(3);
/// Time between two words to the group.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);
/// Joins with a new generation after which the boxes are counted by one that reads the store: a change
/// of the group is mostly one of several in a row, and a new box holds its part only once the others
/// have joined again.
const JOINS_AT_READER: u32 = 2;
/// The same for a box that asks another, which should have told it by then.
const JOINS_BESIDE: u32 = 5;

/// Mbit/s times the time that a box with such a link waits before it joins for the first time: half a second
/// with 200 Mbit/s, and with 20 as long as it takes until the group has missed earlier runs of those with
/// wider links and lists the present ones.
const LINK_DELAY: Duration = Duration::from_secs(100);
/// Longest such time, about.
const LONGEST_DELAY: Duration = Duration::from_secs(6);
/// Least part of that time that a box waits; chance adds up to a half.
const LEAST_DELAY: f64 = 0.9;
/// Bandwidth of a link that the settings don't tell, in Mbit/s.
const LINK_ASSUMED: u32 = 200;
/// Different times of boxes with the same link.
const DELAY_STEPS: u64 = 1024;

/// Taken off the time that the steward's part is held, for clocks that run at different rates and orders
/// under way. It only saves refused orders: engines that check tokens are safe without it.
const PART_MARGIN: Duration = Duration::from_millis(700);

/// This box's part, shared by the loops that get it and use it.
pub type Part = Rc<RefCell<Stewardship>>;

/// Stay in the group of boxes while this box is needed there, and count its members where no other box does.
///
/// A few boxes of each failure domain are in the group. The others cost the store nothing: they are told by
/// those, and join when some of them are missing.
pub async fn run<S: Store>(relay: Rc<Relay>, store: S, part: Part, run: Incarnation) {
    settle(&relay, &store, run).await;
    let mut joining = Joining {
        relay,
        store,
        part,
        run,
        is_in: false,
        generation: Generation::default(),
        behind: 0,
        dependency: Dependency::new("group"),
    };
    // At the start every box that is missed joins, later each with its chance.
    let mut chance = 0.0;
    while !joining.relay.lifecycle.is_leaving() {
        let should_join = joining.should_join(chance).await;
        chance = rand::random();
        joining.enter(should_join);
        let is_passed_on = joining.is_in && joining.join().await;
        // The group deals the part to another box only once this one has joined under the new
        // generation: a second without a steward saved at each change of the group.
        if !is_passed_on {
            sleep(JOIN_INTERVAL).await;
        }
    }
    joining.part.borrow_mut().revoke();
}

/// Wait until boxes with wider links are in the group, and learn of the group.
async fn settle<S: Store>(relay: &Relay, store: &S, run: Incarnation) {
    let delay = {
        let settings = relay.settings.borrow();
        match settings.seeds.contains(&settings.ip) {
            true => Duration::ZERO,
            false => start_delay(settings.link_mbps, run),
        }
    };
    sleep(delay).await;
    if relay.members.borrow().is_empty() {
        count_boxes(relay, store, Generation::default(), true).await;
    }
}

/// How long a box waits before it may join for the first time: the longer the narrower its link, and each
/// box a different time.
fn start_delay(link_mbps: u32, run: Incarnation) -> Duration {
    let link_mbps = match link_mbps {
        0 => LINK_ASSUMED,
        known => known,
    };
    let usual = LINK_DELAY / link_mbps;
    let part = (run.0 % DELAY_STEPS) as f64 / DELAY_STEPS as f64;
    usual.min(LONGEST_DELAY).mul_f64(LEAST_DELAY + part / 2.0)
}

/// A box's way into the group and out of it.
struct Joining<S> {
    relay: Rc<Relay>,
    store: S,
    part: Part,
    run: Incarnation,
    is_in: bool,
    generation: Generation,
    /// Joins since the generation changed without a count.
    behind: u32,
    dependency: Dependency,
}

impl<S: Store> Joining<S> {
    fn with_view<T>(&self, f: impl FnOnce(&View<'_>) -> T) -> T {
        self.relay.look(self.run, &[], f)
    }

    /// Whether this box should be in the group, given the members known.
    async fn should_join(&self, chance: f64) -> bool {
        if self.is_in {
            return !self.with_view(|view| view.is_superfluous());
        }
        if self.with_view(|view| view.is_listed() && !view.is_superfluous()) {
            return true;
        }
        let boxes = self.relay.boxes();
        let wanted = self.with_view(|view| view.chance_to_join(boxes));
        wanted > chance && self.is_missed().await
    }

    /// Whether the store's own list lacks readers of this failure domain: what is known may be some seconds
    /// old, and others may have joined meanwhile.
    async fn is_missed(&self) -> bool {
        match self.store.members().await {
            Ok(members) => {
                let is_missed = |view: &View<'_>| view.missing_readers() > 0;
                self.relay.with_view_of(&members, self.run, &[], is_missed)
            }
            Err(err) => {
                log::info!(event = "census-failed", why:% = err; "the members of the group were not read");
                false
            }
        }
    }

    fn enter(&mut self, is_in: bool) {
        if self.is_in != is_in {
            log::info!(event = "group", member = is_in; "whether this box is in the group changed");
        }
        self.is_in = is_in;
        if !is_in {
            self.part.borrow_mut().revoke();
        }
    }

    /// The last generation heard of; 0 where the store is in another era than that was of.
    fn heard(&self) -> u64 {
        match self.generation.era == self.relay.eras.get().held() {
            true => self.generation.number,
            false => 0,
        }
    }

    /// Join the group or stay in it; yields whether this box had the steward's part and has it no more.
    async fn join(&mut self) -> bool {
        let began = self.relay.now();
        let heard = self.heard();
        let joined = self.store.join(MEMBER_TTL, heard).await;
        let dated = joined.and_then(|joined| Ok((joined, self.relay.era_of(joined.era, began)?)));
        let (membership, era) = match dated {
            Ok(dated) => dated,
            Err(err) => {
                self.dependency.lost(&self.relay, &err);
                return false;
            }
        };
        self.dependency.regained(self.relay.now());
        let generation = Generation {
            era,
            number: membership.generation,
        };
        let is_passed_on = keep_part(&self.part, membership.is_steward, generation, began);
        self.generation = generation;
        self.behind = match self.relay.group_generation() < self.generation {
            true => self.behind + 1,
            false => 0,
        };
        let is_first = self.relay.members.borrow().is_empty();
        if is_first || is_count_due(&self.relay, self.behind) {
            count_boxes(&self.relay, &self.store, self.generation, is_first).await;
        }
        is_passed_on
    }
}

/// Take over what the group says of the steward's part; yields whether this box had it and has it no more.
fn keep_part(part: &Part, is_steward: bool, generation: Generation, began: Instant) -> bool {
    let mut part = part.borrow_mut();
    let was_steward = part.permit(began).is_some();
    let until = began + MEMBER_TTL.saturating_sub(PART_MARGIN);
    match is_steward {
        true => part.grant(Token(generation), until),
        false => part.revoke(),
    }
    if was_steward != is_steward {
        log::info!(event = "steward", is_steward = is_steward, generation = generation.number, era = generation.era.0; "the steward's part changed hands");
    }
    was_steward && !is_steward
}

/// Whether this box should count the boxes, `behind` joins after their generation changed.
fn is_count_due(relay: &Relay, behind: u32) -> bool {
    let joins = match relay.is_direct() {
        true => JOINS_AT_READER,
        false => JOINS_BESIDE,
    };
    behind >= joins
}

async fn count_boxes<S: Store>(relay: &Relay, store: &S, generation: Generation, is_first: bool) {
    match store.members().await {
        Ok(members) if is_first => relay.set_first_members(members),
        Ok(members) => relay.set_members(members, generation),
        Err(err) => {
            log::info!(event = "census-failed", why:% = err; "the boxes were not counted");
        }
    }
}
