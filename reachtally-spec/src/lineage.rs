//! Lineage and stage replacement of one request over two stages with two engines each.
//!
//! Invariants: the delivered tokens equal the model's output, in order, and the engines' ledgers
//! show exactly one run of each layer for each position of the accepted lineage.

use std::collections::BTreeMap;
use std::time::Duration;

use reachtally_core::declare::{Engine, Layers, Model as DeclaredModel, Object};
use reachtally_core::effect::{Completed, CompletionEnd, Effects, Finish};
use reachtally_core::event::CallFailure;
use reachtally_core::ids::{CallKey, RequestId, RequestKey, TargetKey};
use reachtally_core::life::NeverStarted;
use reachtally_core::request::{Completion, NewRequest, Work};
use reachtally_core::step::{Batch, StepResult};
use reachtally_core::{Effect, Event, Incarnation, Instant, Limits, World};
use reachtally_standin::engine::{Ledger, Options, State, model};
use reachtally_standin::verify::{Accepted, verify};

use crate::Model;
use crate::fixture::{ACCOUNT, account, declare};

/// A protocol rule that the model violates deliberately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// A result is accepted as the awaited one without comparing its call and attempt.
    AttemptNotCompared,
}

/// Upper bounds on the faults of each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budgets {
    /// Lost messages: responses after the steps ran, or calls before.
    pub lost_messages: u8,
    /// Responses that are delivered twice.
    pub duplicate_responses: u8,
    /// Engine crashes; the engine loses its KV and restarts empty.
    pub crashes: u8,
    /// Call timeouts while the response is still in flight.
    pub call_timeouts: u8,
}

const LAYERS: u32 = 2;
const PROMPT: &str = "a";
const MAX_TOKENS: u32 = 2;
/// Longer than any call timeout.
const PAST_CALL_TIMEOUTS: Duration = Duration::from_secs(31);

/// A transition of the model. `usize` is the index of a message in flight or of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Delivers a message.
    Deliver(usize),
    /// Drops a message; the box sees a failed call.
    Lose(usize),
    /// Delivers a response but keeps it in flight, so that it is delivered again.
    Duplicate(usize),
    /// An engine crashes and restarts empty.
    Die(usize),
    /// All outstanding calls time out.
    Timeout,
}

#[derive(Debug, Clone)]
enum Message {
    Steps {
        call: CallKey,
        engine: usize,
        batch: Batch,
    },
    Results {
        call: CallKey,
        results: Vec<StepResult>,
    },
    Probe {
        target: TargetKey,
    },
}

/// The model state.
pub struct Lineage {
    world: World,
    effects: Effects,
    now: Instant,
    request: RequestKey,
    engines: Vec<State>,
    crashed_ledgers: Vec<Ledger>,
    targets: Vec<TargetKey>,
    in_flight: Vec<Message>,
    tokens: Vec<String>,
    end: Option<Result<CompletionEnd, &'static str>>,
    remaining: Budgets,
    mutation: Option<Mutation>,
}

fn options(engine: usize) -> Options {
    let stage = engine as u32 / 2;
    Options::range(stage, stage + 1, LAYERS)
}

impl Lineage {
    /// Returns the initial state, with the request submitted.
    pub fn new(budgets: Budgets, mutation: Option<Mutation>) -> Self {
        let limits = Limits {
            replacement_wait: Duration::from_secs(1 << 20),
            ..Limits::default()
        };
        let mut world = World::new(Incarnation(1), 1, limits);
        let mut effects = Effects::default();
        world.handle(declarations(), Instant::ZERO, &mut effects);
        effects.drain();
        let request = world.ask(new_request(), Instant::ZERO, &mut effects);
        let target = |number: usize| world.target_named(&format!("e{number}"));
        let targets = (0..4).filter_map(target).collect();
        let mut lineage = Lineage {
            world,
            effects,
            now: Instant::ZERO,
            request,
            engines: (0..4).map(|engine| State::new(options(engine))).collect(),
            crashed_ledgers: Vec::new(),
            targets,
            in_flight: Vec::new(),
            tokens: Vec::new(),
            end: None,
            remaining: budgets,
            mutation,
        };
        lineage.run_effects();
        lineage
    }

