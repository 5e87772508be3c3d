//! Which box reads the store for others, and which is asked.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::IpAddr;

use crate::forward::peers::Member;
use crate::ids::Incarnation;

/// Boxes of a failure domain that stand by as readers: those with the widest links, since a reader sends
/// each new configuration to all others; the least runs among equals. With three, a box whose
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
    /// Boxes that did not answer well lately.
    pub avoid: &'a [IpAddr],
    /// Whether what this box reads from the store itself is new enough.
    pub is_sound: bool,
}

impl<'a> View<'a> {
    /// The members of a failure domain, in the order in which they are asked.
    fn members_of(&self, domain: &str) -> Vec<&'a Member> {
        let mut found: Vec<&Member> = self
            .members
            .iter()
            .filter(|member| member.domain == domain)
            .collect();
        found.sort_by_key(|member| (Reverse(member.link_mbps), member.run.0));
        found
    }

    /// The readers of a failure domain, in the order in which they are asked.
    fn readers(&self, domain: &str) -> Vec<&'a Member> {
        let mut found = self.members_of(domain);
        found.truncate(READERS);
        found
    }

    /// Whether this box is known as one of the group.
    fn is_member(&self) -> bool {
        self.members.iter().any(|member| member.run == self.run)
    }

    /// Whether a box of the group should leave it, since enough others of its failure domain are there.
    pub fn is_superfluous(&self) -> bool {
        let home = self.members_of(self.home);
        let rank = home.iter().position(|member| member.run == self.run);
        rank.is_some_and(|rank| rank >= MOST_MEMBERS)
    }

    /// Readers that this box's failure domain lacks.
    pub fn missing_readers(&self) -> usize {
        READERS.saturating_sub(self.members_of(self.home).len())
    }

    /// With which chance, from 0 to 1, each box outside of the group should join it now where `boxes` boxes are
    /// in all: so that about as many as are missing do.
    pub fn chance_to_join(&self, boxes: u32) -> f64 {
        let domains = self.domains().len().max(1) as f64;
        let at_home = f64::from(boxes.max(1)) / domains;
        self.missing_readers() as f64 / at_home
    }

    fn is_usable(&self, member: &Member) -> bool {
        member.run != self.run && !self.avoid.contains(&member.ip)
    }

    /// Whether this box is the first reader of its failure domain.
    pub fn is_first(&self) -> bool {
        let readers = self.readers(self.home);
        readers.first().is_none_or(|first| first.run == self.run)
    }

    /// Where to look next: at a reader that stands before this box; else, for a box of the group, in the store,
    /// as long as that works; else at any other reader, the ones of other failure domains after those at home.
    /// A box outside of the group so reads the store only where nobody else answers, and a failure domain
    /// that loses its readers does not fall upon the store.
    pub fn origin(&self) -> Origin {
        let home = self.readers(self.home);
        let before = home.iter().take_while(|member| member.run != self.run);
        if let Some(reader) = before.copied().find(|member| self.is_usable(member)) {
            return Origin::Box(reader.ip);
        }
        if self.is_sound && self.is_member() {
            return Origin::Store;
        }
        let abroad = self.abroad();
        let mut others = home.into_iter().chain(abroad);
        match others.find(|member| self.is_usable(member)) {
            Some(reader) => Origin::Box(reader.ip),
            None => self.seed().map_or(Origin::Store, Origin::Box),
        }
    }

    /// A seed that may be asked while the group is not known. A seed itself reads the store then.
    fn seed(&self) -> Option<IpAddr> {
        if !self.members.is_empty() || self.seeds.contains(&self.ip) {
            return None;
        }
        let mut usable = self.seeds.iter().filter(|ip| !self.avoid.contains(ip));
        usable.next().copied()
    }

    /// The box to which this one reports what it has on the targets: the first reader of its failure domain
    /// that is not avoided; `None` if that is this box or there is none.
    pub fn collector(&self) -> Option<IpAddr> {
        let home = self.readers(self.home);
        let first = home
            .into_iter()
            .find(|member| !self.avoid.contains(&member.ip))?;
        (first.run != self.run).then_some(first.ip)
    }

    /// The first reader of each failure domain but this box.
    pub fn first_readers(&self) -> Vec<(&'a str, IpAddr)> {
        let first = |domain| Some((domain, *self.readers(domain).first()?));
        self.domains()
            .into_iter()
            .filter_map(first)
            .filter(|(_, reader)| reader.run != self.run)
            .map(|(domain, reader)| (domain, reader.ip))
            .collect()
    }

    fn domains(&self) -> BTreeSet<&'a str> {
        let domains = self.members.iter().map(|member| member.domain.as_str());
        domains.collect()
    }

    /// The first reader of each other failure domain.
    fn abroad(&self) -> Vec<&'a Member> {
        self.domains()
            .into_iter()
            .filter(|domain| *domain != self.home)
            .filter_map(|domain| self.readers(domain).first().copied())
            .collect()
    }
}
