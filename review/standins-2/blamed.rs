//! After a quiet time, a request and a part of a prompt crash engines. All sound requests that share another part with them are refused.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::http::{Conn, encode};
use crate::rig::{Record, Rig, cannot_run, ms, sleep_ms};
use crate::store::{Store, field};

const ENGINES: u8 = 12;
const LAYERS: u32 = 8;
/// Time that weights of an engine take to load.
const LOAD_MS: u64 = 200;
/// Time that an engine is down after a crash: "some seconds".
const DOWN_MS: u64 = 2500;
const HEARTBEAT_MS: u64 = 1200;
const CONTACT_MS: u64 = 3000;
const EVENTS: u64 = 8;
const EVENT_MS: u64 = 30;
/// The part that all prompts share, as on the site's sheet, and the one that crashes engines.
const SHARED: &str = "c7000001";
const CULPRIT: &str = "bad00001";

#[derive(Clone)]
struct Worker {
    id: String,
    address: SocketAddr,
    zone: String,
    born: Arc<AtomicU64>,
    orders: Arc<AtomicU64>,
    layers: Arc<Mutex<(u32, u32)>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    shared: Arc<Shared>,
}

/// What all engines know.
struct Shared {
    store: Store,
    record: Record,
    /// Attempts that engines have begun.
    begun: Mutex<Vec<String>>,
    crashes: Mutex<Vec<Instant>>,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl Worker {
    fn start(&self) {
        let born = unix_ms();
        self.born.store(born, Ordering::SeqCst);
        self.orders.store(0, Ordering::SeqCst);
        *self.layers.lock().unwrap() = (0, 0);
        let listener = TcpListener::bind(self.address).unwrap_or_else(|err| cannot_run(&format!("{}: {err}", self.address)));
        listener.set_nonblocking(true).expect("a listener that doesn't block");
        let worker = self.clone();
        thread::spawn(move || {
            while worker.born.load(Ordering::SeqCst) == born {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(other) = stream.try_clone() {
                            worker.open.lock().unwrap().push(other);
                        }
                        let worker = worker.clone();
                        thread::spawn(move || worker.serve(Conn::new(stream), born));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
        let worker = self.clone();
        thread::spawn(move || {
            let mut sequence = 0;
            while worker.born.load(Ordering::SeqCst) == born {
                worker.write_entry(born, sequence);
                sequence += 1;
                sleep_ms(HEARTBEAT_MS);
            }
        });
    }

    fn write_entry(&self, born: u64, sequence: u64) {
        let (from, to) = *self.layers.lock().unwrap();
        let entry = format!(
            r#"{{"Service":"lm","Address":"{}","Zone":"{}","Version":"v1","Slots":192,"State":"ready","ColdRemainingMs":0,"Stage":"hybrid","Models":[{{"Name":"m","Version":1,"Adapters":[]}}],"Sequence":{sequence},"born":{born},"RouteType":"a100","layers":{{"From":{from},"TargetVersion":{to},"Version":1}}}}"#,
            self.address, self.zone
        );
        self.shared.store.put("keyed.servers", &self.id, entry.as_bytes());
    }

    fn crash(&self, why: &str) {
        if self.born.swap(0, Ordering::SeqCst) == 0 {
            return;
        }
        self.shared.record.note(&format!("engine {} crashes under {why}", self.id));
        self.shared.crashes.lock().unwrap().push(Instant::now());
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let worker = self.clone();
        thread::spawn(move || {
            sleep_ms(DOWN_MS);
            worker.shared.record.note(&format!("engine {} is back", worker.id));
            worker.start();
        });
    }

    fn serve(&self, mut conn: Conn, born: u64) {
        while let Some(request) = conn.request() {
            if self.born.load(Ordering::SeqCst) != born {
                return;
            }
            let (from, to) = *self.layers.lock().unwrap();
            match request.path() {
                "/health" => {
                    conn.respond(200, &[("X-Instance-Id", self.id.clone())], b"");
                    continue;
                }
                "/report" => {
                    let orders = self.orders.load(Ordering::SeqCst);
                    let report = format!(
                        r#"{{"Stage":"hybrid","Models":[{{"Name":"m","Version":1,"Adapters":[]}}],"Occupancy":false,"Sequence":{orders},"QueueDepth":0,"ActiveRequests":0,"KvUsed":0,"KvTotal":500000,"Handles":0,"pace":1.0,"born":{born},"layers":{{"From":{from},"TargetVersion":{to},"Version":1}}}}"#
                    );
                    conn.respond(200, &[], report.as_bytes());
                    continue;
                }
                "/order" => {
                    let status = self.order(&String::from_utf8_lossy(&request.body), born);
                    conn.respond(status, &[], b"{}");
                    continue;
                }
                _ => {}
            }
            let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
            if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
                conn.respond(421, &[("X-Attempt-Id", attempt)], b"");
                continue;
            }
            let path = request.header("path").unwrap_or_default();
            let wanted = path.split(',').next().and_then(|part| part.split_once('='));
            if wanted.is_some_and(|(_, layers)| layers != format!("{from}-{to}")) {
                let headers = [("X-Attempt-Id", attempt), ("At-Server", self.address.to_string())];
                conn.respond(421, &headers, b"");
                continue;
            }
            self.shared.begun.lock().unwrap().push(attempt.clone());
            self.shared.record.note(&format!("engine {} begins {attempt}", self.id));
            let prefix = request.header("x-prompt-prefix").unwrap_or_default();
            sleep_ms(20);
            if request.body.starts_with(b"the culprit") {
                return self.crash(&format!("the request {attempt}"));
            }
            if prefix.contains(CULPRIT) {
                return self.crash(&format!("the part of {attempt}"));
            }
            let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Engine-Seal: {}.{attempt}\r\nContent-Type: text/event-stream\r\nVersions: 1\r\nTransfer-Encoding: chunked\r\n\r\n", self.id);
            conn.write(head.as_bytes());
            for event in 1..=EVENTS {
                let event = format!("id: {event}\ndata: piece\n\n");
                if !conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()) {
                    return;
                }
                sleep_ms(EVENT_MS);
            }
            conn.write(b"0\r\n\r\n");
        }
    }

    fn order(&self, body: &str, born: u64) -> u16 {
        let number = |name| field(body, name).and_then(|text| text.parse::<u64>().ok());
        if field(body, "op").as_deref() != Some("place") {
            return 404;
        }
        if number("ExpectedRevision").is_some_and(|expected| expected != self.orders.load(Ordering::SeqCst)) {
            return 409;
        }
        let (Some(from), Some(to)) = (number("From"), number("TargetVersion")) else {
            return 400;
        };
        self.orders.fetch_add(1, Ordering::SeqCst);
        let worker = self.clone();
        thread::spawn(move || {
            sleep_ms(LOAD_MS);
            if worker.born.load(Ordering::SeqCst) == born {
                *worker.layers.lock().unwrap() = (from as u32, to as u32);
                worker.write_entry(born, 1000);
            }
        });
        202
    }
}

fn config() -> String {
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-report","Hostname":"parts.example","PathPrefix":"/report/","RouteType":"streaming","TimeoutMs":20000,"TargetLatencyMs":500,"Priority":1,"Service":"lm","MaxAttempts":2,"Public":false,"Sticky":true,"StreamResume":true,"gap_aim_ms":200}}],"Services":[{{"Name":"lm","HealthPath":"/health","MaxConnections":1138,"Protocol":"h1","Tls":false,"Engine":{{"Slots":192,"KvCacheTokens":100000,"KvTokenBytes":918000,"LinkMbps":400000.0,"stride":3,"Models":[{{"Name":"m","pace":1.0,"load_s":14.0,"WarmupS":1.0}}],"step_ms":1.02,"per_seq_ms":0.00714,"context_per_k":0.00956,"read_per_s":105000.0,"pairs_per_m":0.309,"chunk":512,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":5,"usual":{{"prompt":774,"answer":200}},"layers":{LAYERS},"layer_mb":1750.0,"act_bytes":45900,"pipe_mbps":26000.0,"kinds":[{{"Name":"a100","mb":72000.0,"pace":2.4,"read_x":3.2}}]}}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"dealer","ApiKeys":["key-1"],"Priority":1}}]}}"#
    )
}

