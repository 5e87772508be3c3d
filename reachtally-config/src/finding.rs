//! Findings: errors in a file with their location and a hint how to fix them.

/// An error in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Name of the file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// Path of the field from the root of the document, such as `engines[2].layers`.
    pub path: String,
    /// What is wrong.
    pub message: String,
    /// How to fix it.
    pub help: String,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{}; {}", self.message, self.help)
    }
}

/// All findings of a file, in the order of their position.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Findings(pub Vec<Finding>);

impl std::fmt::Display for Findings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for finding in &self.0 {
            writeln!(f, "{finding}")?;
        }
        let count = self.0.len();
        let noun = if count == 1 { "finding" } else { "findings" };
        write!(f, "{count} {noun}")
    }
}

impl std::error::Error for Findings {}
