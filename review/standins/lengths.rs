//! Some engines spoil a few of their answers: the head names a length, and the body comes in chunks and is longer.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Connection, Request};
use crate::rig::{self, Boxes, HEARTBEAT, Journal, KEY, ZONES};
use crate::store::Store;

/// Engines of the service. Half of them spoil one answer in [`SPOILED_PERIOD`].
const ENGINES: usize = 6;
const SPOILED_PERIOD: u64 = 50;
/// The length that the head of a spoiled answer names.
const FALSE_LENGTH: usize = 9;
/// Time that a request runs.
const RUN_TIME: Duration = Duration::from_millis(15);
/// Clients, the time between two requests of each, and the time for which they send.
const CLIENTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(5);
/// What clients wait.
const DEADLINE_MS: u64 = 1500;

/// Returns the whole body of the answer to a request.
fn whole_body(attempt: &str) -> String {
    format!("the whole answer of the engine to {attempt}\n")
}

fn start_engine(journal: &Arc<Journal>, store: &Arc<Store>, number: usize, trouble: bool) {
    let listener = TcpListener::bind((rig::address(100 + number as u8), 0));
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let (id, born) = (format!("i-{number}"), rig::unix_ms());
    let (name, journal) = (id.clone(), journal.clone());
    let is_faulty = trouble && number < ENGINES / 2;
    let count = AtomicU64::new(0);
    let respond = move |request: Request, to: &mut TcpStream| {
        let attempt = request.header("x-attempt-id").unwrap_or_default();
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != name) {
            let headers = format!(
                "X-Instance-Id: {name}\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n"
            );
            http::answer(to, "421 Misdirected Request", &headers, b"")?;
            return Ok(true);
        }
        if request.path == "/health" {
            http::answer(to, "200 OK", &format!("X-Instance-Id: {name}\r\n"), b"")?;
            return Ok(true);
        }
        thread::sleep(RUN_TIME);
        let body = whole_body(attempt);
        let own = format!("X-Attempt-Id: {attempt}\r\nX-Engine-Seal: seal.{name}\r\n");
        let number = count.fetch_add(1, Ordering::SeqCst);
        if !is_faulty || number % SPOILED_PERIOD != SPOILED_PERIOD / 2 {
            http::answer(to, "200 OK", &own, body.as_bytes())?;
            return Ok(true);
        }
        journal.note(&format!("engine: {name} spoils the answer to {attempt}: Content-Length {FALSE_LENGTH}, and {} bytes in chunks", body.len()));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{own}Content-Length: {FALSE_LENGTH}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        write!(to, "{head}{:x}\r\n{body}\r\n0\r\n\r\n", body.len())?;
        Ok(true)
    };
    http::serve(listener, Arc::new(respond));
    let store = store.clone();
    thread::spawn(move || {
        for beat in 0.. {
            let entry = rig::entry(address, ZONES[number % 3], born, beat);
            store.write("keyed.servers", &id, &entry);
            thread::sleep(HEARTBEAT);
        }
    });
}

/// What a client has seen.
#[derive(Default)]
struct Seen {
    requests: usize,
    whole: usize,
    /// Successes with the seal that look whole and carry another body than the engine's.
    false_wholes: usize,
    /// Bytes that are not an answer, where one was due.
    no_answers: usize,
}

impl Seen {
    fn add(self, other: Seen) -> Seen {
        Seen {
            requests: self.requests + other.requests,
            whole: self.whole + other.whole,
            false_wholes: self.false_wholes + other.false_wholes,
            no_answers: self.no_answers + other.no_answers,
        }
    }
}

/// Plays the case; `trouble` is whether engines spoil answers.
pub fn play(journal: &Arc<Journal>, trouble: bool) -> ExitCode {
    let store = Store::start();
    store.write("keyed.op", "config", &rig::config(3, &[], 20_000));
    (0..ENGINES).for_each(|number| start_engine(journal, &store, number, trouble));
    let boxes = Boxes::start(&store, 3);
    if !boxes.wait_until_in(Duration::from_secs(15)) {
        journal.note("the boxes did not become ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(3));
    let end = Instant::now() + LENGTH;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (journal, boxes) = (journal.clone(), boxes.clone());
            thread::spawn(move || {
                let mut seen = Seen::default();
                while Instant::now() < end {
                    let to = &boxes.all[number % boxes.all.len()];
                    keep_sending(&journal, to, end, number, &mut seen);
                }
                seen
            })
        })
        .collect();
    let joined = clients
        .into_iter()
        .map(|client| client.join().expect("no thread panics"));
    let seen = joined.fold(Seen::default(), Seen::add);
    boxes.stop();
    let line = format!(
        "{} requests, {} whole answers, {} successes that look whole and are not the engine's body, {} times bytes that are not an answer",
        seen.requests, seen.whole, seen.false_wholes, seen.no_answers
    );
    journal.note(&line);
    println!("{line}");
    match (
        seen.false_wholes + seen.no_answers,
        seen.whole * 10 > seen.requests * 8,
    ) {
        (0, true) => ExitCode::SUCCESS,
        (0, false) => ExitCode::from(2),
        _ => ExitCode::from(1),
    }
}

/// Sends one request after the other on a kept connection, until something is wrong with it.
fn keep_sending(
    journal: &Journal,
    to: &rig::EntryBox,
    end: Instant,
    number: usize,
    seen: &mut Seen,
) {
    let patience = Duration::from_millis(DEADLINE_MS);
    let Some(mut connection) = Connection::open(to.front, patience) else {
        return;
    };
    while Instant::now() < end {
        let (method, path) = [("GET", "/safe/item"), ("POST", "/once/item")][number / 3 % 2];
        let id = rig::attempt_id();
        let request = rig::request(method, path, &id, KEY, DEADLINE_MS);
        seen.requests += 1;
        match connection.exchange(&request, patience) {
            Ok(answer) if answer.status == 200 && answer.complete => {
                let text = String::from_utf8_lossy(&answer.body);
                let is_whole = text == whole_body(&id);
                seen.whole += usize::from(is_whole);
                seen.false_wholes += usize::from(!is_whole);
                if !is_whole {
                    let (seal, length) = (
                        answer.header("x-engine-seal"),
                        answer.header("content-length"),
                    );
                    journal.note(&format!("broken: {id} {path} to {} -> 200, seal {seal:?}, length {length:?}, complete: {text:?}", to.name));
                }
            }
            Ok(answer) => {
                journal.note(&format!(
                    "client: {id} {path} to {} -> {}, complete: {}",
                    to.name, answer.status, answer.complete
                ));
                return;
            }
            Err(why) => {
                let is_broken = why.starts_with("not an answer");
                seen.no_answers += usize::from(is_broken);
                let mark = if is_broken { "broken" } else { "client" };
                journal.note(&format!("{mark}: {id} {path} to {} -> {why}", to.name));
                return;
            }
        }
        thread::sleep(PAUSE);
    }
}
