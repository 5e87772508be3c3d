//! Round trips of steps and results through the wire format.

use bytes::Bytes;
use reachtally_core::Incarnation;
use reachtally_core::ids::RequestId;
use reachtally_core::step::{Batch, Input, Output, Release, Step, StepRefusal, StepResult};
use reachtally_target::wire::{decode_batch, decode_results, encode_batch, encode_results};

fn id(seq: u64) -> RequestId {
    RequestId {
        incarnation: Incarnation(u64::MAX),
        seq,
    }
}

fn step(seq: u64, input: Input) -> Step {
    Step {
        request: id(seq),
        attempt: 2,
        from: 3,
        positions: 4,
        restore_to: 5,
        outputs_from: 6,
        adapter: "tiles".to_owned(),
        priority: 7,
        input,
    }
}

#[test]
fn a_batch_round_trips() {
    let tokens = Input::Tokens {
        text: "draft".to_owned(),
        tokens: vec![1, u32::MAX],
    };
    let batch = Batch {
        steps: vec![
            step(1, tokens),
            step(2, Input::Activations(Bytes::from_static(b"abc"))),
        ],
        releases: vec![Release {
            request: id(3),
            attempt: 9,
        }],
    };
    let decoded = decode_batch(encode_batch(batch.clone()).into()).expect("the body decodes");
    assert_eq!(decoded, batch);
}

#[test]
fn results_round_trip() {
    let result = |output| StepResult {
        request: id(1),
        attempt: 2,
        from: 3,
        positions: 4,
        output,
    };
    let token = Output::Token {
        id: 5,
        text: "oil ".to_owned(),
        end: true,
    };
    let results = vec![
        result(Ok(Output::Activations(Bytes::from_static(b"abc")))),
        result(Ok(token)),
        result(Err(StepRefusal::KvMissing)),
        result(Err(StepRefusal::StaleAttempt)),
        result(Err(StepRefusal::Busy)),
        result(Err(StepRefusal::Malformed)),
    ];
    let decoded = decode_results(encode_results(results.clone()).into()).expect("the body decodes");
    assert_eq!(decoded, results);
}

#[test]
fn invalid_messages_are_an_error() {
    assert!(decode_batch(Bytes::from_static(b"\x0a\xff")).is_err());
    assert!(decode_results(Bytes::from_static(b"\x0a\x00")).is_err());
}
