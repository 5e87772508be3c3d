//! Parts of prompts, which requests may have in common.

/// Id of a part of a prompt in normalized form, so that all requests with the part name it alike.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(Box<str>);

impl PartId {
    /// Normalizes an id in hex, in which neither case nor leading zeros matter. Returns `None` if it is empty.
    pub fn new(text: &str) -> Option<Self> {
        let text = text.trim();
        if text.is_empty() {
            return None;
        }
        let digits = text.trim_start_matches('0');
        Some(PartId(digits.to_ascii_lowercase().into()))
    }

    /// Returns the normalized id.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Returns the parts that other requests may share: all but the last one, which belongs to the request or its session.
pub fn shared(parts: &[PartId]) -> &[PartId] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}
