//! Stages that die, hang, slow down or answer oddly: every layer once a token, the whole answer.

use std::time::Duration;

use reachtally_core::life::Unknown;
use reachtally_core::{Event, Limits};
use reachtally_standin::fabric::{Behaviour, End};

use crate::setup::*;

const TOKENS: u32 = 30;
/// Tokens of a request that outlives several deaths.
const LONG: u32 = 80;
/// Time after which about ten tokens have come.
const HALF_WAY: Duration = Duration::from_millis(400);

#[test]
fn without_faults_the_answer_is_the_models() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(5 * SECOND);
    assert_whole(&fabric, key, TOKENS);
    assert_eq!(shifts(&fabric), 0);
}

#[test]
fn a_stage_that_dies_is_replaced_by_replay_of_its_own_inputs() {
    for stage in 0..STAGES {
        let mut fabric = fabric(1);
        let key = fabric.ask(0, completion(TOKENS));
        fabric.run_for(HALF_WAY);
        let url = serving(&fabric, stage);
        kill(&mut fabric, &url);
        fabric.run_for(5 * SECOND);
        assert_whole(&fabric, key, TOKENS);
        assert_eq!(world(&fabric).counters.restored_by_replay, 1);
        assert_eq!(world(&fabric).counters.restored_by_prefill, 0);
    }
}

#[test]
fn a_stage_that_dies_during_the_prompt_is_replaced() {
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
    assert_whole(&fabric, key, TOKENS);
}

#[test]
fn a_stage_whose_inputs_were_not_kept_is_restored_by_prefill() {
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
    assert_whole(&fabric, key, TOKENS);
    assert_eq!(world(&fabric).counters.restored_by_prefill, 1);
    assert_eq!(world(&fabric).replay_buffer_bytes(), 0);
}

#[test]
fn a_stage_that_answers_nothing_is_replaced_after_its_time_out() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(HALF_WAY);
    let url = serving(&fabric, 1);
    let silent = [Behaviour::Silent; 4];
    behave(&mut fabric, &url, &silent);
    fabric.run_for(5 * SECOND);
    assert_whole(&fabric, key, TOKENS);
    assert_eq!(shifts(&fabric), 1);
}

#[test]
fn a_stage_at_half_its_speed_is_not_shifted() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(HALF_WAY);
    for engine in fabric.engines.values_mut() {
        engine.slow = 2.0;
    }
    fabric.run_for(10 * SECOND);
    assert_whole(&fabric, key, TOKENS);
    assert_eq!(shifts(&fabric), 0);
}

#[test]
fn a_doubled_answer_is_taken_once() {
    let mut fabric = fabric(1);
    let double = [Behaviour::Double; 40];
    for engine in fabric.engines.values_mut() {
        engine.behave(&double);
    }
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(5 * SECOND);
    assert_whole(&fabric, key, TOKENS);
    assert_eq!(
        world(&fabric).counters.results_dropped,
        u64::from(TOKENS * STAGES)
    );
}

#[test]
fn an_answer_that_comes_after_the_shift_is_dropped() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(HALF_WAY);
    let url = serving(&fabric, 2);
    let late = [Behaviour::Late(Duration::from_millis(700))];
    behave(&mut fabric, &url, &late);
    fabric.run_for(5 * SECOND);
    assert_whole(&fabric, key, TOKENS);
    assert_eq!(shifts(&fabric), 1);
    assert_eq!(world(&fabric).counters.results_dropped, 1);
}

#[test]
fn a_lost_answer_moves_the_stage_without_running_a_layer_twice_in_the_lineage() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(HALF_WAY);
    let url = serving(&fabric, 0);
    behave(&mut fabric, &url, &[Behaviour::Lose]);
    fabric.run_for(5 * SECOND);
    assert_whole(&fabric, key, TOKENS);
    assert_eq!(shifts(&fabric), 1);
}

#[test]
fn two_stages_that_die_at_once_are_both_replaced() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(HALF_WAY);
    for stage in [0, 2] {
        let url = serving(&fabric, stage);
        kill(&mut fabric, &url);
    }
    fabric.run_for(5 * SECOND);
    assert_whole(&fabric, key, TOKENS);
    assert_eq!(shifts(&fabric), 2);
}

