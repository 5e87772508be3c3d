//! Records which engine ran each layer range for each position, as accepted by the router.
//!
//! Each request has one lineage. A step is identified by `(request, attempt, position)`, and its
//! result is accepted only if it is the awaited one. For each stage and position, the lineage
//! stores the attempt and the engine whose result was accepted, run-length encoded. The ledger kept
//! by an engine must show exactly one forward run for each of these. Runs that only rebuild lost KV
//! are marked as restores by their step and are not part of the lineage.

use crate::declare::Layers;
use crate::ids::TargetKey;

/// A range of positions whose results came from the same engine under the same attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// First position.
    pub from: u32,
    /// One past the last position.
    pub end: u32,
    /// Attempt of the accepted steps.
    pub attempt: u32,
    /// The engine that ran the steps.
    pub target: TargetKey,
    /// The layers of that stage.
    pub layers: Layers,
}

/// The accepted runs of one request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Lineage {
    runs: Vec<Run>,
}

/// An inconsistent lineage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LineageError {
    /// Layer `layer` of position `position` was accepted `times` times instead of once.
    Count {
        /// The position.
        position: u32,
        /// The layer.
        layer: u32,
        /// Number of times it was accepted.
        times: u32,
    },
}

impl Lineage {
    /// Record that the results of `run` were accepted.
    pub fn accept(&mut self, run: Run) {
        let same = self.runs.iter_mut().rev().find(|r| {
            r.end == run.from
                && r.target == run.target
                && r.layers == run.layers
                && r.attempt == run.attempt
        });
        match same {
            Some(last) => last.end = run.end,
            None => self.runs.push(run),
        }
    }

    /// Return the accepted runs, in order of acceptance.
    pub fn runs(&self) -> &[Run] {
        &self.runs
    }

    /// Check that each of `layers` layers was accepted exactly once for each position below `end`.
    ///
    /// # Errors
    /// Returns the first position and layer that was accepted any other number of times.
    pub fn check(&self, layers: u32, end: u32) -> Result<(), LineageError> {
        for position in 0..end {
            for layer in 0..layers {
                let times = self.times(position, layer);
                if times != 1 {
                    return Err(LineageError::Count {
                        position,
                        layer,
                        times,
                    });
                }
            }
        }
        Ok(())
    }

    fn times(&self, position: u32, layer: u32) -> u32 {
        let hit = |r: &&Run| {
            (r.from..r.end).contains(&position) && (r.layers.first..r.layers.end).contains(&layer)
        };
        self.runs.iter().filter(hit).count() as u32
    }
}
