//! Tests of the assignment of layers to engines.

use reachtally_core::forward::cost::LayerModel;
use reachtally_core::forward::placement::{GiveUp, Host, Move, Presence, moves, plan};

use super::setup::{hosts, model};

/// Applies moves.
fn place(hosts: &mut [Host], moves: &[Move]) {
    for placed in moves {
        let host = hosts.iter_mut().find(|host| host.engine == placed.engine);
        host.expect("the engine has a host").layers = placed.layers.clone();
    }
}

/// Applies moves until none are planned; returns their number.
fn converge(model: &LayerModel, hosts: &mut [Host]) -> usize {
    let mut count = 0;
    for _ in 0..20 {
        let next = moves(model, hosts);
        if next.is_empty() {
            return count;
        }
        count += next.len();
        place(hosts, &next);
    }
    panic!("placement does not converge");
}

/// Number of engines that hold each layer.
fn holders_per_layer(model: &LayerModel, hosts: &[Host]) -> Vec<usize> {
    let holds = |layer: u32| {
        hosts
            .iter()
            .filter(|host| host.layers.contains(&layer))
            .count()
    };
    (0..model.layers).map(holds).collect()
}

/// KV tokens of all engines together for the layer that has the fewest.
fn min_kv_tokens(model: &LayerModel, hosts: &[Host]) -> f64 {
    let kv_tokens = |layer: u32| -> f64 {
        let holders = hosts.iter().filter(|host| host.layers.contains(&layer));
        holders
            .map(|host| model.kv_tokens(&host.card, host.layers.len() as u32))
            .sum()
    };
    (0..model.layers)
        .map(kv_tokens)
        .fold(f64::INFINITY, f64::min)
}

fn fleets() -> Vec<Vec<Host>> {
    vec![
        hosts("a", &[("large", 1), ("middle", 3), ("small", 8)]),
        hosts("b", &[("large", 1), ("middle", 6), ("small", 5)]),
        hosts("c", &[("large", 2), ("middle", 2), ("small", 5)]),
        hosts("d", &[("middle", 9)]),
        hosts("e", &[("small", 30)]),
    ]
}

#[test]
fn placement_covers_every_layer_within_the_memory_of_each_card() {
    let model = model();
    for mut hosts in fleets() {
        converge(&model, &mut hosts);
        assert!(
            holders_per_layer(&model, &hosts)
                .iter()
                .all(|count| *count > 0)
        );
        for host in &hosts {
            let layers = host.layers.len() as f64;
            assert!(layers * model.layer_mb <= host.card.memory_mb, "{host:?}");
            assert!(host.layers.end <= model.layers);
        }
    }
}

#[test]
fn fast_cards_form_a_chain_without_slow_ones() {
    let model = model();
    let mut hosts = hosts("a", &[("large", 1), ("middle", 3), ("small", 8)]);
    let planned = plan(&model, &hosts, f64::INFINITY);
    place(&mut hosts, &planned);
    let slow = hosts.iter().filter(|host| host.card.step_factor > 10.0);
    let slow_layers: usize = slow.map(|host| host.layers.len()).sum();
    assert!(
        slow_layers <= 2,
        "{slow_layers} layers of the first chain are on slow cards"
    );
}

#[test]
fn stable_placement_plans_no_moves() {
    let model = model();
    for mut hosts in fleets() {
        converge(&model, &mut hosts);
        assert_eq!(moves(&model, &hosts), Vec::new());
    }
}

#[test]
fn every_layer_is_covered_again_after_any_single_failure() {
    let model = model();
    for fleet in fleets() {
        let mut whole = fleet;
        converge(&model, &mut whole);
        for dead in 0..whole.len() {
            let mut remaining = whole.clone();
            remaining.remove(dead);
            converge(&model, &mut remaining);
            let holders_per_layer = holders_per_layer(&model, &remaining);
            assert!(
                holders_per_layer.iter().all(|count| *count > 0),
                "without {:?}",
                whole[dead]
            );
        }
    }
}

#[test]
fn small_cards_cover_the_gap_left_by_a_fast_card() {
    let model = model();
    let mut hosts = hosts("b", &[("large", 1), ("middle", 6), ("small", 5)]);
    converge(&model, &mut hosts);
    let before = min_kv_tokens(&model, &hosts);
    let dead = hosts.iter().position(|host| host.layers.contains(&55));
    hosts.remove(dead.expect("one middle card alone holds layer 55"));
    assert_eq!(min_kv_tokens(&model, &hosts), 0.0);
    let moved = converge(&model, &mut hosts);
    let after = min_kv_tokens(&model, &hosts);
    assert!(moved <= 4, "{moved} moves");
    assert!(after > 0.25 * before, "{after} of {before}");
}

