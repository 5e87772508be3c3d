//! The operators' tool as its users meet it: output and exit codes.

use std::process::{Command, Output};

/// Nobody listens there: the port is reserved, and needs rights to be bound.
const NOBODY: &str = "http://127.0.0.1:1";

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_reachtally"));
    command.args(arguments).env_remove("REACHTALLY_KEY");
    command.output().expect("the tool runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_key_is_hashed_as_settings_store_it() {
    let output = run(&["hash-key", "demo"]);
    assert!(output.status.success());
    let expected = "2a97516c354b68848cdbd8f54a226a0a55b21ed138e207ad6c5cbb9c00aa5aea\n";
    assert_eq!(text(&output.stdout), expected);
}

#[test]
fn a_bad_command_points_at_the_word_and_sends_nothing() {
    let output = run(&["--operators", NOBODY, "show tarkets"]);
    assert_eq!(output.status.code(), Some(2));
    let message = text(&output.stderr);
    assert!(
        message.contains("show tarkets\n     ^ expected one of targets"),
        "{message}"
    );
}

#[test]
fn an_entry_box_that_can_not_be_reached_has_an_exit_code_of_its_own() {
    let output = run(&["--operators", NOBODY, "show targets"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(text(&output.stderr).contains("can't reach the entry box"));
}

#[test]
fn bad_declarations_list_every_finding() {
    let file = std::env::temp_dir().join(format!("reachtally-bad-{}.yaml", std::process::id()));
    std::fs::write(&file, "models:\n  - {name: m, layers: 0}\ncolour: red\n")
        .expect("it is written");
    let output = run(&["apply", &file.display().to_string()]);
    std::fs::remove_file(&file).expect("it is there");
    assert_eq!(output.status.code(), Some(2));
    let message = text(&output.stderr);
    assert!(message.contains(":2:23: models[0].layers"), "{message}");
    assert!(message.contains(":3:1: colour: unknown field"), "{message}");
    assert!(message.contains("2 findings"), "{message}");
}
