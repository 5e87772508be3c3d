//! Line ends of the head of a response, which an HTTP library reads leniently.

use crate::Malformed;

/// Number of bytes of a line that are retained.
const MAX_LINE_BYTES: usize = 80;
/// Position of the first digit of the status in a status line, after `HTTP/1.1 `.
const STATUS_AT: usize = 9;

/// Checks that the lines of a head end with CR LF.
///
/// A recipient that takes a single LF for the end of a line (RFC 9112, section 2.2) takes an LF in a malformed head for its end, and the rest
/// of the head for the begin of the body.
#[derive(Debug, Clone, Default)]
pub struct HeadScanner {
    /// Begin of the current line, without its end.
    line: Vec<u8>,
    has_cr: bool,
    is_interim: bool,
    /// Whether the current line is not the status line.
    is_past_status: bool,
    is_complete: bool,
}

impl HeadScanner {
    /// Checks the next bytes of a connection, up to the end of the head of the final response.
    ///
    /// # Errors
    /// [`Malformed::Line`] if a line does not end with CR LF, or if a status line is empty.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<(), Malformed> {
        for byte in bytes {
            if self.is_complete {
                return Ok(());
            }
            match (self.has_cr, byte) {
                (true, b'\n') => self.end_line()?,
                (false, b'\r') => self.has_cr = true,
                (true, _) | (false, b'\n') => return Err(self.malformed()),
                (false, byte) if self.line.len() < MAX_LINE_BYTES => self.line.push(*byte),
                (false, _) => {}
            }
        }
        Ok(())
    }

    fn end_line(&mut self) -> Result<(), Malformed> {
        match (self.line.is_empty(), self.is_past_status) {
            (true, false) => return Err(self.malformed()),
            (true, true) if self.is_interim => self.is_past_status = false,
            (true, true) => self.is_complete = true,
            (false, true) => {}
            (false, false) => {
                self.is_interim = self.line.get(STATUS_AT) == Some(&b'1');
                self.is_past_status = true;
            }
        }
        self.line.clear();
        self.has_cr = false;
        Ok(())
    }

    fn malformed(&self) -> Malformed {
        Malformed::Line(self.line.escape_ascii().to_string())
    }
}
