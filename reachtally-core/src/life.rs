//! The life cycle of a request as a typestate.
//!
//! `Received → Admitted → Claimed → Dispatched → Streaming`. Only the states before `Dispatched`
//! can be refused as not run, since [`NotRun`] can be built nowhere else. After dispatch a request
//! completes, ends with an unknown outcome, or goes back on a [`NeverStarted`] proof.

use std::time::Duration;

/// A request that was received and not judged yet.
#[derive(Debug)]
pub struct Received(());
/// A request that was admitted and counts against its account.
#[derive(Debug)]
pub struct Admitted(());
/// A request that may not be repeated and whose claim is the first of its key in the log.
#[derive(Debug)]
pub struct Claimed(());
/// A request of which a target may have seen a byte.
#[derive(Debug)]
pub struct Dispatched {
    claimed: bool,
}
/// A request of whose answer the caller has received a part.
#[derive(Debug)]
pub struct Streaming(());

/// Why a request was refused before it ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The account is unknown.
    UnknownAccount,
    /// No such model is declared.
    UnknownModel,
    /// No such service is declared.
    UnknownService,
    /// The account may not use the model or service.
    NotAllowed,
    /// The account has as many requests running as it may.
    AccountLimit,
    /// No chain of live engines covers the model's layers, or no instance of the service is live.
    NoTarget,
    /// The engines have no free slot.
    Busy,
    /// The daemon is stopping.
    Stopping,
    /// The daemon was paused and has not yet compared its configuration with the log or a peer.
    Paused,
    /// The key of a request that may not be repeated is in use by another request body.
    KeyReused,
    /// The log could not confirm in time that this request is the first of its key.
    ClaimUnconfirmed,
    /// The deadline passed before the request was sent anywhere.
    Deadline,
    /// A target refused it before it started, and no other is left to try.
    NeverStarted,
    /// Engines that began to run it ended, one after the other.
    Quarantined,
    /// Its service has no room for requests of its rank in time.
    Shed,
}

/// The proven statement that no target ran any of the request.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRun {
    refusal: Refusal,
    retry_after: Option<Duration>,
}

impl NotRun {
    fn new(refusal: Refusal) -> Self {
        let retry_after = match refusal {
            Refusal::AccountLimit | Refusal::Busy => Some(Duration::from_secs(1)),
            Refusal::NoTarget | Refusal::NeverStarted => Some(Duration::from_secs(2)),
            Refusal::Stopping | Refusal::Paused | Refusal::Deadline => Some(Duration::from_secs(1)),
            Refusal::ClaimUnconfirmed => Some(Duration::from_secs(5)),
            _ => None,
        };
        NotRun {
            refusal,
            retry_after,
        }
    }

    /// Why it was refused.
    pub fn refusal(&self) -> &Refusal {
        &self.refusal
    }

    /// When the caller may try again, if that can help.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// The proof that a target ran nothing of what was sent: the connection was refused before a byte
/// left, or the target said so itself. Target adapters build it; see `docs/design/outcomes.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NeverStarted {
    /// No connection came about, so no byte was sent.
    ConnectFailed,
    /// The target said explicitly that it did not start.
    TargetSaidSo,
}

/// Why the outcome of a request is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unknown {
    /// The target's answer did not come, or came damaged.
    AnswerLost,
    /// The deadline passed while it ran.
    Deadline,
    /// A stage was lost and nothing could take its place.
    NoReplacement,
    /// One engine after the other was lost under the same step.
    EnginesLost,
    /// Another daemon run owns the key and recorded no outcome.
    OwnedElsewhere,
}

/// A request in state `S`.
#[derive(Debug)]
pub struct Life<S> {
    state: S,
}

impl Default for Life<Received> {
    fn default() -> Self {
        Life {
            state: Received(()),
        }
    }
}

impl Life<Received> {
    /// Count it against its account.
    pub fn admit(self) -> Life<Admitted> {
        Life {
            state: Admitted(()),
        }
    }

    /// Refuse it.
    pub fn refuse_not_run(self, refusal: Refusal) -> NotRun {
        NotRun::new(refusal)
    }
}

