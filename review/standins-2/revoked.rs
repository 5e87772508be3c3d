//! A key is taken away; the store comes back from a copy that lacks this, and a box starts again.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::rig::{Rig, Sent, cannot_run, config, ms, sleep_ms};
use crate::store::Mode;

const REVOKE_MS: u64 = 5000;

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

pub fn run(case: &Path, root: &Path, is_troubled: bool) -> bool {
    let mut rig = Rig::new(case, root);
    for zone in ["hall-a", "hall-b", "hall-c"] {
        rig.add_engine("portal", zone, 20);
    }
    for zone in ["hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-b", "hall-c", "hall-c"] {
        rig.add_box(zone);
    }
    let before: &[(&str, &[&str])] = &[("dealer", &["key-taken", "key-kept"]), ("planner", &["key-other"])];
    let after: &[(&str, &[&str])] = &[("dealer", &["key-kept"]), ("planner", &["key-other"])];
    rig.configure(&config(7, before));
    let (seeds, store) = ([0, 3, 6], rig.store_address);
    for at in 0..8 {
        rig.start_box(at, true, &seeds, store);
    }
    for at in 0..8 {
        if !rig.wait_ready(at, ms(15_000)) {
            cannot_run("a box is not ready");
        }
    }
    sleep_ms(6000);
    // The box that is stopped and started.
    let victim = 6;
    let ask = |rig: &Rig, key: &str| {
        let sent = Sent {
            attempt: rig.attempt(),
            method: "GET".to_owned(),
            path: "/status/1".to_owned(),
            key: Some(key.to_owned()),
            body: Vec::new(),
            deadline_ms: 4000,
        };
        let at = Instant::now();
        let answer = rig.send(rig.front(victim), &sent);
        let status = answer.map(|answer| answer.status);
        rig.record.note(&format!("client: {} with {key} at {}: {status:?}", sent.attempt, rig.boxes[victim].name));
        (sent.attempt, at, status)
    };
    if ask(&rig, "key-taken").2 != Some(200) {
        cannot_run("the key isn't accepted before it is taken away");
    }
        let copy_at = Instant::now();
    let copy = rig.store.copy();
    rig.record.note("a copy of the store is made");
    sleep_ms(600);
    let taken_at = rig.configure(&config(12, after)).unwrap_or_else(|| cannot_run("the store is away"));
    sleep_ms(1000);
    let (_, _, status) = ask(&rig, "key-taken");
    rig.record.note(&format!("the key was taken away a second ago: {status:?}"));
    let mut accepted = Vec::new();
    sleep_until(taken_at + ms(1200));
    // The box takes requests for 2.5 s more, and then ends.
    rig.signal(victim, "TERM");
    rig.wait_box(victim);
    if is_troubled {
        sleep_until(taken_at + ms(3900));
        rig.record.note("the store is away");
        rig.store.set_mode(Mode::Silent);
        sleep_until(taken_at + ms(4300));
        rig.store.restore(copy);
        rig.record.note(&format!("the store is back from a copy that is {} ms old", copy_at.elapsed().as_millis()));
    }
    sleep_until(taken_at + ms(4950));
    rig.start_box(victim, false, &seeds, store);
    // What the operator wrote is written again, less than two seconds after the store is back.
    let rewrite_at = taken_at + ms(6100);
    let mut is_rewritten = !is_troubled;
    let end = taken_at + ms(9000);
    while Instant::now() < end {
        if !is_rewritten && Instant::now() >= rewrite_at {
            is_rewritten = true;
            rig.configure(&config(12, after));
        }
        let (attempt, at, _) = ask(&rig, "key-taken");
        ask(&rig, "key-kept");
        if at > taken_at + ms(REVOKE_MS) {
            accepted.push((attempt, at));
        }
        sleep_ms(40);
    }
    rig.end();
    let runs = rig.runs.lock().unwrap().clone();
    let mut broken = 0;
    for (attempt, at) in &accepted {
        if runs.iter().any(|run| run.attempt == *attempt) {
            broken += 1;
            let late = at.duration_since(taken_at);
            rig.record.note(&format!("BROKEN: {attempt} with the key that was taken away, sent {} ms after the acknowledgement, ran", late.as_millis()));
        }
    }
    let kept_ran = runs.iter().filter(|run| run.at > taken_at + Duration::from_millis(REVOKE_MS)).count();
    rig.record.note(&format!("{broken} of {} requests with the key ran; {kept_ran} requests ran in that time", accepted.len()));
    println!("{broken} of {} requests with the key ran", accepted.len());
    rig.clean();
    broken > 0
}
