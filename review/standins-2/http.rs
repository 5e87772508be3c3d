//! A small HTTP/1.1 reader and writer for the stand-ins.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request, or the head of one.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Returns a value of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| value.to_owned())
        })
    }
}

/// A response as its reader saw it.
#[derive(Debug, Clone, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// A connection with what was read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> std::io::Result<Conn> {
        Ok(Conn::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    /// Reads more; `false` at the end or on a failure.
    fn fill(&mut self) -> bool {
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(count) if count > 0 => {
                self.buf.extend_from_slice(&bytes[..count]);
                true
            }
            _ => false,
        }
    }

    fn head(&mut self) -> Option<(String, Vec<(String, String)>)> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill() {
                return None;
            }
        };
        let head: Vec<u8> = self.buf.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next()?.to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Some((first, headers))
    }

    fn exact(&mut self, length: usize) -> (Vec<u8>, bool) {
        while self.buf.len() < length {
            if !self.fill() {
                return (std::mem::take(&mut self.buf), false);
            }
        }
        (self.buf.drain(..length).collect(), true)
    }

    fn chunked(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = self.buf.windows(2).position(|two| two == b"\r\n") {
                    break at;
                }
                if !self.fill() {
                    return (body, false);
                }
            };
            let line: Vec<u8> = self.buf.drain(..end + 2).collect();
            let size = String::from_utf8_lossy(&line[..end]).into_owned();
            let size = size.split(';').next().unwrap_or("").trim().to_owned();
            let Ok(size) = usize::from_str_radix(&size, 16) else {
                return (body, false);
            };
            let (mut part, is_whole) = self.exact(size + 2);
            part.truncate(size);
            body.extend(part);
            if !is_whole {
                return (body, false);
            }
            if size == 0 {
                return (body, true);
            }
        }
    }

    /// Reads a request; `None` if the connection has ended.
    pub fn request(&mut self) -> Option<Request> {
        let (first, headers) = self.head()?;
        let mut words = first.split(' ');
        words.next()?;
        let mut request = Request {
            target: words.next()?.to_owned(),
            headers,
            body: Vec::new(),
        };
        let is_chunked = request.header("transfer-encoding").is_some();
        let length = request.header("content-length").and_then(|n| n.parse().ok());
        let (body, is_whole) = match (is_chunked, length) {
            (true, _) => self.chunked(),
            (false, Some(length)) => self.exact(length),
            (false, None) => (Vec::new(), true),
        };
        request.body = body;
        is_whole.then_some(request)
    }

    /// Reads a response; `None` if the connection ended before its head was complete.
    pub fn response(&mut self) -> Option<Response> {
        let (first, headers) = self.head()?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let mut response = Response {
            status,
            headers,
            ..Response::default()
        };
        let is_chunked = response.header("transfer-encoding").is_some();
        let length = response.header("content-length").and_then(|n| n.parse().ok());
        (response.body, response.is_complete) = match (is_chunked, length) {
            (true, _) => self.chunked(),
            (false, Some(length)) => self.exact(length),
            (false, None) => {
                let mut body = Vec::new();
                let is_complete = self.stream.read_to_end(&mut body).is_ok();
                let mut all = std::mem::take(&mut self.buf);
                all.extend(body);
                (all, is_complete)
            }
        };
        Some(response)
    }

    /// Returns what has arrived and was not asked for.
    pub fn arrived(&mut self) -> Vec<u8> {
        if self.stream.set_nonblocking(true).is_ok() {
            while self.fill() {}
            let _ = self.stream.set_nonblocking(false);
        }
        std::mem::take(&mut self.buf)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Writes a response with a length.
    pub fn respond(&mut self, status: u16, headers: &[(&str, String)], body: &[u8]) -> bool {
        let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}

/// Returns the bytes of a request.
pub fn encode(method: &str, target: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
