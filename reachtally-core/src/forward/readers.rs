//! Selection of the boxes that read the store on behalf of others, and of the one that a box asks.

use std::cmp::Reverse;
use std::net::IpAddr;

use crate::forward::peers::{Member, domains};
use crate::ids::Incarnation;

/// Readers per failure domain: the boxes with the fastest links, since a reader sends each new
/// configuration to all others, and the lowest addresses among equals. With three, a box detects
/// after 1.7 s that all its readers are cut off; losing all three at once is rare.
const READERS_PER_DOMAIN: usize = 3;

/// Maximum number of boxes of a failure domain in the group: the readers and some boxes that
/// replaced one which has returned. Boxes outside the group cause no load on the store.
const MAX_MEMBERS: usize = READERS_PER_DOMAIN + 2;

/// Where this box gets the configuration and the targets from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadSource {
    /// The store.
    Store,
    /// Another box.
    Box(IpAddr),
    /// No source at present; those that failed are asked again after a short time.
    Unavailable,
}

/// The group as seen by this box.
#[derive(Debug, Clone, Copy)]
pub struct GroupView<'a> {
    /// The boxes of the group; this one may be missing.
    pub members: &'a [Member],
    /// The failure domain of this box.
    pub home: &'a str,
    /// The run of this box.
    pub run: Incarnation,
    /// The address of this box.
    pub ip: IpAddr,
    /// Boxes that may be asked before the group is known.
    pub seeds: &'a [IpAddr],
    /// Boxes that recently did not answer.
    pub avoid: &'a [IpAddr],
    /// Boxes that recently answered with outdated data.
    pub stale: &'a [IpAddr],
    /// Boxes to ask after all readers; empty unless this box's own reads of the store fail. They
    /// may reach the store, or boxes that do.
    pub contacts: &'a [IpAddr],
    /// Whether this box has just started, so that others may have too.
    pub has_just_started: bool,
    /// Whether a reader may keep reading the store itself: what it holds is recent enough, or it reaches
    /// the store as far as it knows and has not read a configuration and the targets yet.
    pub is_store_current: bool,
}

