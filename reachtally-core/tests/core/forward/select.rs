//! Tests of path selection.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::cost::LayerModel;
use reachtally_core::forward::fleet::{EngineKey, Entry, EntrySource, Evidence, Fleet};
use reachtally_core::forward::select::{
    Choice, LatencyObjectives, NoPathReasons, Requirements, SelectionContext, no_path_reasons, path,
};

use super::setup::{NEED, OBJECTIVES, SERVICE, cx, entry, fleet, instance, model};

fn choose(fleet: &Fleet, avoid: &[EngineKey]) -> Option<Choice> {
    path(fleet, SERVICE, &model(), NEED, &cx(avoid))
}

/// Two chains in domain `a`, the first with faster cards, and one in `b`.
fn two_domains() -> (Fleet, Vec<EngineKey>) {
    fleet([
        entry(0, "a", "large", 0..30),
        entry(1, "a", "middle", 30..48),
        entry(2, "a", "middle", 48..66),
        entry(3, "a", "middle", 66..80),
        entry(4, "a", "small", 0..10),
        entry(5, "a", "small", 10..20),
        entry(6, "a", "small", 20..30),
        entry(7, "b", "large", 0..30),
        entry(8, "b", "middle", 30..48),
        entry(9, "b", "middle", 48..66),
        entry(10, "b", "middle", 66..80),
    ])
}

/// For 1,000 requests, how many start on each engine.
fn first_engines(
    fleet: &Fleet,
    need: Requirements,
    cx: SelectionContext<'_>,
) -> HashMap<EngineKey, u32> {
    let mut firsts = HashMap::new();
    for draw in 0..1000 {
        let cx = SelectionContext { draw, ..cx };
        let choice = path(fleet, SERVICE, &model(), need, &cx).expect("a path exists");
        *firsts.entry(choice.path.engines()[0]).or_default() += 1;
    }
    firsts
}

/// Number of 1,000 requests that start on `key`.
fn share_of(fleet: &Fleet, key: EngineKey, need: Requirements, cx: SelectionContext<'_>) -> u32 {
    let firsts = first_engines(fleet, need, cx);
    firsts.get(&key).copied().unwrap_or_default()
}

/// Number of 1,000 typical requests that start on `key`.
fn share(fleet: &Fleet, key: EngineKey) -> u32 {
    share_of(fleet, key, NEED, cx(&[]))
}

#[test]
fn idle_fleet_serves_most_requests_locally_on_the_fastest_cards() {
    let (fleet, keys) = two_domains();
    let firsts = first_engines(&fleet, NEED, cx(&[]));
    let of = |key| firsts.get(&key).copied().unwrap_or_default();
    let (fast, slow, remote) = (of(keys[0]), of(keys[4]), of(keys[7]));
    assert!(fast > remote && remote > 5 * slow, "{fast} {remote} {slow}");
    // Chains that start with the fast card have the same remaining engines.
    let choice = choose(&fleet, &keys[4..]).expect("a path exists");
    assert_eq!(choice.path.engines(), &keys[0..4]);
}

/// Equal chains in two failure domains, the second of which has the faster cards, and the keys of the first domain.
fn many_chains() -> (Fleet, Vec<EngineKey>) {
    const CHAINS: u16 = 10;
    let chain = |number: u16, domain: &'static str, card: &'static str| {
        let layers = [0..18, 18..36, 36..54, 54..72, 72..80];
        let parts = layers.into_iter().zip(number * 5..);
        parts.map(move |(layers, number)| entry(number, domain, card, layers))
    };
    let home = (0..CHAINS).flat_map(|number| chain(number, "a", "middle"));
    let remote = (CHAINS..2 * CHAINS).flat_map(|number| chain(number, "b", "large"));
    let (fleet, keys) = fleet(home.chain(remote));
    let home = keys[..keys.len() / 2].to_vec();
    (fleet, home)
}

