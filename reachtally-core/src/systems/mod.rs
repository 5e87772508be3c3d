//! The systems: free functions over the [`World`](crate::World), one job each.

pub mod accept;
pub mod admit;
pub mod claims;
pub mod configure;
pub mod deliver;
pub mod dispatch;
pub mod finish;
pub mod gossip;
pub mod health;
pub mod relocate;
pub mod service;
pub mod shift;
pub mod standby;
pub mod start;
pub mod steward;
pub mod timers;
