//! What the models declare.

use reachtally_core::Event;
use reachtally_core::declare::{Account, Object};
use reachtally_core::event::Read;
use reachtally_core::fold::{Config, Operation};

/// The account of every model.
pub const ACCOUNT: &str = "a";

/// The account with these rights.
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

/// The event by which a world learns of `objects`.
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
