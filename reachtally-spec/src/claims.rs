//! Claim, dispatch and release of one idempotency key across two boxes.
//!
//! Invariants: the request runs at most once, and a request answered as "not run" has not run and
//! never runs later.

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

/// A protocol rule that the model violates deliberately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// A box that reads another box's claim treats it as its own.
    TakeoverAllowed,
    /// The owner of a key releases it after dispatching the request.
    ReleaseAfterDispatch,
    /// Boxes keep reading a log restored from a backup without noticing the lost records.
    RestoreUnnoticed,
}

/// Upper bounds on the requests and on the faults of each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budgets {
    /// Requests with the key sent to each box.
    pub requests: u8,
    /// Lost messages.
    pub lost_messages: u8,
    /// Appends that are applied twice; also bounds [`Action::Release`].
    pub duplicate_appends: u8,
    /// Box crashes, each followed by a restart as a new incarnation.
    pub crashes: u8,
    /// Expired waits for a claim.
    pub claim_timeouts: u8,
    /// Restores of the log from a backup that lacks its last record.
    pub log_restores: u8,
}

/// Number of boxes in the model.
const BOXES: usize = 2;
const KEY: &str = "k";
const URL: &str = "http://s";

/// A transition of the model. `usize` is the index of a box or of a message in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// A client sends a request to a box.
    NewRequest(usize),
    /// Delivers a message.
    Deliver(usize),
    /// Drops a message; the sending box sees a failed call.
    Lose(usize),
    /// Applies an append but keeps it in flight, so that it is applied again.
    Duplicate(usize),
    /// A box reads the next record of the log.
    Read(usize),
    /// A box crashes and restarts as a new incarnation.
    Crash(usize),
    /// A box's wait for its claim expires.
    Timeout(usize),
    /// The log is restored from a backup that lacks its last record.
    RestoreLog,
    /// The box releases a key after dispatch; only with [`Mutation::ReleaseAfterDispatch`].
    Release(usize),
}

/// A request and the incarnation of the box that received it.
type IncarnationRequest = (Incarnation, RequestKey);

#[derive(Debug, Clone)]
enum Message {
    Append {
        box_index: usize,
        by: Incarnation,
        seq: u64,
        record: ClaimRecord,
    },
    Appended {
        box_index: usize,
        by: Incarnation,
        seq: u64,
    },
    Call {
        box_index: usize,
        by: Incarnation,
        request: RequestKey,
        target: TargetKey,
    },
    ServiceCallDone {
        box_index: usize,
        by: Incarnation,
        request: RequestKey,
        target: TargetKey,
    },
}

struct EntryBox {
    world: World,
    effects: Effects,
    now: Instant,
    read: usize,
    /// Log restores that the box has processed.
    log_restores: u8,
    requests: u8,
}

/// The model state.
pub struct Claims {
    boxes: Vec<EntryBox>,
    log: Vec<ClaimRecord>,
    in_flight: Vec<Message>,
    executions: Vec<IncarnationRequest>,
    outcomes: BTreeMap<IncarnationRequest, &'static str>,
    remaining: Budgets,
    /// Restores of the log so far.
    log_restores: u8,
    incarnations: u64,
    mutation: Option<Mutation>,
}

fn limits() -> Limits {
    Limits {
        append_interval: Duration::ZERO,
        claim_window: Duration::from_secs(1 << 20),
        ..Limits::default()
    }
}

impl Claims {
    /// Returns the initial state.
    pub fn new(budgets: Budgets, mutation: Option<Mutation>) -> Self {
        let mut model = Claims {
            boxes: Vec::new(),
            log: Vec::new(),
            in_flight: Vec::new(),
            executions: Vec::new(),
            outcomes: BTreeMap::new(),
            remaining: budgets,
            log_restores: 0,
            incarnations: 0,
            mutation,
        };
        for _ in 0..BOXES {
            let entry_box = model.new_box(budgets.requests);
            model.boxes.push(entry_box);
        }
        model
    }

    fn new_box(&mut self, requests: u8) -> EntryBox {
        self.incarnations += 1;
        let mut world = World::new(Incarnation(self.incarnations), 1, limits());
        let mut effects = Effects::default();
        world.handle(declarations(), Instant::ZERO, &mut effects);
        world.handle(Event::ClaimsCaughtUp, Instant::ZERO, &mut effects);
        effects.drain();
        EntryBox {
            world,
            effects,
            now: Instant::ZERO,
            read: 0,
            log_restores: 0,
            requests,
        }
    }

