//! What the decisions on the path of a request cost a box, against the number of engines: the choice of engines, the
//! report of loads, the sums of a collector, and the plan of layers with its evaluation.
//!
//! The shipped functions on one thread, in memory; a box of the users has an eighth to a half of such a core.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant as Clock};

use bpaf::Bpaf;
use reachtally_core::Instant;
use reachtally_core::forward::cost::LayerModel;
use reachtally_core::forward::fleet::{Entry, EntrySource, Fleet};
use reachtally_core::forward::loads::{Collector, own_report};
use reachtally_core::forward::placement::evaluate::capacity;
use reachtally_core::forward::placement::{Host, moves};
use reachtally_core::forward::select::{self, LatencyObjectives, Requirements, SelectionContext};
use reachtally_core::ids::Incarnation;

use crate::choice::engines::{CARD, SERVICE, domain, model};
use crate::report::{Goal, Report};

/// Numbers of engines.
const ENGINES: [usize; 6] = [99, 190, 540, 1000, 3000, 7000];
/// Engines of a failure domain, about as many as the users have.
const DOMAIN_ENGINES: usize = 540;
/// Layers that each engine holds.
const HELD: u32 = 10;
/// Longest choice, in µs, at up to 3,000 engines and beyond.
const CHOICE_MOST: [f64; 2] = [200.0, 1000.0];
/// Engines from which the second bound holds.
const MANY: usize = 7000;
/// Longest plan of 540 engines, in ms.
const PLAN_MOST: f64 = 1000.0;
/// Engines up to which a plan is timed: the plan tries ranges against ranges.
const PLANNED_MOST: usize = 540;

/// How often each decision is taken.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Rounds of each figure
    #[bpaf(argument("N"), fallback(200))]
    rounds: u32,
}

/// Run the experiment.
pub fn run(options: &Options) -> Result<Report, String> {
    let mut report = Report::default();
    for engines in ENGINES {
        measure(engines, options.rounds, &mut report)?;
    }
    Ok(report)
}

fn measure(engines: usize, rounds: u32, report: &mut Report) -> Result<(), String> {
    let model = model();
    let fleet = fleet(engines);
    let name = |what: &str| format!("{what}, {engines} engines");
    let choice = mean_us(rounds, |draw| {
        black_box(choose(&fleet, &model, u64::from(draw)));
    });
    choose(&fleet, &model, 0).ok_or("no path is found")?;
    let most = CHOICE_MOST[usize::from(engines >= MANY)];
    report.add(&name("choice"), choice, "µs", Goal::AtMost(most));
    let told = mean_us(rounds, |number| {
        let number = u64::from(number);
        black_box(own_report(Incarnation(1), number, &fleet, Instant::ZERO));
    });
    report.add(&name("report"), told, "µs", Goal::None);
    let mut collector = collector(&fleet);
    let sums = mean_us(rounds, |_| collector.update_totals(Instant::ZERO));
    report.add(&name("sums of 64 boxes"), sums, "µs", Goal::None);
    if engines <= PLANNED_MOST {
        let hosts = hosts(&fleet, &model);
        let plan = mean_us(1, |_| {
            black_box(moves(&model, &hosts));
        });
        report.add(&name("plan"), plan / 1000.0, "ms", Goal::AtMost(PLAN_MOST));
        let placed = placed(&fleet, &hosts);
        let repair = mean_us(3, |_| {
            black_box(moves(&model, &placed));
        });
        report.add(&name("repair"), repair / 1000.0, "ms", Goal::None);
        let evaluation = mean_us(3, |_| {
            black_box(capacity(&model, &placed, LatencyObjectives::default()));
        });
        report.add(&name("evaluation"), evaluation / 1000.0, "ms", Goal::None);
    }
    Ok(())
}

/// Mean time of a round, in µs.
fn mean_us(rounds: u32, mut round: impl FnMut(u32)) -> f64 {
    let began = Clock::now();
    for number in 0..rounds {
        round(number);
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

fn choose(fleet: &Fleet, model: &LayerModel, draw: u64) -> Option<select::Choice> {
    let need = Requirements {
        prompt: 774.0,
        answer: 138.0,
        objectives: LatencyObjectives {
            first_ms: Some(500.0),
            gap_ms: Some(200.0),
        },
    };
    let cx = SelectionContext {
        now: Instant::ZERO,
        home: &domain(0),
        avoid: &[],
        held: Duration::from_secs(2),
        boxes: 1,
        load_scale: 1.0,
        draw: draw.wrapping_mul(0x9E37_79B9_7F4A_7C15),
        limits: select::Limits::Enforced,
    };
    select::path(fleet, SERVICE, model, need, &cx)
}

/// Engines of equal cards in chains, with some requests on each.
fn fleet(engines: usize) -> Fleet {
    let mut fleet = Fleet::default();
    let layers = model().layers;
    for number in 0..engines {
        let from = (number as u32 * HELD) % layers;
        let entry = Entry {
            id: format!("e-{number:08}").into(),
            born: None,
            service: SERVICE.into(),
            address: (Ipv4Addr::from(0x0A00_0000 + number as u32), 8066).into(),
            domain: domain(number / DOMAIN_ENGINES).into(),
            draining: false,
            slots: 192,
            card: Some(CARD.into()),
            layers: from..from + HELD,
        };
        let (key, _) = fleet.upsert(entry, EntrySource::Written, Instant::ZERO);
        fleet.begin(&[key], 900.0 * (number % 7) as f64);
    }
    fleet
}

/// A collector that 64 boxes report to, which have something on every engine.
fn collector(fleet: &Fleet) -> Collector {
    let mut collector = Collector::new(&domain(0));
    for run in 0..64 {
        let told = own_report(Incarnation(run + 1), 1, fleet, Instant::ZERO);
        let ip = Ipv4Addr::from(0x0A01_0000 + run as u32);
        collector.receive(told, ip.into(), Instant::ZERO);
    }
    collector
}

/// The engines with the layers that they hold.
fn placed(fleet: &Fleet, hosts: &[Host]) -> Vec<Host> {
    let held = |host: &Host| Host {
        layers: fleet
            .get(host.engine)
            .map_or(0..0, |row| row.entry.layers.clone()),
        ..host.clone()
    };
    hosts.iter().map(held).collect()
}

/// Empty engines, for a plan.
fn hosts(fleet: &Fleet, model: &LayerModel) -> Vec<Host> {
    let host = |(engine, row): (_, &reachtally_core::forward::fleet::Engine)| Host {
        engine,
        id: Arc::clone(&row.entry.id),
        domain: Arc::clone(&row.entry.domain),
        card: model.cards[CARD],
        layers: 0..0,
        running: 0.0,
    };
    fleet.iter().map(host).collect()
}
