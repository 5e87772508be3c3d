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
    /// Boxes that did not answer well lately.
    pub avoid: &'a [IpAddr],
    /// Whether what this box reads from the store itself is new enough.
    pub is_sound: bool,
}

impl<'a> View<'a> {
    /// The readers of a failure domain, in the order in which they are asked.
    fn readers(&self, domain: &str) -> Vec<&'a Member> {
        let mut found: Vec<&Member> = self
            .members
            .iter()
            .filter(|member| member.domain == domain)
            .collect();
        found.sort_by_key(|member| (Reverse(member.link_mbps), member.run.0));
        found.truncate(READERS);
        found
    }

    fn is_usable(&self, member: &Member) -> bool {
        member.run != self.run && !self.avoid.contains(&member.ip)
    }

    /// Whether this box is the first reader of its failure domain.
    pub fn is_first(&self) -> bool {
        let readers = self.readers(self.home);
        readers.first().is_none_or(|first| first.run == self.run)
    }

    /// Where to look next: at a reader that stands before this box; else in the store, as long as that
    /// works; else at any other reader, the ones of other failure domains last.
    pub fn origin(&self) -> Origin {
        let home = self.readers(self.home);
        let before = home.iter().take_while(|member| member.run != self.run);
        if let Some(reader) = before.copied().find(|member| self.is_usable(member)) {
            return Origin::Box(reader.ip);
        }
        if self.is_sound {
            return Origin::Store;
        }
        let abroad = self.abroad();
        let others = home.into_iter().chain(abroad);
        match others.into_iter().find(|member| self.is_usable(member)) {
            Some(reader) => Origin::Box(reader.ip),
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
