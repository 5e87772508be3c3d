//! Which box reads the store for others, and which is asked.

use std::cmp::Reverse;
use std::net::IpAddr;

use crate::forward::peers::{Member, domains};
use crate::ids::Incarnation;

/// Boxes of a failure domain that stand by as readers: those with the widest links, since a reader sends
/// each new configuration to all others; the least addresses among equals. With three, a box whose
/// readers are all cut off knows it after 1.7 s; the loss of all three together is rare.
const READERS: usize = 3;

/// Most boxes of a failure domain in the group: beyond the readers, some that stood in for one that came back.
/// The others cost the store nothing.
const MOST_MEMBERS: usize = READERS + 2;

/// Where the configuration and the targets come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The store.
    Store,
    /// Another box.
    Box(IpAddr),
    /// Nowhere at present; those that failed are asked again in a moment.
    Nowhere,
}

/// This box's view of the group.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The boxes of the group; this one may be missing.
    pub members: &'a [Member],
    /// The failure domain of this box.
    pub home: &'a str,
    /// The run of this box.
    pub run: Incarnation,
    /// Its address.
    pub ip: IpAddr,
    /// Boxes that may be asked before the group is known.
    pub seeds: &'a [IpAddr],
    /// Boxes that lately did not answer.
    pub avoid: &'a [IpAddr],
    /// Boxes that lately answered, but knew nothing new enough.
    pub stale: &'a [IpAddr],
    /// Whether this box has just started, so that others may have too.
    pub is_young: bool,
    /// Whether what this box reads from the store itself is new enough.
    pub is_sound: bool,
}

impl<'a> View<'a> {
    /// The members of a failure domain, in the order in which they are asked. Of a box that restarted, the group
    /// lists both runs for a while; it counts once.
    fn members_of(&self, domain: &str) -> Vec<&'a Member> {
        let mut found: Vec<&Member> = self
            .members
            .iter()
            .filter(|member| member.domain == domain)
            .collect();
        found.sort_by_key(|member| (Reverse(member.link_mbps), member.ip));
        found.dedup_by_key(|member| member.ip);
        found
    }

    /// The readers of a failure domain, in the order in which they are asked.
    fn readers(&self, domain: &str) -> Vec<&'a Member> {
        let mut found = self.members_of(domain);
        found.truncate(READERS);
        found
    }

    /// Whether this box is a reader of its failure domain.
    fn is_reader(&self) -> bool {
        let readers = self.readers(self.home);
        readers.iter().any(|member| self.is_here(member))
    }

    /// Whether the group lists this box, or an earlier run of it whose place it should take.
    pub fn is_listed(&self) -> bool {
        self.members.iter().any(|member| self.is_here(member))
    }

    /// Whether a box of the group should leave it, since enough others of its failure domain are there.
    pub fn is_superfluous(&self) -> bool {
        let home = self.members_of(self.home);
        let rank = home.iter().position(|member| self.is_here(member));
        rank.is_some_and(|rank| rank >= MOST_MEMBERS)
    }

    /// Readers that this box's failure domain lacks.
    pub fn missing_readers(&self) -> usize {
        READERS.saturating_sub(self.members_of(self.home).len())
    }

    /// With which chance, from 0 to 1, each box outside of the group should join it now where `boxes` boxes are
    /// in all: so that about as many as are missing do.
    pub fn chance_to_join(&self, boxes: u32) -> f64 {
        let shared = domains(self.members).len().max(1) as f64;
        let at_home = f64::from(boxes.max(1)) / shared;
        self.missing_readers() as f64 / at_home
    }

    /// Whether a member is this box, or an earlier run of it that the group has not missed yet.
    fn is_here(&self, member: &Member) -> bool {
        member.run == self.run || member.ip == self.ip
    }

    fn is_usable(&self, member: &Member) -> bool {
        let ip = member.ip;
        !self.is_here(member) && !self.avoid.contains(&ip) && !self.stale.contains(&ip)
    }

    /// Whether this box is the first reader of its failure domain.
    pub fn is_first(&self) -> bool {
        let readers = self.readers(self.home);
        readers.first().is_none_or(|first| self.is_here(first))
    }

    /// Where to look next: at a reader that stands before this box; else, for a reader, in the store, as long as
    /// that works; else at any other reader, the ones of other failure domains after those at home.
    ///
    /// Other boxes read the store only where nobody else answers at all. While the store is
    /// away, readers answer without knowing anything new, and the others wait for them: guards the store from a call of
    /// each box when it comes back.
    pub fn origin(&self) -> Origin {
        let home = self.readers(self.home);
        let before = home.iter().take_while(|member| !self.is_here(member));
        if let Some(reader) = before.copied().find(|member| self.is_usable(member)) {
            return Origin::Box(reader.ip);
        }
        if self.is_sound && self.is_reader() {
            return Origin::Store;
        }
        // A reader that is not told in time is to read itself: where it asked all readers abroad first, a change would be in
        // force too late.
        let ranks = if self.is_reader() { 1 } else { READERS };
        let abroad = self.abroad(ranks);
        let mut others = home.into_iter().chain(abroad);
        match others.find(|member| self.is_usable(member)) {
            Some(reader) => Origin::Box(reader.ip),
            None => self.last_resort(),
        }
    }

    /// Where to look while no reader is of use.
    fn last_resort(&self) -> Origin {
        if self.is_reader() {
            return Origin::Store;
        }
        let is_seed = self.seeds.contains(&self.ip);
        if !self.members.is_empty() || is_seed {
            return match self.stale.is_empty() {
                true => Origin::Store,
                false => Origin::Nowhere,
            };
        }
        let is_usable = |ip: &&IpAddr| !self.avoid.contains(ip) && !self.stale.contains(ip);
        match self.seeds.iter().find(is_usable) {
            Some(seed) => Origin::Box(*seed),
            None if self.is_young && !self.seeds.is_empty() => Origin::Nowhere,
            None => Origin::Store,
        }
    }

    /// The box to which this one reports what it has on the targets: the first reader of its failure domain
    /// that is not avoided; `None` if that is this box or there is none.
    pub fn collector(&self) -> Option<IpAddr> {
        let home = self.readers(self.home);
        let first = home
            .into_iter()
            .find(|member| !self.avoid.contains(&member.ip))?;
        (!self.is_here(first)).then_some(first.ip)
    }

    /// The first reader of each failure domain but this box.
    pub fn first_readers(&self) -> Vec<(&'a str, IpAddr)> {
        let first = |domain| Some((domain, *self.readers(domain).first()?));
        domains(self.members)
            .into_iter()
            .filter_map(first)
            .filter(|(_, reader)| !self.is_here(reader))
            .map(|(domain, reader)| (domain, reader.ip))
            .collect()
    }

    /// The first `ranks` readers of other failure domains, the first of each before the second ones.
    fn abroad(&self, ranks: usize) -> Vec<&'a Member> {
        let abroad = domains(self.members)
            .into_iter()
            .filter(|domain| *domain != self.home);
        let readers: Vec<Vec<&Member>> = abroad.map(|domain| self.readers(domain)).collect();
        (0..ranks)
            .flat_map(|rank| {
                readers
                    .iter()
                    .filter_map(move |each| each.get(rank).copied())
            })
            .collect()
    }
}
