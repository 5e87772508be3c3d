//! What holds of a choice whatever the fleet and its load.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use reachtally_core::forward::fleet::{EngineKey, Fleet};
use reachtally_core::forward::select::{SelectionContext, path};

use super::setup::{NEED, SERVICE, cx, entry, fleet, model};

/// Layers of each engine.
const EACH: u32 = 20;
/// Requests that are chosen for with different draws.
const DRAWS: u64 = 200;

/// Copies of four ranges on middle cards, so that each engine has `used[copy][range]` of its room in use.
fn copies(used: &[[f64; 4]]) -> (Fleet, Vec<EngineKey>) {
    let numbered = (0..used.len() as u16 * 4).map(|number| {
        let from = u32::from(number % 4) * EACH;
        entry(number, "a", "middle", from..from + EACH)
    });
    let (mut fleet, keys) = fleet(numbered);
    let room = model().kv_tokens(&model().cards["middle"], EACH);
    for (key, used) in keys.iter().zip(used.iter().flatten()) {
        fleet.begin(&[*key], used * room);
    }
    (fleet, keys)
}

fn choose(fleet: &Fleet, draw: u64) -> Option<Vec<EngineKey>> {
    let cx = SelectionContext { draw, ..cx(&[]) };
    let choice = path(fleet, SERVICE, &model(), NEED, &cx)?;
    Some(choice.path.engines())
}

/// Requests that an engine takes part in.
fn chosen(fleet: &Fleet, key: EngineKey) -> usize {
    let takes_part = |draw: &u64| choose(fleet, *draw).is_some_and(|path| path.contains(&key));
    (0..DRAWS).filter(takes_part).count()
}

/// Parts of the room in use, of two to five copies.
fn uses() -> impl Strategy<Value = Vec<[f64; 4]>> {
    prop::collection::vec(prop::array::uniform4(0.0..1.5f64), 2..6)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn where_a_chain_has_room_a_request_is_never_refused(used in uses(), at in 0usize..5, draw: u64) {
        let mut used = used;
        let at = at % used.len();
        used[at] = used[at].map(|used| used.min(0.9));
        let (fleet, _) = copies(&used);
        prop_assert!(choose(&fleet, draw).is_some());
    }

    #[test]
    fn an_engine_that_may_be_full_is_not_chosen_where_each_range_has_room(draw: u64, full in 0usize..4) {
        let mut used = [[0.1; 4]; 3];
        used[0][full] = 0.9;
        let (fleet, keys) = copies(&used);
        let path = choose(&fleet, draw).expect("there is room");
        prop_assert!(!path.contains(&keys[full]));
    }

    #[test]
    fn more_room_never_makes_an_engine_chosen_less(used in uses(), part in 0.0..0.9f64) {
        let (fleet, keys) = copies(&used);
        let before = chosen(&fleet, keys[0]);
        let mut roomier = used;
        roomier[0][0] *= part;
        let (fleet, keys) = copies(&roomier);
        let after = chosen(&fleet, keys[0]);
        prop_assert!(after >= before, "{} after {}", after, before);
    }
}
