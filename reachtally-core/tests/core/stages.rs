//! Tests of stages that crash, hang, slow down or answer incorrectly: each layer must run once per token, and the
//! answer must be complete.

use std::time::Duration;

use reachtally_core::life::Unknown;
use reachtally_core::{Event, Limits};
use reachtally_standin::fabric::{Behaviour, End};

use crate::setup::*;

const TOKENS: u32 = 30;
/// Tokens of a request that outlasts several engine crashes.
const LONG_TOKENS: u32 = 80;
/// Time after which about ten tokens have been generated.
const HALF_WAY: Duration = Duration::from_millis(400);

#[test]
fn answer_without_faults_equals_that_of_the_model() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(5 * SECOND);
    assert_complete(&fabric, key, TOKENS);
    assert_eq!(stage_moves(&fabric), 0);
}

#[test]
fn crashed_stage_is_restored_by_replay_of_its_inputs() {
    for stage in 0..STAGES {
        let mut fabric = fabric(1);
        let key = fabric.ask(0, completion(TOKENS));
        fabric.run_for(HALF_WAY);
        let url = serving(&fabric, stage);
        kill(&mut fabric, &url);
        fabric.run_for(5 * SECOND);
        assert_complete(&fabric, key, TOKENS);
        assert_eq!(world(&fabric).counters.restored_by_replay, 1);
        assert_eq!(world(&fabric).counters.restored_by_prefill, 0);
    }
}

#[test]
fn stage_that_crashes_during_prefill_is_replaced() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(Duration::from_millis(15));
    for replica in 0..2 {
        if fabric.engines[&engine_url(1, replica)]
            .state
            .requests_held()
            == 0
        {
            continue;
        }
        kill(&mut fabric, &engine_url(1, replica));
    }
    fabric.run_for(5 * SECOND);
    assert_complete(&fabric, key, TOKENS);
}

#[test]
fn stage_without_kept_inputs_is_restored_by_prefill() {
    let limits = Limits {
        replay_bytes: 0,
        ..Limits::default()
    };
    let mut fabric = fabric_with(1, &limits);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(HALF_WAY);
    let url = serving(&fabric, 1);
    kill(&mut fabric, &url);
    fabric.run_for(5 * SECOND);
    assert_complete(&fabric, key, TOKENS);
    assert_eq!(world(&fabric).counters.restored_by_prefill, 1);
    assert_eq!(world(&fabric).replay_buffer_bytes(), 0);
}

#[test]
fn silent_stage_is_replaced_after_its_timeout() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(HALF_WAY);
    let url = serving(&fabric, 1);
    let silent = [Behaviour::Silent; 4];
    set_behaviours(&mut fabric, &url, &silent);
    fabric.run_for(5 * SECOND);
    assert_complete(&fabric, key, TOKENS);
    assert_eq!(stage_moves(&fabric), 1);
}

#[test]
fn stage_at_half_speed_is_not_moved() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(HALF_WAY);
    for engine in fabric.engines.values_mut() {
        engine.slow = 2.0;
    }
    fabric.run_for(10 * SECOND);
    assert_complete(&fabric, key, TOKENS);
    assert_eq!(stage_moves(&fabric), 0);
}

#[test]
fn duplicate_answer_is_accepted_once() {
    let mut fabric = fabric(1);
    let double = [Behaviour::Double; 40];
    for engine in fabric.engines.values_mut() {
        engine.set_behaviours(&double);
    }
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(5 * SECOND);
    assert_complete(&fabric, key, TOKENS);
    assert_eq!(
        world(&fabric).counters.results_dropped,
        u64::from(TOKENS * STAGES)
    );
}

#[test]
fn answer_after_the_stage_moved_is_dropped() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(HALF_WAY);
    let url = serving(&fabric, 2);
    let late = [Behaviour::Late(Duration::from_millis(700))];
    set_behaviours(&mut fabric, &url, &late);
    fabric.run_for(5 * SECOND);
    assert_complete(&fabric, key, TOKENS);
    assert_eq!(stage_moves(&fabric), 1);
    assert_eq!(world(&fabric).counters.results_dropped, 1);
}

#[test]
fn lost_answer_moves_the_stage_without_repeating_a_layer_in_the_lineage() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(HALF_WAY);
    let url = serving(&fabric, 0);
    set_behaviours(&mut fabric, &url, &[Behaviour::Lose]);
    fabric.run_for(5 * SECOND);
    assert_complete(&fabric, key, TOKENS);
    assert_eq!(stage_moves(&fabric), 1);
}

#[test]
fn two_stages_that_crash_at_once_are_both_replaced() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(HALF_WAY);
    for stage in [0, 2] {
        let url = serving(&fabric, stage);
        kill(&mut fabric, &url);
    }
    fabric.run_for(5 * SECOND);
    assert_complete(&fabric, key, TOKENS);
    assert_eq!(stage_moves(&fabric), 2);
}

