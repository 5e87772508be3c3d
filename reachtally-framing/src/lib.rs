//! Framing of responses: what ends the body of a response, and which responses are malformed.
//!
//! An HTTP library accepts more than one reading of a contradictory head, so a recipient that passes the response on may choose another
//! one. Here a response has exactly one framing, or it is malformed and nothing in it can be relied on.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod head;

pub use head::HeadScanner;

use http::header::{AsHeaderName, CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING};
use http::{Method, StatusCode, Version};

/// Maximum number of characters of a malformed value that an error shows.
const MAX_SHOWN_CHARS: usize = 80;

/// Statuses of final responses (RFC 9110, section 15).
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// What ends the body of a response (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The response has no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The last chunk ends the body.
    Chunked,
    /// The end of the connection ends the body.
    ConnectionEnd,
}

impl Framing {
    /// Removes the headers that frame the body, since whoever passes the response on frames it anew.
    ///
    /// The length in a response without a body describes another response and is retained.
    pub fn strip(self, headers: &mut HeaderMap) {
        headers.remove(TRANSFER_ENCODING);
        if self != Framing::Empty {
            headers.remove(CONTENT_LENGTH);
        }
    }
}

/// Why a response is malformed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Malformed {
    /// The status is not that of a final response.
    Status(u16),
    /// The body has a transfer coding other than `chunked` alone.
    Coding(String),
    /// A transfer coding is named in a version without them.
    CodingInVersion(Version),
    /// Both a length and a transfer coding are named.
    LengthAndCoding(String),
    /// The length is not a number, or is named twice with different values.
    Length(String),
    /// A status without a body names its length or coding.
    BodyWithStatus(StatusCode, HeaderName),
    /// A line of the head does not end with CR LF, or a status line is empty.
    Line(String),
    /// A header has several different values, or one that is not text.
    Header(HeaderName, String),
    /// The head, with the interim responses before it, has more than this many bytes.
    TooLong(usize),
    /// The HTTP library could not parse the head.
    Unparsable(String),
}

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Malformed::Status(status) => write!(f, "status {status}, expected 200 to 599"),
            Malformed::Coding(value) => {
                write!(f, "transfer-encoding {value:?}, expected \"chunked\"")
            }
            Malformed::CodingInVersion(version) => {
                write!(f, "transfer-encoding in {version:?}, expected HTTP/1.1")
            }
            Malformed::LengthAndCoding(length) => write!(
                f,
                "content-length {length:?} beside transfer-encoding, expected one of them"
            ),
            Malformed::Length(value) => {
                write!(f, "content-length {value:?}, expected one number of bytes")
            }
            Malformed::BodyWithStatus(status, name) => {
                write!(f, "{name} with status {status}, expected no body")
            }
            Malformed::Line(line) => {
                write!(f, "head line {line:?}, expected text that ends with CR LF")
            }
            Malformed::Header(name, values) => write!(f, "{name} {values:?}, expected one value"),
            Malformed::TooLong(max) => write!(f, "head of more than {max} bytes"),
            Malformed::Unparsable(why) => write!(f, "unparsable head: {why}"),
        }
    }
}

impl std::error::Error for Malformed {}

/// Returns the framing of the response to a request with `method`.
///
/// # Errors
/// [`Malformed`] if the head allows more than one framing, or none.
pub fn of_response(
    method: &Method,
    status: StatusCode,
    version: Version,
    headers: &HeaderMap,
) -> Result<Framing, Malformed> {
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Err(Malformed::Status(status.as_u16()));
    }
    let is_chunked = is_chunked(version, headers)?;
    let length = length(headers)?;
    if is_chunked && length.is_some() {
        return Err(Malformed::LengthAndCoding(shown(headers, CONTENT_LENGTH)));
    }
    if status == StatusCode::NO_CONTENT {
        return match (is_chunked, length) {
            (true, _) => Err(Malformed::BodyWithStatus(status, TRANSFER_ENCODING)),
            (false, Some(1..)) => Err(Malformed::BodyWithStatus(status, CONTENT_LENGTH)),
            (false, _) => Ok(Framing::Empty),
        };
    }
    if status == StatusCode::NOT_MODIFIED || method == Method::HEAD {
        return Ok(Framing::Empty);
    }
    Ok(match length {
        Some(length) => Framing::Length(length),
        None if is_chunked => Framing::Chunked,
        None => Framing::ConnectionEnd,
    })
}

/// Returns whether the body is coded in chunks.
fn is_chunked(version: Version, headers: &HeaderMap) -> Result<bool, Malformed> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return Ok(false);
    };
    let is_chunked = coding
        .as_bytes()
        .trim_ascii()
        .eq_ignore_ascii_case(b"chunked");
    if !is_chunked || codings.next().is_some() {
        return Err(Malformed::Coding(shown(headers, TRANSFER_ENCODING)));
    }
    match version {
        Version::HTTP_11 => Ok(true),
        version => Err(Malformed::CodingInVersion(version)),
    }
}

/// Returns the length of the body that the head names. Repeated equal values count as one.
fn length(headers: &HeaderMap) -> Result<Option<u64>, Malformed> {
    let Some(value) = single(headers, &CONTENT_LENGTH)? else {
        return Ok(None);
    };
    let value = value.trim_ascii();
    let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    let length = value.parse().ok().filter(|_| is_number);
    let invalid = || Malformed::Length(shown(headers, CONTENT_LENGTH));
    length.ok_or_else(invalid).map(Some)
}

/// Returns the value of a header that a response carries at most once.
///
/// # Errors
/// [`Malformed::Header`] if there are several different values, or one that is not text.
pub fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Malformed> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    let is_single = values.all(|other| other == first);
    match first.to_str() {
        Ok(text) if is_single => Ok(Some(text)),
        _ => Err(Malformed::Header(name.clone(), shown(headers, name))),
    }
}

/// Returns the values of a header, shortened for an error.
fn shown(headers: &HeaderMap, name: impl AsHeaderName) -> String {
    let values = headers.get_all(name);
    let values = values
        .iter()
        .map(|value| value.as_bytes().escape_ascii().to_string());
    let mut shown = values.collect::<Vec<String>>().join(", ");
    shown.truncate(MAX_SHOWN_CHARS);
    shown
}
