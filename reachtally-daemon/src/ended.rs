//! Summaries of ended requests for operators and benchmarks.

use reachtally_core::World;
use reachtally_core::declare::Layers;
use reachtally_core::effect::{Completed, Finish};
use reachtally_core::ids::RequestId;
use reachtally_core::lineage::Lineage;
use serde::Serialize;

/// A range of positions accepted from one engine in one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AcceptedRun {
    /// Name of the engine.
    pub target: String,
    /// The layers it ran.
    pub layers: Layers,
    /// First position.
    pub from: u32,
    /// One past the last position.
    pub end: u32,
    /// Number of the attempt.
    pub attempt: u32,
}

/// Summary of an ended request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Ended {
    /// Id of the request.
    pub id: RequestId,
    /// `completed`, `not-run`, `unknown` or `abandoned`.
    pub outcome: &'static str,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
    /// Number of the last attempt.
    pub attempts: u32,
    /// The ranges accepted from each engine.
    pub accepted: Vec<AcceptedRun>,
}

impl Ended {
    /// Number of positions that every layer must have processed. The last generated token is never an
    /// input.
    pub fn positions(&self) -> u32 {
        (self.prompt_tokens + self.completion_tokens).saturating_sub(1)
    }
}

/// Summarizes how a request ended. Engines are stored by name, since their rows may be removed.
pub fn describe(world: &World, id: RequestId, finish: &Finish) -> Ended {
    let mut ended = Ended {
        id,
        outcome: "unknown",
        prompt_tokens: 0,
        completion_tokens: 0,
        attempts: 0,
        accepted: Vec::new(),
    };
    match finish {
        Finish::Completed(completed) => {
            ended.outcome = "completed";
            if let Completed::Completion(end) = completed {
                ended.prompt_tokens = end.prompt_tokens;
                ended.completion_tokens = end.completion_tokens;
                ended.attempts = end.attempts;
                ended.accepted = accepted(world, &end.lineage);
            }
        }
        Finish::NotRun(_) => ended.outcome = "not-run",
        Finish::Unknown(_) => {}
        Finish::Abandoned => ended.outcome = "abandoned",
    }
    ended
}

fn accepted(world: &World, lineage: &Lineage) -> Vec<AcceptedRun> {
    let named = lineage.runs().iter().map(|run| AcceptedRun {
        target: world
            .targets
            .get(run.target)
            .map_or_else(String::new, |target| target.name.clone()),
        layers: run.layers,
        from: run.from,
        end: run.end,
        attempt: run.attempt,
    });
    named.collect()
}
