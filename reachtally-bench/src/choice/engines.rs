//! Identical simulated engines, which prefill prompts sequentially and refuse requests that do not fit their KV.

use reachtally_core::forward::cost::{Card, LayerModel};
use reachtally_core::forward::fleet::Entry;

/// Number of failure domains.
pub const DOMAINS: usize = 5;
/// Engines per layer range in a failure domain.
const ENGINES_PER_RANGE: usize = 5;
/// Number of layer ranges of the model.
pub const STAGES: usize = 4;
/// Layers per range.
const STAGE_LAYERS: u32 = 20;
/// Service of all engines.
pub const SERVICE: &str = "pool";
/// Card type of all engines.
pub const CARD: &str = "middle";
/// Network time from one engine to the next, in µs.
pub const HOP_US: u64 = 500;

/// The served model: 80 layers, with the figures of a mid-size card at the users' first site.
pub fn model() -> LayerModel {
    let card = Card {
        memory_mb: 43_200.0,
        step_factor: 5.6,
        read_factor: 2.7,
    };
    LayerModel {
        layers: STAGE_LAYERS * STAGES as u32,
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
        cards: [(CARD.to_owned(), card)].into(),
    }
}

/// Returns the name of a failure domain.
pub fn domain(number: usize) -> String {
    format!("domain-{number}")
}

/// Returns the table entries of all engines.
pub fn entries() -> Vec<Entry> {
    let numbers = 0..DOMAINS * STAGES * ENGINES_PER_RANGE;
    let entry = |number: usize| {
        let from = (number / ENGINES_PER_RANGE % STAGES) as u32 * STAGE_LAYERS;
        Entry {
            id: format!("e-{number:08}").into(),
            born: None,
            service: SERVICE.into(),
            address: ([10, 0, 0, 1], 1000 + number as u16).into(),
            domain: domain(number / ENGINES_PER_RANGE / STAGES).into(),
            draining: false,
            slots: 192,
            card: Some(CARD.into()),
            layers: from..from + STAGE_LAYERS,
        }
    };
    numbers.map(entry).collect()
}

/// State of a simulated engine.
#[derive(Debug, Clone, Default)]
pub struct SimEngine {
    /// Time in µs at which it has prefilled all of its prompts.
    busy_until: u64,
    /// KV tokens in use.
    held: f64,
    /// Number of started requests.
    pub started: u32,
}

/// Size of a request in tokens.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Prompt tokens.
    pub prompt: f64,
    /// Answer tokens.
    pub answer: f64,
}

impl Load {
    /// Mean number of KV tokens that the request holds while it runs.
    pub fn held(&self) -> f64 {
        self.prompt + self.answer / 2.0
    }
}

/// Times of a started request, in µs.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// Time of the first event.
    pub first: u64,
    /// Time of completion.
    pub end: u64,
}

/// Starts a request on the engines of a path. Fails with the first engine whose KV the request does not fit.
pub fn begin(
    engines: &mut [SimEngine],
    path: &[usize],
    load: Load,
    model: &LayerModel,
    now: u64,
) -> Result<Times, usize> {
    let card = model.cards[CARD];
    let kv_capacity = model.kv_tokens(&card, STAGE_LAYERS);
    let full = |at: &&usize| engines[**at].held + load.held() > kv_capacity;
    if let Some(full) = path.iter().find(full) {
        return Err(*full);
    }
    let read_us = model.prefill_ms(&card, STAGE_LAYERS, load.prompt) * 1000.0;
    let mut at = now;
    for number in path {
        let engine = &mut engines[*number];
        engine.started += 1;
        engine.held += load.held();
        engine.busy_until = engine.busy_until.max(at + HOP_US) + read_us as u64;
        at = engine.busy_until;
    }
    let step_ms = model.step_ms(&card, STAGE_LAYERS, 1.0) * path.len() as f64;
    let token_us = step_ms * 1000.0 + (HOP_US * path.len() as u64) as f64;
    Ok(Times {
        first: at + token_us as u64,
        end: at + (token_us * load.answer) as u64,
    })
}

/// Releases the KV of a request that ended.
pub fn end(engines: &mut [SimEngine], path: &[usize], load: Load) {
    for number in path {
        engines[*number].held -= load.held();
    }
}
