//! Requests queued in a box, in admission order.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::time::Instant;

/// Limits of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of requests.
    pub count: usize,
    /// Maximum total size of their bodies, in bytes.
    pub bytes: usize,
}

/// A request to be queued.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// The service of the request.
    pub service: Arc<str>,
    /// Whether the caller has already received part of the answer.
    pub is_resumed: bool,
    /// Index of the request's class, most urgent first.
    pub position: usize,
    /// The account of the caller.
    pub account: Option<Arc<str>>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Size of the body, in bytes.
    pub bytes: usize,
}

/// Position of a request in the queue; the smallest is first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// False for resumed streams, which are first.
    is_new: bool,
    position: usize,
    /// Number of requests of the same account queued before, so that accounts take turns.
    turn: usize,
    deadline: Instant,
    number: u64,
}

/// The queue has no place for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

/// Queued requests, each with a value `T` that wakes it.
#[derive(Debug)]
pub struct Queue<T> {
    bounds: Bounds,
    entries: BTreeMap<QueuePosition, (QueuedRequest, T)>,
    bytes: usize,
    count: u64,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(bounds: Bounds) -> Self {
        Queue {
            bounds,
            entries: BTreeMap::new(),
            bytes: 0,
            count: 0,
        }
    }

    /// Adds a request. In a full queue it evicts requests behind it. Returns its position and the
    /// wakers of evicted requests.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] if all queued requests are ahead of it, or if evicting those behind it does
    /// not free enough space.
    pub fn join(
        &mut self,
        entrant: QueuedRequest,
        waker: T,
    ) -> Result<(QueuePosition, Vec<T>), QueueFull> {
        let turn = self.count_like(&entrant);
        self.count += 1;
        let order = QueuePosition {
            is_new: !entrant.is_resumed,
            position: entrant.position,
            turn,
            deadline: entrant.deadline,
            number: self.count,
        };
        let evicted = self.evicted_by(&order, entrant.bytes)?;
        let wakers = evicted.iter().filter_map(|order| self.leave(order));
        let wakers = wakers.collect();
        self.bytes += entrant.bytes;
        self.entries.insert(order, (entrant, waker));
        Ok((order, wakers))
    }

    /// Removes a request and returns its waker if it was still queued.
    pub fn leave(&mut self, order: &QueuePosition) -> Option<T> {
        let (entrant, waker) = self.entries.remove(order)?;
        self.bytes -= entrant.bytes;
        Some(waker)
    }

    /// Whether a request is still queued.
    pub fn has(&self, order: &QueuePosition) -> bool {
        self.entries.contains_key(order)
    }

    /// Returns the number of requests for `service` ahead of `order`, or ahead of a new request
    /// with class index `position` if `order` is `None`.
    pub fn ahead(&self, service: &str, position: usize, order: Option<&QueuePosition>) -> usize {
        let is_ahead = |other: &QueuePosition| match order {
            Some(order) => other < order,
            None => other.position <= position,
        };
        let each = self.entries.iter();
        each.filter(|(other, (entrant, _))| &*entrant.service == service && is_ahead(other))
            .count()
    }

    /// Returns the waker of the first request for `service`, only considering those behind `after`
    /// if given.
    pub fn first(&self, service: &str, after: Option<&QueuePosition>) -> Option<&T> {
        let mut of_service = self.entries.iter().filter(|(order, (entrant, _))| {
            &*entrant.service == service && after.is_none_or(|after| *order > after)
        });
        of_service.next().map(|(_, (_, waker))| waker)
    }

    /// Returns the services with queued requests.
    pub fn services(&self) -> Vec<Arc<str>> {
        let each = self.entries.values();
        let mut services: Vec<Arc<str>> =
            each.map(|(entrant, _)| entrant.service.clone()).collect();
        services.sort();
        services.dedup();
        services
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the queued bodies, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of queued requests of the same service, class and account.
    fn count_like(&self, entrant: &QueuedRequest) -> usize {
        let is_same_class = |other: &&(QueuedRequest, T)| {
            let (other, _) = other;
            other.service == entrant.service
                && other.position == entrant.position
                && other.account == entrant.account
        };
        self.entries.values().filter(is_same_class).count()
    }

    /// Returns the requests behind `order` that must be evicted to make room for it.
    fn evicted_by(
        &self,
        order: &QueuePosition,
        bytes: usize,
    ) -> Result<Vec<QueuePosition>, QueueFull> {
        let mut evicted = Vec::new();
        let (mut count, mut held) = (self.entries.len(), self.bytes);
        let mut last = self.entries.iter().rev();
        while count >= self.bounds.count || held.saturating_add(bytes) > self.bounds.bytes {
            let Some((later, (entrant, _))) = last.next().filter(|(later, _)| *later > order)
            else {
                return Err(QueueFull);
            };
            evicted.push(*later);
            count -= 1;
            held -= entrant.bytes;
        }
        Ok(evicted)
    }
}
