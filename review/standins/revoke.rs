//! A key is taken away; seconds later the store comes back from a copy that still holds it, while one box is stopped and started again.

use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::rig::{self, Boxes, EntryBox, HEARTBEAT, Journal, KEY, SIGTERM, ZONES};
use crate::store::Store;

/// The key that is taken away.
const REVOKED: &str = "key-that-goes";
/// `RevokeMs` of the settings.
const REVOKE: Duration = Duration::from_millis(5000);
/// Time from the acknowledgement until the box is told to stop, until the store goes away, and until it is back.
const STOP_AT: Duration = Duration::from_millis(4200);
const AWAY_AT: Duration = Duration::from_millis(6000);
const BACK_AT: Duration = Duration::from_millis(7000);
/// Time from the return of the store until the operator has written what was lost.
const REWRITE_AFTER: Duration = Duration::from_millis(2000);
/// Time from the acknowledgement to the end of the run.
const END_AT: Duration = Duration::from_millis(13_000);
/// Time between two requests of a client.
const PAUSE: Duration = Duration::from_millis(50);

/// A request that an engine has run.
struct Run {
    id: String,
    tenant: String,
}

fn start_engine(
    journal: &Arc<Journal>,
    store: &Arc<Store>,
    number: usize,
    runs: &Arc<Mutex<Vec<Run>>>,
) {
    let listener =
        TcpListener::bind((rig::address(100 + number as u8), 0)).expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let (id, born) = (format!("i-{number}"), rig::unix_ms());
    let (name, runs, journal) = (id.clone(), runs.clone(), journal.clone());
    http::serve(
        listener,
        Arc::new(move |request: Request, to| {
            let attempt = request
                .header("x-attempt-id")
                .unwrap_or_default()
                .to_owned();
            if request
                .header("x-expect-instance")
                .is_some_and(|expected| expected != name)
            {
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
            let tenant = request.header("x-tenant").unwrap_or("-").to_owned();
            journal.note(&format!("engine: {name} runs {attempt} of tenant {tenant}"));
            runs.lock().expect("no thread panics with it").push(Run {
                id: attempt.clone(),
                tenant,
            });
            thread::sleep(Duration::from_millis(15));
            let headers = format!(
                "X-Attempt-Id: {attempt}\r\nX-Engine-Seal: seal.{name}\r\nX-Engine-Load: 1,0,16\r\n"
            );
            http::answer(
                to,
                "200 OK",
                &headers,
                format!("answer to {attempt}").as_bytes(),
            )?;
            Ok(true)
        }),
    );
    let store = store.clone();
    thread::spawn(move || {
        for beat in 0.. {
            store.write(
                "keyed.servers",
                &id,
                &rig::entry(address, ZONES[number % 3], born, beat),
            );
            thread::sleep(HEARTBEAT);
        }
    });
}

/// A request that a client has sent with the key that was taken away.
struct Sent {
    id: String,
    at: Instant,
    to: String,
}

/// Sends a request with each key, and records it. Returns the status of the answer to the first one.
fn send(
    journal: &Journal,
    entry_box: &EntryBox,
    key: &str,
    sent: &Mutex<Vec<Sent>>,
) -> Option<u16> {
    let id = rig::attempt_id();
    let request = rig::request("GET", "/safe/item", &id, key, 1500);
    if key == REVOKED {
        let to = entry_box.name.clone();
        sent.lock().expect("no thread panics with it").push(Sent {
            id: id.clone(),
            at: Instant::now(),
            to,
        });
    }
    let answer = http::call(entry_box.front, &request, Duration::from_millis(1500));
    let status = answer.map(|answer| answer.status);
    journal.note(&format!(
        "client: {id} with {key} to {} -> {status:?}",
        entry_box.name
    ));
    status
}

/// Plays the case; `trouble` is whether the store goes away and comes back from a copy.
pub fn play(journal: &Arc<Journal>, trouble: bool) -> ExitCode {
    let store = Store::start();
    store.write("keyed.op", "config", &rig::config(3, &[REVOKED], 20_000));
    let runs = Arc::default();
    (0..3).for_each(|number| start_engine(journal, &store, number, &runs));
    let boxes = Boxes::start(&store, 3);
    if !boxes.wait_until_in(Duration::from_secs(15)) {
        journal.note("the boxes did not become ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(3));
    let sent = Arc::new(Mutex::new(Vec::new()));
    for entry_box in &boxes.all {
        if send(journal, entry_box, REVOKED, &sent) != Some(200)
            || send(journal, entry_box, KEY, &sent) != Some(200)
        {
            journal.note("a box did not serve before the key was taken away");
            return ExitCode::from(2);
        }
    }
    let copy = store.copy();
    journal.note("the store's content at this moment is what it comes back with");
    thread::sleep(Duration::from_millis(500));
    let newest = rig::config(4, &[], 20_000);
    store.write("keyed.op", "config", &newest);
    let acknowledged = Instant::now();
    journal.note(&format!(
        "operator: version 4 takes {REVOKED} away; acknowledged"
    ));

    let clients: Vec<_> = (0..boxes.all.len())
        .map(|number| {
            let (journal, boxes, sent) = (journal.clone(), boxes.clone(), sent.clone());
            thread::spawn(move || {
                while acknowledged.elapsed() < END_AT {
                    if boxes.all[number].is_in() {
                        send(&journal, &boxes.all[number], REVOKED, &sent);
                        send(&journal, &boxes.all[number], KEY, &sent);
                    }
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    let restart = {
        let (journal, boxes) = (journal.clone(), boxes.clone());
        thread::spawn(move || {
            let first = &boxes.all[0];
            thread::sleep(STOP_AT.saturating_sub(acknowledged.elapsed()));
            journal.note(&format!(
                "platform: SIGTERM to {} (planned work)",
                first.name
            ));
            first.signal(SIGTERM);
            first.wait_for_exit(Duration::from_secs(8));
            thread::sleep(Duration::from_millis(200));
            first.spawn();
            journal.note(&format!("platform: {} is started again", first.name));
        })
    };
    thread::sleep(AWAY_AT.saturating_sub(acknowledged.elapsed()));
    if trouble {
        store.go_away();
        journal.note("store: away");
        thread::sleep(BACK_AT.saturating_sub(acknowledged.elapsed()));
        store.come_back(copy);
        journal.note("store: back from the copy, in the next era");
        thread::sleep(REWRITE_AFTER);
        store.write("keyed.op", "config", &newest);
        journal.note("operator: version 4 is written again; acknowledged");
    }
    clients
        .into_iter()
        .chain([restart])
        .for_each(|thread| thread.join().expect("no thread panics"));
    let is_served_again = send(journal, &boxes.all[0], KEY, &sent) == Some(200);
    boxes.stop();

    let runs = runs.lock().expect("no thread panics with it");
    let sent = sent.lock().expect("no thread panics with it");
    let late = sent.iter().filter(|sent| sent.at > acknowledged + REVOKE);
    let late: Vec<&Sent> = late.collect();
    let mut broken = 0;
    for sent in &late {
        if let Some(run) = runs.iter().find(|run| run.id == sent.id) {
            broken += 1;
            let after = (sent.at - acknowledged).as_millis();
            journal.note(&format!(
                "broken: {} sent {after} ms after the acknowledgement to {} has run, as tenant {}",
                sent.id, sent.to, run.tenant
            ));
        }
    }
    journal.note(&format!(
        "{} requests with {REVOKED} were sent later than RevokeMs; {broken} of them have run",
        late.len()
    ));
    println!(
        "{} requests sent too late with the key, {broken} have run",
        late.len()
    );
    match (broken, is_served_again) {
        (0, true) => ExitCode::SUCCESS,
        (0, false) => ExitCode::from(2),
        _ => ExitCode::from(1),
    }
}