#[test]
fn needed_engines_keep_their_layers_after_a_failure() {
    let model = model();
    let mut hosts = hosts("a", &[("large", 1), ("middle", 3), ("small", 8)]);
    converge(&model, &mut hosts);
    hosts.retain(|host| host.card.memory_mb < 70_000.0);
    let before = hosts.clone();
    converge(&model, &mut hosts);
    for (before, after) in before.iter().zip(&hosts) {
        let is_middle = before.card.memory_mb > 40_000.0;
        assert!(
            !is_middle || before.layers == after.layers,
            "{before:?} {after:?}"
        );
    }
}

#[test]
fn engine_that_returns_empty_is_assigned_layers_again() {
    let model = model();
    let mut hosts = hosts("a", &[("large", 1), ("middle", 3), ("small", 8)]);
    converge(&model, &mut hosts);
    let large = hosts
        .iter()
        .position(|host| host.card.memory_mb > 70_000.0)
        .expect("the fleet has a large card");
    hosts[large].layers = 0..0;
    converge(&model, &mut hosts);
    assert!(!hosts[large].layers.is_empty());
}

#[test]
fn domains_too_small_for_the_model_are_placed_together() {
    let model = model();
    let mut all = hosts("a", &[("large", 1)]);
    all.extend(hosts("b", &[("middle", 2)]).into_iter().map(|host| Host {
        engine: renumber(&host),
        ..host
    }));
    all.extend(hosts("c", &[("small", 6)]).into_iter().map(|host| Host {
        engine: renumber(&host),
        ..host
    }));
    converge(&model, &mut all);
    assert!(
        holders_per_layer(&model, &all)
            .iter()
            .all(|count| *count > 0)
    );
}

/// Keys of separate tables coincide, so each host is given a key of its own.
fn renumber(host: &Host) -> reachtally_core::forward::fleet::EngineKey {
    use slotmap::{Key, KeyData};
    let offset = u64::from(host.domain.as_bytes()[0]) << 8;
    KeyData::from_ffi(host.engine.data().as_ffi() + offset).into()
}

#[test]
fn nothing_is_placed_if_the_model_does_not_fit() {
    let model = model();
    let hosts = hosts("a", &[("small", 3)]);
    assert_eq!(moves(&model, &hosts), Vec::new());
}

/// A chain without an engine for its last layers, and small engines that duplicate its first ones.
fn with_a_gap(running: [f64; 3]) -> Vec<Host> {
    let mut hosts = hosts("a", &[("large", 1), ("middle", 3), ("small", 3)]);
    let layers = [0..30, 30..46, 46..60, 60..72, 0..10, 0..10, 0..10];
    for (host, layers) in hosts.iter_mut().zip(layers) {
        host.layers = layers;
        host.running = 60.0;
    }
    for (host, running) in hosts[4..].iter_mut().zip(running) {
        host.running = running;
    }
    hosts
}

#[test]
fn gap_is_closed_at_once_by_the_engine_with_least_running() {
    for idle in 0..3 {
        let mut running = [30.0; 3];
        running[idle] = 0.0;
        let hosts = with_a_gap(running);
        let next = moves(&model(), &hosts);
        let first = next.first().expect("a move closes the gap");
        assert_eq!(first.engine, hosts[4 + idle].engine, "{next:?}");
        assert_eq!(first.layers, 72..80);
        assert_eq!(first.give_up, GiveUp::Cut);
    }
}

#[test]
fn move_that_only_adds_capacity_waits_for_running_requests() {
    let mut hosts = with_a_gap([0.0; 3]);
    hosts[6].layers = 72..80;
    // Far too few tokens for the requests that the other layers could run.
    hosts[3].layers = 60..80;
    let next = moves(&model(), &hosts);
    assert!(!next.is_empty());
    for placed in next {
        assert_eq!(placed.give_up, GiveUp::Wait, "{placed:?}");
    }
}

/// Guards against assigning a single layer to an engine: of 99 engines, seven held only the layer `0..1`, and so did
/// most that restarted or were added later.
#[test]
fn spare_engines_are_not_assigned_a_single_layer() {
    let model = model();
    for spare in 0..8 {
        let mut hosts = hosts("e", &[("large", 2), ("small", 33 + spare)]);
        converge(&model, &mut hosts);
        let least = hosts.iter().map(|host| host.layers.len()).min();
        // The last engine of a chain holds the remaining layers.
        assert!(least >= Some(2), "{spare} spare: {least:?}");
    }
}

