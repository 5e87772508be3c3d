//! Which engines or which instance a request goes to.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::forward::cost::LayerModel;
use crate::forward::fleet::{Engine, EngineKey, Fleet};
use crate::forward::path::Path;
use crate::time::Instant;

mod back_off;
mod candidate;
mod judge;
mod repair;
mod shortage;
mod ways;

pub use back_off::served_after_back_off;
pub use repair::repair;
pub use shortage::{Shortage, shortage};

use candidate::{Candidate, chance};
use judge::{best, is_in_time};
use ways::Found;

/// Time that a token takes from one engine to the next within a failure domain, in ms. Links there
/// take under a millisecond, and the engine's queue adds as much again.
pub(super) const HOP_MS: f64 = 0.5;
/// Time that a token takes more between failure domains, in ms.
pub(super) const FAR_HOP_MS: f64 = 2.0;
/// What another failure domain's chain must be cheaper by, so that requests stay at home.
const HOME_BONUS: f64 = 0.9;
/// Part of the room of the engines of a path at home up to which other failure domains are not looked at: home then bears four times
/// its load.
const HOME_ROOM: f64 = 0.25;
/// Equally loaded instances of a plain service at home from which on requests stay there. Boxes that believe the same would meet at
/// fewer.
const HOME_INSTANCES: usize = 4;
/// Part of the engines that a request considers first, drawn for each request. What other boxes have sent since
/// the last report is not known, and boxes with the same knowledge would all fill the cheapest chain.
const DRAWN_PART: f64 = 0.5;
/// Part of an engine's room from which it may be full by now; drawn engines beyond it are used only where none has room.
const MAY_BE_FULL: f64 = 0.65;
/// Makes the draw of the engines independent of the chance in their price.
const DRAWN_SALT: u64 = 0xA5A5_5A5A_C3C3_3C3C;

/// Times that an answer should keep to, in ms.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Aim {
    /// Until its first event.
    pub first_ms: Option<f64>,
    /// Between two events.
    pub gap_ms: Option<f64>,
}

/// What a request needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    /// Tokens of its prompt.
    pub prompt: f64,
    /// Tokens that its answer will probably have.
    pub answer: f64,
    /// What its answer should keep to.
    pub aim: Aim,
}

impl Need {
    /// KV tokens that it holds on average while it runs: its answer grows from nothing. Many requests that
    /// are at different points of their answers hold the sum of this, not of their ends.
    pub fn held(&self) -> f64 {
        self.prompt + self.answer / 2.0
    }
}

/// Whether a choice heeds the rate limits that targets state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limits {
    /// Targets with a limit are used only with a permit.
    Enforced,
    /// A permit is taken to be there.
    Ignored,
}

/// Inputs of a choice beside the fleet.
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
    /// Boxes that choose, this one included.
    pub boxes: u32,
    /// Load of all boxes in parts of the known load: above 1 on a box to which not all others are known yet. Those are assumed
    /// to have the same load.
    pub unheard: f64,
    /// A well-spread number of the request, so that boxes with the same knowledge choose differently.
    pub draw: u64,
    /// Whether rate limits count.
    pub limits: Limits,
}

impl Circumstance<'_> {
    /// Whether back-off or a rate limit keeps this box from sending to a target.
    fn is_kept_from(&self, engine: &Engine) -> bool {
        engine.notice.is_backing_off(self.now) || self.lacks_permit(engine)
    }

    /// Whether a rate limit keeps this box from sending to a target.
    fn lacks_permit(&self, engine: &Engine) -> bool {
        self.limits == Limits::Enforced && engine.lacks_permit(self.now)
    }
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
    /// Largest part of any engine's KV or places that is believed to be in use, this request included. KV is booked beyond 1, and
    /// requests of boxes that were not heard of yet are left out.
    pub used: f64,
}

/// An instance of a plain service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Instance {
    /// The instance.
    pub engine: EngineKey,
    /// Requests there in parts of its slots, this one included, as lately known. Above 1 some wait.
    pub used: f64,
}

/// Which engines a choice looks at, the strictest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trust {
    /// Only those of the sound ones that are drawn for the request, all in one failure domain.
    Drawn,
    /// Only engines without a recent failure whose entry is there.
    Sound,
    /// Any engine that is neither leaving nor dead, holds what its entry says and is not known to be full.
    Any,
}

/// A path that costs little, or `None` if the layers are not all held.
pub fn path(
    fleet: &Fleet,
    service: &str,
    model: &LayerModel,
    need: Need,
    cx: &Circumstance<'_>,
) -> Option<Choice> {
    if let Some(home) = way_at_home(fleet, service, model, need, cx) {
        return home.prove(model);
    }
    let cheapest = |trust| cheapest_way(fleet, service, model, need, cx, trust);
    // All engines are looked at only where the drawn ones don't do: a search takes the longer the more there are.
    let drawn = match cheapest(Trust::Drawn) {
        Some(drawn) if drawn.sums.used < MAY_BE_FULL => return drawn.prove(model),
        drawn => drawn,
    };
    let Some(least) = cheapest(Trust::Sound) else {
        return cheapest(Trust::Any)?.prove(model);
    };
    let nobody_has_room = least.sums.used >= MAY_BE_FULL;
    drawn
        .filter(|_| nobody_has_room)
        .unwrap_or(least)
        .prove(model)
}

