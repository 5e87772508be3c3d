//! What a request would take of one engine.

use slotmap::Key;

use super::{Circumstance, Need};
use crate::forward::cost::{LayerModel, Layers, WAIT_FACTOR};
use crate::forward::fleet::{Engine, EngineKey};

/// Part of an engine's KV that requests may be reckoned to hold on average, all together. Well above 1: the sums
/// count requests that stand still elsewhere or are still being read, engines refuse by themselves what they
/// have no room for, and a request that is refused here without being sent comes back late.
const KV_USED: f64 = 1.7;
/// Part of an engine's places that is used, since loads are known some hundred ms late.
const SLOTS_USED: f64 = 0.95;
/// Most of an engine's room that boxes are supposed to use which were not heard of yet: it only turns requests to
/// other engines, and refuses none.
const MOST_SUPPOSED: f64 = 0.9;
/// How much dearer a full engine is than an empty one.
const PRICE_GROWTH: f64 = 64.0;
/// Power of the part that is used in the price: nearly flat up to a half, so that fast chains are used, and steep
/// where an engine fills, so that KV is not overbooked.
const PRICE_POWER: i32 = 3;
/// Most that the price follows, in parts of an engine's room or places: numbers beyond reason stay finite.
const MOST_PRICED: f64 = 3.0;
/// Boxes up to which the part of an engine's room that a request takes counts in full. What more boxes send between
/// two reports is not known, so the more there are the less such differences say, and the engines' parts of the
/// model count in their place.
const BOXES_KNOWN: f64 = 64.0;
/// Least requests that are taken to run on an engine with a queue, where what is believed of it is older than what it stated.
const LEAST_ADMITTED: f64 = 8.0;
/// Largest part by which chance makes an engine look dearer. Until loads are told, all boxes see the same
/// chain as the cheapest, and the prompts of half a second wait there one behind the other.
const SPREAD: f64 = 5.0;

/// An engine with what a request takes of it, and the times for each layer.
#[derive(Debug, Clone)]
pub(super) struct Candidate<'a> {
    pub key: EngineKey,
    pub engine: &'a Engine,
    /// The layers that it can run.
    pub layers: Layers,
    /// Whether it runs all of them or none: they are its part of a path that is repaired.
    pub is_kept: bool,
    /// Whether a request may be sent to it: it has a place for one, and neither back-off nor a rate limit keeps this box from it. As a
    /// later part of a path it gets its work from the first engine, which neither concerns.
    pub takes_more: bool,
    /// Price of the room that the request holds, for each second, with chance.
    pub price: f64,
    /// Part of its room or places that is believed to be in use with the request.
    pub used: f64,
    /// Part of its room that is known to be in use with the request: without boxes that were not heard of yet.
    pub room_used: f64,
    /// The same of its places, which requests take that are sent to it.
    pub places_used: f64,
    pub token_ms: f64,
    /// Time to read the request's own prompt.
    pub read_ms: f64,
    /// Time until the prompts that wait there are read.
    pub wait_ms: f64,
    /// Time that a request waits there as at a first engine, until there is room for it, whatever the number of layers.
    pub queue_ms: f64,
    /// Time until others have left enough room, whatever the number of layers. Later engines refuse requests until then, so this is
    /// a cost and no part of the expected time.
    pub room_ms: f64,
}

impl<'a> Candidate<'a> {
    pub fn new(
        key: EngineKey,
        engine: &'a Engine,
        model: &LayerModel,
        need: Need,
        cx: &Circumstance<'_>,
    ) -> Option<Self> {
        let (candidate, has_room) = Candidate::estimate(key, engine, model, need, cx)?;
        has_room.then_some(candidate)
    }

