//! An engine spoils some answers: the head names a length, and the body comes in chunks and is longer.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use crate::http::{Conn, encode};
use crate::rig::{Rig, cannot_run, config, ms, sleep_ms};

/// One answer in this many of the faulty engine is spoilt.
const SPOILT_STEP: u64 = 50;
/// The length that the head of a spoilt answer names.
const FALSE_LENGTH: usize = 9;
const WORK_MS: u64 = 15;
const CLIENTS: usize = 8;
const TIME_MS: u64 = 10_000;

fn whole_body(attempt: &str) -> String {
    format!("the whole answer of the engine to {attempt}\n")
}

fn start_engine(rig: &Rig, number: u8, is_faulty: bool) {
    let id = format!("i-{number:08x}");
    let address = SocketAddr::new(rig.ip(100 + number), rig.store_address.port() + 20);
    let zone = ["hall-a", "hall-b", "hall-c"][number as usize % 3];
    let listener = TcpListener::bind(address).unwrap_or_else(|err| cannot_run(&format!("{address}: {err}")));
    let (record, name, count) = (rig.record.clone(), id.clone(), Arc::new(AtomicU64::new(0)));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, name, count) = (record.clone(), name.clone(), count.clone());
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Some(request) = conn.request() {
                    if request.path() == "/health" {
                        conn.respond(200, &[("X-Instance-Id", name.clone())], b"");
                        continue;
                    }
                    let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
                    record.note(&format!("engine {name} runs {attempt}"));
                    sleep_ms(WORK_MS);
                    let own = [("X-Attempt-Id", attempt.clone()), ("X-Engine-Seal", format!("{name}.{attempt}"))];
                    let body = whole_body(&attempt);
                    let number = count.fetch_add(1, Ordering::SeqCst);
                    if !is_faulty || number % SPOILT_STEP != SPOILT_STEP / 2 {
                        conn.respond(200, &own, body.as_bytes());
                        continue;
                    }
                    record.note(&format!("engine {name} spoils its answer to {attempt}: Content-Length: {FALSE_LENGTH}, and {} bytes in chunks", body.len()));
                    let mut text = format!("HTTP/1.1 200 OK\r\nContent-Length: {FALSE_LENGTH}\r\nTransfer-Encoding: chunked\r\n");
                    for (name, value) in own {
                        text.push_str(&format!("{name}: {value}\r\n"));
                    }
                    conn.write(format!("{text}\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len()).as_bytes());
                }
            });
        }
    });
    let store = rig.store.clone();
    thread::spawn(move || {
        let mut sequence = 0;
        loop {
            let entry = format!(
                r#"{{"Service":"portal","Address":"{address}","Zone":"{zone}","Version":"v1","Slots":6,"State":"ready","ColdRemainingMs":0,"Sequence":{sequence},"born":1796592000000}}"#
            );
            store.put("keyed.servers", &id, entry.as_bytes());
            sequence += 1;
            sleep_ms(1200);
        }
    });
}

pub fn run(case: &Path, root: &Path, is_troubled: bool) -> bool {
    let mut rig = Rig::new(case, root);
    for number in 0..3 {
        start_engine(&rig, number, is_troubled && number == 0);
    }
    rig.configure(&config(7, &[("dealer", &["key-1"])]));
    for zone in ["hall-a", "hall-b", "hall-c"] {
        rig.add_box(zone);
    }
    let (seeds, store) = ([0, 1, 2], rig.store_address);
    for at in 0..3 {
        rig.start_box(at, true, &seeds, store);
    }
    for at in 0..3 {
        if !rig.wait_ready(at, ms(15_000)) {
            cannot_run("a box is not ready");
        }
    }
    sleep_ms(6000);
    let is_over = AtomicBool::new(false);
    let (whole, partial, foreign) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let began = Instant::now();
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (rig, is_over, whole, partial, foreign) = (&rig, &is_over, &whole, &partial, &foreign);
            scope.spawn(move || {
                let mut kept: Option<Conn> = None;
                while began.elapsed() < ms(TIME_MS) && !is_over.load(Ordering::SeqCst) {
                    let Some(mut conn) = kept.take().or_else(|| Conn::connect(rig.front(client % 3), ms(1000)).ok()) else {
                        sleep_ms(50);
                        continue;
                    };
                    let _ = conn.stream.set_read_timeout(Some(ms(1500)));
                    let attempt = rig.attempt();
                    let headers = [
                        ("Host", "parts.example".to_owned()),
                        ("X-Attempt-Id", attempt.clone()),
                        ("X-Deadline-Ms", "1500".to_owned()),
                        ("Authorization", "Bearer key-1".to_owned()),
                    ];
                    if !conn.write(&encode("POST", "/lookup/1", &headers, b"a part")) {
                        continue;
                    }
                    let Some(answer) = conn.response() else {
                        continue;
                    };
                    let is_success = answer.status == 200 && answer.is_complete && answer.header("x-engine-seal").is_some();
                    let is_own = answer.body == whole_body(&attempt).as_bytes();
                    if is_success && is_own {
                        whole.fetch_add(1, Ordering::SeqCst);
                    } else if is_success {
                        partial.fetch_add(1, Ordering::SeqCst);
                        rig.record.note(&format!("client: {attempt} 200, complete, with another body: {:?}", String::from_utf8_lossy(&answer.body)));
                    } else {
                        rig.record.note(&format!("client: {attempt} {}, complete: {}", answer.status, answer.is_complete));
                    }
                    sleep_ms(10);
                    let rest = conn.arrived();
                    if !rest.is_empty() {
                        foreign.fetch_add(1, Ordering::SeqCst);
                        rig.record.note(&format!("client: {} bytes came where no request waits: {:?}", rest.len(), String::from_utf8_lossy(&rest)));
                        continue;
                    }
                    let is_kept = answer.header("connection").is_none_or(|value| !value.eq_ignore_ascii_case("close"));
                    kept = is_kept.then_some(conn);
                }
            });
        }
    });
    rig.end();
    let (whole, partial, foreign) = (whole.into_inner(), partial.into_inner(), foreign.into_inner());
    let text = format!("{whole} whole answers, {partial} successes with another body than the engine's whole one, bytes where no request waits: {foreign} times");
    rig.record.note(&text);
    println!("{text}");
    rig.clean();
    if whole == 0 {
        cannot_run("nothing was served");
    }
    partial + foreign > 0
}
