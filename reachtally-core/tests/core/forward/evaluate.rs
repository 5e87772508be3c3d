//! Tests of the load that a placement serves.

use proptest::prelude::*;
use reachtally_core::forward::cost::{Card, LayerModel, Layers};
use reachtally_core::forward::placement::evaluate::{Demand, capacity, chains, served};
use reachtally_core::forward::placement::{Host, moves};
use reachtally_core::forward::select::LatencyObjectives;

use super::setup::{hosts, model};

const OBJECTIVES: LatencyObjectives = LatencyObjectives {
    first_ms: Some(500.0),
    gap_ms: Some(250.0),
};

/// A model with values for calculation by hand: 10 layers of 100 MB, 1 MB of KV per token, prompts of 8 and answers
/// of 4 tokens, so that a request holds 10 MB over all layers; a step takes 9 ms without other load.
fn plain() -> LayerModel {
    LayerModel {
        layers: 10,
        layer_mb: 100.0,
        kv_token_mb: 1.0,
        step_ms: 9.0,
        stride: 1.0,
        slots: 1000,
        mean_prompt_tokens: 8.0,
        mean_answer_tokens: 4.0,
        ..LayerModel::default()
    }
}

/// Hosts with these layers, memory in MB and step factor.
fn hosts_holding(engines: &[(Layers, f64, f64)]) -> Vec<Host> {
    let mut hosts = hosts("a", &[("small", engines.len() as u16)]);
    for (host, (layers, memory_mb, step_factor)) in hosts.iter_mut().zip(engines) {
        host.layers = layers.clone();
        host.card = Card {
            memory_mb: *memory_mb,
            step_factor: *step_factor,
            read_factor: 1.0,
        };
    }
    hosts
}

/// Guards against a limit that the evaluation ignores: each case is bound by a different one.
#[test]
fn capacity_matches_hand_calculation() {
    let half = |step_factor| (0..5, 700.0, step_factor);
    let rest = |memory_mb| (5..10, memory_mb, 1.0);
    // 200 MB beside 5 layers hold 40 requests of 5 MB. A token takes 1.5 x 4.5 ms and a hop of 0.5 ms on each of two
    // engines; a request takes 4 tokens and the hops of its prompt: 59 ms.
    let one = 40.0 / 0.059;
    let cases = [
        (plain(), hosts_holding(&[half(1.0), rest(700.0)]), one),
        // The smallest stage bounds the path.
        (plain(), hosts_holding(&[half(1.0), rest(600.0)]), one / 2.0),
        // The slots of first engines bound the path.
        (
            LayerModel {
                slots: 10,
                ..plain()
            },
            hosts_holding(&[half(1.0), rest(700.0)]),
            one / 4.0,
        ),
        // Two first engines share a stage: 80 requests at once.
        (
            plain(),
            hosts_holding(&[half(1.0), half(1.0), rest(900.0)]),
            2.0 * one,
        ),
        // No engine holds layer 5.
        (
            plain(),
            hosts_holding(&[half(1.0), (6..10, 700.0, 1.0)]),
            0.0,
        ),
        // A token takes 1.5 x 9 x 20 / 2 ms on the first engine, which exceeds the objective of 250 ms.
        (plain(), hosts_holding(&[half(40.0), rest(700.0)]), 0.0),
        // An engine runs only the remaining layers: the path leaves the first engine at layer 5 and the second at
        // layer 10.
        (
            plain(),
            hosts_holding(&[half(1.0), (2..10, 1120.0, 1.0)]),
            one,
        ),
    ];
    for (case, (model, hosts, expected)) in cases.iter().enumerate() {
        let got = capacity(model, hosts, OBJECTIVES);
        let near = (got - expected).abs() <= 0.001 * expected;
        assert!(near, "case {case}: {got}, expected {expected}");
    }
}

