//! Cost of running a request on one engine.

use slotmap::Key;

use super::{Requirements, SelectionContext};
use crate::forward::cost::{LayerModel, Layers, WAIT_FACTOR};
use crate::forward::fleet::{Engine, EngineKey};

/// Maximum expected utilization of an engine's KV capacity by all requests. Well above 1, since the
/// sums include requests that are paused on other engines or still in prefill, engines refuse by
/// themselves what does not fit, and a request that is refused here without being sent is retried
/// late.
const MAX_KV_UTILIZATION: f64 = 1.7;
/// Maximum utilization of an engine's slots. Below 1, since loads are known some hundred ms late.
const MAX_SLOT_UTILIZATION: f64 = 0.95;
/// Upper bound on the utilization assumed for boxes that have not reported yet. The assumption only
/// diverts requests to other engines and never refuses them.
const MAX_ASSUMED_UTILIZATION: f64 = 0.9;
/// Price ratio of a full engine to an empty one.
const FULL_PRICE_RATIO: f64 = 64.0;
/// Exponent of the utilization in the price. The price is nearly flat up to a half, so that fast
/// chains are used, and rises steeply where an engine fills, so that KV capacity is not overbooked.
const PRICE_EXPONENT: i32 = 3;
/// Maximum utilization for which the price keeps rising, so that it stays finite for implausible
/// loads.
const MAX_PRICED_UTILIZATION: f64 = 3.0;
/// Number of boxes up to which the fraction of an engine's KV capacity that a request occupies has
/// full weight in the price. Requests sent between two load reports are unknown, so with more boxes
/// these fractions are less informative and the engine's fraction of the model's layers replaces
/// them.
const FULL_WEIGHT_BOXES: f64 = 64.0;
/// Minimum number of requests assumed to run on an engine with a queue, where the load estimate is
/// older than the queue length that the engine announced.
const MIN_ADMITTED: f64 = 8.0;
/// Maximum relative random increase of an engine's price. Until loads are reported all boxes see
/// the same cheapest chain, and the prompts of half a second would queue up there.
const MAX_PRICE_JITTER: f64 = 5.0;

/// An engine with the cost of a request and its times per layer.
#[derive(Debug, Clone)]
pub(super) struct Candidate<'a> {
    pub key: EngineKey,
    pub engine: &'a Engine,
    /// The layers that it can run.
    pub layers: Layers,
    /// Whether it must run all of `layers` or none. True for engines that keep their part of a path
    /// under repair.
    pub is_retained: bool,
    /// Whether a request can be sent to it: it has a free slot, and neither back-off nor a rate
    /// limit prevents this box from sending. Not required for later parts of a path, which receive
    /// their work from the first engine.
    pub accepts_requests: bool,
    /// Price per second of the KV capacity that the request occupies, including random jitter.
    pub price: f64,
    /// Estimated utilization of its KV capacity or slots, including the request.
    pub utilization: f64,
    /// Reported utilization of its KV capacity, including the request but no boxes that have not
    /// reported yet.
    pub kv_utilization: f64,
    /// Reported utilization of its slots, which only requests sent to this engine occupy.
    pub slot_utilization: f64,
    pub token_ms: f64,
    /// Prefill time of the request's own prompt.
    pub prefill_ms: f64,
    /// Prefill time of the prompts queued at the engine.
    pub wait_ms: f64,
    /// Queueing time at the engine if it is the first of the path, independent of the number of
    /// layers.
    pub queue_ms: f64,
    /// Time until other requests have freed enough KV capacity, independent of the number of
    /// layers. Later engines refuse requests until then, so this adds to the cost but not to the
    /// expected latency.
    pub capacity_wait_ms: f64,
}

impl<'a> Candidate<'a> {
    pub fn new(
        key: EngineKey,
        engine: &'a Engine,
        model: &LayerModel,
        need: Requirements,
        cx: &SelectionContext<'_>,
    ) -> Option<Self> {
        let (candidate, fits) = Candidate::estimate(key, engine, model, need, cx)?;
        fits.then_some(candidate)
    }

