//! Random and example fleets of empty engines.

use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reachtally_core::Instant;
use reachtally_core::forward::cost::{Card, LayerModel};
use reachtally_core::forward::fleet::{Entry, EntrySource, Fleet};
use reachtally_core::forward::placement::evaluate::Demand;
use reachtally_core::forward::placement::{Host, Presence};
use reachtally_core::forward::select::LatencyObjectives;

/// Latency objectives of all fleets.
pub const OBJECTIVES: LatencyObjectives = LatencyObjectives {
    first_ms: Some(500.0),
    gap_ms: Some(250.0),
};

/// Empty engines, the model that they serve, and the demand.
pub struct FleetCase {
    /// Name of the fleet.
    pub name: String,
    /// The served model.
    pub model: LayerModel,
    /// The engines, without layers.
    pub hosts: Vec<Host>,
    /// Demand of each failure domain.
    pub demand: Vec<Demand>,
}

/// A card type and its number of engines in each failure domain.
type Kind<'a> = (&'a str, Card, &'a [usize]);

fn card(memory_mb: f64, step_factor: f64, read_factor: f64) -> Card {
    Card {
        memory_mb,
        step_factor,
        read_factor,
    }
}

/// Returns a model of 80 layers of 1,750 MB.
fn model(step_ms: f64, read_per_s: f64, mean_answer_tokens: f64) -> LayerModel {
    LayerModel {
        layers: 80,
        layer_mb: 1750.0,
        kv_token_mb: 0.393,
        step_ms,
        per_seq_ms: 0.003 * step_ms,
        context_ms_per_k: 0.004 * step_ms,
        read_per_s,
        stride: 3.0,
        chunk: 512.0,
        slots: 192,
        mean_prompt_tokens: 773.0,
        mean_answer_tokens,
        cards: [].into(),
    }
}

/// Returns the example fleets: a few fast cards among slow ones, and three card types of very different speed.
pub fn examples() -> [FleetCase; 2] {
    let uneven = [
        ("h100", card(72_000.0, 1.4, 1.0), [0, 1, 1]),
        ("a100s", card(36_000.0, 3.1, 3.2), [4, 2, 2]),
        ("l4", card(21_600.0, 16.0, 8.2), [11, 13, 20]),
        ("t4", card(14_400.0, 15.0, 15.0), [18, 17, 9]),
    ];
    let waves = [
        ("a100", card(72_000.0, 2.4, 3.2), [2, 2, 4]),
        ("l40s", card(43_000.0, 5.6, 2.7), [9, 15, 6]),
        ("l4", card(21_600.0, 16.0, 8.2), [22, 12, 14]),
    ];
    let case = |name: &str, model, kinds: &[(&'static str, Card, [usize; 3])], per_s| {
        let kinds: Vec<Kind<'_>> = kinds
            .iter()
            .map(|(name, card, counts)| (*name, *card, &counts[..]))
            .collect();
        build(name.to_owned(), model, &kinds, per_s)
    };
    [
        case("uneven", model(0.85, 294_000.0, 178.0), &uneven, 374.0),
        case(
            "waves",
            LayerModel {
                stride: 5.0,
                ..model(1.02, 164_000.0, 225.0)
            },
            &waves,
            374.0,
        ),
    ]
}

/// Generates a random fleet that can hold its model: 2 to 5 failure domains, 1 to 5 card types, 12 to 540 engines.
pub fn random(seed: u64) -> FleetCase {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    loop {
        let domains = rng.random_range(2..=5);
        let kinds = rng.random_range(1..=5);
        // Logarithmic, so that small fleets are as frequent as large ones.
        let total = (12.0 * 45_f64.powf(rng.random::<f64>())).round() as usize;
        let mut counts = vec![vec![0; domains]; kinds];
        for _ in 0..total {
            let kind = rng.random_range(0..kinds);
            counts[kind][rng.random_range(0..domains)] += 1;
        }
        let names = ["k0", "k1", "k2", "k3", "k4"];
        let kinds: Vec<Kind<'_>> = counts
            .iter()
            .zip(names)
            .map(|(counts, name)| (name, random_card(&mut rng), &counts[..]))
            .collect();
        let step_ms = rng.random_range(0.6..1.3);
        let read_per_s = rng.random_range(100_000.0..350_000.0);
        let answer = rng.random_range(100.0..280.0);
        let mut model = model(step_ms, read_per_s, answer);
        model.kv_token_mb = rng.random_range(0.3..0.95);
        let case = build(format!("seed {seed}"), model, &kinds, 400.0);
        if can_hold_model(&case) {
            return case;
        }
    }
}

/// Generates a card of 14 to 80 GB; larger cards tend to be faster.
fn random_card(rng: &mut ChaCha8Rng) -> Card {
    let memory_mb = 14_000.0 * (80.0_f64 / 14.0).powf(rng.random::<f64>());
    let usual = 16.0 * (14_000.0 / memory_mb);
    let step = usual * rng.random_range(0.5..1.5);
    card(
        memory_mb,
        step.max(1.0),
        step.max(1.0) * rng.random_range(0.5..1.2),
    )
}

/// Whether all engines together can hold the model and the KV of a dozen requests.
fn can_hold_model(case: &FleetCase) -> bool {
    let kv = 12.0 * case.model.mean_context_tokens();
    let max_layers = |host: &Host| case.model.max_layers(&host.card, kv);
    case.hosts.iter().map(max_layers).sum::<u32>() >= case.model.layers
}

fn build(name: String, mut model: LayerModel, kinds: &[Kind<'_>], per_s: f64) -> FleetCase {
    let mut fleet = Fleet::default();
    let mut hosts = Vec::new();
    let domains = kinds.iter().map(|kind| kind.2.len()).max().unwrap_or(0);
    for (kind, card, counts) in kinds {
        model.cards.insert((*kind).to_owned(), *card);
        for (domain, count) in counts.iter().enumerate() {
            for _ in 0..*count {
                hosts.push(host(&mut fleet, hosts.len(), kind, *card, domain));
            }
        }
    }
    let of_domain = |domain: usize| Demand {
        domain: format!("domain-{domain}"),
        per_s: per_s / domains as f64,
        prompt: model.mean_prompt_tokens,
        answer: model.mean_answer_tokens,
    };
    FleetCase {
        demand: (0..domains).map(of_domain).collect(),
        name,
        model,
        hosts,
    }
}

fn host(fleet: &mut Fleet, number: usize, kind: &str, card: Card, domain: usize) -> Host {
    let id: Arc<str> = format!("e-{number:08}").into();
    let domain: Arc<str> = format!("domain-{domain}").into();
    let entry = Entry {
        id: Arc::clone(&id),
        born: None,
        service: "pool".into(),
        address: ([10, 0, 0, 1], 1000 + number as u16).into(),
        domain: Arc::clone(&domain),
        draining: false,
        slots: 192,
        card: Some(kind.into()),
        layers: 0..0,
    };
    let (engine, _) = fleet.upsert(entry, EntrySource::Written, Instant::ZERO);
    Host {
        engine,
        id,
        domain,
        card,
        layers: 0..0,
        held: 0..0,
        presence: Presence::Usable,
        running: 0.0,
    }
}
