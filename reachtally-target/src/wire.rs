//! Encodes and decodes steps and results in their wire format.

use bytes::Bytes;
use prost::Message;
use reachtally_core::ids::{Incarnation, RequestId};
use reachtally_core::step::{Batch, Input, Output, Release, Step, StepRefusal, StepResult};

use crate::generated::engine as pb;

/// Media type of request and response bodies.
pub const MEDIA_TYPE: &str = "application/x-protobuf";

/// An error that occurred while decoding a body.
#[derive(Debug)]
pub enum Error {
    /// The body is not a valid message.
    Decode(prost::DecodeError),
    /// A required field is missing.
    Missing(&'static str),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Decode(cause) => write!(f, "can't decode the body: {cause}"),
            Error::Missing(field) => write!(f, "field {field} is missing"),
        }
    }
}

impl std::error::Error for Error {}

fn encode_id(id: RequestId) -> Option<pb::RequestId> {
    Some(pb::RequestId {
        incarnation: id.incarnation.0,
        seq: id.seq,
    })
}

fn decode_id(id: Option<pb::RequestId>) -> Result<RequestId, Error> {
    let id = id.ok_or(Error::Missing("request"))?;
    Ok(RequestId {
        incarnation: Incarnation(id.incarnation),
        seq: id.seq,
    })
}

/// Encodes the request body of a step call.
pub fn encode_batch(batch: Batch) -> Vec<u8> {
    let request = pb::StepsRequest {
        steps: batch.steps.into_iter().map(encode_step).collect(),
        releases: batch.releases.into_iter().map(encode_release).collect(),
    };
    request.encode_to_vec()
}

fn encode_step(step: Step) -> pb::Step {
    let input = match step.input {
        Input::Tokens { text, tokens } => pb::step::Input::Tokens(pb::Tokens { text, ids: tokens }),
        Input::Activations(bytes) => pb::step::Input::Activations(bytes),
    };
    pb::Step {
        request: encode_id(step.request),
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

fn encode_release(release: Release) -> pb::Release {
    pb::Release {
        request: encode_id(release.request),
        attempt: release.attempt,
    }
}

/// Decodes the request body of a step call.
///
/// # Errors
/// [`Error`] if the body is not a step call or a required field is missing.
pub fn decode_batch(body: Bytes) -> Result<Batch, Error> {
    let request = pb::StepsRequest::decode(body).map_err(Error::Decode)?;
    let steps: Result<Vec<Step>, Error> = request.steps.into_iter().map(decode_step).collect();
    let releases: Result<Vec<Release>, Error> =
        request.releases.into_iter().map(decode_release).collect();
    Ok(Batch {
        steps: steps?,
        releases: releases?,
    })
}

fn decode_step(step: pb::Step) -> Result<Step, Error> {
    let input = match step.input.ok_or(Error::Missing("input"))? {
        pb::step::Input::Tokens(tokens) => Input::Tokens {
            text: tokens.text,
            tokens: tokens.ids,
        },
        pb::step::Input::Activations(bytes) => Input::Activations(bytes),
    };
    Ok(Step {
        request: decode_id(step.request)?,
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

fn decode_release(release: pb::Release) -> Result<Release, Error> {
    Ok(Release {
        request: decode_id(release.request)?,
        attempt: release.attempt,
    })
}

/// Encodes the response body of a step call.
pub fn encode_results(results: Vec<StepResult>) -> Vec<u8> {
    let response = pb::StepsResponse {
        results: results.into_iter().map(encode_result).collect(),
    };
    response.encode_to_vec()
}

fn encode_result(result: StepResult) -> pb::StepResult {
    let output = match result.output {
        Ok(Output::Activations(bytes)) => pb::step_result::Output::Activations(bytes),
        Ok(Output::Token { id, text, end }) => {
            pb::step_result::Output::Token(pb::Token { id, text, end })
        }
        Err(refusal) => pb::step_result::Output::Refusal(encode_refusal(refusal).into()),
    };
    pb::StepResult {
        request: encode_id(result.request),
        attempt: result.attempt,
        from: result.from,
        positions: result.positions,
        output: Some(output),
    }
}

/// Decodes the response body of a step call.
///
/// # Errors
/// [`Error`] if the body is not a response to a step call or a required field is missing.
pub fn decode_results(body: Bytes) -> Result<Vec<StepResult>, Error> {
    let response = pb::StepsResponse::decode(body).map_err(Error::Decode)?;
    response.results.into_iter().map(decode_result).collect()
}

fn decode_result(result: pb::StepResult) -> Result<StepResult, Error> {
    let output = match result.output.ok_or(Error::Missing("output"))? {
        pb::step_result::Output::Activations(bytes) => Ok(Output::Activations(bytes)),
        pb::step_result::Output::Token(token) => Ok(Output::Token {
            id: token.id,
            text: token.text,
            end: token.end,
        }),
        pb::step_result::Output::Refusal(refusal) => Err(decode_refusal(refusal)),
    };
    Ok(StepResult {
        request: decode_id(result.request)?,
        attempt: result.attempt,
        from: result.from,
        positions: result.positions,
        output,
    })
}

fn encode_refusal(refusal: StepRefusal) -> pb::Refusal {
    match refusal {
        StepRefusal::KvMissing => pb::Refusal::KvMissing,
        StepRefusal::StaleAttempt => pb::Refusal::StaleAttempt,
        StepRefusal::Busy => pb::Refusal::Busy,
        StepRefusal::Malformed => pb::Refusal::Malformed,
    }
}

/// Refusals that this router does not know are treated as malformed, since it can't resolve them.
fn decode_refusal(refusal: i32) -> StepRefusal {
    match pb::Refusal::try_from(refusal) {
        Ok(pb::Refusal::KvMissing) => StepRefusal::KvMissing,
        Ok(pb::Refusal::StaleAttempt) => StepRefusal::StaleAttempt,
        Ok(pb::Refusal::Busy) => StepRefusal::Busy,
        Ok(pb::Refusal::Malformed | pb::Refusal::Unspecified) | Err(_) => StepRefusal::Malformed,
    }
}