    /// Notifies a box that the log was restored since its last read and restarts its reading.
    fn handle_log_restore(&mut self, box_index: usize) {
        self.boxes[box_index].log_restores = self.log_restores;
        self.boxes[box_index].read = 0;
        self.dispatch_event(
            box_index,
            self.incarnation(box_index),
            Event::ClaimLogRestored,
        );
    }

    fn incarnation(&self, box_index: usize) -> Incarnation {
        self.boxes[box_index].world.incarnation
    }

    /// Passes an event to a box; drops it if the incarnation it is addressed to has ended.
    fn dispatch_event(&mut self, box_index: usize, by: Incarnation, event: Event) {
        if self.incarnation(box_index) != by {
            return;
        }
        let entry_box = &mut self.boxes[box_index];
        entry_box
            .world
            .handle(event, entry_box.now, &mut entry_box.effects);
        self.run_effects(box_index);
    }

    fn run_effects(&mut self, box_index: usize) {
        let entry_box = &mut self.boxes[box_index];
        entry_box.world.tick(entry_box.now, &mut entry_box.effects);
        let effects: Vec<Effect> = entry_box.effects.drain().collect();
        let by = self.incarnation(box_index);
        for effect in effects {
            match effect {
                Effect::Append { seq, record } => self.in_flight.push(Message::Append {
                    box_index,
                    by,
                    seq,
                    record,
                }),
                Effect::Call {
                    request, target, ..
                } => self.in_flight.push(Message::Call {
                    box_index,
                    by,
                    request,
                    target,
                }),
                Effect::Finish { request, finish } => {
                    self.outcomes.insert((by, request), outcome(&finish));
                }
                _ => {}
            }
        }
    }

