//! Tests of outcomes: requests refused as "not run" did not run, unknown outcomes are reported as such, and refusals
//! are immediate.

use reachtally_core::life::{Refusal, Unknown};
use reachtally_core::request::Work;
use reachtally_standin::fabric::{Behaviour, End};

use crate::setup::*;

fn steps_run(fabric: &reachtally_standin::fabric::Fabric) -> usize {
    let runs = fabric
        .engines
        .values()
        .map(|engine| engine.state.requests_held());
    runs.sum()
}

#[test]
fn unknown_model_is_refused_as_not_run() {
    let mut fabric = fabric(1);
    let mut ask = completion(1);
    if let Work::Completion(completion) = &mut ask.work {
        completion.model = "other".to_owned();
    }
    let key = fabric.ask(0, ask);
    assert_eq!(
        end(&fabric, 0, key),
        Some(&End::NotRun(Refusal::UnknownModel))
    );
}

#[test]
fn account_over_its_limit_is_refused_while_others_are_served() {
    let mut fabric = fabric(1);
    let mut ask = completion(5);
    ask.account = "small".to_owned();
    fabric.ask(0, ask.clone());
    let refused = fabric.ask(0, ask);
    let other = fabric.ask(0, completion(5));
    assert_eq!(
        end(&fabric, 0, refused),
        Some(&End::NotRun(Refusal::AccountLimit))
    );
    fabric.run_for(5 * SECOND);
    assert_complete(&fabric, other, 5);
}

#[test]
fn request_without_a_live_chain_is_refused_at_once() {
    let mut fabric = fabric(1);
    for replica in 0..2 {
        kill(&mut fabric, &engine_url(0, replica));
    }
    let key = fabric.ask(0, completion(5));
    fabric.run_for(SECOND / 10);
    // Both engines refused the connection, so nothing ran and no chain is left.
    assert_eq!(end(&fabric, 0, key), Some(&End::NotRun(Refusal::NoTarget)));
    assert_eq!(steps_run(&fabric), 0);
    let later = fabric.ask(0, completion(5));
    assert_eq!(
        end(&fabric, 0, later),
        Some(&End::NotRun(Refusal::NoTarget))
    );
}

#[test]
fn refusal_of_the_first_stage_selects_another_chain() {
    let mut fabric = fabric(1);
    for replica in 0..2 {
        let engine = fabric
            .engines
            .get_mut(&engine_url(0, replica))
            .expect("declared");
        engine.set_behaviours(&[Behaviour::Refuse]);
    }
    set_behaviours(&mut fabric, &engine_url(0, 1), &[]);
    let key = fabric.ask(0, completion(5));
    fabric.run_for(5 * SECOND);
    assert_complete(&fabric, key, 5);
}

#[test]
fn deadline_during_the_run_ends_as_unknown() {
    let mut fabric = fabric(1);
    let mut ask = completion(30);
    ask.request_timeout = SECOND / 5;
    let key = fabric.ask(0, ask);
    fabric.run_for(SECOND);
    assert_eq!(end(&fabric, 0, key), Some(&End::Unknown(Unknown::Deadline)));
}

#[test]
fn repeatable_call_with_a_lost_answer_is_retried() {
    let mut fabric = fabric(1);
    for instance in 0..2 {
        let url = service_url(LOOKUP, instance);
        service(&mut fabric, &url).set_behaviours(&[Behaviour::Lose]);
    }
    let key = fabric.ask(0, call(LOOKUP, None, "a"));
    fabric.run_for(SECOND);
    // Both instances lost their first answer, and there is no third one.
    assert_eq!(
        end(&fabric, 0, key),
        Some(&End::Unknown(Unknown::AnswerLost))
    );
    let again = fabric.ask(0, call(LOOKUP, None, "a"));
    fabric.run_for(SECOND);
    assert_eq!(
        end(&fabric, 0, again),
        Some(&End::Answered("done new".to_owned()))
    );
    assert_eq!(runs(&fabric, ""), 3);
}

#[test]
fn non_repeatable_call_with_a_lost_answer_is_sent_once() {
    let mut fabric = fabric(1);
    for instance in 0..2 {
        let url = service_url(ORDERS, instance);
        service(&mut fabric, &url).set_behaviours(&[Behaviour::Lose]);
    }
    let key = fabric.ask(0, call(ORDERS, None, "a"));
    fabric.run_for(SECOND);
    assert_eq!(
        end(&fabric, 0, key),
        Some(&End::Unknown(Unknown::AnswerLost))
    );
    assert_eq!(runs(&fabric, ""), 1);
}

#[test]
fn call_that_never_started_is_sent_to_another_instance() {
    let mut fabric = fabric(1);
    service(&mut fabric, &service_url(ORDERS, 0)).up = false;
    let key = fabric.ask(0, call(ORDERS, Some("k"), "a"));
    fabric.run_for(SECOND);
    assert_eq!(
        end(&fabric, 0, key),
        Some(&End::Answered("done new".to_owned()))
    );
    assert_eq!(runs(&fabric, "k"), 1);
}

#[test]
fn call_refused_by_all_instances_is_not_run_and_may_be_retried() {
    let mut fabric = fabric(1);
    for instance in 0..2 {
        service(&mut fabric, &service_url(ORDERS, instance)).up = false;
    }
    let key = fabric.ask(0, call(ORDERS, Some("k"), "a"));
    fabric.run_for(SECOND / 10);
    assert_eq!(
        end(&fabric, 0, key),
        Some(&End::NotRun(Refusal::NeverStarted))
    );
    for instance in 0..2 {
        service(&mut fabric, &service_url(ORDERS, instance)).up = true;
    }
    fabric.run_for(5 * SECOND);
    let again = fabric.ask(0, call(ORDERS, Some("k"), "a"));
    fabric.run_for(SECOND);
    assert_eq!(
        end(&fabric, 0, again),
        Some(&End::Answered("done new".to_owned()))
    );
    assert_eq!(runs(&fabric, "k"), 1);
}

#[test]
fn retries_of_many_lost_answers_stay_within_the_retry_budget() {
    let mut fabric = fabric(1);
    for instance in 0..2 {
        let url = service_url(LOOKUP, instance);
        service(&mut fabric, &url).set_behaviours(&[Behaviour::Lose; 200]);
    }
    let asked = 50;
    for _ in 0..asked {
        fabric.ask(0, call(LOOKUP, None, "a"));
    }
    fabric.run_for(5 * SECOND);
    let counters = world(&fabric).counters;
    // The budget starts with ten retries. No request succeeds, so no more are earned.
    assert_eq!(counters.service_retries, 10);
    assert!(counters.retries_denied > 0);
    assert!(counters.service_calls <= asked + 10);
}

#[test]
fn retry_is_delayed_and_goes_to_another_instance() {
    let mut fabric = fabric(1);
    let first = service_url(LOOKUP, 0);
    service(&mut fabric, &first).set_behaviours(&[Behaviour::Lose]);
    let second = service_url(LOOKUP, 1);
    service(&mut fabric, &second).set_behaviours(&[Behaviour::Lose]);
    service(&mut fabric, &second).up = false;
    let key = fabric.ask(0, call(LOOKUP, None, "a"));
    fabric.run_for(SECOND / 200);
    assert_eq!(end(&fabric, 0, key), None);
    service(&mut fabric, &second).up = true;
    service(&mut fabric, &second).set_behaviours(&[]);
    fabric.run_for(SECOND);
    assert_eq!(
        end(&fabric, 0, key),
        Some(&End::Answered("done new".to_owned()))
    );
}
