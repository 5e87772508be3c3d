//! Properties of path selection for any fleet and load.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use reachtally_core::forward::fleet::{EngineKey, Fleet};
use reachtally_core::forward::select::{SelectionContext, path};

use super::setup::{NEED, SERVICE, cx, entry, fleet, model};

/// Layers per engine.
const LAYERS_PER_ENGINE: u32 = 20;
/// Requests per fleet, each with a different draw.
const DRAWS: u64 = 200;

/// Builds replicas of four layer ranges on middle cards; `used[replica][range]` is the fraction of an engine's KV
/// capacity in use.
fn replicas(used: &[[f64; 4]]) -> (Fleet, Vec<EngineKey>) {
    let numbered = (0..used.len() as u16 * 4).map(|number| {
        let from = u32::from(number % 4) * LAYERS_PER_ENGINE;
        entry(number, "a", "middle", from..from + LAYERS_PER_ENGINE)
    });
    let (mut fleet, keys) = fleet(numbered);
    let capacity = model().kv_tokens(&model().cards["middle"], LAYERS_PER_ENGINE);
    for (key, used) in keys.iter().zip(used.iter().flatten()) {
        fleet.begin(&[*key], used * capacity);
    }
    (fleet, keys)
}

fn choose(fleet: &Fleet, draw: u64) -> Option<Vec<EngineKey>> {
    let cx = SelectionContext { draw, ..cx(&[]) };
    let choice = path(fleet, SERVICE, &model(), NEED, &cx)?;
    Some(choice.path.engines())
}

/// Number of requests whose path includes the engine.
fn times_chosen(fleet: &Fleet, key: EngineKey) -> usize {
    let is_included = |draw: &u64| choose(fleet, *draw).is_some_and(|path| path.contains(&key));
    (0..DRAWS).filter(is_included).count()
}

/// Fractions of KV capacity in use, for two to five replicas.
fn utilizations() -> impl Strategy<Value = Vec<[f64; 4]>> {
    prop::collection::vec(prop::array::uniform4(0.0..1.5f64), 2..6)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn request_is_never_refused_while_a_chain_has_capacity(used in utilizations(), at in 0usize..5, draw: u64) {
        let mut used = used;
        let at = at % used.len();
        used[at] = used[at].map(|used| used.min(0.9));
        let (fleet, _) = replicas(&used);
        prop_assert!(choose(&fleet, draw).is_some());
    }

    #[test]
    fn possibly_full_engine_is_not_chosen_while_each_range_has_capacity(draw: u64, full in 0usize..4) {
        let mut used = [[0.1; 4]; 3];
        used[0][full] = 0.9;
        let (fleet, keys) = replicas(&used);
        let path = choose(&fleet, draw).expect("every range has free capacity");
        prop_assert!(!path.contains(&keys[full]));
    }

    #[test]
    fn more_free_capacity_never_makes_an_engine_chosen_less(used in utilizations(), part in 0.0..0.9f64) {
        let (fleet, keys) = replicas(&used);
        let before = times_chosen(&fleet, keys[0]);
        let mut emptier = used;
        emptier[0][0] *= part;
        let (fleet, keys) = replicas(&emptier);
        let after = times_chosen(&fleet, keys[0]);
        prop_assert!(after >= before, "{} after {}", after, before);
    }
}
