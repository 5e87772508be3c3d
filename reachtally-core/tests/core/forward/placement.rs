//! Which layers engines are given.

use reachtally_core::forward::cost::LayerModel;
use reachtally_core::forward::placement::{GiveUp, Host, Move, moves, plan};

use super::setup::{hosts, model};

/// Carry out moves.
fn place(hosts: &mut [Host], moves: &[Move]) {
    for placed in moves {
        let host = hosts.iter_mut().find(|host| host.engine == placed.engine);
        host.expect("the engine is known").layers = placed.layers.clone();
    }
}

/// Repair until nothing is left to do; yields the number of moves.
fn settle(model: &LayerModel, hosts: &mut [Host]) -> usize {
    let mut count = 0;
    for _ in 0..20 {
        let next = moves(model, hosts);
        if next.is_empty() {
            return count;
        }
        count += next.len();
        place(hosts, &next);
    }
    panic!("placement does not settle");
}

/// How many engines hold each layer.
fn cover(model: &LayerModel, hosts: &[Host]) -> Vec<usize> {
    let holds = |layer: u32| {
        hosts
            .iter()
            .filter(|host| host.layers.contains(&layer))
            .count()
    };
    (0..model.layers).map(holds).collect()
}

/// KV tokens for each layer, all engines together.
fn least_room(model: &LayerModel, hosts: &[Host]) -> f64 {
    let room = |layer: u32| -> f64 {
        let holders = hosts.iter().filter(|host| host.layers.contains(&layer));
        holders
            .map(|host| model.kv_tokens(&host.card, host.layers.len() as u32))
            .sum()
    };
    (0..model.layers).map(room).fold(f64::INFINITY, f64::min)
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
fn an_empty_group_covers_every_layer_and_never_more_than_a_card_holds() {
    let model = model();
    for mut hosts in fleets() {
        settle(&model, &mut hosts);
        assert!(cover(&model, &hosts).iter().all(|count| *count > 0));
        for host in &hosts {
            let layers = host.layers.len() as f64;
            assert!(layers * model.layer_mb <= host.card.memory_mb, "{host:?}");
            assert!(host.layers.end <= model.layers);
        }
    }
}

#[test]
fn fast_cards_form_a_chain_of_their_own() {
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
fn a_group_that_is_in_order_is_left_alone() {
    let model = model();
    for mut hosts in fleets() {
        settle(&model, &mut hosts);
        assert_eq!(moves(&model, &hosts), Vec::new());
    }
}

#[test]
fn after_any_one_death_every_layer_is_held_again() {
    let model = model();
    for fleet in fleets() {
        let mut whole = fleet;
        settle(&model, &mut whole);
        for dead in 0..whole.len() {
            let mut left = whole.clone();
            left.remove(dead);
            settle(&model, &mut left);
            let cover = cover(&model, &left);
            assert!(
                cover.iter().all(|count| *count > 0),
                "without {:?}",
                whole[dead]
            );
        }
    }
}

#[test]
fn small_cards_move_into_the_gap_that_a_fast_card_leaves() {
    let model = model();
    let mut hosts = hosts("b", &[("large", 1), ("middle", 6), ("small", 5)]);
    settle(&model, &mut hosts);
    let before = least_room(&model, &hosts);
    let dead = hosts.iter().position(|host| host.layers.contains(&55));
    hosts.remove(dead.expect("a middle card holds it alone"));
    assert_eq!(least_room(&model, &hosts), 0.0);
    let moved = settle(&model, &mut hosts);
    let after = least_room(&model, &hosts);
    assert!(moved <= 4, "{moved} moves");
    assert!(after > 0.25 * before, "{after} of {before}");
}

#[test]
fn engines_that_others_need_stay_where_they_are() {
    let model = model();
    let mut hosts = hosts("a", &[("large", 1), ("middle", 3), ("small", 8)]);
    settle(&model, &mut hosts);
    hosts.retain(|host| host.card.memory_mb < 70_000.0);
    let before = hosts.clone();
    settle(&model, &mut hosts);
    for (before, after) in before.iter().zip(&hosts) {
        let is_middle = before.card.memory_mb > 40_000.0;
        assert!(
            !is_middle || before.layers == after.layers,
            "{before:?} {after:?}"
        );
    }
}

#[test]
fn an_engine_that_comes_back_empty_is_given_layers_again() {
    let model = model();
    let mut hosts = hosts("a", &[("large", 1), ("middle", 3), ("small", 8)]);
    settle(&model, &mut hosts);
    let large = hosts
        .iter()
        .position(|host| host.card.memory_mb > 70_000.0)
        .expect("there is one");
    hosts[large].layers = 0..0;
    settle(&model, &mut hosts);
    assert!(!hosts[large].layers.is_empty());
}

#[test]
fn domains_that_cannot_hold_the_model_alone_are_placed_together() {
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
    settle(&model, &mut all);
    assert!(cover(&model, &all).iter().all(|count| *count > 0));
}

/// Rows of separate tables are alike; give each host of these tests its own.
fn renumber(host: &Host) -> reachtally_core::forward::fleet::EngineKey {
    use slotmap::{Key, KeyData};
    let offset = u64::from(host.domain.as_bytes()[0]) << 8;
    KeyData::from_ffi(host.engine.data().as_ffi() + offset).into()
}

#[test]
fn nothing_is_placed_where_the_model_does_not_fit() {
    let model = model();
    let hosts = hosts("a", &[("small", 3)]);
    assert_eq!(moves(&model, &hosts), Vec::new());
}

/// A chain whose last layers nobody holds, and small engines that hold its first ones too.
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
fn a_gap_is_closed_at_once_by_the_engine_that_has_least_to_give_up() {
    for idle in 0..3 {
        let mut running = [30.0; 3];
        running[idle] = 0.0;
        let hosts = with_a_gap(running);
        let next = moves(&model(), &hosts);
        let first = next.first().expect("there is a gap");
        assert_eq!(first.engine, hosts[4 + idle].engine, "{next:?}");
        assert_eq!(first.layers, 72..80);
        assert_eq!(first.give_up, GiveUp::Cut);
    }
}

#[test]
fn an_engine_that_adds_to_what_is_held_waits_for_what_passes_it() {
    let mut hosts = with_a_gap([0.0; 3]);
    hosts[6].layers = 72..80;
    // Far too few tokens for the requests that the rest could run.
    hosts[3].layers = 60..80;
    let next = moves(&model(), &hosts);
    assert!(!next.is_empty());
    for placed in next {
        assert_eq!(placed.give_up, GiveUp::Wait, "{placed:?}");
    }
}

/// Figures before: of 99 engines seven were given the layer `0..1` alone, and so were most that came back or were
/// added later.
#[test]
fn no_card_of_a_group_that_lacks_nothing_is_left_with_a_single_layer() {
    let model = model();
    for spare in 0..8 {
        let mut hosts = hosts("e", &[("large", 2), ("small", 33 + spare)]);
        settle(&model, &mut hosts);
        let least = hosts.iter().map(|host| host.layers.len()).min();
        // The last engine of a chain holds what the others leave.
        assert!(least >= Some(2), "{spare} spare: {least:?}");
    }
}

#[test]
fn an_engine_that_comes_back_to_a_rich_group_adds_to_the_layers_with_least_room() {
    let model = model();
    let mut hosts = hosts("e", &[("large", 2), ("small", 36)]);
    settle(&model, &mut hosts);
    let last = hosts.len() - 1;
    let held = std::mem::replace(&mut hosts[last].layers, 0..0);
    let without = cover(&model, &hosts);
    let next = moves(&model, &hosts);
    let back = next
        .iter()
        .find(|placed| placed.engine == hosts[last].engine);
    let layers = back.expect("it is given layers").layers.clone();
    assert!(layers.len() >= held.len() / 2, "{layers:?} after {held:?}");
    place(&mut hosts, &next);
    let scarcest = without.iter().min().expect("there are layers");
    assert!(cover(&model, &hosts).iter().min() >= Some(scarcest));
}

/// A failure domain with many times the engines that its load needs.
fn rich() -> Vec<Host> {
    hosts("a", &[("large", 31), ("middle", 90), ("small", 120)])
}

fn placed(hosts: &[Host]) -> usize {
    hosts.iter().filter(|host| !host.layers.is_empty()).count()
}

#[test]
fn a_group_with_many_times_the_engines_that_it_needs_keeps_a_reserve() {
    let model = model();
    let mut hosts = rich();
    settle(&model, &mut hosts);
    let cover = cover(&model, &hosts);
    assert!(cover.iter().all(|count| *count >= 8), "{cover:?}");
    let placed = placed(&hosts);
    assert!(placed * 2 < hosts.len(), "{placed} of {}", hosts.len());
}

#[test]
fn more_load_takes_from_the_reserve_and_less_load_gives_nothing_back() {
    let model = model();
    let mut hosts = rich();
    settle(&model, &mut hosts);
    let ready = placed(&hosts);
    let mut before = ready;
    for running in [10.0, 40.0, 80.0, 120.0, 0.0] {
        for host in hosts.iter_mut().filter(|host| !host.layers.is_empty()) {
            host.running = running;
        }
        settle(&model, &mut hosts);
        let now = placed(&hosts);
        assert!(now >= before, "{now} after {before} at {running}");
        before = now;
    }
    assert!(before > ready + ready / 4, "{before} after {ready}");
}

#[test]
fn lost_engines_are_replaced_from_the_reserve() {
    let model = model();
    let mut hosts = rich();
    settle(&model, &mut hosts);
    let before = least_room(&model, &hosts);
    let mut number = 0;
    hosts.retain(|host| {
        number += 1;
        host.layers.is_empty() || number % 4 != 0
    });
    assert!(least_room(&model, &hosts) < before);
    settle(&model, &mut hosts);
    let after = least_room(&model, &hosts);
    assert!(after > 0.9 * before, "{after} of {before}");
}
