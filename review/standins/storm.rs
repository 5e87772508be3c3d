//! A box is frozen for a second, in which engines begin to name a rate limit; answers from before wait for it. Each box has about a
//! sixth of a core.

use std::net::{TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::rig::{self, Boxes, HEARTBEAT, Journal, KEY, SIGCONT, SIGSTOP, ZONES};
use crate::store::Store;

/// Boxes, the one that is frozen, and engines.
const BOXES: u8 = 8;
const FROZEN: usize = 1;
const ENGINES: usize = 12;
/// Busy threads for each core, which leave each box about a sixth of one, in place of the `CpuShare` of a deployment.
const THREADS_PER_CORE: usize = 6;
/// Length of the freeze, and time from its begin until engines are in need.
const FREEZE: Duration = Duration::from_millis(1000);
const NEED_AFTER: Duration = Duration::from_millis(150);
/// Times that engines are in need, time for which they are not before, and for which they are after a freeze.
const ROUNDS: usize = 12;
const FREE: Duration = Duration::from_millis(1000);
const NEED: Duration = Duration::from_millis(1200);
/// The rates that engines in need name, in requests a second: at first, and at the end; and the time for which they name them at the end.
const LIMIT: f64 = 40.0;
const FIRST: Duration = Duration::from_secs(2);
const LOW_LIMIT: f64 = 2.0;
const SECOND: Duration = Duration::from_secs(10);
/// `ContactMs`, the window of the rule, and the time after which a box that has passed on the limit counts.
const CONTACT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const PASSED_ON: Duration = Duration::from_millis(500);
/// Time after which the boxes are to be at rest, and for which their processor time is measured then, for the record.
const REST: Duration = Duration::from_secs(4);
/// Time that a request runs.
const RUN_TIME: Duration = Duration::from_millis(40);
/// Clients of each box and of the one that is frozen, and the time between two requests of each.
const CLIENTS: usize = 8;
const CLIENTS_OF_FROZEN: usize = 24;
const PAUSE: Duration = Duration::from_millis(40);

/// An engine as it sees itself.
#[derive(Default)]
struct Engine {
    /// Requests that it ran, with the box that a client sent each to.
    arrivals: Mutex<Vec<(Instant, usize, String)>>,
}

/// When each box first passed on an answer with the low limit.
type Passed = Arc<Mutex<[Option<Instant>; BOXES as usize]>>;

fn start_engine(store: &Arc<Store>, number: usize, limit: &Arc<Mutex<Option<f64>>>) -> Arc<Engine> {
    let listener = TcpListener::bind((rig::address(100 + number as u8), 0));
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let (id, born) = (format!("i-{number}"), rig::unix_ms());
    let engine = Arc::new(Engine::default());
    let (name, own, limit) = (id.clone(), engine.clone(), limit.clone());
    let respond = move |request: Request, to: &mut TcpStream| {
        let attempt = request.header("x-attempt-id").unwrap_or_default();
        let says = || match *limit.lock().expect("no thread panics with it") {
            Some(limit) => format!("Server-Limit: {limit}\r\n"),
            None => String::new(),
        };
        let own_head = |says: String| format!("X-Attempt-Id: {attempt}\r\n{says}");
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != name) {
            let headers = format!(
                "X-Instance-Id: {name}\r\n{}X-Not-Executed: 1\r\n",
                own_head(says())
            );
            http::answer(to, "421 Misdirected Request", &headers, b"")?;
            return Ok(true);
        }
        if request.path == "/health" {
            http::answer(
                to,
                "200 OK",
                &format!("X-Instance-Id: {name}\r\n{}", says()),
                b"",
            )?;
            return Ok(true);
        }
        let from = attempt.rsplit('-').next();
        let from = from.and_then(|number| number.parse().ok());
        let arrival = (Instant::now(), from.unwrap_or_default(), attempt.to_owned());
        own.arrivals
            .lock()
            .expect("no thread panics with it")
            .push(arrival);
        thread::sleep(RUN_TIME);
        let headers = format!("{}X-Engine-Seal: seal.{name}\r\n", own_head(says()));
        http::answer(to, "200 OK", &headers, b"done")?;
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
    engine
}

/// Plays the case; `trouble` is whether a box is frozen.
pub fn play(journal: &Arc<Journal>, trouble: bool) -> ExitCode {
    let store = Store::start();
    store.write("keyed.op", "config", &rig::config(3, &[], 20_000));
    let limit = Arc::new(Mutex::new(None));
    let start = |number| start_engine(&store, number, &limit);
    let engines: Vec<Arc<Engine>> = (0..ENGINES).map(start).collect();
    let boxes = Boxes::start(&store, BOXES);
    if !boxes.wait_until_in(Duration::from_secs(20)) {
        journal.note("the boxes did not become ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(5));
    share_processor();
    let (passed, is_over) = (Passed::default(), Arc::new(AtomicBool::new(false)));
    let others = (0..usize::from(BOXES)).filter(|at| *at != FROZEN);
    let others = others.flat_map(|at| std::iter::repeat_n(at, CLIENTS));
    let clients: Vec<_> = others
        .chain(std::iter::repeat_n(FROZEN, CLIENTS_OF_FROZEN))
        .map(|at| {
            let (boxes, passed, is_over) = (boxes.clone(), passed.clone(), is_over.clone());
            thread::spawn(move || call_until(&boxes, at, &passed, &is_over))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let before = boxes.processor_times();
    let name = |rate: Option<f64>| {
        *limit.lock().expect("no thread panics with it") = rate;
        journal.note(&format!("engines: the limit that all name is {rate:?}"));
    };
    let frozen = &boxes.all[FROZEN];
    for _ in 0..ROUNDS {
        name(None);
        thread::sleep(FREE);
        if trouble {
            frozen.signal(SIGSTOP);
            journal.note(&format!("machine: {} is frozen", frozen.name));
        }
        thread::sleep(NEED_AFTER);
        name(Some(LIMIT));
        thread::sleep(FREEZE - NEED_AFTER);
        if trouble {
            frozen.signal(SIGCONT);
            journal.note(&format!("machine: {} runs again", frozen.name));
        }
        thread::sleep(NEED);
    }
    thread::sleep(FIRST);
    *passed.lock().expect("no thread panics with it") = Default::default();
    name(Some(LOW_LIMIT));
    let named = Instant::now();
    thread::sleep(SECOND);
    let broken = judge(journal, &engines, &passed, named);
    is_over.store(true, Ordering::SeqCst);
    let joined = clients
        .into_iter()
        .flat_map(|client| client.join().expect("no thread panics"));
    let calls: Vec<Call> = joined.collect();
    let sent = calls.len();
    let served = calls.iter().filter(|call| call.is_served).count();
    let quiet = boxes.processor_times();
    thread::sleep(REST);
    let after = boxes.processor_times();
    let spent = |from: &[f64], to: &[f64]| -> Vec<String> {
        let each = from.iter().zip(to);
        each.map(|(from, to)| format!("{:.2}", to - from)).collect()
    };
    journal.note(&format!(
        "processor seconds of the boxes while clients called: {:?}",
        spent(&before, &quiet)
    ));
    journal.note(&format!(
        "processor seconds of the boxes in 4 s without clients: {:?}",
        spent(&quiet, &after)
    ));
    boxes.stop();
    record(journal, &engines, calls);
    let line = format!(
        "{sent} requests, {served} served; {broken} engines got more than their limit allows; 4 s without clients took the boxes {:?} s of processor time",
        spent(&quiet, &after)
    );
    journal.note(&line);
    println!("{line}");
    match (broken, served > 0) {
        (0, true) => ExitCode::SUCCESS,
        (0, false) => ExitCode::from(2),
        _ => ExitCode::from(1),
    }
}

/// Keeps the cores busy, so that each process gets about the share of its settings.
fn share_processor() {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    for _ in 0..(cores * THREADS_PER_CORE).saturating_sub(usize::from(BOXES)) {
        thread::spawn(|| {
            loop {
                std::hint::spin_loop();
            }
        });
    }
}

/// A request of a client, and what it was answered.
struct Call {
    at: Instant,
    is_served: bool,
    line: String,
}

/// Records what was sent, answered and run, in the order of time.
fn record(journal: &Journal, engines: &[Arc<Engine>], calls: Vec<Call>) {
    let mut lines: Vec<(Instant, String)> = Vec::new();
    lines.extend(calls.into_iter().map(|call| (call.at, call.line)));
    for (number, engine) in engines.iter().enumerate() {
        let arrivals = engine.arrivals.lock().expect("no thread panics with it");
        let runs = arrivals
            .iter()
            .map(|(at, _, id)| (*at, format!("i-{number} runs {id}")));
        lines.extend(runs);
    }
    lines.sort();
    lines
        .iter()
        .for_each(|(at, line)| journal.note_at(*at, line));
}

/// Sends requests to a box; returns them.
fn call_until(boxes: &Boxes, at: usize, passed: &Passed, is_over: &AtomicBool) -> Vec<Call> {
    let mut calls = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        let (id, sent_at) = (format!("{}-{at}", rig::attempt_id()), Instant::now());
        let request = rig::request("GET", "/safe/item", &id, KEY, 1500);
        let answer = http::call(boxes.all[at].front, &request, Duration::from_millis(1500));
        let limit = answer
            .as_ref()
            .and_then(|answer| answer.header("server-limit"));
        if limit.is_some() {
            let mut passed = passed.lock().expect("no thread panics with it");
            passed[at].get_or_insert_with(Instant::now);
        }
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        let to = &boxes.all[at].name;
        calls.push(Call {
            at: sent_at,
            is_served: status == 200,
            line: format!(
                "sent {id} to {to} -> {status}, limit {}",
                limit.unwrap_or("-")
            ),
        });
        thread::sleep(PAUSE);
    }
    calls
}

/// Returns the number of engines that got more than the low limit allows, from `ContactMs` after they named it at `named` until now, from
/// boxes that were not frozen and had passed the limit on half a second before.
fn judge(journal: &Journal, engines: &[Arc<Engine>], passed: &Passed, named: Instant) -> usize {
    let passed = *passed.lock().expect("no thread panics with it");
    let allowed = 1.5 * LOW_LIMIT * WINDOW.as_secs_f64() + 5.0;
    let mut broken = 0;
    for (number, engine) in engines.iter().enumerate() {
        let arrivals = engine.arrivals.lock().expect("no thread panics with it");
        let counts = |(at, from, _): &&(Instant, usize, String)| {
            *from != FROZEN
                && *at >= named + CONTACT
                && passed[*from].is_some_and(|passed| *at >= passed + PASSED_ON)
        };
        let counted: Vec<Instant> = arrivals.iter().filter(counts).map(|(at, ..)| *at).collect();
        let windows = counted.iter().map(|from| {
            let within = |at: &&Instant| **at >= *from && **at < *from + WINDOW;
            counted.iter().filter(within).count()
        });
        let worst = windows.max().unwrap_or(0);
        let is_broken = worst as f64 > allowed;
        broken += usize::from(is_broken);
        let mark = if is_broken { "broken: " } else { "" };
        journal.note(&format!(
            "{mark}engine i-{number} got {worst} requests in 4 s, {allowed} are allowed"
        ));
    }
    broken
}
