//! Tests of the operators' query and command language.

use reachtally_command::{Command, Subject, Table, parse};

#[test]
fn commands_round_trip_through_text() {
    for text in [
        "show targets",
        "show boxes",
        "show requests",
        "drain e1",
        "undrain parts#0",
    ] {
        let command = parse(text).expect("the command is valid");
        assert_eq!(command.to_string(), text);
    }
    assert_eq!(
        parse("  show   targets "),
        Ok(Command::Show(Subject::Targets))
    );
}

#[test]
fn errors_give_the_offset_of_the_unexpected_word() {
    let offset = |text| parse(text).expect_err("the command is invalid").offset;
    assert_eq!(offset("shew targets"), 0);
    assert_eq!(offset("show tarkets"), 5);
    assert_eq!(offset("drain"), 5);
    assert_eq!(offset("drain e1 now"), 9);
    let error = parse("show tarkets").expect_err("the command is invalid");
    assert!(
        error
            .to_string()
            .contains("\n     ^ expected one of targets, boxes")
    );
}

#[test]
fn table_columns_are_aligned() {
    let mut table = Table::new(&["name", "state"]);
    table.push(vec!["engine-1".into(), "up".into()]);
    assert_eq!(table.to_string(), "name      state\nengine-1  up\n");
}