/// A way over drawn engines of the home domain, if they have room for it and it meets the objectives with ease. Requests that cross
/// failure domains end with the link between them, and a search over all domains takes the longer the more there are.
fn way_at_home(
    fleet: &Fleet,
    service: &str,
    model: &LayerModel,
    need: Need,
    cx: &Circumstance<'_>,
) -> Option<Found> {
    let at_home = fleet
        .of_service(service)
        .filter(|(_, engine)| &*engine.entry.domain == cx.home);
    let candidates: Vec<Candidate<'_>> = at_home
        .filter_map(|row| candidate(row, model, need, cx, Trust::Drawn))
        .collect();
    let (_, found) = best(&candidates, model, HOP_MS, need.aim)?;
    let is_enough = found.sums.used < HOME_ROOM && is_in_time(&found.sums, model, need.aim);
    is_enough.then_some(found)
}

/// The way that costs least among the engines that are trusted so far.
fn cheapest_way(
    fleet: &Fleet,
    service: &str,
    model: &LayerModel,
    need: Need,
    cx: &Circumstance<'_>,
    trust: Trust,
) -> Option<Found> {
    let mut by_domain: BTreeMap<&str, Vec<Candidate<'_>>> = BTreeMap::new();
    let rows = fleet.of_service(service);
    for candidate in rows.filter_map(|row| candidate(row, model, need, cx, trust)) {
        by_domain
            .entry(&candidate.engine.entry.domain)
            .or_default()
            .push(candidate);
    }
    let within = by_domain.iter().filter_map(|(domain, candidates)| {
        let (cost, found) = best(candidates, model, HOP_MS, need.aim)?;
        let factor = if *domain == cx.home { HOME_BONUS } else { 1.0 };
        Some((cost * factor, found))
    });
    let least = within.min_by(|a, b| a.0.total_cmp(&b.0));
    if least.is_some() || trust == Trust::Drawn {
        return least.map(|(_, found)| found);
    }
    let all: Vec<Candidate<'_>> = by_domain.into_values().flatten().collect();
    best(&all, model, FAR_HOP_MS, need.aim).map(|(_, found)| found)
}

/// An engine with what a request takes of it, if it is trusted and has room.
fn candidate<'a>(
    (key, engine): (EngineKey, &'a Engine),
    model: &LayerModel,
    need: Need,
    cx: &Circumstance<'_>,
    trust: Trust,
) -> Option<Candidate<'a>> {
    if !is_usable(key, engine, cx, trust) {
        return None;
    }
    Candidate::new(key, engine, model, need, cx)
}

fn is_usable(key: EngineKey, engine: &Engine, cx: &Circumstance<'_>, trust: Trust) -> bool {
    let health = &engine.health;
    let is_gone = engine.is_leaving() || health.is_dead() || health.is_contradicted(cx.now);
    // Asked again at once, a full engine would refuse again, and each refused send is taken from the shared
    // budget.
    if is_gone || health.is_full(cx.now) || cx.avoid.contains(&key) {
        return false;
    }
    let is_doubtful =
        health.is_held(cx.now) || engine.missing_since.is_some() || engine.is_remotely_silent();
    match trust {
        Trust::Drawn => !is_doubtful && chance(cx.draw ^ DRAWN_SALT, key) < DRAWN_PART,
        Trust::Sound => !is_doubtful,
        Trust::Any => true,
    }
}

/// The instance of a plain service with the least work for its slots. Of equal ones those of the home domain go first if there are
/// several, and the draw breaks ties.
pub fn instance(
    fleet: &Fleet,
    service: &str,
    most_connections: u32,
    cx: &Circumstance<'_>,
) -> Option<Instance> {
    instance_of(fleet, service, most_connections, cx, Trust::Sound)
        .or_else(|| instance_of(fleet, service, most_connections, cx, Trust::Any))
}

fn instance_of(
    fleet: &Fleet,
    service: &str,
    most_connections: u32,
    cx: &Circumstance<'_>,
    trust: Trust,
) -> Option<Instance> {
    let work = |engine: &Engine| {
        let others = engine.remote_running.max(engine.others_told);
        let running = f64::from(engine.running) + others;
        running / f64::from(engine.entry.slots.max(1))
    };
    let usable: Vec<(EngineKey, &Engine)> = fleet
        .of_service(service)
        .filter(|(key, engine)| is_usable(*key, engine, cx, trust))
        .filter(|(_, engine)| !cx.is_kept_from(engine))
        .filter(|(_, engine)| engine.running < most_connections)
        .collect();
    let least = usable
        .iter()
        .map(|(_, engine)| work(engine))
        .min_by(f64::total_cmp)?;
    let least: Vec<&(EngineKey, &Engine)> = usable
        .iter()
        .filter(|(_, engine)| work(engine) <= least + f64::EPSILON)
        .collect();
    let is_home = |(_, engine): &(EngineKey, &Engine)| &*engine.entry.domain == cx.home;
    let at_home = least.iter().filter(|each| is_home(each)).count();
    let near: Vec<EngineKey> = least
        .into_iter()
        .filter(|each| at_home < HOME_INSTANCES || is_home(each))
        .map(|(key, _)| *key)
        .collect();
    let key = near.get(cx.draw as usize % near.len()).copied()?;
    Some(Instance {
        engine: key,
        used: slots_used(fleet.get(key)?, cx.now),
    })
}

/// Part of an instance's slots that is in use with one request more. What it told in an answer counts only while it is recent: a
/// number that no new answer corrects would keep requests away for good.
fn slots_used(engine: &Engine, now: Instant) -> f64 {
    let others = engine.remote_running.max(engine.others_told_lately(now));
    let running = f64::from(engine.running) + others + 1.0;
    running / f64::from(engine.entry.slots.max(1))
}