#[test]
fn crashed_replacement_is_replaced_by_the_restarted_first_engine() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(LONG_TOKENS));
    fabric.run_for(HALF_WAY);
    let first = serving(&fabric, 1);
    kill(&mut fabric, &first);
    fabric.run_for(Duration::from_millis(100));
    restart_empty(&mut fabric, &first);
    fabric.run_for(SECOND / 2);
    let second = serving(&fabric, 1);
    assert_ne!(first, second);
    kill(&mut fabric, &second);
    fabric.run_for(5 * SECOND);
    let answered = &fabric.nodes[0].answered[&key];
    assert_eq!(
        answered.tokens.len(),
        LONG_TOKENS as usize,
        "{:?}",
        answered.end
    );
    assert_eq!(stage_moves(&fabric), 2);
}

/// Guards against a request that crashes engine after engine, each with all of its other requests, until the caller
/// gives up: failures were attributed only to the engine and not counted per request.
#[test]
fn step_that_crashes_several_engines_ends_its_request() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(LONG_TOKENS));
    fabric.run_for(HALF_WAY);
    for replica in 0..2 {
        let lost = [Behaviour::Lose; 20];
        set_behaviours(&mut fabric, &engine_url(1, replica), &lost);
    }
    fabric.run_for(10 * SECOND);
    assert_eq!(
        end(&fabric, 0, key),
        Some(&End::Unknown(Unknown::EnginesLost))
    );
    assert_eq!(world(&fabric).counters.engine_calls_failed, 3);
}

#[test]
fn engines_lost_at_different_steps_are_not_attributed_to_the_request() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(LONG_TOKENS));
    for _ in 0..5 {
        fabric.run_for(Duration::from_millis(300));
        let url = serving(&fabric, 1);
        set_behaviours(&mut fabric, &url, &[Behaviour::Lose]);
    }
    fabric.run_for(10 * SECOND);
    assert_complete(&fabric, key, LONG_TOKENS);
}

#[test]
fn outcome_is_unknown_if_no_replacement_appears_in_time() {
    let limits = Limits::default();
    let mut fabric = fabric_with(1, &limits);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(HALF_WAY);
    let died_at = fabric.now;
    for replica in 0..2 {
        kill(&mut fabric, &engine_url(1, replica));
    }
    fabric.run_for(limits.replacement_wait / 2);
    assert_eq!(end(&fabric, 0, key), None);
    fabric.run_for(limits.replacement_wait);
    assert_eq!(
        end(&fabric, 0, key),
        Some(&End::Unknown(Unknown::NoReplacement))
    );
    let ended_at = fabric.nodes[0].answered[&key]
        .ended_at
        .expect("request has ended");
    assert!(ended_at.since(died_at) < limits.replacement_wait + SECOND);
}

#[test]
fn restarted_engine_resumes_the_request_in_time() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(HALF_WAY);
    for replica in 0..2 {
        kill(&mut fabric, &engine_url(1, replica));
    }
    fabric.run_for(2 * SECOND);
    restart_empty(&mut fabric, &engine_url(1, 0));
    fabric.run_for(10 * SECOND);
    let answered = &fabric.nodes[0].answered[&key];
    assert_eq!(answered.tokens.len(), TOKENS as usize, "{:?}", answered.end);
}

#[test]
fn disconnected_caller_frees_every_stage() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(HALF_WAY);
    fabric.handle(0, Event::Disconnected(key));
    fabric.run_for(SECOND);
    assert_eq!(end(&fabric, 0, key), Some(&End::Abandoned));
    let held = fabric
        .engines
        .values()
        .map(|engine| engine.state.requests_held());
    assert_eq!(held.sum::<usize>(), 0);
    assert!(world(&fabric).is_idle());
    assert_eq!(world(&fabric).replay_buffer_bytes(), 0);
}

#[test]
fn slow_caller_pauses_only_its_own_request() {
    let limits = Limits {
        caller_window: 4,
        ..Limits::default()
    };
    let mut fabric = fabric_with(1, &limits);
    fabric.nodes[0].auto_consume = false;
    let slow = fabric.ask(0, completion(TOKENS));
    fabric.run_for(3 * SECOND);
    assert_eq!(fabric.nodes[0].answered[&slow].tokens.len(), 4);
    fabric.nodes[0].auto_consume = true;
    let quick = fabric.ask(0, completion(TOKENS));
    fabric.run_for(5 * SECOND);
    assert_complete(&fabric, quick, TOKENS);
    assert_eq!(fabric.nodes[0].answered[&slow].tokens.len(), 4);
    fabric.handle(
        0,
        Event::Consumed {
            request: slow,
            tokens: 4,
        },
    );
    fabric.run_for(5 * SECOND);
    assert_complete(&fabric, slow, TOKENS);
}

