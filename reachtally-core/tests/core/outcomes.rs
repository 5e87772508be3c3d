//! "Not run" is true, unknown is said where it is, and refusals come at once.

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
fn an_unknown_model_is_refused_as_not_run() {
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
fn an_account_over_its_limit_is_refused_and_another_is_served() {
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
    assert_whole(&fabric, other, 5);
}

#[test]
fn without_a_live_chain_the_request_is_refused_at_once() {
    let mut fabric = fabric(1);
    for replica in 0..2 {
        kill(&mut fabric, &engine_url(0, replica));
    }
    let key = fabric.ask(0, completion(5));
    fabric.run_for(SECOND / 10);
    // Both engines refused the connection, so nothing ran and the chain is gone.
    assert_eq!(end(&fabric, 0, key), Some(&End::NotRun(Refusal::NoTarget)));
    assert_eq!(steps_run(&fabric), 0);
    let later = fabric.ask(0, completion(5));
    assert_eq!(
        end(&fabric, 0, later),
        Some(&End::NotRun(Refusal::NoTarget))
    );
}

#[test]
fn a_first_stage_that_refuses_leads_to_another_chain() {
    let mut fabric = fabric(1);
    for replica in 0..2 {
        let engine = fabric
            .engines
            .get_mut(&engine_url(0, replica))
            .expect("declared");
        engine.behave(&[Behaviour::Refuse]);
    }
    behave(&mut fabric, &engine_url(0, 1), &[]);
    let key = fabric.ask(0, completion(5));
    fabric.run_for(5 * SECOND);
    assert_whole(&fabric, key, 5);
}

#[test]
fn a_deadline_that_passes_while_it_runs_ends_as_unknown() {
    let mut fabric = fabric(1);
    let mut ask = completion(30);
    ask.patience = SECOND / 5;
    let key = fabric.ask(0, ask);
    fabric.run_for(SECOND);
    assert_eq!(end(&fabric, 0, key), Some(&End::Unknown(Unknown::Deadline)));
}

#[test]
fn a_repeatable_call_is_sent_again_when_its_answer_is_lost() {
    let mut fabric = fabric(1);
    for instance in 0..2 {
        let url = service_url(LOOKUP, instance);
        service(&mut fabric, &url).behave(&[Behaviour::Lose]);
    }
    let key = fabric.ask(0, call(LOOKUP, None, "a"));
    fabric.run_for(SECOND);
    // Both instances lost their first answer; there is no third to try.
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
fn a_call_that_may_not_be_repeated_is_sent_once_when_its_answer_is_lost() {
    let mut fabric = fabric(1);
    for instance in 0..2 {
        let url = service_url(ORDERS, instance);
        service(&mut fabric, &url).behave(&[Behaviour::Lose]);
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
fn a_call_that_never_started_is_sent_to_another_instance() {
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
fn a_call_that_no_instance_takes_is_refused_as_not_run_and_may_be_tried_again() {
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
fn a_storm_of_lost_answers_is_bounded_by_the_retry_budget() {
    let mut fabric = fabric(1);
    for instance in 0..2 {
        let url = service_url(LOOKUP, instance);
        service(&mut fabric, &url).behave(&[Behaviour::Lose; 200]);
    }
    let asked = 50;
    for _ in 0..asked {
        fabric.ask(0, call(LOOKUP, None, "a"));
    }
    fabric.run_for(5 * SECOND);
    let counters = world(&fabric).counters;
    // The first ten retries are saved up; nothing succeeds, so no more are earned.
    assert_eq!(counters.service_retries, 10);
    assert!(counters.retries_denied > 0);
    assert!(counters.service_calls <= asked + 10);
}

#[test]
fn a_retry_waits_a_little_and_goes_to_another_instance() {
    let mut fabric = fabric(1);
    let first = service_url(LOOKUP, 0);
    service(&mut fabric, &first).behave(&[Behaviour::Lose]);
    let second = service_url(LOOKUP, 1);
    service(&mut fabric, &second).behave(&[Behaviour::Lose]);
    service(&mut fabric, &second).up = false;
    let key = fabric.ask(0, call(LOOKUP, None, "a"));
    fabric.run_for(SECOND / 200);
    assert_eq!(end(&fabric, 0, key), None);
    service(&mut fabric, &second).up = true;
    service(&mut fabric, &second).behave(&[]);
    fabric.run_for(SECOND);
    assert_eq!(
        end(&fabric, 0, key),
        Some(&End::Answered("done new".to_owned()))
    );
}
