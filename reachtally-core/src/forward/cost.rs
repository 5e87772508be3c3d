//! Cost model of a layered model on an accelerator card: time per token and memory per request.

use std::collections::BTreeMap;
use std::ops::Range;

/// Time of a token at a loaded engine, in passes: its own pass, and on average half of the pass in
/// progress.
pub const WAIT_FACTOR: f64 = 1.5;

/// Maximum fraction of an engine's time assumed to be spent on prefill. Beyond it the queue would
/// grow without bound.
const MAX_PREFILL_FRACTION: f64 = 0.8;

/// An accelerator type.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Card {
    /// Memory for layers and KV cache, in MB.
    pub memory_mb: f64,
    /// Factor on the time of decode steps and context; 1 for the reference card.
    pub step_factor: f64,
    /// Factor on all other times; 1 for the reference card.
    pub read_factor: f64,
}

/// A layered model as configured. Times refer to the reference card and include all layers.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LayerModel {
    /// Number of layers.
    pub layers: u32,
    /// Weights of one layer, in MB.
    pub layer_mb: f64,
    /// KV cache size per token over all layers, in MB.
    pub kv_token_mb: f64,
    /// Fixed time of a decode step, in ms.
    pub step_ms: f64,
    /// Time that each request in the batch adds to a decode step, in ms.
    pub per_seq_ms: f64,
    /// Time that 1,000 tokens of context add to a decode step, in ms.
    pub context_ms_per_k: f64,
    /// Prefill rate in prompt tokens per second.
    pub read_per_s: f64,
    /// Decode steps per pass.
    pub stride: f64,
    /// Maximum number of prompt tokens that one pass prefills; 0 for no limit.
    pub chunk: f64,
    /// Maximum number of concurrent requests of the first engine of a chain.
    pub slots: u32,
    /// Mean prompt length in tokens.
    pub mean_prompt_tokens: f64,
    /// Mean answer length in tokens.
    pub mean_answer_tokens: f64,
    /// Card types by name.
    pub cards: BTreeMap<String, Card>,
}

impl LayerModel {
    /// Returns the fraction of the model that `layers` layers make up.
    pub fn layer_fraction(&self, layers: u32) -> f64 {
        f64::from(layers) / f64::from(self.layers.max(1))
    }

    /// Returns the KV cache capacity, in tokens, that a card has beside `layers` layers.
    pub fn kv_tokens(&self, card: &Card, layers: u32) -> f64 {
        let free_mb = card.memory_mb - f64::from(layers) * self.layer_mb;
        let token_mb = self.kv_token_mb * self.layer_fraction(layers);
        if token_mb <= 0.0 {
            0.0
        } else {
            free_mb / token_mb
        }
    }

    /// Returns the maximum number of layers that a card holds beside the KV cache of `kv` tokens.
    pub fn max_layers(&self, card: &Card, kv: f64) -> u32 {
        let layer_token_mb = self.kv_token_mb / f64::from(self.layers.max(1));
        let max_layers = card.memory_mb / (self.layer_mb + kv * layer_token_mb);
        (max_layers.floor() as u32).min(self.layers)
    }

    /// Returns the time of one decode step over `layers` layers for a batch of `running` requests,
    /// in ms.
    pub fn step_ms(&self, card: &Card, layers: u32, running: f64) -> f64 {
        let context = running * self.mean_context_tokens() / 1000.0 * self.context_ms_per_k;
        let steps = (self.step_ms + context) * card.step_factor;
        let per_request = running * self.per_seq_ms * card.read_factor;
        self.layer_fraction(layers) * (steps + per_request)
    }

    /// Returns the time to prefill `tokens` prompt tokens through `layers` layers, in ms.
    pub fn prefill_ms(&self, card: &Card, layers: u32, tokens: f64) -> f64 {
        if self.read_per_s <= 0.0 {
            return 0.0;
        }
        self.layer_fraction(layers) * tokens * 1000.0 / self.read_per_s * card.read_factor
    }

    /// Returns the factor by which the prefill of `rate` prompts per second slows down an engine of
    /// `layers` layers. If the number of prompt tokens per pass is limited, decode steps wait for
    /// at most that many.
    pub fn prefill_slowdown(&self, card: &Card, layers: u32, rate: f64) -> f64 {
        let prefill_fraction =
            rate * self.prefill_ms(card, layers, self.mean_prompt_tokens) / 1000.0;
        let max_fraction = MAX_PREFILL_FRACTION.min(self.chunk_time_fraction(card, layers));
        1.0 / (1.0 - prefill_fraction.min(max_fraction))
    }

    /// Returns the fraction of a pass that prefilling a full chunk takes beside the decode steps of
    /// one request.
    fn chunk_time_fraction(&self, card: &Card, layers: u32) -> f64 {
        let prefill_ms = self.prefill_ms(card, layers, self.chunk);
        let pass_ms = prefill_ms + self.stride.max(1.0) * self.step_ms(card, layers, 1.0);
        match prefill_ms > 0.0 && pass_ms > 0.0 {
            true => prefill_ms / pass_ms,
            false => 1.0,
        }
    }

    /// Returns the maximum number of prompt tokens per second that an engine of `layers` layers can
    /// prefill if each of its passes also runs decode steps for `running` requests. Infinite if
    /// prefill takes no time.
    pub fn max_prefill_per_s(&self, card: &Card, layers: u32, running: f64) -> f64 {
        let (tokens, decode_ms) = match self.chunk > 0.0 {
            true => (
                self.chunk,
                self.stride.max(1.0) * self.step_ms(card, layers, running),
            ),
            false => (1.0, 0.0),
        };
        tokens * 1000.0 / (self.prefill_ms(card, layers, tokens) + decode_ms)
    }

    /// Returns the mean number of tokens that a request occupies in the KV cache while it runs.
    pub fn mean_context_tokens(&self) -> f64 {
        self.mean_prompt_tokens + self.mean_answer_tokens / 2.0
    }
}

/// A contiguous range of layers.
pub type Layers = Range<u32>;
