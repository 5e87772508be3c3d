//! The runs that have a request, and how strongly a crash of each would speak against it.

use reachtally_core::Instant;
use reachtally_core::forward::fleet::EngineKey;
use reachtally_core::forward::quarantine::{RunProgress, Weight};

use crate::exchange::{self, Recipient};
use crate::relay::Relay;

/// How far the answer to a request was when it was interrupted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerProgress {
    /// When the head arrived, if it did.
    pub head_at: Option<Instant>,
    /// Number of whole events.
    pub events: u64,
}

impl AnswerProgress {
    /// Nothing has arrived.
    pub const NONE: AnswerProgress = AnswerProgress {
        head_at: None,
        events: 0,
    };
}

/// The weights of a crash against a request and the parts of its prompt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Weights {
    pub request: Option<Weight>,
    pub parts: Option<Weight>,
}

impl Weights {
    fn of(progress: RunProgress) -> Option<Self> {
        let weights = Weights {
            request: progress.request_weight(),
            parts: progress.part_weight(),
        };
        (weights.request.is_some() || weights.parts.is_some()).then_some(weights)
    }
}

/// The runs that have a request, in the order of their path.
#[derive(Debug, Clone, Default)]
pub(crate) struct AssignedRuns {
    /// Each with the time since which it has the request.
    runs: Vec<(Recipient, Instant)>,
    /// When an interruption by these runs was last registered.
    pub(super) registered_at: Option<Instant>,
}

impl AssignedRuns {
    /// Returns the runs in these rows.
    pub fn new(relay: &Relay, engines: &[EngineKey]) -> Self {
        let mut assigned = AssignedRuns::default();
        assigned.move_to(relay, engines);
        assigned
    }

    /// Moves the request to the runs in these rows. Those that had it before have had it since then.
    pub fn move_to(&mut self, relay: &Relay, engines: &[EngineKey]) {
        let now = relay.now();
        let since = |key: EngineKey| {
            let mut before = self.runs.iter();
            let before = before.find(|(run, _)| run.key == key);
            before.map_or(now, |(_, since)| *since)
        };
        let run = |key: &EngineKey| Some((exchange::recipient(relay, *key).ok()?, since(*key)));
        self.runs = engines.iter().filter_map(run).collect();
        self.registered_at = None;
    }

    /// Returns those runs whose crash would be evidence, with its weights.
    pub(super) fn candidates(&self, progress: AnswerProgress, now: Instant) -> Vec<Candidate> {
        let candidate = |(position, (run, since)): (usize, &(Recipient, Instant))| {
            let begun_at = progress.head_at.map(|head_at| head_at.max(*since));
            let weights = Weights::of(RunProgress {
                is_first: position == 0,
                begun_for: begun_at.map(|at| now.since(at)),
                events: progress.events,
            });
            Some(Candidate {
                run: run.clone(),
                weights: weights?,
            })
        };
        self.runs.iter().enumerate().filter_map(candidate).collect()
    }

    /// Returns the run that received the request from this box.
    pub(super) fn first(&self) -> Option<&Recipient> {
        self.runs.first().map(|(run, _)| run)
    }

    /// Returns the ids of the targets, for the log.
    pub(super) fn names(&self) -> String {
        let names = self.runs.iter().map(|(run, _)| &*run.run.id);
        names.collect::<Vec<&str>>().join(",")
    }
}

/// A run that may have ended under a request.
#[derive(Debug)]
pub(super) struct Candidate {
    pub run: Recipient,
    pub weights: Weights,
}
