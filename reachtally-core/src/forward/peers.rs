//! Boxes in the group.

use std::collections::BTreeSet;
use std::net::IpAddr;

use crate::ids::Incarnation;

/// A box in the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its failure domain.
    pub domain: String,
    /// Its address.
    pub ip: IpAddr,
    /// Its run.
    pub run: Incarnation,
    /// Bandwidth of its link in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
}

/// Returns the failure domains that have a box in the group.
pub fn domains(members: &[Member]) -> BTreeSet<&str> {
    members.iter().map(|member| &*member.domain).collect()
}
