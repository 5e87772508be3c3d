//! The routing table, which maps hosts and path prefixes to services and keys to client accounts.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::forward::cost::LayerModel;

/// How often a request of a route may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// Any number of times.
    Idempotent,
    /// At most once.
    AtMostOnce,
}

/// The form of a route's answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseShape {
    /// A single body.
    Whole,
    /// A stream of events with increasing ids.
    Events {
        /// Whether another engine may continue after the last event id.
        resumable: bool,
        /// Longest pause between events within the objective.
        gap_objective: Option<Duration>,
    },
}

/// A route.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// How often its requests may be executed.
    pub repeat: RepeatPolicy,
    /// The form of its answers.
    pub shape: ResponseShape,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that its requests are split between, with their weights.
    pub services: Vec<(Arc<str>, u32)>,
    /// Maximum number of engines that a request may be sent to.
    pub max_attempts: u32,
    /// Whether it accepts requests without a key.
    pub public: bool,
}

impl Route {
    /// Whether a request may be executed more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.shape {
            ResponseShape::Events { resumable, .. } => resumable,
            ResponseShape::Whole => self.repeat == RepeatPolicy::Idempotent,
        }
    }

    /// Longest pause between events within the objective, if the route sets one.
    pub fn gap_objective(&self) -> Option<Duration> {
        match self.shape {
            ResponseShape::Events { gap_objective, .. } => gap_objective,
            ResponseShape::Whole => None,
        }
    }

    /// Whether some of its requests go to `service`.
    pub fn serves(&self, service: &str) -> bool {
        self.services.iter().any(|(name, _)| &**name == service)
    }

    /// Selects the service for a request by weight; `draw` is any uniformly distributed number
    /// derived from the request.
    pub fn service(&self, draw: u64) -> Option<&Arc<str>> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        if total == 0 {
            return self.services.first().map(|(name, _)| name);
        }
        let mut remaining = draw % total;
        for (name, weight) in &self.services {
            let weight = u64::from(*weight);
            if remaining < weight {
                return Some(name);
            }
            remaining -= weight;
        }
        None
    }
}

/// A service as declared in the configuration.
#[derive(Debug, Clone)]
pub struct Service {
    /// Maximum number of connections to each of its targets from all boxes together.
    pub max_connections: u32,
    /// Path at which each of its targets answers whether it is well.
    pub health_path: Arc<str>,
    /// The layered model its engines run; `None` for plain services.
    pub model: Option<Arc<LayerModel>>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Maximum time for receiving a head.
    pub header_timeout: Duration,
    /// Maximum time a connection may be idle.
    pub idle_timeout: Duration,
}

/// A client account.
#[derive(Debug, Clone)]
pub struct Account {
    /// Its name.
    pub name: Arc<str>,
    /// Its priority, which takes precedence over the route's.
    pub priority: Option<u8>,
}

/// Whether requests of a service's routes require keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KeyRequirement {
    /// All routes require a key, if accounts are configured.
    Required,
    /// Some route accepts requests without a key.
    Optional,
}

/// The urgency of a request; the smallest is the most urgent. The account's priority comes first.
/// The route's priority orders requests of accounts with the same priority, so that a request is
/// not served behind a less urgent kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Urgency {
    /// Priority of its account, or of its route if the account has none.
    pub account: u8,
    /// Priority of its route.
    pub route: u8,
}

impl Urgency {
    /// Returns the urgency of a request on a route with priority `route`, of an account with
    /// priority `account` if it has one.
    pub fn new(account: Option<u8>, route: u8) -> Self {
        Urgency {
            account: account.unwrap_or(route),
            route,
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Its version; later ones are larger.
    pub version: u64,
    /// Routes by host, then by prefix.
    routes: HashMap<Box<str>, HashMap<Box<str>, Arc<Route>>>,
    /// Accounts by key; `None` if requests carry no keys.
    accounts: Option<HashMap<Box<str>, Account>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Limits on what callers may send.
    pub limits: Option<CallerLimits>,
    /// Distinct priorities of the routes of each service.
    route_priorities: HashMap<Arc<str>, BTreeMap<u8, KeyRequirement>>,
    /// Distinct priorities of accounts; `None` stands for accounts without one.
    account_priorities: BTreeSet<Option<u8>>,
}

/// Reason why no route accepted a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// No route matches the host and path.
    NoRoute,
    /// The route requires a key, and the one sent is missing or unknown.
    UnknownKey,
}

impl Table {
    /// Creates an empty table of this version.
    pub fn new(version: u64) -> Self {
        Table {
            version,
            ..Table::default()
        }
    }

