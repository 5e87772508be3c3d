//! Decoding of log lines.

use serde_json::{Map, Value};

/// A decoded log line.
pub(crate) struct Line {
    /// Unix time in milliseconds.
    pub time_ms: u64,
    /// All fields of the line.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Decodes a line. Anything before the first brace, such as a prefix added by a log collector, is skipped.
    pub fn parse(text: &str) -> Option<Line> {
        let json = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let time_ms = fields.get("t")?.as_u64()?;
        Some(Line { time_ms, fields })
    }

    /// Returns the string field `name`, or an empty string if there is none.
    pub fn text(&self, name: &str) -> &str {
        let text = self.fields.get(name).and_then(Value::as_str);
        text.unwrap_or_default()
    }

    /// Returns the field `name` if it is an unsigned integer.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// Returns whether the field `name` is present and `true`.
    pub fn is_true(&self, name: &str) -> bool {
        self.fields.get(name) == Some(&Value::Bool(true))
    }
}
