//! One line of a log.

use serde_json::{Map, Value};

/// A decoded line.
pub(crate) struct Line {
    /// Its time, in ms.
    pub at: u64,
    /// All its fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Decode a line; anything before the first brace, such as a collector's prefix, is skipped.
    pub fn parse(text: &str) -> Option<Line> {
        let json = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let at = fields.get("t")?.as_u64()?;
        Some(Line { at, fields })
    }

    /// A field's text; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        let text = self.fields.get(name).and_then(Value::as_str);
        text.unwrap_or_default()
    }

    /// A field's whole number, if it is there and one.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// Whether a field is there and true.
    pub fn is_true(&self, name: &str) -> bool {
        self.fields.get(name) == Some(&Value::Bool(true))
    }
}
