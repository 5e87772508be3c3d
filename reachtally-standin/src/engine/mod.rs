//! An engine that holds a layer range of a model.

mod faults;
mod kv;
mod ledger;
mod server;
mod state;
mod timing;

pub mod model;

pub use faults::{Fault, Faults};
pub use ledger::{Ledger, LedgerRun};
pub use server::{Engine, start};
pub use state::Options;
pub use timing::StepTime;
