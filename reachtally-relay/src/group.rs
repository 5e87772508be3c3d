//! The group of boxes: who is in it, and who is the steward.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use reachtally_core::Instant;
use tokio::time::sleep;

use crate::follow::Dependency;
use crate::relay::Relay;
use crate::store::{Membership, Store};

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

/// This box's place in the group.
#[derive(Debug, Default)]
pub struct Tenure {
    /// Until when it may act as the steward.
    pub steward_until: Cell<Option<Instant>>,
}

/// Taken off a tenure for clocks that run at different rates and orders under way.
const TENURE_MARGIN: Duration = Duration::from_millis(700);

impl Tenure {
    /// Whether this box is the steward.
    pub fn is_steward(&self, now: Instant) -> bool {
        self.steward_until.get().is_some_and(|until| now < until)
    }
}

/// Stay in the group of boxes, and count them where no other box does.
pub async fn run<S: Store>(relay: Rc<Relay>, store: S, tenure: Rc<Tenure>) {
    let mut generation = 0;
    let mut behind = 0;
    let mut dependency = Dependency::new("group");
    while !relay.is_leaving() {
        let began = relay.now();
        match store.join(MEMBER_TTL, generation).await {
            Ok(membership) => {
                dependency.regained(relay.now());
                keep_tenure(&tenure, membership, began);
                generation = membership.generation;
                behind = match relay.group_generation() < generation {
                    true => behind + 1,
                    false => 0,
                };
                let is_first = relay.members.borrow().is_empty();
                if is_first || is_count_due(&relay, behind) {
                    count_boxes(&relay, &store, generation, is_first).await;
                }
            }
            Err(err) => dependency.lost(&relay, &err),
        }
        sleep(JOIN_INTERVAL).await;
    }
    tenure.steward_until.set(None);
}

fn keep_tenure(tenure: &Tenure, membership: Membership, began: Instant) {
    let was_steward = tenure.is_steward(began);
    let until = began + MEMBER_TTL.saturating_sub(TENURE_MARGIN);
    tenure
        .steward_until
        .set(membership.is_steward.then_some(until));
    if was_steward != membership.is_steward {
        log::info!(event = "steward", is_steward = membership.is_steward, generation = membership.generation; "the steward's part changed hands");
    }
}

/// Whether this box should count the boxes, `behind` joins after their generation changed.
fn is_count_due(relay: &Relay, behind: u32) -> bool {
    let joins = match relay.is_direct() {
        true => JOINS_AT_READER,
        false => JOINS_BESIDE,
    };
    behind >= joins
}

async fn count_boxes<S: Store>(relay: &Relay, store: &S, generation: u64, is_first: bool) {
    match store.members().await {
        Ok(members) if is_first => relay.set_first_members(members),
        Ok(members) => relay.set_members(members, generation),
        Err(err) => {
            log::info!(event = "census-failed", why:% = err; "the boxes were not counted");
        }
    }
}
