//! Declarations shared by the models.

use reachtally_core::Event;
use reachtally_core::declare::{Account, Object};
use reachtally_core::event::Read;
use reachtally_core::fold::{Config, Operation};

/// The client account that every model uses.
pub const ACCOUNT: &str = "a";

/// Declares the client account with access to `models` and `services`.
pub fn account(models: &[&str], services: &[&str]) -> Object {
    let owned = |names: &[&str]| names.iter().map(|&name| name.to_owned()).collect();
    Object::Account(Account {
        name: ACCOUNT.to_owned(),
        key_hashes: Vec::new(),
        models: owned(models),
        adapters: Vec::new(),
        services: owned(services),
        max_running: 100,
        priority: 0,
    })
}

/// Returns the event that declares `objects` to a world.
pub fn declare(objects: Vec<Object>) -> Event {
    Event::ConfigRead(vec![Read {
        offset: 0,
        at_ms: 0,
        record: Operation {
            id: "declarations".to_owned(),
            actor: "spec".to_owned(),
            edits: Config::default().edits(objects),
        },
    }])
}
