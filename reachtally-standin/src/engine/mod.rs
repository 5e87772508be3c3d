//! A stand-in engine that serves a layer range of a model.

mod faults;
mod kv;
mod ledger;
mod orders;
mod reports;
mod server;
mod state;
mod timing;

pub mod model;

pub use faults::{Fault, Faults};
pub use kv::KvExport;
pub use ledger::{Ledger, LedgerRun};
pub use orders::OutdatedFence;
pub use reports::{CacheEvent, Load};
pub use server::{Engine, start};
pub(crate) use state::positions;
pub use state::{Options, State};
pub use timing::StepTime;
