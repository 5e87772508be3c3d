//! Claim, dispatch and release of one key over two boxes.
//!
//! Promises: the request runs at most once, and an answer "not run" is true, now and later.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use reachtally_core::claim::{ClaimKey, ClaimRecord, Entry};
use reachtally_core::declare::{Object, Service};
use reachtally_core::effect::{Effects, Finish};
use reachtally_core::event::{CallFailure, Read};
use reachtally_core::ids::{RequestKey, TargetKey};
use reachtally_core::request::{Answer, NewRequest, ServiceCall, Work};
use reachtally_core::{Effect, Event, Incarnation, Instant, Limits, World};

use crate::Model;
use crate::fixture::{ACCOUNT, account, declare};

/// A rule broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// A box that reads another's claim takes it for its own.
    TakeoverAllowed,
    /// An owner releases its key after it has sent the request.
    ReleaseAfterDispatch,
    /// Boxes go on reading a log that came back from a copy as if nothing had been lost.
    ReturnUnnoticed,
}

/// How many faults of each kind may happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budgets {
    /// Requests with the key, at each box.
    pub asks: u8,
    /// Messages lost.
    pub losses: u8,
    /// Appends that take effect twice.
    pub doubles: u8,
    /// Boxes that die and come back as another run.
    pub crashes: u8,
    /// Waits for a claim that pass.
    pub timeouts: u8,
    /// Returns of the log from a copy that lacks its last record.
    pub returns: u8,
}

/// Boxes in the model.
const BOXES: usize = 2;
const KEY: &str = "k";
const URL: &str = "http://s";

/// What may happen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// A caller asks a box.
    NewRequest(usize),
    /// A message arrives.
    Deliver(usize),
    /// A message is lost; the box learns that no answer came.
    Lose(usize),
    /// An append arrives and stays on its way.
    Double(usize),
    /// A box reads the next record of the log.
    Read(usize),
    /// A box dies and comes back as another run.
    Crash(usize),
    /// A box's wait for its claim passes.
    Timeout(usize),
    /// The log comes back from a copy that lacks its last record.
    Return,
    /// Only with [`Broken::ReleaseAfterDispatch`]: the box releases what it sent.
    Release(usize),
}

/// One of the requests asked.
type Asked = (Incarnation, RequestKey);

#[derive(Debug, Clone)]
enum Message {
    Append {
        at: usize,
        by: Incarnation,
        seq: u64,
        record: ClaimRecord,
    },
    Appended {
        at: usize,
        by: Incarnation,
        seq: u64,
    },
    Call {
        at: usize,
        by: Incarnation,
        request: RequestKey,
        target: TargetKey,
    },
    ServiceCallDone {
        at: usize,
        by: Incarnation,
        request: RequestKey,
        target: TargetKey,
    },
}

struct Entrybox {
    world: World,
    effects: Effects,
    now: Instant,
    read: usize,
    /// Returns of the log that it knows of.
    returns: u8,
    asks: u8,
}

/// The model.
pub struct Claims {
    boxes: Vec<Entrybox>,
    log: Vec<ClaimRecord>,
    net: Vec<Message>,
    runs: Vec<Asked>,
    ends: BTreeMap<Asked, &'static str>,
    left: Budgets,
    /// How often the log has come back from a copy.
    returns: u8,
    incarnations: u64,
    broken: Option<Broken>,
}

fn limits() -> Limits {
    Limits {
        append_interval: Duration::ZERO,
        claim_window: Duration::from_secs(1 << 20),
        ..Limits::default()
    }
}

impl Claims {
    /// The model's first state.
    pub fn new(budgets: Budgets, broken: Option<Broken>) -> Self {
        let mut model = Claims {
            boxes: Vec::new(),
            log: Vec::new(),
            net: Vec::new(),
            runs: Vec::new(),
            ends: BTreeMap::new(),
            left: budgets,
            returns: 0,
            incarnations: 0,
            broken,
        };
        for _ in 0..BOXES {
            let entrybox = model.new_box(budgets.asks);
            model.boxes.push(entrybox);
        }
        model
    }

    fn new_box(&mut self, asks: u8) -> Entrybox {
        self.incarnations += 1;
        let mut world = World::new(Incarnation(self.incarnations), 1, limits());
        let mut effects = Effects::default();
        world.handle(declarations(), Instant::ZERO, &mut effects);
        world.handle(Event::ClaimsCaughtUp, Instant::ZERO, &mut effects);
        effects.drain();
        Entrybox {
            world,
            effects,
            now: Instant::ZERO,
            read: 0,
            returns: 0,
            asks,
        }
    }