#[test]
fn a_replacement_that_dies_too_is_replaced_by_the_first_engine_come_back() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(LONG));
    fabric.run_for(HALF_WAY);
    let first = serving(&fabric, 1);
    kill(&mut fabric, &first);
    fabric.run_for(Duration::from_millis(100));
    revive(&mut fabric, &first);
    fabric.run_for(SECOND / 2);
    let second = serving(&fabric, 1);
    assert_ne!(first, second);
    kill(&mut fabric, &second);
    fabric.run_for(5 * SECOND);
    let answered = &fabric.nodes[0].answered[&key];
    assert_eq!(answered.tokens.len(), LONG as usize, "{:?}", answered.end);
    assert_eq!(shifts(&fabric), 2);
}

/// What users would see: one request takes engine after engine along, each with all that runs there, for as long as its caller waits. An end
/// was charged to the engine alone, and what the request had done was not counted.
#[test]
fn a_step_that_engines_fall_under_one_after_the_other_ends_its_request() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(LONG));
    fabric.run_for(HALF_WAY);
    for replica in 0..2 {
        let lost = [Behaviour::Lose; 20];
        behave(&mut fabric, &engine_url(1, replica), &lost);
    }
    fabric.run_for(10 * SECOND);
    assert_eq!(
        end(&fabric, 0, key),
        Some(&End::Unknown(Unknown::EnginesLost))
    );
    assert_eq!(world(&fabric).counters.engine_calls_failed, 3);
}

#[test]
fn engines_that_are_lost_at_different_steps_are_no_fault_of_the_request() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(LONG));
    for _ in 0..5 {
        fabric.run_for(Duration::from_millis(300));
        let url = serving(&fabric, 1);
        behave(&mut fabric, &url, &[Behaviour::Lose]);
    }
    fabric.run_for(10 * SECOND);
    assert_whole(&fabric, key, LONG);
}

#[test]
fn without_any_engine_left_the_outcome_is_unknown_once_the_wait_is_over() {
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
    let ended_at = fabric.nodes[0].answered[&key].ended_at.expect("it ended");
    assert!(ended_at.since(died_at) < limits.replacement_wait + SECOND);
}

#[test]
fn an_engine_that_comes_back_in_time_takes_the_request_up_again() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(TOKENS));
    fabric.run_for(HALF_WAY);
    for replica in 0..2 {
        kill(&mut fabric, &engine_url(1, replica));
    }
    fabric.run_for(2 * SECOND);
    revive(&mut fabric, &engine_url(1, 0));
    fabric.run_for(10 * SECOND);
    let answered = &fabric.nodes[0].answered[&key];
    assert_eq!(answered.tokens.len(), TOKENS as usize, "{:?}", answered.end);
}

