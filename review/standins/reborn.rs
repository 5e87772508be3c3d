//! An engine is cut off from the boxes, crashes behind the cut and starts again; some of its answers have no length.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::proxy::Proxy;
use crate::rig::{self, Boxes, HEARTBEAT, Journal, KEY, ZONES};
use crate::store::Store;

/// Engines of the service. One of them is cut off at a time, a sixth.
const ENGINES: usize = 6;
/// Pieces of an answer, and the time between two of them.
const PIECES: usize = 5;
const PIECE_PAUSE: Duration = Duration::from_millis(150);
/// Length of a cut, time from its begin to the crash, and from the crash to the new start.
const CUT: Duration = Duration::from_millis(1500);
const CRASH_AFTER: Duration = Duration::from_millis(200);
const START_AFTER: Duration = Duration::from_millis(500);
/// Time between two cuts, and their number.
const CUT_PAUSE: Duration = Duration::from_secs(7);
const CUTS: usize = 3;
/// Clients, and the time between two requests of each.
const CLIENTS: usize = 60;
const PAUSE: Duration = Duration::from_millis(50);
/// What clients wait.
const DEADLINE_MS: u64 = 4000;

/// Returns the pieces of the answer to a request; those of a stream are events.
fn pieces(path: &str, attempt: &str) -> Vec<String> {
    let piece = |number: usize| match path.starts_with("/talk/") {
        true => {
            format!("id: {number}\ndata: piece {number} of {PIECES} of the answer to {attempt}\n\n")
        }
        false => format!("piece {number} of {PIECES} of the answer to {attempt}\n"),
    };
    (1..=PIECES).map(piece).collect()
}

/// Whether the answer to a request has neither a length nor chunks: every second one.
fn is_unframed(attempt: &str) -> bool {
    attempt.ends_with(['0', '2', '4', '6', '8', 'a', 'c', 'e'])
}

/// Runs an engine in this process until it is killed.
pub fn engine(address: &str, name: &str) -> ExitCode {
    let Ok(listener) = TcpListener::bind(address) else {
        return ExitCode::from(2);
    };
    let name = name.to_owned();
    http::serve(
        listener,
        Arc::new(move |request, to| respond(&request, to, &name)),
    );
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn respond(request: &Request, to: &mut std::net::TcpStream, name: &str) -> io::Result<bool> {
    let attempt = request.header("x-attempt-id").unwrap_or_default();
    if request
        .header("x-expect-instance")
        .is_some_and(|expected| expected != name)
    {
        let headers =
            format!("X-Instance-Id: {name}\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n");
        http::answer(to, "421 Misdirected Request", &headers, b"")?;
        return Ok(true);
    }
    if request.path == "/health" {
        http::answer(to, "200 OK", &format!("X-Instance-Id: {name}\r\n"), b"")?;
        return Ok(true);
    }
    // The process that started this one records it.
    writeln!(io::stdout(), "runs {attempt}")?;
    let pieces = pieces(&request.path, attempt);
    let length = match is_unframed(attempt) {
        true => "Connection: close\r\n".to_owned(),
        false => format!("Content-Length: {}\r\n", pieces.concat().len()),
    };
    write!(
        to,
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Engine-Seal: seal.{name}\r\n{length}\r\n"
    )?;
    for piece in pieces {
        thread::sleep(PIECE_PAUSE);
        to.write_all(piece.as_bytes())?;
    }
    Ok(!is_unframed(attempt))
}

/// An engine: a process behind a proxy, and its entry in the store.
struct Engine {
    id: String,
    at: SocketAddr,
    proxy: Arc<Proxy>,
    zone: &'static str,
    born: Mutex<u128>,
    is_running: AtomicBool,
    child: Mutex<Option<Child>>,
}

impl Engine {
    fn new(number: usize) -> Engine {
        let ip = rig::address(100 + number as u8);
        let at = SocketAddr::new(ip.into(), rig::free_port(ip));
        let proxy = Proxy::start(rig::address(150 + number as u8), at);
        Engine {
            id: format!("i-{number}"),
            at,
            proxy,
            zone: ZONES[number % 3],
            born: Mutex::default(),
            is_running: AtomicBool::new(false),
            child: Mutex::default(),
        }
    }

    /// Starts the process under its id; the start time of its entry is later than that of the run before.
    fn spawn(&self, journal: &Arc<Journal>) {
        let program = std::env::current_exe().expect("the program has a path");
        let at = self.at.to_string();
        let mut child = rig::start(
            Command::new(program)
                .args(["engine", &at, &self.id])
                .stdin(Stdio::null())
                .stdout(Stdio::piped()),
        );
        let output = child.stdout.take().expect("it is piped");
        let (journal, id) = (journal.clone(), self.id.clone());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                journal.note(&format!("engine: {id} {line}"));
            }
        });
        *self.child.lock().expect("no thread panics with it") = Some(child);
        *self.born.lock().expect("no thread panics with it") = rig::unix_ms();
        self.is_running.store(true, Ordering::SeqCst);
    }

    fn crash(&self) {
        self.is_running.store(false, Ordering::SeqCst);
        if let Some(mut child) = self.child.lock().expect("no thread panics with it").take() {
            let _ = child.kill();
            rig::wait(child);
        }
    }

    fn beat(&self, store: &Store, number: u64) {
        if self.is_running.load(Ordering::SeqCst) {
            let born = *self.born.lock().expect("no thread panics with it");
            store.write(
                "keyed.servers",
                &self.id,
                &rig::entry(self.proxy.address, self.zone, born, number),
            );
        }
    }
}

