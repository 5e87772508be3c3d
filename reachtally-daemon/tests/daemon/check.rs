//! `reachtallyd check` and `run` with invalid settings.

use std::path::PathBuf;
use std::process::{Command, Output};

fn settings(name: &str, text: &str) -> PathBuf {
    let file = std::env::temp_dir().join(format!("reachtallyd-{name}-{}.yaml", std::process::id()));
    std::fs::write(&file, text).expect("it is written");
    file
}

fn run(arguments: &[&str], file: &PathBuf) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_reachtallyd"));
    command.args(arguments).arg("--settings").arg(file);
    let output = command.output().expect("the daemon's program runs");
    std::fs::remove_file(file).expect("it is there");
    output
}

#[test]
fn check_and_run_list_every_finding_and_exit_with_1() {
    for command in ["check", "run"] {
        let file = settings(
            command,
            "box: b1\ncallers: here\nlimits:\n  patience_s: 0\n",
        );
        let output = run(&[command], &file);
        assert_eq!(output.status.code(), Some(1));
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(message.contains(":2:10: callers: "), "{message}");
        assert!(message.contains(":4:15: limits.patience_s: "), "{message}");
        assert!(message.contains("field domain is missing"), "{message}");
        assert!(message.contains("5 findings"), "{message}");
    }
}

#[test]
fn check_accepts_good_settings() {
    let text = "box: b1\ndomain: d\ncallers: 127.0.0.1:0\noperators: 127.0.0.1:0\n\
                peer: 127.0.0.1:0\nlog: http://127.0.0.1:9000\nlist: http://127.0.0.1:9001\n";
    let output = run(&["check"], &settings("good", text));
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains("no findings"));
}
