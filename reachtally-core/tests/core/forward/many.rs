//! What changes with the number of boxes.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::select::{Aim, Circumstance, Need, path};

use super::setup::{SERVICE, entry, fleet, model};

/// Requests of 1,000 whose first engine is the roomy one of two that are equally fast.
fn at_the_roomy(boxes: u32) -> usize {
    let (fleet, keys) = fleet([
        entry(0, "a", "large", 0..34),
        entry(1, "a", "large", 0..40),
        entry(2, "a", "middle", 34..57),
        entry(3, "a", "middle", 40..60),
        entry(4, "a", "middle", 57..80),
        entry(5, "a", "middle", 60..80),
    ]);
    let need = Need {
        prompt: 400.0,
        answer: 100.0,
        aim: Aim::default(),
    };
    let chosen = (0..1000).filter(|draw| {
        let cx = Circumstance {
            now: Instant::from_elapsed(Duration::from_secs(9)),
            home: "a",
            avoid: &[],
            held: Duration::from_secs(3),
            boxes,
            unheard: 1.0,
            draw: *draw,
        };
        let choice = path(&fleet, SERVICE, &model(), need, &cx).expect("there is a path");
        choice.path.engines()[0] == keys[1]
    });
    1000 - chosen.count()
}

/// With 295 boxes a fifth of the sends were refused, 1,056 of 5,034 by one engine of the cheapest chain.
#[test]
fn the_more_boxes_there_are_the_less_a_difference_of_room_draws_them_to_the_same_chain() {
    let (few, many, most) = (at_the_roomy(64), at_the_roomy(300), at_the_roomy(2500));
    assert!(few > many && many >= most, "{few} {many} {most}");
    assert!(most > 200, "{most}");
}