/// Number of 1,000 requests that leave their failure domain.
fn remote_share(fleet: &Fleet, home: &[EngineKey]) -> u32 {
    let firsts = first_engines(fleet, NEED, cx(&[]));
    let remote = firsts.iter().filter(|(first, _)| !home.contains(first));
    remote.map(|(_, count)| count).sum()
}

#[test]
fn requests_leave_their_failure_domain_only_if_it_lacks_capacity() {
    let remote_at = |used: f64| {
        let (mut fleet, home) = many_chains();
        for key in &home {
            let layers = fleet.get(*key).expect("engine exists").entry.layers.len();
            let capacity = model().kv_tokens(&model().cards["middle"], layers as u32);
            fleet.begin(&[*key], used * capacity);
        }
        remote_share(&fleet, &home)
    };
    // For a few requests the random sample includes no local engine for some layer.
    assert!(remote_at(0.0) <= 20, "{}", remote_at(0.0));
    assert!(remote_at(0.2) <= 20, "{}", remote_at(0.2));
    assert!(remote_at(0.7) > 500, "{}", remote_at(0.7));
}

#[test]
fn requests_leave_a_failure_domain_that_is_too_slow() {
    let (mut fleet, home) = many_chains();
    for key in &home {
        let engine = fleet.get_mut(*key).expect("engine exists");
        engine.record_slowdown(12.0, cx(&[]).now);
    }
    let remote = remote_share(&fleet, &home);
    assert!(remote > 900, "{remote}");
}

/// A chain that may start on either of two equal engines.
fn two_first_engines() -> (Fleet, Vec<EngineKey>) {
    fleet([
        entry(0, "a", "middle", 0..20),
        entry(1, "a", "middle", 0..20),
        entry(2, "a", "large", 20..50),
        entry(3, "a", "large", 50..80),
    ])
}

#[test]
fn share_of_an_engine_falls_with_its_free_capacity() {
    let (mut fleet, keys) = two_first_engines();
    let even = share(&fleet, keys[0]);
    assert!((450..550).contains(&even), "{even}");
    let capacity = model().kv_tokens(&model().cards["middle"], 20);
    let mut before = even;
    for (used, least, most) in [(0.3, 350, 490), (0.5, 100, 400), (0.7, 0, 120), (0.9, 0, 5)] {
        let tokens = fleet.get(keys[0]).expect("engine exists").tokens;
        fleet.begin(&keys[0..1], used * capacity - tokens);
        let now = share(&fleet, keys[0]);
        assert!(now <= before.min(most), "{now} after {before} at {used}");
        assert!(now >= least, "{now} at {used}");
        before = now;
    }
}

#[test]
fn waiting_prompts_divert_requests_and_delay_the_expected_first_event() {
    let (mut fleet, keys) = two_first_engines();
    let expected = |fleet: &Fleet| choose(fleet, &keys[1..2]).expect("a path exists").first;
    let (idle, even) = (expected(&fleet), share(&fleet, keys[0]));
    fleet
        .get_mut(keys[0])
        .expect("engine exists")
        .remote_prefill = 200_000.0;
    assert!(expected(&fleet) > idle + Duration::from_millis(200));
    let fewer = share(&fleet, keys[0]);
    assert!(fewer < even / 2, "{fewer} of {even}");
}

#[test]
fn lack_of_kv_capacity_delays_the_expected_first_event() {
    let (mut fleet, keys) = two_first_engines();
    let expected = |fleet: &Fleet| choose(fleet, &keys[1..2]).expect("a path exists").first;
    let idle = expected(&fleet);
    let capacity = model().kv_tokens(&model().cards["middle"], 20);
    fleet.begin(&keys[0..1], 1.3 * capacity);
    // A third of the held tokens has to be freed first; requests run for three seconds.
    let waits = expected(&fleet) - idle;
    assert!(waits > Duration::from_millis(700), "{waits:?}");
}

