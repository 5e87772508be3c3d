//! What plans serve.

use proptest::prelude::*;
use reachtally_core::forward::cost::{Card, LayerModel, Layers};
use reachtally_core::forward::placement::evaluate::{Demand, capacity, chains, served};
use reachtally_core::forward::placement::{Host, moves};
use reachtally_core::forward::select::LatencyObjectives;

use super::setup::{hosts, model};

const AIM: LatencyObjectives = LatencyObjectives {
    first_ms: Some(500.0),
    gap_ms: Some(250.0),
};

/// A model whose figures are worked out by hand: 10 layers of 100 MB, 1 MB for each token, prompts of 8 and answers of 4
/// tokens, so that a request holds 10 MB over all layers; a step takes 9 ms alone.
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

/// Engines that hold some layers, with memory in MB and the step factor.
fn holding(engines: &[(Layers, f64, f64)]) -> Vec<Host> {
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

/// Guards against limits that are left out: each case is bound by another one.
#[test]
fn small_cases_come_to_what_is_worked_out_by_hand() {
    let half = |step_factor| (0..5, 700.0, step_factor);
    let rest = |memory_mb| (5..10, memory_mb, 1.0);
    // 200 MB beside 5 layers are 40 requests at 5 MB. A token takes 1.5 x 4.5 ms and a hop of 0.5 ms on each of two engines, a
    // request 4 of them and the hops of its prompt: 59 ms.
    let one = 40.0 / 0.059;
    let cases = [
        (plain(), holding(&[half(1.0), rest(700.0)]), one),
        // The smallest stage bounds the path.
        (plain(), holding(&[half(1.0), rest(600.0)]), one / 2.0),
        // The places of first engines do.
        (
            LayerModel {
                slots: 10,
                ..plain()
            },
            holding(&[half(1.0), rest(700.0)]),
            one / 4.0,
        ),
        // Two first engines share a stage: 80 at once.
        (
            plain(),
            holding(&[half(1.0), half(1.0), rest(900.0)]),
            2.0 * one,
        ),
        // Nobody holds the layer 5.
        (plain(), holding(&[half(1.0), (6..10, 700.0, 1.0)]), 0.0),
        // A token takes 1.5 x 9 x 20 / 2 ms on the first engine: 250 ms are missed.
        (plain(), holding(&[half(40.0), rest(700.0)]), 0.0),
        // An engine runs the rest of its layers only: the path leaves the first engine at 5 and the second at 10.
        (plain(), holding(&[half(1.0), (2..10, 1120.0, 1.0)]), one),
    ];
    for (case, (model, hosts, expected)) in cases.iter().enumerate() {
        let got = capacity(model, hosts, AIM);
        let near = (got - expected).abs() <= 0.001 * expected;
        assert!(near, "case {case}: {got}, not {expected}");
    }
}

/// Guards against prompts that take none of an engine's time, and against a chunk that does not bound them.
#[test]
fn reading_bounds_what_is_served() {
    let reading = LayerModel {
        read_per_s: 2000.0,
        mean_answer_tokens: 0.5,
        ..plain()
    };
    let hosts = holding(&[(0..10, 100_000.0, 1.0)]);
    let free = capacity(&reading, &hosts, LatencyObjectives::default());
    assert!(free <= 2000.0 / 8.0 + 1e-6, "{free}");
    let bounded = LayerModel {
        chunk: 1.0,
        ..reading
    };
    let chunked = capacity(&bounded, &hosts, LatencyObjectives::default());
    // A pass reads a token in 0.5 ms and decodes for 9 ms.
    assert!(chunked <= 1000.0 / 9.5 / 8.0 + 1e-6, "{chunked}");
}

/// Guards against requests of a failure domain that count as served by one that it is cut off from.
#[test]
fn demand_bounds_what_is_served_and_sizes_count() {
    let mut all = holding(&[(0..10, 1400.0, 1.0), (0..10, 1400.0, 1.0)]);
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
        AIM,
    );
    assert_eq!((small.combined, small.isolated), (20.0, 10.0));
    all[1].domain = "b".into();
    let parted = served(
        &plain(),
        &all,
        &[of("a", 10.0, 8.0), of("b", 10.0, 8.0)],
        AIM,
    );
    assert_eq!((parted.combined, parted.isolated), (20.0, 20.0));
    let long = served(&plain(), &all, &[of("a", 10.0, 18.0)], AIM);
    assert!(long.capacity < 0.6 * parted.capacity, "{long:?} {parted:?}");
}

/// Guards against counting an engine in two chains, whose loss would then look worse than it is.
#[test]
fn an_engine_is_in_one_chain_only() {
    let model = model();
    let mut hosts = hosts("a", &[("large", 2), ("middle", 6), ("small", 20)]);
    for placed in moves(&model, &hosts.clone()) {
        let host = hosts.iter_mut().find(|host| host.engine == placed.engine);
        host.expect("it is known").layers = placed.layers;
    }
    let chains = chains(&model, &hosts, AIM);
    assert!(!chains.is_empty());
    let mut engines = chains.concat();
    let count = engines.len();
    engines.sort_unstable();
    engines.dedup();
    assert_eq!(engines.len(), count);
}

/// Chains that are cut at the same layers, and one engine of them.
fn cut_alike() -> impl Strategy<Value = (Vec<Host>, usize)> {
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
        let hosts = holding(&engines.collect::<Vec<_>>());
        let one = one.index(hosts.len());
        (hosts, one)
    })
}

proptest! {
    /// Guards against an evaluation that prefers a worse fleet: a search would follow it.
    #[test]
    fn more_memory_or_a_faster_card_never_serves_less(
        (hosts, one) in cut_alike(),
        memory in 1.0..2.0_f64,
        speed in 0.4..1.0_f64,
    ) {
        let model = model();
        let before = capacity(&model, &hosts, AIM);
        let mut better = hosts;
        better[one].card.memory_mb *= memory;
        better[one].card.step_factor *= speed;
        let after = capacity(&model, &better, AIM);
        prop_assert!(after >= before * (1.0 - 1e-9), "{} after {}", after, before);
    }
}
