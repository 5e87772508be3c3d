//! The life cycle of a request as a typestate.
//!
//! `Received → Admitted → Claimed → Dispatched → Streaming`. Only the states before `Dispatched`
//! can be refused as not run, since [`NotRun`] cannot be constructed elsewhere. After dispatch a
//! request completes, ends with an unknown outcome, or reverts to an earlier state on a
//! [`NeverStarted`] proof.

use std::time::Duration;

/// A request that was received but not yet checked for admission.
#[derive(Debug)]
pub struct Received(());
/// A request that was admitted and counts against the limit of its account.
#[derive(Debug)]
pub struct Admitted(());
/// A non-repeatable request whose claim is the first of its key in the log.
#[derive(Debug)]
pub struct Claimed(());
/// A request of which a target may have received at least one byte.
#[derive(Debug)]
pub struct Dispatched {
    claimed: bool,
}
/// A request whose answer has been partly delivered to the caller.
#[derive(Debug)]
pub struct Streaming(());

/// Why a request was refused before it ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The account does not exist.
    UnknownAccount,
    /// The model is not declared.
    UnknownModel,
    /// The service is not declared.
    UnknownService,
    /// The account is not permitted to use the model or service.
    NotAllowed,
    /// The account has reached its limit of running requests.
    AccountLimit,
    /// No chain of live engines covers the model's layers, or no instance of the service is live.
    NoTarget,
    /// Every live engine of some layer range is full.
    Busy,
    /// The daemon is stopping.
    Stopping,
    /// The daemon was paused and has not yet revalidated its configuration against the log or a
    /// peer.
    Paused,
    /// The idempotency key was already used for a request with a different body.
    KeyReused,
    /// The log did not confirm in time that this request is the first of its key.
    ClaimUnconfirmed,
    /// The deadline passed before the request was sent to a target.
    Deadline,
    /// A target refused the request before starting it, and no other target is left to try.
    NeverStarted,
    /// Engines that had started to run the request were lost, one after another.
    Quarantined,
    /// The service had no capacity in time for a request of this rank.
    Shed,
    /// The box had no memory for the body of the request.
    NoMemory,
}

/// Proof that no target ran any part of the request.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRun {
    refusal: Refusal,
    retry_after: Option<Duration>,
}

impl NotRun {
    fn new(refusal: Refusal) -> Self {
        let retry_after = match refusal {
            Refusal::AccountLimit | Refusal::Busy | Refusal::NoMemory => {
                Some(Duration::from_secs(1))
            }
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

    /// The reason for the refusal.
    pub fn refusal(&self) -> &Refusal {
        &self.refusal
    }

    /// How long the caller should wait before a retry, if a retry can help.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// Proof that a target did not run the request: either the connection failed before any byte was
/// sent, or the target reported it explicitly. Constructed by target adapters; see
/// `docs/design/outcomes.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NeverStarted {
    /// The connection could not be established, so no byte was sent.
    ConnectFailed,
    /// The target reported explicitly that it did not start.
    TargetSaidSo,
}

/// Why the outcome of a request is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unknown {
    /// The target's answer did not arrive or was corrupted.
    AnswerLost,
    /// The deadline passed while the request was running.
    Deadline,
    /// A stage was lost and no replacement was available.
    NoReplacement,
    /// Engines were lost in a row under the same step.
    EnginesLost,
    /// Another daemon run owns the key and has recorded no outcome.
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
    /// Admit the request and count it against the limit of its account.
    pub fn admit(self) -> Life<Admitted> {
        Life {
            state: Admitted(()),
        }
    }

    /// Refuse the request.
    pub fn refuse_not_run(self, refusal: Refusal) -> NotRun {
        NotRun::new(refusal)
    }
}

impl Life<Admitted> {
    /// Advance after the log has shown that the claim of this request is the first of its key.
    pub fn claim(self) -> Life<Claimed> {
        Life { state: Claimed(()) }
    }

    /// Dispatch the request without a claim, which only a repeatable request may do.
    pub fn dispatch(self) -> Life<Dispatched> {
        Life {
            state: Dispatched { claimed: false },
        }
    }

    /// Refuse the request.
    pub fn refuse_not_run(self, refusal: Refusal) -> NotRun {
        NotRun::new(refusal)
    }
}

impl Life<Claimed> {
    /// Dispatch the request.
    pub fn dispatch(self) -> Life<Dispatched> {
        Life {
            state: Dispatched { claimed: true },
        }
    }

    /// Refuse the request. Its claim must be released; since the value is consumed, the request can
    /// no longer be dispatched.
    pub fn refuse_not_run(self, refusal: Refusal) -> NotRun {
        NotRun::new(refusal)
    }
}

/// The state a dispatched request reverts to on a [`NeverStarted`] proof.
#[derive(Debug)]
pub enum Reverted {
    /// The request carried no claim.
    Admitted(Life<Admitted>),
    /// The request still owns its claim.
    Claimed(Life<Claimed>),
}

impl Life<Dispatched> {
    /// Advance after part of the answer was delivered to the caller.
    pub fn stream(self) -> Life<Streaming> {
        Life {
            state: Streaming(()),
        }
    }

    /// Revert to the state before dispatch, given the proof that nothing ran.
    pub fn never_started(self, _proof: NeverStarted) -> Reverted {
        if self.state.claimed {
            Reverted::Claimed(Life { state: Claimed(()) })
        } else {
            Reverted::Admitted(Life {
                state: Admitted(()),
            })
        }
    }
}

/// The state of a request as stored in its table row.
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

/// The outcome that can be reported when the router gives up a request.
#[derive(Debug, PartialEq, Eq)]
pub enum GivenUp {
    /// The request did not run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(Unknown),
}

impl State {
    /// Whether a target may have received at least one byte of the request.
    pub fn is_dispatched(&self) -> bool {
        matches!(self, State::Dispatched(_) | State::Streaming(_))
    }

    /// Give up the request: not run if its state proves that, otherwise with an unknown outcome.
    pub fn give_up(self, refusal: Refusal, unknown: Unknown) -> GivenUp {
        match self {
            State::Received(life) => GivenUp::NotRun(life.refuse_not_run(refusal)),
            State::Admitted(life) => GivenUp::NotRun(life.refuse_not_run(refusal)),
            State::Claimed(life) => GivenUp::NotRun(life.refuse_not_run(refusal)),
            State::Dispatched(_) | State::Streaming(_) => GivenUp::Unknown(unknown),
        }
    }

    /// Dispatch the request. A request that was already dispatched keeps its state.
    pub fn dispatch(self) -> State {
        match self {
            State::Received(life) => State::Dispatched(life.admit().dispatch()),
            State::Admitted(life) => State::Dispatched(life.dispatch()),
            State::Claimed(life) => State::Dispatched(life.dispatch()),
            sent => sent,
        }
    }

    /// Revert a dispatched request on a proof that it never started. A streaming request keeps its
    /// state.
    pub fn never_started(self, proof: NeverStarted) -> State {
        match self {
            State::Dispatched(life) => match life.never_started(proof) {
                Reverted::Admitted(life) => State::Admitted(life),
                Reverted::Claimed(life) => State::Claimed(life),
            },
            other => other,
        }
    }

    /// Advance after part of the answer was delivered to the caller.
    pub fn stream(self) -> State {
        match self {
            State::Dispatched(life) => State::Streaming(life.stream()),
            other => other,
        }
    }
}