#[test]
fn avoided_engine_is_replaced_by_others_with_its_layers() {
    let (fleet, keys) = two_domains();
    let choice = choose(&fleet, &keys[7..]).expect("a path exists");
    assert_eq!(choice.path.engines(), &keys[0..4]);
    let mut avoid = keys[7..].to_vec();
    avoid.push(keys[0]);
    let choice = choose(&fleet, &avoid).expect("the small cards hold its layers");
    assert_eq!(choice.path.engines()[..3], keys[4..7]);
}

#[test]
fn requests_of_an_incomplete_domain_go_to_another() {
    let (fleet, keys) = two_domains();
    let choice = choose(&fleet, &[keys[2]]).expect("domain b is complete");
    assert_eq!(choice.path.engines(), &keys[7..]);
}

#[test]
fn draining_engines_are_never_chosen() {
    let (mut fleet, keys) = two_domains();
    for key in [keys[2], keys[9]] {
        let leaving = Entry {
            draining: true,
            ..fleet.get(key).expect("engine exists").entry.clone()
        };
        fleet.upsert(leaving, EntrySource::Written, Instant::ZERO);
    }
    assert!(choose(&fleet, &[]).is_none());
}

#[test]
fn dead_engines_are_chosen_only_after_they_recover() {
    let (mut fleet, keys) = two_domains();
    for key in [keys[2], keys[9]] {
        fleet
            .get_mut(key)
            .expect("engine exists")
            .health
            .mark_dead(Instant::ZERO, Evidence::Refused);
    }
    assert!(choose(&fleet, &[]).is_none());
    let back = Instant::from_elapsed(Duration::from_millis(100));
    fleet
        .get_mut(keys[2])
        .expect("engine exists")
        .health
        .mark_alive(back);
    assert_eq!(
        choose(&fleet, &[])
            .expect("domain a is complete")
            .path
            .engines(),
        &keys[0..4]
    );
}

#[test]
fn cooling_down_engines_are_the_last_choice() {
    let (mut fleet, keys) = two_domains();
    fleet.record_failure(keys[2], Instant::from_elapsed(Duration::from_millis(900)));
    assert_eq!(
        choose(&fleet, &[])
            .expect("domain b is complete")
            .path
            .engines(),
        &keys[7..]
    );
    let choice = choose(&fleet, &keys[7..]).expect("no other chain is left");
    assert!(choice.path.engines().contains(&keys[2]));
}

#[test]
fn chain_without_free_kv_gets_no_requests() {
    let (mut fleet, keys) = two_domains();
    fleet.begin(&keys[1..2], 96_000.0);
    assert_eq!(
        choose(&fleet, &[])
            .expect("domain b is complete")
            .path
            .engines(),
        &keys[7..]
    );
    fleet.begin(&keys[8..9], 96_000.0);
    assert!(choose(&fleet, &[]).is_none());
}

#[test]
fn first_engine_without_a_free_slot_gets_no_requests() {
    let (mut fleet, keys) = two_domains();
    for _ in 0..190 {
        fleet.begin(&keys[0..1], 1.0);
    }
    let choice = choose(&fleet, &keys[7..]).expect("a small card is first");
    assert_eq!(choice.path.first().engine, keys[4]);
}

#[test]
fn request_larger_than_any_engine_has_no_path() {
    let (fleet, _) = two_domains();
    let huge = Requirements {
        prompt: 60_000.0,
        answer: 1.0,
        objectives: OBJECTIVES,
    };
    assert!(path(&fleet, SERVICE, &model(), huge, &cx(&[])).is_none());
}

#[test]
fn path_crosses_domains_if_none_is_complete() {
    let (fleet, keys) = fleet([
        entry(0, "a", "large", 0..40),
        entry(1, "b", "middle", 38..55),
        entry(2, "c", "large", 55..80),
    ]);
    let small = Requirements {
        prompt: 100.0,
        answer: 10.0,
        objectives: OBJECTIVES,
    };
    let choice =
        path(&fleet, SERVICE, &model(), small, &cx(&[])).expect("together they are complete");
    assert_eq!(choice.path.engines(), keys);
    assert_eq!(choice.path.parts()[1].layers, 40..55);
}

