//! Measures the control-plane cost of one daemon, by number of engines, daemons, accounts and changes.
//!
//! Runs the production core in this process and measures real time. Each figure is measured at four sizes; docs/CAPACITY.md is
//! derived from the slopes.

use std::hint::black_box;
use std::time::{Duration, Instant as Clock};

use bpaf::Bpaf;
use bytes::BytesMut;
use reachtally_core::claim::{ClaimKey, ClaimRecord, Entry, Recorded};
use reachtally_core::declare::{Account, Engine, Layers, Model, Object};
use reachtally_core::event::Read;
use reachtally_core::fold::{Config, Operation};
use reachtally_core::member::{GOSSIP_INTERVAL, MemberState};
use reachtally_core::request::{Completion, NewRequest, Work};
use reachtally_core::{Effect, Effects, Event, Incarnation, Instant, Limits, World};
use reachtally_protocol::Message;
use reachtally_protocol::codec::Codec;
use tokio_util::codec::Encoder;

use crate::report::{Goal, Report};

/// Engines of a failure domain, up to the size expected in two years; all serve one model.
const ENGINES: [u32; 4] = [30, 120, 270, 540];
/// Daemons of a failure domain, up to the size expected in two years.
const MEMBERS: [u32; 4] = [8, 48, 96, 192];
const CLAIMS: [u32; 4] = [1000, 10_000, 50_000, 200_000];
/// Longest allowed time of a chain selection at the largest size, in µs.
const MAX_CHOICE_US: f64 = 5.0;
/// Largest allowed membership traffic, sent and received, at the largest size, in bytes per second.
const MAX_MEMBERSHIP_BYTES_PER_S: f64 = 3000.0;
const STAGES: u32 = 4;
const LAYERS: u32 = 48;
/// Number of measurements of each figure. The smallest counts, since noise only adds time.
const MEASUREMENTS: u32 = 5;

/// Command-line options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Iterations of each measurement
    #[bpaf(argument("N"), fallback(2000))]
    rounds: u32,
}

/// Runs the experiment.
pub fn run(options: &Options) -> Result<Report, String> {
    let mut report = Report::default();
    for engines in ENGINES {
        let largest = engines == ENGINES[3];
        measure_routing(options, engines, largest, &mut report);
        measure_folding(engines, &mut report);
    }
    for members in MEMBERS {
        let largest = members == MEMBERS[3];
        measure_membership(options, members, largest, &mut report)?;
    }
    for claims in CLAIMS {
        measure_claims(claims, &mut report)?;
    }
    Ok(report)
}

fn read(offset: u64, objects: Vec<Object>) -> Event {
    Event::ConfigRead(vec![Read {
        offset,
        at_ms: 0,
        record: Operation {
            id: format!("operation-{offset}"),
            actor: "bench".to_owned(),
            edits: Config::default().edits(objects),
        },
    }])
}

/// Creates a world with `engines` engines of one model, each with a quarter of its layers.
fn world(engines: u32) -> World {
    let mut objects = vec![
        Object::Model(Model {
            name: "m".to_owned(),
            layers: LAYERS,
        }),
        Object::Account(account("a", 1)),
    ];
    for number in 0..engines {
        let stage = number % STAGES;
        let each = LAYERS / STAGES;
        objects.push(Object::Engine(Engine {
            name: format!("engine-{number}"),
            box_name: format!("box-{number}"),
            domain: "hall-1".to_owned(),
            url: format!("http://10.0.{}.{}:8000", number / 250, number % 250),
            model: "m".to_owned(),
            layers: Layers {
                first: stage * each,
                end: (stage + 1) * each,
            },
            slots: 256,
            checks_fence: false,
        }));
    }
    let mut world = World::new(Incarnation(1), 1, Limits::default());
    let mut out = Effects::default();
    world.handle(read(0, objects), Instant::ZERO, &mut out);
    world.handle(Event::ClaimsCaughtUp, Instant::ZERO, &mut out);
    world
}

fn account(name: &str, max_running: u32) -> Account {
    Account {
        name: name.to_owned(),
        key_hashes: Vec::new(),
        models: vec!["m".to_owned()],
        adapters: Vec::new(),
        services: Vec::new(),
        max_running: max_running.max(1 << 20),
        priority: 0,
    }
}

/// Returns the mean time of a call in µs over `rounds` calls, the smallest of several measurements.
fn min_time_us(rounds: u32, mut work: impl FnMut()) -> f64 {
    let measure = |work: &mut dyn FnMut()| {
        let started = Clock::now();
        for _ in 0..rounds {
            work();
        }
        started.elapsed().as_secs_f64() / f64::from(rounds) * 1e6
    };
    (0..MEASUREMENTS)
        .map(|_| measure(&mut work))
        .fold(f64::INFINITY, f64::min)
}

fn measure_routing(options: &Options, engines: u32, largest: bool, report: &mut Report) {
    let mut world = world(engines);
    let mut choose = || {
        black_box(world.choose_chain("m"));
    };
    let us = min_time_us(options.rounds, &mut choose);
    let goal = if largest {
        Goal::AtMost(MAX_CHOICE_US)
    } else {
        Goal::None
    };
    report.add(
        &format!("choice of a chain, {engines} engines"),
        us,
        "us",
        goal,
    );
    let mut out = Effects::default();
    let mut admit = || {
        let key = world.ask(new_request(), Instant::ZERO, &mut out);
        world.tick(Instant::ZERO, &mut out);
        world.handle(Event::Disconnected(key), Instant::ZERO, &mut out);
        world.tick(Instant::ZERO, &mut out);
        out.drain();
    };
    let us = min_time_us(options.rounds, &mut admit);
    let name = format!("admission to first step, and hang-up, {engines} engines");
    report.add(&name, us, "us", Goal::None);
}

