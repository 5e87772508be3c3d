//! Tracking of targets: their entries, their answers and failures, and whether they and their failure domains accept
//! connections.

mod answers;
pub mod check;
mod domains;
mod entries;
mod presence;

pub(crate) use domains::DomainChecks;