#[test]
fn plain_request_leaves_its_failure_domain_only_for_a_less_loaded_instance() {
    let domains = ["b", "a", "a", "a", "a", "b"];
    let entries = domains.into_iter().zip(0..);
    let (mut fleet, keys) =
        fleet(entries.map(|(domain, number)| entry(number, domain, "small", 0..0)));
    let chosen = |fleet: &Fleet| -> BTreeSet<EngineKey> {
        let of = |draw| instance(fleet, SERVICE, 10, &SelectionContext { draw, ..cx(&[]) });
        (0..50).filter_map(of).collect()
    };
    let home = BTreeSet::from_iter(keys[1..5].iter().copied());
    assert_eq!(chosen(&fleet), home);
    // With fewer idle local instances, those of other domains are used too.
    fleet.begin(&keys[1..2], 0.0);
    let idle = BTreeSet::from_iter(keys.iter().copied().filter(|key| *key != keys[1]));
    assert_eq!(chosen(&fleet), idle);
    fleet.begin(&keys[2..5], 0.0);
    assert_eq!(chosen(&fleet), BTreeSet::from([keys[0], keys[5]]));
}

#[test]
fn plain_request_goes_to_the_least_loaded_instance() {
    let plain = |number| Entry {
        slots: 6,
        card: None,
        ..entry(number, "a", "small", 0..0)
    };
    let (mut fleet, keys) = fleet([plain(0), plain(1), plain(2)]);
    fleet.begin(&keys[0..1], 0.0);
    fleet
        .get_mut(keys[1])
        .expect("engine exists")
        .reported_remote_running = 3.0;
    assert_eq!(instance(&fleet, SERVICE, 10, &cx(&[])), Some(keys[2]));
    assert_eq!(
        instance(&fleet, SERVICE, 10, &cx(&keys[2..])),
        Some(keys[0])
    );
    assert_eq!(instance(&fleet, SERVICE, 1, &cx(&keys[1..])), None);
}

#[test]
fn boxes_with_equal_views_spread_requests_over_similar_chains() {
    // Equal chains; a remote one is chosen only if it is a tenth faster.
    let (fleet, keys) = fleet([
        entry(0, "a", "middle", 0..20),
        entry(1, "a", "middle", 20..40),
        entry(2, "a", "middle", 40..60),
        entry(3, "a", "middle", 60..80),
        entry(4, "b", "middle", 0..20),
        entry(5, "b", "middle", 20..40),
        entry(6, "b", "middle", 40..60),
        entry(7, "b", "middle", 60..80),
    ]);
    let at_home = share(&fleet, keys[0]);
    assert!((450..800).contains(&at_home), "{at_home} of 1000 at home");
}

#[test]
fn random_draw_does_not_change_the_expected_times_of_a_path() {
    let (fleet, keys) = two_domains();
    let expected: Vec<(Duration, Duration)> = (0..50)
        .filter_map(|draw| {
            let cx = SelectionContext {
                draw,
                ..cx(&keys[4..])
            };
            let choice = path(&fleet, SERVICE, &model(), NEED, &cx)?;
            Some((choice.first, choice.token))
        })
        .collect();
    assert_eq!(expected.len(), 50);
    assert!(expected.windows(2).all(|pair| pair[0] == pair[1]));
}

