//! What the listeners may know of the world, published by the task that owns it.

use std::collections::BTreeMap;
use std::sync::Arc;

use reachtally_config::keys;
use reachtally_core::World;
use reachtally_core::declare::{Account, Kind, Object};

/// Whether the daemon can serve, and if not, why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Readiness {
    /// It serves.
    Ready,
    /// It has not read the configuration yet.
    NoConfig,
    /// It is stopping.
    Stopping,
}

/// A snapshot for the listeners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Whether the daemon can serve.
    pub readiness: Readiness,
    /// Whether requests with an idempotency key are taken.
    pub claims_ready: bool,
    /// The configuration offset reached, the number of records folded.
    pub config_next: u64,
    /// Client accounts by name.
    pub accounts: Arc<BTreeMap<String, Account>>,
}

impl View {
    /// A view before anything was read.
    pub fn empty() -> Self {
        View {
            readiness: Readiness::NoConfig,
            claims_ready: false,
            config_next: 0,
            accounts: Arc::default(),
        }
    }

    /// The view of `world`.
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

    /// The account that a key belongs to. Every stored hash is compared, so the time taken does not
    /// tell which one fits.
    pub fn account_of_key(&self, key: &str) -> Option<&Account> {
        let hash = keys::hash(key);
        let fits = |account: &&Account| {
            keys::matches(&hash, account.key_hashes.iter().map(String::as_str))
        };
        let found: Vec<&Account> = self.accounts.values().filter(fits).collect();
        found.first().copied()
    }
}