/// Guards against prompts that cost no engine time, and against a chunk size that does not bound prefill.
#[test]
fn prefill_bounds_capacity() {
    let reading = LayerModel {
        read_per_s: 2000.0,
        mean_answer_tokens: 0.5,
        ..plain()
    };
    let hosts = hosts_holding(&[(0..10, 100_000.0, 1.0)]);
    let free = capacity(&reading, &hosts, LatencyObjectives::default());
    assert!(free <= 2000.0 / 8.0 + 1e-6, "{free}");
    let bounded = LayerModel {
        chunk: 1.0,
        ..reading
    };
    let chunked = capacity(&bounded, &hosts, LatencyObjectives::default());
    // A pass prefills one token in 0.5 ms and decodes for 9 ms.
    assert!(chunked <= 1000.0 / 9.5 / 8.0 + 1e-6, "{chunked}");
}

/// Guards against counting requests of a failure domain as served by a domain that it is cut off from.
#[test]
fn served_load_is_bounded_by_demand_and_prompt_size() {
    let mut all = hosts_holding(&[(0..10, 1400.0, 1.0), (0..10, 1400.0, 1.0)]);
    let of = |domain: &str, per_s, prompt| Demand {
        domain: domain.to_owned(),
        per_s,
        prompt,
        answer: 4.0,
    };
    let small = served(
        &plain(),
        &all,
        &[of("a", 10.0, 8.0), of("b", 10.0, 8.0)],
        OBJECTIVES,
    );
    assert_eq!((small.combined, small.isolated), (20.0, 10.0));
    all[1].domain = "b".into();
    let parted = served(
        &plain(),
        &all,
        &[of("a", 10.0, 8.0), of("b", 10.0, 8.0)],
        OBJECTIVES,
    );
    assert_eq!((parted.combined, parted.isolated), (20.0, 20.0));
    let long = served(&plain(), &all, &[of("a", 10.0, 18.0)], OBJECTIVES);
    assert!(long.capacity < 0.6 * parted.capacity, "{long:?} {parted:?}");
}

/// Guards against counting an engine in two chains, which would overstate the effect of its loss.
#[test]
fn engine_is_in_at_most_one_chain() {
    let model = model();
    let mut hosts = hosts("a", &[("large", 2), ("middle", 6), ("small", 20)]);
    for placed in moves(&model, &hosts.clone()) {
        let host = hosts.iter_mut().find(|host| host.engine == placed.engine);
        host.expect("the engine has a host").layers = placed.layers;
    }
    let chains = chains(&model, &hosts, OBJECTIVES);
    assert!(!chains.is_empty());
    let mut engines = chains.concat();
    let count = engines.len();
    engines.sort_unstable();
    engines.dedup();
    assert_eq!(engines.len(), count);
}

/// Chains with the same layer boundaries, and the index of one of their engines.
fn chains_with_equal_boundaries() -> impl Strategy<Value = (Vec<Host>, usize)> {
    let cards = [(72_000.0, 2.4), (43_200.0, 5.6), (43_200.0, 16.0)];
    let stage = prop::collection::vec((0..3_usize, 0.8..1.3_f64), 1..4);
    let chains = (
        prop::collection::vec(stage, 4),
        any::<prop::sample::Index>(),
    );
    chains.prop_map(move |(stages, one)| {
        let engines = stages.iter().zip(0..).flat_map(|(stage, number)| {
            let engine = move |(card, more): &(usize, f64)| {
                let (memory_mb, step_factor): (f64, f64) = cards[*card];
                (
                    number * 20..(number + 1) * 20,
                    memory_mb * more,
                    step_factor,
                )
            };
            stage.iter().map(engine)
        });
        let hosts = hosts_holding(&engines.collect::<Vec<_>>());
        let one = one.index(hosts.len());
        (hosts, one)
    })
}

proptest! {
    /// Guards against an evaluation that prefers a worse fleet, which the placement search would then choose.
    #[test]
    fn more_memory_or_a_faster_card_never_lowers_capacity(
        (hosts, one) in chains_with_equal_boundaries(),
        memory in 1.0..2.0_f64,
        speed in 0.4..1.0_f64,
    ) {
        let model = model();
        let before = capacity(&model, &hosts, OBJECTIVES);
        let mut better = hosts;
        better[one].card.memory_mb *= memory;
        better[one].card.step_factor *= speed;
        let after = capacity(&model, &better, OBJECTIVES);
        prop_assert!(after >= before * (1.0 - 1e-9), "{} after {}", after, before);
    }
}
