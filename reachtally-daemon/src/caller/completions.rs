//! The completion routes. Responses are sent as one JSON body or as server-sent events.

use std::convert::Infallible;

use bytes::Bytes;
use futures::stream::{self, Stream};
use reachtally_core::effect::{Completed, CompletionEnd, Finish};
use reachtally_core::life::Unknown;
use reachtally_core::request::{Answer, NewRequest, Work};
use rocket::data::Data;
use rocket::http::{ContentType, Header};
use rocket::request::{FromRequest, Outcome as Guarded, Request};
use rocket::response::stream::ByteStream;
use rocket::response::{self, Responder, Response};
use rocket::{State, post};
use serde::Serialize;

use crate::actor::ResponseEvent;
use crate::caller::Shared;
use crate::caller::answer::{CompleteAnswer, Failure, Outcome, REQUEST_HEADER};
use crate::caller::auth::Caller;
use crate::caller::body::{self, Endpoint};
use crate::caller::stream::{self as response_stream, ResponseStream};

/// Header of a request that must not be executed twice.
pub const KEY_HEADER: &str = "Idempotency-Key";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// The idempotency key of a request, if it has one.
pub struct IdempotencyKey(pub Option<String>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for IdempotencyKey {
    type Error = Infallible;

    async fn from_request(req: &'r Request<'_>) -> Guarded<Self, Infallible> {
        let value = req.headers().get_one(KEY_HEADER);
        Guarded::Success(IdempotencyKey(value.map(str::to_owned)))
    }
}

impl IdempotencyKey {
    /// Validates the length of the key.
    ///
    /// # Errors
    /// A failure if the key is empty or too long.
    pub fn validated(self) -> Result<Option<String>, Failure> {
        match self.0 {
            Some(key) if key.is_empty() => Err(Failure::bad_key("the key is empty")),
            Some(key) if key.len() > MAX_KEY_BYTES => {
                let message = format!("the key is longer than {MAX_KEY_BYTES} bytes");
                Err(Failure::bad_key(&message))
            }
            key => Ok(key),
        }
    }
}

#[post("/completions", data = "<data>")]
pub(super) async fn text(
    caller: Result<Caller, Failure>,
    key: IdempotencyKey,
    data: Data<'_>,
    shared: &State<Shared>,
) -> Result<CompletionAnswer, Failure> {
    complete(Endpoint::Text, caller?, key, data, shared).await
}

#[post("/chat/completions", data = "<data>")]
pub(super) async fn chat(
    caller: Result<Caller, Failure>,
    key: IdempotencyKey,
    data: Data<'_>,
    shared: &State<Shared>,
) -> Result<CompletionAnswer, Failure> {
    complete(Endpoint::Chat, caller?, key, data, shared).await
}

async fn complete(
    endpoint: Endpoint,
    caller: Caller,
    key: IdempotencyKey,
    data: Data<'_>,
    shared: &Shared,
) -> Result<CompletionAnswer, Failure> {
    let bytes = body::read(data, shared).await?;
    let body = body::validate(&bytes, endpoint).map_err(Failure::bad_body)?;
    let request = NewRequest {
        account: caller.account.name,
        work: Work::Completion(body.completion.clone()),
        idempotency_key: key.validated()?,
        request_timeout: shared.request_timeout,
    };
    let events = response_stream::submit(shared, request).await?;
    let writer = Writer {
        endpoint,
        model: body.completion.model,
        id: events.id(),
    };
    if body.stream {
        stream_answer(events, writer).await
    } else {
        complete_answer(events, writer).await
    }
}

/// The response to a completion request.
pub enum CompletionAnswer {
    /// One JSON body.
    Complete(CompleteAnswer),
    /// Server-sent events.
    Stream(EventStream),
}

impl<'r> Responder<'r, 'r> for CompletionAnswer {
    fn respond_to(self, req: &'r Request<'_>) -> response::Result<'r> {
        match self {
            CompletionAnswer::Complete(answer) => answer.respond_to(req),
            CompletionAnswer::Stream(stream) => stream.respond_to(req),
        }
    }
}

async fn complete_answer(
    mut events: ResponseStream,
    writer: Writer,
) -> Result<CompletionAnswer, Failure> {
    let (text, finish) = events.collect().await;
    let body = match finish {
        Some(Finish::Completed(Completed::Completion(end))) => writer.body(&text, Some(&end)),
        Some(Finish::Completed(Completed::Recorded(answer))) => {
            writer.body(&String::from_utf8_lossy(&answer.body), None)
        }
        other => return Err(failure(other)),
    };
    Ok(CompletionAnswer::Complete(CompleteAnswer {
        id: writer.id,
        answer: Answer {
            status: 200,
            content_type: Some("application/json".to_owned()),
            body: body.into(),
        },
    }))
}

/// Converts the result of an unsuccessful request into a failure.
pub fn failure(finish: Option<Finish>) -> Failure {
    match finish {
        Some(Finish::NotRun(not_run)) => Failure::of_not_run(&not_run),
        Some(Finish::Unknown(unknown)) => Failure::of_unknown(unknown),
        Some(Finish::Completed(_) | Finish::Abandoned) | None => {
            Failure::of_unknown(Unknown::AnswerLost)
        }
    }
}

/// Waits for the first event before it starts the stream, so that a request which fails before its first
/// token gets an error status.
async fn stream_answer(
    mut events: ResponseStream,
    writer: Writer,
) -> Result<CompletionAnswer, Failure> {
    let first = events.next().await;
    let mut buf = Vec::new();
    let ended = match first {
        Some(ResponseEvent::End(
            finish @ Finish::Completed(Completed::Completion(_) | Completed::Recorded(_)),
        )) => {
            writer.end_events(finish, &mut buf);
            true
        }
        Some(ResponseEvent::End(finish)) => return Err(failure(Some(finish))),
        None => return Err(failure(None)),
        Some(ResponseEvent::Token { text }) => {
            writer.token_event(&text, &mut buf);
            false
        }
    };
    Ok(CompletionAnswer::Stream(EventStream {
        id: writer.id.clone(),
        state: StreamState {
            events,
            writer,
            first: Some(buf),
            ended,
        },
    }))
}