    fn submit_request(&mut self, box_index: usize) {
        let entry_box = &mut self.boxes[box_index];
        entry_box.requests -= 1;
        entry_box
            .world
            .ask(new_request(), entry_box.now, &mut entry_box.effects);
        self.run_effects(box_index);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Append {
                box_index,
                by,
                seq,
                record,
            } => {
                self.log.push(record);
                self.in_flight
                    .push(Message::Appended { box_index, by, seq });
            }
            Message::Appended { box_index, by, seq } => {
                let confirmed = true;
                self.dispatch_event(box_index, by, Event::Appended { seq, confirmed });
            }
            Message::Call {
                box_index,
                by,
                request,
                target,
            } => {
                self.executions.push((by, request));
                self.in_flight.push(Message::ServiceCallDone {
                    box_index,
                    by,
                    request,
                    target,
                });
            }
            Message::ServiceCallDone {
                box_index,
                by,
                request,
                target,
            } => self.dispatch_event(box_index, by, call_done(request, target, Ok(answer()))),
        }
    }

    fn lose(&mut self, message: Message) {
        match message {
            Message::Append {
                box_index, by, seq, ..
            }
            | Message::Appended { box_index, by, seq } => {
                let confirmed = false;
                self.dispatch_event(box_index, by, Event::Appended { seq, confirmed });
            }
            Message::Call {
                box_index,
                by,
                request,
                target,
            }
            | Message::ServiceCallDone {
                box_index,
                by,
                request,
                target,
            } => self.dispatch_event(
                box_index,
                by,
                call_done(request, target, Err(CallFailure::Lost)),
            ),
        }
    }

    fn read(&mut self, box_index: usize) {
        if self.boxes[box_index].log_restores < self.log_restores
            && self.mutation != Some(Mutation::RestoreUnnoticed)
        {
            return self.handle_log_restore(box_index);
        }
        let offset = self.boxes[box_index].read;
        self.boxes[box_index].read += 1;
        let mut record = self.log[offset].clone();
        if self.mutation == Some(Mutation::TakeoverAllowed) {
            record.by = self.incarnation(box_index);
        }
        let read = Read {
            offset: offset as u64,
            at_ms: 0,
            record,
        };
        self.dispatch_event(
            box_index,
            self.incarnation(box_index),
            Event::ClaimsRead(vec![read]),
        );
    }

    fn crash(&mut self, box_index: usize) {
        let requests = self.boxes[box_index].requests;
        self.boxes[box_index] = self.new_box(requests);
        if self.log_restores > 0 {
            // Its first page reports the restore, before the claim window since then has passed.
            self.handle_log_restore(box_index);
        }
    }

    fn has_sent(&self, box_index: usize) -> bool {
        let by = self.incarnation(box_index);
        let sent = |message: &Message| matches!(message, Message::Call { by: b, .. } if *b == by);
        self.in_flight.iter().any(sent) || self.executions.iter().any(|(b, _)| *b == by)
    }

    fn release(&mut self, box_index: usize) {
        let by = self.incarnation(box_index);
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
        for box_index in 0..BOXES {
            if self.boxes[box_index].requests > 0 {
                actions.push(Action::NewRequest(box_index));
            }
            let is_behind = self.boxes[box_index].log_restores < self.log_restores
                && self.mutation != Some(Mutation::RestoreUnnoticed);
            if is_behind || self.boxes[box_index].read < self.log.len() {
                actions.push(Action::Read(box_index));
            }
            if self.remaining.crashes > 0 {
                actions.push(Action::Crash(box_index));
            }
            if self.remaining.claim_timeouts > 0 {
                actions.push(Action::Timeout(box_index));
            }
            let can_release = self.mutation == Some(Mutation::ReleaseAfterDispatch);
            if can_release && self.remaining.duplicate_appends > 0 && self.has_sent(box_index) {
                actions.push(Action::Release(box_index));
            }
        }
        if self.remaining.log_restores > 0 && !self.log.is_empty() {
            actions.push(Action::RestoreLog);
        }
        for (message_index, message) in self.in_flight.iter().enumerate() {
            actions.push(Action::Deliver(message_index));
            if self.remaining.lost_messages > 0 {
                actions.push(Action::Lose(message_index));
            }
            if self.remaining.duplicate_appends > 0 && matches!(message, Message::Append { .. }) {
                actions.push(Action::Duplicate(message_index));
            }
        }
        actions
    }

    fn apply(&mut self, action: &Action) {
        match *action {
            Action::NewRequest(box_index) => self.submit_request(box_index),
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
                self.remaining.duplicate_appends -= 1;
                if let Message::Append { record, .. } = &self.in_flight[message_index] {
                    self.log.push(record.clone());
                }
            }
            Action::Read(box_index) => self.read(box_index),
            Action::Crash(box_index) => {
                self.remaining.crashes -= 1;
                self.crash(box_index);
            }
            Action::Timeout(box_index) => {
                self.remaining.claim_timeouts -= 1;
                self.boxes[box_index].now = self.boxes[box_index].now + limits().claim_wait;
                self.run_effects(box_index);
            }
            Action::RestoreLog => {
                self.remaining.log_restores -= 1;
                self.log_restores += 1;
                self.log.pop();
            }
            Action::Release(box_index) => {
                self.remaining.duplicate_appends -= 1;
                self.release(box_index);
            }
        }
    }

    fn fingerprint(&self) -> String {
        let mut text = format!("{:?}{:?}", self.log, self.remaining);
        for entry_box in &self.boxes {
            let world = entry_box.world.decision_state();
            text += &format!(
                "{world:?}{:?}{}{}{}",
                entry_box.now, entry_box.read, entry_box.log_restores, entry_box.requests
            );
        }
        let mut in_flight: Vec<String> = self.in_flight.iter().map(|m| format!("{m:?}")).collect();
        in_flight.sort();
        text + &format!("{in_flight:?}{:?}{:?}", self.executions, self.outcomes)
    }

    fn violation(&self) -> Option<String> {
        if self.executions.len() > 1 {
            return Some(format!("the request ran {} times", self.executions.len()));
        }
        let executed = self.executions.first()?;
        let outcome = self.outcomes.get(executed)?;
        (*outcome == "not run").then(|| "a request that ran was answered as not run".to_owned())
    }
}

fn outcome(finish: &Finish) -> &'static str {
    match finish {
        Finish::Completed(_) => "completed",
        Finish::NotRun(_) => "not run",
        Finish::Unknown(_) => "unknown",
        Finish::Abandoned => "abandoned",
    }
}

fn call_done(request: RequestKey, target: TargetKey, result: Result<Answer, CallFailure>) -> Event {
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

fn new_request() -> NewRequest {
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
        request_timeout: Duration::from_secs(1 << 20),
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
