//! What becomes known of targets, each in a module of its own: by their entries, by what they answer, and by whether they take
//! connections.

mod answers;
pub mod check;
mod entries;
mod presence;
