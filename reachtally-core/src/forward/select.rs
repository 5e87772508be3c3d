//! Which engines or which instance a request goes to.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::forward::cost::{LayerModel, WAIT_FACTOR};
use crate::forward::fleet::{Engine, EngineKey, Fleet};
use crate::forward::path::{Part, Path};
use crate::time::Instant;
use slotmap::Key;

/// Time that a token takes from one engine to the next within a failure domain, in ms. Links there
/// take under a millisecond, and the engine's queue adds as much again.
const HOP_MS: f64 = 0.5;
/// Time that a token takes more between failure domains, in ms.
const FAR_HOP_MS: f64 = 2.0;
/// Part of an engine's KV that requests may hold on average, all together. A little above 1: what enters a
/// full engine waits there for a moment, what is refused comes back late. Measured on a fleet that its KV
/// bounds, 20 days each, against requests reckoned with all tokens of their ends and 0.95: served +0.025 at
/// 0.95, +0.020 at 1, +0.026 at 1.05 and at 1.15; errors 0.003 to 0.004.
const KV_USED: f64 = 1.05;
/// Part of an engine's places that is used, since loads are known some hundred ms late.
const SLOTS_USED: f64 = 0.95;
/// Part that is used at which the pressure grows no more.
const MOST_USED: f64 = 0.97;
/// Largest part by which chance makes an engine look slower. Until loads are told, all boxes see the same
/// chain as the fastest, and the prompts of half a second wait there one behind the other. Measured with
/// 85 boxes: at 0.3 the first event came after 500 to 900 ms at load, at 2.5 after 100 ms, at 5 no later.
const SPREAD: f64 = 5.0;
/// What another failure domain's chain must be faster by, so that requests stay at home.
const HOME_BONUS: f64 = 0.9;

/// What a request needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    /// Tokens of its prompt.
    pub prompt: f64,
    /// Tokens that its answer will probably have.
    pub answer: f64,
}

impl Need {
    /// KV tokens that it holds on average while it runs: its answer grows from nothing. Many requests that
    /// are at different points of their answers hold the sum of this, not of their ends.
    pub fn held(&self) -> f64 {
        self.prompt + self.answer / 2.0
    }
}

/// What a choice takes into account beside the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Circumstance<'a> {
    /// The time.
    pub now: Instant,
    /// The failure domain of this box.
    pub home: &'a str,
    /// Engines that must not take part.
    pub avoid: &'a [EngineKey],
    /// How long requests have lately run.
    pub held: Duration,
    /// Boxes for each box that tells its load, this one included.
    pub unheard: f64,
    /// A well-spread number of the request, so that boxes which believe the same choose differently.
    pub draw: u64,
}

/// A path and what is expected of it.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The path.
    pub path: Path,
    /// Expected time of one token.
    pub token: Duration,
    /// Expected time until the first token.
    pub first: Duration,
}

/// How strict a choice is about the engines' condition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trust {
    /// Only engines without a recent failure whose entry is there.
    Sound,
    /// Any engine that is neither leaving nor dead and holds what its entry says.
    Any,
}

/// The path of the least expected finish, or `None` if the layers are not all held.
pub fn path(
    fleet: &Fleet,
    service: &str,
    model: &LayerModel,
    need: Need,
    cx: &Circumstance<'_>,
) -> Option<Choice> {
    path_of(fleet, service, model, need, cx, Trust::Sound)
        .or_else(|| path_of(fleet, service, model, need, cx, Trust::Any))
}

fn path_of(
    fleet: &Fleet,
    service: &str,
    model: &LayerModel,
    need: Need,
    cx: &Circumstance<'_>,
    trust: Trust,
) -> Option<Choice> {
    let mut by_domain: BTreeMap<&str, Vec<Candidate<'_>>> = BTreeMap::new();
    for (key, engine) in fleet.of_service(service) {
        if !is_usable(key, engine, cx, trust) {
            continue;
        }
        let Some(candidate) = Candidate::new(key, engine, model, need, cx) else {
            continue;
        };
        by_domain
            .entry(&engine.entry.domain)
            .or_default()
            .push(candidate);
    }
    let within = by_domain.iter().filter_map(|(domain, candidates)| {
        let found = cheapest(candidates, model, HOP_MS)?;
        let factor = if *domain == cx.home { HOME_BONUS } else { 1.0 };
        Some((found.cost * factor, found))
    });
    let best = within
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, found)| found);
    let across = || {
        let all: Vec<Candidate<'_>> = by_domain.values().flatten().copied().collect();
        cheapest(&all, model, FAR_HOP_MS)
    };
    let found = best.or_else(across)?;
    found.prove(model)
}

