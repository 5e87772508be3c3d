//! Tests that a request that may not be repeated runs at most once under any failure.

use std::time::Duration;

use reachtally_core::Limits;
use reachtally_core::claim::Entry;
use reachtally_core::life::{Refusal, Unknown};
use reachtally_standin::fabric::{Behaviour, End, Fabric};

use crate::setup::*;

fn order(key: &str) -> reachtally_core::request::NewRequest {
    call(ORDERS, Some(key), "ten pallets")
}

fn answered() -> End {
    End::Answered("done new".to_owned())
}

fn recorded() -> End {
    End::Recorded("done new".to_owned())
}

fn set_order_latency(fabric: &mut Fabric, time: Duration) {
    for instance in 0..2 {
        let url = service_url(ORDERS, instance);
        service(fabric, &url).time = time;
    }
}

#[test]
fn claimed_request_runs_once_and_retries_get_the_recorded_outcome() {
    let mut fabric = fabric(2);
    let first = fabric.ask(0, order("k"));
    fabric.run_for(SECOND);
    let same_box = fabric.ask(0, order("k"));
    let other_box = fabric.ask(1, order("k"));
    fabric.run_for(SECOND);
    assert_eq!(end(&fabric, 0, first), Some(&answered()));
    assert_eq!(end(&fabric, 0, same_box), Some(&recorded()));
    assert_eq!(end(&fabric, 1, other_box), Some(&recorded()));
    assert_eq!(runs(&fabric, "k"), 1);
}

#[test]
fn retry_during_the_first_run_waits_for_its_outcome() {
    let mut fabric = fabric(2);
    set_order_latency(&mut fabric, SECOND);
    let first = fabric.ask(0, order("k"));
    fabric.run_for(SECOND / 10);
    let same_box = fabric.ask(0, order("k"));
    let other_box = fabric.ask(1, order("k"));
    fabric.run_for(2 * SECOND);
    assert_eq!(end(&fabric, 0, first), Some(&answered()));
    assert_eq!(end(&fabric, 0, same_box), Some(&recorded()));
    assert_eq!(end(&fabric, 1, other_box), Some(&recorded()));
    assert_eq!(runs(&fabric, "k"), 1);
}

#[test]
fn concurrent_claims_of_two_boxes_run_the_request_once() {
    let mut fabric = fabric(2);
    let a = fabric.ask(0, order("k"));
    let b = fabric.ask(1, order("k"));
    fabric.run_for(2 * SECOND);
    let ends = [end(&fabric, 0, a), end(&fabric, 1, b)];
    assert!(ends.contains(&Some(&answered())), "{ends:?}");
    assert!(ends.contains(&Some(&recorded())), "{ends:?}");
    assert_eq!(runs(&fabric, "k"), 1);
}

#[test]
fn lost_append_answer_is_resolved_by_reading_the_log() {
    let mut fabric = fabric(1);
    fabric.log.lose_answers = 1;
    let key = fabric.ask(0, order("k"));
    fabric.run_for(SECOND);
    assert_eq!(end(&fabric, 0, key), Some(&answered()));
    assert_eq!(runs(&fabric, "k"), 1);
    let claims = fabric
        .log
        .claims
        .iter()
        .flat_map(|read| &read.record.entries);
    let claims = claims.filter(|entry| matches!(entry, Entry::Claim { .. }));
    assert_eq!(claims.count(), 1);
}

#[test]
fn append_without_effect_is_repeated() {
    let mut fabric = fabric(1);
    fabric.log.lose_appends = 2;
    let key = fabric.ask(0, order("k"));
    fabric.run_for(SECOND);
    assert_eq!(end(&fabric, 0, key), Some(&answered()));
    assert_eq!(runs(&fabric, "k"), 1);
}

#[test]
fn keyed_request_during_a_log_outage_is_refused_as_not_run_and_never_sent() {
    let mut fabric = fabric(1);
    fabric.log.down = true;
    let key = fabric.ask(0, order("k"));
    let wait = Limits::default().claim_wait;
    fabric.run_for(wait + SECOND);
    assert_eq!(
        end(&fabric, 0, key),
        Some(&End::NotRun(Refusal::ClaimUnconfirmed))
    );
    fabric.reconnect_log();
    fabric.run_for(5 * SECOND);
    assert_eq!(runs(&fabric, "k"), 0);
    let again = fabric.ask(0, order("k"));
    fabric.run_for(SECOND);
    assert_eq!(end(&fabric, 0, again), Some(&answered()));
    assert_eq!(runs(&fabric, "k"), 1);
}

#[test]
fn completions_without_a_key_are_served_while_the_log_is_down() {
    let mut fabric = fabric(1);
    fabric.log.down = true;
    let key = fabric.ask(0, completion(5));
    fabric.run_for(5 * SECOND);
    assert_complete(&fabric, key, 5);
}

#[test]
fn claim_appended_after_its_request_was_refused_is_released() {
    let mut fabric = fabric(2);
    fabric.log.delay = 8 * SECOND;
    let key = fabric.ask(0, order("k"));
    fabric.run_for(6 * SECOND);
    assert_eq!(
        end(&fabric, 0, key),
        Some(&End::NotRun(Refusal::ClaimUnconfirmed))
    );
    fabric.log.delay = Duration::ZERO;
    fabric.run_for(5 * SECOND);
    assert_eq!(runs(&fabric, "k"), 0);
    let again = fabric.ask(1, order("k"));
    fabric.run_for(2 * SECOND);
    assert_eq!(end(&fabric, 1, again), Some(&answered()));
    assert_eq!(runs(&fabric, "k"), 1);
}

