//! The objects that operators declare: models, adapters, engines, services and accounts.
//!
//! They are the bodies of configuration records in the platform's log and of the YAML files that
//! operators apply. Units are part of the field names.

use serde::{Deserialize, Serialize};

/// The kind of a declared object. Kind and name together identify an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model with a number of layers.
    Model,
    /// An adapter of a model.
    Adapter,
    /// An engine that holds a layer range of a model.
    Engine,
    /// A plain service.
    Service,
    /// A client account.
    Account,
}

/// Half-open range of layers, `first..end`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Layers {
    /// The first layer.
    pub first: u32,
    /// One past the last layer.
    pub end: u32,
}

impl Layers {
    /// The number of layers in the range.
    pub fn count(self) -> u32 {
        self.end.saturating_sub(self.first)
    }
}

impl std::fmt::Display for Layers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}..{}", self.first, self.end)
    }
}

/// A model served by chains of engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// The name used by callers.
    pub name: String,
    /// Number of layers; a chain covers `0..layers`.
    pub layers: u32,
}

/// An adapter of a model. Callers specify its name instead of that of the model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// The name used by callers.
    pub name: String,
    /// The model it applies to.
    pub model: String,
}

/// An engine: a target that holds a layer range of one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Unique name.
    pub name: String,
    /// The box it runs on, by its name in the live list.
    #[serde(rename = "box")]
    pub box_name: String,
    /// The failure domain of that box.
    pub domain: String,
    /// Base address, `http://ip:port`.
    pub url: String,
    /// The model it serves.
    pub model: String,
    /// The layer range it holds.
    pub layers: Layers,
    /// Number of requests it can decode concurrently.
    pub slots: u32,
    /// Whether it rejects orders with an outdated fence.
    #[serde(default)]
    pub checks_fence: bool,
}

/// A plain service, that is, one that is not an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name used in `/services/<name>/...`.
    pub name: String,
    /// Base addresses of its instances.
    pub urls: Vec<String>,
    /// Whether a call may be retried when its outcome is unknown.
    pub repeatable: bool,
    /// Whether the service itself executes a call only once per idempotency key.
    #[serde(default)]
    pub deduplicates: bool,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Unique name.
    pub name: String,
    /// SHA-256 hashes of the valid API keys, in lower-case hex. The keys themselves are never
    /// stored.
    pub key_hashes: Vec<String>,
    /// Models the account may use.
    pub models: Vec<String>,
    /// Adapters the account may use.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Services the account may call.
    #[serde(default)]
    pub services: Vec<String>,
    /// Maximum number of running requests per entry box.
    pub max_running: u32,
    /// Priority of its steps at engines; higher values run first.
    #[serde(default)]
    pub priority: u32,
}

/// A declared object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Object {
    /// See [`Model`].
    Model(Model),
    /// See [`Adapter`].
    Adapter(Adapter),
    /// See [`Engine`].
    Engine(Engine),
    /// See [`Service`].
    Service(Service),
    /// See [`Account`].
    Account(Account),
}

impl Object {
    /// The kind of this object.
    pub fn kind(&self) -> Kind {
        match self {
            Object::Model(_) => Kind::Model,
            Object::Adapter(_) => Kind::Adapter,
            Object::Engine(_) => Kind::Engine,
            Object::Service(_) => Kind::Service,
            Object::Account(_) => Kind::Account,
        }
    }

    /// The name of this object, unique within its kind.
    pub fn name(&self) -> &str {
        match self {
            Object::Model(o) => &o.name,
            Object::Adapter(o) => &o.name,
            Object::Engine(o) => &o.name,
            Object::Service(o) => &o.name,
            Object::Account(o) => &o.name,
        }
    }
}
