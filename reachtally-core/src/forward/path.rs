//! The path of a request: a chain of engines that is checked to run every layer once and in order.

use std::net::SocketAddr;

use crate::forward::cost::Layers;
use crate::forward::fleet::EngineKey;

/// Maximum number of parts that engines accept in a path.
pub const MAX_PATH_PARTS: usize = 32;

/// The part of a path that one engine runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The row of the engine.
    pub engine: EngineKey,
    /// The address on which the engine listens.
    pub address: SocketAddr,
    /// The layers that the engine runs, possibly fewer than it holds.
    pub layers: Layers,
}

/// Why a list of parts is not a valid path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathError {
    /// The list is empty.
    Empty,
    /// There are more parts than engines accept.
    TooLong,
    /// A part is empty or does not start where the previous one ended.
    Discontinuous {
        /// The expected first layer of the part.
        at: u32,
    },
    /// The last part does not end at the last layer of the model.
    Incomplete {
        /// The end of the last part.
        end: u32,
    },
    /// An engine occurs more than once.
    DuplicateEngine,
}

/// Engines that together run each layer of a model once, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Path {
    parts: Vec<Part>,
}

impl Path {
    /// Checks that `parts` run the layers `0..layers` once and in order.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn try_new(parts: Vec<Part>, layers: u32) -> Result<Path, PathError> {
        if parts.is_empty() {
            return Err(PathError::Empty);
        }
        if parts.len() > MAX_PATH_PARTS {
            return Err(PathError::TooLong);
        }
        let mut at = 0;
        for (index, part) in parts.iter().enumerate() {
            if part.layers.start != at || part.layers.is_empty() {
                return Err(PathError::Discontinuous { at });
            }
            if parts[..index]
                .iter()
                .any(|other| other.engine == part.engine)
            {
                return Err(PathError::DuplicateEngine);
            }
            at = part.layers.end;
        }
        if at != layers {
            return Err(PathError::Incomplete { end: at });
        }
        Ok(Path { parts })
    }

    /// Returns the parts, in order.
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Returns the part on the engine to which the request is sent.
    pub fn first(&self) -> &Part {
        &self.parts[0]
    }

    /// Returns the engines, in order.
    pub fn engines(&self) -> Vec<EngineKey> {
        self.parts.iter().map(|part| part.engine).collect()
    }
}
