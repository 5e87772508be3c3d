//! Tests of the turns of boxes that know nothing of each other.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reachtally_core::forward::turns::turn;
use reachtally_core::ids::Incarnation;

const WINDOW: Duration = Duration::from_millis(1200);
/// Time in which the number of turns doubles.
const STEP: Duration = Duration::from_millis(100);

fn turns(boxes: usize, seed: u64) -> Vec<Duration> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut turns: Vec<Duration> = (0..boxes)
        .map(|_| turn(Incarnation(rng.random()), WINDOW))
        .collect();
    turns.sort_unstable();
    turns
}

#[test]
fn few_boxes_follow_the_first_turn_whatever_their_number() {
    for boxes in [2, 8, 100, 1000, 4000] {
        let followers = (0..200).map(|seed| {
            let turns = turns(boxes, seed);
            let soon = turns.iter().filter(|turn| **turn <= turns[0] + STEP);
            soon.count() - 1
        });
        let mean = followers.sum::<usize>() as f64 / 200.0;
        assert!(mean < 2.0, "{boxes} boxes: {mean}");
    }
}

#[test]
fn every_box_has_its_turn_within_the_window() {
    for run in [0, 1, u64::MAX >> 32, u64::MAX] {
        assert!(turn(Incarnation(run), WINDOW) <= WINDOW, "{run}");
    }
    assert_eq!(turn(Incarnation(u64::MAX), WINDOW), WINDOW);
}