/// Sends a request and returns its attempt and the status.
fn ask(rig: &Rig, at: usize, what: &str, part: &str, body: &str) -> (String, Option<u16>) {
    let attempt = rig.attempt();
    let Ok(mut conn) = Conn::connect(rig.front(at), ms(1000)) else {
        return (attempt, None);
    };
    let _ = conn.stream.set_read_timeout(Some(ms(4000)));
    let own = &attempt[8..];
    let headers = [
        ("Host", "parts.example".to_owned()),
        ("X-Attempt-Id", attempt.clone()),
        ("X-Model", "m".to_owned()),
        ("X-Token-Count", "800,171".to_owned()),
        ("X-Prompt-Prefix", format!("{SHARED}:40,{part}:300,{own}:460")),
        ("X-Deadline-Ms", "20000".to_owned()),
        ("Authorization", "Bearer key-1".to_owned()),
    ];
    conn.write(&encode("POST", "/report/1", &headers, body.as_bytes()));
    let answer = conn.response();
    let status = answer.as_ref().map(|answer| answer.status);
    rig.record.note(&format!("client: {attempt} ({what}) at {}: {status:?}, complete: {}", rig.boxes[at].name, answer.is_some_and(|answer| answer.is_complete)));
    (attempt, status)
}

/// Sends sound requests for `time` at all boxes in turn; returns the attempts.
fn sound(rig: &Rig, time: Duration) -> Vec<String> {
    let (began, sent) = (Instant::now(), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for client in 0..4 {
            let sent = &sent;
            scope.spawn(move || {
                let mut number = client;
                while began.elapsed() < time {
                    let (attempt, _) = ask(rig, number % 8, "sound", &format!("5e55{:04x}", number % 5), &format!("sound {number}"));
                    sent.lock().unwrap().push(attempt);
                    number += 4;
                    sleep_ms(200);
                }
            });
        }
    });
    sent.into_inner().unwrap()
}

