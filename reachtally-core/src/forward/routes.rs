//! The routing table: hosts and path prefixes to services, keys to client accounts.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::forward::cost::LayerModel;

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Any number of times.
    Idempotent,
    /// At most once.
    AtMostOnce,
}

/// What an answer looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// One body.
    Whole,
    /// A series of events with rising ids.
    Events {
        /// Whether another engine may go on after the last event id.
        resumable: bool,
        /// Longest pause between events that keeps the answer in time.
        gap_objective: Option<Duration>,
    },
}

/// One route.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// How often its requests may run.
    pub repeat: Repeat,
    /// What its answers look like.
    pub shape: Shape,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time in which an answer is worth its full value.
    pub objective: Duration,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Services that share its requests, with their weights.
    pub services: Vec<(Arc<str>, u32)>,
    /// Largest number of engines that one request may go to.
    pub max_attempts: u32,
    /// Whether it is served without a key.
    pub public: bool,
}

impl Route {
    /// Whether the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.shape {
            Shape::Events { resumable, .. } => resumable,
            Shape::Whole => self.repeat == Repeat::Idempotent,
        }
    }

    /// Longest pause between events that keeps an answer in time, where the route names one.
    pub fn gap_objective(&self) -> Option<Duration> {
        match self.shape {
            Shape::Events { gap_objective, .. } => gap_objective,
            Shape::Whole => None,
        }
    }

    /// Whether some of its requests go to `service`.
    pub fn serves(&self, service: &str) -> bool {
        self.services.iter().any(|(name, _)| &**name == service)
    }

    /// The service for a request, by weight; `draw` is any well-spread number of the request.
    pub fn service(&self, draw: u64) -> Option<&Arc<str>> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        if total == 0 {
            return self.services.first().map(|(name, _)| name);
        }
        let mut left = draw % total;
        for (name, weight) in &self.services {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(name);
            }
            left -= weight;
        }
        None
    }
}

/// A service as the configuration declares it.
#[derive(Debug, Clone)]
pub struct Service {
    /// Connections that each of its targets accepts from all boxes together.
    pub max_connections: u32,
    /// The layered model its engines run; absent for plain services.
    pub model: Option<Arc<LayerModel>>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time a head may take.
    pub header_timeout: Duration,
    /// Longest time a connection may be at rest.
    pub idle_timeout: Duration,
}

/// A client account's rights.
#[derive(Debug, Clone)]
pub struct Account {
    /// Its name.
    pub name: Arc<str>,
    /// Its rank, which goes before the route's.
    pub priority: Option<u8>,
}

/// Whether requests of routes have keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Keys {
    /// All of them, where accounts are configured.
    Needed,
    /// Some route is served without.
    Optional,
}

/// How urgent a request is; the least is the most urgent. The account's priority goes before the route's, which orders requests of
/// accounts with the same priority, so that a kind of request is not served behind a less urgent one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Urgency {
    /// Priority of its account; that of the route where the account has none.
    pub account: u8,
    /// Priority of its route.
    pub route: u8,
}

impl Urgency {
    /// Urgency of a request on a route with priority `route`, of an account with priority `account` if it has one.
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
    /// Accounts by key. `None`: requests carry no keys.
    accounts: Option<HashMap<Box<str>, Account>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// What callers may send.
    pub limits: Option<CallerLimits>,
    /// Distinct priorities of the routes of each service.
    route_priorities: HashMap<Arc<str>, BTreeMap<u8, Keys>>,
    /// Distinct priorities of accounts; `None` stands for accounts without one.
    account_priorities: BTreeSet<Option<u8>>,
}

/// Why no route took a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// No route fits the host and path.
    NoRoute,
    /// The route needs a key, and the request's is missing or unknown.
    UnknownKey,
}

impl Table {
    /// An empty table of this version.
    pub fn new(version: u64) -> Self {
        Table {
            version,
            ..Table::default()
        }
    }

    /// Add a route; one with the same host and prefix is replaced.
    pub fn add_route(&mut self, host: &str, prefix: &str, route: Route) {
        for (service, _) in &route.services {
            let priorities = self.route_priorities.entry(service.clone()).or_default();
            let keys = priorities.entry(route.priority).or_insert(Keys::Needed);
            if route.public {
                *keys = Keys::Optional;
            }
        }
        let by_prefix = self
            .routes
            .entry(host.to_ascii_lowercase().into())
            .or_default();
        by_prefix.insert(prefix.into(), Arc::new(route));
    }

    /// Require keys from now on, and add one of `account`.
    pub fn add_key(&mut self, key: &str, account: Account) {
        self.account_priorities.insert(account.priority);
        let accounts = self.accounts.get_or_insert_with(HashMap::new);
        accounts.insert(key.into(), account);
    }

    /// Require keys, even if none is known.
    pub fn require_keys(&mut self) {
        self.accounts.get_or_insert_with(HashMap::new);
    }

    /// Returns the distinct urgencies that requests for a service may have, the most urgent first.
    pub fn urgencies(&self, service: &str) -> Vec<Urgency> {
        let routes = self.route_priorities.get(service);
        let of_route = |(route, keys): (&u8, &Keys)| {
            let has_none = self.accounts.is_none() || *keys == Keys::Optional;
            let without = has_none.then_some(None);
            let accounts = self.account_priorities.iter().copied();
            let each = accounts.chain(without);
            each.map(|account| Urgency::new(account, *route))
                .collect::<Vec<Urgency>>()
        };
        let each = routes.into_iter().flatten().flat_map(of_route);
        let distinct: BTreeSet<Urgency> = each.collect();
        distinct.into_iter().collect()
    }

    /// Returns the position of an urgency among those of a service, 0 for the most urgent.
    pub fn rank(&self, service: &str, urgency: Urgency) -> u8 {
        let urgencies = self.urgencies(service);
        let before = urgencies.partition_point(|other| *other < urgency);
        u8::try_from(before).unwrap_or(u8::MAX)
    }

    /// Returns the priority that targets of a service get for a request: that of its account where the service's routes share one
    /// priority, else its rank.
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

    /// The route of the longest prefix that begins `path`, for a `Host` header's value.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let by_prefix = match self.routes.get(name) {
            Some(found) => found,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.filter_map(|end| by_prefix.get(&path[..end])).next()
    }

    /// The shortest objective of the routes that lead to a service; `None` if none does.
    pub fn shortest_objective(&self, service: &str) -> Option<Duration> {
        let routes = self.routes.values().flat_map(HashMap::values);
        let of_service = routes.filter(|route| route.serves(service));
        of_service.map(|route| route.objective).min()
    }

    /// Whether requests carry keys.
    pub fn has_keys(&self) -> bool {
        self.accounts.is_some()
    }

    /// Names of the accounts; an account with several keys comes several times.
    pub fn account_names(&self) -> impl Iterator<Item = &Arc<str>> {
        let accounts = self.accounts.iter().flat_map(HashMap::values);
        accounts.map(|account| &account.name)
    }

    /// The account of a request on `route` with this key; `None` if it needs none and has none.
    ///
    /// # Errors
    /// [`Denied::UnknownKey`].
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
