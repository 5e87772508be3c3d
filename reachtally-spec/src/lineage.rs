//! Lineage and stage replacement of one request over two stages with two engines each.
//!
//! Promises: the tokens delivered are the model's, in order, and the engines' ledgers show each
//! layer once for each position of the accepted lineage.

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

/// A rule broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// A result is taken for the one awaited whatever its call and attempt.
    AttemptNotCompared,
}

/// How many faults of each kind may happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budgets {
    /// Answers lost after the steps ran, or calls lost before.
    pub losses: u8,
    /// Answers that come twice.
    pub doubles: u8,
    /// Engines that die, losing their KV, and come back empty.
    pub deaths: u8,
    /// Calls given up on while their answer is still on its way.
    pub timeouts: u8,
}

const LAYERS: u32 = 2;
const PROMPT: &str = "a";
const TOKENS: u32 = 2;
/// Long enough for every time-out of a call to pass.
const CALL_WAIT: Duration = Duration::from_secs(31);

/// What may happen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// A message arrives.
    Deliver(usize),
    /// A message is lost; the box learns that no answer came.
    Lose(usize),
    /// An answer arrives and stays on its way.
    Double(usize),
    /// An engine dies and comes back empty.
    Die(usize),
    /// The time-outs of all outstanding calls pass.
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

/// The model.
pub struct Lineage {
    world: World,
    effects: Effects,
    now: Instant,
    request: RequestKey,
    engines: Vec<State>,
    dead_runs: Vec<Ledger>,
    targets: Vec<TargetKey>,
    net: Vec<Message>,
    tokens: Vec<String>,
    end: Option<Result<CompletionEnd, &'static str>>,
    left: Budgets,
    broken: Option<Broken>,
}

fn options(engine: usize) -> Options {
    let stage = engine as u32 / 2;
    Options::range(stage, stage + 1, LAYERS)
}

impl Lineage {
    /// The model's first state: the request is under way.
    pub fn new(budgets: Budgets, broken: Option<Broken>) -> Self {
        let limits = Limits {
            replacement_wait: Duration::from_secs(1 << 20),
            ..Limits::default()
        };
        let mut world = World::new(Incarnation(1), 1, limits);
        let mut effects = Effects::default();
        world.handle(declarations(), Instant::ZERO, &mut effects);
        effects.drain();
        let request = world.ask(ask(), Instant::ZERO, &mut effects);
        let target = |number: usize| world.target_named(&format!("e{number}"));
        let targets = (0..4).filter_map(target).collect();
        let mut lineage = Lineage {
            world,
            effects,
            now: Instant::ZERO,
            request,
            engines: (0..4).map(|engine| State::new(options(engine))).collect(),
            dead_runs: Vec::new(),
            targets,
            net: Vec::new(),
            tokens: Vec::new(),
            end: None,
            left: budgets,
            broken,
        };
        lineage.settle();
        lineage
    }

    fn tell(&mut self, event: Event) {
        self.world.handle(event, self.now, &mut self.effects);
        self.settle();
    }

