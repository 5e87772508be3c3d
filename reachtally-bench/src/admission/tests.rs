//! Tests of the simulator.

use super::engines::{self, Engines, Job, Layout, SendResult};
use super::scenario::Scenario;
use super::simulation::{Parameters, ShareSplit, Simulation};
use super::ways::Policy;
use crate::choice::engines::Load;

const LOAD: Load = Load {
    prompt: 800.0,
    answer: 200.0,
};

fn job(number: usize, rank: u8) -> Job {
    Job {
        number,
        path: vec![0, 1, 2, 3],
        load: LOAD,
        rank,
    }
}

/// Fills the first chain; also returns the number of requests that it runs.
fn fill_first_chain() -> (Engines, usize) {
    let mut engines = Engines::new(&engines::model(), &engines::entries(Layout::Mixed, 1));
    let begun = (0..).take_while(|number| {
        let sent = engines.send(&job(*number, 1), 0);
        matches!(sent, SendResult::Begun(_))
    });
    let begun = begun.count();
    (engines, begun)
}

/// Engines that run more requests than their KV holds would make every admission policy look good.
#[test]
fn engines_do_not_exceed_their_kv_capacity() {
    let (mut engines, begun) = fill_first_chain();
    let kv_capacity = 43_200.0 - 20.0 * 1750.0;
    assert_eq!(begun, (kv_capacity / (0.918 / 4.0) / LOAD.held()) as usize);
    // A path with another first engine ends at the same full stages.
    let other = Job {
        path: vec![4, 1, 2, 3],
        ..job(begun + 1, 0)
    };
    assert!(matches!(engines.send(&other, 0), SendResult::Refused(1)));
    assert!(engines.utilization() <= 1.0 / 3.0);
}

/// An engine queue that ignores ranks or is unbounded would hide the effect of admission.
#[test]
fn first_engines_queue_the_most_urgent_first() {
    let (mut engines, begun) = fill_first_chain();
    assert!(matches!(
        engines.send(&job(begun + 1, 0), 0),
        SendResult::Queued
    ));
    for number in 2..96 {
        assert!(matches!(
            engines.send(&job(begun + number, 1), 0),
            SendResult::Queued
        ));
    }
    assert!(matches!(
        engines.send(&job(begun + 96, 0), 0),
        SendResult::Refused(0)
    ));
    assert_eq!(engines.next(0, |_| LOAD), None);
    engines.end(&job(0, 1));
    assert_eq!(engines.next(0, |_| LOAD), Some(begun + 1));
}

/// Figures are comparable only if nothing but the seed changes the random numbers.
#[test]
fn same_seed_gives_the_same_figures() {
    for policy in Policy::ALL {
        let parameters = Parameters {
            scenario: Scenario::Demand(1.5),
            policy,
            boxes: 4,
            chains: 1,
            capacity: 20.0,
            shares: ShareSplit::Even,
            second_sends: 0.1,
            seed: 7,
        };
        let [first, second] =
            [parameters, parameters].map(|parameters| Simulation::new(parameters).run());
        assert!(first.all().in_time > 0);
        assert_eq!(first, second);
    }
}

/// When sends that engines refused counted towards the pacer, a box repeated sends that did not fit, whatever their rank.
#[test]
fn under_overload_the_most_urgent_rank_gets_most_and_few_sends_are_refused() {
    let parameters = Parameters {
        scenario: Scenario::Demand(3.0),
        policy: Policy::Reserve,
        boxes: 8,
        chains: 4,
        capacity: 94.4,
        shares: ShareSplit::Even,
        second_sends: 0.1,
        seed: 1,
    };
    let results = Simulation::new(parameters).run();
    let [first, second, third] = [0, 1, 2].map(|rank| results.rank(rank).share());
    assert!(
        first > 1.2 * second && second > 1.2 * third,
        "{first} {second} {third}"
    );
    assert!(
        results.sends_refused_fraction() < 0.5,
        "{}",
        results.sends_refused_fraction()
    );
}
