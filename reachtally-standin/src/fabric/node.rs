//! A daemon's world, with what its callers received.

use std::collections::BTreeMap;

use reachtally_core::effect::{Change, Completed, Effects, Finish};
use reachtally_core::ids::{RequestKey, TargetKey};
use reachtally_core::life::{Refusal, Unknown};
use reachtally_core::lineage::Lineage;
use reachtally_core::request::NewRequest;
use reachtally_core::{Effect, Event, Incarnation, Instant, Limits, World};

use super::log::Offsets;

/// How a request ended, as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// All tokens came.
    Completed {
        /// Positions of the prompt.
        prompt_tokens: u32,
        /// What was accepted from which engine.
        lineage: Lineage,
    },
    /// The service's answer came.
    Answered(String),
    /// A recorded outcome came.
    Recorded(String),
    /// It did not run.
    NotRun(Refusal),
    /// It may have run.
    Unknown(Unknown),
    /// The caller hung up.
    Abandoned,
}

/// What one caller received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answered {
    /// The tokens' texts in order.
    pub tokens: Vec<String>,
    /// When each token came.
    pub times: Vec<Instant>,
    /// The end, once it came.
    pub end: Option<End>,
    /// When the end came.
    pub ended_at: Option<Instant>,
}

impl Answered {
    /// The text so far.
    pub fn text(&self) -> String {
        self.tokens.concat()
    }
}

/// One daemon.
#[derive(Debug)]
pub struct Node {
    /// Its world.
    pub world: World,
    /// What its callers received.
    pub answered: BTreeMap<RequestKey, Answered>,
    /// Its changes of state, with the time of each.
    pub changes: Vec<(Instant, Change)>,
    /// Whether its callers take every token at once; else tests report what was taken.
    pub callers_read: bool,
    /// It does nothing before this.
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
            callers_read: true,
            paused_until: Instant::ZERO,
            read: Offsets::default(),
            effects: Effects::default(),
        }
    }

    pub(super) fn ask(&mut self, ask: NewRequest, now: Instant) -> RequestKey {
        let key = self.world.ask(ask, now, &mut self.effects);
        self.answered.insert(key, Answered::default());
        key
    }

    pub(super) fn handle(&mut self, event: Event, now: Instant) {
        self.world.handle(event, now, &mut self.effects);
    }

    /// When it has something to do by itself.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.world.next_due().map(|at| at.max(self.paused_until))
    }

    /// Run what is due; yields the effects for others.
    pub(super) fn tick(&mut self, now: Instant) -> Vec<Effect> {
        self.world.tick(now, &mut self.effects);
        let effects: Vec<Effect> = self.effects.drain().collect();
        effects
            .into_iter()
            .filter_map(|effect| self.receive(effect, now))
            .collect()
    }

    pub(super) fn url(&self, target: TargetKey) -> String {
        let row = self.world.targets.get(target);
        row.map_or_else(String::new, |row| row.url.clone())
    }

    /// Keep what is for the callers and the log; the rest is for others.
    fn receive(&mut self, effect: Effect, now: Instant) -> Option<Effect> {
        match effect {
            Effect::Deliver {
                request,
                index,
                text,
            } => self.deliver(request, index, text, now),
            Effect::Finish { request, finish } => {
                let answered = self.answered.entry(request).or_default();
                assert!(answered.end.is_none(), "a request ended twice");
                answered.end = Some(end(finish));
                answered.ended_at = Some(now);
            }
            Effect::Changed(change) => self.changes.push((now, change)),
            other => return Some(other),
        }
        None
    }

    fn deliver(&mut self, request: RequestKey, index: u32, text: String, now: Instant) {
        let answered = self.answered.entry(request).or_default();
        assert!(answered.end.is_none(), "a token came after the end");
        assert_eq!(
            index as usize,
            answered.tokens.len(),
            "a token is missing or came twice"
        );
        answered.tokens.push(text);
        answered.times.push(now);
        if self.callers_read {
            let event = Event::Consumed { request, tokens: 1 };
            self.world.handle(event, now, &mut self.effects);
        }
    }
}

fn end(finish: Finish) -> End {
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
