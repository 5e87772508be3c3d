//! Tests of the operators' language.

use reachtally_command::{Command, Subject, Table, parse};

#[test]
fn commands_parse_and_print_back() {
    for text in [
        "show targets",
        "show boxes",
        "show requests",
        "drain e1",
        "undrain parts#0",
    ] {
        let command = parse(text).expect("the command is good");
        assert_eq!(command.to_string(), text);
    }
    assert_eq!(
        parse("  show   targets "),
        Ok(Command::Show(Subject::Targets))
    );
}

#[test]
fn errors_point_at_the_word() {
    let at = |text| parse(text).expect_err("the command is bad").at;
    assert_eq!(at("shew targets"), 0);
    assert_eq!(at("show tarkets"), 5);
    assert_eq!(at("drain"), 5);
    assert_eq!(at("drain e1 now"), 9);
    let error = parse("show tarkets").expect_err("the command is bad");
    assert!(
        error
            .to_string()
            .contains("\n     ^ expected one of targets, boxes")
    );
}

#[test]
fn a_table_lines_up_its_columns() {
    let mut table = Table::new(&["name", "state"]);
    table.push(vec!["engine-1".into(), "up".into()]);
    assert_eq!(table.to_string(), "name      state\nengine-1  up\n");
}
