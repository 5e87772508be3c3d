//! Read-only view of the world for the listeners, published by the actor.

use std::collections::BTreeMap;
use std::sync::Arc;

use reachtally_config::keys;
use reachtally_core::World;
use reachtally_core::declare::{Account, Kind, Object};

/// Readiness of the daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Readiness {
    /// The daemon serves requests.
    Ready,
    /// The configuration has not been read yet.
    NoConfig,
    /// The daemon is shutting down.
    Stopping,
}

/// A snapshot of the world for the listeners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Readiness of the daemon.
    pub readiness: Readiness,
    /// Whether requests with an idempotency key are accepted.
    pub claims_ready: bool,
    /// Next configuration offset: the number of records folded so far.
    pub config_next: u64,
    /// Client accounts by name.
    pub accounts: Arc<BTreeMap<String, Account>>,
}

impl View {
    /// The view before any configuration has been read.
    pub fn empty() -> Self {
        View {
            readiness: Readiness::NoConfig,
            claims_ready: false,
            config_next: 0,
            accounts: Arc::default(),
        }
    }

    /// Takes a snapshot of `world`.
    pub fn of(world: &World, readiness: Readiness) -> Self {
        let accounts = world.config.of(Kind::Account).filter_map(|(name, entry)| {
            let Object::Account(account) = &entry.object else {
                return None;
            };
            Some((name.to_owned(), account.clone()))
        });
        View {
            readiness,
            claims_ready: world.claims_ready(),
            config_next: world.config.next(),
            accounts: Arc::new(accounts.collect()),
        }
    }

    /// Returns the account that a key belongs to. Compares the key with all stored hashes, so that the
    /// time taken does not reveal which one matches.
    pub fn account_for_key(&self, key: &str) -> Option<&Account> {
        let hash = keys::hash(key);
        let matches = |account: &&Account| {
            keys::matches(&hash, account.key_hashes.iter().map(String::as_str))
        };
        let found: Vec<&Account> = self.accounts.values().filter(matches).collect();
        found.first().copied()
    }
}
