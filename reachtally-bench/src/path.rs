//! Measures the processor time of a box's decisions by number of engines: path selection, load reports, collector totals, and the
//! placement of layers with its evaluation.
//!
//! Runs the production functions on one thread, in memory. A box of the users has an eighth to a half of such a core.

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
use reachtally_core::forward::placement::{Host, Presence, moves};
use reachtally_core::forward::select::{self, LatencyObjectives, Requirements, SelectionContext};
use reachtally_core::ids::Incarnation;

use crate::choice::engines::{CARD, SERVICE, domain, model};
use crate::report::{Goal, Report};

/// Fleet sizes to measure, in engines.
const ENGINES: [usize; 6] = [99, 190, 540, 1000, 3000, 7000];
/// Engines per failure domain, about as many as the users have.
const DOMAIN_ENGINES: usize = 540;
/// Layers per engine.
const LAYERS_PER_ENGINE: u32 = 10;
/// Longest allowed path selection in µs, for up to 3,000 engines and for more.
const MAX_CHOICE_US: [f64; 2] = [200.0, 1000.0];
/// Number of engines from which the second bound applies.
const MANY_ENGINES: usize = 7000;
/// Longest allowed planning time for 540 engines, in ms.
const MAX_PLAN_MS: f64 = 1000.0;
/// Largest number of engines for which planning is measured, since its time grows with pairs of layer ranges.
const MAX_PLANNED_ENGINES: usize = 540;

/// Command-line options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Iterations of each measurement
    #[bpaf(argument("N"), fallback(200))]
    rounds: u32,
}

/// Runs the experiment.
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
        black_box(select_path(&fleet, &model, u64::from(draw)));
    });
    select_path(&fleet, &model, 0).ok_or("path selection found no path")?;
    let max = MAX_CHOICE_US[usize::from(engines >= MANY_ENGINES)];
    report.add(&name("choice"), choice, "µs", Goal::AtMost(max));
    let load_report = mean_us(rounds, |number| {
        let number = u64::from(number);
        black_box(own_report(Incarnation(1), number, &fleet, Instant::ZERO));
    });
    report.add(&name("report"), load_report, "µs", Goal::None);
    let mut collector = collector(&fleet);
    let sums = mean_us(rounds, |_| collector.update_totals(Instant::ZERO));
    report.add(&name("sums of 64 boxes"), sums, "µs", Goal::None);
    if engines <= MAX_PLANNED_ENGINES {
        let hosts = hosts(&fleet, &model);
        let plan = mean_us(1, |_| {
            black_box(moves(&model, &hosts));
        });
        report.add(
            &name("plan"),
            plan / 1000.0,
            "ms",
            Goal::AtMost(MAX_PLAN_MS),
        );
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

/// Returns the mean time of an iteration, in µs.
fn mean_us(rounds: u32, mut round: impl FnMut(u32)) -> f64 {
    let started = Clock::now();
    for number in 0..rounds {
        round(number);
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

fn select_path(fleet: &Fleet, model: &LayerModel, draw: u64) -> Option<select::Choice> {
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

/// Creates a table of engines with identical cards and some requests on each.
fn fleet(engines: usize) -> Fleet {
    let mut fleet = Fleet::default();
    let layers = model().layers;
    for number in 0..engines {
        let from = (number as u32 * LAYERS_PER_ENGINE) % layers;
        let entry = Entry {
            id: format!("e-{number:08}").into(),
            born: None,
            service: SERVICE.into(),
            address: (Ipv4Addr::from(0x0A00_0000 + number as u32), 8066).into(),
            domain: domain(number / DOMAIN_ENGINES).into(),
            draining: false,
            slots: 192,
            card: Some(CARD.into()),
            layers: from..from + LAYERS_PER_ENGINE,
        };
        let (key, _) = fleet.upsert(entry, EntrySource::Written, Instant::ZERO);
        fleet.begin(&[key], 900.0 * (number % 7) as f64);
    }
    fleet
}

/// Creates a collector with reports of 64 boxes, each with load on every engine.
fn collector(fleet: &Fleet) -> Collector {
    let mut collector = Collector::new(&domain(0));
    for run in 0..64 {
        let load_report = own_report(Incarnation(run + 1), 1, fleet, Instant::ZERO);
        let ip = Ipv4Addr::from(0x0A01_0000 + run as u32);
        collector.receive(load_report, ip.into(), Instant::ZERO);
    }
    collector
}

/// Returns the engines with the layers that they hold.
fn placed(fleet: &Fleet, hosts: &[Host]) -> Vec<Host> {
    let with_layers = |host: &Host| Host {
        layers: fleet
            .get(host.engine)
            .map_or(0..0, |row| row.entry.layers.clone()),
        ..host.clone()
    };
    hosts.iter().map(with_layers).collect()
}

/// Returns the engines without layers.
fn hosts(fleet: &Fleet, model: &LayerModel) -> Vec<Host> {
    let host = |(engine, row): (_, &reachtally_core::forward::fleet::Engine)| Host {
        engine,
        id: Arc::clone(&row.entry.id),
        domain: Arc::clone(&row.entry.domain),
        card: model.cards[CARD],
        layers: 0..0,
        held: 0..0,
        presence: Presence::Usable,
        running: 0.0,
    };
    fleet.iter().map(host).collect()
}
