//! A simulated daemon: its world and the responses that its callers received.

use std::collections::BTreeMap;

use reachtally_core::effect::{Change, Completed, Effects, Finish};
use reachtally_core::ids::{RequestKey, TargetKey};
use reachtally_core::life::{Refusal, Unknown};
use reachtally_core::lineage::Lineage;
use reachtally_core::request::NewRequest;
use reachtally_core::{Effect, Event, Incarnation, Instant, Limits, World};

use super::log::Offsets;

/// The outcome of a request, as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The completion finished and all its tokens were delivered.
    Completed {
        /// Number of prompt positions.
        prompt_tokens: u32,
        /// The results accepted from each engine.
        lineage: Lineage,
    },
    /// The service responded with this body.
    Answered(String),
    /// The recorded response to an earlier request with the same key.
    Recorded(String),
    /// The request did not run.
    NotRun(Refusal),
    /// The request may have run.
    Unknown(Unknown),
    /// The caller disconnected.
    Abandoned,
}

/// The response that one caller received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerResponse {
    /// Texts of the tokens, in order.
    pub tokens: Vec<String>,
    /// Delivery time of each token.
    pub times: Vec<Instant>,
    /// The outcome, once the request has ended.
    pub end: Option<End>,
    /// When the request ended.
    pub ended_at: Option<Instant>,
}

impl CallerResponse {
    /// Returns the concatenated text of the tokens received so far.
    pub fn text(&self) -> String {
        self.tokens.concat()
    }
}

/// A simulated daemon.
#[derive(Debug)]
pub struct Node {
    /// The daemon's core state.
    pub world: World,
    /// Responses received by callers.
    pub answered: BTreeMap<RequestKey, CallerResponse>,
    /// State changes, with the time of each.
    pub changes: Vec<(Instant, Change)>,
    /// Whether tokens are consumed on delivery; otherwise tests send `Event::Consumed` themselves.
    pub auto_consume: bool,
    /// End of the current suspension.
    pub paused_until: Instant,
    pub(super) read: Offsets,
    effects: Effects,
}

impl Node {
    pub(super) fn new(incarnation: Incarnation, seed: u64, limits: &Limits) -> Self {
        Node {
            world: World::new(incarnation, seed, limits.clone()),
            answered: BTreeMap::new(),
            changes: Vec::new(),
            auto_consume: true,
            paused_until: Instant::ZERO,
            read: Offsets::default(),
            effects: Effects::default(),
        }
    }

    pub(super) fn ask(&mut self, request: NewRequest, now: Instant) -> RequestKey {
        let key = self.world.ask(request, now, &mut self.effects);
        self.answered.insert(key, CallerResponse::default());
        key
    }

    pub(super) fn handle(&mut self, event: Event, now: Instant) {
        self.world.handle(event, now, &mut self.effects);
    }

    /// Returns when the daemon must be ticked next, not before the end of its suspension.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.world.next_due().map(|at| at.max(self.paused_until))
    }

    /// Ticks the world and returns the effects that concern other components.
    pub(super) fn tick(&mut self, now: Instant) -> Vec<Effect> {
        self.world.tick(now, &mut self.effects);
        let effects: Vec<Effect> = self.effects.drain().collect();
        effects
            .into_iter()
            .filter_map(|effect| self.apply_local_effect(effect, now))
            .collect()
    }

    pub(super) fn url(&self, target: TargetKey) -> String {
        let row = self.world.targets.get(target);
        row.map_or_else(String::new, |row| row.url.clone())
    }

    /// Applies effects for callers and state changes; returns any other effect.
    fn apply_local_effect(&mut self, effect: Effect, now: Instant) -> Option<Effect> {
        match effect {
            Effect::Deliver {
                request,
                index,
                text,
            } => self.deliver(request, index, text, now),
            Effect::Finish { request, finish } => {
                let response = self.answered.entry(request).or_default();
                assert!(response.end.is_none(), "a request ended twice");
                response.end = Some(caller_outcome(finish));
                response.ended_at = Some(now);
            }
            Effect::Changed(change) => self.changes.push((now, change)),
            other => return Some(other),
        }
        None
    }

    fn deliver(&mut self, request: RequestKey, index: u32, text: String, now: Instant) {
        let response = self.answered.entry(request).or_default();
        assert!(
            response.end.is_none(),
            "received a token after the request had ended"
        );
        assert_eq!(
            index as usize,
            response.tokens.len(),
            "token index out of sequence: a token is missing or duplicated"
        );
        response.tokens.push(text);
        response.times.push(now);
        if self.auto_consume {
            let event = Event::Consumed { request, tokens: 1 };
            self.world.handle(event, now, &mut self.effects);
        }
    }
}

fn caller_outcome(finish: Finish) -> End {
    let text = |body: &[u8]| String::from_utf8_lossy(body).into_owned();
    match finish {
        Finish::Completed(Completed::Completion(end)) => End::Completed {
            prompt_tokens: end.prompt_tokens,
            lineage: end.lineage,
        },
        Finish::Completed(Completed::Service(answer)) => End::Answered(text(&answer.body)),
        Finish::Completed(Completed::Recorded(answer)) => End::Recorded(text(&answer.body)),
        Finish::NotRun(not_run) => End::NotRun(not_run.refusal().clone()),
        Finish::Unknown(unknown) => End::Unknown(unknown),
        Finish::Abandoned => End::Abandoned,
    }
}