#[test]
fn engine_is_filled_by_average_instead_of_final_kv_of_requests() {
    let model = model();
    let (mut fleet, keys) = fleet([
        entry(0, "a", "large", 0..30),
        entry(1, "a", "middle", 30..48),
        entry(2, "a", "middle", 48..66),
        entry(3, "a", "middle", 66..80),
    ]);
    let capacity = 1.7 * model.kv_tokens(&model.cards["middle"], 18);
    let each = NEED.held();
    assert_eq!(each, 900.0);
    let fit = (capacity / each).floor() as u32;
    for _ in 1..fit {
        fleet.begin(&keys, each);
    }
    assert!(choose(&fleet, &[]).is_some(), "one more fits");
    fleet.begin(&keys, each);
    assert!(choose(&fleet, &[]).is_none(), "the engine is full");
}

#[test]
fn missing_path_reports_the_reason_per_domain() {
    let (mut fleet, keys) = two_domains();
    let reasons = |fleet: &Fleet| no_path_reasons(fleet, SERVICE, &model(), NEED, &cx(&[]));
    assert_eq!(reasons(&fleet), NoPathReasons::default());
    fleet.begin(&keys[1..2], 96_000.0);
    let full = NoPathReasons {
        full: 1,
        ..NoPathReasons::default()
    };
    assert_eq!(reasons(&fleet), full);
    let now = Instant::from_elapsed(Duration::from_secs(1));
    let row = fleet.get_mut(keys[9]).expect("engine exists");
    row.health.mark_dead(now, Evidence::Refused);
    assert_eq!(
        reasons(&fleet),
        NoPathReasons {
            unusable: 1,
            ..full
        }
    );
    fleet.remove("e9", Instant::ZERO);
    assert_eq!(reasons(&fleet), NoPathReasons { gap: 1, ..full });
}

#[test]
fn engine_that_just_refused_is_not_a_last_resort() {
    let (mut fleet, keys) = two_domains();
    let refused_at = Instant::from_elapsed(Duration::from_millis(950));
    for key in [keys[2], keys[9]] {
        let engine = fleet.get_mut(key).expect("engine exists");
        engine.health.refused(refused_at);
    }
    assert!(choose(&fleet, &[]).is_none());
    let later = SelectionContext {
        now: refused_at + Duration::from_millis(200),
        ..cx(&[])
    };
    assert!(path(&fleet, SERVICE, &model(), NEED, &later).is_some());
}

/// Guards against boxes that start together and all fill the same chain: with 64 of them, 250 of some 500 sends in
/// two seconds were refused.
#[test]
fn box_without_reports_assumes_others_act_like_itself() {
    let (mut fleet, keys) = two_first_engines();
    fleet.begin(&keys[0..1], NEED.held());
    let share = |load_scale: f64| {
        let cx = SelectionContext {
            load_scale,
            ..cx(&[])
        };
        share_of(&fleet, keys[0], NEED, cx)
    };
    assert!(share(1.0) > 400, "{}", share(1.0));
    assert!(share(40.0) < 200, "{}", share(40.0));
}

#[test]
fn extreme_loads_neither_panic_nor_attract_requests() {
    let (mut fleet, keys) = two_first_engines();
    let engine = fleet.get_mut(keys[0]).expect("engine exists");
    engine.remote_running = 100_000.0;
    engine.record_slowdown(f64::INFINITY, Instant::from_elapsed(Duration::from_secs(1)));
    engine.record_slowdown(f64::NAN, Instant::from_elapsed(Duration::from_secs(1)));
    assert_eq!(share(&fleet, keys[0]), 0);
    // A later stage may run more requests than a first stage has slots.
    let engine = fleet.get_mut(keys[2]).expect("engine exists");
    engine.remote_running = 100_000.0;
    engine.remote_prefill = 1e8;
    assert!(choose(&fleet, &[]).is_some());
    for empty in [
        LayerModel::default(),
        LayerModel {
            read_per_s: 0.0,
            slots: 0,
            mean_answer_tokens: 0.0,
            ..model()
        },
    ] {
        let none = path(&fleet, SERVICE, &empty, NEED, &cx(&[]));
        assert!(none.is_none() || empty.layers > 0);
    }
    let nothing = Requirements {
        prompt: 0.0,
        answer: 0.0,
        objectives: LatencyObjectives {
            first_ms: Some(0.0),
            gap_ms: Some(0.0),
        },
    };
    assert!(path(&fleet, SERVICE, &model(), nothing, &cx(&[])).is_some());
}

