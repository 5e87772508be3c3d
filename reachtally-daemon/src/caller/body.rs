//! Reading and checking the bodies of completion requests. Every finding is collected with its place.

use reachtally_core::request::Completion;
use rocket::data::{Data, ToByteUnit};
use serde_json::{Map, Value};

use crate::caller::answer::{BodyFinding, Failure};

/// Tokens generated where the caller gives no limit.
const MAX_TOKENS_DEFAULT: u64 = 16;
/// The highest limit a caller may give.
const MAX_TOKENS_MOST: u64 = 1 << 16;

/// A completion request's body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionBody {
    /// What to generate.
    pub completion: Completion,
    /// Whether to stream.
    pub stream: bool,
}

/// Which route the body is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// `prompt` is a text.
    Text,
    /// `messages` is a list of messages.
    Chat,
}

/// Read a body of at most `most` bytes.
///
/// # Errors
/// A failure if it is longer or breaks off.
pub async fn read(data: Data<'_>, most: u64) -> Result<Vec<u8>, Failure> {
    let capped = data.open(most.bytes()).into_bytes().await;
    let capped = capped.map_err(|_| Failure::body_cut())?;
    if !capped.is_complete() {
        return Err(Failure::body_too_long(most));
    }
    Ok(capped.into_inner())
}

/// Check a completion request's body.
///
/// # Errors
/// All findings.
pub fn check(bytes: &[u8], form: Form) -> Result<CompletionBody, Vec<BodyFinding>> {
    let value: Value = serde_json::from_slice(bytes).map_err(|err| vec![not_json(&err)])?;
    let Value::Object(fields) = value else {
        return Err(vec![finding("", "give a JSON object")]);
    };
    let mut check = Check {
        fields,
        findings: Vec::new(),
    };
    let body = check.body(form);
    match body {
        Some(body) if check.findings.is_empty() => Ok(body),
        _ => Err(check.findings),
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

struct Check {
    fields: Map<String, Value>,
    findings: Vec<BodyFinding>,
}

impl Check {
    fn body(&mut self, form: Form) -> Option<CompletionBody> {
        let model = self.text("model");
        let prompt = match form {
            Form::Text => self.text("prompt"),
            Form::Chat => self.messages(),
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
        let newer = self.fields.remove("max_completion_tokens");
        let given = self.fields.remove("max_tokens").or(newer);
        let number = match given {
            None | Some(Value::Null) => Some(MAX_TOKENS_DEFAULT),
            Some(value) => value.as_u64(),
        };
        match number {
            Some(number) if (1..=MAX_TOKENS_MOST).contains(&number) => number as u32,
            _ => {
                let message = format!("give a whole number from 1 to {MAX_TOKENS_MOST}");
                self.report("max_tokens", &message);
                0
            }
        }
    }

    /// The messages as one prompt: a line for each, `role: content`.
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