    fn settle(&mut self) {
        self.world.tick(self.now, &mut self.effects);
        let effects: Vec<Effect> = self.effects.drain().collect();
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Steps {
                call,
                target,
                batch,
            } => {
                let at = self.targets.iter().position(|known| *known == target);
                let engine = at.unwrap_or_default();
                self.net.push(Message::Steps {
                    call,
                    engine,
                    batch,
                });
            }
            Effect::Probe { target } => self.net.push(Message::Probe { target }),
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
                self.net.push(Message::Results { call, results });
            }
            Message::Results { call, results } => self.take(call, results),
            Message::Probe { target } => self.tell(Event::Probed { target, up: true }),
        }
    }

    fn take(&mut self, call: CallKey, mut results: Vec<StepResult>) {
        let mut call = call;
        if self.broken == Some(Broken::AttemptNotCompared)
            && let Some((awaited, attempt)) = self.world.awaited_call(self.request)
        {
            call = awaited;
            for result in &mut results {
                result.attempt = attempt;
            }
        }
        self.tell(Event::StepsDone { call, results });
    }

    fn lose(&mut self, message: Message) {
        match message {
            Message::Steps { call, .. } => {
                let failure = CallFailure::NeverStarted(NeverStarted::ConnectFailed);
                self.tell(Event::StepsFailed { call, failure });
            }
            Message::Results { call, .. } => {
                let failure = CallFailure::Lost;
                self.tell(Event::StepsFailed { call, failure });
            }
            Message::Probe { target } => self.tell(Event::Probed { target, up: false }),
        }
    }

    /// What the engine sent before still arrives.
    fn die(&mut self, engine: usize) {
        let dead = std::mem::replace(&mut self.engines[engine], State::new(options(engine)));
        self.dead_runs.push(dead.ledger().clone());
    }

    fn wrong_tokens(&self) -> Option<String> {
        let expected = model::reference(LAYERS, "", PROMPT, TOKENS);
        for (index, token) in self.tokens.iter().enumerate() {
            if expected.get(index).is_none_or(|right| right.text != *token) {
                return Some(format!("token {index} is not the model's"));
            }
        }
        None
    }

    fn wrong_ledger(&self) -> Option<String> {
        let Some(Ok(end)) = &self.end else {
            return None;
        };
        // What a dead engine ran is gone with its ledger here, so only engines that never died can
        // be compared; the lineage itself is always checked.
        let positions = end.prompt_tokens + end.completion_tokens - 1;
        if let Err(err) = end.lineage.check(LAYERS, positions) {
            return Some(format!("{err:?}"));
        }
        if !self.dead_runs.is_empty() {
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
        for (number, message) in self.net.iter().enumerate() {
            actions.push(Action::Deliver(number));
            if self.left.losses > 0 {
                actions.push(Action::Lose(number));
            }
            if self.left.doubles > 0 && matches!(message, Message::Results { .. }) {
                actions.push(Action::Double(number));
            }
        }
        if self.left.deaths > 0 {
            let held = (0..self.engines.len()).filter(|at| self.engines[*at].requests_held() > 0);
            actions.extend(held.map(Action::Die));
        }
        if self.left.timeouts > 0 && self.world.calls.values().next().is_some() {
            actions.push(Action::Timeout);
        }
        actions
    }

    fn apply(&mut self, action: &Action) {
        match *action {
            Action::Deliver(number) => {
                let message = self.net.remove(number);
                self.deliver(message);
            }
            Action::Lose(number) => {
                self.left.losses -= 1;
                let message = self.net.remove(number);
                self.lose(message);
            }
            Action::Double(number) => {
                self.left.doubles -= 1;
                let message = self.net[number].clone();
                self.deliver(message);
            }
            Action::Die(engine) => {
                self.left.deaths -= 1;
                self.die(engine);
            }
            Action::Timeout => {
                self.left.timeouts -= 1;
                self.now = self.now + CALL_WAIT;
                self.settle();
            }
        }
    }

    fn fingerprint(&self) -> String {
        let mut net: Vec<String> = self.net.iter().map(|m| format!("{m:?}")).collect();
        net.sort();
        let ledgers: Vec<_> = self
            .engines
            .iter()
            .map(|engine| {
                let id = RequestId::new(self.world.incarnation, self.request);
                (engine.ledger().of(id).to_vec(), engine.export(id))
            })
            .collect();
        format!(
            "{:?}{net:?}{ledgers:?}{:?}{:?}{:?}",
            self.world.decision_state(),
            self.tokens,
            self.left,
            self.end,
        )
    }

    fn violation(&self) -> Option<String> {
        self.wrong_tokens().or_else(|| self.wrong_ledger())
    }
}

fn ask() -> NewRequest {
    NewRequest {
        account: ACCOUNT.to_owned(),
        work: Work::Completion(Completion {
            model: "m".to_owned(),
            prompt: PROMPT.to_owned(),
            max_tokens: TOKENS,
        }),
        idempotency_key: None,
        patience: Duration::from_secs(1 << 20),
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
