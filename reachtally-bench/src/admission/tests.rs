//! Tests of the simulation itself.

use super::engines::{self, Engines, Job, Layout, Sent};
use super::play::{Play, Setting, Shares};
use super::scenario::Scenario;
use super::ways::Way;
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

/// Engines of which the first chain is full.
fn full() -> (Engines, usize) {
    let mut engines = Engines::new(&engines::model(), &engines::entries(Layout::Mixed, 1));
    let begun = (0..).take_while(|number| {
        let sent = engines.send(&job(*number, 1), 0);
        matches!(sent, Sent::Begun(_))
    });
    let begun = begun.count();
    (engines, begun)
}

/// Engines that take more than their room would make every way to admit look good.
#[test]
fn engines_keep_their_room() {
    let (mut engines, begun) = full();
    let room = 43_200.0 - 20.0 * 1750.0;
    assert_eq!(begun, (room / (0.918 / 4.0) / LOAD.held()) as usize);
    // The stages after another first engine are full too.
    let other = Job {
        path: vec![4, 1, 2, 3],
        ..job(begun + 1, 0)
    };
    assert!(matches!(engines.send(&other, 0), Sent::Refused(1)));
    assert!(engines.used() <= 1.0 / 3.0);
}

/// A queue that ignores ranks or has no bound would hide what admission is for.
#[test]
fn first_engines_queue_the_most_urgent_first() {
    let (mut engines, begun) = full();
    assert!(matches!(engines.send(&job(begun + 1, 0), 0), Sent::Waits));
    for number in 2..96 {
        assert!(matches!(
            engines.send(&job(begun + number, 1), 0),
            Sent::Waits
        ));
    }
    assert!(matches!(
        engines.send(&job(begun + 96, 0), 0),
        Sent::Refused(0)
    ));
    assert_eq!(engines.next(0, |_| LOAD), None);
    engines.end(&job(0, 1));
    assert_eq!(engines.next(0, |_| LOAD), Some(begun + 1));
}

/// Figures that vary with anything but the seed can't be compared.
#[test]
fn same_seed_gives_the_same_figures() {
    for way in Way::ALL {
        let setting = Setting {
            scenario: Scenario::Demand(1.5),
            way,
            boxes: 4,
            chains: 1,
            capacity: 20.0,
            shares: Shares::Even,
            second_sends: 0.1,
            seed: 7,
        };
        let [first, second] = [setting, setting].map(|setting| Play::new(setting).run());
        assert!(first.all().in_time > 0);
        assert_eq!(first, second);
    }
}

/// Sends that engines refused fed the pace of admission, so that a box sent again what had no room, whatever its rank.
#[test]
fn under_overload_the_most_urgent_rank_gets_most_and_few_sends_are_refused() {
    let setting = Setting {
        scenario: Scenario::Demand(3.0),
        way: Way::Reserve,
        boxes: 8,
        chains: 4,
        capacity: 94.4,
        shares: Shares::Even,
        second_sends: 0.1,
        seed: 1,
    };
    let seen = Play::new(setting).run();
    let [first, second, third] = [0, 1, 2].map(|rank| seen.rank(rank).share());
    assert!(
        first > 1.2 * second && second > 1.2 * third,
        "{first} {second} {third}"
    );
    assert!(
        seen.sends_refused_part() < 0.5,
        "{}",
        seen.sends_refused_part()
    );
}