#[test]
fn returning_engine_in_an_oversized_group_reinforces_the_scarcest_layers() {
    let model = model();
    let mut hosts = hosts("e", &[("large", 2), ("small", 36)]);
    converge(&model, &mut hosts);
    let last = hosts.len() - 1;
    let held = std::mem::replace(&mut hosts[last].layers, 0..0);
    let without = holders_per_layer(&model, &hosts);
    let next = moves(&model, &hosts);
    let back = next
        .iter()
        .find(|placed| placed.engine == hosts[last].engine);
    let layers = back.expect("the engine is assigned layers").layers.clone();
    assert!(layers.len() >= held.len() / 2, "{layers:?} after {held:?}");
    place(&mut hosts, &next);
    let scarcest = without.iter().min().expect("the model has layers");
    assert!(holders_per_layer(&model, &hosts).iter().min() >= Some(scarcest));
}

/// A failure domain with many times the engines that its load needs.
fn oversized_domain() -> Vec<Host> {
    hosts("a", &[("large", 31), ("middle", 90), ("small", 120)])
}

fn placed(hosts: &[Host]) -> usize {
    hosts.iter().filter(|host| !host.layers.is_empty()).count()
}

#[test]
fn oversized_group_keeps_a_reserve() {
    let model = model();
    let mut hosts = oversized_domain();
    converge(&model, &mut hosts);
    let holders_per_layer = holders_per_layer(&model, &hosts);
    assert!(
        holders_per_layer.iter().all(|count| *count >= 8),
        "{holders_per_layer:?}"
    );
    let placed = placed(&hosts);
    assert!(placed * 2 < hosts.len(), "{placed} of {}", hosts.len());
}

#[test]
fn reserve_shrinks_with_load_and_does_not_grow_back() {
    let model = model();
    let mut hosts = oversized_domain();
    converge(&model, &mut hosts);
    let ready = placed(&hosts);
    let mut before = ready;
    for running in [10.0, 40.0, 80.0, 120.0, 0.0] {
        for host in hosts.iter_mut().filter(|host| !host.layers.is_empty()) {
            host.running = running;
        }
        converge(&model, &mut hosts);
        let now = placed(&hosts);
        assert!(now >= before, "{now} after {before} at {running}");
        before = now;
    }
    assert!(before > ready + ready / 4, "{before} after {ready}");
}

#[test]
fn failed_engines_are_replaced_from_the_reserve() {
    let model = model();
    let mut hosts = oversized_domain();
    converge(&model, &mut hosts);
    let before = min_kv_tokens(&model, &hosts);
    let mut number = 0;
    hosts.retain(|host| {
        number += 1;
        host.layers.is_empty() || number % 4 != 0
    });
    assert!(min_kv_tokens(&model, &hosts) < before);
    converge(&model, &mut hosts);
    let after = min_kv_tokens(&model, &hosts);
    assert!(after > 0.9 * before, "{after} of {before}");
}

#[test]
fn running_requests_are_not_cut_while_another_domain_holds_the_missing_layers() {
    let model = model();
    let mut all = with_a_gap([0.0; 3]);
    let mut others = hosts("b", &[("large", 3), ("middle", 6), ("small", 9)]);
    converge(&model, &mut others);
    for presence in [Presence::Usable, Presence::Unconfirmed, Presence::Departing] {
        let others = others.iter().map(|host| Host {
            engine: renumber(host),
            presence,
            ..host.clone()
        });
        let mut hosts = all.clone();
        hosts.extend(others);
        let next = moves(&model, &hosts);
        assert!(!next.is_empty());
        for placed in next {
            assert_eq!(placed.give_up, GiveUp::Wait, "{presence:?} {placed:?}");
        }
    }
    all.truncate(7);
    assert_eq!(moves(&model, &all)[0].give_up, GiveUp::Cut);
}

#[test]
fn no_engine_is_moved_for_layers_of_engines_that_may_not_have_ended() {
    let mut hosts = with_a_gap([0.0; 3]);
    hosts[6].layers = 72..80;
    hosts[6].presence = Presence::Unconfirmed;
    let moved = moves(&model(), &hosts);
    hosts[6].presence = Presence::Usable;
    assert_eq!(moved, moves(&model(), &hosts));
}
