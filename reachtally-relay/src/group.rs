//! The group of boxes: who is in it, and who is the steward.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::stewardship::{Stewardship, Token};
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

/// Taken off the time that the steward's part is held, for clocks that run at different rates and orders
/// under way. It only saves refused orders: engines that check tokens are safe without it.
const PART_MARGIN: Duration = Duration::from_millis(700);

/// This box's part, shared by the loops that get it and use it.
pub type Part = Rc<RefCell<Stewardship>>;

/// Stay in the group of boxes, and count them where no other box does.
pub async fn run<S: Store>(relay: Rc<Relay>, store: S, part: Part) {
    let mut generation = 0;
    let mut behind = 0;
    let mut dependency = Dependency::new("group");
    while !relay.is_leaving() {
        let began = relay.now();
        match store.join(MEMBER_TTL, generation).await {
            Ok(membership) => {
                dependency.regained(relay.now());
                let is_passed_on = keep_part(&part, membership, began);
                generation = membership.generation;
                behind = match relay.group_generation() < generation {
                    true => behind + 1,
                    false => 0,
                };
                let is_first = relay.members.borrow().is_empty();
                if is_first || is_count_due(&relay, behind) {
                    count_boxes(&relay, &store, generation, is_first).await;
                }
                // The group deals the part to another box only once this one has joined under the new
                // generation: a second without a steward saved at each change of the group.
                if is_passed_on {
                    continue;
                }
            }
            Err(err) => dependency.lost(&relay, &err),
        }
        sleep(JOIN_INTERVAL).await;
    }
    part.borrow_mut().revoke();
}

/// Take over what the group says of the steward's part; yields whether this box had it and has it no more.
fn keep_part(part: &Part, membership: Membership, began: Instant) -> bool {
    let mut part = part.borrow_mut();
    let was_steward = part.permit(began).is_some();
    let until = began + MEMBER_TTL.saturating_sub(PART_MARGIN);
    match membership.is_steward {
        true => part.grant(Token(membership.generation), until),
        false => part.revoke(),
    }
    if was_steward != membership.is_steward {
        log::info!(event = "steward", is_steward = membership.is_steward, generation = membership.generation; "the steward's part changed hands");
    }
    was_steward && !membership.is_steward
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
