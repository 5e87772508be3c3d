//! Stand-ins and scripts of the second review's cases.

mod blamed;
mod forgotten;
mod http;
mod leaving;
mod lengths;
mod returned;
mod rig;
mod store;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, case, root] = &arguments[..] else {
        rig::cannot_run("usage: standins-2 NAME CASE-FOLDER ROOT");
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (case, root) = (PathBuf::from(case), PathBuf::from(root));
    let is_broken = match name.as_str() {
        "blamed" => blamed::run(&case, &root, is_troubled),
        "forgotten" => forgotten::run(&case, &root, is_troubled),
        "leaving" => leaving::run(&case, &root, is_troubled),
        "lengths" => lengths::run(&case, &root, is_troubled),
        "returned" => returned::run(&case, &root, is_troubled),
        _ => rig::cannot_run("no such case"),
    };
    std::process::exit(i32::from(is_broken));
}
