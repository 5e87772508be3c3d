//! An engine starts again under its id and turns requests away with `Retry-After`, before the box has read its new entry.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Instant, SystemTime};

use crate::http::Conn;
use crate::rig::{Record, Rig, Sent, cannot_run, config, ms, sleep_ms};
use crate::store::Store;

/// What the engine asks for, in seconds.
const RETRY_AFTER_S: u64 = 5;
/// Time that a request takes at an engine.
const WORK_MS: u64 = 60;
/// Time after which the restarted engine turns a request away.
const REFUSAL_MS: u64 = 60;
/// Time that the engine is down.
const DOWN_MS: u64 = 100;
const HEARTBEAT_MS: u64 = 1200;
const CLIENTS: usize = 12;
/// Time from the first such answer from which requests count.
const SLACK_MS: u64 = 500;

#[derive(Clone)]
struct Worker {
    id: String,
    address: SocketAddr,
    zone: String,
    /// Start of this run, in ms of Unix time; 0 while the engine is down.
    born: Arc<AtomicU64>,
    is_turning_away: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    /// When requests arrived, and when they were answered with `Retry-After`.
    arrivals: Arc<Mutex<Vec<Instant>>>,
    refusals: Arc<Mutex<Vec<Instant>>>,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl Worker {
    fn new(id: &str, address: SocketAddr, zone: &str) -> Worker {
        Worker {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            born: Arc::new(AtomicU64::new(unix_ms())),
            is_turning_away: Arc::default(),
            open: Arc::default(),
            arrivals: Arc::default(),
            refusals: Arc::default(),
        }
    }

    /// Serves until the engine goes down.
    fn listen(&self, record: &Record) {
        let listener = TcpListener::bind(self.address).unwrap_or_else(|err| cannot_run(&format!("{}: {err}", self.address)));
        listener.set_nonblocking(true).expect("a listener that doesn't block");
        let (worker, record) = (self.clone(), record.clone());
        let born = self.born.load(Ordering::SeqCst);
        thread::spawn(move || {
            while worker.born.load(Ordering::SeqCst) == born {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(other) = stream.try_clone() {
                            worker.open.lock().unwrap().push(other);
                        }
                        let (worker, record) = (worker.clone(), record.clone());
                        thread::spawn(move || worker.serve(Conn::new(stream), born, &record));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
    }

    fn serve(&self, mut conn: Conn, born: u64, record: &Record) {
        while let Some(request) = conn.request() {
            if self.born.load(Ordering::SeqCst) != born {
                return;
            }
            if request.path() == "/health" {
                conn.respond(200, &[("X-Instance-Id", self.id.clone())], b"");
                continue;
            }
            let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
            if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
                conn.respond(421, &[("X-Instance-Id", self.id.clone())], b"");
                continue;
            }
            self.arrivals.lock().unwrap().push(Instant::now());
            if self.is_turning_away.load(Ordering::SeqCst) {
                sleep_ms(REFUSAL_MS);
                let headers = [
                    ("X-Attempt-Id", attempt.clone()),
                    ("X-Not-Executed", "1".to_owned()),
                    ("Retry-After", RETRY_AFTER_S.to_string()),
                ];
                conn.respond(503, &headers, b"");
                self.refusals.lock().unwrap().push(Instant::now());
                record.note(&format!("engine {} turns {attempt} away, Retry-After: {RETRY_AFTER_S}", self.id));
                continue;
            }
            record.note(&format!("engine {} runs {attempt}", self.id));
            sleep_ms(WORK_MS);
            let headers = [("X-Attempt-Id", attempt.clone()), ("X-Engine-Seal", format!("{}.{attempt}", self.id))];
            conn.respond(200, &headers, b"done");
        }
    }

    /// Writes the entry at each heartbeat of a run, the first one heartbeat after its start, and at once if `is_first`.
    fn beat(&self, store: &Store, record: &Record, is_first: bool) {
        let (worker, store, record) = (self.clone(), store.clone(), record.clone());
        let born = self.born.load(Ordering::SeqCst);
        thread::spawn(move || {
            let mut sequence = 0;
            if !is_first {
                sleep_ms(HEARTBEAT_MS);
            }
            while worker.born.load(Ordering::SeqCst) == born {
                let entry = format!(
                    r#"{{"Service":"portal","Address":"{}","Zone":"{}","Version":"v1","Slots":6,"State":"ready","ColdRemainingMs":0,"Sequence":{sequence},"born":{born}}}"#,
                    worker.address, worker.zone
                );
                store.put("keyed.servers", &worker.id, entry.as_bytes());
                if sequence == 0 {
                    record.note(&format!("engine {} has written its entry, born {born}", worker.id));
                }
                sequence += 1;
                sleep_ms(HEARTBEAT_MS);
            }
        });
    }

    fn crash(&self) {
        self.born.store(0, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

pub fn run(case: &Path, root: &Path, is_troubled: bool) -> bool {
    let mut rig = Rig::new(case, root);
    let workers: Vec<Worker> = ["hall-a", "hall-b", "hall-c"]
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let address = SocketAddr::new(rig.ip(100 + number as u8), rig.store_address.port() + 20);
            Worker::new(&format!("i-{number:08x}"), address, zone)
        })
        .collect();
    for worker in &workers {
        worker.listen(&rig.record);
        worker.beat(&rig.store, &rig.record, true);
    }
    rig.configure(&config(7, &[("dealer", &["key-1"])]));
    for zone in ["hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-b", "hall-c", "hall-c"] {
        rig.add_box(zone);
    }
    let (seeds, store) = ([0, 3, 6], rig.store_address);
    for at in 0..8 {
        rig.start_box(at, true, &seeds, store);
    }
    for at in 0..8 {
        if !rig.wait_ready(at, ms(15_000)) {
            cannot_run("a box is not ready");
        }
    }
    sleep_ms(10_000);
    let (is_over, is_quiet) = (AtomicBool::new(false), AtomicBool::new(false));
    let (served, refused) = (AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                while !is_over.load(Ordering::SeqCst) {
                    if is_quiet.load(Ordering::SeqCst) {
                        sleep_ms(1);
                        continue;
                    }
                    let sent = Sent {
                        attempt: rig.attempt(),
                        method: "GET".to_owned(),
                        path: "/status/1".to_owned(),
                        key: Some("key-1".to_owned()),
                        body: Vec::new(),
                        deadline_ms: 4000,
                    };
                    let answer = rig.send(rig.front(0), &sent);
                    let status = answer.map(|answer| answer.status);
                    rig.record.note(&format!("client: {} {status:?}", sent.attempt));
                    served.fetch_add(u64::from(status == Some(200)), Ordering::SeqCst);
                    if status != Some(200) {
                        refused.fetch_add(1, Ordering::SeqCst);
                        sleep_ms(200);
                    }
                }
            });
        }
        // The boxes have to have counted each other, or they send little to each engine.
        for _ in 0..20 {
            let before = refused.load(Ordering::SeqCst);
            sleep_ms(2000);
            if refused.load(Ordering::SeqCst) == before {
                break;
            }
        }
        // The clients are quiet for a moment, and then come back together.
        is_quiet.store(true, Ordering::SeqCst);
        sleep_ms(600);
        let worker = &workers[0];
        if is_troubled {
            rig.record.note(&format!("engine {} crashes", worker.id));
            worker.crash();
            sleep_ms(DOWN_MS);
            worker.born.store(unix_ms(), Ordering::SeqCst);
            rig.record.note(&format!("engine {} starts again under its id", worker.id));
        }
        worker.is_turning_away.store(true, Ordering::SeqCst);
        if is_troubled {
            worker.listen(&rig.record);
            worker.beat(&rig.store, &rig.record, false);
        }
        sleep_ms(50);
        is_quiet.store(false, Ordering::SeqCst);
        sleep_ms(1000 * RETRY_AFTER_S + 1500);
        is_over.store(true, Ordering::SeqCst);
    });
    rig.end();
    let worker = &workers[0];
    let first = worker.refusals.lock().unwrap().first().copied();
    let first = first.unwrap_or_else(|| cannot_run("the engine turned nothing away"));
    let arrivals = worker.arrivals.lock().unwrap().clone();
    let (from, until) = (first + ms(SLACK_MS), first + ms(1000 * RETRY_AFTER_S));
    let late: Vec<u128> = arrivals
        .iter()
        .filter(|at| **at > from && **at < until)
        .map(|at| at.duration_since(first).as_millis())
        .collect();
    let text = format!("{} requests reached the engine between {SLACK_MS} ms after its first answer with Retry-After: {RETRY_AFTER_S} and the end of that time, at {late:?} ms", late.len());
    rig.record.note(&text);
    println!("{text}; {} served", served.load(Ordering::SeqCst));
    rig.clean();
    late.len() > 2
}