pub fn run(case: &Path, root: &Path, is_troubled: bool) -> bool {
    let mut rig = Rig::new(case, root);
    let shared = Arc::new(Shared {
        store: rig.store.clone(),
        record: rig.record.clone(),
        begun: Mutex::default(),
        crashes: Mutex::default(),
    });
    for number in 0..ENGINES {
        let worker = Worker {
            id: format!("i-{number:08x}"),
            address: SocketAddr::new(rig.ip(100 + number), rig.store_address.port() + 20),
            zone: ["hall-a", "hall-b", "hall-c"][number as usize % 3].to_owned(),
            born: Arc::default(),
            orders: Arc::default(),
            layers: Arc::default(),
            open: Arc::default(),
            shared: shared.clone(),
        };
        worker.start();
    }
    rig.configure(&config());
    for zone in ["hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-b", "hall-c", "hall-c"] {
        rig.add_box(zone);
    }
    let (seeds, store) = ([0, 3, 6], rig.store_address);
    for at in 0..8 {
        rig.start_box(at, true, &seeds, store);
    }
    for at in 0..8 {
        if !rig.wait_ready(at, ms(25_000)) {
            cannot_run("a box is not ready");
        }
    }
    sleep_ms(6000);
    let before = sound(&rig, ms(5000));
    // Quiet, longer than the boxes remember that a part is sound.
    rig.record.note("no client sends");
    sleep_ms(12_000);
    let is_over = AtomicBool::new(false);
    let mut after = Vec::new();
    thread::scope(|scope| {
        if is_troubled {
            let (rig, is_over) = (&rig, &is_over);
            // The request comes again and again, and other requests with the part, at all boxes.
            scope.spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    ask(rig, number % 8, "the culprit", "c0ffee01", "the culprit");
                    number += 1;
                    sleep_ms(300);
                }
            });
            scope.spawn(move || {
                let mut number = 0;
                sleep_ms(150);
                while !is_over.load(Ordering::SeqCst) {
                    ask(rig, number % 8, "with the part", CULPRIT, &format!("with the part {number}"));
                    number += 1;
                    sleep_ms(300);
                }
            });
        }
        // Until 2 x ContactMs after the fifth crash.
        let from = Instant::now();
        loop {
            let crashes = shared.crashes.lock().unwrap().clone();
            let fifth = crashes.get(4).or(crashes.last()).copied().unwrap_or(from);
            if fifth.elapsed() > ms(2 * CONTACT_MS) && from.elapsed() > ms(2 * CONTACT_MS) {
                break;
            }
            sleep_ms(20);
        }
        rig.record.note("2 x ContactMs after the fifth crash; the callers come back");
        after = sound(&rig, ms(10_000));
        is_over.store(true, Ordering::SeqCst);
    });
    rig.end();
    let begun = shared.begun.lock().unwrap().clone();
    let share = |sent: &[String]| sent.iter().filter(|attempt| begun.contains(attempt)).count();
    let (was, is) = (share(&before), share(&after));
    let crashes = shared.crashes.lock().unwrap().len();
    let text = format!("{crashes} crashes; of the sound requests {was} of {} began before, and {is} of {} from 2 x ContactMs after the fifth crash on", before.len(), after.len());
    rig.record.note(&text);
    println!("{text}");
    rig.clean();
    if before.len() < 20 || after.len() < 20 || was * 10 < before.len() * 9 {
        cannot_run("too few sound requests began before");
    }
    2 * is * before.len() < was * after.len()
}
