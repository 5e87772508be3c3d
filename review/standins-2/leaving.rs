//! A box that reaches no engine passes on an answer with `Server-Leaving` that another box got, and later sends to that engine.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::http::Conn;
use crate::rig::{Record, Rig, Sent, cannot_run, config, ms, owner, sleep_ms};
use crate::store::{Mode, Store};

const DRAIN_MS: u64 = 2000;
const WORK_MS: u64 = 20;
/// Length of the partition from the engines.
const CUT_MS: u64 = 4000;
/// Length of the outage of the store.
const OUTAGE_MS: u64 = 4400;
const ENGINES: u8 = 3;

/// An arrival at an engine.
#[derive(Clone)]
struct Arrival {
    attempt: String,
    /// The box that sent it.
    from: String,
}

#[derive(Clone)]
struct Worker {
    id: String,
    address: SocketAddr,
    zone: String,
    is_leaving: Arc<AtomicBool>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    processes: Arc<Mutex<Vec<(String, u32)>>>,
}

impl Worker {
    fn listen(&self, record: &Record) {
        let listener = TcpListener::bind(self.address).unwrap_or_else(|err| cannot_run(&format!("{}: {err}", self.address)));
        let (worker, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (worker, record) = (worker.clone(), record.clone());
                thread::spawn(move || worker.serve(stream, &record));
            }
        });
    }

    fn serve(&self, stream: TcpStream, record: &Record) {
        let Ok(peer) = stream.peer_addr() else {
            return;
        };
        let processes = self.processes.lock().unwrap().clone();
        let from = owner(peer, self.address, &processes).unwrap_or_else(|| "?".to_owned());
        let mut conn = Conn::new(stream);
        while let Some(request) = conn.request() {
            let is_leaving = self.is_leaving.load(Ordering::SeqCst);
            let mut headers = Vec::new();
            if is_leaving {
                headers.push(("Server-Leaving", "1".to_owned()));
            }
            if request.path() == "/health" {
                headers.push(("X-Instance-Id", self.id.clone()));
                conn.respond(if is_leaving { 503 } else { 200 }, &headers, b"");
                continue;
            }
            let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
            if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
                conn.respond(421, &headers, b"");
                continue;
            }
            let from = from.clone();
            record.note(&format!("engine {} runs {attempt}, from {from}, leaving: {is_leaving}", self.id));
            self.arrivals.lock().unwrap().push(Arrival {
                attempt: attempt.clone(),
                from,
            });
            headers.push(("X-Attempt-Id", attempt.clone()));
            headers.push(("X-Engine-Seal", format!("{}.{attempt}", self.id)));
            headers.push(("Content-Type", "text/event-stream".to_owned()));
            headers.push(("Transfer-Encoding", "chunked".to_owned()));
            let mut head = "HTTP/1.1 200 OK\r\n".to_owned();
            for (name, value) in &headers {
                head.push_str(&format!("{name}: {value}\r\n"));
            }
            head.push_str("\r\n");
            sleep_ms(WORK_MS);
            conn.write(head.as_bytes());
            for event in 1..=3 {
                let event = format!("id: {event}\ndata: piece\n\n");
                conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
                sleep_ms(WORK_MS / 4);
            }
            conn.write(b"0\r\n\r\n");
        }
    }

    /// Writes the entry at each heartbeat, and at once when the engine begins to leave, if the store takes it.
    fn beat(&self, store: &Store, record: &Record) {
        let (worker, store, record) = (self.clone(), store.clone(), record.clone());
        thread::spawn(move || {
            let (mut sequence, mut beat_at, mut written) = (0, Instant::now(), "");
            loop {
                let state = if worker.is_leaving.load(Ordering::SeqCst) { "draining" } else { "ready" };
                if state != written || Instant::now() >= beat_at {
                    let entry = format!(
                        r#"{{"Service":"portal","Address":"{}","Zone":"{}","Version":"v1","Slots":6,"State":"{state}","ColdRemainingMs":0,"Sequence":{sequence},"born":1796592000000}}"#,
                        worker.address, worker.zone
                    );
                    if store.put("keyed.servers", &worker.id, entry.as_bytes()) {
                        if written != state {
                            record.note(&format!("the store has taken {state} from engine {}", worker.id));
                        }
                        written = state;
                        sequence += 1;
                        beat_at = Instant::now() + ms(1200);
                    }
                }
                sleep_ms(50);
            }
        });
    }
}

