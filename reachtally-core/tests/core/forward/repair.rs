//! Properties of path repair for any fleet and load.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use reachtally_core::forward::cost::Layers;
use reachtally_core::forward::fleet::{EngineKey, Entry, Fleet};
use reachtally_core::forward::path::{Part, Path};
use reachtally_core::forward::select::{Choice, SelectionContext, repair};

use super::setup::{NEED, SERVICE, cx, entry, fleet, model};

/// A path over these engines, with all layers that they hold.
fn path_over(fleet: &Fleet, keys: &[EngineKey]) -> Path {
    let parts = keys.iter().map(|key| {
        let entry = &fleet.get(*key).expect("engine was inserted").entry;
        Part {
            engine: *key,
            address: entry.address,
            layers: entry.layers.clone(),
        }
    });
    Path::try_new(parts.collect(), 80).expect("path is complete")
}

fn repaired(
    fleet: &Fleet,
    current: &Path,
    dead: &[EngineKey],
    cx: SelectionContext<'_>,
) -> Option<Choice> {
    repair(fleet, SERVICE, &model(), NEED, &cx, current, dead)
}

/// The parts of the path after the middle one of three engines failed, with `spares` available.
fn repaired_parts(spares: impl IntoIterator<Item = Entry>) -> Option<Vec<Part>> {
    let chain = [(0, 0..30), (1, 30..55), (2, 55..80)];
    let chain = chain.map(|(number, layers)| entry(number, "a", "large", layers));
    let (fleet, keys) = fleet(chain.into_iter().chain(spares));
    let current = path_over(&fleet, &keys[..3]);
    let choice = repaired(&fleet, &current, &keys[1..2], cx(&[]))?;
    Some(choice.path.parts().to_vec())
}

fn layers_of(parts: &[Part]) -> Vec<Layers> {
    parts.iter().map(|part| part.layers.clone()).collect()
}

#[test]
fn replacement_part_ends_at_the_next_surviving_part() {
    let parts = repaired_parts([entry(3, "a", "large", 20..60)]).expect("a path exists");
    assert_eq!(layers_of(&parts), [0..30, 30..55, 55..80]);
}

#[test]
fn replacement_is_in_the_own_failure_domain_if_possible() {
    let (near, far) = (
        // Costs more, since it has less KV capacity beside its layers.
        entry(3, "a", "large", 20..60),
        entry(4, "b", "large", 30..55),
    );
    let port = |parts: Option<Vec<Part>>| parts.map(|parts| parts[1].address.port());
    assert_eq!(port(repaired_parts([near, far.clone()])), Some(1003));
    assert_eq!(port(repaired_parts([far])), Some(1004));
    assert_eq!(port(repaired_parts([])), None);
}

/// An engine occurs in a path only once, so the surviving part between two failed ones is dropped.
#[test]
fn one_engine_replaces_two_failed_ones_and_the_part_between() {
    let chain = [
        (0, 0..40),
        (1, 40..50),
        (2, 50..60),
        (3, 60..80),
        (4, 40..80),
    ];
    let (fleet, keys) = fleet(chain.map(|(number, layers)| entry(number, "a", "large", layers)));
    let current = path_over(&fleet, &keys[..4]);
    let choice = repaired(&fleet, &current, &[keys[1], keys[3]], cx(&[]));
    let path = choice.expect("a path exists").path;
    assert_eq!(layers_of(path.parts()), [0..40, 40..80]);
}

/// Selects keys by the bits set in `bits`.
fn named(keys: &[EngineKey], bits: u8) -> Vec<EngineKey> {
    let is_selected = |(at, _): &(usize, &EngineKey)| bits >> at & 1 == 1;
    let named = keys.iter().enumerate().filter(is_selected);
    named.map(|(_, key)| *key).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn surviving_parts_are_kept_and_failed_ones_replaced(
        used in prop::collection::vec(0.0..1.2f64, 12), dead in 0u8..16, avoid: u16, draw: u64,
    ) {
        let entries = (0..12u16).map(|number| {
            let from = u32::from(number % 4) * 20;
            entry(number, if number < 8 { "a" } else { "b" }, "middle", from..from + 20)
        });
        let (mut fleet, keys) = fleet(entries);
        let capacity = model().kv_tokens(&model().cards["middle"], 20);
        for (key, used) in keys.iter().zip(&used) {
            fleet.begin(&[*key], used * capacity);
        }
        let current = path_over(&fleet, &keys[..4]);
        let dead = named(&keys[..4], dead);
        let avoid = [named(&keys[4..8], avoid as u8), named(&keys[8..], (avoid >> 8) as u8)].concat();
        let choice = repaired(&fleet, &current, &dead, SelectionContext { draw, ..cx(&avoid) });
        let has_replacement = |key: &EngineKey| {
            let at = keys.iter().position(|other| other == key).expect("key is in the list");
            [at + 4, at + 8].iter().any(|at| !avoid.contains(&keys[*at]))
        };
        let is_expected = !dead.contains(&keys[0]) && dead.iter().all(has_replacement);
        prop_assert_eq!(choice.is_some(), is_expected);
        let Some(choice) = choice else { return Ok(()) };
        let parts = choice.path.parts();
        prop_assert!(Path::try_new(parts.to_vec(), 80).is_ok());
        for (part, before) in parts.iter().zip(current.parts()) {
            prop_assert!(!dead.contains(&part.engine) && !avoid.contains(&part.engine));
            prop_assert!(part == before || dead.contains(&before.engine));
        }
        // Beyond four hops, only new parts have to prefill.
        let has_prefill = choice.first - choice.token > Duration::from_millis(3);
        prop_assert_eq!(has_prefill, !dead.is_empty());
    }
}
