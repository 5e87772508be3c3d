//! The systems: free functions over the [`World`](crate::World), each with a single task.

pub mod accept;
pub mod admit;
pub mod claims;
pub mod configure;
pub mod deliver;
pub mod dispatch;
pub mod failover;
pub mod finish;
pub mod gossip;
pub mod health;
pub mod relocate;
pub mod service;
pub mod standby;
pub mod start;
pub mod steward;
pub mod timers;