#[test]
fn box_paused_between_claim_and_send_does_not_run_the_request_twice() {
    let mut fabric = fabric(2);
    let first = fabric.ask(0, order("k"));
    let wake = fabric.now + 30 * SECOND;
    fabric.pause(0, wake);
    fabric.run_for(SECOND);
    let retry = fabric.ask(1, order("k"));
    fabric.run_for(20 * SECOND);
    assert_eq!(
        end(&fabric, 1, retry),
        Some(&End::Unknown(Unknown::OwnedElsewhere))
    );
    fabric.run_for(20 * SECOND);
    assert!(end(&fabric, 0, first).is_some());
    assert!(runs(&fabric, "k") <= 1);
}

#[test]
fn crash_of_the_owner_leaves_the_outcome_unknown_without_takeover() {
    let mut fabric = fabric(2);
    set_order_latency(&mut fabric, SECOND);
    fabric.ask(0, order("k"));
    fabric.run_for(SECOND / 2);
    assert_eq!(runs(&fabric, "k"), 1);
    fabric.restart(0, 99, &Limits::default());
    let by_new_run = fabric.ask(0, order("k"));
    let by_other = fabric.ask(1, order("k"));
    fabric.run_for(10 * SECOND);
    let unknown = End::Unknown(Unknown::OwnedElsewhere);
    assert_eq!(end(&fabric, 0, by_new_run), Some(&unknown));
    assert_eq!(end(&fabric, 1, by_other), Some(&unknown));
    assert_eq!(runs(&fabric, "k"), 1);
}

#[test]
fn unknown_outcome_is_recorded_as_unknown() {
    let mut fabric = fabric(2);
    for instance in 0..2 {
        let url = service_url(ORDERS, instance);
        service(&mut fabric, &url).set_behaviours(&[Behaviour::Lose]);
    }
    let first = fabric.ask(0, order("k"));
    fabric.run_for(SECOND);
    assert_eq!(
        end(&fabric, 0, first),
        Some(&End::Unknown(Unknown::AnswerLost))
    );
    let asked_at = fabric.now;
    let retry = fabric.ask(1, order("k"));
    fabric.run_for(SECOND);
    assert_eq!(
        end(&fabric, 1, retry),
        Some(&End::Unknown(Unknown::OwnedElsewhere))
    );
    let ended_at = fabric.nodes[1].answered[&retry].ended_at;
    assert_eq!(ended_at, Some(asked_at), "the answer was delayed");
    assert_eq!(runs(&fabric, "k"), 1);
}

#[test]
fn same_key_with_another_body_is_refused_as_key_reused() {
    let mut fabric = fabric(2);
    fabric.ask(0, order("k"));
    fabric.run_for(SECOND);
    let other_body = fabric.ask(1, call(ORDERS, Some("k"), "twenty pallets"));
    fabric.run_for(SECOND);
    assert_eq!(
        end(&fabric, 1, other_body),
        Some(&End::NotRun(Refusal::KeyReused))
    );
    assert_eq!(runs(&fabric, "k"), 1);
}

#[test]
fn keys_are_scoped_to_the_account() {
    let mut fabric = fabric(1);
    let mut other = order("k");
    other.account = "small".to_owned();
    let a = fabric.ask(0, order("k"));
    let b = fabric.ask(0, other);
    fabric.run_for(SECOND);
    assert_eq!(end(&fabric, 0, a), Some(&answered()));
    assert_eq!(end(&fabric, 0, b), Some(&answered()));
}

#[test]
fn concurrent_claims_are_batched_into_few_appends() {
    let mut fabric = fabric(1);
    for n in 0..50 {
        fabric.ask(0, order(&format!("k{n}")));
    }
    fabric.run_for(2 * SECOND);
    for n in 0..50 {
        assert_eq!(runs(&fabric, &format!("k{n}")), 1);
    }
    assert!(world(&fabric).counters.claim_appends <= 4);
}

#[test]
fn keyed_completion_runs_once_and_records_its_text() {
    let mut fabric = fabric(2);
    let mut ask = completion(5);
    ask.idempotency_key = Some("quote-1".to_owned());
    let first = fabric.ask(0, ask.clone());
    fabric.run_for(5 * SECOND);
    assert_complete(&fabric, first, 5);
    let text = fabric.nodes[0].answered[&first].text();
    let retry = fabric.ask(1, ask);
    fabric.run_for(SECOND);
    assert_eq!(end(&fabric, 1, retry), Some(&End::Recorded(text)));
}

#[test]
fn keyed_request_keeps_its_claim_if_the_caller_disconnects_after_the_send() {
    let mut fabric = fabric(2);
    set_order_latency(&mut fabric, SECOND);
    let first = fabric.ask(0, order("k"));
    fabric.run_for(SECOND / 2);
    fabric.handle(0, reachtally_core::Event::Disconnected(first));
    fabric.run_for(2 * SECOND);
    let retry = fabric.ask(1, order("k"));
    fabric.run_for(10 * SECOND);
    assert_eq!(
        end(&fabric, 1, retry),
        Some(&End::Unknown(Unknown::OwnedElsewhere))
    );
    assert_eq!(runs(&fabric, "k"), 1);
}