    /// Creates the candidate for an engine that keeps its part `layers` of a path. The request
    /// already occupies KV capacity there and its prompt has been prefilled.
    pub fn retained(
        key: EngineKey,
        engine: &'a Engine,
        layers: Layers,
        model: &LayerModel,
        need: Requirements,
        cx: &SelectionContext<'_>,
    ) -> Option<Self> {
        let (candidate, _) = Candidate::estimate(key, engine, model, need, cx)?;
        Some(Candidate {
            layers,
            is_retained: true,
            accepts_requests: true,
            price: 0.0,
            utilization: 0.0,
            prefill_ms: 0.0,
            wait_ms: 0.0,
            queue_ms: 0.0,
            capacity_wait_ms: 0.0,
            ..candidate
        })
    }

    /// Estimates the cost of a request on an engine, and whether its KV capacity suffices.
    fn estimate(
        key: EngineKey,
        engine: &'a Engine,
        model: &LayerModel,
        need: Requirements,
        cx: &SelectionContext<'_>,
    ) -> Option<(Self, bool)> {
        let card = model.cards.get(&**engine.entry.card.as_ref()?)?;
        let layers = engine.entry.layers.len() as u32;
        if layers == 0 {
            return None;
        }
        let running = f64::from(engine.running) + engine.remote_running;
        let capacity = model.kv_tokens(card, layers);
        let occupied = engine.tokens + engine.remote_tokens;
        let tokens = occupied + need.held();
        let fits = need.held() <= capacity && tokens <= MAX_KV_UTILIZATION * capacity;
        let layer_count = f64::from(layers);
        // The requests of a chain are spread over its engines.
        let batch = running * model.layer_fraction(layers) + 1.0;
        let rate = running / cx.held.as_secs_f64();
        let slowdown =
            model.prefill_slowdown(card, layers, rate) * WAIT_FACTOR * engine.slowdown(cx.now);
        let slots = MAX_SLOT_UTILIZATION * f64::from(engine.entry.slots.max(1));
        let slot_load = running / slots;
        let assumed = (occupied * cx.load_scale + need.held()) / capacity;
        let kv_utilization = tokens / capacity;
        let utilization = assumed
            .min(MAX_ASSUMED_UTILIZATION)
            .max(kv_utilization)
            .max(slot_load);
        let exponent = utilization.min(MAX_PRICED_UTILIZATION).powi(PRICE_EXPONENT);
        let queued = engine.reading + engine.remote_prefill;
        let shortfall = (tokens / capacity - 1.0).max(0.0);
        let capacity_wait_ms = shortfall * cx.held.as_secs_f64() * 1000.0;
        let weight = (FULL_WEIGHT_BOXES / f64::from(cx.boxes.max(1))).min(1.0);
        let occupancy =
            (need.held() / capacity).powf(weight) * model.layer_fraction(layers).powf(1.0 - weight);
        let has_slot = running < MAX_SLOT_UTILIZATION * f64::from(engine.entry.slots);
        let jitter = 1.0 + MAX_PRICE_JITTER * unit_hash(cx.draw, key);
        let candidate = Candidate {
            key,
            engine,
            layers: engine.entry.layers.clone(),
            is_retained: false,
            accepts_requests: has_slot && !cx.is_send_blocked(engine),
            price: jitter * FULL_PRICE_RATIO.powf(exponent) * occupancy,
            utilization,
            kv_utilization,
            slot_utilization: (running + 1.0) / slots,
            token_ms: slowdown * model.step_ms(card, layers, batch) / layer_count,
            prefill_ms: slowdown * model.prefill_ms(card, layers, need.prompt) / layer_count,
            wait_ms: slowdown * model.prefill_ms(card, layers, queued) / layer_count,
            queue_ms: queue_ms(engine, running, cx).unwrap_or(capacity_wait_ms),
            capacity_wait_ms,
        };
        Some((candidate, fits))
    }
}

/// Estimates the queueing time at an engine that announced its queue length recently: as many
/// requests finish in a mean duration as are running.
fn queue_ms(engine: &Engine, running: f64, cx: &SelectionContext<'_>) -> Option<f64> {
    let waiting = f64::from(engine.queues.waiting(cx.now)?);
    let admitted = (running - waiting).max(MIN_ADMITTED);
    Some(waiting / admitted * cx.held.as_secs_f64() * 1000.0)
}

/// Hashes a request's random number and an engine to a number in `[0, 1]` with the SplitMix64
/// finalizer.
pub(super) fn unit_hash(draw: u64, key: EngineKey) -> f64 {
    let mut hash = draw ^ key.data().as_ffi().wrapping_mul(0x9E37_79B9_7F4A_7C15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (hash ^ (hash >> 31)) as f64 / u64::MAX as f64
}