fn is_usable(key: EngineKey, engine: &Engine, cx: &Circumstance<'_>, trust: Trust) -> bool {
    let health = &engine.health;
    let is_gone = engine.entry.draining || health.is_dead() || health.is_contradicted(cx.now);
    if is_gone || cx.avoid.contains(&key) {
        return false;
    }
    trust == Trust::Any || (!health.is_held(cx.now) && engine.missing_since.is_none())
}

/// An engine with what a token and the prompt cost on it for each layer.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    key: EngineKey,
    engine: &'a Engine,
    /// Whether it has a place for a request that is sent to it.
    takes_more: bool,
    /// Factor by which chance makes it look slower.
    bias: f64,
    token_ms: f64,
    read_ms: f64,
}

impl<'a> Candidate<'a> {
    fn new(
        key: EngineKey,
        engine: &'a Engine,
        model: &LayerModel,
        need: Need,
        cx: &Circumstance<'_>,
    ) -> Option<Self> {
        let card = model.cards.get(&**engine.entry.card.as_ref()?)?;
        let layers = engine.entry.layers.len() as u32;
        if layers == 0 {
            return None;
        }
        let running = f64::from(engine.running) + engine.running_elsewhere * cx.unheard;
        let others = engine.tokens_elsewhere * cx.unheard;
        let tokens = engine.tokens + others + need.held();
        if tokens > KV_USED * model.kv_tokens(card, layers) {
            return None;
        }
        let each = f64::from(layers);
        // The requests of a chain are spread over its engines.
        let batch = running * model.share(layers) + 1.0;
        let rate = running / cx.held.as_secs_f64();
        let busy = model.reading_slowdown(card, layers, rate) * WAIT_FACTOR;
        let places = running / (SLOTS_USED * f64::from(engine.entry.slots.max(1)));
        let used = (tokens / (KV_USED * model.kv_tokens(card, layers))).max(places);
        let busy = busy * pressure(used) * engine.slowness(cx.now);
        Some(Candidate {
            key,
            engine,
            takes_more: running < SLOTS_USED * f64::from(engine.entry.slots),
            bias: 1.0 + SPREAD * chance(cx.draw, key),
            token_ms: busy * model.step_ms(card, layers, batch) / each,
            read_ms: busy * model.read_ms(card, layers, need.prompt) / each,
        })
    }
}

/// How much an engine's cost grows with the part of it that is used. Loads are known late, so engines
/// that are nearly full are left to those that find nothing better.
fn pressure(used: f64) -> f64 {
    1.0 / (1.0 - used.min(MOST_USED)).sqrt()
}

/// A number from 0 to 1 for a request and an engine, by the finalizer of SplitMix64.
fn chance(draw: u64, key: EngineKey) -> f64 {
    let mut mixed = draw ^ key.data().as_ffi().wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (mixed ^ (mixed >> 31)) as f64 / u64::MAX as f64
}

/// Parts with their summed times.
#[derive(Debug, Clone)]
struct Found {
    parts: Vec<Part>,
    /// What it costs a usual request in ms, with chance.
    cost: f64,
    token_ms: f64,
    read_ms: f64,
}

impl Found {
    fn prove(self, model: &LayerModel) -> Option<Choice> {
        let path = Path::prove(self.parts, model.layers).ok()?;
        Some(Choice {
            path,
            token: Duration::from_secs_f64(self.token_ms / 1000.0),
            first: Duration::from_secs_f64((self.read_ms + self.token_ms) / 1000.0),
        })
    }
}

/// The cheapest way found to run the layers from the first to some layer.
#[derive(Debug, Clone, Copy)]
struct Way {
    /// What it costs a usual request in ms, with chance.
    cost: f64,
    token_ms: f64,
    read_ms: f64,
    /// Where its last part begins.
    from: usize,
    /// The candidate that runs its last part.
    last: usize,
}