fn new_request() -> NewRequest {
    NewRequest {
        account: "a".to_owned(),
        work: Work::Completion(Completion {
            model: "m".to_owned(),
            prompt: "draft a quote".to_owned(),
            max_tokens: 100,
        }),
        idempotency_key: None,
        request_timeout: Duration::from_secs(60),
    }
}

fn measure_folding(engines: u32, report: &mut Report) {
    let mut world = world(engines);
    let mut out = Effects::default();
    let mut offset = 1;
    let rounds = 100;
    let mut fold = || {
        let object = Object::Account(account(&format!("account-{offset}"), 1));
        world.handle(read(offset, vec![object]), Instant::ZERO, &mut out);
        out.drain();
        offset += 1;
    };
    let us = min_time_us(rounds, &mut fold);
    report.add(
        &format!("fold of one change, {engines} engines"),
        us,
        "us",
        Goal::None,
    );
}

fn member(number: u32, heartbeat: u64) -> MemberState {
    MemberState {
        incarnation: Incarnation(0x9000_0000_0000_0000 + u64::from(number)),
        box_name: format!("entry-box-{number}"),
        domain: "hall-1".to_owned(),
        address: format!("10.0.{}.{}:7072", number / 250, number % 250),
        heartbeat,
        config_next: 123_456,
        stopping: false,
    }
}

/// Measures the membership digests of a daemon that knows `members` others: bytes sent and received, and time per round.
fn measure_membership(
    options: &Options,
    members: u32,
    largest: bool,
    report: &mut Report,
) -> Result<(), String> {
    let mut world = World::new(Incarnation(1), 1, Limits::default());
    let mut out = Effects::default();
    world.join(member(0, 0), Instant::ZERO);
    let mut bytes = 0;
    let mut digests = 0u32;
    let mut busy = Duration::ZERO;
    let rounds = options.rounds.min(500);
    for round in 0..rounds {
        let now = Instant::ZERO + GOSSIP_INTERVAL * round;
        // A digest from another daemon, as full as the own ones.
        let first = round * 15 % members;
        let states = (0..16).map(|n| member(1 + (first + n) % members, u64::from(round) + 1));
        let received = Message::Digest(states.collect());
        let started = Clock::now();
        if let Message::Digest(states) = received {
            world.handle(Event::Digest(states), now, &mut out);
        }
        world.tick(now, &mut out);
        busy += started.elapsed();
        let full = round > rounds / 2;
        for effect in out.drain() {
            if let (Effect::Gossip { members, .. }, true) = (effect, full) {
                let mut buf = BytesMut::new();
                Codec::default()
                    .encode(Message::Digest(members), &mut buf)
                    .map_err(|err| err.to_string())?;
                bytes += buf.len();
                digests += 1;
            }
        }
    }
    let each = bytes as f64 / f64::from(digests.max(1));
    let per_s = 2.0 * each / GOSSIP_INTERVAL.as_secs_f64();
    let goal = if largest {
        Goal::AtMost(MAX_MEMBERSHIP_BYTES_PER_S)
    } else {
        Goal::None
    };
    let name = format!("membership, sent and received, {members} daemons");
    report.add(&name, per_s, "bytes/s", goal);
    let us = busy.as_secs_f64() * 1e6 / f64::from(rounds);
    report.add(
        &format!("membership, one round, {members} daemons"),
        us,
        "us",
        Goal::None,
    );
    Ok(())
}

/// Measures memory and time of folding claims with their outcomes.
fn measure_claims(claims: u32, report: &mut Report) -> Result<(), String> {
    let mut world = world(4);
    let mut out = Effects::default();
    let before = resident()?;
    let started = Clock::now();
    for number in 0..claims {
        let key = ClaimKey {
            account: "counter-network".to_owned(),
            key: format!("order-2028-11-03-{number:08}"),
        };
        let claim = Entry::Claim {
            key: key.clone(),
            digest: u64::from(number),
        };
        let outcome = Entry::Outcome {
            key,
            outcome: Recorded::Completed {
                status: 200,
                content_type: Some("application/json".to_owned()),
                body: Some("{\"order\": 1234567, \"state\": \"taken\"}".to_owned()),
            },
        };
        let read = Read {
            offset: u64::from(number),
            at_ms: 0,
            record: ClaimRecord {
                by: Incarnation(7),
                entries: vec![claim, outcome],
            },
        };
        world.handle(Event::ClaimsRead(vec![read]), Instant::ZERO, &mut out);
    }
    let us = started.elapsed().as_secs_f64() * 1e6 / f64::from(claims);
    let bytes = resident()?.saturating_sub(before) as f64 / f64::from(claims);
    report.add(
        &format!("claim and outcome folded, {claims} known"),
        us,
        "us",
        Goal::None,
    );
    report.add(
        &format!("memory of a claim, {claims} known"),
        bytes,
        "bytes",
        Goal::None,
    );
    black_box(world.claims_known());
    Ok(())
}

/// Returns the resident memory of this process in bytes.
fn resident() -> Result<u64, String> {
    let status = std::fs::read_to_string("/proc/self/status").map_err(|err| err.to_string())?;
    crate::process::resident_of(&status)
        .ok_or_else(|| "/proc/self/status shows no resident memory".to_owned())
}
