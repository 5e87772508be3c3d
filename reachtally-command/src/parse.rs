//! Commands and their parser.

use winnow::ascii::{multispace0, multispace1};
use winnow::combinator::preceded;
use winnow::prelude::*;
use winnow::token::take_while;

/// What a query shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// Engines and service instances.
    Targets,
    /// Boxes of the live list.
    Boxes,
    /// Models.
    Models,
    /// Client accounts.
    Accounts,
    /// Requests that ended lately.
    Requests,
    /// Failure domains: lease, steward, confirmed configuration.
    Domains,
    /// Daemons of this failure domain.
    Members,
    /// The configuration's offset and the counters.
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

/// One command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Show a table.
    Show(Subject),
    /// Give a target no new work.
    Drain(String),
    /// Give a drained target work again.
    Undrain(String),
    /// Drain a target and stop it once nothing runs there.
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

/// A command that does not parse.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The text.
    pub text: String,
    /// Where in the text the word begins that does not fit, in bytes.
    pub at: usize,
    /// What was expected there.
    pub expected: String,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let column = self
            .text
            .get(..self.at)
            .map_or(0, |before| before.chars().count());
        writeln!(f, "{}", self.text)?;
        write!(f, "{}^ expected {}", " ".repeat(column), self.expected)
    }
}

impl std::error::Error for Error {}

fn word<'i>(input: &mut &'i str) -> ModalResult<&'i str> {
    preceded(multispace0, take_while(1.., is_word)).parse_next(input)
}

fn is_word(c: char) -> bool {
    c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | '#')
}

/// Parse one command.
///
/// # Errors
/// [`Error`] at the first word that does not fit.
pub fn parse(text: &str) -> Result<Command, Error> {
    let mut rest = text;
    let verb_at = skip_space(text, &mut rest);
    let verb = word(&mut rest).unwrap_or_default();
    let operand_at = skip_space(text, &mut rest);
    let command = match verb {
        "show" => subject(text, operand_at, &mut rest).map(Command::Show),
        "drain" => name(text, operand_at, &mut rest).map(Command::Drain),
        "undrain" => name(text, operand_at, &mut rest).map(Command::Undrain),
        "stop" => name(text, operand_at, &mut rest).map(Command::Stop),
        _ => Err(error(text, verb_at, "show, drain, undrain or stop")),
    }?;
    let end = skip_space(text, &mut rest);
    if rest.is_empty() {
        Ok(command)
    } else {
        Err(error(text, end, "the end of the command"))
    }
}

fn skip_space(text: &str, rest: &mut &str) -> usize {
    // No space at all is fine too; the position is the same.
    let _: ModalResult<&str> = multispace1.parse_next(rest);
    text.len() - rest.len()
}

fn subject(text: &str, at: usize, rest: &mut &str) -> Result<Subject, Error> {
    let found = word(rest).unwrap_or_default();
    let subject = SUBJECTS.iter().find(|(word, _)| *word == found);
    subject.map(|(_, subject)| *subject).ok_or_else(|| {
        let words: Vec<&str> = SUBJECTS.iter().map(|(word, _)| *word).collect();
        error(text, at, &format!("one of {}", words.join(", ")))
    })
}

fn name(text: &str, at: usize, rest: &mut &str) -> Result<String, Error> {
    let found = word(rest).map_err(|_| error(text, at, "the name of a target"))?;
    Ok(found.to_owned())
}

fn error(text: &str, at: usize, expected: &str) -> Error {
    Error {
        text: text.to_owned(),
        at,
        expected: expected.to_owned(),
    }
}