    fn handle_event(&mut self, event: Event) {
        self.world.handle(event, self.now, &mut self.effects);
        self.run_effects();
    }

    fn run_effects(&mut self) {
        self.world.tick(self.now, &mut self.effects);
        let effects: Vec<Effect> = self.effects.drain().collect();
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Steps {
                call,
                target,
                batch,
            } => {
                let index = self.targets.iter().position(|known| *known == target);
                let engine = index.unwrap_or_default();
                self.in_flight.push(Message::Steps {
                    call,
                    engine,
                    batch,
                });
            }
            Effect::Probe { target } => self.in_flight.push(Message::Probe { target }),
            Effect::Deliver { text, .. } => self.tokens.push(text),
            Effect::Finish { finish, .. } => {
                self.end = Some(match finish {
                    Finish::Completed(Completed::Completion(end)) => Ok(end),
                    Finish::NotRun(_) => Err("not run"),
                    _ => Err("unknown"),
                });
            }
            _ => {}
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Steps {
                call,
                engine,
                batch,
            } => {
                let results = self.engines[engine].run(batch);
                self.in_flight.push(Message::Results { call, results });
            }
            Message::Results { call, results } => self.deliver_results(call, results),
            Message::Probe { target } => self.handle_event(Event::Probed { target, up: true }),
        }
    }

    fn deliver_results(&mut self, call: CallKey, mut results: Vec<StepResult>) {
        let mut call = call;
        if self.mutation == Some(Mutation::AttemptNotCompared)
            && let Some((awaited, attempt)) = self.world.awaited_call(self.request)
        {
            call = awaited;
            for result in &mut results {
                result.attempt = attempt;
            }
        }
        self.handle_event(Event::StepsDone { call, results });
    }

    fn lose(&mut self, message: Message) {
        match message {
            Message::Steps { call, .. } => {
                let failure = CallFailure::NeverStarted(NeverStarted::ConnectFailed);
                self.handle_event(Event::StepsFailed { call, failure });
            }
            Message::Results { call, .. } => {
                let failure = CallFailure::Lost;
                self.handle_event(Event::StepsFailed { call, failure });
            }
            Message::Probe { target } => self.handle_event(Event::Probed { target, up: false }),
        }
    }

    /// Replaces an engine by an empty one. Its messages in flight are still delivered.
    fn crash_engine(&mut self, engine: usize) {
        let crashed = std::mem::replace(&mut self.engines[engine], State::new(options(engine)));
        self.crashed_ledgers.push(crashed.ledger().clone());
    }

    fn token_violation(&self) -> Option<String> {
        let expected = model::reference(LAYERS, "", PROMPT, MAX_TOKENS);
        for (index, token) in self.tokens.iter().enumerate() {
            if expected
                .get(index)
                .is_none_or(|expected| expected.text != *token)
            {
                return Some(format!("token {index} differs from the model's output"));
            }
        }
        None
    }

    fn ledger_violation(&self) -> Option<String> {
        let Some(Ok(end)) = &self.end else {
            return None;
        };
        // A crashed engine's ledger is no longer among `engines`, so ledgers are compared only if
        // no engine has crashed; the lineage itself is always checked.
        let positions = end.prompt_tokens + end.completion_tokens - 1;
        if let Err(err) = end.lineage.check(LAYERS, positions) {
            return Some(format!("{err:?}"));
        }
        if !self.crashed_ledgers.is_empty() {
            return None;
        }
        let accepted: Vec<Accepted> = end
            .lineage
            .runs()
            .iter()
            .map(|run| Accepted {
                target: self.world.targets[run.target].name.clone(),
                layers: run.layers,
                from: run.from,
                end: run.end,
                attempt: run.attempt,
            })
            .collect();
        let ledgers: BTreeMap<String, Ledger> = self
            .engines
            .iter()
            .enumerate()
            .map(|(number, engine)| (format!("e{number}"), engine.ledger().clone()))
            .collect();
        let id = RequestId::new(self.world.incarnation, self.request);
        let violations = verify(id, LAYERS, positions, &accepted, &ledgers);
        violations.first().map(|violation| format!("{violation:?}"))
    }
}

