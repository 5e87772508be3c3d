//! Reading and validation of completion request bodies. All findings are collected with their location.

use bytes::Bytes;
use log::info;
use reachtally_body::{NoMemory, Receiving};
use reachtally_core::Instant;
use reachtally_core::request::Completion;
use rocket::data::{Data, ToByteUnit};
use serde_json::{Map, Value};
use tokio::io::AsyncReadExt;
use tokio::time::timeout;

use crate::caller::Shared;
use crate::caller::answer::{BodyFinding, Failure};

/// Default of `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Highest permitted value of `max_tokens`.
const MAX_TOKENS_LIMIT: u64 = 1 << 16;

/// The decoded body of a completion request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionBody {
    /// The completion to generate.
    pub completion: Completion,
    /// Whether to stream the response.
    pub stream: bool,
}

/// The API endpoint that a body is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/completions`, with a string `prompt`.
    Text,
    /// `/v1/chat/completions`, with a list of `messages`.
    Chat,
}

/// Size of one read, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// Reads the body of a request. Its memory counts until the last copy of the bytes is dropped.
///
/// # Errors
/// A failure if the body is too long, cannot be read to its end within the time-out of a request, or if there is no memory for it.
pub async fn read(data: Data<'_>, shared: &Shared) -> Result<Bytes, Failure> {
    match timeout(shared.request_timeout, receive(data, shared)).await {
        Ok(received) => received,
        Err(_) => Err(Failure::body_late(shared.request_timeout)),
    }
}

async fn receive(data: Data<'_>, shared: &Shared) -> Result<Bytes, Failure> {
    let max = shared.body_bytes;
    // One more byte shows that the body is too long.
    let mut data = data.open((max + 1).bytes());
    let now = || Instant::from_elapsed(shared.started.elapsed());
    let mut body = Receiving::begin(&shared.bodies, max, now());
    let mut buf = vec![0; READ_BYTES];
    loop {
        let count = tokio::select! {
            biased;
            () = body.evicted() => return Err(no_memory(shared, &body)),
            read = data.read(&mut buf) => read.map_err(|_| Failure::body_truncated())?,
        };
        if count == 0 {
            return body.complete().map_err(|NoMemory| Failure::no_memory());
        }
        if (body.received() + count) as u64 > max {
            return Err(Failure::body_too_long(max));
        }
        if let Err(NoMemory) = body.push(&buf[..count], shared.body_limits, now()) {
            return Err(no_memory(shared, &body));
        }
    }
}

fn no_memory(shared: &Shared, body: &Receiving) -> Failure {
    info!(event = "body-refused", received = body.received(), held = shared.bodies.bytes(); "no memory for the body of a request");
    Failure::no_memory()
}

/// Validates and decodes the body of a completion request.
///
/// # Errors
/// All findings.
pub fn validate(bytes: &[u8], endpoint: Endpoint) -> Result<CompletionBody, Vec<BodyFinding>> {
    let value: Value = serde_json::from_slice(bytes).map_err(|err| vec![not_json(&err)])?;
    let Value::Object(fields) = value else {
        return Err(vec![finding("", "give a JSON object")]);
    };
    let mut validator = Validator {
        fields,
        findings: Vec::new(),
    };
    let body = validator.body(endpoint);
    match body {
        Some(body) if validator.findings.is_empty() => Ok(body),
        _ => Err(validator.findings),
    }
}

fn not_json(err: &serde_json::Error) -> BodyFinding {
    BodyFinding {
        place: format!("line {} column {}", err.line(), err.column()),
        message: "the text is not valid JSON".to_owned(),
    }
}

fn finding(place: &str, message: &str) -> BodyFinding {
    BodyFinding {
        place: place.to_owned(),
        message: message.to_owned(),
    }
}

/// Consumes known fields and collects findings.
struct Validator {
    fields: Map<String, Value>,
    findings: Vec<BodyFinding>,
}

impl Validator {
    fn body(&mut self, endpoint: Endpoint) -> Option<CompletionBody> {
        let model = self.text("model");
        let prompt = match endpoint {
            Endpoint::Text => self.text("prompt"),
            Endpoint::Chat => self.messages(),
        };
        let max_tokens = self.max_tokens();
        let stream = self.flag("stream");
        self.fields.remove("user");
        let unknown: Vec<String> = self.fields.keys().cloned().collect();
        for name in unknown {
            self.report(&name, "unknown field");
        }
        Some(CompletionBody {
            completion: Completion {
                model: model?,
                prompt: prompt?,
                max_tokens,
            },
            stream,
        })
    }

    fn report(&mut self, field: &str, message: &str) {
        self.findings.push(finding(&format!("/{field}"), message));
    }

    fn text(&mut self, field: &str) -> Option<String> {
        match self.fields.remove(field) {
            Some(Value::String(text)) if !text.is_empty() => Some(text),
            Some(_) => {
                self.report(field, "give a text that is not empty");
                None
            }
            None => {
                self.report(field, "the field is missing");
                None
            }
        }
    }

    fn flag(&mut self, field: &str) -> bool {
        match self.fields.remove(field) {
            Some(Value::Bool(flag)) => flag,
            None | Some(Value::Null) => false,
            Some(_) => {
                self.report(field, "give true or false");
                false
            }
        }
    }

    fn max_tokens(&mut self) -> u32 {
        let max_completion_tokens = self.fields.remove("max_completion_tokens");
        let value = self.fields.remove("max_tokens").or(max_completion_tokens);
        let number = match value {
            None | Some(Value::Null) => Some(DEFAULT_MAX_TOKENS),
            Some(value) => value.as_u64(),
        };
        match number {
            Some(number) if (1..=MAX_TOKENS_LIMIT).contains(&number) => number as u32,
            _ => {
                let message = format!("give a whole number from 1 to {MAX_TOKENS_LIMIT}");
                self.report("max_tokens", &message);
                0
            }
        }
    }

    /// Joins the messages into one prompt, with a line `role: content` for each.
    fn messages(&mut self) -> Option<String> {
        let messages = match self.fields.remove("messages") {
            Some(Value::Array(messages)) if !messages.is_empty() => messages,
            _ => {
                self.report("messages", "give a list of messages that is not empty");
                return None;
            }
        };
        let mut prompt = String::new();
        for (index, message) in messages.iter().enumerate() {
            let part = |name: &str| message.get(name).and_then(Value::as_str);
            match (part("role"), part("content")) {
                (Some(role), Some(content)) => {
                    prompt.push_str(role);
                    prompt.push_str(": ");
                    prompt.push_str(content);
                    prompt.push('\n');
                }
                _ => self.report(
                    &format!("messages/{index}"),
                    "give the texts role and content",
                ),
            }
        }
        Some(prompt)
    }
}