impl<'a> GroupView<'a> {
    /// Returns the members of a failure domain in the order in which they are asked. After a
    /// restart the group lists both runs of a box for a while; the box counts once.
    fn members_of(&self, domain: &str) -> Vec<&'a Member> {
        let mut members: Vec<&Member> = self
            .members
            .iter()
            .filter(|member| member.domain == domain)
            .collect();
        members.sort_by_key(|member| (Reverse(member.link_mbps), member.ip));
        members.dedup_by_key(|member| member.ip);
        members
    }

    /// Returns the readers of a failure domain in the order in which they are asked.
    fn readers(&self, domain: &str) -> Vec<&'a Member> {
        let mut members = self.members_of(domain);
        members.truncate(READERS_PER_DOMAIN);
        members
    }

    /// Whether this box is a reader of its failure domain.
    pub fn is_reader(&self) -> bool {
        let readers = self.readers(self.home);
        readers.iter().any(|member| self.is_self(member))
    }

    /// Whether the group lists this box, or an earlier run whose place it should take.
    pub fn is_listed(&self) -> bool {
        self.members.iter().any(|member| self.is_self(member))
    }

    /// Whether this box should leave the group because it has enough other members of its failure
    /// domain.
    pub fn is_surplus(&self) -> bool {
        let members = self.members_of(self.home);
        let rank = members.iter().position(|member| self.is_self(member));
        rank.is_some_and(|rank| rank >= MAX_MEMBERS)
    }

    /// Number of readers that the failure domain of this box lacks.
    pub fn missing_readers(&self) -> usize {
        READERS_PER_DOMAIN.saturating_sub(self.members_of(self.home).len())
    }

    /// Returns the probability from 0 to 1 with which each box outside the group should join it
    /// now, out of `boxes` boxes in total, so that about as many join as are missing.
    pub fn join_probability(&self, boxes: u32) -> f64 {
        let domain_count = domains(self.members).len().max(1) as f64;
        let local_boxes = f64::from(boxes.max(1)) / domain_count;
        self.missing_readers() as f64 / local_boxes
    }

    /// Whether a member is this box, or an earlier run of it that the group has not removed yet.
    fn is_self(&self, member: &Member) -> bool {
        member.run == self.run || member.ip == self.ip
    }

    fn is_usable(&self, member: &Member) -> bool {
        let ip = member.ip;
        !self.is_self(member) && !self.avoid.contains(&ip) && !self.stale.contains(&ip)
    }

    /// Whether this box is the first reader of its failure domain.
    pub fn is_first(&self) -> bool {
        let readers = self.readers(self.home);
        readers.first().is_none_or(|first| self.is_self(first))
    }

    /// Whether this box is a reader of its failure domain, and no reader that precedes it is known to answer.
    pub fn is_leading_reader(&self) -> bool {
        let readers = self.readers(self.home);
        let mut answering = readers
            .into_iter()
            .filter(|member| self.is_self(member) || !self.avoid.contains(&member.ip));
        answering.next().is_some_and(|first| self.is_self(first))
    }

    /// Selects the next source: a reader that precedes this box; else, for a reader, the store as
    /// long as that works; else any other reader, those of this failure domain before those of
    /// others.
    ///
    /// Other boxes get the store as their source only if no other box answers at all, and read it in
    /// turns. While the store is unavailable, readers answer with no new data and the other boxes wait
    /// for them. This protects the store from a call by every box when it returns.
    pub fn origin(&self) -> ReadSource {
        let local = self.readers(self.home);
        let before = local.iter().take_while(|member| !self.is_self(member));
        if let Some(reader) = before.copied().find(|member| self.is_usable(member)) {
            return ReadSource::Box(reader.ip);
        }
        if self.is_store_current && self.is_reader() {
            return ReadSource::Store;
        }
        // A reader that is not updated in time reads the store itself. Asking all readers of other
        // failure domains first would delay a configuration change for too long.
        let ranks = if self.is_reader() {
            1
        } else {
            READERS_PER_DOMAIN
        };
        let remote = self.remote_readers(ranks);
        let mut others = local.into_iter().chain(remote);
        match others.find(|member| self.is_usable(member)) {
            Some(reader) => ReadSource::Box(reader.ip),
            None => self.fallback_origin(),
        }
    }

    /// Selects the source if no reader is usable.
    fn fallback_origin(&self) -> ReadSource {
        let is_untried =
            |ip: &&IpAddr| **ip != self.ip && !self.avoid.contains(ip) && !self.stale.contains(ip);
        if let Some(contact) = self.contacts.iter().find(is_untried) {
            return ReadSource::Box(*contact);
        }
        if self.is_reader() {
            return ReadSource::Store;
        }
        let is_seed = self.seeds.contains(&self.ip);
        if !self.members.is_empty() || is_seed {
            return match self.stale.is_empty() {
                true => ReadSource::Store,
                false => ReadSource::Unavailable,
            };
        }
        match self.seeds.iter().find(is_untried) {
            Some(seed) => ReadSource::Box(*seed),
            None if self.has_just_started && !self.seeds.is_empty() => ReadSource::Unavailable,
            None => ReadSource::Store,
        }
    }

    /// Returns the box to which this one reports its loads: the first reader of its failure domain
    /// that is not in `avoid`; `None` if that is this box or there is none.
    pub fn collector(&self) -> Option<IpAddr> {
        let readers = self.readers(self.home);
        let first = readers
            .into_iter()
            .find(|member| !self.avoid.contains(&member.ip))?;
        (!self.is_self(first)).then_some(first.ip)
    }

    /// Returns the first reader of each failure domain, except this box.
    pub fn first_readers(&self) -> Vec<(&'a str, IpAddr)> {
        let first = |domain| Some((domain, *self.readers(domain).first()?));
        domains(self.members)
            .into_iter()
            .filter_map(first)
            .filter(|(_, reader)| !self.is_self(reader))
            .map(|(domain, reader)| (domain, reader.ip))
            .collect()
    }

    /// Returns the first `ranks` readers of each other failure domain, ordered by rank.
    fn remote_readers(&self, ranks: usize) -> Vec<&'a Member> {
        let remote = domains(self.members)
            .into_iter()
            .filter(|domain| *domain != self.home);
        let readers: Vec<Vec<&Member>> = remote.map(|domain| self.readers(domain)).collect();
        (0..ranks)
            .flat_map(|rank| {
                readers
                    .iter()
                    .filter_map(move |each| each.get(rank).copied())
            })
            .collect()
    }
}