impl Life<Admitted> {
    /// The log shows its claim as the first of its key.
    pub fn claim(self) -> Life<Claimed> {
        Life { state: Claimed(()) }
    }

    /// Send it to a target. Only for a request that may be repeated.
    pub fn dispatch(self) -> Life<Dispatched> {
        Life {
            state: Dispatched { claimed: false },
        }
    }

    /// Refuse it.
    pub fn refuse_not_run(self, refusal: Refusal) -> NotRun {
        NotRun::new(refusal)
    }
}

impl Life<Claimed> {
    /// Send it to a target.
    pub fn dispatch(self) -> Life<Dispatched> {
        Life {
            state: Dispatched { claimed: true },
        }
    }

    /// Refuse it; its claim must be released, and this value is gone, so it can't be sent any more.
    pub fn refuse_not_run(self, refusal: Refusal) -> NotRun {
        NotRun::new(refusal)
    }
}

/// A request taken back from dispatch on proof.
#[derive(Debug)]
pub enum TakenBack {
    /// It carried no claim.
    Admitted(Life<Admitted>),
    /// It still owns its claim.
    Claimed(Life<Claimed>),
}

impl Life<Dispatched> {
    /// Part of the answer reached the caller.
    pub fn stream(self) -> Life<Streaming> {
        Life {
            state: Streaming(()),
        }
    }

    /// Go back to before dispatch, on the proof that nothing ran.
    pub fn never_started(self, _proof: NeverStarted) -> TakenBack {
        if self.state.claimed {
            TakenBack::Claimed(Life { state: Claimed(()) })
        } else {
            TakenBack::Admitted(Life {
                state: Admitted(()),
            })
        }
    }
}

/// The state of a request as its table row stores it.
#[derive(Debug)]
pub enum State {
    /// See [`Received`].
    Received(Life<Received>),
    /// See [`Admitted`].
    Admitted(Life<Admitted>),
    /// See [`Claimed`].
    Claimed(Life<Claimed>),
    /// See [`Dispatched`].
    Dispatched(Life<Dispatched>),
    /// See [`Streaming`].
    Streaming(Life<Streaming>),
}

/// What a request can still be told when the router gives it up.
#[derive(Debug, PartialEq, Eq)]
pub enum GivenUp {
    /// It did not run.
    NotRun(NotRun),
    /// It may have run.
    Unknown(Unknown),
}

impl State {
    /// Whether a target may have seen a byte of the request.
    pub fn is_dispatched(&self) -> bool {
        matches!(self, State::Dispatched(_) | State::Streaming(_))
    }

    /// Give the request up: not run where that is certain, else unknown.
    pub fn give_up(self, refusal: Refusal, unknown: Unknown) -> GivenUp {
        match self {
            State::Received(life) => GivenUp::NotRun(life.refuse_not_run(refusal)),
            State::Admitted(life) => GivenUp::NotRun(life.refuse_not_run(refusal)),
            State::Claimed(life) => GivenUp::NotRun(life.refuse_not_run(refusal)),
            State::Dispatched(_) | State::Streaming(_) => GivenUp::Unknown(unknown),
        }
    }

    /// Send the request to a target; a request already sent stays as it is.
    pub fn dispatch(self) -> State {
        match self {
            State::Received(life) => State::Dispatched(life.admit().dispatch()),
            State::Admitted(life) => State::Dispatched(life.dispatch()),
            State::Claimed(life) => State::Dispatched(life.dispatch()),
            sent => sent,
        }
    }

    /// Take a dispatched request back on proof; one that streams can't be taken back.
    pub fn never_started(self, proof: NeverStarted) -> State {
        match self {
            State::Dispatched(life) => match life.never_started(proof) {
                TakenBack::Admitted(life) => State::Admitted(life),
                TakenBack::Claimed(life) => State::Claimed(life),
            },
            other => other,
        }
    }

    /// Part of the answer reached the caller.
    pub fn stream(self) -> State {
        match self {
            State::Dispatched(life) => State::Streaming(life.stream()),
            other => other,
        }
    }
}