#[test]
fn concurrent_requests_each_get_their_own_answer() {
    let mut fabric = fabric(1);
    let keys: Vec<_> = (0..20)
        .map(|n| fabric.ask(0, completion(TOKENS + n)))
        .collect();
    fabric.run_for(HALF_WAY);
    let url = engine_url(1, 0);
    kill(&mut fabric, &url);
    fabric.run_for(20 * SECOND);
    for (n, key) in keys.into_iter().enumerate() {
        assert_complete(&fabric, key, TOKENS + n as u32);
    }
}

fn with_standbys() -> Limits {
    Limits {
        standby_positions: 16,
        ..Limits::default()
    }
}

#[test]
fn stage_with_a_standby_continues_on_it() {
    for stage in 0..STAGES {
        let mut fabric = fabric_with(1, &with_standbys());
        let key = fabric.ask(0, completion(LONG_TOKENS));
        fabric.run_for(Duration::from_millis(1200));
        let serving = world(&fabric)
            .serving(key, stage as usize)
            .expect("request runs");
        let url = format!("http://{serving}");
        kill(&mut fabric, &url);
        fabric.run_for(10 * SECOND);
        assert_complete(&fabric, key, LONG_TOKENS);
        assert_eq!(world(&fabric).counters.restored_from_standby, 1);
        assert_eq!(world(&fabric).counters.restored_by_prefill, 0);
    }
}

#[test]
fn crash_of_the_standby_before_its_stage_loses_no_output() {
    let mut fabric = fabric_with(1, &with_standbys());
    let key = fabric.ask(0, completion(LONG_TOKENS));
    fabric.run_for(Duration::from_millis(1200));
    let serving = world(&fabric)
        .serving(key, 1)
        .expect("request runs")
        .to_owned();
    let standby = if serving == "e10" { "e11" } else { "e10" };
    let standby = format!("http://{standby}");
    kill(&mut fabric, &standby);
    fabric.run_for(SECOND);
    restart_empty(&mut fabric, &standby);
    fabric.run_for(SECOND / 2);
    let serving = format!("http://{serving}");
    kill(&mut fabric, &serving);
    fabric.run_for(10 * SECOND);
    assert_complete(&fabric, key, LONG_TOKENS);
}

#[test]
fn stage_that_crashes_at_any_moment_is_replaced() {
    // Some of these moments fall while a span is being sent to the standby.
    for moment in 0..80 {
        let mut fabric = fabric_with(1, &with_standbys());
        let key = fabric.ask(0, completion(LONG_TOKENS));
        fabric.run_for(Duration::from_millis(500 + 5 * moment));
        let serving = world(&fabric)
            .serving(key, 1)
            .expect("request runs")
            .to_owned();
        let url = format!("http://{serving}");
        kill(&mut fabric, &url);
        fabric.run_for(10 * SECOND);
        assert_complete(&fabric, key, LONG_TOKENS);
        assert_eq!(stage_moves(&fabric), 1);
    }
}

#[test]
fn standbys_are_released_at_the_end_of_their_request() {
    let mut fabric = fabric_with(1, &with_standbys());
    let key = fabric.ask(0, completion(LONG_TOKENS));
    fabric.run_for(10 * SECOND);
    assert_complete(&fabric, key, LONG_TOKENS);
    assert!(world(&fabric).counters.standby_spans > 0);
    let held = fabric
        .engines
        .values()
        .map(|engine| engine.state.requests_held());
    assert_eq!(held.sum::<usize>(), 0);
    let running = world(&fabric).targets.values().map(|target| target.running);
    assert_eq!(running.sum::<u32>(), 0);
}

#[test]
fn half_occupied_engines_accept_no_standby() {
    let mut fabric = fabric_with(1, &with_standbys());
    // Each engine holds 64 requests, so each engine of a pair holds at least 56 of these.
    for _ in 0..120 {
        fabric.ask(0, completion(LONG_TOKENS));
    }
    fabric.run_for(2 * SECOND);
    assert_eq!(world(&fabric).counters.standby_spans, 0);
}

#[test]
fn inputs_covered_by_a_standby_are_evicted_first() {
    // Inputs take 64 bytes and two stages keep them: all of them would take 11 KiB.
    let limits = Limits {
        replay_bytes: 6 << 10,
        ..with_standbys()
    };
    let mut fabric = fabric_with(1, &limits);
    let key = fabric.ask(0, completion(LONG_TOKENS));
    fabric.run_for(Duration::from_millis(2200));
    assert!(
        world(&fabric).replay_buffer_bytes() > 0,
        "everything was dropped"
    );
    assert!(world(&fabric).replay_buffer_bytes() <= limits.replay_bytes);
    let serving = world(&fabric)
        .serving(key, 1)
        .expect("request runs")
        .to_owned();
    let url = format!("http://{serving}");
    kill(&mut fabric, &url);
    fabric.run_for(10 * SECOND);
    assert_complete(&fabric, key, LONG_TOKENS);
    assert_eq!(world(&fabric).counters.restored_from_standby, 1);
    assert_eq!(world(&fabric).replay_buffer_bytes(), 0);
}
