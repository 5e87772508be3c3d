//! The group of boxes: who is in it, and who is the steward.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use reachtally_core::Instant;
use tokio::time::sleep;

use crate::follow::Dependency;
use crate::relay::Relay;
use crate::store::Store;

/// How long a box stays in the group without a word.
const MEMBER_TTL: Duration = Duration::from_secs(3);
/// Time between two words to the group.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);
/// Time before the first word, so that the first count finds all boxes that start together.
const START_PAUSE: Duration = Duration::from_millis(400);
/// Least and most joins between two counts of the boxes: a change of the group is mostly one of
/// several in a row.
const LEAST_JOINS: u32 = 2;
const MOST_JOINS: u32 = 60;

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

/// Stay in the group of boxes, and count them.
pub async fn run<S: Store>(relay: Rc<Relay>, store: S, tenure: Rc<Tenure>) {
    let mut generation = 0;
    let mut joins = LEAST_JOINS;
    let mut is_counted = false;
    let mut dependency = Dependency::new("group");
    // All boxes of a deployment start within some tenths of a second.
    sleep(START_PAUSE).await;
    while !relay.is_leaving() {
        let began = relay.now();
        match store.join(MEMBER_TTL, generation).await {
            Ok(membership) => {
                dependency.regained(relay.now());
                let was_steward = tenure.is_steward(began);
                let until = began + MEMBER_TTL.saturating_sub(TENURE_MARGIN);
                tenure
                    .steward_until
                    .set(membership.is_steward.then_some(until));
                if was_steward != membership.is_steward {
                    log::info!(event = "steward", is_steward = membership.is_steward, generation = membership.generation; "the steward's part changed hands");
                }
                joins += 1;
                is_counted &= membership.generation == generation;
                generation = membership.generation;
                if joins >= if is_counted { MOST_JOINS } else { LEAST_JOINS } {
                    joins = 0;
                    is_counted = count_boxes(&relay, &store).await;
                }
            }
            Err(err) => dependency.lost(&relay, &err),
        }
        sleep(JOIN_INTERVAL).await;
    }
    tenure.steward_until.set(None);
}

async fn count_boxes<S: Store>(relay: &Relay, store: &S) -> bool {
    match store.members().await {
        Ok(members) => {
            let before = relay.members.replace(members).len();
            let boxes = relay.members.borrow().len();
            if before != boxes {
                log::info!(event = "boxes", boxes = boxes, before = before; "the number of boxes changed");
            }
            true
        }
        Err(err) => {
            log::info!(event = "census-failed", why:% = err; "the boxes were not counted");
            false
        }
    }
}
