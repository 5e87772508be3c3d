//! Which targets of a service a box reaches.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::Evidence;
use reachtally_core::forward::loads::{Load, Others, RemoteLoads, TargetLoad};
use reachtally_core::forward::reach::{ServiceReach, service_reach};

use super::setup::{SERVICE, entry, fleet};

#[test]
fn targets_that_are_dead_for_all_are_told_from_those_that_only_this_box_does_not_reach() {
    let now = Instant::from_elapsed(Duration::from_secs(1));
    let (mut fleet, keys) = fleet((0..4).map(|number| entry(number, "a", "large", 0..80)));
    for key in &keys[..3] {
        let engine = fleet.get_mut(*key).expect("the engine was added");
        engine.health.mark_dead(now, Evidence::Refused);
    }
    let load = |number: u16, running, silent| TargetLoad {
        target: entry(number, "a", "large", 0..80).run(),
        load: Load {
            running,
            silent,
            ..Load::default()
        },
    };
    let others = Others {
        loads: vec![load(0, 3, 0), load(1, 0, 5), load(3, 2, 0)],
        counts: Vec::new(),
    };
    RemoteLoads::default().receive(others, &mut fleet, now);
    let expected = ServiceReach {
        targets: 4,
        unresponsive: 3,
        unresponsive_elsewhere: 1,
        unresponsive_here_only: 1,
    };
    assert_eq!(service_reach(&fleet, SERVICE), expected);
    assert_eq!(service_reach(&fleet, "another"), ServiceReach::default());
}
