//! The memory for bodies: who gets it, and who gives way.

use std::time::Duration;

use proptest::prelude::*;
use reachtally_core::Instant;
use reachtally_core::forward::bodies::{
    Bodies, BodyId, BodyLimits, Growth, OtherUse, SMALL_BODY_BYTES, max_body, max_connections,
    next_allocation,
};

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;
const LIMITS: BodyLimits = BodyLimits {
    small: 4 * MIB,
    large: 3 * MIB,
};

fn at(ms: u64) -> Instant {
    Instant::from_elapsed(Duration::from_millis(ms))
}

/// Adds a body that has received `bytes` by `ms`.
fn received(bodies: &mut Bodies, bytes: u64, ms: u64) -> BodyId {
    let id = bodies.begin(at(ms));
    let granted = bodies.grow(id, bytes, LIMITS, at(ms));
    assert_eq!(granted, Growth::Granted(Vec::new()));
    bodies.received(id, bytes, at(ms));
    id
}

/// Receives bodies of 1 MiB: one as `hold_back` does, and a slow one. Asserts that the first one gives way to one that arrives.
fn assert_gives_way(hold_back: impl Fn(&mut Bodies, BodyId)) {
    let mut bodies = Bodies::default();
    let held_back = received(&mut bodies, MIB, 0);
    hold_back(&mut bodies, held_back);
    let slow = received(&mut bodies, MIB, 0);
    for ms in (1000..9000).step_by(1000) {
        bodies.received(slow, 10 * KIB, at(ms));
    }
    let new = received(&mut bodies, MIB, 9000);
    let grown = bodies.grow(new, 2 * MIB, LIMITS, at(9000));
    assert_eq!(grown, Growth::Granted(vec![held_back]));
    assert_eq!(bodies.bytes(), 3 * MIB);
}

#[test]
fn a_body_that_stopped_gives_way_to_one_that_arrives() {
    assert_gives_way(|_, _| ());
}

#[test]
fn a_body_that_trickles_gives_way_to_one_that_arrives() {
    assert_gives_way(|bodies, id| {
        for ms in (50..9000).step_by(50) {
            bodies.received(id, 1, at(ms));
        }
    });
}

#[test]
fn a_body_does_not_displace_one_that_arrives_as_fast() {
    let mut bodies = Bodies::default();
    let _first = received(&mut bodies, 2 * MIB, 0);
    let second = received(&mut bodies, MIB, 0);
    assert_eq!(bodies.grow(second, 2 * MIB, LIMITS, at(0)), Growth::Refused);
}

#[test]
fn a_complete_body_never_gives_way() {
    let mut bodies = Bodies::default();
    let complete = received(&mut bodies, 2 * MIB, 0);
    bodies.complete(complete, 2 * MIB);
    let new = received(&mut bodies, MIB, 60_000);
    let grown = bodies.grow(new, 2 * MIB, LIMITS, at(60_000));
    assert_eq!(grown, Growth::Refused);
    bodies.end(complete);
    let grown = bodies.grow(new, 2 * MIB, LIMITS, at(60_000));
    assert_eq!(grown, Growth::Granted(Vec::new()));
}

#[test]
fn incomplete_bodies_give_way_to_one_that_another_box_holds_complete() {
    let mut bodies = Bodies::default();
    let arriving = received(&mut bodies, 2 * MIB, 0);
    let handed_over = bodies.begin_complete(at(0));
    let grown = bodies.grow(handed_over, 2 * MIB, LIMITS, at(0));
    assert_eq!(grown, Growth::Granted(vec![arriving]));
}

#[test]
fn small_bodies_have_memory_that_large_ones_do_not_take() {
    let mut bodies = Bodies::default();
    let large = received(&mut bodies, 3 * MIB, 0);
    bodies.complete(large, 3 * MIB);
    let more = bodies.begin(at(0));
    let grown = bodies.grow(more, SMALL_BODY_BYTES + 1, LIMITS, at(0));
    assert_eq!(grown, Growth::Refused);
    for _ in 0..MIB / SMALL_BODY_BYTES {
        let small = received(&mut bodies, SMALL_BODY_BYTES, 0);
        bodies.complete(small, SMALL_BODY_BYTES);
    }
    let small = bodies.begin(at(0));
    assert_eq!(bodies.grow(small, 1, LIMITS, at(0)), Growth::Refused);
}

#[test]
fn connections_leave_memory_to_bodies() {
    for memory in [64 * MIB, 160 * MIB, 260 * MIB, 512 * MIB] {
        let calm = BodyLimits::new(memory, OtherUse::default());
        assert_eq!(calm.small, memory / 4);
        let crowded = BodyLimits::new(
            memory,
            OtherUse {
                connections: max_connections(memory, 0, 0),
                read_ahead: 0,
            },
        );
        assert!(crowded.small >= memory / 8);
        assert!(crowded.large >= max_body(memory));
        assert!(max_body(memory) >= 4 * MIB);
    }
}

#[test]
fn allocations_double_up_to_the_size_of_the_body() {
    assert_eq!(next_allocation(0, 1, MIB), 4 * KIB);
    assert_eq!(next_allocation(0, 1, 100), 100);
    assert_eq!(next_allocation(4 * KIB, 5 * KIB, MIB), 8 * KIB);
    assert_eq!(next_allocation(4 * KIB, 64 * KIB, MIB), 64 * KIB);
    assert_eq!(next_allocation(768 * KIB, 800 * KIB, MIB), MIB);
}

proptest! {
    /// Whatever bodies do, they take no more than the bound, and one of them can always complete.
    #[test]
    fn bodies_stay_within_their_memory(steps in prop::collection::vec((0usize..40, 1u64..2 * MIB, 0u64..400), 1..200)) {
        let mut bodies = Bodies::default();
        let mut sizes = std::collections::BTreeMap::new();
        let mut now = 0;
        for (pick, bytes, pause) in steps {
            now += pause;
            let ids: Vec<BodyId> = sizes.keys().copied().collect();
            let id = match ids.get(pick) {
                Some(id) => *id,
                None => bodies.begin(at(now)),
            };
            let size = sizes.get(&id).copied().unwrap_or(0) + bytes;
            match bodies.grow(id, size, LIMITS, at(now)) {
                Growth::Granted(evicted) => {
                    for victim in evicted {
                        prop_assert!(victim != id);
                        sizes.remove(&victim);
                    }
                    sizes.insert(id, size);
                    bodies.received(id, bytes, at(now));
                }
                Growth::Refused => {
                    // Something else stays, unless the body does not fit at all.
                    prop_assert!(size > LIMITS.large || sizes.keys().any(|other| *other != id));
                    bodies.end(id);
                    sizes.remove(&id);
                }
            }
            prop_assert_eq!(bodies.bytes(), sizes.values().sum::<u64>());
            prop_assert!(bodies.bytes() <= LIMITS.small);
        }
    }
}