    /// Adds a route; replaces one with the same host and prefix.
    pub fn add_route(&mut self, host: &str, prefix: &str, route: Route) {
        for (service, _) in &route.services {
            let priorities = self.route_priorities.entry(service.clone()).or_default();
            let requirement = priorities
                .entry(route.priority)
                .or_insert(KeyRequirement::Required);
            if route.public {
                *requirement = KeyRequirement::Optional;
            }
        }
        let by_prefix = self
            .routes
            .entry(host.to_ascii_lowercase().into())
            .or_default();
        by_prefix.insert(prefix.into(), Arc::new(route));
    }

    /// Adds a key of `account`; requests require keys from then on.
    pub fn add_key(&mut self, key: &str, account: Account) {
        self.account_priorities.insert(account.priority);
        let accounts = self.accounts.get_or_insert_with(HashMap::new);
        accounts.insert(key.into(), account);
    }

    /// Requires keys, even if none is known.
    pub fn require_keys(&mut self) {
        self.accounts.get_or_insert_with(HashMap::new);
    }

    /// Returns the distinct urgencies that requests for a service may have, most urgent first.
    pub fn urgencies(&self, service: &str) -> Vec<Urgency> {
        let routes = self.route_priorities.get(service);
        let of_route = |(route, requirement): (&u8, &KeyRequirement)| {
            let may_lack_account =
                self.accounts.is_none() || *requirement == KeyRequirement::Optional;
            let without = may_lack_account.then_some(None);
            let accounts = self.account_priorities.iter().copied();
            let each = accounts.chain(without);
            each.map(|account| Urgency::new(account, *route))
                .collect::<Vec<Urgency>>()
        };
        let each = routes.into_iter().flatten().flat_map(of_route);
        let distinct: BTreeSet<Urgency> = each.collect();
        distinct.into_iter().collect()
    }

    /// Returns the position of an urgency among those of a service; 0 is the most urgent.
    pub fn rank(&self, service: &str, urgency: Urgency) -> u8 {
        let urgencies = self.urgencies(service);
        let before = urgencies.partition_point(|other| *other < urgency);
        u8::try_from(before).unwrap_or(u8::MAX)
    }

    /// Returns the priority that is passed to targets of a service for a request: that of its
    /// account if all routes of the service share one priority, else its rank.
    pub fn priority(&self, service: &str, urgency: Urgency) -> u8 {
        let routes = self.route_priorities.get(service);
        match routes.is_some_and(|routes| routes.len() > 1) {
            true => self.rank(service, urgency),
            false => urgency.account,
        }
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }

    /// Returns the route with the longest prefix of `path`, for the value of a `Host` header.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let by_prefix = match self.routes.get(name) {
            Some(found) => found,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        let prefix_ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        prefix_ends
            .filter_map(|end| by_prefix.get(&path[..end]))
            .next()
    }

    /// Returns the shortest objective of the routes that lead to a service; `None` if there is
    /// none.
    pub fn shortest_objective(&self, service: &str) -> Option<Duration> {
        let routes = self.routes.values().flat_map(HashMap::values);
        let of_service = routes.filter(|route| route.serves(service));
        of_service.map(|route| route.objective).min()
    }

    /// Whether requests carry keys.
    pub fn has_keys(&self) -> bool {
        self.accounts.is_some()
    }

    /// Names of the accounts; an account with several keys is repeated.
    pub fn account_names(&self) -> impl Iterator<Item = &Arc<str>> {
        let accounts = self.accounts.iter().flat_map(HashMap::values);
        accounts.map(|account| &account.name)
    }

    /// Returns the account of a request on `route` with this key; `None` if it needs no account and
    /// has none.
    ///
    /// # Errors
    /// [`Denied::UnknownKey`] if the route requires a key and this one is missing or unknown.
    pub fn account(&self, route: &Route, key: Option<&str>) -> Result<Option<Account>, Denied> {
        let Some(accounts) = &self.accounts else {
            return Ok(None);
        };
        let account = key.and_then(|key| accounts.get(key));
        if account.is_none() && !route.public {
            return Err(Denied::UnknownKey);
        }
        Ok(account.cloned())
    }
}