    /// An engine that goes on with the part `layers` of a path: the request has its room there already and was read.
    pub fn kept(
        key: EngineKey,
        engine: &'a Engine,
        layers: Layers,
        model: &LayerModel,
        need: Need,
        cx: &Circumstance<'_>,
    ) -> Option<Self> {
        let (candidate, _) = Candidate::estimate(key, engine, model, need, cx)?;
        Some(Candidate {
            layers,
            is_kept: true,
            takes_more: true,
            price: 0.0,
            used: 0.0,
            read_ms: 0.0,
            wait_ms: 0.0,
            queue_ms: 0.0,
            room_ms: 0.0,
            ..candidate
        })
    }

    /// What a request takes of an engine, and whether there is room for it.
    fn estimate(
        key: EngineKey,
        engine: &'a Engine,
        model: &LayerModel,
        need: Need,
        cx: &Circumstance<'_>,
    ) -> Option<(Self, bool)> {
        let card = model.cards.get(&**engine.entry.card.as_ref()?)?;
        let layers = engine.entry.layers.len() as u32;
        if layers == 0 {
            return None;
        }
        let running = f64::from(engine.running) + engine.remote_running;
        let room = model.kv_tokens(card, layers);
        let held = engine.tokens + engine.remote_tokens;
        let tokens = held + need.held();
        let has_room = need.held() <= room && tokens <= KV_USED * room;
        let each = f64::from(layers);
        // The requests of a chain are spread over its engines.
        let batch = running * model.share(layers) + 1.0;
        let rate = running / cx.held.as_secs_f64();
        let busy =
            model.reading_slowdown(card, layers, rate) * WAIT_FACTOR * engine.slowness(cx.now);
        let slots = SLOTS_USED * f64::from(engine.entry.slots.max(1));
        let places = running / slots;
        let supposed = (held * cx.unheard + need.held()) / room;
        let room_used = tokens / room;
        let used = supposed.min(MOST_SUPPOSED).max(room_used).max(places);
        let growth = used.min(MOST_PRICED).powi(PRICE_POWER);
        let waiting = engine.reading + engine.remote_reading;
        let lacking = (tokens / room - 1.0).max(0.0);
        let room_ms = lacking * cx.held.as_secs_f64() * 1000.0;
        let known = (BOXES_KNOWN / f64::from(cx.boxes.max(1))).min(1.0);
        let taken = (need.held() / room).powf(known) * model.share(layers).powf(1.0 - known);
        let has_place = running < SLOTS_USED * f64::from(engine.entry.slots);
        let bias = 1.0 + SPREAD * chance(cx.draw, key);
        let candidate = Candidate {
            key,
            engine,
            layers: engine.entry.layers.clone(),
            is_kept: false,
            takes_more: has_place && !cx.is_kept_from(engine),
            price: bias * PRICE_GROWTH.powf(growth) * taken,
            used,
            room_used,
            places_used: (running + 1.0) / slots,
            token_ms: busy * model.step_ms(card, layers, batch) / each,
            read_ms: busy * model.read_ms(card, layers, need.prompt) / each,
            wait_ms: busy * model.read_ms(card, layers, waiting) / each,
            queue_ms: queue_ms(engine, running, cx).unwrap_or(room_ms),
            room_ms,
        };
        Some((candidate, has_room))
    }
}

/// Time until the requests that wait at an engine have room, if it stated lately how many do: as many leave in a mean duration as run.
fn queue_ms(engine: &Engine, running: f64, cx: &Circumstance<'_>) -> Option<f64> {
    let waiting = f64::from(engine.queues.waiting(cx.now)?);
    let admitted = (running - waiting).max(LEAST_ADMITTED);
    Some(waiting / admitted * cx.held.as_secs_f64() * 1000.0)
}

/// A number from 0 to 1 for a request and an engine, by the finalizer of SplitMix64.
pub(super) fn chance(draw: u64, key: EngineKey) -> f64 {
    let mut mixed = draw ^ key.data().as_ffi().wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (mixed ^ (mixed >> 31)) as f64 / u64::MAX as f64
}
