//! A box takes an engine that it has seen go back from a box that has started since, after the store came back from a copy.

use std::net::{SocketAddr, TcpListener, TcpStream};
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
const ENGINES: u8 = 4;

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
    /// Whether it has left: it writes its entry no more, and serves on.
    has_left: Arc<AtomicBool>,
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
            let has_left = self.has_left.load(Ordering::SeqCst);
            if request.path() == "/health" {
                conn.respond(if has_left { 503 } else { 200 }, &[("X-Instance-Id", self.id.clone())], b"");
                continue;
            }
            let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
            if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
                conn.respond(421, &[], b"");
                continue;
            }
            record.note(&format!("engine {} runs {attempt}, from {from}, has left: {has_left}", self.id));
            self.arrivals.lock().unwrap().push(Arrival {
                attempt: attempt.clone(),
                from: from.clone(),
            });
            sleep_ms(WORK_MS);
            let headers = [("X-Attempt-Id", attempt.clone()), ("X-Engine-Seal", format!("{}.{attempt}", self.id))];
            conn.respond(200, &headers, b"done");
        }
    }

    fn beat(&self, store: &Store) {
        let (worker, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            let mut sequence = 0;
            while !worker.has_left.load(Ordering::SeqCst) {
                let entry = format!(
                    r#"{{"Service":"portal","Address":"{}","Zone":"{}","Version":"v1","Slots":6,"State":"ready","ColdRemainingMs":0,"Sequence":{sequence},"born":1796592000000}}"#,
                    worker.address, worker.zone
                );
                store.put("keyed.servers", &worker.id, entry.as_bytes());
                sequence += 1;
                sleep_ms(1200);
            }
        });
    }
}

pub fn run(case: &Path, root: &Path, is_troubled: bool) -> bool {
    let mut rig = Rig::new(case, root);
    let processes: Arc<Mutex<Vec<(String, u32)>>> = Arc::default();
    let mut workers = Vec::new();
    for number in 0..ENGINES {
        let worker = Worker {
            id: format!("i-{number:08x}"),
            address: SocketAddr::new(rig.ip(100 + number), rig.store_address.port() + 20),
            zone: ["hall-a", "hall-b", "hall-c"][number as usize % 3].to_owned(),
            has_left: Arc::default(),
            arrivals: Arc::default(),
            processes: processes.clone(),
        };
        worker.listen(&rig.record);
        worker.beat(&rig.store);
        workers.push(worker);
    }
    let keys: &[(&str, &[&str])] = &[("dealer", &["key-1"])];
    rig.configure(&config(7, keys));
    for zone in ["hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-b", "hall-c", "hall-c"] {
        rig.add_box(zone);
    }
    let (seeds, store) = ([0, 3, 6], rig.store_address);
    for at in 0..8 {
        rig.start_box(at, true, &seeds, store);
    }
    for at in 0..8 {
        if !rig.wait_ready(at, ms(20_000)) {
            cannot_run("a box is not ready");
        }
    }
    *processes.lock().unwrap() = rig.processes();
    sleep_ms(8000);
    // The box that starts again, and the one that is asked, which stands behind it in its zone.
    let (starter, asked) = (0, 1);
    let name = rig.boxes[asked].name.clone();
    let ask = |rig: &Rig| {
        let sent = Sent {
            attempt: rig.attempt(),
            method: "GET".to_owned(),
            path: "/status/1".to_owned(),
            key: Some("key-1".to_owned()),
            body: Vec::new(),
            deadline_ms: 4000,
        };
        let at = Instant::now();
        let status = rig.send(rig.front(asked), &sent).map(|answer| answer.status);
        rig.record.note(&format!("client: {} at {name}: {status:?}", sent.attempt));
        (sent.attempt, at)
    };
    for _ in 0..20 {
        ask(&rig);
    }
    // Planned: the first box stops, and an engine leaves without a word meanwhile.
    rig.signal(starter, "TERM");
    sleep_ms(1000);
    let (copy, made_at) = (rig.store.copy(), Instant::now());
    rig.record.note("a copy of the store is made");
    sleep_ms(400);
    let leaver = &workers[0];
    leaver.has_left.store(true, Ordering::SeqCst);
    rig.store.put("keyed.servers", &leaver.id, b"");
    rig.record.note(&format!("the store has taken that engine {} is gone", leaver.id));
    let gone_at = Instant::now();
    rig.wait_box(starter);
    let ended_at = Instant::now();
    while ended_at.elapsed() < ms(2200) {
        ask(&rig);
        sleep_ms(20);
    }
    if is_troubled {
        rig.record.note("the store is away");
        rig.store.set_mode(Mode::Silent);
    }
    sleep_ms(500);
    if is_troubled {
        rig.store.restore(copy, made_at);
        rig.record.note("the store is back from a copy");
    }
    let back_at = Instant::now();
    rig.start_box(starter, false, &seeds, store);
    *processes.lock().unwrap() = rig.processes();
    if is_troubled {
        rig.configure(&config(7, keys));
    }
    // Three heartbeats after the return the store drops the entry.
    let mut late = Vec::new();
    let mut is_dropped = false;
    while back_at.elapsed() < ms(6000) {
        if !is_dropped && back_at.elapsed() > ms(3600) {
            is_dropped = true;
            rig.store.put("keyed.servers", &leaver.id, b"");
            rig.record.note("the entry has lapsed");
        }
        let (attempt, at) = ask(&rig);
        if at > gone_at + ms(DRAIN_MS) {
            late.push(attempt);
        }
        sleep_ms(20);
    }
    rig.end();
    let arrivals = leaver.arrivals.lock().unwrap().clone();
    let broken: Vec<&Arrival> = arrivals
        .iter()
        .filter(|arrival| arrival.from == name && late.contains(&arrival.attempt))
        .collect();
    let text = format!(
        "{} of {} requests that were sent to {name} over {DRAIN_MS} ms after the engine was gone reached the engine from it",
        broken.len(),
        late.len()
    );
    rig.record.note(&text);
    println!("{text}");
    rig.clean();
    !broken.is_empty()
}