impl Way {
    /// Before the first layer.
    const START: Way = Way {
        cost: 0.0,
        token_ms: 0.0,
        read_ms: 0.0,
        from: 0,
        last: usize::MAX,
    };

    /// Go on over a candidate, from layer `from` for `layers` layers.
    fn step(
        self,
        (last, candidate): (usize, &Candidate<'_>),
        from: usize,
        layers: f64,
        hop_ms: f64,
        answer: f64,
    ) -> Way {
        let token_ms = candidate.token_ms * layers + hop_ms;
        let read_ms = candidate.read_ms * layers + hop_ms;
        Way {
            cost: self.cost + candidate.bias * (token_ms * answer + read_ms),
            token_ms: self.token_ms + token_ms,
            read_ms: self.read_ms + read_ms,
            from,
            last,
        }
    }
}

/// The cheapest way from layer 0 to the last, where each part runs to the end of what its engine
/// holds. `ways[x]` is the cheapest way that has run the layers `0..x`.
fn cheapest(candidates: &[Candidate<'_>], model: &LayerModel, hop_ms: f64) -> Option<Found> {
    let end = model.layers as usize;
    let mut ways: Vec<Option<Way>> = vec![None; end + 1];
    ways[0] = Some(Way::START);
    for at in 0..end {
        let Some(way) = ways[at] else {
            continue;
        };
        for candidate in candidates.iter().enumerate() {
            let held = &candidate.1.engine.entry.layers;
            if !held.contains(&(at as u32)) || (at == 0 && !candidate.1.takes_more) {
                continue;
            }
            let to = (held.end as usize).min(end);
            let next = way.step(candidate, at, (to - at) as f64, hop_ms, model.usual_answer);
            if ways[to].is_none_or(|known| next.cost < known.cost) {
                ways[to] = Some(next);
            }
        }
    }
    let whole = ways[end]?;
    Some(Found {
        parts: parts_of(candidates, &ways)?,
        cost: whole.cost,
        token_ms: whole.token_ms,
        read_ms: whole.read_ms,
    })
}

/// The parts of the way that has run all layers, from the last back to the first.
fn parts_of(candidates: &[Candidate<'_>], ways: &[Option<Way>]) -> Option<Vec<Part>> {
    let mut parts = Vec::new();
    let mut to = ways.len() - 1;
    while to > 0 {
        let way = ways[to]?;
        let candidate = &candidates[way.last];
        parts.push(Part {
            engine: candidate.key,
            address: candidate.engine.entry.address,
            layers: way.from as u32..to as u32,
        });
        to = way.from;
    }
    parts.reverse();
    Some(parts)
}

/// The instance of a plain service with the least work for its slots; the draw breaks ties.
pub fn instance(
    fleet: &Fleet,
    service: &str,
    most_connections: u32,
    cx: &Circumstance<'_>,
) -> Option<EngineKey> {
    instance_of(fleet, service, most_connections, cx, Trust::Sound)
        .or_else(|| instance_of(fleet, service, most_connections, cx, Trust::Any))
}

fn instance_of(
    fleet: &Fleet,
    service: &str,
    most_connections: u32,
    cx: &Circumstance<'_>,
    trust: Trust,
) -> Option<EngineKey> {
    let work = |engine: &Engine| {
        let others = engine.running_elsewhere.max(engine.others_told);
        let running = f64::from(engine.running) + others;
        running / f64::from(engine.entry.slots.max(1))
    };
    let usable: Vec<(EngineKey, &Engine)> = fleet
        .of_service(service)
        .filter(|(key, engine)| is_usable(*key, engine, cx, trust))
        .filter(|(_, engine)| engine.running < most_connections)
        .collect();
    let least = usable
        .iter()
        .map(|(_, engine)| work(engine))
        .min_by(f64::total_cmp)?;
    let near: Vec<EngineKey> = usable
        .iter()
        .filter(|(_, engine)| work(engine) <= least + f64::EPSILON)
        .map(|(key, _)| *key)
        .collect();
    near.get(cx.draw as usize % near.len()).copied()
}
