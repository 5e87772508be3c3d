//! A chain of engines for one request, proved to run every layer once and in order.

use std::net::SocketAddr;

use crate::forward::cost::Layers;
use crate::forward::fleet::EngineKey;

/// Most parts of a path that engines accept.
pub const MOST_PARTS: usize = 32;

/// One engine's part of a path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The engine.
    pub engine: EngineKey,
    /// Where it listens.
    pub address: SocketAddr,
    /// The layers it runs, which may be fewer than it holds.
    pub layers: Layers,
}

/// Why parts do not form a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotAPath {
    /// There are no parts.
    Empty,
    /// There are more parts than engines accept.
    TooLong,
    /// A part begins elsewhere than the one before ended, or is empty.
    Broken {
        /// The layer at which it should have begun.
        at: u32,
    },
    /// The last part ends before or after the model does.
    Incomplete {
        /// Where it ends.
        end: u32,
    },
    /// An engine stands in it twice.
    Repeated,
}

/// Engines that together run each layer of a model once, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Path {
    parts: Vec<Part>,
}

impl Path {
    /// Prove that `parts` run the layers `0..layers` once and in order.
    ///
    /// # Errors
    /// What is wrong with them.
    pub fn prove(parts: Vec<Part>, layers: u32) -> Result<Path, NotAPath> {
        if parts.is_empty() {
            return Err(NotAPath::Empty);
        }
        if parts.len() > MOST_PARTS {
            return Err(NotAPath::TooLong);
        }
        let mut at = 0;
        for (index, part) in parts.iter().enumerate() {
            if part.layers.start != at || part.layers.is_empty() {
                return Err(NotAPath::Broken { at });
            }
            if parts[..index]
                .iter()
                .any(|other| other.engine == part.engine)
            {
                return Err(NotAPath::Repeated);
            }
            at = part.layers.end;
        }
        if at != layers {
            return Err(NotAPath::Incomplete { end: at });
        }
        Ok(Path { parts })
    }

    /// Its parts, in order.
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// The engine that the request is sent to.
    pub fn first(&self) -> &Part {
        &self.parts[0]
    }

    /// Its engines, in order.
    pub fn engines(&self) -> Vec<EngineKey> {
        self.parts.iter().map(|part| part.engine).collect()
    }
}
