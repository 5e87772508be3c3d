//! Tests of the stand-in engine state, without sockets.

use std::time::Duration;

use reachtally_core::Incarnation;
use reachtally_core::ids::RequestId;
use reachtally_core::step::{Batch, Input, Output, Release, Step, StepRefusal, StepResult};
use reachtally_standin::engine::{LedgerRun, Options, OutdatedFence, State, model};
use reachtally_target::order::{Action, OrderBody};

const LAYERS: u32 = 6;
const PROMPT: &str = "a b c";

fn id() -> RequestId {
    RequestId {
        incarnation: Incarnation(1),
        seq: 1,
    }
}

fn step(attempt: u32, from: u32, input: Input, positions: u32) -> Step {
    Step {
        request: id(),
        attempt,
        from,
        positions,
        restore_to: 0,
        outputs_from: from,
        adapter: String::new(),
        priority: 0,
        input,
    }
}

fn prompt() -> Step {
    let input = Input::Tokens {
        text: PROMPT.to_owned(),
        tokens: Vec::new(),
    };
    step(1, 0, input, 0)
}

fn token(position: u32, id: u32) -> Step {
    let input = Input::Tokens {
        text: String::new(),
        tokens: vec![id],
    };
    step(1, position, input, 1)
}

fn run(engine: &mut State, step: Step) -> StepResult {
    let batch = Batch {
        steps: vec![step],
        releases: Vec::new(),
    };
    engine.run(batch).remove(0)
}

/// Runs a step through both halves of the model and returns the token.
fn run_both_halves(first: &mut State, second: &mut State, step: Step) -> (u32, String) {
    let first_result = run(first, step);
    let Ok(Output::Activations(activations)) = first_result.output else {
        panic!("the first half must return activations");
    };
    let input = Input::Activations(activations);
    let second_result = run(
        second,
        self::step(
            first_result.attempt,
            first_result.from,
            input,
            first_result.positions,
        ),
    );
    match second_result.output {
        Ok(Output::Token { id, text, .. }) => (id, text),
        other => panic!("the second half must return a token, got {other:?}"),
    }
}

fn halves() -> (State, State) {
    let first = State::new(Options::range(0, 3, LAYERS));
    let second = State::new(Options::range(3, 6, LAYERS));
    (first, second)
}

#[test]
fn a_chain_of_engines_matches_the_reference_model() {
    let (mut first, mut second) = halves();
    let (mut id, mut text) = run_both_halves(&mut first, &mut second, prompt());
    let mut answer = vec![text];
    for position in 3..6 {
        (id, text) = run_both_halves(&mut first, &mut second, token(position, id));
        answer.push(text);
    }
    let expected = model::reference(LAYERS, "", PROMPT, 4);
    let expected: Vec<String> = expected.into_iter().map(|token| token.text).collect();
    assert_eq!(answer, expected);
}

#[test]
fn a_repeated_or_out_of_order_step_is_refused() {
    let (mut first, _) = halves();
    run(&mut first, prompt());
    run(&mut first, token(3, 7));
    assert_eq!(
        run(&mut first, token(3, 7)).output,
        Err(StepRefusal::KvMissing)
    );
    assert_eq!(
        run(&mut first, token(5, 7)).output,
        Err(StepRefusal::KvMissing)
    );
    let runs = [LedgerRun {
        attempt: 1,
        from: 0,
        end: 4,
        restore: false,
    }];
    assert_eq!(first.ledger().of(id()), runs);
}

#[test]
fn a_released_attempt_is_not_run_again() {
    let (mut first, _) = halves();
    run(&mut first, prompt());
    let released = Batch {
        steps: Vec::new(),
        releases: vec![Release {
            request: id(),
            attempt: 1,
        }],
    };
    first.run(released);
    assert_eq!(first.requests_held(), 0);
    assert_eq!(
        run(&mut first, prompt()).output,
        Err(StepRefusal::StaleAttempt)
    );
}

#[test]
fn exported_kv_is_continued_by_another_engine() {
    let (mut first, mut second) = halves();
    let (token_id, _) = run_both_halves(&mut first, &mut second, prompt());
    let export = first.export(id()).expect("the engine holds the KV");
    assert_eq!(export.positions, 3);
    let mut other = State::new(Options::range(0, 3, LAYERS));
    assert!(other.import(id(), export.clone()));
    let mut wrong_range = State::new(Options::range(0, 2, LAYERS));
    assert!(!wrong_range.import(id(), export));
    let (_, text) = run_both_halves(&mut other, &mut second, token(3, token_id));
    assert_eq!(text, model::reference(LAYERS, "", PROMPT, 2)[1].text);
}

#[test]
fn only_an_engine_that_checks_fences_refuses_an_outdated_one() {
    let order = |fence| OrderBody {
        fence,
        action: Action::Load("tiles".to_owned()),
    };
    let mut unchecked = State::new(Options::range(0, 3, LAYERS));
    unchecked.order(order(5)).expect("the order is accepted");
    unchecked.order(order(4)).expect("the order is accepted");
    let options = Options {
        checks_fence: true,
        ..Options::range(0, 3, LAYERS)
    };
    let mut checked = State::new(options);
    checked.order(order(5)).expect("the order is accepted");
    checked.order(order(5)).expect("the order is accepted");
    assert_eq!(
        checked.order(order(4)),
        Err(OutdatedFence { highest_fence: 5 })
    );
    assert!(checked.report().loaded.contains("tiles"));
}

#[tokio::test(start_paused = true)]
async fn reports_lag_and_cache_events_have_gaps() {
    let lag = Duration::from_secs(2);
    let options = Options {
        report_lag: lag,
        ..Options::range(0, 3, LAYERS)
    };
    let mut engine = State::new(options);
    for seq in 0..30 {
        let request = RequestId { seq, ..id() };
        run(
            &mut engine,
            Step {
                request,
                ..prompt()
            },
        );
    }
    assert_eq!(engine.load().requests, 0);
    assert!(engine.cache_events(0).is_empty());
    tokio::time::advance(lag).await;
    assert_eq!(engine.load().requests, 30);
    let numbers: Vec<u64> = engine
        .cache_events(5)
        .iter()
        .map(|event| event.seq)
        .collect();
    assert_eq!(numbers.first(), Some(&6));
    assert!(!numbers.contains(&10) && !numbers.contains(&20));
    assert_eq!(numbers.len(), 22);
}