    /// A box reads a page of a log that has come back from a copy since its last one.
    fn learn_of_return(&mut self, at: usize) {
        self.boxes[at].returns = self.returns;
        self.boxes[at].read = 0;
        self.tell(at, self.incarnation(at), Event::ClaimLogRestored);
    }

    fn incarnation(&self, at: usize) -> Incarnation {
        self.boxes[at].world.incarnation
    }

    /// Tell a box of an event, unless the run it is for is gone.
    fn tell(&mut self, at: usize, by: Incarnation, event: Event) {
        if self.incarnation(at) != by {
            return;
        }
        let entrybox = &mut self.boxes[at];
        entrybox
            .world
            .handle(event, entrybox.now, &mut entrybox.effects);
        self.settle(at);
    }

    fn settle(&mut self, at: usize) {
        let entrybox = &mut self.boxes[at];
        entrybox.world.tick(entrybox.now, &mut entrybox.effects);
        let effects: Vec<Effect> = entrybox.effects.drain().collect();
        let by = self.incarnation(at);
        for effect in effects {
            match effect {
                Effect::Append { seq, record } => self.net.push(Message::Append {
                    at,
                    by,
                    seq,
                    record,
                }),
                Effect::Call {
                    request, target, ..
                } => self.net.push(Message::Call {
                    at,
                    by,
                    request,
                    target,
                }),
                Effect::Finish { request, finish } => {
                    self.ends.insert((by, request), name(&finish));
                }
                _ => {}
            }
        }
    }

    fn ask(&mut self, at: usize) {
        let entrybox = &mut self.boxes[at];
        entrybox.asks -= 1;
        entrybox
            .world
            .ask(order(), entrybox.now, &mut entrybox.effects);
        self.settle(at);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Append {
                at,
                by,
                seq,
                record,
            } => {
                self.log.push(record);
                self.net.push(Message::Appended { at, by, seq });
            }
            Message::Appended { at, by, seq } => {
                let confirmed = true;
                self.tell(at, by, Event::Appended { seq, confirmed });
            }
            Message::Call {
                at,
                by,
                request,
                target,
            } => {
                self.runs.push((by, request));
                self.net.push(Message::ServiceCallDone {
                    at,
                    by,
                    request,
                    target,
                });
            }
            Message::ServiceCallDone {
                at,
                by,
                request,
                target,
            } => self.tell(at, by, called(request, target, Ok(answer()))),
        }
    }

    fn lose(&mut self, message: Message) {
        match message {
            Message::Append { at, by, seq, .. } | Message::Appended { at, by, seq } => {
                let confirmed = false;
                self.tell(at, by, Event::Appended { seq, confirmed });
            }
            Message::Call {
                at,
                by,
                request,
                target,
            }
            | Message::ServiceCallDone {
                at,
                by,
                request,
                target,
            } => self.tell(at, by, called(request, target, Err(CallFailure::Lost))),
        }
    }

    fn read(&mut self, at: usize) {
        if self.boxes[at].returns < self.returns && self.broken != Some(Broken::ReturnUnnoticed) {
            return self.learn_of_return(at);
        }
        let offset = self.boxes[at].read;
        self.boxes[at].read += 1;
        let mut record = self.log[offset].clone();
        if self.broken == Some(Broken::TakeoverAllowed) {
            record.by = self.incarnation(at);
        }
        let read = Read {
            offset: offset as u64,
            at_ms: 0,
            record,
        };
        self.tell(at, self.incarnation(at), Event::ClaimsRead(vec![read]));
    }

    fn crash(&mut self, at: usize) {
        let asks = self.boxes[at].asks;
        self.boxes[at] = self.new_box(asks);
        if self.returns > 0 {
            // Its first page tells of the return, before the window since then has passed.
            self.learn_of_return(at);
        }
    }

    fn has_sent(&self, at: usize) -> bool {
        let by = self.incarnation(at);
        let sent = |message: &Message| matches!(message, Message::Call { by: b, .. } if *b == by);
        self.net.iter().any(sent) || self.runs.iter().any(|(b, _)| *b == by)
    }

    fn release(&mut self, at: usize) {
        let by = self.incarnation(at);
        let key = ClaimKey {
            account: ACCOUNT.to_owned(),
            key: KEY.to_owned(),
        };
        self.log.push(ClaimRecord {
            by,
            entries: vec![Entry::Release { key }],
        });
    }
}

