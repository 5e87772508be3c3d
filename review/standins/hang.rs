//! One engine fails part of its requests while its health check is good: it begins a 500 and hangs.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::rig::{self, Boxes, HEARTBEAT, Journal, KEY, ZONES};
use crate::store::Store;

/// Engines of the service. One of them is grey: a seventh, and it fails two of five requests.
const ENGINES: usize = 7;
/// `TimeoutMs` of the route.
const TIMEOUT: Duration = Duration::from_millis(1200);
/// Time after `TimeoutMs` by which a final answer must be there.
const SLACK: Duration = Duration::from_millis(500);
/// Gap after which a client gives a stream up, before its first event too: two seconds, four times the objective.
const GIVE_UP: Duration = Duration::from_secs(2);
/// Events of a stream, and the time between two of them.
const EVENTS: usize = 10;
const EVENT_PAUSE: Duration = Duration::from_millis(20);
/// Clients, the time between two requests of each, and the time for which they send.
const CLIENTS: usize = 36;
const PAUSE: Duration = Duration::from_millis(50);
const LENGTH: Duration = Duration::from_secs(12);
/// Time for which the engine is grey, from the begin.
const GREY: Duration = Duration::from_millis(6500);

fn start_engine(
    journal: &Arc<Journal>,
    store: &Arc<Store>,
    number: usize,
    is_grey: &Arc<AtomicBool>,
) {
    let listener =
        TcpListener::bind((rig::address(100 + number as u8), 0)).expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let (id, born) = (format!("i-{number}"), rig::unix_ms());
    let (name, is_grey, journal) = (id.clone(), is_grey.clone(), journal.clone());
    let count = AtomicU64::new(0);
    let respond = move |request: Request, to: &mut TcpStream| {
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
        let own = format!("X-Attempt-Id: {attempt}\r\nX-Engine-Seal: seal.{name}\r\n");
        let fails = number == 0
            && is_grey.load(Ordering::SeqCst)
            && count.fetch_add(1, Ordering::SeqCst) % 5 < 2;
        if fails {
            write!(
                to,
                "HTTP/1.1 500 Internal Server Error\r\n{own}Content-Length: 64\r\n\r\nthe engine failed "
            )?;
            let began = Instant::now();
            // Until the box closes the connection.
            let read = to.read(&mut [0; 1]);
            journal.note(&format!(
                "engine: {attempt} hung for {} ms at {name}, until its connection ended ({read:?})",
                began.elapsed().as_millis()
            ));
            return Ok(false);
        }
        write!(
            to,
            "HTTP/1.1 200 OK\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for event in 1..=EVENTS {
            thread::sleep(EVENT_PAUSE);
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            write!(to, "{:x}\r\n{text}\r\n", text.len())?;
        }
        write!(to, "0\r\n\r\n")?;
        Ok(true)
    };
    http::serve(listener, Arc::new(respond));
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

/// Plays the case; `trouble` is whether the engine is grey.
pub fn play(journal: &Arc<Journal>, trouble: bool) -> ExitCode {
    let store = Store::start();
    store.write(
        "keyed.op",
        "config",
        &rig::config(3, &[], TIMEOUT.as_millis() as u64),
    );
    let is_grey = Arc::new(AtomicBool::new(false));
    (0..ENGINES).for_each(|number| start_engine(journal, &store, number, &is_grey));
    let boxes = Boxes::start(&store, 3);
    if !boxes.wait_until_in(Duration::from_secs(15)) {
        journal.note("the boxes did not become ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(3));
    is_grey.store(trouble, Ordering::SeqCst);
    if trouble {
        journal.note("engine: i-0 fails two of five requests from now on");
    }
    let began = Instant::now();
    let end = began + LENGTH;
    let took = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (journal, boxes, took) = (journal.clone(), boxes.clone(), took.clone());
            thread::spawn(move || {
                while Instant::now() < end {
                    let to = &boxes.all[number % boxes.all.len()];
                    let id = rig::attempt_id();
                    let request = rig::request("POST", "/chat/item", &id, KEY, 20_000);
                    let began = Instant::now();
                    let answer = http::call(to.front, &request, GIVE_UP);
                    let lasted = began.elapsed();
                    let (seen, has_ended) = match &answer {
                        None => ("no answer, given up".to_owned(), false),
                        Some(answer) => (
                            format!("{}, {} bytes", answer.status, answer.body.len()),
                            answer.complete || lasted < GIVE_UP,
                        ),
                    };
                    journal.note(&format!(
                        "client: {id} to {} -> {seen} after {} ms",
                        to.name,
                        lasted.as_millis()
                    ));
                    took.lock()
                        .expect("no thread panics with it")
                        .push((lasted, has_ended));
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(GREY.saturating_sub(began.elapsed()));
    is_grey.store(false, Ordering::SeqCst);
    if trouble {
        journal.note("engine: i-0 fails no more requests");
    }
    clients
        .into_iter()
        .for_each(|client| client.join().expect("no thread panics"));
    boxes.stop();
    let took = took.lock().expect("no thread panics with it");
    let lasting = |limit: Duration| took.iter().filter(|(lasted, _)| *lasted > limit).count();
    let (outlast, lack) = (lasting(TIMEOUT), lasting(TIMEOUT + SLACK));
    let ended = took.iter().filter(|(_, has_ended)| *has_ended).count();
    let line = format!(
        "{} requests, {ended} answered; {outlast} outlast TimeoutMs, {lack} of them lack a final answer 0.5 s later",
        took.len()
    );
    journal.note(&line);
    println!("{line}");
    match (lack >= 8 && lack * 4 > outlast, ended * 2 > took.len()) {
        (true, _) => ExitCode::from(1),
        (false, true) => ExitCode::SUCCESS,
        (false, false) => ExitCode::from(2),
    }
}