/// A completion as server-sent events.
pub struct EventStream {
    id: String,
    state: StreamState,
}

struct StreamState {
    events: ResponseStream,
    writer: Writer,
    first: Option<Vec<u8>>,
    ended: bool,
}

impl<'r> Responder<'r, 'r> for EventStream {
    fn respond_to(self, req: &'r Request<'_>) -> response::Result<'r> {
        let body = ByteStream(encode_events(self.state)).respond_to(req)?;
        Response::build_from(body)
            .header(ContentType::EventStream)
            .header(Header::new(REQUEST_HEADER, self.id))
            .header(Header::new("Cache-Control", "no-cache"))
            .ok()
    }
}

/// Encodes the events. Events that are available at the same time share a write.
fn encode_events(state: StreamState) -> impl Stream<Item = Bytes> {
    stream::unfold(state, |mut state| async move {
        let buf = match state.first.take() {
            Some(buf) => buf,
            None if state.ended => return None,
            None => next_events(&mut state).await?,
        };
        Some((Bytes::from(buf), state))
    })
}

async fn next_events(state: &mut StreamState) -> Option<Vec<u8>> {
    let mut buf = Vec::new();
    let mut next = state.events.next().await;
    while let Some(event) = next {
        match event {
            ResponseEvent::Token { text } => state.writer.token_event(&text, &mut buf),
            ResponseEvent::End(finish) => {
                state.writer.end_events(finish, &mut buf);
                state.ended = true;
                return Some(buf);
            }
        }
        next = state.events.try_next();
    }
    (!buf.is_empty()).then_some(buf)
}

/// Encodes responses in the JSON format that is customary for completion APIs.
struct Writer {
    endpoint: Endpoint,
    model: String,
    id: String,
}

#[derive(Serialize)]
struct Envelope<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<Outcome>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<ChatMessage<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct ChatMessage<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "str::is_empty")]
    content: &'a str,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

impl Usage {
    fn of(end: &CompletionEnd) -> Self {
        Usage {
            prompt_tokens: end.prompt_tokens,
            completion_tokens: end.completion_tokens,
            total_tokens: end.prompt_tokens + end.completion_tokens,
        }
    }
}

fn finish_reason(end: Option<&CompletionEnd>) -> &'static str {
    match end {
        Some(end) if end.stopped => "stop",
        _ => "length",
    }
}

impl Writer {
    fn body(&self, text: &str, end: Option<&CompletionEnd>) -> Vec<u8> {
        let (object, plain, message) = match self.endpoint {
            Endpoint::Text => ("text_completion", Some(text), None),
            Endpoint::Chat => ("chat.completion", None, Some(text)),
        };
        let message = message.map(|content| ChatMessage {
            role: "assistant",
            content,
        });
        let choice = Choice {
            index: 0,
            text: plain,
            message,
            delta: None,
            finish_reason: Some(finish_reason(end)),
        };
        self.envelope(object, choice, end.map(Usage::of), Some(Outcome::Completed))
    }

    fn token_event(&self, text: &str, buf: &mut Vec<u8>) {
        self.chunk_event(text, None, None, None, buf);
    }

    fn chunk_event(
        &self,
        text: &str,
        finish_reason: Option<&'static str>,
        usage: Option<Usage>,
        outcome: Option<Outcome>,
        buf: &mut Vec<u8>,
    ) {
        let (object, plain, delta) = match self.endpoint {
            Endpoint::Text => ("text_completion", Some(text), None),
            Endpoint::Chat => ("chat.completion.chunk", None, Some(Delta { content: text })),
        };
        let choice = Choice {
            index: 0,
            text: plain,
            message: None,
            delta,
            finish_reason,
        };
        buf.extend_from_slice(b"data: ");
        buf.extend(self.envelope(object, choice, usage, outcome));
        buf.extend_from_slice(b"\n\n");
    }

    /// The last event carries the outcome; a completed stream closes with the customary mark.
    fn end_events(&self, finish: Finish, buf: &mut Vec<u8>) {
        let completed = Some(Outcome::Completed);
        match finish {
            Finish::Completed(Completed::Completion(end)) => {
                let usage = Some(Usage::of(&end));
                self.chunk_event("", Some(finish_reason(Some(&end))), usage, completed, buf);
                buf.extend_from_slice(b"data: [DONE]\n\n");
            }
            Finish::Completed(Completed::Recorded(answer)) => {
                let text = String::from_utf8_lossy(&answer.body);
                self.chunk_event(&text, Some(finish_reason(None)), None, completed, buf);
                buf.extend_from_slice(b"data: [DONE]\n\n");
            }
            other => {
                buf.extend_from_slice(b"event: error\ndata: ");
                buf.extend_from_slice(failure(Some(other)).body().as_bytes());
                buf.extend_from_slice(b"\n\n");
            }
        }
    }

    fn envelope(
        &self,
        object: &'static str,
        choice: Choice<'_>,
        usage: Option<Usage>,
        outcome: Option<Outcome>,
    ) -> Vec<u8> {
        let envelope = Envelope {
            id: &self.id,
            object,
            model: &self.model,
            choices: [choice],
            usage,
            outcome,
        };
        // An envelope of strings and numbers always serializes.
        serde_json::to_vec(&envelope).unwrap_or_default()
    }
}