#[test]
fn a_caller_that_hangs_up_frees_every_stage() {
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
fn a_slow_caller_pauses_only_its_own_request() {
    let limits = Limits {
        caller_window: 4,
        ..Limits::default()
    };
    let mut fabric = fabric_with(1, &limits);
    fabric.nodes[0].callers_take = false;
    let slow = fabric.ask(0, completion(TOKENS));
    fabric.run_for(3 * SECOND);
    assert_eq!(fabric.nodes[0].answered[&slow].tokens.len(), 4);
    fabric.nodes[0].callers_take = true;
    let quick = fabric.ask(0, completion(TOKENS));
    fabric.run_for(5 * SECOND);
    assert_whole(&fabric, quick, TOKENS);
    assert_eq!(fabric.nodes[0].answered[&slow].tokens.len(), 4);
    fabric.handle(
        0,
        Event::Consumed {
            request: slow,
            tokens: 4,
        },
    );
    fabric.run_for(5 * SECOND);
    assert_whole(&fabric, slow, TOKENS);
}

#[test]
fn many_requests_crossing_each_other_each_get_their_own_answer() {
    let mut fabric = fabric(1);
    let keys: Vec<_> = (0..20)
        .map(|n| fabric.ask(0, completion(TOKENS + n)))
        .collect();
    fabric.run_for(HALF_WAY);
    let url = engine_url(1, 0);
    kill(&mut fabric, &url);
    fabric.run_for(20 * SECOND);
    for (n, key) in keys.into_iter().enumerate() {
        assert_whole(&fabric, key, TOKENS + n as u32);
    }
}

fn with_standbys() -> Limits {
    Limits {
        standby_positions: 16,
        ..Limits::default()
    }
}

#[test]
fn a_stage_with_a_standby_goes_on_there() {
    for stage in 0..STAGES {
        let mut fabric = fabric_with(1, &with_standbys());
        let key = fabric.ask(0, completion(LONG));
        fabric.run_for(Duration::from_millis(1200));
        let serving = world(&fabric)
            .serving(key, stage as usize)
            .expect("it runs");
        let url = format!("http://{serving}");
        kill(&mut fabric, &url);
        fabric.run_for(10 * SECOND);
        assert_whole(&fabric, key, LONG);
        assert_eq!(world(&fabric).counters.restored_from_standby, 1);
        assert_eq!(world(&fabric).counters.restored_by_prefill, 0);
    }
}

#[test]
fn a_standby_that_dies_first_costs_nothing_but_its_lead() {
    let mut fabric = fabric_with(1, &with_standbys());
    let key = fabric.ask(0, completion(LONG));
    fabric.run_for(Duration::from_millis(1200));
    let serving = world(&fabric).serving(key, 1).expect("it runs").to_owned();
    let standby = if serving == "e10" { "e11" } else { "e10" };
    let standby = format!("http://{standby}");
    kill(&mut fabric, &standby);
    fabric.run_for(SECOND);
    revive(&mut fabric, &standby);
    fabric.run_for(SECOND / 2);
    let serving = format!("http://{serving}");
    kill(&mut fabric, &serving);
    fabric.run_for(10 * SECOND);
    assert_whole(&fabric, key, LONG);
}

#[test]
fn a_stage_that_dies_at_any_moment_is_replaced() {
    // Among these moments are those at which a span is on its way to the standby.
    for moment in 0..80 {
        let mut fabric = fabric_with(1, &with_standbys());
        let key = fabric.ask(0, completion(LONG));
        fabric.run_for(Duration::from_millis(500 + 5 * moment));
        let serving = world(&fabric).serving(key, 1).expect("it runs").to_owned();
        let url = format!("http://{serving}");
        kill(&mut fabric, &url);
        fabric.run_for(10 * SECOND);
        assert_whole(&fabric, key, LONG);
        assert_eq!(shifts(&fabric), 1);
    }
}

#[test]
fn standbys_are_released_with_their_request() {
    let mut fabric = fabric_with(1, &with_standbys());
    let key = fabric.ask(0, completion(LONG));
    fabric.run_for(10 * SECOND);
    assert_whole(&fabric, key, LONG);
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
fn engines_in_use_by_half_take_no_standby() {
    let mut fabric = fabric_with(1, &with_standbys());
    // Each engine holds 64 requests, so neither of a pair holds fewer than 56 of these.
    for _ in 0..120 {
        fabric.ask(0, completion(LONG));
    }
    fabric.run_for(2 * SECOND);
    assert_eq!(world(&fabric).counters.standby_spans, 0);
}

#[test]
fn over_the_bound_the_inputs_that_a_standby_covers_go_first() {
    // Inputs of 64 bytes, two stages that keep them: all of them would take 11 KiB.
    let limits = Limits {
        replay_bytes: 6 << 10,
        ..with_standbys()
    };
    let mut fabric = fabric_with(1, &limits);
    let key = fabric.ask(0, completion(LONG));
    fabric.run_for(Duration::from_millis(2200));
    assert!(
        world(&fabric).replay_buffer_bytes() > 0,
        "everything was dropped"
    );
    assert!(world(&fabric).replay_buffer_bytes() <= limits.replay_bytes);
    let serving = world(&fabric).serving(key, 1).expect("it runs").to_owned();
    let url = format!("http://{serving}");
    kill(&mut fabric, &url);
    fabric.run_for(10 * SECOND);
    assert_whole(&fabric, key, LONG);
    assert_eq!(world(&fabric).counters.restored_from_standby, 1);
    assert_eq!(world(&fabric).replay_buffer_bytes(), 0);
}