impl Model for Claims {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for at in 0..BOXES {
            if self.boxes[at].asks > 0 {
                actions.push(Action::NewRequest(at));
            }
            let is_behind = self.boxes[at].returns < self.returns
                && self.broken != Some(Broken::ReturnUnnoticed);
            if is_behind || self.boxes[at].read < self.log.len() {
                actions.push(Action::Read(at));
            }
            if self.left.crashes > 0 {
                actions.push(Action::Crash(at));
            }
            if self.left.timeouts > 0 {
                actions.push(Action::Timeout(at));
            }
            let release = self.broken == Some(Broken::ReleaseAfterDispatch);
            if release && self.left.doubles > 0 && self.has_sent(at) {
                actions.push(Action::Release(at));
            }
        }
        if self.left.returns > 0 && !self.log.is_empty() {
            actions.push(Action::Return);
        }
        for (number, message) in self.net.iter().enumerate() {
            actions.push(Action::Deliver(number));
            if self.left.losses > 0 {
                actions.push(Action::Lose(number));
            }
            if self.left.doubles > 0 && matches!(message, Message::Append { .. }) {
                actions.push(Action::Double(number));
            }
        }
        actions
    }

    fn apply(&mut self, action: &Action) {
        match *action {
            Action::NewRequest(at) => self.ask(at),
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
                if let Message::Append { record, .. } = &self.net[number] {
                    self.log.push(record.clone());
                }
            }
            Action::Read(at) => self.read(at),
            Action::Crash(at) => {
                self.left.crashes -= 1;
                self.crash(at);
            }
            Action::Timeout(at) => {
                self.left.timeouts -= 1;
                self.boxes[at].now = self.boxes[at].now + limits().claim_wait;
                self.settle(at);
            }
            Action::Return => {
                self.left.returns -= 1;
                self.returns += 1;
                self.log.pop();
            }
            Action::Release(at) => {
                self.left.doubles -= 1;
                self.release(at);
            }
        }
    }

    fn fingerprint(&self) -> String {
        let mut text = format!("{:?}{:?}", self.log, self.left);
        for entrybox in &self.boxes {
            let world = entrybox.world.decision_state();
            text += &format!(
                "{world:?}{:?}{}{}{}",
                entrybox.now, entrybox.read, entrybox.returns, entrybox.asks
            );
        }
        let mut net: Vec<String> = self.net.iter().map(|m| format!("{m:?}")).collect();
        net.sort();
        text + &format!("{net:?}{:?}{:?}", self.runs, self.ends)
    }

    fn violation(&self) -> Option<String> {
        if self.runs.len() > 1 {
            return Some(format!("the request ran {} times", self.runs.len()));
        }
        let ran = self.runs.first()?;
        let end = self.ends.get(ran)?;
        (*end == "not run").then(|| "a request that ran was answered as not run".to_owned())
    }
}

fn name(finish: &Finish) -> &'static str {
    match finish {
        Finish::Completed(_) => "completed",
        Finish::NotRun(_) => "not run",
        Finish::Unknown(_) => "unknown",
        Finish::Abandoned => "abandoned",
    }
}

fn called(request: RequestKey, target: TargetKey, result: Result<Answer, CallFailure>) -> Event {
    Event::ServiceCallDone {
        request,
        target,
        result,
    }
}

fn answer() -> Answer {
    Answer {
        status: 200,
        content_type: None,
        body: Bytes::from_static(b"done"),
    }
}

fn order() -> NewRequest {
    NewRequest {
        account: ACCOUNT.to_owned(),
        work: Work::Service(ServiceCall {
            service: "s".to_owned(),
            method: "POST".to_owned(),
            path: String::new(),
            content_type: None,
            body: Bytes::new(),
        }),
        idempotency_key: Some(KEY.to_owned()),
        patience: Duration::from_secs(1 << 20),
    }
}

fn declarations() -> Event {
    let service = Object::Service(Service {
        name: "s".to_owned(),
        urls: vec![URL.to_owned()],
        repeatable: false,
        deduplicates: false,
    });
    declare(vec![service, account(&[], &["s"])])
}
