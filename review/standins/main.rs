//! Stand-ins of the store, engines, clients and the platform for the scripts of the review. Each case is a subcommand.

mod hang;
mod http;
mod lengths;
mod proxy;
mod reborn;
mod revoke;
mod rig;
mod store;
mod storm;

use std::path::Path;
use std::process::ExitCode;

use rig::Journal;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[..] {
        ["engine", address, name] => reborn::engine(address, name),
        [case, folder, trouble] => {
            rig::end_all_when_stopped();
            let played = std::panic::catch_unwind(|| play(case, folder, trouble != "0"));
            rig::end_all();
            // A case that could not run.
            played.unwrap_or(ExitCode::from(2))
        }
        _ => ExitCode::from(2),
    }
}

fn play(case: &str, folder: &str, trouble: bool) -> ExitCode {
    let journal = Journal::create(&Path::new(folder).join("record.txt"));
    match case {
        "hang" => hang::play(&journal, trouble),
        "lengths" => lengths::play(&journal, trouble),
        "reborn" => reborn::play(&journal, trouble),
        "revoke" => revoke::play(&journal, trouble),
        "storm" => storm::play(&journal, trouble),
        _ => ExitCode::from(2),
    }
}
