//! Requests that wait in a box, in the order in which they are admitted.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::time::Instant;

/// How much may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Requests.
    pub count: usize,
    /// Bytes of their bodies.
    pub bytes: usize,
}

/// A request that is to wait.
#[derive(Debug, Clone)]
pub struct Entrant {
    /// Its service.
    pub service: Arc<str>,
    /// Whether its caller has had a part of the answer.
    pub is_resumed: bool,
    /// Position of its class, the most urgent first.
    pub position: usize,
    /// Its account.
    pub account: Option<Arc<str>>,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Size of its body.
    pub bytes: usize,
}

/// Place of a request in the queue; the first is the least.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// Resumed streams are first.
    is_new: bool,
    position: usize,
    /// Requests of its account that were before it, so that accounts take turns.
    turn: usize,
    deadline: Instant,
    number: u64,
}

/// The queue has no place for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

/// Requests that wait, each with what `T` wakes it.
#[derive(Debug)]
pub struct Queue<T> {
    bounds: Bounds,
    entries: BTreeMap<Order, (Entrant, T)>,
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

    /// Adds a request. In a full queue it takes the place of requests after it; yields its own place and what wakes those.
    ///
    /// # Errors
    /// [`Full`]: all that wait are before it, or it is larger than what is after it.
    pub fn join(&mut self, entrant: Entrant, waker: T) -> Result<(Order, Vec<T>), Full> {
        let turn = self.turn_of(&entrant);
        self.count += 1;
        let order = Order {
            is_new: !entrant.is_resumed,
            position: entrant.position,
            turn,
            deadline: entrant.deadline,
            number: self.count,
        };
        let replaced = self.replaced_by(&order, entrant.bytes)?;
        let wakers = replaced.iter().filter_map(|order| self.leave(order));
        let wakers = wakers.collect();
        self.bytes += entrant.bytes;
        self.entries.insert(order, (entrant, waker));
        Ok((order, wakers))
    }

    /// Removes a request; yields what wakes it, if it still had its place.
    pub fn leave(&mut self, order: &Order) -> Option<T> {
        let (entrant, waker) = self.entries.remove(order)?;
        self.bytes -= entrant.bytes;
        Some(waker)
    }

    /// Whether a request has its place.
    pub fn has(&self, order: &Order) -> bool {
        self.entries.contains_key(order)
    }

    /// Number of requests for `service` that are before `order`; before a new one at `position` if that is not given.
    pub fn ahead(&self, service: &str, position: usize, order: Option<&Order>) -> usize {
        let is_ahead = |other: &Order| match order {
            Some(order) => other < order,
            None => other.position <= position,
        };
        let each = self.entries.iter();
        each.filter(|(other, (entrant, _))| &*entrant.service == service && is_ahead(other))
            .count()
    }

    /// What wakes the first request for `service`, of those after `after` if that is given.
    pub fn first(&self, service: &str, after: Option<&Order>) -> Option<&T> {
        let mut of_service = self.entries.iter().filter(|(order, (entrant, _))| {
            &*entrant.service == service && after.is_none_or(|after| *order > after)
        });
        of_service.next().map(|(_, (_, waker))| waker)
    }

    /// The services for which requests wait.
    pub fn services(&self) -> Vec<Arc<str>> {
        let each = self.entries.values();
        let mut services: Vec<Arc<str>> =
            each.map(|(entrant, _)| entrant.service.clone()).collect();
        services.sort();
        services.dedup();
        services
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of the bodies that wait.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Requests of the same class and account that wait already.
    fn turn_of(&self, entrant: &Entrant) -> usize {
        let is_like = |other: &&(Entrant, T)| {
            let (other, _) = other;
            other.service == entrant.service
                && other.position == entrant.position
                && other.account == entrant.account
        };
        self.entries.values().filter(is_like).count()
    }

    /// The requests after `order` that have to go for it.
    fn replaced_by(&self, order: &Order, bytes: usize) -> Result<Vec<Order>, Full> {
        let mut replaced = Vec::new();
        let (mut count, mut held) = (self.entries.len(), self.bytes);
        let mut last = self.entries.iter().rev();
        while count >= self.bounds.count || held.saturating_add(bytes) > self.bounds.bytes {
            let Some((later, (entrant, _))) = last.next().filter(|(later, _)| *later > order)
            else {
                return Err(Full);
            };
            replaced.push(*later);
            count -= 1;
            held -= entrant.bytes;
        }
        Ok(replaced)
    }
}
