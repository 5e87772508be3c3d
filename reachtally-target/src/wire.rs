//! Steps and results to and from their wire form.

use bytes::Bytes;
use prost::Message;
use reachtally_core::ids::{Incarnation, RequestId};
use reachtally_core::step::{Batch, Input, Output, Release, Step, StepRefusal, StepResult};

use crate::generated::engine as pb;

/// Media type of both bodies.
pub const MEDIA_TYPE: &str = "application/x-protobuf";

/// A body that does not decode.
#[derive(Debug)]
pub enum Error {
    /// Not the message expected.
    Decode(prost::DecodeError),
    /// A field that must be set is missing.
    Missing(&'static str),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Decode(cause) => write!(f, "the body does not decode: {cause}"),
            Error::Missing(field) => write!(f, "field {field} is missing"),
        }
    }
}

impl std::error::Error for Error {}

fn id_out(id: RequestId) -> Option<pb::RequestId> {
    Some(pb::RequestId {
        incarnation: id.incarnation.0,
        seq: id.seq,
    })
}

fn id_in(id: Option<pb::RequestId>) -> Result<RequestId, Error> {
    let id = id.ok_or(Error::Missing("request"))?;
    Ok(RequestId {
        incarnation: Incarnation(id.incarnation),
        seq: id.seq,
    })
}

/// Encode the body of a step call.
pub fn encode_batch(batch: Batch) -> Vec<u8> {
    let request = pb::StepsRequest {
        steps: batch.steps.into_iter().map(step_out).collect(),
        releases: batch.releases.into_iter().map(release_out).collect(),
    };
    request.encode_to_vec()
}

fn step_out(step: Step) -> pb::Step {
    let input = match step.input {
        Input::Tokens { text, tokens } => pb::step::Input::Tokens(pb::Tokens { text, ids: tokens }),
        Input::Activations(bytes) => pb::step::Input::Activations(bytes),
    };
    pb::Step {
        request: id_out(step.request),
        attempt: step.attempt,
        from: step.from,
        positions: step.positions,
        restore_to: step.restore_to,
        outputs_from: step.outputs_from,
        adapter: step.adapter,
        priority: step.priority,
        input: Some(input),
    }
}

fn release_out(release: Release) -> pb::Release {
    pb::Release {
        request: id_out(release.request),
        attempt: release.attempt,
    }
}

/// Decode the body of a step call.
///
/// # Errors
/// [`Error`] if the body is not a step call or lacks a field.
pub fn decode_batch(body: Bytes) -> Result<Batch, Error> {
    let request = pb::StepsRequest::decode(body).map_err(Error::Decode)?;
    let steps: Result<Vec<Step>, Error> = request.steps.into_iter().map(step_in).collect();
    let releases: Result<Vec<Release>, Error> =
        request.releases.into_iter().map(release_in).collect();
    Ok(Batch {
        steps: steps?,
        releases: releases?,
    })
}

fn step_in(step: pb::Step) -> Result<Step, Error> {
    let input = match step.input.ok_or(Error::Missing("input"))? {
        pb::step::Input::Tokens(tokens) => Input::Tokens {
            text: tokens.text,
            tokens: tokens.ids,
        },
        pb::step::Input::Activations(bytes) => Input::Activations(bytes),
    };
    Ok(Step {
        request: id_in(step.request)?,
        attempt: step.attempt,
        from: step.from,
        positions: step.positions,
        restore_to: step.restore_to,
        outputs_from: step.outputs_from,
        adapter: step.adapter,
        priority: step.priority,
        input,
    })
}

fn release_in(release: pb::Release) -> Result<Release, Error> {
    Ok(Release {
        request: id_in(release.request)?,
        attempt: release.attempt,
    })
}

/// Encode the answer to a step call.
pub fn encode_results(results: Vec<StepResult>) -> Vec<u8> {
    let response = pb::StepsResponse {
        results: results.into_iter().map(result_out).collect(),
    };
    response.encode_to_vec()
}

fn result_out(result: StepResult) -> pb::StepResult {
    let output = match result.output {
        Ok(Output::Activations(bytes)) => pb::step_result::Output::Activations(bytes),
        Ok(Output::Token { id, text, end }) => {
            pb::step_result::Output::Token(pb::Token { id, text, end })
        }
        Err(refusal) => pb::step_result::Output::Refusal(refusal_out(refusal).into()),
    };
    pb::StepResult {
        request: id_out(result.request),
        attempt: result.attempt,
        from: result.from,
        positions: result.positions,
        output: Some(output),
    }
}

/// Decode the answer to a step call.
///
/// # Errors
/// [`Error`] if the body is not such an answer or lacks a field.
pub fn decode_results(body: Bytes) -> Result<Vec<StepResult>, Error> {
    let response = pb::StepsResponse::decode(body).map_err(Error::Decode)?;
    response.results.into_iter().map(result_in).collect()
}

fn result_in(result: pb::StepResult) -> Result<StepResult, Error> {
    let output = match result.output.ok_or(Error::Missing("output"))? {
        pb::step_result::Output::Activations(bytes) => Ok(Output::Activations(bytes)),
        pb::step_result::Output::Token(token) => Ok(Output::Token {
            id: token.id,
            text: token.text,
            end: token.end,
        }),
        pb::step_result::Output::Refusal(refusal) => Err(refusal_in(refusal)),
    };
    Ok(StepResult {
        request: id_in(result.request)?,
        attempt: result.attempt,
        from: result.from,
        positions: result.positions,
        output,
    })
}

fn refusal_out(refusal: StepRefusal) -> pb::Refusal {
    match refusal {
        StepRefusal::KvMissing => pb::Refusal::KvMissing,
        StepRefusal::StaleAttempt => pb::Refusal::StaleAttempt,
        StepRefusal::Busy => pb::Refusal::Busy,
        StepRefusal::Malformed => pb::Refusal::Malformed,
    }
}

/// A refusal this router does not know is one it can't cure.
fn refusal_in(refusal: i32) -> StepRefusal {
    match pb::Refusal::try_from(refusal) {
        Ok(pb::Refusal::KvMissing) => StepRefusal::KvMissing,
        Ok(pb::Refusal::StaleAttempt) => StepRefusal::StaleAttempt,
        Ok(pb::Refusal::Busy) => StepRefusal::Busy,
        Ok(pb::Refusal::Malformed | pb::Refusal::Unspecified) | Err(_) => StepRefusal::Malformed,
    }
}