/// The link of the box to an engine: a proxy that refuses connections while it is cut.
#[derive(Clone)]
struct Link {
    from: SocketAddr,
    to: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    /// Ends all connections, and refuses new ones.
    fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn open(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
        let listener = TcpListener::bind(self.from).unwrap_or_else(|err| cannot_run(&format!("{}: {err}", self.from)));
        listener.set_nonblocking(true).expect("a listener that doesn't block");
        let link = self.clone();
        thread::spawn(move || {
            while !link.is_cut.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let Ok(other) = TcpStream::connect_timeout(&link.to, ms(500)) else {
                            continue;
                        };
                        if let Ok(stream) = stream.try_clone() {
                            link.open.lock().unwrap().push(stream);
                        }
                        pass_on(&stream, &other);
                        pass_on(&other, &stream);
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
    }
}

fn pass_on(from: &TcpStream, to: &TcpStream) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let _ = to.set_nodelay(true);
    thread::spawn(move || {
        let mut bytes = [0; 16 * 1024];
        while let Ok(count) = from.read(&mut bytes) {
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}

pub fn run(case: &Path, root: &Path, is_troubled: bool) -> bool {
    let mut rig = Rig::new(case, root);
    let port = rig.store_address.port() + 20;
    let processes: Arc<Mutex<Vec<(String, u32)>>> = Arc::default();
    let mut workers = Vec::new();
    let mut links = Vec::new();
    for number in 0..ENGINES {
        let worker = Worker {
            id: format!("i-{number:08x}"),
            address: SocketAddr::new(rig.ip(100 + number), port),
            zone: ["hall-a", "hall-b", "hall-c"][number as usize].to_owned(),
            is_leaving: Arc::default(),
            arrivals: Arc::default(),
            processes: processes.clone(),
        };
        worker.listen(&rig.record);
        worker.beat(&rig.store, &rig.record);
        let link = Link {
            from: SocketAddr::new(rig.ip(150 + number), port),
            to: worker.address,
            is_cut: Arc::default(),
            open: Arc::default(),
        };
        link.open();
        links.push(link);
        workers.push(worker);
    }
    // The last box reaches the engines over links of its own.
    let view = SocketAddr::new(rig.store_address.ip(), rig.store_address.port() + 30);
    let (from, to) = (rig.ip(100).to_string(), rig.ip(150).to_string());
    rig.store.serve_view(view, &from[..from.len() - 1], &to[..to.len() - 1]);
    rig.configure(&config(7, &[("dealer", &["key-1"])]));
    for zone in ["hall-a", "hall-a", "hall-b", "hall-b", "hall-c"] {
        rig.add_box(zone);
    }
    let (seeds, store) = ([0, 2, 4], rig.store_address);
    let last = 4;
    for at in 0..=last {
        rig.start_box(at, true, &seeds, if at == last { view } else { store });
    }
    *processes.lock().unwrap() = rig.processes();
    processes.lock().unwrap().push((rig.boxes[last].name.clone(), std::process::id()));
    for at in 0..=last {
        if !rig.wait_ready(at, ms(15_000)) {
            cannot_run("a box is not ready");
        }
    }
    sleep_ms(8000);
    let name = rig.boxes[last].name.clone();
    let ask = |rig: &Rig| {
        let sent = Sent {
            attempt: rig.attempt(),
            method: "POST".to_owned(),
            path: "/draft/1".to_owned(),
            key: None,
            body: b"a draft".to_vec(),
            deadline_ms: 20_000,
        };
        let at = Instant::now();
        let answer = rig.send(rig.front(last), &sent);
        let leaving = answer.as_ref().and_then(|answer| answer.header("server-leaving").map(str::to_owned));
        let seal = answer.as_ref().and_then(|answer| answer.header("x-engine-seal").map(str::to_owned));
        let status = answer.map(|answer| answer.status);
        rig.record.note(&format!("client: {} at {name}: {status:?} {seal:?} Server-Leaving: {leaving:?}", sent.attempt));
        (sent.attempt, at, leaving.is_some())
    };
    for _ in 0..20 {
        ask(&rig);
    }
    if is_troubled {
        rig.record.note(&format!("{name} is partitioned from all engines"));
        links.iter().for_each(Link::cut);
    }
    let cut_at = Instant::now();
    while cut_at.elapsed() < ms(CUT_MS - 2000) {
        ask(&rig);
        sleep_ms(10);
    }
    if is_troubled {
        rig.record.note("the store is away");
        rig.store.set_mode(Mode::Silent);
    }
    let away_at = Instant::now();
    workers[0].is_leaving.store(true, Ordering::SeqCst);
    rig.record.note(&format!("engine {} begins to leave", workers[0].id));
    // The last answer with `Server-Leaving` that the box passed on before its links are back.
    let mut passed_at = None;
    while cut_at.elapsed() < ms(CUT_MS) {
        let (_, _, is_leaving) = ask(&rig);
        if is_leaving && passed_at.is_none() {
            passed_at = Some(Instant::now());
        }
    }
    if is_troubled {
        links.iter().for_each(Link::open);
        rig.record.note(&format!("{name} reaches the engines again"));
    }
    let mut late = Vec::new();
    while away_at.elapsed() < ms(OUTAGE_MS) {
        let (attempt, at, is_leaving) = ask(&rig);
        match passed_at {
            Some(passed) if at > passed + ms(DRAIN_MS) => late.push(attempt),
            None if is_leaving => passed_at = Some(Instant::now()),
            _ => {}
        }
        sleep_ms(20);
    }
    rig.store.set_mode(Mode::Up);
    rig.record.note("the store is back");
    sleep_ms(500);
    rig.end();
    if is_troubled && passed_at.is_none() {
        cannot_run("no answer with Server-Leaving was passed on");
    }
    let arrivals = workers[0].arrivals.lock().unwrap().clone();
    let broken: Vec<&Arrival> = arrivals
        .iter()
        .filter(|arrival| arrival.from == name && late.contains(&arrival.attempt))
        .collect();
    let text = format!(
        "{} of {} requests that were sent to {name} over {DRAIN_MS} ms after it had passed on an answer with Server-Leaving reached that engine from it",
        broken.len(),
        late.len()
    );
    rig.record.note(&text);
    println!("{text}");
    rig.clean();
    !broken.is_empty()
}