/// Number of 1,000 requests that start on the engine with more KV capacity of two that are equally fast.
fn share_of_the_larger(boxes: u32) -> u32 {
    let (fleet, keys) = fleet([
        entry(0, "a", "large", 0..34),
        entry(1, "a", "large", 0..40),
        entry(2, "a", "middle", 34..57),
        entry(3, "a", "middle", 40..60),
        entry(4, "a", "middle", 57..80),
        entry(5, "a", "middle", 60..80),
    ]);
    let need = Requirements {
        prompt: 400.0,
        answer: 100.0,
        objectives: LatencyObjectives::default(),
    };
    let cx = SelectionContext { boxes, ..cx(&[]) };
    share_of(&fleet, keys[0], need, cx)
}

/// Guards against many boxes that all choose the cheapest chain: with 295 boxes a fifth of the sends were refused,
/// 1,056 of 5,034 by one engine of that chain.
#[test]
fn capacity_differences_attract_fewer_requests_with_more_boxes() {
    let (few, many, most) = (
        share_of_the_larger(64),
        share_of_the_larger(300),
        share_of_the_larger(2500),
    );
    assert!(few > many && many >= most, "{few} {many} {most}");
    assert!(most > 200, "{most}");
}

/// One chain whose engines run `running` requests of other boxes.
fn loaded_chain(running: f64) -> (Fleet, Vec<EngineKey>) {
    let (mut fleet, keys) = fleet([
        entry(0, "a", "large", 0..30),
        entry(1, "a", "middle", 30..48),
        entry(2, "a", "middle", 48..66),
        entry(3, "a", "middle", 66..80),
    ]);
    for key in &keys {
        let engine = fleet.get_mut(*key).expect("engine exists");
        engine.remote_running = running;
        engine.remote_tokens = running * NEED.held();
    }
    (fleet, keys)
}

fn expected_first_ms(fleet: &Fleet) -> f64 {
    let choice = choose(fleet, &[]).expect("a path exists");
    choice.first.as_secs_f64() * 1000.0
}

/// Guards against ignoring the queue of the first engine: requests that waited there for a second were expected to
/// have their first event within a tenth of that.
#[test]
fn queue_of_the_first_engine_delays_the_expected_first_event() {
    let (mut fleet, keys) = loaded_chain(60.0);
    let without = expected_first_ms(&fleet);
    let first = fleet.get_mut(keys[0]).expect("engine exists");
    first.queues.record(20, cx(&[]).now);
    // 40 run for 3 s each, so 20 of them end within 1.5 s.
    let with = expected_first_ms(&fleet);
    assert!((1_400.0..1_600.0).contains(&(with - without)), "{with}");
}

#[test]
fn outdated_queue_length_delays_nothing() {
    let (mut fleet, keys) = loaded_chain(60.0);
    let without = expected_first_ms(&fleet);
    let first = fleet.get_mut(keys[0]).expect("engine exists");
    first.queues.record(20, Instant::ZERO);
    assert_eq!(expected_first_ms(&fleet), without);
}

/// Later engines refuse requests without capacity for them, so an accepted request has not waited there.
#[test]
fn lack_of_capacity_on_later_engines_does_not_delay_the_expected_first_event() {
    let (mut fleet, keys) = loaded_chain(20.0);
    let without = expected_first_ms(&fleet);
    let last = fleet.get_mut(keys[3]).expect("engine exists");
    last.remote_tokens *= 1.3 * 18_700.0 / last.remote_tokens;
    let with = expected_first_ms(&fleet);
    assert!((with - without).abs() < 1.0, "{without}, {with}");
}