/// An answer that a client got.
struct Got {
    at: Instant,
    id: String,
    to: String,
    path: &'static str,
    answer: Option<Answer>,
}

impl Got {
    /// Returns the whole body that the engine makes.
    fn whole(&self) -> String {
        pieces(self.path, &self.id).concat()
    }

    /// Whether the client got a success that looks whole.
    fn looks_whole(&self) -> bool {
        self.answer
            .as_ref()
            .is_some_and(|answer| answer.status == 200 && answer.complete)
    }

    /// Whether the client got a success that looks whole and is not what the engine makes.
    fn is_false(&self) -> bool {
        let body = self.answer.as_ref().map(|answer| answer.body.as_slice());
        self.looks_whole() && body != Some(self.whole().as_bytes())
    }
}

/// Plays the case; `trouble` is whether engines are cut off and crash behind the cut.
pub fn play(journal: &Arc<Journal>, trouble: bool) -> ExitCode {
    let store = Store::start();
    store.write("keyed.op", "config", &rig::config(3, &[], 20_000));
    let engines: Vec<Arc<Engine>> = (0..ENGINES)
        .map(|number| Arc::new(Engine::new(number)))
        .collect();
    for engine in &engines {
        engine.spawn(journal);
        let (engine, store) = (engine.clone(), store.clone());
        thread::spawn(move || {
            for number in 0.. {
                engine.beat(&store, number);
                thread::sleep(HEARTBEAT);
            }
        });
    }
    let boxes = Boxes::start(&store, 3);
    let code = match boxes.wait_until_in(Duration::from_secs(15)) {
        true => run(journal, trouble, &store, &engines, &boxes),
        false => {
            journal.note("the boxes did not become ready");
            ExitCode::from(2)
        }
    };
    engines.iter().for_each(|engine| engine.crash());
    boxes.stop();
    code
}

fn run(
    journal: &Arc<Journal>,
    trouble: bool,
    store: &Store,
    engines: &[Arc<Engine>],
    boxes: &Arc<Boxes>,
) -> ExitCode {
    thread::sleep(Duration::from_secs(3));
    let end = Instant::now() + CUT_PAUSE * CUTS as u32 + Duration::from_secs(1);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let boxes = boxes.clone();
            thread::spawn(move || {
                let mut got = Vec::new();
                while Instant::now() < end {
                    let to = &boxes.all[number % boxes.all.len()];
                    let (method, path) = [
                        ("GET", "/safe/item"),
                        ("POST", "/once/item"),
                        ("POST", "/talk/item"),
                    ][number / 3 % 3];
                    let (id, at) = (rig::attempt_id(), Instant::now());
                    let request = rig::request(method, path, &id, KEY, DEADLINE_MS);
                    let answer = http::call(to.front, &request, Duration::from_millis(DEADLINE_MS));
                    got.push(Got {
                        at,
                        id,
                        to: to.name.clone(),
                        path,
                        answer,
                    });
                    thread::sleep(PAUSE);
                }
                got
            })
        })
        .collect();
    for number in 0..CUTS {
        thread::sleep(Duration::from_secs(1));
        let began = Instant::now();
        let engine = &engines[number * 2 % ENGINES];
        if trouble {
            let held = engine.proxy.cut();
            journal.note(&format!(
                "network: {} is partitioned from all boxes",
                engine.id
            ));
            thread::sleep(CRASH_AFTER.saturating_sub(began.elapsed()));
            engine.crash();
            journal.note(&format!("engine: {} crashes behind the cut", engine.id));
            thread::sleep(START_AFTER);
            engine.spawn(journal);
            engine.beat(store, 0);
            journal.note(&format!("engine: {} has started again", engine.id));
            thread::sleep(CUT.saturating_sub(began.elapsed()));
            engine.proxy.heal(held);
            journal.note(&format!(
                "network: the partition of {} has ended",
                engine.id
            ));
        }
        thread::sleep((CUT_PAUSE - Duration::from_secs(1)).saturating_sub(began.elapsed()));
    }
    let mut got: Vec<Got> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("no thread panics"))
        .collect();

    got.sort_by_key(|one| one.at);
    let (mut whole, mut broken) = (0, 0);
    for one in &got {
        let seen = match &one.answer {
            None => "no answer".to_owned(),
            Some(answer) => {
                let by = answer.header("x-engine-seal").unwrap_or("-");
                let end = if answer.complete {
                    "complete"
                } else {
                    "broken off"
                };
                format!(
                    "{} by {by}, {} of {} bytes, {end}",
                    answer.status,
                    answer.body.len(),
                    one.whole().len()
                )
            }
        };
        let is_false = one.is_false();
        broken += usize::from(is_false);
        whole += usize::from(one.looks_whole() && !is_false);
        let mark = if is_false { "broken: " } else { "" };
        journal.note_at(
            one.at,
            &format!(
                "{mark}client: sent {} {} to {} -> {seen}",
                one.id, one.path, one.to
            ),
        );
    }
    journal.note(&format!(
        "{} requests, {whole} whole answers, {broken} answers that look whole and lack a part",
        got.len()
    ));
    println!(
        "{} requests, {whole} whole answers, {broken} answers that look whole and lack a part",
        got.len()
    );
    match (broken, whole * 10 > got.len() * 8) {
        (0, true) => ExitCode::SUCCESS,
        (0, false) => ExitCode::from(2),
        _ => ExitCode::from(1),
    }
}
