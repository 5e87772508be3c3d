//! What a layered model costs on a card: time for each token, memory for each request.

use std::collections::BTreeMap;
use std::ops::Range;

/// Time of a token at a loaded engine, in passes: its own, and on average half of the one under way.
pub const WAIT_FACTOR: f64 = 1.5;

/// Most of an engine's time that reading is reckoned to take; beyond it the queue grows without end.
const MOST_READING: f64 = 0.8;

/// A kind of accelerator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Card {
    /// Memory for layers and KV, in MB.
    pub memory_mb: f64,
    /// Factor on the time of steps and context, 1 for the reference card.
    pub step_factor: f64,
    /// Factor on the time of everything else, 1 for the reference card.
    pub read_factor: f64,
}

/// A model as the configuration describes it. Times are those of the reference card over all layers.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LayerModel {
    /// Number of layers.
    pub layers: u32,
    /// Weights of one layer, in MB.
    pub layer_mb: f64,
    /// KV of one token over all layers, in MB.
    pub kv_token_mb: f64,
    /// Fixed time of a token step, in ms.
    pub step_ms: f64,
    /// Time of a token step for each request in the batch, in ms.
    pub per_seq_ms: f64,
    /// Time of a token step for each 1,000 tokens of context, in ms.
    pub context_ms_per_k: f64,
    /// Prompt tokens read in a second.
    pub read_per_s: f64,
    /// Token steps that one pass plays.
    pub stride: f64,
    /// Most prompt tokens that one pass reads; 0 for no bound.
    pub chunk: f64,
    /// Requests that the first engine of a chain takes at once.
    pub slots: u32,
    /// Mean tokens of a prompt.
    pub usual_prompt: f64,
    /// Mean tokens of an answer.
    pub usual_answer: f64,
    /// Kinds of card by name.
    pub cards: BTreeMap<String, Card>,
}

impl LayerModel {
    /// Part of the model that `layers` layers are.
    pub fn share(&self, layers: u32) -> f64 {
        f64::from(layers) / f64::from(self.layers.max(1))
    }

    /// Tokens of KV that a card holds beside `layers` layers.
    pub fn kv_tokens(&self, card: &Card, layers: u32) -> f64 {
        let left = card.memory_mb - f64::from(layers) * self.layer_mb;
        let each = self.kv_token_mb * self.share(layers);
        if each <= 0.0 { 0.0 } else { left / each }
    }

    /// Most layers that a card holds beside the KV of `kv` tokens.
    pub fn most_layers(&self, card: &Card, kv: f64) -> u32 {
        let kv_each = self.kv_token_mb / f64::from(self.layers.max(1));
        let most = card.memory_mb / (self.layer_mb + kv * kv_each);
        (most.floor() as u32).min(self.layers)
    }

    /// Time of one token step over `layers` layers for a batch of `running` requests, in ms.
    pub fn step_ms(&self, card: &Card, layers: u32, running: f64) -> f64 {
        let context = running * self.usual_context() / 1000.0 * self.context_ms_per_k;
        let steps = (self.step_ms + context) * card.step_factor;
        let rest = running * self.per_seq_ms * card.read_factor;
        self.share(layers) * (steps + rest)
    }

    /// Time to read `tokens` prompt tokens through `layers` layers, in ms.
    pub fn read_ms(&self, card: &Card, layers: u32, tokens: f64) -> f64 {
        if self.read_per_s <= 0.0 {
            return 0.0;
        }
        self.share(layers) * tokens * 1000.0 / self.read_per_s * card.read_factor
    }

    /// How much longer everything takes on an engine of `layers` layers that also reads the prompts of
    /// `rate` requests a second. Where a pass reads a bounded number of tokens, what is decoded waits for no more.
    pub fn reading_slowdown(&self, card: &Card, layers: u32, rate: f64) -> f64 {
        let busy = rate * self.read_ms(card, layers, self.usual_prompt) / 1000.0;
        let most = MOST_READING.min(self.chunk_part(card, layers));
        1.0 / (1.0 - busy.min(most))
    }

    /// Part of a pass that reads a whole chunk, beside token steps for one request.
    fn chunk_part(&self, card: &Card, layers: u32) -> f64 {
        let read_ms = self.read_ms(card, layers, self.chunk);
        let pass_ms = read_ms + self.stride.max(1.0) * self.step_ms(card, layers, 1.0);
        match read_ms > 0.0 && pass_ms > 0.0 {
            true => read_ms / pass_ms,
            false => 1.0,
        }
    }

    /// Prompt tokens a second that an engine of `layers` layers reads at most while each of its passes also plays
    /// token steps for `running` requests. Infinite where reading takes no time.
    pub fn most_read_per_s(&self, card: &Card, layers: u32, running: f64) -> f64 {
        let (tokens, decode_ms) = match self.chunk > 0.0 {
            true => (
                self.chunk,
                self.stride.max(1.0) * self.step_ms(card, layers, running),
            ),
            false => (1.0, 0.0),
        };
        tokens * 1000.0 / (self.read_ms(card, layers, tokens) + decode_ms)
    }

    /// Mean tokens that a request holds in KV while it runs.
    pub fn usual_context(&self) -> f64 {
        self.usual_prompt + self.usual_answer / 2.0
    }
}

/// A contiguous range of layers.
pub type Layers = Range<u32>;
