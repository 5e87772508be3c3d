//! A small HTTP/1.1 server and client on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request as received.
pub struct Request {
    /// Path without the query.
    pub path: String,
    /// Query, empty if there is none.
    pub query: String,
    /// Names in lower case, with values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns the value of a field of the query; empty if it is missing.
    pub fn field(&self, name: &str) -> String {
        let fields = self
            .query
            .split('&')
            .filter_map(|field| field.split_once('='));
        let mut found = fields.filter(|(key, _)| *key == name);
        found
            .next()
            .map_or_else(String::new, |(_, value)| value.to_owned())
    }
}

/// An answer as received by a client.
#[derive(Clone)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Names in lower case, with values.
    pub headers: Vec<(String, String)>,
    /// Body, as far as it arrived.
    pub body: Vec<u8>,
    /// Whether the framing says that the answer is complete.
    pub complete: bool,
}

impl Answer {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.as_str())
}

/// Handles a request and writes the answer; returns whether the connection is kept.
pub type Handler = Arc<dyn Fn(Request, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

/// Serves each connection in a thread of its own, for the lifetime of the process.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = handler.clone();
            thread::spawn(move || {
                // A connection that breaks ends its thread.
                let _ = connection(stream, &handler);
            });
        }
    });
}

fn connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        if !handler(request, &mut writer)? {
            break;
        }
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    words.next();
    let target = words.next().unwrap_or_default().to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let length = find(&headers, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some(Request {
        path,
        query,
        headers,
        body,
    }))
}

/// Reads the first line and the headers; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Writes an answer with a length.
pub fn answer(to: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    to.write_all(&bytes)
}

/// Socket whose reads end at a fixed time.
struct Until {
    stream: TcpStream,
    end: Instant,
}

impl Read for Until {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let left = self.end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buf)
    }
}

/// A connection of a client.
pub struct Connection {
    reader: BufReader<Until>,
}

impl Connection {
    /// Opens a connection.
    pub fn open(address: SocketAddr, patience: Duration) -> Option<Connection> {
        let limit = Duration::from_secs(1).min(patience);
        let stream = TcpStream::connect_timeout(&address, limit).ok()?;
        stream.set_nodelay(true).ok()?;
        let end = Instant::now() + patience;
        let reader = BufReader::new(Until { stream, end });
        Some(Connection { reader })
    }

    /// Sends a request and waits for the answer for at most `patience`.
    ///
    /// # Errors
    /// If no head of an answer arrives; what arrived in its place, if anything.
    pub fn exchange(&mut self, request: &[u8], patience: Duration) -> Result<Answer, String> {
        let until = self.reader.get_mut();
        until.end = Instant::now() + patience;
        let none = |err: io::Error| err.to_string();
        until.stream.write_all(request).map_err(none)?;
        let head = read_head(&mut self.reader).map_err(none)?;
        let (first, headers) = head.ok_or("the connection has ended")?;
        let status = first
            .strip_prefix("HTTP/1.1 ")
            .and_then(|rest| rest.get(..3));
        let Some(status) = status.and_then(|status| status.parse().ok()) else {
            return Err(format!("not an answer: {first:?}"));
        };
        let mut answer = Answer {
            status,
            headers,
            body: Vec::new(),
            complete: false,
        };
        answer.complete = read_body(&mut self.reader, &mut answer).is_ok();
        Ok(answer)
    }
}

/// Sends a request on a new connection and waits for the answer for at most `patience`. Returns `None` if no head of an answer arrives.
pub fn call(address: SocketAddr, request: &[u8], patience: Duration) -> Option<Answer> {
    let mut connection = Connection::open(address, patience)?;
    connection.exchange(request, patience).ok()
}

fn read_body(reader: &mut impl BufRead, answer: &mut Answer) -> io::Result<()> {
    if answer.header("transfer-encoding").is_some() {
        return read_chunks(reader, &mut answer.body);
    }
    match answer.header("content-length").map(str::parse::<u64>) {
        Some(Ok(length)) => {
            reader.take(length).read_to_end(&mut answer.body)?;
            match answer.body.len() as u64 == length {
                true => Ok(()),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            }
        }
        Some(Err(_)) => Err(io::ErrorKind::InvalidData.into()),
        None => reader.read_to_end(&mut answer.body).map(|_| ()),
    }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let length = u64::from_str_radix(line.trim(), 16);
        let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let before = body.len() as u64;
        reader.by_ref().take(length).read_to_end(body)?;
        if body.len() as u64 != before + length || reader.read_line(&mut String::new())? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if length == 0 {
            return Ok(());
        }
    }
}
