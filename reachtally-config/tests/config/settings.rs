//! Every finding in a settings file is reported with its position.

use std::net::SocketAddr;

use reachtally_config::settings::parse;

const GOOD: &str = "\
box: b1
domain: hall-1
callers: 127.0.0.1:7070
operators: 127.0.0.1:7071
log: http://127.0.0.1:9000
list: http://127.0.0.1:9001
limits:
  caller_window: 8
";

#[test]
fn valid_settings_are_parsed_and_defaults_filled_in() {
    let settings = parse("good.yaml", GOOD).expect("the settings are valid");
    assert_eq!(settings.callers, SocketAddr::from(([127, 0, 0, 1], 7070)));
    assert_eq!(settings.limits.caller_window, 8);
    assert_eq!(settings.body_bytes, reachtally_config::settings::BODY_BYTES);
}

#[test]
fn all_findings_are_reported_with_their_positions() {
    let text = "\
box: b1
callers: localhost
operators: 127.0.0.1:7071
log: 127.0.0.1:9000
list: http://127.0.0.1:9001
colour: red
operator_keys:
  - name: anna
    role: king
    hash: abc
limits:
  caller_window: 0
  patience_s: soon
";
    let findings = parse("bad.yaml", text).expect_err("the settings are invalid");
    insta::assert_snapshot!(findings);
}

#[test]
fn invalid_yaml_is_one_finding() {
    let findings = parse("bad.yaml", "box: [b1\n").expect_err("the list is not closed");
    assert_eq!(findings.0.len(), 1);
    assert_eq!(findings.0[0].file, "bad.yaml");
}
