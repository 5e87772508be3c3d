//! Commands, their parser and its errors.

use winnow::ascii::{multispace0, multispace1};
use winnow::combinator::preceded;
use winnow::prelude::*;
use winnow::token::take_while;

/// The subject of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// Engines and service instances.
    Targets,
    /// Boxes on the live list.
    Boxes,
    /// Models.
    Models,
    /// Client accounts.
    Accounts,
    /// Recently completed requests.
    Requests,
    /// Failure domains with their lease, steward and confirmed configuration.
    Domains,
    /// Daemons in this failure domain.
    Members,
    /// The configuration offset and the counters.
    Config,
}

const SUBJECTS: [(&str, Subject); 8] = [
    ("targets", Subject::Targets),
    ("boxes", Subject::Boxes),
    ("models", Subject::Models),
    ("accounts", Subject::Accounts),
    ("requests", Subject::Requests),
    ("domains", Subject::Domains),
    ("members", Subject::Members),
    ("config", Subject::Config),
];

/// A parsed command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Shows a table of the subject.
    Show(Subject),
    /// Stops sending new work to a target.
    Drain(String),
    /// Resumes sending work to a drained target.
    Undrain(String),
    /// Drains a target and stops it once it has no running work.
    Stop(String),
}

impl std::fmt::Display for Command {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Command::Show(subject) => {
                let word = SUBJECTS.iter().find(|(_, known)| known == subject);
                write!(f, "show {}", word.map_or("", |(word, _)| word))
            }
            Command::Drain(name) => write!(f, "drain {name}"),
            Command::Undrain(name) => write!(f, "undrain {name}"),
            Command::Stop(name) => write!(f, "stop {name}"),
        }
    }
}

/// A syntax error in a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The text of the command.
    pub text: String,
    /// Byte offset of the unexpected word in the text.
    pub offset: usize,
    /// What was expected at this offset.
    pub expected: String,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let column = self
            .text
            .get(..self.offset)
            .map_or(0, |before| before.chars().count());
        writeln!(f, "{}", self.text)?;
        write!(f, "{}^ expected {}", " ".repeat(column), self.expected)
    }
}

impl std::error::Error for Error {}

fn parse_word<'i>(input: &mut &'i str) -> ModalResult<&'i str> {
    preceded(multispace0, take_while(1.., is_word_char)).parse_next(input)
}

fn is_word_char(c: char) -> bool {
    c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | '#')
}

/// Parses a command.
///
/// # Errors
/// [`Error`] at the first unexpected word.
pub fn parse(text: &str) -> Result<Command, Error> {
    let mut rest = text;
    let verb_offset = skip_whitespace(text, &mut rest);
    let verb = parse_word(&mut rest).unwrap_or_default();
    let operand_offset = skip_whitespace(text, &mut rest);
    let command = match verb {
        "show" => parse_subject(text, operand_offset, &mut rest).map(Command::Show),
        "drain" => parse_target_name(text, operand_offset, &mut rest).map(Command::Drain),
        "undrain" => parse_target_name(text, operand_offset, &mut rest).map(Command::Undrain),
        "stop" => parse_target_name(text, operand_offset, &mut rest).map(Command::Stop),
        _ => Err(error_at(text, verb_offset, "show, drain, undrain or stop")),
    }?;
    let end = skip_whitespace(text, &mut rest);
    if rest.is_empty() {
        Ok(command)
    } else {
        Err(error_at(text, end, "the end of the command"))
    }
}

fn skip_whitespace(text: &str, rest: &mut &str) -> usize {
    // Whitespace is optional here; without it the offset stays the same.
    let _: ModalResult<&str> = multispace1.parse_next(rest);
    text.len() - rest.len()
}

fn parse_subject(text: &str, offset: usize, rest: &mut &str) -> Result<Subject, Error> {
    let found = parse_word(rest).unwrap_or_default();
    let subject = SUBJECTS.iter().find(|(word, _)| *word == found);
    subject.map(|(_, subject)| *subject).ok_or_else(|| {
        let words: Vec<&str> = SUBJECTS.iter().map(|(word, _)| *word).collect();
        error_at(text, offset, &format!("one of {}", words.join(", ")))
    })
}

fn parse_target_name(text: &str, offset: usize, rest: &mut &str) -> Result<String, Error> {
    let found = parse_word(rest).map_err(|_| error_at(text, offset, "the name of a target"))?;
    Ok(found.to_owned())
}

fn error_at(text: &str, offset: usize, expected: &str) -> Error {
    Error {
        text: text.to_owned(),
        offset,
        expected: expected.to_owned(),
    }
}