impl Model for Lineage {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (message_index, message) in self.in_flight.iter().enumerate() {
            actions.push(Action::Deliver(message_index));
            if self.remaining.lost_messages > 0 {
                actions.push(Action::Lose(message_index));
            }
            if self.remaining.duplicate_responses > 0 && matches!(message, Message::Results { .. })
            {
                actions.push(Action::Duplicate(message_index));
            }
        }
        if self.remaining.crashes > 0 {
            let engines_with_kv =
                (0..self.engines.len()).filter(|engine| self.engines[*engine].requests_held() > 0);
            actions.extend(engines_with_kv.map(Action::Die));
        }
        if self.remaining.call_timeouts > 0 && self.world.calls.values().next().is_some() {
            actions.push(Action::Timeout);
        }
        actions
    }

    fn apply(&mut self, action: &Action) {
        match *action {
            Action::Deliver(message_index) => {
                let message = self.in_flight.remove(message_index);
                self.deliver(message);
            }
            Action::Lose(message_index) => {
                self.remaining.lost_messages -= 1;
                let message = self.in_flight.remove(message_index);
                self.lose(message);
            }
            Action::Duplicate(message_index) => {
                self.remaining.duplicate_responses -= 1;
                let message = self.in_flight[message_index].clone();
                self.deliver(message);
            }
            Action::Die(engine) => {
                self.remaining.crashes -= 1;
                self.crash_engine(engine);
            }
            Action::Timeout => {
                self.remaining.call_timeouts -= 1;
                self.now = self.now + PAST_CALL_TIMEOUTS;
                self.run_effects();
            }
        }
    }

    fn fingerprint(&self) -> String {
        let mut in_flight: Vec<String> = self.in_flight.iter().map(|m| format!("{m:?}")).collect();
        in_flight.sort();
        let ledgers: Vec<_> = self
            .engines
            .iter()
            .map(|engine| {
                let id = RequestId::new(self.world.incarnation, self.request);
                (engine.ledger().of(id).to_vec(), engine.export(id))
            })
            .collect();
        format!(
            "{:?}{in_flight:?}{ledgers:?}{:?}{:?}{:?}",
            self.world.decision_state(),
            self.tokens,
            self.remaining,
            self.end,
        )
    }

    fn violation(&self) -> Option<String> {
        self.token_violation().or_else(|| self.ledger_violation())
    }
}

fn new_request() -> NewRequest {
    NewRequest {
        account: ACCOUNT.to_owned(),
        work: Work::Completion(Completion {
            model: "m".to_owned(),
            prompt: PROMPT.to_owned(),
            max_tokens: MAX_TOKENS,
        }),
        idempotency_key: None,
        request_timeout: Duration::from_secs(1 << 20),
    }
}

fn declarations() -> Event {
    let model = Object::Model(DeclaredModel {
        name: "m".to_owned(),
        layers: LAYERS,
    });
    let mut objects = vec![model, account(&["m"], &[])];
    for engine in 0..4 {
        let stage = engine / 2;
        objects.push(Object::Engine(Engine {
            name: format!("e{engine}"),
            box_name: format!("t{engine}"),
            domain: "d".to_owned(),
            url: format!("http://e{engine}"),
            model: "m".to_owned(),
            layers: Layers {
                first: stage,
                end: stage + 1,
            },
            slots: 8,
            checks_fence: false,
        }));
    }
    declare(objects)
}
