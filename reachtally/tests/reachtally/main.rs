//! Tests of the output and exit codes of the operators' command-line tool.

use std::process::{Command, Output};

/// No process listens here: port 1 is reserved, and binding it needs privileges.
const UNREACHABLE_URL: &str = "http://127.0.0.1:1";

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_reachtally"));
    command.args(arguments).env_remove("REACHTALLY_KEY");
    command.output().expect("the tool runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn hash_key_prints_the_hash_used_in_settings() {
    let output = run(&["hash-key", "demo"]);
    assert!(output.status.success());
    let expected = "2a97516c354b68848cdbd8f54a226a0a55b21ed138e207ad6c5cbb9c00aa5aea\n";
    assert_eq!(text(&output.stdout), expected);
}

#[test]
fn an_invalid_command_marks_the_unexpected_word_and_sends_nothing() {
    let output = run(&["--operators", UNREACHABLE_URL, "show tarkets"]);
    assert_eq!(output.status.code(), Some(2));
    let message = text(&output.stderr);
    assert!(
        message.contains("show tarkets\n     ^ expected one of targets"),
        "{message}"
    );
}

#[test]
fn an_unreachable_entry_box_has_its_own_exit_code() {
    let output = run(&["--operators", UNREACHABLE_URL, "show targets"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(text(&output.stderr).contains("can't reach the entry box"));
}

#[test]
fn invalid_declarations_list_every_finding() {
    let file = std::env::temp_dir().join(format!("reachtally-bad-{}.yaml", std::process::id()));
    std::fs::write(&file, "models:\n  - {name: m, layers: 0}\ncolour: red\n")
        .expect("the file is written");
    let output = run(&["apply", &file.display().to_string()]);
    std::fs::remove_file(&file).expect("the file exists");
    assert_eq!(output.status.code(), Some(2));
    let message = text(&output.stderr);
    assert!(message.contains(":2:23: models[0].layers"), "{message}");
    assert!(message.contains(":3:1: colour: unknown field"), "{message}");
    assert!(message.contains("2 findings"), "{message}");
}
