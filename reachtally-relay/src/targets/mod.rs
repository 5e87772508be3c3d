//! What becomes known of targets, each in a module of its own: by their entries, by what they answer, and by whether they take
//! connections.

mod answers;
pub mod check;
mod domains;
mod entries;
mod presence;

pub(crate) use domains::DomainChecks;
