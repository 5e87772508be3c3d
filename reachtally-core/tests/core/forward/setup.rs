//! A model with three kinds of cards, and fleets of them.

use std::sync::Arc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::cost::{Card, LayerModel, Layers};
use reachtally_core::forward::fleet::{EngineKey, Entry, EntrySource, Fleet, StartTime};
use reachtally_core::forward::placement::{Host, Presence};
use reachtally_core::forward::select::{
    self, ConnectionLimit, LatencyObjectives, Limits, Requirements, SelectionContext,
};

/// The service of all engines in these tests.
pub const SERVICE: &str = "pool";

/// Latency objectives of answers.
pub const OBJECTIVES: LatencyObjectives = LatencyObjectives {
    first_ms: Some(500.0),
    gap_ms: Some(200.0),
};

/// Requirements of a typical request.
pub const NEED: Requirements = Requirements {
    prompt: 800.0,
    answer: 200.0,
    objectives: OBJECTIVES,
};

/// The view of a box of domain `a` that knows all other boxes.
pub fn cx(avoid: &[EngineKey]) -> SelectionContext<'_> {
    SelectionContext {
        now: Instant::from_elapsed(Duration::from_secs(1)),
        home: "a",
        avoid,
        held: Duration::from_secs(3),
        boxes: 1,
        load_scale: 1.0,
        draw: 0,
        limits: Limits::Enforced,
    }
}

/// A model of 80 layers for a large, a middle and a small card.
pub fn model() -> LayerModel {
    let card = |memory_mb, step_factor, read_factor| Card {
        memory_mb,
        step_factor,
        read_factor,
    };
    let cards = [
        ("large", card(72_000.0, 2.4, 3.2)),
        ("middle", card(43_200.0, 5.6, 2.7)),
        ("small", card(21_600.0, 16.0, 8.2)),
    ];
    LayerModel {
        layers: 80,
        layer_mb: 1750.0,
        kv_token_mb: 0.918,
        step_ms: 1.02,
        per_seq_ms: 0.00714,
        context_ms_per_k: 0.00956,
        read_per_s: 105_000.0,
        stride: 3.0,
        chunk: 0.0,
        slots: 192,
        mean_prompt_tokens: 774.0,
        mean_answer_tokens: 200.0,
        cards: cards.map(|(name, card)| (name.to_owned(), card)).into(),
    }
}

/// An entry of an engine.
pub fn entry(number: u16, domain: &str, card: &str, layers: Layers) -> Entry {
    Entry {
        id: format!("e{number}").into(),
        born: None,
        service: SERVICE.into(),
        address: ([10, 0, 0, 1], 1000 + number).into(),
        domain: domain.into(),
        draining: false,
        slots: 192,
        card: Some(card.into()),
        layers,
    }
}

/// The entry of a run of engine `e0` that started at `born`.
pub fn run_entry(born: u64) -> Entry {
    Entry {
        born: Some(StartTime(born)),
        ..entry(0, "north", "small", 0..8)
    }
}

/// Hosts without layers in one domain, with the number of engines per card.
pub fn hosts(domain: &str, cards: &[(&str, u16)]) -> Vec<Host> {
    let model = model();
    let mut fleet = Fleet::default();
    let mut hosts = Vec::new();
    let mut number = 0;
    for (card, count) in cards {
        for _ in 0..*count {
            let (engine, _) = fleet.upsert(
                entry(number, domain, card, 0..0),
                EntrySource::Written,
                Instant::ZERO,
            );
            hosts.push(Host {
                engine,
                id: format!("e{number:03}").into(),
                domain: Arc::from(domain),
                card: model.cards[*card],
                layers: 0..0,
                held: 0..0,
                presence: Presence::Usable,
                running: 0.0,
            });
            number += 1;
        }
    }
    hosts
}

/// A fleet with these engines, and their keys in order.
pub fn fleet(entries: impl IntoIterator<Item = Entry>) -> (Fleet, Vec<EngineKey>) {
    let mut fleet = Fleet::default();
    let keys = entries
        .into_iter()
        .map(|entry| fleet.upsert(entry, EntrySource::Written, Instant::ZERO).0)
        .collect();
    (fleet, keys)
}

/// The instance selected for a request of a plain service.
pub fn instance(
    fleet: &Fleet,
    service: &str,
    most_connections: u32,
    cx: &SelectionContext<'_>,
) -> Option<EngineKey> {
    select::instance(fleet, service, ConnectionLimit::fixed(most_connections), cx)
        .map(|found| found.engine)
}
